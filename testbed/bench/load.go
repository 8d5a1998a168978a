package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/state/objects"
	"github.com/acaciaspar/acaciaspar/testbed/fleet"
)

// Values of Record.Outcome in addition to the outcome kinds.
const (
	outcomeCompleted = "whole"
	// outcomeCancelled marks a request that was still waiting when the workload ended.
	outcomeCancelled = "cancelled"
	// outcomeRouterKilled marks a request whose entry router was killed.
	outcomeRouterKilled = "cut"
	// outcomeLost marks a request with neither a complete response nor an outcome.
	outcomeLost = "lost"
)

// Record holds what the generator observed of one request. Times are relative to
// the start of the schedule.
type Record struct {
	Arrival
	Sent time.Duration
	// EntryRouter is the index of the router that the request was sent to.
	EntryRouter int
	// First is the time of the endpoint's response header, or 0 without a response.
	First time.Duration
	End   time.Duration
	// Outcome is one of the constants above or the kind of the outcome.
	Outcome   string
	Status    int
	RequestID string
	// ID is the identifier in the body of a request to a plain service.
	ID      string
	Charges []Charge
	// TokenGaps are the times between consecutive tokens.
	TokenGaps []time.Duration
	// Failure is the error of a lost request.
	Failure string
}

// cost returns the sum of the charges in cost units.
func (r *Record) cost() float64 {
	sum := 0.0
	for _, c := range r.Charges {
		sum += c.Units
	}
	return sum
}

// routerSet tracks which routers accept callers, as a load balancer would.
type routerSet struct {
	mu     sync.Mutex
	down   map[int]bool
	killed map[int]bool
}

func (s *routerSet) setState(router int, up, killed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[router] = !up
	s.killed[router] = s.killed[router] || killed
}

func (s *routerSet) wasKilled(router int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed[router]
}

// pick returns the given router or, if it is down, the next one of n that accepts
// callers.
func (s *routerSet) pick(router, n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range n {
		if candidate := (router + i) % n; !s.down[candidate] {
			return candidate
		}
	}
	return router
}

// generator is an open-loop load generator: it sends each request of a schedule
// at its time, whether or not earlier ones have ended.
type generator struct {
	workload *Workload
	variant  Variant
	client   *http.Client
	// urls holds the URL of each router's listener for callers.
	urls    []string
	routers *routerSet
	start   time.Time
	// stopWaiting is closed to cancel the requests that are still waiting.
	stopWaiting chan struct{}
	records     []*Record
	inFlight    sync.WaitGroup
}

func newGenerator(d *deployment) *generator {
	g := &generator{
		workload: d.workload,
		variant:  d.variant,
		// One connection per request, because the client may resend a request that
		// fails on a reused connection.
		client:      &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		routers:     &routerSet{down: map[int]bool{}, killed: map[int]bool{}},
		stopWaiting: make(chan struct{}),
	}
	for _, r := range d.routers {
		g.urls = append(g.urls, r.URL("callers"))
	}
	return g
}

// run sends all requests, cancels those that are still waiting at the end of the
// workload's duration, and returns when all have ended.
func (g *generator) run(schedule []Arrival) {
	for i, a := range schedule {
		r := &Record{Arrival: a, ID: fmt.Sprintf("id-%d", i)}
		g.records = append(g.records, r)
		time.Sleep(time.Until(g.start.Add(a.At)))
		g.inFlight.Go(func() { g.send(r) })
	}
	time.Sleep(time.Until(g.start.Add(g.workload.Duration)))
	close(g.stopWaiting)
	g.inFlight.Wait()
}

func (g *generator) now() time.Duration { return time.Since(g.start) }

func (g *generator) send(r *Record) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	responded := make(chan struct{})
	go func() {
		select {
		case <-g.stopWaiting:
		case <-responded:
			return
		}
		select {
		case <-responded:
		default:
			cancel()
		}
	}()
	r.EntryRouter = g.routers.pick(r.Router, len(g.urls))
	r.Sent = g.now()
	resp, err := g.client.Do(g.request(ctx, r))
	close(responded)
	if err != nil {
		g.recordFailure(ctx, r, err)
		return
	}
	defer resp.Body.Close()
	r.Status, r.RequestID = resp.StatusCode, resp.Header.Get(outcome.RequestHeader)
	if kind := resp.Header.Get(outcome.Header); kind != "" {
		r.End, r.Outcome = g.now(), kind
		return
	}
	r.First = g.now()
	if err := g.readResponse(r, resp.Body); err != nil {
		g.recordFailure(ctx, r, err)
	}
}

