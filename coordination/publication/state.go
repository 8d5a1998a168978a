package publication

import (
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/state/objects"
)

// Outcome is the result of applying one record to a reader's state.
type Outcome string

const (
	// Accepted publications increase the version by one.
	Accepted Outcome = "accepted"
	// Refused publications leave the state unchanged.
	Refused Outcome = "refused"
	// Duplicate records repeat the ID of an accepted publication.
	Duplicate Outcome = "duplicate"
	// SnapshotConfirmed snapshots match the reader's state.
	SnapshotConfirmed Outcome = "snapshot"
	// SnapshotOld snapshots have an older version than the reader's state.
	// Readers without state can still start from them.
	SnapshotOld Outcome = "snapshot-old"
	// SnapshotRefused snapshots contradict the reader's state.
	SnapshotRefused Outcome = "snapshot-refused"
	// Malformed records can't be decoded.
	Malformed Outcome = "malformed"
	// Skipped records are already included in the state.
	Skipped Outcome = "skipped"
)

// Verdict describes the outcome of one record.
type Verdict struct {
	Offset  int64
	Outcome Outcome
	// Reason states why a record was refused, malformed or a duplicate. It is
	// empty for other outcomes.
	Reason string
	// Version is the current version after the record.
	Version uint64
	// Publication is the decoded publication, or nil for other records.
	Publication *Publication
}

// State is what a reader has derived from the topic so far. It is not safe for
// concurrent use. Its sets are immutable and may be shared.
type State struct {
	// Version increases by one with each accepted publication.
	Version uint64
	Set     *objects.Set
	// Hash is the hash of Set.
	Hash [32]byte
	// NextOffset is the offset of the first record that isn't included.
	NextOffset int64

	// recent holds the IDs of accepted publications, oldest first; recentSet
	// holds the same IDs for lookup.
	recent    []string
	recentSet map[string]bool
}

// NewState returns the state before offset 0: version 0 with an empty set.
func NewState() *State {
	set := objects.NewSet()
	return &State{Set: set, Hash: set.Hash(), recentSet: map[string]bool{}}
}

// Restore returns a state with the given content. The caller must have verified
// the set.
func Restore(version uint64, set *objects.Set, nextOffset int64, recent []string) *State {
	s := &State{Version: version, Set: set, Hash: set.Hash(), NextOffset: nextOffset, recentSet: map[string]bool{}}
	for _, id := range recent {
		s.addRecent(id)
	}
	return s
}

// FromSnapshot returns the state that a snapshot holds. It returns an error if
// the set can't be decoded, does not match the snapshot's hash or has faults.
func FromSnapshot(snapshot *Snapshot) (*State, error) {
	set, err := snapshot.decodeSet()
	if err != nil {
		return nil, err
	}
	s := Restore(snapshot.Version, set, snapshot.NextOffset, snapshot.Recent)
	if hashHex(s.Hash) != snapshot.Hash {
		return nil, eris.New("snapshot: the set doesn't have the stated hash")
	}
	if faults := set.Check(); len(faults) > 0 {
		return nil, eris.Errorf("snapshot: the set has %d faults; the first: %s", len(faults), faults[0])
	}
	return s, nil
}

// Snapshot returns a snapshot of the state.
func (s *State) Snapshot(now time.Time) (*Snapshot, error) {
	compressed, err := compress(s.Set.Encode())
	if err != nil {
		return nil, err
	}
	return &Snapshot{
		Version:       s.Version,
		NextOffset:    s.NextOffset,
		Time:          now.UTC(),
		Hash:          hashHex(s.Hash),
		Recent:        s.Recent(),
		compressedSet: compressed,
	}, nil
}

// Recent returns the IDs of recently accepted publications, oldest first.
func (s *State) Recent() []string { return slices.Clone(s.recent) }

// Propose returns a publication that changes the state's set to set. It has no
// changes if the sets are equal.
func (s *State) Propose(id, operator string, now time.Time, set *objects.Set) *Publication {
	return &Publication{
		ID:       id,
		Operator: operator,
		Time:     now.UTC(),
		Base:     s.Version,
		Changes:  objects.Diff(s.Set, set),
		Hash:     hashHex(set.Hash()),
	}
}

// Apply applies the next record of the topic. Records below NextOffset are
// skipped. A record that can't be used doesn't stop the reader; its verdict
// states why it had no effect.
func (s *State) Apply(offset int64, data []byte) Verdict {
	v := Verdict{Offset: offset, Outcome: Skipped}
	if offset >= s.NextOffset {
		s.NextOffset = offset + 1
		s.applyRecord(&v, data)
	}
	v.Version = s.Version
	return v
}

func (s *State) applyRecord(v *Verdict, data []byte) {
	publication, snapshot, err := Decode(data)
	switch {
	case err != nil:
		v.Outcome, v.Reason = Malformed, err.Error()
	case snapshot != nil:
		v.Outcome, v.Reason = s.compareSnapshot(snapshot)
	default:
		v.Publication = publication
		v.Outcome, v.Reason = s.applyPublication(publication)
	}
}

// applyPublication applies the acceptance rule. Only the IDs of accepted
// publications are kept: a refused publication is refused again when it is
// repeated, because versions never decrease.
func (s *State) applyPublication(p *Publication) (Outcome, string) {
	if s.recentSet[p.ID] {
		return Duplicate, "a publication with this id was already accepted"
	}
	if p.Base != s.Version {
		return Refused, fmt.Sprintf("base version %d is not the version in force, %d", p.Base, s.Version)
	}
	if len(p.Changes) == 0 {
		return Refused, "the publication has no changes"
	}
	next, faults := s.Set.Apply(p.Changes)
	if len(faults) > 0 {
		return Refused, fmt.Sprintf("the resulting set has %d faults; the first: %s", len(faults), faults[0])
	}
	hash := next.Hash()
	if hashHex(hash) != p.Hash {
		return Refused, "the resulting set doesn't have the stated hash"
	}
	s.Set, s.Hash = next, hash
	s.Version++
	s.addRecent(p.ID)
	return Accepted, ""
}

func (s *State) compareSnapshot(snapshot *Snapshot) (Outcome, string) {
	if snapshot.Version < s.Version {
		return SnapshotOld, ""
	}
	if snapshot.Version > s.Version {
		return SnapshotRefused, fmt.Sprintf("snapshot version %d is above the version in force, %d", snapshot.Version, s.Version)
	}
	if snapshot.Hash != hashHex(s.Hash) {
		return SnapshotRefused, "the snapshot's hash differs from that of the set in force"
	}
	return SnapshotConfirmed, ""
}

func (s *State) addRecent(id string) {
	if s.recentSet[id] {
		return
	}
	if len(s.recent) >= RecentIDs {
		delete(s.recentSet, s.recent[0])
		s.recent = s.recent[1:]
	}
	s.recent = append(s.recent, id)
	s.recentSet[id] = true
}
