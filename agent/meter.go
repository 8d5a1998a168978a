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
	// maxEventBytes bounds how much of one event's data is kept to look for
	// usage. Events with usage are far smaller.
	maxEventBytes = 64 << 10
	// maxUsageBodyBytes bounds how much of a JSON answer is kept to look for usage.
	maxUsageBodyBytes = 1 << 20
	// maxUsageTokens is the largest number of tokens that is believed. It is
	// above the context length of any model.
	maxUsageTokens = 100_000_000
)

// meter computes the cost of one answer as it passes. cost never decreases.
type meter interface {
	// read takes the next bytes of the answer.
	read(p []byte)
	// end takes the end of the answer.
	end()
	// cost returns the cost units so far.
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

// noMeter is used where the cost doesn't depend on the answer's content.
type noMeter struct{}

func (noMeter) read([]byte)  {}
func (noMeter) end()         {}
func (noMeter) cost() uint64 { return 0 }

// usage is what engines report about the tokens of one request.
type usage struct {
	Prompt     uint64 `json:"prompt_tokens"`
	Completion uint64 `json:"completion_tokens"`
}

// merge keeps the largest values that are believable. It reports whether data
// holds usage and nothing generated.
func (u *usage) merge(data []byte) (only bool) {
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

// eventMeter counts server-sent events with data, one cost unit each, and adds
// the usage that the engine reports. Lines end with CR, LF or both, as the
// format allows, and may be split between reads.
type eventMeter struct {
	// field holds the start of the current line, up to len("data:") bytes.
	field []byte
	// data holds the current event's data, cut at maxEventBytes.
	data    []byte
	hasData bool
	inData  bool
	tooLong bool
	lineLen int
	afterCR bool

	events uint64
	usage  usage
}

func (m *eventMeter) read(p []byte) {
	for len(p) > 0 {
		if m.afterCR && p[0] == '\n' {
			p = p[1:]
		}
		m.afterCR = false
		i := bytes.IndexAny(p, "\r\n")
		if i < 0 {
			m.part(p)
			return
		}
		m.part(p[:i])
		m.lineEnd()
		m.afterCR = p[i] == '\r'
		p = p[i+1:]
	}
}

// part takes some bytes of a line.
func (m *eventMeter) part(p []byte) {
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
		m.keep(p)
	}
}

const dataField = "data:"

func (m *eventMeter) startData() {
	if m.hasData {
		m.keep([]byte{'\n'})
	}
	m.hasData, m.inData = true, true
}

func (m *eventMeter) keep(p []byte) {
	room := maxEventBytes - len(m.data)
	if len(p) > room {
		m.tooLong = true
		p = p[:room]
	}
	m.data = append(m.data, p...)
}

// lineEnd ends a line; an empty line ends the event.
func (m *eventMeter) lineEnd() {
	empty := m.lineLen == 0
	// A line that is just "data" is the field with an empty value.
	if string(m.field) == "data" && m.lineLen == len("data") {
		m.startData()
	}
	m.field, m.lineLen, m.inData = m.field[:0], 0, false
	if empty {
		m.eventEnd()
	}
}

func (m *eventMeter) eventEnd() {
	if m.hasData && string(bytes.TrimSpace(m.data)) != "[DONE]" && !m.onlyUsage() {
		m.events++
	}
	m.data, m.hasData, m.tooLong = m.data[:0], false, false
}

// onlyUsage takes the usage of an event. An event with usage and no choices
// carries no token.
func (m *eventMeter) onlyUsage() bool {
	return !m.tooLong && bytes.Contains(m.data, []byte(`"usage"`)) && m.usage.merge(m.data)
}

// end counts an event that was cut before its empty line: the engine made it.
func (m *eventMeter) end() {
	if m.lineLen > 0 {
		m.lineEnd()
	}
	m.eventEnd()
}

func (m *eventMeter) cost() uint64 {
	return m.usage.Prompt + max(m.events, m.usage.Completion)
}

// usageMeter reads the usage from an answer that is one JSON object.
type usageMeter struct {
	body    []byte
	tooLong bool
	usage   usage
}

func (m *usageMeter) read(p []byte) {
	if m.tooLong || len(m.body)+len(p) > maxUsageBodyBytes {
		m.tooLong, m.body = true, nil
		return
	}
	m.body = append(m.body, p...)
}

func (m *usageMeter) end() {
	if !m.tooLong {
		m.usage.merge(m.body)
	}
	m.body = nil
}

func (m *usageMeter) cost() uint64 { return m.usage.Prompt + m.usage.Completion }

// tickInterval is the time between two charges of a running request of a plain service.
const tickInterval = 100 * time.Millisecond

// clock meters the time that an endpoint spends on a request. Its mutex guards
// its fields and comes before the pool's.
type clock struct {
	mu      sync.Mutex
	began   time.Time
	charged uint64
}

func (c *clock) begin(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began = now
}

// charge calls f with the milliseconds, begun ones included, that have passed
// since the last call. The mutex is held meanwhile, so that charges of two
// goroutines don't overlap.
func (c *clock) charge(now time.Time, f func(units uint64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.began.IsZero() {
		return
	}
	total := uint64((now.Sub(c.began) + time.Millisecond - 1) / time.Millisecond)
	if total > c.charged {
		f(total - c.charged)
		c.charged = total
	}
}
