package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// storeDelay is the time of a call to the store.
	storeDelay = 4 * time.Millisecond
	// listPage is the largest number of records in a page of a listing.
	listPage = 500
)

// store is a stand-in of the platform's metadata store: keyed topics with one partition.
type store struct {
	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
	// lost decides whether the answer to an append is lost. The append is then done later.
	lost func(topic string) (later time.Duration, isLost bool)
	// down is set while no call is answered.
	down bool
	log  func(format string, args ...any)
}

type storeRecord struct{ key, value []byte }

func newStore(log func(format string, args ...any)) *store {
	return &store{topics: map[string][]storeRecord{}, changed: make(chan struct{}), log: log}
}

func (s *store) setLost(lost func(topic string) (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = lost
}

// setDown sets whether the store leaves all calls without an answer, and does nothing.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// isDown reports whether the store is down.
func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// put writes a record for the operator or a worker.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, []storeRecord{{key: []byte(key), value: value}})
}

func (s *store) putJSON(topic, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(topic, key, text)
}

// add appends records. The caller holds mu.
func (s *store) add(topic string, records []storeRecord) (first, end int) {
	first = len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return first, len(s.topics[topic])
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	if s.isDown() {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Store-Era", "1")
	switch r.URL.Path {
	case name("append"):
		s.serveAppend(w, r)
	case name("newest"):
		s.serveNewest(w, r)
	case name("read"):
		s.serveRead(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []storeRecord
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+n]
		body = body[4+n:]
		end := 1 + int(content[0])
		records = append(records, storeRecord{key: content[1:end], value: content[end:]})
	}
	if len(records) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	topic, at := r.URL.Query().Get("topic"), r.URL.Query().Get("at")
	s.mu.Lock()
	lost := s.lost
	s.mu.Unlock()
	if lost != nil {
		if later, isLost := lost(topic); isLost {
			s.log("store: the answer to a write to %s of %s is lost, done in %d ms", topic, records[0].key, later.Milliseconds())
			before := s.count(topic, records[0].key)
			time.AfterFunc(later, func() {
				since := s.count(topic, records[0].key) - before
				_, _, done := s.appendIf(topic, at, records)
				s.log("store: late write to %s of %s, done %t, writes to the key since it was sent: %d", topic, records[0].key, done, since)
			})
			<-r.Context().Done()
			return
		}
	}
	first, end, done := s.appendIf(topic, at, records)
	s.log("store: write to %s of %s, done %t", topic, records[0].key, done)
	if !done {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]int{"end": end})
		return
	}
	writeJSON(w, map[string]int{"offset": first, "end": end})
}

// count returns the number of records of a key that were written.
func (s *store) count(topic string, key []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.topics[topic] {
		if bytes.Equal(r.key, key) {
			n++
		}
	}
	return n
}

// appendIf appends records if the topic ends at an offset, or if none is given.
func (s *store) appendIf(topic, at string, records []storeRecord) (first, end int, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end = len(s.topics[topic])
	if at != "" && at != strconv.Itoa(end) {
		return 0, end, false
	}
	first, end = s.add(topic, records)
	return first, end, true
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	newest := map[string]int{}
	for i, record := range records {
		newest[string(record.key)] = i
	}
	s.mu.Unlock()
	keys := make([]string, 0, len(newest))
	for key, i := range newest {
		if len(records[i].value) > 0 && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []item{}
	for _, key := range keys[:min(len(keys), listPage)] {
		items = append(items, item{key, records[newest[key]].value, newest[key]})
	}
	writeJSON(w, map[string]any{"items": items, "hasMore": len(keys) > listPage, "end": len(records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		records, changed := s.topics[query.Get("topic")], s.changed
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]int{"first": 0})
			return
		}
		if from < len(records) {
			writeRecords(w, from, records)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			if s.isDown() {
				<-r.Context().Done()
				return
			}
			writeRecords(w, from, records)
			return
		case <-changed:
		}
	}
}

func writeRecords(w io.Writer, from int, records []storeRecord) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(append(append(out, byte(len(r.key))), r.key...), r.value...)
	}
	_, _ = w.Write(out)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// lateWrites returns a rule by which a share of the writes is done from least to most later and not
// answered.
func lateWrites(random *rand.Rand, share float64, least, most time.Duration) func(topic string) (time.Duration, bool) {
	var mu sync.Mutex
	return func(string) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		later := least + time.Duration(random.Float64()*float64(most-least))
		return later, random.Float64() < share
	}
}
