package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/testbed/standin/fence"
	"github.com/acaciaspar/acaciaspar/testbed/standin/httpjson"
)

// maxPromptBytes bounds the body of one completion request.
const maxPromptBytes = 8 << 20

// Handler serves the public interface and the paths below /standin.
func (e *Engine) Handler() http.Handler {
	fencing := &fence.Fence{Enabled: e.options.CheckFencing}
	load := &loadSample{}
	mux := http.NewServeMux()
	mux.Handle("POST /v1/completions", fencing.Wrap(http.HandlerFunc(e.serveCompletion)))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		e.writeMetrics(w, load.current(time.Now(), e))
	})
	mux.HandleFunc("GET /kv-events", func(w http.ResponseWriter, r *http.Request) {
		// A missing or invalid number returns all events.
		after, _ := strconv.Atoi(r.URL.Query().Get("after"))
		httpjson.OK(w, e.cacheEvents(after))
	})
	mux.HandleFunc("GET /standin/executions", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.OK(w, e.Executions())
	})
	mux.HandleFunc("GET /standin/busy", func(w http.ResponseWriter, _ *http.Request) { httpjson.OK(w, e.Load()) })
	return mux
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens *int   `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type apiError struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	} `json:"error"`
}

func badRequest(w http.ResponseWriter, message string) {
	var reply apiError
	reply.Error.Message = message
	reply.Error.Type = "invalid_request_error"
	httpjson.Write(w, http.StatusBadRequest, "application/json", reply)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var in completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPromptBytes)).Decode(&in); err != nil {
		badRequest(w, err.Error())
		return
	}
	prompt := strings.Fields(in.Prompt)
	maxTokens := e.options.DefaultTokens
	if in.MaxTokens != nil {
		maxTokens = *in.MaxTokens
	}
	if len(prompt) == 0 || maxTokens < 1 || maxTokens > e.options.MaxTokens {
		badRequest(w, "a prompt and a valid max_tokens are required")
		return
	}
	s := e.admit(r.Header.Get("X-Request-Id"), prompt, maxTokens)
	// No effect on a finished sequence.
	defer e.cancel(s)
	if in.Stream {
		e.respondStream(w, r, s)
		return
	}
	e.respond(w, r, s)
}

func (e *Engine) completion(s *sequence) completion {
	return completion{
		ID:      "cmpl-" + s.execution.Request,
		Object:  "text_completion",
		Created: time.Now().Unix(),
		Model:   e.options.Model,
		Choices: []choice{},
	}
}

func (e *Engine) usage(s *sequence) *usage {
	produced, cached := e.progressOf(s)
	return &usage{
		PromptTokens:     len(s.prompt),
		CompletionTokens: produced,
		TotalTokens:      len(s.prompt) + produced,
		PromptDetails:    promptDetails{CachedTokens: cached},
	}
}

// text returns token i of the completion.
func (s *sequence) text(i int) string {
	return s.prompt[i%len(s.prompt)] + " "
}

func (e *Engine) respondStream(w http.ResponseWriter, r *http.Request, s *sequence) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for sent := 0; sent < s.maxTokens; {
		select {
		case <-s.progress:
		case <-r.Context().Done():
			return
		}
		produced, _ := e.progressOf(s)
		for ; sent < produced; sent++ {
			chunk := e.completion(s)
			chunk.Choices = []choice{{Text: s.text(sent), FinishReason: s.finishReason(sent)}}
			if !writeEvent(w, chunk) {
				return
			}
		}
		if controller.Flush() != nil {
			return
		}
	}
	last := e.completion(s)
	last.Usage = e.usage(s)
	if writeEvent(w, last) {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

// finishReason returns "length" for the last token and nil for earlier ones.
func (s *sequence) finishReason(i int) *string {
	if i+1 < s.maxTokens {
		return nil
	}
	reason := "length"
	return &reason
}

func writeEvent(w http.ResponseWriter, v any) bool {
	data, err := json.Marshal(v)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", data)
	return err == nil
}

func (e *Engine) respond(w http.ResponseWriter, r *http.Request, s *sequence) {
	for produced := 0; produced < s.maxTokens; produced, _ = e.progressOf(s) {
		select {
		case <-s.progress:
		case <-r.Context().Done():
			return
		}
	}
	var text strings.Builder
	for i := range s.maxTokens {
		text.WriteString(s.text(i))
	}
	reply := e.completion(s)
	reply.Choices = []choice{{Text: text.String(), FinishReason: s.finishReason(s.maxTokens - 1)}}
	reply.Usage = e.usage(s)
	httpjson.OK(w, reply)
}

// loadSample caches the reported load until it is older than the metrics lag.
type loadSample struct {
	mu    sync.Mutex
	at    time.Time
	value Load
}

func (l *loadSample) current(now time.Time, e *Engine) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at.IsZero() || now.Sub(l.at) >= e.options.MetricsLag {
		l.at, l.value = now, e.Load()
	}
	return l.value
}

func (e *Engine) writeMetrics(w http.ResponseWriter, load Load) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	label := "{model_name=" + strconv.Quote(e.options.Model) + "}"
	fmt.Fprintf(w, "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running%s %d\n", label, load.Running)
	fmt.Fprintf(w, "# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting%s %d\n", label, load.Waiting)
}
