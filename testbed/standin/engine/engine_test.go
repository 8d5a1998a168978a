package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

func options() Options {
	return Options{
		Model:           "stand-in",
		MaxBatch:        2,
		StepBase:        10 * time.Millisecond,
		StepPerSequence: time.Millisecond,
		PrefillPerToken: time.Millisecond,
		CacheTokens:     64,
		DefaultTokens:   3,
		MaxTokens:       100,
		MetricsLag:      time.Second,
	}
}

// runInBubble runs f with a running engine in a synctest bubble.
func runInBubble(t *testing.T, o Options, f func(t *testing.T, e *Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := New(o)
		go e.Run(ctx)
		f(t, e)
		cancel()
		synctest.Wait()
	})
}

func post(ctx context.Context, e *Engine, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", strings.NewReader(body))
	req.Header.Set("X-Request-Id", "r1")
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, req)
	return w
}

// Guards against a wrong text, usage or step time of a completion without streaming.
func TestCompletion(t *testing.T) {
	runInBubble(t, options(), func(t *testing.T, e *Engine) {
		start := time.Now()
		w := post(t.Context(), e, `{"prompt":"red wool","max_tokens":3}`)
		var got completion
		must.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
		must.Eq(t, "red wool red ", got.Choices[0].Text)
		must.Eq(t, usage{PromptTokens: 2, CompletionTokens: 3, TotalTokens: 5}, *got.Usage)
		// Three steps of 11 ms and the prefill of two tokens.
		must.Eq(t, 35*time.Millisecond, time.Since(start))
		must.Eq(t, []Execution{{Request: "r1", Tokens: 3, Finished: true}}, e.Executions())
		must.Eq(t, Load{BusySlotSeconds: 0.035}, e.Load())
	})
}

// Guards against a stream that a client of the public interface can't read.
func TestStreamFormat(t *testing.T) {
	runInBubble(t, options(), func(t *testing.T, e *Engine) {
		w := post(t.Context(), e, `{"prompt":"red wool","stream":true}`)
		must.Eq(t, "text/event-stream", w.Header().Get("Content-Type"))
		events := bytes.Split(bytes.TrimSuffix(w.Body.Bytes(), []byte("\n\n")), []byte("\n\n"))
		must.Len(t, 5, events)
		must.Eq(t, "data: [DONE]", string(events[4]))
		var text string
		for _, event := range events[:4] {
			data, ok := bytes.CutPrefix(event, []byte("data: "))
			must.True(t, ok)
			var chunk completion
			must.NoError(t, json.Unmarshal(data, &chunk))
			for _, c := range chunk.Choices {
				text += c.Text
			}
		}
		must.Eq(t, "red wool red ", text)
		must.StrContains(t, string(events[2]), `"finish_reason":"length"`)
		must.StrContains(t, string(events[3]), `"total_tokens":5`)
	})
}

// Guards against a cache that has no effect or counts more than the common prefix.
func TestPrefixCacheReducesPrefillTime(t *testing.T) {
	prompt := strings.Repeat("wool ", 40)
	runInBubble(t, options(), func(t *testing.T, e *Engine) {
		first := time.Now()
		post(t.Context(), e, `{"prompt":"`+prompt+`","max_tokens":1}`)
		must.Eq(t, 51*time.Millisecond, time.Since(first))
		second := time.Now()
		w := post(t.Context(), e, `{"prompt":"`+prompt+`","max_tokens":1}`)
		// The prompt has two complete blocks: 32 of 40 tokens.
		must.Eq(t, 19*time.Millisecond, time.Since(second))
		must.StrContains(t, w.Body.String(), `"cached_tokens":32`)
	})
}

func TestPrefixCacheIsBounded(t *testing.T) {
	cache := newPrefixCache(32)
	a := strings.Fields(strings.Repeat("a ", 16))
	b := strings.Fields(strings.Repeat("b ", 32))
	must.Eq(t, 0, cache.lookUpAndStore(a))
	must.Eq(t, 16, cache.lookUpAndStore(a))
	must.Eq(t, 0, cache.lookUpAndStore(b))
	must.Eq(t, 2, len(cache.blocks))
	must.Eq(t, 0, cache.lookUpAndStore(a))
}

// Guards against cache events that are published at once or completely, which
// would hide faults of their consumers.
func TestCacheEventsAreDelayedAndLossy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cache := newPrefixCache(32)
		cache.events.lag = time.Second
		cache.events.loseEvery = 2
		cache.lookUpAndStore(strings.Fields(strings.Repeat("a ", 16) + strings.Repeat("b ", 16)))
		time.Sleep(time.Second - time.Nanosecond)
		must.Eq(t, 0, len(cache.events.after(0)))
		cache.lookUpAndStore(strings.Fields(strings.Repeat("c ", 16)))
		time.Sleep(time.Nanosecond)
		events := cache.events.after(0)
		must.Eq(t, 1, len(events))
		must.Eq(t, blockStored, events[0].Type)
		time.Sleep(time.Second)
		events = cache.events.after(events[0].Sequence)
		must.Eq(t, 1, len(events))
		must.Eq(t, 3, events[0].Sequence)
		must.Eq(t, blockRemoved, events[0].Type)
	})
}

// Guards against sequences that keep running after the client has disconnected.
func TestDisconnectCancelsSequence(t *testing.T) {
	runInBubble(t, options(), func(t *testing.T, e *Engine) {
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		post(ctx, e, `{"prompt":"red","max_tokens":100,"stream":true}`)
		time.Sleep(time.Second)
		got := e.Executions()[0]
		must.True(t, got.Cancelled)
		must.Eq(t, 2, got.Tokens)
		must.Eq(t, 0, e.Load().Running)
	})
}

// Guards against a request rejected because the batch is full, and against load
// metrics without lag.
func TestQueuesBeyondBatchAndDelaysLoadMetrics(t *testing.T) {
	runInBubble(t, options(), func(t *testing.T, e *Engine) {
		handler := e.Handler()
		metrics := func() string {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			return w.Body.String()
		}
		must.StrContains(t, metrics(), `vllm:num_requests_running{model_name="stand-in"} 0`)
		done := make(chan int, 3)
		for range 3 {
			go func() { done <- post(t.Context(), e, `{"prompt":"red","max_tokens":100}`).Code }()
		}
		time.Sleep(500 * time.Millisecond)
		must.StrContains(t, metrics(), `vllm:num_requests_running{model_name="stand-in"} 0`)
		time.Sleep(500 * time.Millisecond)
		text := metrics()
		must.StrContains(t, text, `vllm:num_requests_running{model_name="stand-in"} 2`)
		must.StrContains(t, text, `vllm:num_requests_waiting{model_name="stand-in"} 1`)
		for range 3 {
			must.Eq(t, http.StatusOK, <-done)
		}
	})
}

// Guards against requests without a valid prompt or length.
func TestInvalidRequestsAreRejected(t *testing.T) {
	e := New(options())
	for _, body := range []string{`{`, `{"prompt":""}`, `{"prompt":"a","max_tokens":0}`, `{"prompt":"a","max_tokens":101}`} {
		must.Eq(t, http.StatusBadRequest, post(t.Context(), e, body).Code)
	}
}
