// Package plainservice is a stand-in for a plain service: a stock lookup and
// the booking of a courier or the purchase of a postage label. It follows HTTP
// semantics (RFC 9110): the lookup is a safe GET or an equivalent POST, and
// bookings and labels are POSTs that are not idempotent. The caller's
// Idempotency-Key header has the form of the IETF draft
// draft-ietf-httpapi-idempotency-key-header; it is recorded but not enforced,
// so that a test can detect a request that was executed twice.
//
//	GET  /stock?id=ID
//	POST /stock     {"id": ID}
//	POST /bookings  {"id": ID}
//	POST /labels    {"id": ID}
//
// The paths below /standin are not part of the service: GET
// /standin/executions, GET /standin/busy and PUT /standin/faults.
//
// A Service owns the list of executions and keeps it in memory only.
package plainservice

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/testbed/standin/fence"
	"github.com/acaciaspar/acaciaspar/testbed/standin/httpjson"
)

// maxExecutions bounds the memory of the list of executions. The service rejects
// further requests rather than dropping an execution that a test verifies.
const maxExecutions = 1_000_000

// Options are the settings of a Service.
type Options struct {
	ServiceTime    time.Duration `flag:"service-time" default:"20ms" usage:"processing time of a request"`
	CheckFencing   bool          `flag:"check-fencing" usage:"reject requests with older fencing numbers"`
	LoseReplies    int           `flag:"lose-replies" default:"0" usage:"number of bookings and labels that take effect and get no reply"`
	ListExecutions bool          `flag:"list-executions" default:"true" usage:"keep a list of all executions in addition to the counts"`
}

// Validate implements settings.Validator.
func (o *Options) Validate() []error {
	var errs []error
	if o.ServiceTime < 0 {
		errs = append(errs, fmt.Errorf("service-time must not be negative"))
	}
	if o.LoseReplies < 0 {
		errs = append(errs, fmt.Errorf("lose-replies must not be negative"))
	}
	return errs
}

// Faults are the failures that a test injects. PUT /standin/faults replaces all
// of them.
type Faults struct {
	// LoseReplies is the number of upcoming bookings and labels that take effect
	// and whose connection is then closed without a reply.
	LoseReplies int `json:"loseReplies"`
	// ServiceTimeMS overrides the service time of later requests, in milliseconds,
	// unless it is nil.
	ServiceTimeMS *int `json:"serviceTimeMs"`
}

// Execution is one request that took effect.
type Execution struct {
	Operation      string `json:"operation"`
	ID             string `json:"id"`
	Request        string `json:"request"`
	IdempotencyKey string `json:"idempotencyKey,omitempty"`
}

// Executions is the response of GET /standin/executions.
type Executions struct {
	// Counts holds the number of executions per operation and ID.
	Counts map[string]map[string]int `json:"counts"`
	// List holds the executions in order.
	List []Execution `json:"list"`
}

// Load is the response of GET /standin/busy.
type Load struct {
	// BusySlotSeconds is the total service time of all finished requests.
	BusySlotSeconds float64 `json:"busySlotSeconds"`
	Running         int     `json:"running"`
}

// Service is safe for use by several goroutines. Its mutex guards all fields
// below it.
type Service struct {
	options Options
	fence   fence.Fence

	mu       sync.Mutex
	faults   Faults
	counts   map[string]map[string]int
	list     []Execution
	total    int
	running  int
	busyTime time.Duration
}

// New returns a service without executions.
func New(options Options) *Service {
	return &Service{
		options: options,
		fence:   fence.Fence{Enabled: options.CheckFencing},
		faults:  Faults{LoseReplies: options.LoseReplies},
		counts:  map[string]map[string]int{},
		list:    []Execution{},
	}
}

