package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/idemkey"
	"github.com/acaciaspar/acaciaspar/coordination/lifecycle"
	"github.com/acaciaspar/acaciaspar/coordination/retry"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/state/configstore"
)

// says answers as an agent does with an outcome of its own.
func says(kind outcome.Kind, status int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_ = outcome.New(kind, status, r.Header.Get("Acaciaspar-Request"), "said so").Write(w)
	}
}

// cut ends the stream before an answer.
func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// cutAfter ends the stream after a part of an answer of this type.
func cutAfter(contentType, part string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// hang answers nothing until the router ends the stream.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// hangAfter sends a part of an answer and then nothing.
func hangAfter(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, "part")
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

func mustOutcome(t *testing.T, got reply, status int, kind outcome.Kind) outcome.Outcome {
	t.Helper()
	must.NoError(t, got.failure)
	must.Eq(t, status, got.status, must.Sprint(got.body))
	must.Eq(t, string(kind), got.header.Get(outcome.Header))
	var o outcome.Outcome
	must.NoError(t, json.Unmarshal([]byte(got.body), &o))
	must.Eq(t, kind, o.Kind)
	must.Eq(t, got.header.Get(outcome.RequestHeader), o.Request)
	must.NotEq(t, "", o.Request)
	return o
}

// Guards against a wrong status or outcome for a request that never gets to the queue.
func TestRefusalsBeforeTheQueue(t *testing.T) {
	agent := newAgent(t, echo)
	b := newBench(t, eachTo(agent.address), func(o *Options) { o.Limits.MaxBody = 10 })
	cases := []struct {
		name, path, token, body string
		headers                 []string
		status                  int
	}{
		{"no token", "/post-desk/stock", "", "", nil, 401},
		{"wrong token", "/post-desk/stock", "guess", "", nil, 401},
		{"unknown service", "/nothing/stock", "harbour-token", "", nil, 404},
		{"unknown operation", "/post-desk/stock/x", "harbour-token", "", nil, 404},
		{"no share", "/other/run", "harbour-token", "", nil, 403},
		{"large body", "/post-desk/stock", "harbour-token", "eleven byte", nil, 413},
		{"large headers", "/post-desk/stock", "harbour-token", "", []string{"X-Large", strings.Repeat("x", maxHeaderBytes)}, 431},
		{"key without a log", "/post-desk/label", "harbour-token", "", []string{keyHeader, "k1"}, 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			mustOutcome(t, b.post(c.path, c.token, c.body, c.headers...), c.status, outcome.NotRun)
		})
	}
	t.Run("large body of unknown length", func(t *testing.T) {
		body := io.MultiReader(strings.NewReader("eleven "), strings.NewReader("byte"))
		got := b.postContext(context.Background(), "/post-desk/stock", "harbour-token", body)
		mustOutcome(t, got, 413, outcome.NotRun)
	})
	must.Zero(t, agent.calls.Load())
	must.MapEmpty(t, b.server.teams)
	must.Zero(t, b.server.held)
}

// Guards against a router that serves callers before it has a configuration.
func TestNoConfiguration(t *testing.T) {
	b := newBench(t, nowhere, func(o *Options) { o.Store = configstore.New() })
	mustOutcome(t, b.post("/post-desk/stock", "harbour-token", ""), 503, outcome.NotRun)
}

