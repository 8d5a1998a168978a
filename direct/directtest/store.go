// Package directtest has stand-ins for the tests of direct routers: a store in
// memory whose failures a test controls, and scripted endpoints.
package directtest

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/state/mirror"
)

// ErrAway is what a store that is away answers.
var ErrAway = errors.New("the store is away")

// Store is a keyed log in memory.
type Store struct {
	mu     sync.Mutex
	logs   map[follow.Topic][]mirror.Record
	first  map[follow.Topic]int64
	away   bool
	deaf   bool
	notify chan struct{}
	reads  int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{logs: map[follow.Topic][]mirror.Record{}, first: map[follow.Topic]int64{}, notify: make(chan struct{})}
}

// Append adds a record; an empty value removes the key.
func (s *Store) Append(topic follow.Topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logs[topic] = append(s.logs[topic], mirror.Record{Key: key, Value: []byte(value), Offset: int64(len(s.logs[topic]))})
	s.wake()
}

func (s *Store) wake() {
	if s.deaf {
		return
	}
	close(s.notify)
	s.notify = make(chan struct{})
}

// SetAway makes all calls fail, or work again.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// SetDeaf makes reads that wait miss new records.
func (s *Store) SetDeaf(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = deaf
}

// Forget drops the history of a topic; the newest record of each key stays.
func (s *Store) Forget(topic follow.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first[topic] = int64(len(s.logs[topic]))
	s.wake()
}

// Reads returns the number of reads so far.
func (s *Store) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// List implements follow.Store.
func (s *Store) List(_ context.Context, topic follow.Topic) ([]mirror.Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return nil, 0, ErrAway
	}
	newest := map[string]mirror.Record{}
	for _, r := range s.logs[topic] {
		newest[r.Key] = r
	}
	var records []mirror.Record
	for _, r := range newest {
		if !r.Removal() {
			records = append(records, r)
		}
	}
	return records, int64(len(s.logs[topic])), nil
}

// Read implements follow.Store.
func (s *Store) Read(ctx context.Context, topic follow.Topic, from int64, wait time.Duration) ([]mirror.Record, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.reads++
		log, first, away, notify := s.logs[topic], s.first[topic], s.away, s.notify
		s.mu.Unlock()
		switch {
		case away:
			return nil, 0, ErrAway
		case from < first:
			return nil, 0, follow.ErrForgotten
		case from < int64(len(log)):
			return log[from:], int64(len(log)), nil
		case wait == 0:
			return nil, from, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timer.C:
			return nil, from, nil
		case <-notify:
		}
	}
}

// Announce implements follow.Store.
func (s *Store) Announce(_ context.Context, name, address string) error {
	s.mu.Lock()
	away := s.away
	s.mu.Unlock()
	if away {
		return ErrAway
	}
	s.Append(follow.Members, name, address)
	return nil
}
