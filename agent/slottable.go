package agent

import (
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/slots"
)

// slotTable guards the slots.Table of the current service and notifies waiters of
// changes.
type slotTable struct {
	mu      sync.Mutex
	params  slots.Params
	table   *slots.Table
	changed chan struct{}
	// service is the service that table belongs to. inactive holds the tables of
	// services that the endpoint has left; they are kept because their counters
	// must not restart.
	service  string
	inactive map[string]*slots.Table
}

func newSlotTable(params slots.Params) *slotTable {
	return &slotTable{
		params:   params,
		table:    slots.New(params),
		changed:  make(chan struct{}),
		inactive: map[string]*slots.Table{},
	}
}

// switchService switches to the table of service and reports whether the switch is
// complete. Requests of the previous service must end first.
func (s *slotTable) switchService(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.service == service && s.table.StopReasons()&slots.StopMoving == 0 {
		return true
	}
	defer s.notify()
	if s.service == "" || s.service == service {
		s.service = service
		s.table.Resume(slots.StopMoving)
		return true
	}
	s.table.Stop(slots.StopMoving)
	if s.table.InProgress() > 0 {
		return false
	}
	s.switchTable(service)
	return true
}

func (s *slotTable) switchTable(service string) {
	old := s.table
	s.inactive[s.service] = old
	next := s.inactive[service]
	if next == nil {
		next = slots.New(s.params)
	}
	// Token names must be unique across tables.
	next.ContinueTokenNumbers(old)
	delete(s.inactive, service)
	s.service, s.table = service, next
	next.Resume(^slots.StopReasons(0))
	next.Stop(old.StopReasons() &^ slots.StopMoving)
	next.Resize(old.Size())
}

// withTable calls f with the table, which f may change, and notifies no waiter. f
// must not make a change that allows a waiting request to start.
func (s *slotTable) withTable(f func(*slots.Table)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.table)
}

// update calls f with the table and notifies all waiters.
func (s *slotTable) update(f func(*slots.Table)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.table)
	s.notify()
}

func (s *slotTable) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// mayStart reports whether a request may start now. If it must wait, the channel
// is closed at the next change.
func (s *slotTable) mayStart(now time.Time, id string) (bool, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok, err := s.table.TryStart(now, id)
	if ok || err != nil {
		s.notify()
	}
	return ok, s.changed, err
}

// inProgress returns the number of accepted requests that have not ended, and a
// channel that is closed at the next change.
func (s *slotTable) inProgress() (int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.InProgress(), s.changed
}
