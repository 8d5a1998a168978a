// Package engine is a stand-in for a model engine. It follows the public
// OpenAI completions interface, POST /v1/completions with and without
// "stream": true, and the Prometheus text format with the metric names of vLLM
// at GET /metrics. A stream ends with a chunk that carries the usage and with
// "data: [DONE]".
//
// The engine uses continuous batching: one step produces one token for every
// running sequence and takes a base time plus a time per sequence. A prompt is
// prefilled in the step that admits it, which adds a time per token that isn't in
// the bounded prefix cache. Every request is admitted, there are no priorities,
// sequences beyond the batch wait in order of arrival, and a client that
// disconnects cancels its sequence. A token is a word; the completion repeats
// the prompt's words, so that a test can determine which request it belongs to.
//
// Changes of the prefix cache are published at GET /kv-events?after=SEQUENCE with
// the event names of vLLM, delayed and with lost events. vLLM publishes them over
// a message socket; the stand-in uses HTTP instead.
//
// The paths below /standin are not part of the public interface: GET
// /standin/executions and GET /standin/busy.
//
// An Engine owns its sequences, its prefix cache and the list of executions.
package engine

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// maxExecutions bounds the list of executions; the oldest are dropped.
const maxExecutions = 100_000

// Options are the settings of an Engine.
type Options struct {
	Model           string        `flag:"model" default:"stand-in" usage:"name of the model"`
	MaxBatch        int           `flag:"max-batch" default:"16" usage:"largest number of sequences in a batch"`
	StepBase        time.Duration `flag:"step-base" default:"5ms" usage:"fixed time of a step"`
	StepPerSequence time.Duration `flag:"step-per-sequence" default:"500us" usage:"time that each sequence adds to a step"`
	PrefillPerToken time.Duration `flag:"prefill-per-token" default:"50us" usage:"time per prompt token that is not in the prefix cache"`
	CacheTokens     int           `flag:"cache-tokens" default:"65536" usage:"size of the prefix cache in tokens"`
	DefaultTokens   int           `flag:"default-tokens" default:"16" usage:"completion length of a request without max_tokens"`
	MaxTokens       int           `flag:"max-tokens" default:"8192" usage:"largest accepted max_tokens"`
	MetricsLag      time.Duration `flag:"metrics-lag" default:"1s" usage:"maximum age of the reported load"`
	CacheEventLag   time.Duration `flag:"cache-event-lag" default:"1s" usage:"delay before a cache event is published"`
	LoseCacheEvent  int           `flag:"lose-cache-event" default:"10" usage:"drop each cache event whose sequence number is a multiple of this; 0 drops none"`
	CheckFencing    bool          `flag:"check-fencing" usage:"reject requests with older fencing numbers"`
}

// Validate implements settings.Validator.
func (o *Options) Validate() []error {
	var errs []error
	positive := func(name string, ok bool) {
		if !ok {
			errs = append(errs, fmt.Errorf("%s must be positive", name))
		}
	}
	positive("max-batch", o.MaxBatch > 0)
	positive("step-base", o.StepBase > 0)
	positive("default-tokens", o.DefaultTokens > 0)
	positive("max-tokens", o.MaxTokens > 0)
	if o.StepPerSequence < 0 || o.PrefillPerToken < 0 || o.CacheTokens < 0 || o.MetricsLag < 0 || o.CacheEventLag < 0 || o.LoseCacheEvent < 0 {
		errs = append(errs, fmt.Errorf("times and sizes must not be negative"))
	}
	return errs
}

// Execution is one admitted request.
type Execution struct {
	Request string `json:"request"`
	// Tokens is the number of tokens produced so far.
	Tokens    int  `json:"tokens"`
	Cancelled bool `json:"cancelled"`
	Finished  bool `json:"finished"`
}

// Load is the response of GET /standin/busy.
type Load struct {
	// BusySlotSeconds is the sum over all steps of the step's duration times its
	// number of running sequences.
	BusySlotSeconds float64 `json:"busySlotSeconds"`
	Running         int     `json:"running"`
	Waiting         int     `json:"waiting"`
}

