// Package logtest holds a log in memory for tests. Log owns the records of
// one partition and serves them in the form that logclient reads.
package logtest

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/acaciaspar/acaciaspar/transport/logclient"
)

// Log is an http.Handler. Its mutex guards its fields.
type Log struct {
	mu        sync.Mutex
	beginning int64
	records   []logclient.Record
	fault     Fault
}

// Fault says how the log misbehaves.
type Fault int

const (
	// None is a log that works.
	None Fault = iota
	// Down fails every call.
	Down
	// LostReply makes appends take effect and breaks the connection without a reply.
	LostReply
	// LostRequest breaks the connection of appends without effect.
	LostRequest
)

// SetFault changes how the log misbehaves from now on.
func (l *Log) SetFault(fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

// Append adds a record and returns its offset.
func (l *Log) Append(value []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.append(value)
}

func (l *Log) append(value []byte) int64 {
	offset := l.beginning + int64(len(l.records))
	l.records = append(l.records, logclient.Record{Offset: offset, Value: value})
	return offset
}

// End returns the offset of the next record.
func (l *Log) End() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.beginning + int64(len(l.records))
}

// Expire drops the records below beginning.
func (l *Log) Expire(beginning int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[beginning-l.beginning:]
	l.beginning = beginning
}

// Replace drops all records; the next one gets this offset.
func (l *Log) Replace(beginning int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.beginning, l.records = beginning, nil
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.fault == Down:
		w.WriteHeader(http.StatusInternalServerError)
	case r.Method == http.MethodPost:
		l.serveAppend(w, r)
	case strings.HasSuffix(r.URL.Path, "/offsets"):
		reply(w, map[string]any{"beginning_offset": l.beginning, "end_offset": l.beginning + int64(len(l.records))})
	default:
		l.serveMessages(w, r)
	}
}

func reply(w http.ResponseWriter, value any) { _ = json.NewEncoder(w).Encode(value) }

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Records []struct {
			Value []byte `json:"value"`
		} `json:"records"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusUnprocessableEntity)
		return
	}
	if l.fault == LostRequest {
		panic(http.ErrAbortHandler)
	}
	offsets := []map[string]any{}
	for _, record := range in.Records {
		offsets = append(offsets, map[string]any{"partition": 0, "offset": l.append(record.Value)})
	}
	if l.fault == LostReply {
		panic(http.ErrAbortHandler)
	}
	reply(w, map[string]any{"offsets": offsets})
}

func (l *Log) serveMessages(w http.ResponseWriter, r *http.Request) {
	offset, _ := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	count, _ := strconv.Atoi(r.URL.Query().Get("count"))
	if offset < l.beginning {
		w.WriteHeader(http.StatusRequestedRangeNotSatisfiable)
		return
	}
	from := min(int(offset-l.beginning), len(l.records))
	to := min(from+count, len(l.records))
	messages := []map[string]any{}
	for _, record := range l.records[from:to] {
		messages = append(messages, map[string]any{"offset": record.Offset, "value": record.Value})
	}
	reply(w, messages)
}
