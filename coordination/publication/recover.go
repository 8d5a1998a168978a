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
		snapshot := candidate(beginning, records[i])
		if snapshot == nil {
			continue
		}
		if s, err := FromSnapshot(snapshot); err == nil {
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
		snapshot := candidate(beginning, r)
		if snapshot == nil || (first != nil && snapshot.NextOffset >= first.NextOffset) {
			continue
		}
		if s, err := FromSnapshot(snapshot); err == nil {
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

// candidate returns the snapshot in a record if a reader could continue from
// it, or nil. Its set isn't verified yet.
func candidate(beginning int64, r Record) *Snapshot {
	_, snapshot, err := Decode(r.Value)
	if err != nil || snapshot == nil {
		return nil
	}
	// A snapshot can't include records that come after it.
	if snapshot.NextOffset < beginning || snapshot.NextOffset > r.Offset {
		return nil
	}
	return snapshot
}
