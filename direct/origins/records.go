package origins

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// originsKeyPrefix begins the keys of the records with origins.
	originsKeyPrefix = "origins/"
	// othersDelay is how much longer than its own records a router leaves those of others, which are
	// mostly removed by the router that wrote them.
	othersDelay = 10 * time.Second
	// maxRemovals bounds the removals in one call to the store: 64 KiB of keys.
	maxRemovals = 1024
)

// records numbers the records of origins that this process writes and knows which ones the store holds.
// The store may execute a write long after it was sent. Therefore each key is written once, by one
// process, and removed only after its record was acknowledged or read: no order in which the store
// executes the writes hides a record.
type records struct {
	// prefix begins the keys of this process.
	prefix string
	count  int
	// held holds the keys of the records in the store, as far as they are known here, own and others
	// when each was written or first read here, oldest first, also of some that were removed since.
	held        map[string]bool
	own, others []heldRecord
}

type heldRecord struct {
	key string
	at  time.Time
}

// newRecords returns the records of a new process of a router.
func newRecords(router, process string) records {
	return records{prefix: originsKeyPrefix + router + "/" + process + "/", held: map[string]bool{}}
}

// nextKey returns a key that was never used.
func (r *records) nextKey() string {
	r.count++
	return r.prefix + strconv.Itoa(r.count)
}

// add records that the store holds a record.
func (r *records) add(now time.Time, key string) {
	if r.held[key] || !isWrittenOnce(key) {
		return
	}
	r.held[key] = true
	list := r.listOf(key)
	*list = append(r.dropRemoved(*list), heldRecord{key, now})
}

// remove records that the store doesn't hold a record any more.
func (r *records) remove(key string) { delete(r.held, key) }

// keepOnly forgets the records of other processes that a complete listing lacks.
func (r *records) keepOnly(listed map[string]bool) {
	for _, o := range r.others {
		if !listed[o.key] {
			r.remove(o.key)
		}
	}
}

// takeExpired takes records whose streams can't be taken up any more, those of other processes only if
// withOthers is set.
func (r *records) takeExpired(now time.Time, retention time.Duration, withOthers bool) []heldRecord {
	var taken []heldRecord
	r.own, taken = r.takeOlder(r.own, now.Add(-retention), taken)
	if withOthers {
		r.others, taken = r.takeOlder(r.others, now.Add(-retention-othersDelay), taken)
	}
	return taken
}

// takeOlder appends the records of list that were written or read no later than a time to taken.
func (r *records) takeOlder(list []heldRecord, until time.Time, taken []heldRecord) (left, all []heldRecord) {
	for list = r.dropRemoved(list); len(list) > 0 && !list[0].at.After(until) && len(taken) < maxRemovals; list = r.dropRemoved(list[1:]) {
		taken = append(taken, list[0])
	}
	return list, taken
}

// putBack returns records that were taken and not removed.
func (r *records) putBack(taken []heldRecord) {
	for _, t := range slices.Backward(taken) {
		list := r.listOf(t.key)
		*list = slices.Insert(*list, 0, t)
	}
}

// dropRemoved returns the list without its first records as far as they were removed.
func (r *records) dropRemoved(list []heldRecord) []heldRecord {
	for len(list) > 0 && !r.held[list[0].key] {
		list = list[1:]
	}
	return list
}

func (r *records) listOf(key string) *[]heldRecord {
	if r.isOwn(key) {
		return &r.own
	}
	return &r.others
}

func (r *records) isOwn(key string) bool { return strings.HasPrefix(key, r.prefix) }

// isWrittenOnce reports whether a key has the form of nextKey. Earlier versions wrote the keys
// origins/ROUTER/NUMBER, each several times.
func isWrittenOnce(key string) bool {
	name, number, ok := cutLast(key)
	if _, err := strconv.ParseUint(number, 10, 64); !ok || err != nil {
		return false
	}
	router, process, ok := cutLast(name)
	return ok && process != "" && strings.HasPrefix(router, originsKeyPrefix) && len(router) > len(originsKeyPrefix)
}

// cutLast slices key around its last slash.
func cutLast(key string) (before, after string, found bool) {
	i := strings.LastIndexByte(key, '/')
	if i < 0 {
		return key, "", false
	}
	return key[:i], key[i+1:], true
}
