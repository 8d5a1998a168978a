package agent

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
)

const (
	// keysTopic is the stream whose offsets are fencing numbers.
	keysTopic = "acaciaspar.keys"
	// appendTimeout bounds one append to the log.
	appendTimeout = 2 * time.Second
	// maxAppendDelay bounds the wait between two attempts to append.
	maxAppendDelay = 2 * time.Second
)

// fencing holds the fencing number once there is one. Its mutex guards its fields.
type fencing struct {
	mu     sync.Mutex
	number uint64
	known  bool
}

func (f *fencing) get() (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.number, f.known
}

func (f *fencing) set(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number, f.known = number, true
}

// agentStart is the record whose offset becomes the fencing number.
type agentStart struct {
	Type     string `json:"type"`
	Endpoint string `json:"endpoint"`
	Instance string `json:"instance"`
}

// fetchFencingNumber appends a record to the log until it learns the offset of
// one. If a reply is lost, the record is appended again: each offset is used
// by this instance only and is above those of earlier instances.
func (a *Agent) fetchFencingNumber(ctx context.Context) error {
	if a.keys == nil {
		a.log.Info("no log is set; requests carry no fencing number")
		return nil
	}
	record, err := json.Marshal(agentStart{Type: "agent-start", Endpoint: a.settings.Endpoint, Instance: a.identity.Instance})
	if err != nil {
		return eris.Wrap(err, "encode record")
	}
	delays := backoff.NewExponentialBackOff()
	delays.MaxInterval = maxAppendDelay
	number, err := backoff.Retry(ctx, func() (int64, error) { return a.appendStart(ctx, record) },
		backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(0))
	if err != nil {
		// Retry ends without a number only when ctx has ended.
		return nil
	}
	a.fencing.set(uint64(number))
	a.log.Info("fencing number", "number", number)
	a.applyConfig()
	return nil
}

func (a *Agent) appendStart(ctx context.Context, record []byte) (int64, error) {
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offsets, err := a.keys.Append(call, keysTopic, record)
	if err != nil {
		if ctx.Err() == nil && a.limiter.Allow(time.Now(), a.settings.LogURL, "fencing") {
			a.log.Warn("fencing number not obtained", "error", err)
		}
		return 0, err
	}
	return offsets[0], nil
}
