package publication

import (
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/state/objects"
)

// Outcome says what a reader made of a record.
type Outcome string

const (
	// Accepted publications raise the version by one.
	Accepted Outcome = "accepted"
	// Refused publications change nothing.
	Refused Outcome = "refused"
	// Duplicate records repeat the id of an accepted publication.
	Duplicate Outcome = "duplicate"
	// SnapshotConfirmed snapshots equal the reader's state.
	SnapshotConfirmed Outcome = "snapshot"
	// SnapshotOld snapshots were overtaken by a publication. Readers without
	// state can start from them all the same.
	SnapshotOld Outcome = "snapshot-old"
	// SnapshotRefused snapshots contradict the reader's state.
	SnapshotRefused Outcome = "snapshot-refused"
	// Malformed records can't be decoded.
	Malformed Outcome = "malformed"
	// Skipped records are already included in the state.
	Skipped Outcome = "skipped"
)

// Verdict is the result of one record.
type Verdict struct {
	Offset  int64
	Outcome Outcome
	// Reason says why a record was refused or can't be decoded.
	Reason string
	// Version is the version in force after the record.
	Version uint64
	// Publication is set if the record is one.
	Publication *Publication
}

// State is what a reader has derived from the stream so far. It isn't safe for
// use by several goroutines. Its sets are immutable and may be shared.
type State struct {
	// Version grows by one per accepted publication.
	Version uint64
	Set     *objects.Set
	// Hash is the hash of Set.
	Hash [32]byte
	// NextOffset is the offset of the first record that isn't included.
	NextOffset int64

	// recent holds the ids of accepted publications, oldest first.
	recent []string
	known  map[string]bool
}

// NewState returns the state before offset 0: version 0 with an empty set.
func NewState() *State {
	set := objects.NewSet()
	return &State{Set: set, Hash: set.Hash(), known: map[string]bool{}}
}

// Restore returns the state with this content. The caller has verified the set.
func Restore(version uint64, set *objects.Set, nextOffset int64, recent []string) *State {
	s := &State{Version: version, Set: set, Hash: set.Hash(), NextOffset: nextOffset, known: map[string]bool{}}
	for _, id := range recent {
		s.remember(id)
	}
	return s
}

// FromSnapshot returns the state that a snapshot holds, or an error if the
// snapshot contradicts itself.
func FromSnapshot(snapshot *Snapshot) (*State, error) {
	set, err := snapshot.unpack()
	if err != nil {
		return nil, err
	}
	s := Restore(snapshot.Version, set, snapshot.NextOffset, snapshot.Recent)
	if hashText(s.Hash) != snapshot.Hash {
		return nil, eris.New("the set doesn't have the stated hash")
	}
	if faults := set.Check(); len(faults) > 0 {
		return nil, eris.Errorf("the set has %d faults; the first: %s", len(faults), faults[0])
	}
	return s, nil
}

// Snapshot returns a snapshot of the state.
func (s *State) Snapshot(now time.Time) (*Snapshot, error) {
	packed, err := compress(s.Set.Encode())
	if err != nil {
		return nil, err
	}
	return &Snapshot{
		Version:    s.Version,
		NextOffset: s.NextOffset,
		Time:       now.UTC(),
		Hash:       hashText(s.Hash),
		Recent:     s.Recent(),
		packed:     packed,
	}, nil
}

// Recent returns the ids of recently accepted publications, oldest first.
func (s *State) Recent() []string { return slices.Clone(s.recent) }

// Propose returns a publication that turns the state's set into set. It has
// no changes if the sets are equal.
func (s *State) Propose(id, operator string, now time.Time, set *objects.Set) *Publication {
	return &Publication{
		ID:       id,
		Operator: operator,
		Time:     now.UTC(),
		Base:     s.Version,
		Changes:  objects.Diff(s.Set, set),
		Hash:     hashText(set.Hash()),
	}
}

// Apply takes the next record of the stream. Records below NextOffset are
// skipped. No record stops a reader: what can't be used has a verdict.
func (s *State) Apply(offset int64, data []byte) Verdict {
	v := Verdict{Offset: offset, Outcome: Skipped}
	if offset >= s.NextOffset {
		s.NextOffset = offset + 1
		s.decide(&v, data)
	}
	v.Version = s.Version
	return v
}

func (s *State) decide(v *Verdict, data []byte) {
	publication, snapshot, err := Decode(data)
	switch {
	case err != nil:
		v.Outcome, v.Reason = Malformed, err.Error()
	case snapshot != nil:
		v.Outcome, v.Reason = s.judgeSnapshot(snapshot)
	default:
		v.Publication = publication
		v.Outcome, v.Reason = s.judge(publication)
	}
}

// judge applies the acceptance rule. An id is remembered only when its
// publication is accepted: a refused one is refused again when it is repeated,
// because versions never decrease.
func (s *State) judge(p *Publication) (Outcome, string) {
	if s.known[p.ID] {
		return Duplicate, "a publication with this id was accepted before"
	}
	if p.Base != s.Version {
		return Refused, fmt.Sprintf("base version %d is not the version in force, %d", p.Base, s.Version)
	}
	if len(p.Changes) == 0 {
		return Refused, "it has no changes"
	}
	next, faults := s.Set.Apply(p.Changes)
	if len(faults) > 0 {
		return Refused, fmt.Sprintf("the resulting set has %d faults; the first: %s", len(faults), faults[0])
	}
	hash := next.Hash()
	if hashText(hash) != p.Hash {
		return Refused, "the resulting set doesn't have the stated hash"
	}
	s.Set, s.Hash = next, hash
	s.Version++
	s.remember(p.ID)
	return Accepted, ""
}

func (s *State) judgeSnapshot(snapshot *Snapshot) (Outcome, string) {
	if snapshot.Version < s.Version {
		return SnapshotOld, ""
	}
	if snapshot.Version > s.Version {
		return SnapshotRefused, fmt.Sprintf("it has version %d while version %d is in force", snapshot.Version, s.Version)
	}
	if snapshot.Hash != hashText(s.Hash) {
		return SnapshotRefused, "it has another hash than the set in force"
	}
	return SnapshotConfirmed, ""
}

func (s *State) remember(id string) {
	if s.known[id] {
		return
	}
	if len(s.recent) >= RecentIDs {
		delete(s.known, s.recent[0])
		s.recent = s.recent[1:]
	}
	s.recent = append(s.recent, id)
	s.known[id] = true
}
