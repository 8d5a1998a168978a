// Package logservice is a stand-in for the platform's append-only log. It
// follows the public HTTP interface of the Kafka REST Proxy for topics with
// one partition:
//
//	POST /topics/{topic}/partitions/0           v2, binary embedded format
//	GET  /topics/{topic}/partitions/0/messages  v1, binary, ?offset=&count=
//	GET  /topics/{topic}/partitions/0/offsets   v2
//
// A read at an offset outside the retained records fails with 416, an
// append above the rate limit with 429. Topics are created on first use. PUT
// /standin/faults, which is not part of the public interface, sets Faults.
//
// A Service owns the records and keeps them in memory only.
package logservice

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/acaciaspar/acaciaspar/testbed/standin/httpjson"
)

const (
	produceMediaType = "application/vnd.kafka.v2+json"
	consumeMediaType = "application/vnd.kafka.binary.v1+json"

	// maxAppendBytes bounds the body of one append. It must be large enough for a
	// snapshot record.
	maxAppendBytes = 32 << 20
	// maxReadCount bounds the number of records in one reply.
	maxReadCount = 10_000
	// maxReadBytes bounds the size of the records in one reply; the record that
	// exceeds it is still included.
	maxReadBytes = 16 << 20
)

// Options are the settings of a Service.
type Options struct {
	RetainFor        time.Duration `flag:"retain-for" default:"40m" usage:"time after which a record expires"`
	RetainCount      int           `flag:"retain-count" default:"100000" usage:"maximum number of records per topic"`
	AppendsPerSecond int           `flag:"appends-per-second" default:"300" usage:"append rate limit; 0 disables it"`
}

// Validate implements settings.Validator.
func (o *Options) Validate() []error {
	var errs []error
	if o.RetainFor <= 0 {
		errs = append(errs, fmt.Errorf("retain-for must be positive"))
	}
	if o.RetainCount <= 0 {
		errs = append(errs, fmt.Errorf("retain-count must be positive"))
	}
	if o.AppendsPerSecond < 0 {
		errs = append(errs, fmt.Errorf("appends-per-second must not be negative"))
	}
	return errs
}

// Faults are the failures that a test injects. PUT /standin/faults replaces all
// of them.
type Faults struct {
	// Outage fails every request with 503.
	Outage bool `json:"outage"`
	// Hang blocks every request before it takes effect, until the faults change
	// or the client disconnects.
	Hang bool `json:"hang"`
	// DelayMS delays every request before it takes effect, in milliseconds.
	DelayMS int `json:"delayMs"`
	// LoseAppendReplies is the number of upcoming appends that take effect and
	// whose connection is then closed without a reply.
	LoseAppendReplies int `json:"loseAppendReplies"`
	// DropAppends is the number of upcoming appends that have no effect and whose
	// connection is closed without a reply.
	DropAppends int `json:"dropAppends"`
	// Refuse fails appends with 403; reads are not affected.
	Refuse bool `json:"refuse"`
}

// Service is safe for use by several goroutines. Its mutex guards the topics
// and the faults and is not held during I/O.
type Service struct {
	options Options
	now     func() time.Time
	limiter *rate.Limiter

	mu            sync.Mutex
	topics        map[string]*topic
	faults        Faults
	faultsChanged chan struct{}
}

type topic struct {
	// first is the offset of records[0].
	first   int64
	records []record
}

type record struct {
	appendedAt time.Time
	value      []byte
}

// New returns an empty service; now is its clock.
func New(options Options, now func() time.Time) *Service {
	limit := rate.Inf
	if options.AppendsPerSecond > 0 {
		limit = rate.Limit(options.AppendsPerSecond)
	}
	return &Service{
		options:       options,
		now:           now,
		limiter:       rate.NewLimiter(limit, max(options.AppendsPerSecond, 1)),
		topics:        map[string]*topic{},
		faultsChanged: make(chan struct{}),
	}
}

// Handler serves the log and PUT /standin/faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /topics/{topic}/partitions/0", s.serveAppend)
	mux.HandleFunc("GET /topics/{topic}/partitions/0/messages", s.serveRead)
	mux.HandleFunc("GET /topics/{topic}/partitions/0/offsets", s.serveOffsets)
	mux.HandleFunc("PUT /standin/faults", s.serveFaults)
	return mux
}

// SetFaults replaces all faults and wakes the requests blocked by Hang, which
// go on unless f sets Hang again.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := httpjson.Read(r, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	httpjson.OK(w, f)
}

