// Package logservice is a stand-in for the platform's append-only log. It
// follows the public HTTP interface of the Kafka REST Proxy for topics with
// one partition:
//
//	POST /topics/{topic}/partitions/0           v2, binary embedded format
//	GET  /topics/{topic}/partitions/0/messages  v1, binary, ?offset=&count=
//	GET  /topics/{topic}/partitions/0/offsets   v2
//
// An offset outside the retained records is answered with 416, an append above
// the rate limit with 429. Topics come into being with their first use. PUT
// /standin/faults, which is no part of the published interface, sets Faults.
//
// A Service owns the records, which live in memory only.
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
	producedType = "application/vnd.kafka.v2+json"
	consumedType = "application/vnd.kafka.binary.v1+json"

	// maxAppendBytes bounds the body of one append; it leaves room for a snapshot record.
	maxAppendBytes = 32 << 20
	// maxReadCount bounds the records of one reply.
	maxReadCount = 10_000
	// maxReadBytes bounds the record bytes of one reply beyond its first record.
	maxReadBytes = 16 << 20
)

// Options are the settings of a Service.
type Options struct {
	RetainFor        time.Duration `flag:"retain-for" default:"40m" usage:"time after which a record expires"`
	RetainCount      int           `flag:"retain-count" default:"100000" usage:"records kept per topic"`
	AppendsPerSecond int           `flag:"appends-per-second" default:"300" usage:"append rate limit; 0 turns it off"`
}

// Validate implements settings.Validator.
func (o *Options) Validate() []error {
	var faults []error
	if o.RetainFor <= 0 {
		faults = append(faults, fmt.Errorf("retain-for must be positive"))
	}
	if o.RetainCount <= 0 {
		faults = append(faults, fmt.Errorf("retain-count must be positive"))
	}
	if o.AppendsPerSecond < 0 {
		faults = append(faults, fmt.Errorf("appends-per-second must not be negative"))
	}
	return faults
}

// Faults are the failures that a test asks for. PUT /standin/faults replaces
// all of them.
type Faults struct {
	// Outage answers every request with 503.
	Outage bool `json:"outage"`
	// Hang holds every request without effect until the faults change or the caller goes away.
	Hang bool `json:"hang"`
	// DelayMS delays every request before it takes effect, in milliseconds.
	DelayMS int `json:"delayMs"`
	// LoseAppendReplies is the number of appends that take effect and whose
	// connection is then closed without a reply.
	LoseAppendReplies int `json:"loseAppendReplies"`
	// DropAppends is the number of appends whose connection is closed without effect.
	DropAppends int `json:"dropAppends"`
	// Refuse answers appends with 403 while reads work.
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
	at    time.Time
	value []byte
}

// New returns an empty service that reads the time from now.
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

// Handler serves the log and the control endpoint.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /topics/{topic}/partitions/0", s.serveAppend)
	mux.HandleFunc("GET /topics/{topic}/partitions/0/messages", s.serveRead)
	mux.HandleFunc("GET /topics/{topic}/partitions/0/offsets", s.serveOffsets)
	mux.HandleFunc("PUT /standin/faults", s.serveFaults)
	return mux
}

// SetFaults replaces the faults in force and releases the requests that hang.
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

func fail(w http.ResponseWriter, status int, message string) {
	httpjson.Write(w, status, producedType, errorReply{Code: status, Message: message})
}

// pass applies the faults that concern every request. It reports whether the
// request goes on; otherwise the answer was given or the caller is gone.
func (s *Service) pass(w http.ResponseWriter, r *http.Request) bool {
	if !s.untilReleased(r.Context()) {
		return false
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Outage {
		fail(w, http.StatusServiceUnavailable, "outage")
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

func (s *Service) untilReleased(ctx context.Context) bool {
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
	// The body is read first, because the server notices a caller that goes
	// away only after the body.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppendBytes))
	if err != nil {
		fail(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	if !s.pass(w, r) {
		return
	}
	var in produceRequest
	if err := json.Unmarshal(body, &in); err != nil || len(in.Records) == 0 {
		fail(w, http.StatusUnprocessableEntity, "the body has no valid records")
		return
	}
	reply, verdict := s.admitAppend(r.PathValue("topic"), in)
	switch verdict {
	case appendRefused:
		fail(w, http.StatusForbidden, "appends are refused")
	case appendLimited:
		w.Header().Set("Retry-After", "1")
		fail(w, http.StatusTooManyRequests, "append rate limit")
	case appendSilent:
		// Closes the connection without a reply.
		panic(http.ErrAbortHandler)
	case appendDone:
		httpjson.Write(w, http.StatusOK, producedType, reply)
	}
}

type appendVerdict int

const (
	appendDone appendVerdict = iota
	appendRefused
	appendLimited
	// appendSilent gets no reply, whether or not it took effect.
	appendSilent
)

// admitAppend appends unless a fault or the rate limit is in the way.
func (s *Service) admitAppend(name string, in produceRequest) (*produceReply, appendVerdict) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse {
		return nil, appendRefused
	}
	if s.faults.DropAppends > 0 {
		s.faults.DropAppends--
		return nil, appendSilent
	}
	if !s.limiter.AllowN(now, 1) {
		return nil, appendLimited
	}
	reply := s.append(now, name, in)
	if s.faults.LoseAppendReplies > 0 {
		s.faults.LoseAppendReplies--
		return nil, appendSilent
	}
	return reply, appendDone
}

func (s *Service) append(now time.Time, name string, in produceRequest) *produceReply {
	t := s.retained(now, name)
	reply := &produceReply{}
	for _, r := range in.Records {
		reply.Offsets = append(reply.Offsets, producedOffset{Offset: t.end()})
		t.records = append(t.records, record{at: now, value: r.Value})
	}
	t.expire(now, s.options)
	return reply
}

// retained returns a topic without its expired records. The caller holds mu.
func (s *Service) retained(now time.Time, name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	t.expire(now, s.options)
	return t
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

func (t *topic) expire(now time.Time, o Options) {
	gone := max(len(t.records)-o.RetainCount, 0)
	for gone < len(t.records) && now.Sub(t.records[gone].at) >= o.RetainFor {
		gone++
	}
	clear(t.records[:gone])
	t.records = t.records[gone:]
	t.first += int64(gone)
}

type message struct {
	Key       []byte `json:"key"`
	Value     []byte `json:"value"`
	Partition int    `json:"partition"`
	Offset    int64  `json:"offset"`
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	if !s.pass(w, r) {
		return
	}
	offset, err := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "offset is not a number")
		return
	}
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		if count, err = strconv.Atoi(text); err != nil || count < 1 {
			fail(w, http.StatusBadRequest, "count is not a positive number")
			return
		}
	}
	messages, ok := s.read(r.PathValue("topic"), offset, min(count, maxReadCount))
	if !ok {
		fail(w, http.StatusRequestedRangeNotSatisfiable, "the offset is out of range")
		return
	}
	httpjson.Write(w, http.StatusOK, consumedType, messages)
}

func (s *Service) read(name string, offset int64, count int) ([]message, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.retained(s.now(), name)
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
	if !s.pass(w, r) {
		return
	}
	s.mu.Lock()
	t := s.retained(s.now(), r.PathValue("topic"))
	reply := offsetsReply{Beginning: t.first, End: t.end()}
	s.mu.Unlock()
	httpjson.Write(w, http.StatusOK, producedType, reply)
}
