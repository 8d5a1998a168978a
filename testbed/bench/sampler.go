package bench

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/testbed/standin/engine"
)

// sampleInterval is the interval between samples of the endpoints' load.
const sampleInterval = 100 * time.Millisecond

// Sample is the load of all endpoints of a service at one time.
type Sample struct {
	At time.Duration
	// BusySlotSeconds is the sum of the endpoints' counters.
	BusySlotSeconds float64
	// Occupied is the number of slots with an admitted request.
	Occupied int
}

// sampler periodically reads the load of the endpoints of one service until it is
// stopped.
type sampler struct {
	urls    []string
	slots   int
	start   time.Time
	stop    chan struct{}
	done    chan struct{}
	samples []Sample
}

func startSampler(urls []string, slotsPerEndpoint int, start time.Time) *sampler {
	s := &sampler{
		urls: urls, slots: slotsPerEndpoint, start: start,
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go s.run()
	return s
}

func (s *sampler) run() {
	defer close(s.done)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		if sample, ok := s.sample(); ok {
			s.samples = append(s.samples, sample)
		}
		select {
		case <-ticker.C:
		case <-s.stop:
			return
		}
	}
}

// stopAndCollect stops the sampler and returns its samples.
func (s *sampler) stopAndCollect() []Sample {
	close(s.stop)
	<-s.done
	return s.samples
}

// sample reads all endpoints concurrently. The time of the sample is the midpoint
// of the reads. It reports false if an endpoint can't be read.
func (s *sampler) sample() (Sample, bool) {
	loads := make([]engine.Load, len(s.urls))
	failed := make([]bool, len(s.urls))
	from := time.Since(s.start)
	var reading sync.WaitGroup
	for i, url := range s.urls {
		reading.Go(func() { failed[i] = !getJSON(url+"/standin/busy", &loads[i]) })
	}
	reading.Wait()
	sample := Sample{At: (from + time.Since(s.start)) / 2}
	for i, load := range loads {
		if failed[i] {
			return Sample{}, false
		}
		sample.BusySlotSeconds += load.BusySlotSeconds
		sample.Occupied += min(s.slots, load.Running+load.Waiting)
	}
	return sample, true
}

// getJSON decodes a JSON document of a process into v and reports whether it
// succeeded.
func getJSON(url string, v any) bool {
	resp, err := statusClient.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v) == nil
}

// Utilization is the share of a service's slots that are busy while at least one
// of its requests waits.
type Utilization struct {
	// Busy is computed from the endpoints' counters of busy time.
	Busy float64 `json:"busy"`
	// Occupied is the mean share of slots with an admitted request.
	Occupied float64 `json:"occupied"`
	// WaitingSeconds is the time over which both are computed.
	WaitingSeconds float64 `json:"waitingSeconds"`
}

// utilization computes the utilization over the intervals between two samples in
// which at least one request waited throughout. idle holds the spans, in order of
// time, in which the service has no waiting request.
func utilization(samples []Sample, idle []span, slots int) Utilization {
	var u Utilization
	busy, occupied, next := 0.0, 0.0, 0
	for i := 1; i < len(samples); i++ {
		from, to := samples[i-1], samples[i]
		for next < len(idle) && idle[next].to <= from.At {
			next++
		}
		if next < len(idle) && idle[next].from < to.At {
			continue
		}
		seconds := (to.At - from.At).Seconds()
		u.WaitingSeconds += seconds
		busy += to.BusySlotSeconds - from.BusySlotSeconds
		occupied += seconds * float64(from.Occupied+to.Occupied) / 2
	}
	if u.WaitingSeconds > 0 {
		u.Busy = busy / (u.WaitingSeconds * float64(slots))
		u.Occupied = occupied / (u.WaitingSeconds * float64(slots))
	}
	return u
}

// span is an interval of time.
type span struct{ from, to time.Duration }

// idleSpans returns the spans before end in which no request waits. The events must
// be in order of time.
func idleSpans(events []serviceEvent, end time.Duration) []span {
	var idle []span
	waiting, since := 0, time.Duration(0)
	for _, e := range events {
		before := waiting
		waiting += e.waitingDelta
		if before == 0 && waiting > 0 {
			idle = append(idle, span{since, e.at})
		}
		if before > 0 && waiting == 0 {
			since = e.at
		}
	}
	if waiting == 0 {
		idle = append(idle, span{since, max(end, since)})
	}
	return idle
}
