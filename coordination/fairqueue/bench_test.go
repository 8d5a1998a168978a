package fairqueue

import (
	"fmt"
	"testing"
)

// benchQueue returns a queue at the size of the design target, 2,000 backlogged
// teams and 350 agents, and one report of each agent.
func benchQueue(b *testing.B) (*Queue, []Report) {
	const teams, agents, slots = 2_000, 350, 64
	var names []string
	for i := range agents {
		names = append(names, fmt.Sprint("e", i))
	}
	q := newQueue(Options{}, names...)
	for i := range teams {
		for j := range 4 {
			q.Enqueue(atMs(0), ticket(fmt.Sprintf("r%d-%d", i, j), fmt.Sprint("team", i), 1000, 0))
		}
	}
	reports := make([]Report, agents)
	for i, name := range names {
		r := report(name, 1)
		for j := range slots {
			team := fmt.Sprint("team", (i*slots+j)%teams)
			r.Running++
			r.Counters = append(r.Counters, Counter{Team: team, Running: 1, Outstanding: 1000 * millionths})
		}
		reports[i] = r
		if refused := q.Report(atMs(0), r).Refused; refused != RefusedNone {
			b.Fatal(refused)
		}
	}
	return q, reports
}

// BenchmarkGrant measures a report with one free token, the grant of that token and
// its dispatch.
func BenchmarkGrant(b *testing.B) {
	q, reports := benchQueue(b)
	b.ResetTimer()
	for i := range b.N {
		r := &reports[i%len(reports)]
		r.Sequence++
		r.Full = false
		r.FreeTokens = []string{fmt.Sprint("t", i)}
		r.Counters = r.Counters[:1]
		r.Counters[0].Cost++
		r.Counters[0].Normalized += millionths
		q.Report(atMs(0), *r)
		g, ok := q.Next(atMs(0), unitWeight)
		if !ok {
			b.Fatal("no grant")
		}
		q.Resolve(atMs(0), g, Accepted)
		g.Ticket.Request = fmt.Sprint("n", i)
		q.Enqueue(atMs(0), g.Ticket)
	}
}

// BenchmarkNext measures grants alone, with free tokens at all agents.
func BenchmarkNext(b *testing.B) {
	q, reports := benchQueue(b)
	for i := range reports {
		reports[i].Sequence++
		reports[i].FreeTokens = []string{"a", "b"}
		q.Report(atMs(0), reports[i])
	}
	b.ResetTimer()
	for range b.N {
		g, ok := q.Next(atMs(0), unitWeight)
		if !ok {
			b.Fatal("no grant")
		}
		q.Resolve(atMs(0), g, Gone)
		q.Enqueue(atMs(0), g.Ticket)
	}
}
