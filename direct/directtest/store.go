// Package directtest provides test doubles for direct routers: an in-memory
// store whose failures a test controls, and endpoints with scripted responses.
package directtest

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/state/mirror"
)

// ErrUnreachable is returned by all calls to a store that was made unreachable.
var ErrUnreachable = errors.New("the store is unreachable")

// Store implements follow.Store in memory. It is safe for use by several
// goroutines.
type Store struct {
	mu                sync.Mutex
	logs              map[follow.Topic][]mirror.Record
	first             map[follow.Topic]int64
	unreachable       bool
	dropNotifications bool
	changed           chan struct{}
	reads, lists      int
	era               int64
	refuseReads       bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{logs: map[follow.Topic][]mirror.Record{}, first: map[follow.Topic]int64{}, changed: make(chan struct{}), era: 1}
}

// Append adds a record; an empty value removes the key.
func (s *Store) Append(topic follow.Topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logs[topic] = append(s.logs[topic], mirror.Record{Key: key, Value: []byte(value), Offset: int64(len(s.logs[topic]))})
	s.notifyReaders()
}

func (s *Store) notifyReaders() {
	if s.dropNotifications {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetUnreachable makes all calls fail with ErrUnreachable, or succeed again.
func (s *Store) SetUnreachable(unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = unreachable
	s.notifyReaders()
}

// SetDropNotifications sets whether waiting reads are not notified of new
// records.
func (s *Store) SetDropNotifications(drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropNotifications = drop
}

// Compact drops the history of a topic. Reads of the dropped offsets fail with
// follow.ErrCompacted; List still returns the newest record of each key.
func (s *Store) Compact(topic follow.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first[topic] = int64(len(s.logs[topic]))
	s.notifyReaders()
}

// Copy is a copy of the store's content at some moment.
type Copy map[follow.Topic]int

// Copy copies the store's content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{}
	for topic, log := range s.logs {
		c[topic] = len(log)
	}
	return c
}

// Restore replaces the content by a copy and begins a new era. What was written since
// the copy is lost, and its offsets are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for topic, log := range s.logs {
		s.logs[topic] = append([]mirror.Record(nil), log[:c[topic]]...)
	}
	s.era++
	s.notifyReaders()
}

// RefuseReads makes all reads fail with follow.ErrCompacted, or succeed again.
func (s *Store) RefuseReads(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseReads = refuse
	s.notifyReaders()
}

// Len returns the number of records that were written to a topic.
func (s *Store) Len(topic follow.Topic) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.logs[topic])
}

// Lists returns the number of listings so far.
func (s *Store) Lists() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

// Reads returns the number of reads so far.
func (s *Store) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// List implements follow.Store.
func (s *Store) List(_ context.Context, topic follow.Topic) (mirror.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return mirror.Batch{}, ErrUnreachable
	}
	s.lists++
	newest := map[string]mirror.Record{}
	for _, r := range s.logs[topic] {
		newest[r.Key] = r
	}
	var records []mirror.Record
	for _, r := range newest {
		if !r.IsTombstone() {
			records = append(records, r)
		}
	}
	return mirror.Batch{Records: records, End: mirror.Position{Era: s.era, Next: int64(len(s.logs[topic]))}, Complete: true}, nil
}

// Read implements follow.Store.
func (s *Store) Read(ctx context.Context, topic follow.Topic, from int64, wait time.Duration) (mirror.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.reads++
		log, first, unreachable, changed, era := s.logs[topic], s.first[topic], s.unreachable, s.changed, s.era
		refused := s.refuseReads
		s.mu.Unlock()
		switch {
		case unreachable:
			return mirror.Batch{}, ErrUnreachable
		case refused || from < first || from > int64(len(log)):
			return mirror.Batch{}, follow.ErrCompacted
		case from < int64(len(log)):
			return mirror.Batch{Records: log[from:], End: mirror.Position{Era: era, Next: int64(len(log))}}, nil
		case wait == 0:
			return mirror.Batch{End: mirror.Position{Era: era, Next: from}}, nil
		}
		select {
		case <-ctx.Done():
			return mirror.Batch{}, ctx.Err()
		case <-timer.C:
			return mirror.Batch{End: mirror.Position{Era: era, Next: from}}, nil
		case <-changed:
		}
	}
}

// Write implements follow.Store.
func (s *Store) Write(_ context.Context, topic follow.Topic, key string, value []byte, removals ...string) (int64, error) {
	s.mu.Lock()
	unreachable, era := s.unreachable, s.era
	s.mu.Unlock()
	if unreachable {
		return 0, ErrUnreachable
	}
	s.Append(topic, key, string(value))
	for _, removal := range removals {
		s.Append(topic, removal, "")
	}
	return era, nil
}

// errMoved is returned by WriteAt if the topic ends elsewhere.
var errMoved = errors.New("the topic doesn't end at this offset")

// WriteAt implements follow.Store.
func (s *Store) WriteAt(ctx context.Context, topic follow.Topic, key string, value []byte, at int64) (int64, error) {
	if int64(s.Len(topic)) != at {
		return 0, errMoved
	}
	return s.Write(ctx, topic, key, value)
}