// Guards against a wrong outcome, or a wrong number of sends, for each way in
// which an attempt can end. The script lists what the agent does per attempt.
func TestAttempts(t *testing.T) {
	notRun := says(outcome.NotRun, 503)
	lostAnswer := says(outcome.Unknown, 502)
	ran := says(outcome.Failed, 502)
	html := cutAfter("text/html", "<p>")
	headersOnly := cutAfter("text/html", "")
	cases := []struct {
		name   string
		path   string
		script []http.HandlerFunc
		status int
		kind   outcome.Kind
		sends  int64
	}{
		{"label runs after a refusal", "label", []http.HandlerFunc{notRun, echo}, 201, "", 2},
		{"label is refused for ever", "label", []http.HandlerFunc{notRun}, 503, outcome.NotRun, 9},
		{"label fails", "label", []http.HandlerFunc{ran, echo}, 502, outcome.Failed, 1},
		{"stock fails", "stock", []http.HandlerFunc{ran, echo}, 502, outcome.Failed, 1},
		{"label is unknown to the agent", "label", []http.HandlerFunc{lostAnswer, echo}, 502, outcome.Unknown, 1},
		{"label is cut", "label", []http.HandlerFunc{cut, echo}, 502, outcome.Unknown, 1},
		{"label is cut after the headers", "label", []http.HandlerFunc{headersOnly, echo}, 502, outcome.Unknown, 1},
		{"label is cut after a refusal", "label", []http.HandlerFunc{notRun, cut, echo}, 502, outcome.Unknown, 2},
		{"stock is cut", "stock", []http.HandlerFunc{cut, echo}, 201, "", 2},
		{"stock is unknown to the agent", "stock", []http.HandlerFunc{lostAnswer, echo}, 201, "", 2},
		{"stock is cut after the headers", "stock", []http.HandlerFunc{headersOnly, echo}, 201, "", 2},
		{"stock is cut, then refused for ever", "stock", []http.HandlerFunc{cut, notRun}, 502, outcome.Unknown, 10},
		{"stock is cut after a byte", "stock", []http.HandlerFunc{html, echo}, 0, "", 1},
		{"label is cut after a byte", "label", []http.HandlerFunc{html, echo}, 0, "", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			agent := newAgent(t, c.script...)
			b := newBench(t, eachTo(agent.address))
			got := b.post("/post-desk/"+c.path, "harbour-token", "x")
			switch {
			case c.status == 0:
				must.Error(t, got.failure, must.Sprintf("a cut answer looks complete: %+v", got))
			case c.kind == "":
				must.NoError(t, got.failure)
				must.Eq(t, c.status, got.status)
				must.Eq(t, "harbour:x", got.body)
			default:
				mustOutcome(t, got, c.status, c.kind)
			}
			must.Eq(t, c.sends, agent.calls.Load())
			eventually(t, "the request is forgotten", func() bool { return len(b.server.Status()) == 0 })
		})
	}
}

// Guards against retries beyond a request's limit and beyond the router's budget.
func TestRetryBudget(t *testing.T) {
	agent := newAgent(t, cut)
	b := newBench(t, eachTo(agent.address))
	mustOutcome(t, b.post("/post-desk/stock", "harbour-token", ""), 502, outcome.Unknown)
	must.Eq(t, 1+lifecycle.MaxRetries, agent.calls.Load())
	for range 5 {
		mustOutcome(t, b.post("/post-desk/stock", "harbour-token", ""), 502, outcome.Unknown)
	}
	must.Eq(t, retry.Floor, b.counter("entry.retries"))
}

// Guards against unknown for a request whose connection was refused, and
// against a request that isn't sent to the next agent.
func TestConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	closed := l.Addr().String()
	must.NoError(t, l.Close())
	agent := newAgent(t, echo)
	b := newBench(t, func(ticket *fleetpb.Ticket) string {
		if ticket.Attempt == 1 {
			return closed
		}
		return agent.address
	})
	got := b.post("/post-desk/label", "harbour-token", "x")
	must.NoError(t, got.failure)
	must.Eq(t, 201, got.status)
	must.Eq(t, 1, b.counter("entry.requeues"))

	b.owner.set(func() { b.owner.pick = eachTo(closed) })
	mustOutcome(t, b.post("/post-desk/label", "harbour-token", "x"), 503, outcome.NotRun)
	must.Eq(t, 1, agent.calls.Load())
}

// Guards against not-run for a request whose agent took the connection and
// closed it: the request may have been read.
func TestConnectionClosedAfterAccept(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1024))
			_ = conn.Close()
		}
	}()
	b := newBench(t, eachTo(l.Addr().String()))
	mustOutcome(t, b.post("/post-desk/label", "harbour-token", "x"), 502, outcome.Unknown)
}

// Guards against unknown for a request that the agent certainly did not
// process because it was shutting down, and against not-run for other ends of
// the stream. The agent is a listener that answers each stream with one frame.
func TestStreamNotProcessed(t *testing.T) {
	const reset, goAway = 3, 7
	cases := []struct {
		name    string
		kind    byte
		payload []byte
		status  int
		told    outcome.Kind
	}{
		{"refused stream", reset, []byte{0, 0, 0, 7}, 503, outcome.NotRun},
		{"GOAWAY before the stream", goAway, make([]byte, 8), 503, outcome.NotRun},
		{"protocol error", reset, []byte{0, 0, 0, 1}, 502, outcome.Unknown},
		{"internal error", reset, []byte{0, 0, 0, 2}, 502, outcome.Unknown},
		{"cancelled stream", reset, []byte{0, 0, 0, 8}, 502, outcome.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go answerStreams(conn, c.kind, c.payload)
				}
			}()
			b := newBench(t, eachTo(l.Addr().String()))
			mustOutcome(t, b.post("/post-desk/label", "harbour-token", "x"), c.status, c.told)
		})
	}
}

