package publication

import (
	"github.com/rotisserie/eris"
)

// ErrNoStart says that the retained records hold neither a usable snapshot
// nor the beginning of the stream.
var ErrNoStart = eris.New("the retained records have no usable snapshot and don't begin at offset 0")

// Record is one retained record.
type Record struct {
	Offset int64
	Value  []byte
}

// Recover returns the state with which a reader without state continues, given
// the offset of the first retained record and all retained records in order.
// The reader then applies the records from the state's NextOffset on. The start
// is the last snapshot whose next offset is still retained, otherwise offset 0.
func Recover(beginning int64, records []Record) (*State, error) {
	for i := len(records) - 1; i >= 0; i-- {
		if s := usable(beginning, records[i]); s != nil {
			return s, nil
		}
	}
	return fromZero(beginning)
}

// RecoverEarliest is like Recover and chooses the earliest possible start, so
// that as many records as possible get a verdict.
func RecoverEarliest(beginning int64, records []Record) (*State, error) {
	if s, err := fromZero(beginning); err == nil {
		return s, nil
	}
	var first *State
	for _, r := range records {
		s := usable(beginning, r)
		if s != nil && (first == nil || s.NextOffset < first.NextOffset) {
			first = s
		}
	}
	if first == nil {
		return nil, ErrNoStart
	}
	return first, nil
}

func fromZero(beginning int64) (*State, error) {
	if beginning > 0 {
		return nil, ErrNoStart
	}
	return NewState(), nil
}

// usable returns the state of a record that is a snapshot to start from, or nil.
func usable(beginning int64, r Record) *State {
	_, snapshot, err := Decode(r.Value)
	if err != nil || snapshot == nil {
		return nil
	}
	// A snapshot can't include records that come after it.
	if snapshot.NextOffset < beginning || snapshot.NextOffset > r.Offset {
		return nil
	}
	s, err := FromSnapshot(snapshot)
	if err != nil {
		return nil
	}
	return s
}
