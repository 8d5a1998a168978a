// Package logtest provides an in-memory log for tests. Log owns the records of
// one partition and serves them over the HTTP interface that logclient uses.
package logtest

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/acaciaspar/acaciaspar/transport/logclient"
)

// Log is an in-memory log and an http.Handler. Its mutex guards its fields.
type Log struct {
	mu        sync.Mutex
	beginning int64
	records   []logclient.Record
	fault     Fault
}

// Fault is a fault to inject into a Log.
type Fault int

const (
	// None means that the log works normally.
	None Fault = iota
	// Down makes every call fail with status 500.
	Down
	// LostReply makes appends take effect but closes their connection without a reply.
	LostReply
	// LostRequest closes the connection of appends before they take effect.
	LostRequest
)

// SetFault sets the fault that applies to subsequent HTTP requests.
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

// Expire removes the records with offsets below beginning.
func (l *Log) Expire(beginning int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[beginning-l.beginning:]
	l.beginning = beginning
}

// Reset removes all records, as if the topic had been recreated. The next
// record gets the offset beginning.
func (l *Log) Reset(beginning int64) {
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
