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
	// keysTopic is the topic whose offsets serve as fencing numbers.
	keysTopic = "acaciaspar.keys"
	// appendTimeout is the timeout of one append to the log.
	appendTimeout = 2 * time.Second
	// maxAppendDelay is the maximum backoff between attempts to append.
	maxAppendDelay = 2 * time.Second
)

// fencing holds the fencing number once it is known. mu guards the other fields.
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

// agentStart is the log record whose offset becomes the fencing number.
type agentStart struct {
	Type     string `json:"type"`
	Endpoint string `json:"endpoint"`
	Instance string `json:"instance"`
}

// fetchFencingNumber appends a record to the log, with retries, until a reply
// contains its offset. If a reply is lost, the record is appended again; this is
// safe because each offset belongs to this instance only and is higher than those
// of earlier instances.
func (a *Agent) fetchFencingNumber(ctx context.Context) error {
	if a.logClient == nil {
		a.log.Info("log-url not set; requests are sent without a fencing number")
		return nil
	}
	record, err := json.Marshal(agentStart{Type: "agent-start", Endpoint: a.settings.Endpoint, Instance: a.identity.Instance})
	if err != nil {
		return eris.Wrap(err, "encode agent-start record")
	}
	delays := backoff.NewExponentialBackOff()
	delays.MaxInterval = maxAppendDelay
	number, err := backoff.Retry(ctx, func() (int64, error) { return a.appendStart(ctx, record) },
		backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(0))
	if err != nil {
		// Retry returns an error only if ctx is cancelled.
		return nil
	}
	a.fencing.set(uint64(number))
	a.log.Info("fencing number obtained", "number", number)
	a.applyConfig()
	return nil
}

func (a *Agent) appendStart(ctx context.Context, record []byte) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offsets, err := a.logClient.Append(callCtx, keysTopic, record)
	if err != nil {
		if ctx.Err() == nil && a.logLimiter.Allow(time.Now(), a.settings.LogURL, "fencing") {
			a.log.Warn("obtain fencing number failed", "error", err)
		}
		return 0, err
	}
	return offsets[0], nil
}
