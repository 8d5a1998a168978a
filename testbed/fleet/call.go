package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
)

// Request is one request of a caller.
type Request struct {
	Router *Process
	Team   string
	// Method is POST if empty.
	Method string
	// Path begins with the service's name, such as "/post-desk/bookings".
	Path string
	Body string
	// Key is the idempotency key, if not empty.
	Key string
	// Hint is the expected cost, if not 0.
	Hint uint64
	// Header holds further headers; it replaces those that the other fields set.
	Header http.Header
	// Chunked sends the body without its length.
	Chunked bool
	// Client sends the request in place of the fleet's own client, if set.
	Client *http.Client
}

// Answer is what the caller got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Outcome is set if the answer isn't the endpoint's own, also at the end of a stream.
	Outcome outcome.Outcome
	// Err is set if the connection failed before the end of the answer.
	Err error
}

// Whole reports whether the answer is the endpoint's own and complete.
func (a *Answer) Whole() bool {
	return a.Err == nil && a.Outcome.Kind == "" && a.Status == http.StatusOK
}

// Text joins the tokens of a streamed completion.
func (a *Answer) Text() string {
	var text strings.Builder
	for line := range strings.Lines(a.Body) {
		data, ok := strings.CutPrefix(line, "data: ")
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if !ok || json.Unmarshal([]byte(data), &chunk) != nil {
			continue
		}
		for _, c := range chunk.Choices {
			text.WriteString(c.Text)
		}
	}
	return text.String()
}

// Pending is a request in progress.
type Pending struct {
	lines  atomic.Int64
	cancel context.CancelFunc
	done   chan struct{}
	answer Answer
}

// Begun reports whether a part of the answer has arrived.
func (p *Pending) Begun() bool { return p.lines.Load() > 0 }

// Done reports whether the answer has ended.
func (p *Pending) Done() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Cancel closes the caller's connection.
func (p *Pending) Cancel() { p.cancel() }

// Wait returns the answer once it has ended.
func (p *Pending) Wait() *Answer {
	<-p.done
	p.cancel()
	return &p.answer
}

// Call sends a request and waits for the end of its answer.
func (f *Fleet) Call(r Request) *Answer { return f.Go(r).Wait() }

// Go sends a request and returns while it is in progress.
func (f *Fleet) Go(r Request) *Pending {
	// The router's own limits are shorter; this one only keeps a test from hanging.
	ctx, cancel := context.WithTimeout(context.Background(), 3*Patience)
	p := &Pending{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		hc := r.Client
		if hc == nil {
			hc = f.callers
		}
		p.send(ctx, hc, f.scheme(), r)
	}()
	return p
}

func (p *Pending) send(ctx context.Context, hc *http.Client, scheme string, r Request) {
	method := r.Method
	if method == "" {
		method = http.MethodPost
	}
	url := scheme + "://" + r.Router.current().readyField("callers") + r.Path
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(r.Body))
	if err != nil {
		p.answer.Err = err
		return
	}
	if r.Chunked {
		req.ContentLength = -1
	}
	req.Header.Set("Authorization", "Bearer "+Token(r.Team))
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	if r.Hint > 0 {
		req.Header.Set("Acaciaspar-Cost-Hint", strconv.FormatUint(r.Hint, 10))
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	resp, err := hc.Do(req)
	if err != nil {
		p.answer.Err = err
		return
	}
	defer resp.Body.Close()
	p.answer.Status = resp.StatusCode
	p.answer.Header = resp.Header
	p.read(resp.Body)
	if resp.Header.Get(outcome.Header) != "" {
		p.decode(p.answer.Body)
	}
}

// read collects the body and the outcome that may end an event stream.
func (p *Pending) read(body io.Reader) {
	var text strings.Builder
	lines := bufio.NewReader(body)
	ending := false
	for {
		line, err := lines.ReadString('\n')
		if line != "" {
			p.lines.Add(1)
		}
		text.WriteString(line)
		if line == "event: "+outcome.StreamEvent+"\n" {
			ending = true
		} else if data, ok := strings.CutPrefix(line, "data: "); ok && ending {
			p.decode(data)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			p.answer.Err = err
			break
		}
	}
	p.answer.Body = text.String()
}

func (p *Pending) decode(text string) {
	if err := json.Unmarshal([]byte(text), &p.answer.Outcome); err != nil {
		p.answer.Err = err
	}
}