// recordFailure records a request without an outcome, with the reason if known.
func (g *generator) recordFailure(ctx context.Context, r *Record, err error) {
	r.End, r.Outcome, r.Failure = g.now(), outcomeLost, err.Error()
	switch {
	case ctx.Err() != nil:
		r.Outcome = outcomeCancelled
	case g.routers.wasKilled(r.EntryRouter):
		r.Outcome = outcomeRouterKilled
	}
}

func (g *generator) request(ctx context.Context, r *Record) *http.Request {
	s := &g.workload.Services[r.Service]
	url := g.urls[r.EntryRouter] + "/" + s.Name
	path, body := s.endpointRequest(r)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+path, strings.NewReader(body))
	if err != nil {
		// The URL consists of validated parts.
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+fleet.Token(g.workload.Teams[r.Team].Name))
	if r.Hint > 0 && !g.variant.NoHints {
		req.Header.Set("Acaciaspar-Cost-Hint", strconv.FormatUint(r.Hint, 10))
	}
	if r.NonIdempotent && r.HasKey {
		req.Header.Set("Idempotency-Key", r.ID)
	}
	return req
}

// endpointRequest returns the path and the body of a request.
func (s *Service) endpointRequest(r *Record) (path, body string) {
	if s.Type == objects.PlainService {
		if r.NonIdempotent {
			return s.NonIdempotentPath, fmt.Sprintf(`{"id":%q}`, r.ID)
		}
		return "/stock", fmt.Sprintf(`{"id":%q}`, r.ID)
	}
	// Prompts differ from the first word on, so that the prefix cache has no effect.
	prompt := r.ID + strings.Repeat(" wool", s.PromptTokens-1)
	return "/v1/completions", fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"stream":true}`, prompt, r.Tokens)
}

// readResponse reads the endpoint's response and records its charges as they arrive.
func (g *generator) readResponse(r *Record, body io.Reader) error {
	s := &g.workload.Services[r.Service]
	if s.Type == objects.PlainService {
		if _, err := io.Copy(io.Discard, body); err != nil {
			return err
		}
		r.End, r.Outcome = g.now(), outcomeCompleted
		r.Charges = []Charge{{At: r.End, Units: float64(s.ServiceTime.Milliseconds())}}
		return nil
	}
	return g.readStream(r, bufio.NewReader(body))
}

var (
	dataPrefix  = []byte("data: ")
	eventPrefix = []byte("event: " + outcome.StreamEvent)
	doneLine    = []byte("data: [DONE]")
	usageKey    = []byte(`"usage":`)
)

func (g *generator) readStream(r *Record, lines *bufio.Reader) error {
	last := time.Duration(0)
	inOutcomeEvent := false
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return err
		}
		now := g.now()
		switch {
		case bytes.HasPrefix(line, doneLine):
			r.End, r.Outcome = now, outcomeCompleted
			return nil
		case bytes.HasPrefix(line, eventPrefix):
			inOutcomeEvent = true
		case inOutcomeEvent && bytes.HasPrefix(line, dataPrefix):
			var o outcome.Outcome
			if err := json.Unmarshal(line[len(dataPrefix):], &o); err != nil {
				return err
			}
			r.End, r.Outcome = now, string(o.Kind)
			return nil
		case bytes.HasPrefix(line, dataPrefix) && bytes.Contains(line, usageKey):
			prompt := g.workload.Services[r.Service].PromptTokens
			r.Charges = append(r.Charges, Charge{At: now, Units: float64(prompt)})
		case bytes.HasPrefix(line, dataPrefix):
			r.Charges = append(r.Charges, Charge{At: now, Units: 1})
			if last > 0 {
				r.TokenGaps = append(r.TokenGaps, now-last)
			}
			last = now
		}
	}
}
