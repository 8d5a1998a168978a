package agent

import (
	"bytes"
	"encoding/json"
	"mime"
	"net/http"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/state/objects"
)

const (
	// maxEventBytes is the maximum amount of an event's data that is buffered to
	// find usage. Events with usage are far smaller.
	maxEventBytes = 64 << 10
	// maxUsageBodyBytes is the maximum size of a JSON response that is buffered to
	// find usage.
	maxUsageBodyBytes = 1 << 20
	// maxUsageTokens is the largest plausible number of tokens; larger values are
	// ignored. It exceeds the context length of any model.
	maxUsageTokens = 100_000_000
)

// meter computes the cost of a response while it is forwarded. cost never decreases.
type meter interface {
	// add processes the next bytes of the response.
	add(p []byte)
	// finish processes the end of the response.
	finish()
	// cost returns the cost so far, in cost units.
	cost() uint64
}

func newMeter(service *objects.Service, h http.Header) meter {
	if service.Type != objects.ModelService {
		return noMeter{}
	}
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err == nil && mediaType == "text/event-stream" {
		return &eventMeter{}
	}
	return &usageMeter{}
}

// noMeter is used if the cost doesn't depend on the content of the response.
type noMeter struct{}

func (noMeter) add([]byte)   {}
func (noMeter) finish()      {}
func (noMeter) cost() uint64 { return 0 }

// usage holds the token counts that an engine reports for a request.
type usage struct {
	Prompt     uint64 `json:"prompt_tokens"`
	Completion uint64 `json:"completion_tokens"`
}

// merge raises the counts to those in data, ignoring implausible values. It
// reports whether data contains usage and no generated output.
func (u *usage) merge(data []byte) (usageOnly bool) {
	var found struct {
		Usage   *usage            `json:"usage"`
		Choices []json.RawMessage `json:"choices"`
	}
	if json.Unmarshal(data, &found) != nil || found.Usage == nil {
		return false
	}
	if found.Usage.Prompt <= maxUsageTokens {
		u.Prompt = max(u.Prompt, found.Usage.Prompt)
	}
	if found.Usage.Completion <= maxUsageTokens {
		u.Completion = max(u.Completion, found.Usage.Completion)
	}
	return len(found.Choices) == 0
}

// eventMeter meters a stream of server-sent events. It counts one cost unit for
// each event with data and takes the engine's reported usage into account. Lines
// may end with CR, LF or CRLF, as the format allows, and may be split between
// calls of add.
type eventMeter struct {
	// field holds the first bytes of the current line, at most len("data:").
	field []byte
	// data holds the data of the current event, truncated to maxEventBytes.
	data      []byte
	hasData   bool
	inData    bool
	truncated bool
	lineLen   int
	afterCR   bool

	events uint64
	usage  usage
}

func (m *eventMeter) add(p []byte) {
	for len(p) > 0 {
		if m.afterCR && p[0] == '\n' {
			p = p[1:]
		}
		m.afterCR = false
		i := bytes.IndexAny(p, "\r\n")
		if i < 0 {
			m.addToLine(p)
			return
		}
		m.addToLine(p[:i])
		m.endLine()
		m.afterCR = p[i] == '\r'
		p = p[i+1:]
	}
}

// addToLine processes part of a line, without its line ending.
func (m *eventMeter) addToLine(p []byte) {
	m.lineLen += len(p)
	if missing := len(dataField) - len(m.field); missing > 0 && !m.inData {
		n := min(missing, len(p))
		m.field = append(m.field, p[:n]...)
		p = p[n:]
		if string(m.field) == dataField {
			m.startData()
		}
	}
	if m.inData {
		m.appendData(p)
	}
}

const dataField = "data:"

func (m *eventMeter) startData() {
	if m.hasData {
		m.appendData([]byte{'\n'})
	}
	m.hasData, m.inData = true, true
}

func (m *eventMeter) appendData(p []byte) {
	remaining := maxEventBytes - len(m.data)
	if len(p) > remaining {
		m.truncated = true
		p = p[:remaining]
	}
	m.data = append(m.data, p...)
}

// endLine ends a line; an empty line ends the event.
func (m *eventMeter) endLine() {
	empty := m.lineLen == 0
	// A line that consists of "data" is the field with an empty value.
	if string(m.field) == "data" && m.lineLen == len("data") {
		m.startData()
	}
	m.field, m.lineLen, m.inData = m.field[:0], 0, false
	if empty {
		m.endEvent()
	}
}

func (m *eventMeter) endEvent() {
	if m.hasData && string(bytes.TrimSpace(m.data)) != "[DONE]" && !m.mergeUsage() {
		m.events++
	}
	m.data, m.hasData, m.truncated = m.data[:0], false, false
}

// mergeUsage merges the usage of the current event. It reports whether the event
// has usage and no choices; such an event contains no token.
func (m *eventMeter) mergeUsage() bool {
	return !m.truncated && bytes.Contains(m.data, []byte(`"usage"`)) && m.usage.merge(m.data)
}

// finish also counts an event that was truncated before its empty line, because
// the engine has generated it.
func (m *eventMeter) finish() {
	if m.lineLen > 0 {
		m.endLine()
	}
	m.endEvent()
}

func (m *eventMeter) cost() uint64 {
	return m.usage.Prompt + max(m.events, m.usage.Completion)
}

// usageMeter reads the usage from a response that is one JSON object.
type usageMeter struct {
	body    []byte
	tooLong bool
	usage   usage
}

func (m *usageMeter) add(p []byte) {
	if m.tooLong || len(m.body)+len(p) > maxUsageBodyBytes {
		m.tooLong, m.body = true, nil
		return
	}
	m.body = append(m.body, p...)
}

func (m *usageMeter) finish() {
	if !m.tooLong {
		m.usage.merge(m.body)
	}
	m.body = nil
}

func (m *usageMeter) cost() uint64 { return m.usage.Prompt + m.usage.Completion }

// timeChargeInterval is the interval at which the time of a running request of a
// plain service is charged.
const timeChargeInterval = 100 * time.Millisecond

// durationMeter meters the time that an endpoint spends on a request. mu guards
// the other fields and is acquired before the mutex of slotTable.
type durationMeter struct {
	mu      sync.Mutex
	start   time.Time
	charged uint64
}

func (m *durationMeter) begin(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start = now
}

// charge calls f with the time since the last charge, in milliseconds. The total is
// rounded up. The mutex is held during f, so that concurrent charges don't overlap.
func (m *durationMeter) charge(now time.Time, f func(units uint64)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.start.IsZero() {
		return
	}
	total := uint64((now.Sub(m.start) + time.Millisecond - 1) / time.Millisecond)
	if total > m.charged {
		f(total - m.charged)
		m.charged = total
	}
}
