package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// pageItems is the number of items in a page of a listing.
	pageItems = 500
	// answerDelay is the time of an answer.
	answerDelay = 4 * time.Millisecond
)

// store is a stand-in of the platform's store: a log of keyed topics with one partition each.
type store struct {
	server  *http.Server
	address string

	mu     sync.Mutex
	topics map[string][]record
	// changed is closed at each append and restoration.
	changed chan struct{}
	era     int
	// silent is set while calls get no answer.
	silent bool
	// onAppend is called, without the lock, after each append.
	onAppend func(topic, key string)
}

type record struct {
	key   string
	value []byte
	at    time.Time
}

func newStore() *store {
	s := &store{topics: map[string][]record{}, changed: make(chan struct{}), onAppend: func(string, string) {}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail("listen for the store: %v", err)
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
	return s
}

func (s *store) close() { _ = s.server.Close() }

// put appends a record; a nil value removes the key. It does nothing while the store is silent.
func (s *store) put(topic, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return false
	}
	s.append(topic, record{key: key, value: value, at: time.Now()})
	return true
}

func (s *store) append(topic string, r record) {
	s.topics[topic] = append(s.topics[topic], r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// setSilent sets whether calls get no answer. Calls in progress get none either.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore drops what was appended in the last age and begins a new era.
func (s *store) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := time.Now().Add(-age)
	for name, records := range s.topics {
		n := sort.Search(len(records), func(i int) bool { return records[i].at.After(before) })
		s.topics[name] = append([]record(nil), records[:n]...)
	}
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// newest returns the value of a key, or nil.
func (s *store) newest(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[topic]
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].key == key {
			return records[i].value
		}
	}
	return nil
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerDelay)
	if s.isSilent() {
		<-r.Context().Done()
		return
	}
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "POST " + names.Append:
		s.serveAppend(w, q.Get("topic"), q.Get("at"), body)
	case "GET " + names.Read:
		s.serveRead(w, r, q.Get("topic"), q.Get("from"), q.Get("waitMs"))
	case "GET " + names.Newest:
		s.serveNewest(w, q.Get("topic"), q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) setEra(w http.ResponseWriter) { w.Header().Set("Store-Era", strconv.Itoa(s.era)) }

func (s *store) serveAppend(w http.ResponseWriter, topic, at string, body []byte) {
	s.mu.Lock()
	s.setEra(w)
	if topic == names.ConfigTopic || topic == names.WorkersTopic {
		s.mu.Unlock()
		w.WriteHeader(http.StatusForbidden)
		return
	}
	first := len(s.topics[topic])
	if at != "" && at != strconv.Itoa(first) {
		s.mu.Unlock()
		s.writeJSON(w, http.StatusPreconditionFailed, map[string]int{"end": first})
		return
	}
	var keys []string
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+n]
		body = body[4+n:]
		end := 1 + int(content[0])
		keys = append(keys, string(content[1:end]))
		s.append(topic, record{key: string(content[1:end]), value: append([]byte(nil), content[end:]...), at: time.Now()})
	}
	end := len(s.topics[topic])
	s.mu.Unlock()
	for _, key := range keys {
		s.onAppend(topic, key)
	}
	s.writeJSON(w, http.StatusOK, map[string]int{"offset": first, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic, fromText, waitText string) {
	from, _ := strconv.Atoi(fromText)
	wait, _ := strconv.Atoi(waitText)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		records, changed, silent := s.topics[topic], s.changed, s.silent
		if silent {
			s.mu.Unlock()
			<-r.Context().Done()
			return
		}
		if from > len(records) {
			s.setEra(w)
			s.mu.Unlock()
			s.writeJSON(w, http.StatusGone, map[string]int{"first": 0})
			return
		}
		if from < len(records) || expired {
			s.setEra(w)
			s.mu.Unlock()
			writeRecords(w, from, records)
			return
		}
		s.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			expired = true
		case <-changed:
		}
	}
}

func writeRecords(w io.Writer, from int, records []record) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(out, r.key...)
		out = append(out, r.value...)
	}
	_, _ = w.Write(out)
}

type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

func (s *store) serveNewest(w http.ResponseWriter, topic, after string) {
	s.mu.Lock()
	s.setEra(w)
	records := s.topics[topic]
	newest := map[string]int{}
	for i, r := range records {
		newest[r.key] = i
	}
	items := []item{}
	for key, i := range newest {
		if key > after && len(records[i].value) > 0 {
			items = append(items, item{key, records[i].value, i})
		}
	}
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	hasMore := len(items) > pageItems
	items = items[:min(len(items), pageItems)]
	s.writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": hasMore, "end": len(records)})
}
