package publication

import (
	"github.com/rotisserie/eris"
)

// ErrNoStartingPoint is returned when the retained records contain neither a
// usable snapshot nor the beginning of the topic.
var ErrNoStartingPoint = eris.New("the retained records have no usable snapshot and don't begin at offset 0")

// Record is one retained record of the configuration topic.
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
		snapshot := usableSnapshot(firstRetained, records[i])
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
	var earliest *State
	for _, r := range records {
		snapshot := usableSnapshot(firstRetained, r)
		if snapshot == nil || (earliest != nil && snapshot.NextOffset >= earliest.NextOffset) {
			continue
		}
		if s, err := FromSnapshot(snapshot); err == nil {
			earliest = s
		}
	}
	if earliest == nil {
		return nil, ErrNoStartingPoint
	}
	return earliest, nil
}

func stateAtOffsetZero(firstRetained int64) (*State, error) {
	if firstRetained > 0 {
		return nil, ErrNoStartingPoint
	}
	return NewState(), nil
}

// usableSnapshot returns the snapshot in a record if a reader could continue from it,
// or nil. It does not verify the snapshot's set.
func usableSnapshot(firstRetained int64, r Record) *Snapshot {
	_, snapshot, err := Decode(r.Value)
	if err != nil || snapshot == nil {
		return nil
	}
	// A snapshot can't cover records that come after it in the topic.
	if snapshot.NextOffset < firstRetained || snapshot.NextOffset > r.Offset {
		return nil
	}
	return snapshot
}