// sequence is one admitted request. The engine's mutex guards it.
type sequence struct {
	prompt    []string
	maxTokens int
	cached    int
	execution *Execution
	// progress signals that execution.Tokens has grown. It has capacity 1.
	progress chan struct{}
}

// Engine is safe for use by several goroutines. Its mutex guards all fields
// below it and is not held during a step or during I/O.
type Engine struct {
	options Options

	mu         sync.Mutex
	waiting    []*sequence
	running    []*sequence
	cache      *prefixCache
	executions []*Execution
	busyTime   time.Duration
	// wake signals that a sequence is waiting. It has capacity 1.
	wake chan struct{}
}

// New returns an idle engine. Run must be called to process requests.
func New(options Options) *Engine {
	cache := newPrefixCache(options.CacheTokens)
	cache.events.lag = options.CacheEventLag
	cache.events.loseEvery = options.LoseCacheEvent
	return &Engine{
		options: options,
		cache:   cache,
		wake:    make(chan struct{}, 1),
	}
}

// Run executes steps until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		duration := e.startStep()
		if duration == 0 {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		began := time.Now()
		time.Sleep(duration)
		// Sleep can overshoot; the measured time keeps the excess from counting
		// as idle time.
		e.endStep(time.Since(began))
	}
}

// startStep fills the batch and returns the duration of the step, or 0 if there
// are no sequences.
func (e *Engine) startStep() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = withoutCancelled(e.running)
	e.waiting = withoutCancelled(e.waiting)
	prefill := 0
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxBatch {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.cached = e.cache.lookUpAndStore(s.prompt)
		prefill += len(s.prompt) - s.cached
		e.running = append(e.running, s)
	}
	if len(e.running) == 0 {
		return 0
	}
	return e.options.StepBase +
		time.Duration(len(e.running))*e.options.StepPerSequence +
		time.Duration(prefill)*e.options.PrefillPerToken
}

func withoutCancelled(sequences []*sequence) []*sequence {
	kept := sequences[:0]
	for _, s := range sequences {
		if !s.execution.Cancelled {
			kept = append(kept, s)
		}
	}
	clear(sequences[len(kept):])
	return kept
}

// endStep adds one token to each running sequence and removes the finished and
// cancelled ones from the batch.
func (e *Engine) endStep(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busyTime += duration * time.Duration(len(e.running))
	kept := e.running[:0]
	for _, s := range e.running {
		if s.execution.Cancelled {
			continue
		}
		s.execution.Tokens++
		s.execution.Finished = s.execution.Tokens == s.maxTokens
		notify(s.progress)
		if !s.execution.Finished {
			kept = append(kept, s)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// notify sends on c without blocking.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// admit queues a sequence of maxTokens tokens.
func (e *Engine) admit(request string, prompt []string, maxTokens int) *sequence {
	s := &sequence{
		prompt:    prompt,
		maxTokens: maxTokens,
		execution: &Execution{Request: request},
		progress:  make(chan struct{}, 1),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.executions) >= maxExecutions {
		e.executions = e.executions[1:]
	}
	e.executions = append(e.executions, s.execution)
	e.waiting = append(e.waiting, s)
	notify(e.wake)
	return s
}

func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !s.execution.Finished {
		s.execution.Cancelled = true
	}
}

// progressOf returns the number of produced tokens and of cached prompt tokens.
func (e *Engine) progressOf(s *sequence) (produced, cached int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.execution.Tokens, s.cached
}

// Load returns the current load.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{BusySlotSeconds: e.busyTime.Seconds(), Running: len(e.running), Waiting: len(e.waiting)}
}

// Executions returns the admitted requests, oldest first.
func (e *Engine) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]Execution, 0, len(e.executions))
	for _, x := range e.executions {
		all = append(all, *x)
	}
	return all
}

func (e *Engine) cacheEvents(after int) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.events.after(after)
}
