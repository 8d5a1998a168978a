package configfollow

import "github.com/acaciaspar/acaciaspar/state/objects"

const (
	// maxLists is the number of change lists that the history holds.
	maxLists = 1024
	// maxHistoryBytes bounds the estimated size of all change lists. A router
	// that needs older changes receives the full set.
	maxHistoryBytes = 4 << 20
	// changeOverhead is the approximate size of a change without its object.
	changeOverhead = 128
)

// history holds the change lists of recent versions, oldest first, without gaps.
type history struct {
	lists []changeList
	bytes int
}

type changeList struct {
	// from and to are versions. to is above from+1 if the changes came from a
	// peer and span several versions.
	from, to uint64
	changes  []objects.Change
	bytes    int
}

func (h *history) clear() { *h = history{} }

// add appends the changes between two versions and drops the oldest lists beyond
// the limits. If there is a gap to the latest list, the history is cleared first.
func (h *history) add(from, to uint64, changes []objects.Change) {
	if n := len(h.lists); n > 0 && h.lists[n-1].to != from {
		h.clear()
	}
	list := changeList{from: from, to: to, changes: changes}
	for _, c := range changes {
		list.bytes += changeOverhead + len(c.Object)
	}
	h.lists = append(h.lists, list)
	h.bytes += list.bytes
	for len(h.lists) > maxLists || h.bytes > maxHistoryBytes {
		h.bytes -= h.lists[0].bytes
		h.lists = h.lists[1:]
		if len(h.lists) == 0 {
			break
		}
	}
}

// since returns the changes that lead from a version to the latest one, and
// false if the history doesn't start a list at that version.
func (h *history) since(from uint64) ([]objects.Change, bool) {
	for i, list := range h.lists {
		if list.from != from {
			continue
		}
		var changes []objects.Change
		for _, later := range h.lists[i:] {
			changes = append(changes, later.changes...)
		}
		return changes, true
	}
	return nil, false
}
