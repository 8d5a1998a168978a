// Package hostlist is a stand-in for the platform's host list. It follows the
// public interface of Prometheus HTTP service discovery: GET /hosts returns
// with a JSON array of groups of targets and labels. A change made with PUT
// /standin/hosts, which is not part of the public interface, becomes visible
// after a configurable lag.
//
// A Service owns the list and its pending changes.
package hostlist

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/testbed/standin/httpjson"
)

// maxPending bounds the number of changes that are not visible yet.
const maxPending = 10_000

// Options are the settings of a Service.
type Options struct {
	Lag time.Duration `flag:"lag" default:"0s" usage:"time until a change of the list becomes visible"`
}

// Validate implements settings.Validator.
func (o *Options) Validate() []error {
	if o.Lag < 0 {
		return []error{fmt.Errorf("lag must not be negative")}
	}
	return nil
}

// Group is one group of hosts with the same labels.
type Group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels,omitempty"`
}

type change struct {
	at     time.Time
	groups []Group
}

// Service is safe for use by several goroutines.
type Service struct {
	options Options
	now     func() time.Time

	mu      sync.Mutex
	visible []Group
	pending []change
}

// New returns a service with an empty list; now is its clock.
func New(options Options, now func() time.Time) *Service {
	return &Service{options: options, now: now, visible: []Group{}}
}

// Handler serves the list and PUT /standin/hosts.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) { httpjson.OK(w, s.list()) })
	mux.HandleFunc("PUT /standin/hosts", s.servePut)
	return mux
}

func (s *Service) servePut(w http.ResponseWriter, r *http.Request) {
	groups := []Group{}
	if err := httpjson.Read(r, &groups); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.put(groups) {
		http.Error(w, "too many pending changes", http.StatusTooManyRequests)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) put(groups []Group) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxPending {
		return false
	}
	s.pending = append(s.pending, change{at: s.now(), groups: groups})
	return true
}

func (s *Service) list() []Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.now().Add(-s.options.Lag)
	for len(s.pending) > 0 && !s.pending[0].at.After(due) {
		s.visible = s.pending[0].groups
		s.pending = s.pending[1:]
	}
	return s.visible
}
