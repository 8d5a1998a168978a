// Package configstore holds the current configuration of this process in Store.
// Its version never decreases during the lifetime of the process.
package configstore

import (
	"sync"

	"github.com/acaciaspar/acaciaspar/state/objects"
)

// Config is one accepted configuration. It is immutable.
type Config struct {
	// Version increases by one with each accepted publication.
	Version uint64
	// Hash is the SHA-256 of the set's canonical form.
	Hash [32]byte
	Set  *objects.Set
}

// Store holds the current configuration. It is safe for concurrent use. Its mutex
// comes first in the lock order of a process and is not held while others are
// acquired.
type Store struct {
	mu      sync.Mutex
	current *Config
	changed chan struct{}
	// highestSeen is the highest version seen on any message.
	highestSeen uint64
}

// New returns a store without a configuration.
func New() *Store {
	return &Store{changed: make(chan struct{})}
}

// Current returns the current configuration, or nil before the first call of
// Advance.
func (s *Store) Current() *Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Version returns the version of the current configuration, or 0 if there is
// none.
func (s *Store) Version() uint64 {
	if c := s.Current(); c != nil {
		return c.Version
	}
	return 0
}

// Advance makes c the current configuration unless its version is at or below
// the current one. It reports whether it did.
func (s *Store) Advance(c *Config) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && c.Version <= s.current.Version {
		return false
	}
	s.current = c
	s.notify()
	return true
}

// Observe records a version seen on a message and reports whether it is newer
// than the current configuration.
func (s *Store) Observe(version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var have uint64
	if s.current != nil {
		have = s.current.Version
	}
	if version > s.highestSeen {
		s.highestSeen = version
		s.notify()
	}
	return version > have
}

// HighestSeen returns the highest version seen on any message.
func (s *Store) HighestSeen() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highestSeen
}

// Changed returns a channel that is closed at the next change of the current
// configuration or of the highest version seen.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
