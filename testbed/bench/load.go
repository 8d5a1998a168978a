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

// How a request ended at the generator, besides the kinds of outcomes.
const (
	endWhole = "whole"
	// endCancelled marks a request that still waited when the run ended.
	endCancelled = "cancelled"
	// endCut marks a request whose entry router was killed.
	endCut = "cut"
	// endLost marks a request with neither a whole answer nor an outcome.
	endLost = "lost"
)

// Record is what the generator saw of one request. Times count from the start
// of the run.
type Record struct {
	Arrival
	Sent time.Duration
	// Entry is the router that it was sent to.
	Entry int
	// First is the time of the first byte of an answer of the endpoint, 0 without one.
	First time.Duration
	End   time.Duration
	// Ended is endWhole, endCancelled, endLost or the kind of the outcome.
	Ended   string
	Status  int
	Request string
	// ID is the identifier in the body of a request to a plain service.
	ID      string
	Charges []Charge
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Failure is the error of a lost request.
	Failure string
}

// cost is the sum of the charges.
func (r *Record) cost() float64 {
	sum := 0.0
	for _, c := range r.Charges {
		sum += c.Units
	}
	return sum
}

// routerSet tells which routers take callers, as a load balancer would know.
type routerSet struct {
	mu     sync.Mutex
	down   map[int]bool
	killed map[int]bool
}

func (u *routerSet) set(router int, up, killed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.down[router] = !up
	u.killed[router] = u.killed[router] || killed
}

func (u *routerSet) wasKilled(router int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.killed[router]
}

// pick returns the router, or the next one that takes callers.
func (u *routerSet) pick(router, n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := range n {
		if candidate := (router + i) % n; !u.down[candidate] {
			return candidate
		}
	}
	return router
}

// generator sends the requests of a schedule, each at its time, whether or not
// earlier ones have ended.
type generator struct {
	workload *Workload
	variant  Variant
	client   *http.Client
	// urls holds the address of each router's callers' listener.
	urls  []string
	up    *routerSet
	began time.Time
	// over is closed when requests that still wait are given up.
	over    chan struct{}
	records []*Record
	pending sync.WaitGroup
}

func newGenerator(d *deployment) *generator {
	g := &generator{
		workload: d.workload,
		variant:  d.variant,
		// A connection per request, so that the client never sends a request twice.
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		up:     &routerSet{down: map[int]bool{}, killed: map[int]bool{}},
		over:   make(chan struct{}),
	}
	for _, r := range d.routers {
		g.urls = append(g.urls, r.URL("callers"))
	}
	return g
}

// run sends all requests, gives up those that wait at the end of the
// workload's duration and returns when all have ended.
func (g *generator) run(schedule []Arrival) {
	for i, a := range schedule {
		r := &Record{Arrival: a, ID: fmt.Sprintf("id-%d", i)}
		g.records = append(g.records, r)
		time.Sleep(time.Until(g.began.Add(a.At)))
		g.pending.Go(func() { g.send(r) })
	}
	time.Sleep(time.Until(g.began.Add(g.workload.Duration)))
	close(g.over)
	g.pending.Wait()
}

func (g *generator) now() time.Duration { return time.Since(g.began) }

func (g *generator) send(r *Record) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	begun := make(chan struct{})
	go func() {
		select {
		case <-g.over:
		case <-begun:
			return
		}
		select {
		case <-begun:
		default:
			cancel()
		}
	}()
	r.Entry = g.up.pick(r.Router, len(g.urls))
	r.Sent = g.now()
	resp, err := g.client.Do(g.request(ctx, r))
	close(begun)
	if err != nil {
		g.fail(ctx, r, err)
		return
	}
	defer resp.Body.Close()
	r.Status, r.Request = resp.StatusCode, resp.Header.Get(outcome.RequestHeader)
	if kind := resp.Header.Get(outcome.Header); kind != "" {
		r.End, r.Ended = g.now(), kind
		return
	}
	r.First = g.now()
	if err := g.read(r, resp.Body); err != nil {
		g.fail(ctx, r, err)
	}
}

func (g *generator) fail(ctx context.Context, r *Record, err error) {
	r.End, r.Ended, r.Failure = g.now(), endLost, err.Error()
	switch {
	case ctx.Err() != nil:
		r.Ended = endCancelled
	case g.up.wasKilled(r.Entry):
		r.Ended = endCut
	}
}

func (g *generator) request(ctx context.Context, r *Record) *http.Request {
	s := &g.workload.Services[r.Service]
	url := g.urls[r.Entry] + "/" + s.Name
	path, body := s.call(r)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+path, strings.NewReader(body))
	if err != nil {
		// The address is made of checked parts.
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+fleet.Token(g.workload.Teams[r.Team].Name))
	if r.Hint > 0 && !g.variant.NoHints {
		req.Header.Set("Acaciaspar-Cost-Hint", strconv.FormatUint(r.Hint, 10))
	}
	if r.Act && r.Keyed {
		req.Header.Set("Idempotency-Key", r.ID)
	}
	return req
}

// call returns the path and the body of a request.
func (s *Service) call(r *Record) (path, body string) {
	if s.Type == objects.PlainService {
		if r.Act {
			return s.Act, fmt.Sprintf(`{"id":%q}`, r.ID)
		}
		return "/stock", fmt.Sprintf(`{"id":%q}`, r.ID)
	}
	// Prompts differ from the first word on, so that the prefix cache changes no cost.
	prompt := r.ID + strings.Repeat(" wool", s.PromptTokens-1)
	return "/v1/completions", fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"stream":true}`, prompt, r.Tokens)
}

// read takes the answer of an endpoint and charges its cost as it passes.
func (g *generator) read(r *Record, body io.Reader) error {
	s := &g.workload.Services[r.Service]
	if s.Type == objects.PlainService {
		if _, err := io.Copy(io.Discard, body); err != nil {
			return err
		}
		r.End, r.Ended = g.now(), endWhole
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
	ending := false
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return err
		}
		now := g.now()
		switch {
		case bytes.HasPrefix(line, doneLine):
			r.End, r.Ended = now, endWhole
			return nil
		case bytes.HasPrefix(line, eventPrefix):
			ending = true
		case ending && bytes.HasPrefix(line, dataPrefix):
			var o outcome.Outcome
			if err := json.Unmarshal(line[len(dataPrefix):], &o); err != nil {
				return err
			}
			r.End, r.Ended = now, string(o.Kind)
			return nil
		case bytes.HasPrefix(line, dataPrefix) && bytes.Contains(line, usageKey):
			prompt := g.workload.Services[r.Service].PromptTokens
			r.Charges = append(r.Charges, Charge{At: now, Units: float64(prompt)})
		case bytes.HasPrefix(line, dataPrefix):
			r.Charges = append(r.Charges, Charge{At: now, Units: 1})
			if last > 0 {
				r.Gaps = append(r.Gaps, now-last)
			}
			last = now
		}
	}
}
