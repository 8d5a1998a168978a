package publication

import (
	"github.com/rotisserie/eris"
)

// ErrNoStartingPoint is returned when the retained records contain neither a
// usable snapshot nor the beginning of the stream.
var ErrNoStartingPoint = eris.New("the retained records have no usable snapshot and don't begin at offset 0")

// Record is one retained record of the configuration stream.
type Record struct {
	Offset int64
	Value  []byte
}

// Recover returns the state from which a reader without state continues, given
// the offset of the first retained record and all retained records in order.
// The reader then applies the records from the state's NextOffset on. The
// starting point is the last valid snapshot whose next offset is still
// retained, otherwise offset 0. If neither is available, Recover returns
// ErrNoStartingPoint.
func Recover(firstRetained int64, records []Record) (*State, error) {
	for i := len(records) - 1; i >= 0; i-- {
		snapshot := candidate(firstRetained, records[i])
		if snapshot == nil {
			continue
		}
		if s, err := FromSnapshot(snapshot); err == nil {
			return s, nil
		}
	}
	return stateAtOffsetZero(firstRetained)
}

// RecoverEarliest is like Recover but chooses the earliest possible starting
// point, so that as many records as possible get a verdict.
func RecoverEarliest(firstRetained int64, records []Record) (*State, error) {
	if s, err := stateAtOffsetZero(firstRetained); err == nil {
		return s, nil
	}
	var first *State
	for _, r := range records {
		snapshot := candidate(firstRetained, r)
		if snapshot == nil || (first != nil && snapshot.NextOffset >= first.NextOffset) {
			continue
		}
		if s, err := FromSnapshot(snapshot); err == nil {
			first = s
		}
	}
	if first == nil {
		return nil, ErrNoStartingPoint
	}
	return first, nil
}

func stateAtOffsetZero(firstRetained int64) (*State, error) {
	if firstRetained > 0 {
		return nil, ErrNoStartingPoint
	}
	return NewState(), nil
}

// candidate returns the snapshot in a record if a reader could continue from it,
// or nil. It does not verify the snapshot's set.
func candidate(firstRetained int64, r Record) *Snapshot {
	_, snapshot, err := Decode(r.Value)
	if err != nil || snapshot == nil {
		return nil
	}
	// A snapshot can't cover records that come after it in the stream.
	if snapshot.NextOffset < firstRetained || snapshot.NextOffset > r.Offset {
		return nil
	}
	return snapshot
}