type errorReply struct {
	Code    int    `json:"error_code"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	httpjson.Write(w, status, produceMediaType, errorReply{Code: status, Message: message})
}

// applyFaults applies the faults that affect every request. It reports whether
// the request is to be processed; if not, a response was written or the client has
// disconnected.
func (s *Service) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	if !s.waitWhileHung(r.Context()) {
		return false
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Outage {
		writeError(w, http.StatusServiceUnavailable, "outage")
		return false
	}
	if faults.DelayMS <= 0 {
		return true
	}
	select {
	case <-time.After(time.Duration(faults.DelayMS) * time.Millisecond):
		return true
	case <-r.Context().Done():
		return false
	}
}

// waitWhileHung blocks while Hang is set and reports false if ctx ended.
func (s *Service) waitWhileHung(ctx context.Context) bool {
	for {
		s.mu.Lock()
		hang, changed := s.faults.Hang, s.faultsChanged
		s.mu.Unlock()
		if !hang {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

type produceRequest struct {
	Records []struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
	} `json:"records"`
}

type producedOffset struct {
	Partition int     `json:"partition"`
	Offset    int64   `json:"offset"`
	ErrorCode *int    `json:"error_code"`
	Error     *string `json:"error"`
}

type produceReply struct {
	Offsets       []producedOffset `json:"offsets"`
	KeySchemaID   *int             `json:"key_schema_id"`
	ValueSchemaID *int             `json:"value_schema_id"`
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	// The body is read first, because the server detects a client disconnect only
	// after the body has been read.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppendBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	if !s.applyFaults(w, r) {
		return
	}
	var in produceRequest
	if err := json.Unmarshal(body, &in); err != nil || len(in.Records) == 0 {
		writeError(w, http.StatusUnprocessableEntity, "the body has no valid records")
		return
	}
	reply, result := s.tryAppend(r.PathValue("topic"), in)
	switch result {
	case appendRefused:
		writeError(w, http.StatusForbidden, "appends are refused")
	case appendRateLimited:
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, "append rate limit")
	case appendNoReply:
		// Closes the connection without a reply.
		panic(http.ErrAbortHandler)
	case appendDone:
		httpjson.Write(w, http.StatusOK, produceMediaType, reply)
	}
}

type appendResult int

const (
	appendDone appendResult = iota
	appendRefused
	appendRateLimited
	// appendNoReply closes the connection without a reply, whether or not the
	// append took effect.
	appendNoReply
)

// tryAppend appends unless a fault or the rate limit prevents it.
func (s *Service) tryAppend(name string, in produceRequest) (*produceReply, appendResult) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse {
		return nil, appendRefused
	}
	if s.faults.DropAppends > 0 {
		s.faults.DropAppends--
		return nil, appendNoReply
	}
	if !s.limiter.AllowN(now, 1) {
		return nil, appendRateLimited
	}
	reply := s.append(now, name, in)
	if s.faults.LoseAppendReplies > 0 {
		s.faults.LoseAppendReplies--
		return nil, appendNoReply
	}
	return reply, appendDone
}

func (s *Service) append(now time.Time, name string, in produceRequest) *produceReply {
	t := s.getOrCreateTopic(now, name)
	reply := &produceReply{}
	for _, r := range in.Records {
		reply.Offsets = append(reply.Offsets, producedOffset{Offset: t.end()})
		t.records = append(t.records, record{appendedAt: now, value: r.Value})
	}
	t.expire(now, s.options)
	return reply
}

// getOrCreateTopic returns a topic after removing its expired records. It creates
// the topic if needed. The caller holds mu.
func (s *Service) getOrCreateTopic(now time.Time, name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	t.expire(now, s.options)
	return t
}

// end returns the offset of the next record.
func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

func (t *topic) expire(now time.Time, o Options) {
	expired := max(len(t.records)-o.RetainCount, 0)
	for expired < len(t.records) && now.Sub(t.records[expired].appendedAt) >= o.RetainFor {
		expired++
	}
	clear(t.records[:expired])
	t.records = t.records[expired:]
	t.first += int64(expired)
}

type message struct {
	Key       []byte `json:"key"`
	Value     []byte `json:"value"`
	Partition int    `json:"partition"`
	Offset    int64  `json:"offset"`
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	offset, err := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "offset is not a number")
		return
	}
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		if count, err = strconv.Atoi(text); err != nil || count < 1 {
			writeError(w, http.StatusBadRequest, "count is not a positive number")
			return
		}
	}
	messages, ok := s.read(r.PathValue("topic"), offset, min(count, maxReadCount))
	if !ok {
		writeError(w, http.StatusRequestedRangeNotSatisfiable, "the offset is out of range")
		return
	}
	httpjson.Write(w, http.StatusOK, consumeMediaType, messages)
}

func (s *Service) read(name string, offset int64, count int) ([]message, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.getOrCreateTopic(s.now(), name)
	if offset < t.first || offset > t.end() {
		return nil, false
	}
	messages := []message{}
	size := 0
	for _, r := range t.records[offset-t.first:] {
		if len(messages) == count || size > maxReadBytes {
			break
		}
		messages = append(messages, message{Value: r.value, Offset: offset + int64(len(messages))})
		size += len(r.value)
	}
	return messages, true
}

type offsetsReply struct {
	Beginning int64 `json:"beginning_offset"`
	End       int64 `json:"end_offset"`
}

func (s *Service) serveOffsets(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	s.mu.Lock()
	t := s.getOrCreateTopic(s.now(), r.PathValue("topic"))
	reply := offsetsReply{Beginning: t.first, End: t.end()}
	s.mu.Unlock()
	httpjson.Write(w, http.StatusOK, produceMediaType, reply)
}
