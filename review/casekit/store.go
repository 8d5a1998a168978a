package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// pageItems is the largest number of items in one page of a listing.
const pageItems = 500

// Store is a stand-in of the platform's store: keyed topics with partition 0.
type Store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	silent  bool
}

type topic struct {
	records []storeRecord
}

type storeRecord struct {
	key   string
	value []byte
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: map[string]*topic{}, changed: make(chan struct{})}
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

func (s *Store) append(name, key string, value []byte) int {
	t := s.topic(name)
	t.records = append(t.records, storeRecord{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
	return len(t.records)
}

// Put writes a record as the operator or a worker. An empty value drops the key. It returns
// false, and writes nothing, while the store doesn't answer.
func (s *Store) Put(name, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return false
	}
	s.append(name, key, value)
	return true
}

// PutJSON writes a record with a JSON value.
func (s *Store) PutJSON(name, key string, value any) bool {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.Put(name, key, raw)
}

// SetSilent sets whether the store answers no call.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *Store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	if s.isSilent() {
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case names.Append:
		s.serveAppend(w, r)
	case names.Newest:
		s.serveNewest(w, r)
	case names.Read:
		s.serveRead(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	if name == names.ConfigTopic || name == names.WorkersTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	end, first := len(s.topic(name).records), len(s.topic(name).records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+n]
		body = body[4+n:]
		keyEnd := 1 + int(content[0])
		end = s.append(name, string(content[1:keyEnd]), append([]byte(nil), content[keyEnd:]...))
	}
	s.mu.Unlock()
	writeJSON(w, map[string]int{"offset": first, "end": end})
}

type listItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	newest := map[string]int{}
	for i, rec := range t.records {
		newest[rec.key] = i
	}
	end := len(t.records)
	after := r.URL.Query().Get("after")
	var keys []string
	for key, i := range newest {
		if len(t.records[i].value) > 0 && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []listItem{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, listItem{key, t.records[newest[key]].value, newest[key]})
	}
	s.mu.Unlock()
	writeJSON(w, map[string]any{"items": items, "hasMore": len(keys) > pageItems, "end": end})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		records, changed, silent := s.topic(query.Get("topic")).records, s.changed, s.silent
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
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