// answerStreams answers every stream of a connection with one frame; GOAWAY
// belongs to the connection and has stream 0.
func answerStreams(conn net.Conn, kind byte, payload []byte) {
	const preface, headers, settings, goAway = 24, 1, 4, 7
	defer conn.Close()
	frame := func(kind, stream byte, payload []byte) {
		_, _ = conn.Write(append([]byte{0, 0, byte(len(payload)), kind, 0, 0, 0, 0, stream}, payload...))
	}
	_, _ = io.CopyN(io.Discard, conn, preface)
	frame(settings, 0, nil)
	for {
		var head [9]byte
		if _, err := io.ReadFull(conn, head[:]); err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, conn, int64(head[0])<<16|int64(head[1])<<8|int64(head[2]))
		switch {
		case head[3] != headers:
		case kind == goAway:
			frame(kind, 0, payload)
		default:
			frame(kind, head[8], payload)
		}
	}
}

// Guards against an event stream that ends without saying that it was cut.
func TestCutEventStream(t *testing.T) {
	agent := newAgent(t, cutAfter("text/event-stream; charset=utf-8", "data: one\n\n"))
	b := newBench(t, eachTo(agent.address))
	got := b.post("/post-desk/label", "harbour-token", "")
	must.NoError(t, got.failure)
	must.StrHasPrefix(t, "data: one\n\n", got.body)
	must.StrContains(t, got.body, "event: acaciaspar-outcome\ndata: {\"outcome\":\"unknown\"")
	must.StrHasSuffix(t, "\n\n", got.body)
}

// Guards against requests that wait or run for ever, and against a time limit
// that is told as not-run after the request left.
func TestTimeLimits(t *testing.T) {
	// Long enough for the connection to the agent on a busy machine.
	const short = 500 * time.Millisecond
	silent, stopping := newAgent(t, hang), newAgent(t, hangAfter)
	cases := []struct {
		name   string
		pick   func(*fleetpb.Ticket) string
		limit  func(*Limits)
		status int
		kind   outcome.Kind
	}{
		{"queue", nowhere, func(l *Limits) { l.QueueTimeout = short }, 503, outcome.NotRun},
		{"answer", eachTo(silent.address), func(l *Limits) { l.AnswerTimeout = short }, 504, outcome.Unknown},
		{"between bytes", eachTo(stopping.address), func(l *Limits) { l.IdleTimeout = short }, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, c.pick, func(o *Options) { c.limit(&o.Limits) })
			got := b.post("/post-desk/stock", "harbour-token", "")
			if c.status == 0 {
				must.Error(t, got.failure)
				return
			}
			mustOutcome(t, got, c.status, c.kind)
		})
	}
}

