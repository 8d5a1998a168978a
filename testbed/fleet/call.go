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

// Request describes a caller's request to a router.
type Request struct {
	Router *Process
	Team   string
	// Method is the HTTP method; empty means POST.
	Method string
	// Path starts with the service name, such as "/post-desk/bookings".
	Path string
	Body string
	// Key is the idempotency key; empty sends none.
	Key string
	// Hint is the expected cost; 0 sends none.
	Hint uint64
	// Header holds additional headers. They override those set by the other fields.
	Header http.Header
	// Chunked sends the body without a Content-Length.
	Chunked bool
	// Client, if set, is used instead of the fleet's default client.
	Client *http.Client
}

// Response is the response that the caller received.
type Response struct {
	Status int
	Header http.Header
	Body   string
	// Outcome is set if the router or agent ended the request instead of the
	// endpoint, including at the end of a stream.
	Outcome outcome.Outcome
	// Err is set if the connection failed before the end of the response.
	Err error
}

// Complete reports whether the response came from the endpoint, with status 200,
// and was received completely.
func (r *Response) Complete() bool {
	return r.Err == nil && r.Outcome.Kind == "" && r.Status == http.StatusOK
}

// Text returns the concatenated tokens of a streamed completion.
func (r *Response) Text() string {
	var text strings.Builder
	for line := range strings.Lines(r.Body) {
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
	lines    atomic.Int64
	cancel   context.CancelFunc
	done     chan struct{}
	response Response
}

// Started reports whether any part of the response body has been received.
func (p *Pending) Started() bool { return p.lines.Load() > 0 }

// Done reports whether the request has ended.
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

// Wait blocks until the request has ended and returns its response.
func (p *Pending) Wait() *Response {
	<-p.done
	p.cancel()
	return &p.response
}

// Call sends a request and waits for the end of its response.
func (f *Fleet) Call(r Request) *Response { return f.Send(r).Wait() }

// Send sends a request and returns without waiting for the response.
func (f *Fleet) Send(r Request) *Pending {
	// The router's timeouts are shorter; this one only prevents a hanging test.
	ctx, cancel := context.WithTimeout(context.Background(), 3*WaitTimeout)
	p := &Pending{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		client := r.Client
		if client == nil {
			client = f.callerClient
		}
		p.send(ctx, client, f.scheme(), r)
	}()
	return p
}

func (p *Pending) send(ctx context.Context, client *http.Client, scheme string, r Request) {
	method := r.Method
	if method == "" {
		method = http.MethodPost
	}
	url := scheme + "://" + r.Router.current().readyField("callers") + r.Path
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(r.Body))
	if err != nil {
		p.response.Err = err
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
	resp, err := client.Do(req)
	if err != nil {
		p.response.Err = err
		return
	}
	defer resp.Body.Close()
	p.response.Status = resp.StatusCode
	p.response.Header = resp.Header
	p.readBody(resp.Body)
	if resp.Header.Get(outcome.Header) != "" {
		p.decodeOutcome(p.response.Body)
	}
}

// readBody reads the body, including the outcome event that may end an event
// stream.
func (p *Pending) readBody(body io.Reader) {
	var text strings.Builder
	lines := bufio.NewReader(body)
	inOutcomeEvent := false
	for {
		line, err := lines.ReadString('\n')
		if line != "" {
			p.lines.Add(1)
		}
		text.WriteString(line)
		if line == "event: "+outcome.StreamEvent+"\n" {
			inOutcomeEvent = true
		} else if data, ok := strings.CutPrefix(line, "data: "); ok && inOutcomeEvent {
			p.decodeOutcome(data)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			p.response.Err = err
			break
		}
	}
	p.response.Body = text.String()
}

func (p *Pending) decodeOutcome(text string) {
	if err := json.Unmarshal([]byte(text), &p.response.Outcome); err != nil {
		p.response.Err = err
	}
}
