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
	callers = 12
	// callerPatience is the deadline that callers state.
	callerPatience = 4 * time.Second
	// kept bounds the report of violations.
	kept = 20
)

// results collects what callers saw.
type results struct {
	mu         sync.Mutex
	violations []string
	answered   int
	sent       int
	// refused are the non-idempotent requests that were told "not run".
	refused []string
	// once are all requests that may run only once.
	once []string
}

func (r *results) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) < kept {
		r.violations = append(r.violations, fmt.Sprintf(format, args...))
	}
}

// call sends requests until ctx ends. Each caller keeps its connections.
func (f *fleet) call(ctx context.Context, caller int, random *rand.Rand, out *results) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		path := []string{"/order/", "/lookup/", "/stream/once/", "/stream/again/"}[random.IntN(4)]
		r := f.routers[random.IntN(len(f.routers))]
		f.request(ctx, client, r, fmt.Sprintf("%d-%d", caller, n), path, random.IntN(20) == 0, out)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.IntN(30)) * time.Millisecond):
		}
	}
}

// request sends one request and checks its answer. leave makes the caller give
// up early.
func (f *fleet) request(ctx context.Context, client *http.Client, r *router, id, path string, leave bool, out *results) {
	patience := callerPatience
	if leave {
		patience = 30 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	in, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.front+path+id, io.NopCloser(strings.NewReader("body of "+id)))
	if err != nil {
		out.violation("request %s: %v", id, err)
		return
	}
	in.Host = "soak.example"
	in.Header.Set(platformtest.RequestID, id)
	in.Header.Set(platformtest.Deadline, fmt.Sprint(patience.Milliseconds()))
	in.Header.Set("Authorization", "Bearer k1")
	in.Header.Set(platformtest.PromptParts, "a:100,b:50,"+id+":30")
	once := path == "/order/" || path == "/stream/once/"
	out.mu.Lock()
	out.sent++
	if once {
		out.once = append(out.once, id)
	}
	out.mu.Unlock()
	response, err := client.Do(in)
	if err != nil {
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	f.check(id, path, once, response, string(body), err, out)
}

// check compares an answer with what a worker sends for this request.
func (f *fleet) check(id, path string, once bool, response *http.Response, body string, err error, out *results) {
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if once {
			out.mu.Lock()
			out.refused = append(out.refused, id)
			out.mu.Unlock()
		}
		return
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return
	default:
		out.violation("%s%s: status %d: %s", path, id, response.StatusCode, body)
		return
	}
	if response.Header.Get(platformtest.RequestID) != id || response.Header.Get(platformtest.Signature) == "" {
		out.violation("%s%s: the answer is not the worker's for this request", path, id)
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
		out.violation("%s%s: complete answer %q, want %q", path, id, body, want)
	case err != nil && !strings.HasPrefix(want, body):
		out.violation("%s%s: broken answer %q is no beginning of %q", path, id, body, want)
	case err == nil:
		out.mu.Lock()
		out.answered++
		out.mu.Unlock()
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, io.ErrUnexpectedEOF):
	}
}

// settle checks what only the end shows: runs of requests that may run once.
func (f *fleet) settle(out *results) {
	for _, id := range out.once {
		if n := f.ledger.Count(id); n > 1 {
			out.violation("request %s ran %d times", id, n)
		}
	}
	for _, id := range out.refused {
		if f.ledger.Count(id) > 0 {
			out.violation("request %s was told that it had not run, and ran", id)
		}
	}
}