// Guards against a caller that takes up room by sending its body slowly.
func TestSlowSender(t *testing.T) {
	b := newBench(t, nowhere, func(o *Options) { o.Limits.BodyTimeout = 50 * time.Millisecond })
	conn, err := net.Dial("tcp", b.front.Listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	fmt.Fprint(conn, "POST /post-desk/stock HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer harbour-token\r\nContent-Length: 5\r\n\r\nab")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	defer resp.Body.Close()
	must.Eq(t, 408, resp.StatusCode)
	must.Eq(t, "not-run", resp.Header.Get(outcome.Header))
	eventually(t, "the body's memory is free", func() bool {
		b.server.mu.Lock()
		defer b.server.mu.Unlock()
		return b.server.held == 0 && len(b.server.teams) == 0
	})
}

// Guards against a caller that holds an endpoint's slot by not reading its
// answer: the work is cancelled.
func TestSlowReader(t *testing.T) {
	agent := newAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		for part := make([]byte, 1<<20); ; {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})
	b := newBench(t, eachTo(agent.address), func(o *Options) { o.Limits.IdleTimeout = time.Second })
	conn, err := net.Dial("tcp", b.front.Listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	fmt.Fprint(conn, "POST /post-desk/stock HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer harbour-token\r\nContent-Length: 0\r\n\r\n")
	eventually(t, "the request is cancelled", func() bool { return b.counter("entry.outcome.cancelled") == 1 })
}

// Guards against a team that takes up the queue or the memory of others.
func TestFlood(t *testing.T) {
	limits := func(o *Options) {
		o.Limits.TeamQueueCount = 3
		o.Limits.TeamQueueBytes = 100 << 10
		o.Limits.MaxHeldBody = 150 << 10
	}
	flood := func(b *bench, token, body string, n int) {
		ctx, cancel := context.WithCancel(context.Background())
		before := b.owner.waits()
		var wg sync.WaitGroup
		for range n {
			wg.Go(func() { b.postContext(ctx, "/post-desk/stock", token, strings.NewReader(body)) })
		}
		b.t.Cleanup(wg.Wait)
		b.t.Cleanup(cancel)
		eventually(b.t, "the flood waits", func() bool { return b.owner.waits() >= before+n })
	}
	t.Run("count", func(t *testing.T) {
		b := newBench(t, nowhere, limits)
		flood(b, "harbour-token", "", 3)
		o := mustOutcome(t, b.post("/post-desk/stock", "harbour-token", ""), 429, outcome.NotRun)
		must.Positive(t, o.RetryAfterSeconds)
		agent := newAgent(t, echo)
		b.owner.set(func() { b.owner.pick = eachTo(agent.address) })
		must.Eq(t, 201, b.post("/post-desk/stock", "quarry-token", "").status)
	})
	t.Run("bytes", func(t *testing.T) {
		b := newBench(t, nowhere, limits)
		flood(b, "harbour-token", strings.Repeat("x", 60<<10), 1)
		mustOutcome(t, b.post("/post-desk/stock", "harbour-token", strings.Repeat("x", 60<<10)), 429, outcome.NotRun)
		mustOutcome(t, b.post("/post-desk/stock", "quarry-token", strings.Repeat("x", 99<<10)), 503, outcome.NotRun)
	})
	t.Run("requests without a body", func(t *testing.T) {
		b := newBench(t, nowhere, limits, func(o *Options) { o.Limits.MaxHeldBody = 4*requestOverhead + 100 })
		flood(b, "harbour-token", "", 3)
		flood(b, "quarry-token", "", 1)
		mustOutcome(t, b.post("/post-desk/stock", "quarry-token", ""), 503, outcome.NotRun)
	})
	t.Run("queue owner", func(t *testing.T) {
		b := newBench(t, nowhere)
		b.owner.set(func() { b.owner.refuse = true })
		mustOutcome(t, b.post("/post-desk/stock", "harbour-token", ""), 429, outcome.NotRun)
	})
}

// fakeKeys decides claims as a test says.
type fakeKeys struct {
	mu       sync.Mutex
	result   idemkey.Result
	err      error
	released []string
}

func (k *fakeKeys) Claim(context.Context, string, string, string, string, string) (idemkey.Result, error) {
	return k.result, k.err
}

func (k *fakeKeys) Release(request string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.released = append(k.released, request)
}

// Guards against a keyed request that runs without its key, and against a key
// that is freed although the request may have run, or kept although it did not.
func TestIdempotencyKeys(t *testing.T) {
	won := idemkey.Result{Verdict: idemkey.Won}
	late := idemkey.Result{Verdict: idemkey.Won, DispatchBefore: time.Now().Add(-time.Second)}
	cases := []struct {
		name     string
		keys     fakeKeys
		script   http.HandlerFunc
		status   int
		kind     outcome.Kind
		sends    int64
		released int
	}{
		{"won", fakeKeys{result: won}, echo, 201, "", 1, 0},
		{"duplicate", fakeKeys{result: idemkey.Result{Verdict: idemkey.Duplicate}}, echo, 409, outcome.Unknown, 0, 0},
		{"log out", fakeKeys{err: fmt.Errorf("the log is out")}, echo, 503, outcome.NotRun, 0, 0},
		{"too late to dispatch", fakeKeys{result: late}, echo, 503, outcome.NotRun, 0, 1},
		{"cut", fakeKeys{result: won}, cut, 502, outcome.Unknown, 1, 0},
		{"refused by agents", fakeKeys{result: won}, says(outcome.NotRun, 503), 503, outcome.NotRun, 9, 1},
	}
	for i := range cases {
		c := &cases[i]
		t.Run(c.name, func(t *testing.T) {
			agent := newAgent(t, c.script)
			b := newBench(t, eachTo(agent.address), func(o *Options) { o.Keys = &c.keys })
			got := b.post("/post-desk/label", "harbour-token", "x", keyHeader, "k1")
			must.Eq(t, c.status, got.status)
			must.Eq(t, string(c.kind), got.header.Get(outcome.Header))
			must.Eq(t, c.sends, agent.calls.Load())
			eventually(t, "the request has ended", func() bool { return len(b.server.Status()) == 0 })
			must.SliceLen(t, c.released, c.keys.released)
		})
	}
}