// Handler serves the operations and the paths below /standin.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /stock", s.fence.Wrap(http.HandlerFunc(s.serveLookup)))
	mux.Handle("POST /stock", s.fence.Wrap(http.HandlerFunc(s.serveLookup)))
	mux.Handle("POST /bookings", s.fence.Wrap(s.serveOperation("bookings")))
	mux.Handle("POST /labels", s.fence.Wrap(s.serveOperation("labels")))
	mux.HandleFunc("GET /standin/executions", s.serveExecutions)
	mux.HandleFunc("GET /standin/busy", s.serveBusy)
	mux.HandleFunc("PUT /standin/faults", s.serveFaults)
	return mux
}

type operationRequest struct {
	ID string `json:"id"`
}

type stockReply struct {
	ID      string `json:"id"`
	InStock int    `json:"inStock"`
}

type operationReply struct {
	ID        string `json:"id"`
	Operation string `json:"operation"`
	Number    int    `json:"number"`
}

func (s *Service) serveLookup(w http.ResponseWriter, r *http.Request) {
	in := operationRequest{ID: r.URL.Query().Get("id")}
	if r.Method == http.MethodPost {
		if err := httpjson.Read(r, &in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	if in.ID == "" {
		http.Error(w, "id is missing", http.StatusBadRequest)
		return
	}
	if _, ok := s.execute(r, "stock", in.ID); !ok {
		http.Error(w, "too many executions", http.StatusServiceUnavailable)
		return
	}
	// The response depends on the ID alone, so that a test can determine which
	// request it belongs to.
	httpjson.OK(w, stockReply{ID: in.ID, InStock: len(in.ID)})
}

func (s *Service) serveOperation(operation string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in operationRequest
		if err := httpjson.Read(r, &in); err != nil || in.ID == "" {
			http.Error(w, "the body needs an id", http.StatusBadRequest)
			return
		}
		number, ok := s.execute(r, operation, in.ID)
		if !ok {
			http.Error(w, "too many executions", http.StatusServiceUnavailable)
			return
		}
		if s.consumeLostReply() {
			// Closes the connection without a reply.
			panic(http.ErrAbortHandler)
		}
		httpjson.OK(w, operationReply{ID: in.ID, Operation: operation, Number: number})
	})
}

// execute records the execution at its start, since the request may have taken
// effect from then on, and sleeps for the service time. A client that
// disconnects doesn't stop it. It returns false if there are too many executions.
func (s *Service) execute(r *http.Request, operation, id string) (number int, ok bool) {
	s.mu.Lock()
	if s.total >= maxExecutions {
		s.mu.Unlock()
		return 0, false
	}
	s.total++
	number = s.total
	if s.counts[operation] == nil {
		s.counts[operation] = map[string]int{}
	}
	s.counts[operation][id]++
	if s.options.ListExecutions {
		s.list = append(s.list, Execution{
			Operation:      operation,
			ID:             id,
			Request:        r.Header.Get("X-Request-Id"),
			IdempotencyKey: r.Header.Get("Idempotency-Key"),
		})
	}
	s.running++
	serviceTime := s.options.ServiceTime
	if ms := s.faults.ServiceTimeMS; ms != nil {
		serviceTime = time.Duration(*ms) * time.Millisecond
	}
	s.mu.Unlock()

	time.Sleep(serviceTime)

	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.busyTime += serviceTime
	return number, true
}

// consumeLostReply reports whether the reply is to be lost, and counts it.
func (s *Service) consumeLostReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseReplies == 0 {
		return false
	}
	s.faults.LoseReplies--
	return true
}

func (s *Service) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	httpjson.OK(w, s.executions())
}

func (s *Service) executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]map[string]int, len(s.counts))
	for operation, ids := range s.counts {
		counts[operation] = maps.Clone(ids)
	}
	return Executions{Counts: counts, List: slices.Clone(s.list)}
}

func (s *Service) serveBusy(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	busy := Load{BusySlotSeconds: s.busyTime.Seconds(), Running: s.running}
	s.mu.Unlock()
	httpjson.OK(w, busy)
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := httpjson.Read(r, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	httpjson.OK(w, f)
}
