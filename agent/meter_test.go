package agent

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/state/objects"
)

func costOf(m meter, parts ...string) uint64 {
	for _, part := range parts {
		m.add([]byte(part))
	}
	m.finish()
	return m.cost()
}

// Guards against tokens that are missed, counted twice or wrongly added, for all
// permitted forms of events.
func TestEventMeter(t *testing.T) {
	withUsage := `data: {"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":%}}` + "\n\n"
	cases := map[string]struct {
		stream string
		want   uint64
	}{
		"empty":               {"", 0},
		"events":              {"data: a\n\ndata: b\n\ndata: [DONE]\n\n", 2},
		"other fields":        {": comment\n\nevent: x\nid: 1\n\nretry: 5\n\n", 0},
		"several data lines":  {"data: a\ndata: b\n\n", 1},
		"no space and empty":  {"data:a\n\ndata:\n\ndata\n\n", 3},
		"similar field":       {"database: a\n\ndat: b\n\n", 0},
		"CR and CRLF":         {"data: a\r\rdata: b\r\n\r\n", 2},
		"truncated event":     {"data: a\n\ndata: b", 2},
		"usage adds prompt":   {"data: a\n\ndata: b\n\n" + strings.Replace(withUsage, "%", "2", 1), 9},
		"higher usage":        {"data: a\n\n" + strings.Replace(withUsage, "%", "5", 1), 12},
		"lower usage":         {"data: a\n\ndata: b\n\n" + strings.Replace(withUsage, "%", "1", 1), 9},
		"usage beside tokens": {`data: {"choices":[{"text":"a"}],"usage":{"prompt_tokens":7,"completion_tokens":1}}` + "\n\n", 8},
		"usage is null":       {`data: {"choices":[{"text":"a"}],"usage":null}` + "\n\n", 1},
		"impossible usage":    {`data: {"choices":[],"usage":{"prompt_tokens":99999999999,"completion_tokens":1}}` + "\n\n", 1},
		"negative usage":      {`data: {"choices":[],"usage":{"prompt_tokens":-1,"completion_tokens":1}}` + "\n\n", 1},
		"long event":          {"data: " + strings.Repeat("x", 3*maxEventBytes) + "\n\ndata: b\n\n", 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, c.want, costOf(&eventMeter{}, c.stream))
			must.Eq(t, c.want, costOf(&eventMeter{}, strings.Split(c.stream, "")...))
		})
	}
}

// Guards against responses other than event streams that are metered incorrectly.
func TestUsageMeter(t *testing.T) {
	h := http.Header{"Content-Type": {"application/json"}}
	m := newMeter(&objects.Service{Type: objects.ModelService}, h)
	must.Eq(t, 10, costOf(m, `{"usage":{"prompt_tokens":7,`, `"completion_tokens":3}}`))
	must.Zero(t, costOf(&usageMeter{}, strings.Repeat(" ", maxUsageBodyBytes), `{"usage":{"prompt_tokens":7}}`))
	must.Zero(t, costOf(newMeter(&objects.Service{Type: objects.PlainService}, h), `{"usage":{"prompt_tokens":7}}`))
}

// Guards against time that is charged twice or before the request was sent.
func TestDurationMeter(t *testing.T) {
	var m durationMeter
	var total uint64
	add := func(units uint64) { total += units }
	now := time.Unix(1000, 0)
	m.charge(now, add)
	must.Zero(t, total)
	m.begin(now)
	m.charge(now.Add(2500*time.Microsecond), add)
	must.Eq(t, 3, total)
	m.charge(now.Add(2900*time.Microsecond), add)
	must.Eq(t, 3, total)
	m.charge(now.Add(100*time.Millisecond), add)
	must.Eq(t, 100, total)
}

// Guards against a cost that decreases or depends on how the response is split, and
// against buffering an unbounded part of the response.
func FuzzEventMeter(f *testing.F) {
	f.Add([]byte("data: a\r\n\r\ndata: [DONE]\n\n"), uint8(3))
	f.Add([]byte("data: {\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":9}}\n\n"), uint8(1))
	f.Add([]byte("\rdata\n\rdata:\n:\n\ndata: b"), uint8(2))
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		want := costOf(&eventMeter{}, string(stream))
		m := &eventMeter{}
		var last uint64
		for rest := stream; len(rest) > 0; {
			n := min(int(size)+1, len(rest))
			m.add(rest[:n])
			rest = rest[n:]
			must.GreaterEq(t, last, m.cost())
			last = m.cost()
			must.LessEq(t, maxEventBytes, len(m.data))
			must.LessEq(t, len(dataField), len(m.field))
		}
		m.finish()
		must.Eq(t, want, m.cost())
	})
}
