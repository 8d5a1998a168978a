package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/platform/platformtest"
)

const (
	numCallers = 12
	// callerTimeout is the timeout of callers, which they send with each request.
	callerTimeout = 4 * time.Second
	// maxViolations bounds the number of violations that are reported.
	maxViolations = 20
)

// results collects the responses to all callers.
type results struct {
	mu         sync.Mutex
	violations []string
	succeeded  int
	sent       int
	// refused holds the IDs of the non-idempotent requests that were refused, that
	// is reported as not executed.
	refused []string
	// nonIdempotent holds the IDs of all requests that may be executed only once.
	nonIdempotent []string
}

func (r *results) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, fmt.Sprintf(format, args...))
	}
}

// runCaller sends requests one after another until ctx ends. Each caller has its
// own connections.
func (f *fleet) runCaller(ctx context.Context, caller int, random *rand.Rand, out *results) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		path := []string{"/order/", "/lookup/", "/stream/once/", "/stream/again/"}[random.IntN(4)]
		r := f.routers[random.IntN(len(f.routers))]
		f.sendRequest(ctx, client, r, fmt.Sprintf("%d-%d", caller, n), path, random.IntN(20) == 0, out)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.IntN(30)) * time.Millisecond):
		}
	}
}

// sendRequest sends one request and checks the response. With shortTimeout, the
// caller gives up after 30 ms.
func (f *fleet) sendRequest(ctx context.Context, client *http.Client, r *router, id, path string, shortTimeout bool, out *results) {
	timeout := callerTimeout
	if shortTimeout {
		timeout = 30 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.trafficAddress+path+id, io.NopCloser(strings.NewReader("body of "+id)))
	if err != nil {
		out.addViolation("request %s: %v", id, err)
		return
	}
	req.Host = "soak.example"
	req.Header.Set(platformtest.RequestID, id)
	req.Header.Set(platformtest.Deadline, fmt.Sprint(timeout.Milliseconds()))
	req.Header.Set("Authorization", "Bearer k1")
	req.Header.Set(platformtest.PromptParts, "a:100,b:50,"+id+":30")
	nonIdempotent := path == "/order/" || path == "/stream/once/"
	out.mu.Lock()
	out.sent++
	if nonIdempotent {
		out.nonIdempotent = append(out.nonIdempotent, id)
	}
	out.mu.Unlock()
	response, err := client.Do(req)
	if err != nil {
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	f.checkResponse(id, path, nonIdempotent, response, string(body), err, out)
}

// checkResponse compares a response with what the test endpoints send for this
// request.
func (f *fleet) checkResponse(id, path string, nonIdempotent bool, response *http.Response, body string, err error, out *results) {
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if nonIdempotent {
			out.mu.Lock()
			out.refused = append(out.refused, id)
			out.mu.Unlock()
		}
		return
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return
	default:
		out.addViolation("%s%s: status %d: %s", path, id, response.StatusCode, body)
		return
	}
	if response.Header.Get(platformtest.RequestID) != id || response.Header.Get(platformtest.Signature) == "" {
		out.addViolation("%s%s: response is not that of an endpoint to this request", path, id)
	}
	want := platformtest.Body(id)
	if strings.HasPrefix(path, "/stream/") {
		want = ""
		for n := 1; n <= 10; n++ {
			want += platformtest.Event(id, n)
		}
	}
	switch {
	case err == nil && body != want:
		out.addViolation("%s%s: complete response %q, want %q", path, id, body, want)
	case err != nil && !strings.HasPrefix(want, body):
		out.addViolation("%s%s: truncated response %q is not a prefix of %q", path, id, body, want)
	case err == nil:
		out.mu.Lock()
		out.succeeded++
		out.mu.Unlock()
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, io.ErrUnexpectedEOF):
	}
}

// checkExecutions checks, after all callers have ended, how many times the
// non-idempotent requests were executed.
func (f *fleet) checkExecutions(out *results) {
	for _, id := range out.nonIdempotent {
		if n := f.executions.Count(id); n > 1 {
			out.addViolation("request %s was executed %d times", id, n)
		}
	}
	for _, id := range out.refused {
		if f.executions.Count(id) > 0 {
			out.addViolation("request %s was refused but executed", id)
		}
	}
}
