package configfollow

import "github.com/acaciaspar/acaciaspar/state/objects"

const (
	// maxLists is the number of change lists kept for differences.
	maxLists = 1024
	// maxListBytes bounds the objects in all lists. A router that asks for more gets the whole set.
	maxListBytes = 4 << 20
	// changeBytes is the size of a change without its object, roughly.
	changeBytes = 128
)

// history holds the change lists of recent versions, oldest first, without gaps.
type history struct {
	lists []changeList
	bytes int
}

type changeList struct {
	// from and to are versions; to is above from+1 for a difference from a peer.
	from, to uint64
	changes  []objects.Change
	bytes    int
}

func (h *history) clear() { *h = history{} }

func (h *history) add(from, to uint64, changes []objects.Change) {
	if n := len(h.lists); n > 0 && h.lists[n-1].to != from {
		h.clear()
	}
	list := changeList{from: from, to: to, changes: changes}
	for _, c := range changes {
		list.bytes += changeBytes + len(c.Object)
	}
	h.lists = append(h.lists, list)
	h.bytes += list.bytes
	for len(h.lists) > maxLists || h.bytes > maxListBytes {
		h.bytes -= h.lists[0].bytes
		h.lists = h.lists[1:]
		if len(h.lists) == 0 {
			break
		}
	}
}

// since returns the changes that lead from a version to the latest one.
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
