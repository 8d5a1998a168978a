package confirm

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/protocol/dialect"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/transport/endpointhttp"
)

const (
	// interval is the interval at which due questions are sent.
	interval = 50 * time.Millisecond
	// answerTimeout bounds one question.
	answerTimeout = time.Second
	// maxReportBytes bounds the report of an endpoint.
	maxReportBytes = 256 << 10
)

// Report describes how endpoints report their start time.
type Report struct {
	// Path is the URL path of an endpoint's report on itself.
	Path string
	// Started decodes the start time in a report.
	Started func(body []byte) (time.Time, error)
}

// Confirmer asks endpoints whose incarnation is in doubt.
type Confirmer struct {
	Dispatcher *dispatch.Dispatcher
	Pool       *endpointhttp.Pool
	Dialect    dialect.Dialect
	Report     Report
	// StoreAnswered returns the bounds of the latest time in which the store is known to have answered,
	// or zero times while it doesn't.
	StoreAnswered func(now time.Time) (since, until time.Time)
	Log           *slog.Logger
	Metrics       metrics.Registry
}

// Run asks endpoints until ctx is done and returns its error.
func (c *Confirmer) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	asked := metrics.GetOrRegisterCounter("direct.endpoint_reports", c.Metrics)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			c.Dispatcher.SettleIncarnations(c.StoreAnswered(now))
			for _, e := range c.Dispatcher.TakeQuestions(now) {
				asked.Inc(1)
				go c.ask(ctx, e)
			}
		}
	}
}

// ask asks one endpoint and records what follows from its answer.
func (c *Confirmer) ask(ctx context.Context, e registry.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	askedAt := time.Now()
	started, reached, err := c.startTime(ctx, e)
	now := time.Now()
	switch {
	case err == nil:
		restarted := c.Dispatcher.Reported(now, askedAt, e.ID, started)
		c.Log.Info("endpoint reported its start", "endpoint", e.ID, "started", started, "registered", e.Started, "restarted", restarted)
	case reached:
		c.Dispatcher.Reached(now, askedAt, e.ID)
		c.Log.Info("endpoint reported no start", "endpoint", e.ID, "error", err.Error())
	default:
		c.Dispatcher.Unanswered(now, e.ID)
		c.Log.Info("endpoint could not be asked for its start", "endpoint", e.ID, "error", err.Error())
	}
}

var (
	errEvacuated     = eris.New("the zone of the endpoint is evacuated")
	errOtherEndpoint = eris.New("another endpoint has the address")
	errRestarted     = eris.New("the endpoint has restarted since its entry was read")
)

// startTime asks an endpoint on a new connection. reached is set if it responded, though perhaps
// not with a report.
func (c *Confirmer) startTime(ctx context.Context, e registry.Endpoint) (started time.Time, reached bool, err error) {
	target := endpointhttp.Target{Instance: e.ID, Address: e.Address}
	request := c.reportRequest(e)
	request.Recheck = func(func() bool) error {
		if c.Dispatcher.Evacuated(e) {
			return errEvacuated
		}
		return nil
	}
	response, err := c.Pool.DoNew(ctx, target, request)
	if err != nil {
		return time.Time{}, false, err
	}
	defer response.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return time.Time{}, response.Status != http.StatusMisdirectedRequest, eris.Wrap(err, "read report")
	}
	started, err = c.decodeReport(response.Status, body)
	return started, !errors.Is(err, errOtherEndpoint), err
}

func (c *Confirmer) reportRequest(e registry.Endpoint) *endpointhttp.Request {
	return &endpointhttp.Request{
		Method: http.MethodGet, URI: c.Report.Path, Host: e.Address,
		Header: http.Header{c.Dialect.ExpectedInstance: {e.ID}}, IDHeader: c.Dialect.RequestID,
	}
}

func (c *Confirmer) decodeReport(status int, body []byte) (time.Time, error) {
	switch status {
	case http.StatusMisdirectedRequest:
		return time.Time{}, errOtherEndpoint
	case http.StatusOK:
		return c.Report.Started(body)
	}
	return time.Time{}, eris.Errorf("status %d", status)
}

// Verification returns the verification of a connection to an endpoint, or nil if its incarnations can't
// be told apart.
func (c *Confirmer) Verification(e registry.Endpoint) *endpointhttp.Verification {
	if e.Started.IsZero() {
		return nil
	}
	check := func(status int, body []byte) error {
		started, err := c.decodeReport(status, body)
		switch {
		case err == nil && started.Equal(e.Started):
			return nil
		case err == nil:
			c.Dispatcher.DoubtIncarnation(time.Now(), e.ID)
			err = errRestarted
		case !errors.Is(err, errOtherEndpoint):
			return endpointhttp.ErrCannotVerify
		}
		c.Log.Info("connection to an endpoint not used", "endpoint", e.ID, "started", started, "registered", e.Started, "error", err.Error())
		return err
	}
	return &endpointhttp.Verification{Request: c.reportRequest(e), Check: check}
}
