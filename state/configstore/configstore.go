// Package configstore holds the configuration that is in force in this
// process. Store owns it: the version only grows while the process lives.
package configstore

import (
	"sync"

	"github.com/acaciaspar/acaciaspar/state/objects"
)

// Config is one accepted configuration. It is immutable.
type Config struct {
	// Version grows by one per accepted publication.
	Version uint64
	// Hash is the SHA-256 of the set's canonical form.
	Hash [32]byte
	Set  *objects.Set
}

// Store is safe for use by several goroutines. Its mutex comes first in the
// lock order of a process and is not held while others are taken.
type Store struct {
	mu      sync.Mutex
	current *Config
	changed chan struct{}
	// wanted is the highest version seen on any message.
	wanted uint64
}

// New returns a store without a configuration.
func New() *Store {
	return &Store{changed: make(chan struct{})}
}

// Current returns the configuration in force, or nil before the first.
func (s *Store) Current() *Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Version returns the version in force, or 0.
func (s *Store) Version() uint64 {
	if c := s.Current(); c != nil {
		return c.Version
	}
	return 0
}

// Advance puts c in force unless its version is at or below the one in force.
// It reports whether c was taken.
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

// Observe notes a version seen on a message and reports whether this process
// is behind it.
func (s *Store) Observe(version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var have uint64
	if s.current != nil {
		have = s.current.Version
	}
	if version > s.wanted {
		s.wanted = version
		s.notify()
	}
	return version > have
}

// Wanted returns the highest version seen on any message.
func (s *Store) Wanted() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wanted
}

// Changed returns a channel that is closed at the next change of the
// configuration in force or of the wanted version.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
