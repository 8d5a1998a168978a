package main

import (
	"bufio"
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	streamRouters = 5
	// streamEvents and streamEventDelay define streams that last 9 s.
	streamEvents     = 90
	streamEventDelay = 100 * time.Millisecond
	// streamTimeout is the deadline of a client.
	streamTimeout = 12 * time.Second
	// streamInterval is the time between two new streams.
	streamInterval = 25 * time.Millisecond
	// streamTries is the number of attempts of a client at one stream: the first and three retries.
	streamTries = 4
	// lostShare, lostTime, leastLate and mostLate describe how the store loses answers to writes.
	lostShare = 0.35
	lostTime  = 4500 * time.Millisecond
	leastLate = time.Second
	mostLate  = 6 * time.Second
	// secondKill is the time between the two kills of all routers.
	secondKill = 6 * time.Second
	cycles     = 4
	cycleTime  = 20 * time.Second
	// maxMixed is the number of streams that may hold events of two versions.
	maxMixed = 2
)

// callerStream is a stream as its client sees it over all attempts.
type callerStream struct {
	id string
	// first is the attempt that brought the first event.
	first string
	// versions holds the version that wrote each event, last the identifier of the last event.
	versions []string
	last     int
	complete bool
	// events is the number of events of the whole stream. order is set while none was missing or came twice.
	events int
	order  bool
	// sharedTokens is the size of the part that the prompts of all streams share.
	sharedTokens int
}

// ownPart returns a number for the part of the prompt that only this stream has.
func ownPart(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// mixed reports whether the stream holds events of two versions.
func (s *callerStream) mixed() bool {
	for _, v := range s.versions {
		if v != s.versions[0] {
			return true
		}
	}
	return false
}

// attempt sends one attempt to a router. It returns the delay after which the next may follow.
func (s *callerStream) attempt(ctx context.Context, r *record, address, id string) (retryAfter time.Duration) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/chat/"+s.id, strings.NewReader("body of "+s.id))
	if err != nil {
		return 0
	}
	request.Host = host
	h := request.Header
	h.Set("Authorization", "Bearer "+apiKey)
	h.Set(name("request-id"), id)
	h.Set(name("model"), "m")
	h.Set(name("token-counts"), "628,300")
	h.Set(name("prompt-prefix"), fmt.Sprintf("7:%d,%x:509", max(s.sharedTokens, 119), ownPart(s.id)))
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(name("deadline"), strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	if s.last > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(s.last))
		h.Set("Resumes", s.first)
	}
	sentAfter := s.last
	response, err := client.Do(request)
	if err != nil {
		r.log("%s to %s after event %d: no answer", id, address, sentAfter)
		return 0
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		r.log("%s to %s after event %d: status %d, Retry-After %.2f", id, address, sentAfter, response.StatusCode, seconds)
		return time.Duration(seconds * float64(time.Second))
	}
	from := len(s.versions)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		version, number, _ := strings.Cut(text, " ")
		n, _ := strconv.Atoi(number)
		if s.last == 0 {
			s.first = id
		}
		s.order = s.order && n == s.last+1
		s.last = n
		s.versions = append(s.versions, version)
	}
	s.complete = lines.Err() == nil && s.last == s.events
	version := ""
	if len(s.versions) > from {
		version = s.versions[from]
	}
	r.log("%s to %s after event %d: events to %d of %s, complete %t", id, address, sentAfter, s.last, version, s.complete)
	return 0
}

// run sends attempts until the stream is complete.
func (s *callerStream) run(r *record, f *fleet, first int) {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	for try := 0; try < streamTries && !s.complete && ctx.Err() == nil; {
		target := f.routers[(first+try)%len(f.routers)]
		if !target.isReady() {
			// The platform forwards connections only to ready routers.
			first++
			time.Sleep(100 * time.Millisecond)
			continue
		}
		wait := s.attempt(ctx, r, target.front, fmt.Sprintf("%s-%d", s.id, try))
		try++
		if !s.complete {
			time.Sleep(max(wait, 100*time.Millisecond))
		}
	}
}

// runStreams begins streams at workers of two versions all the time. With trouble, answers of the store
// are lost for a time, in which all routers are killed, and they are killed again some seconds later.
func runStreams(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, streamRouters, 56)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.publish([]string{"engines"}, nil, route{name: "chat", kind: "streaming", service: "engines", attempts: 2, resumable: true, timeout: streamTimeout, target: 400 * time.Millisecond})
	if _, err := f.addEngines("v1", streamEvents, streamEventDelay); err != nil {
		return false, err
	}
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if _, err := f.addEngines("v2", streamEvents, streamEventDelay); err != nil {
		return false, err
	}
	r.log("workers of version v2 serve beside those of v1")
	time.Sleep(time.Second)
	var mu sync.Mutex
	var streams []*callerStream
	var running sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	running.Go(func() {
		ticker := time.NewTicker(streamInterval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			s := &callerStream{id: fmt.Sprintf("s%d", i), events: streamEvents, order: true}
			mu.Lock()
			streams = append(streams, s)
			mu.Unlock()
			running.Go(func() { s.run(r, f, i) })
		}
	})
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	for range cycles {
		end := time.Now().Add(cycleTime)
		time.Sleep(2 * time.Second)
		if trouble {
			if err := disturbStreams(r, f, random); err != nil {
				stop()
				return false, err
			}
		}
		time.Sleep(time.Until(end))
	}
	stop()
	running.Wait()
	return judgeStreams(r, streams), nil
}

// disturbStreams makes the store lose answers to writes, which it does later, and kills all routers at the
// end of that time and once more.
func disturbStreams(r *record, f *fleet, random *rand.Rand) error {
	r.log("the store loses answers")
	f.store.setLost(lateWrites(random, lostShare, leastLate, mostLate))
	time.Sleep(lostTime)
	if err := f.killAll(); err != nil {
		return err
	}
	f.store.setLost(nil)
	r.log("the store answers again")
	time.Sleep(secondKill)
	return f.killAll()
}

func judgeStreams(r *record, streams []*callerStream) bool {
	mixed, complete, disordered := 0, 0, 0
	for _, s := range streams {
		if s.mixed() {
			mixed++
			r.log("stream %s holds events of two versions: %s", s.id, runsOf(s.versions))
		}
		if s.complete {
			complete++
		}
		if !s.order {
			disordered++
		}
	}
	r.summary("%d streams, %d complete, %d out of order, %d with events of two versions (at most %d allowed)", len(streams), complete, disordered, mixed, maxMixed)
	return mixed > maxMixed
}

// runsOf describes consecutive events of one version.
func runsOf(versions []string) string {
	var parts []string
	for i := 0; i < len(versions); {
		n := i
		for n < len(versions) && versions[n] == versions[i] {
			n++
		}
		parts = append(parts, fmt.Sprintf("%d of %s", n-i, versions[i]))
		i = n
	}
	return strings.Join(parts, ", then ")
}
