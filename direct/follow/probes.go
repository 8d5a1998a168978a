package follow

import (
	"sync"
	"time"
)

// probes limits a router's calls to a store that answers nobody. It is safe for concurrent use.
type probes struct {
	mu sync.Mutex
	// latest is, by topic, when the latest call that counts as a probe began.
	latest [2]time.Time
	// next is the topic of the next probe while neither is answered: they alternate, as the store may
	// answer for one only.
	next Topic
	// answeredAt is when a probe was last answered.
	answeredAt time.Time
}

// claim reports whether a probe for a topic may begin now, and counts it if so.
func (p *probes) claim(now time.Time, topic Topic) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return topic == p.next && !p.isSoon(now, 1-topic) && p.take(now, topic)
}

// claimAlone does the same for a topic whose other one is answered, so that it needs no probes.
func (p *probes) claimAlone(now time.Time, topic Topic) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.take(now, topic)
}

func (p *probes) take(now time.Time, topic Topic) bool {
	if p.isSoon(now, topic) {
		return false
	}
	p.latest[topic], p.next = now, 1-topic
	return true
}

func (p *probes) isSoon(now time.Time, topic Topic) bool {
	return now.Sub(p.latest[topic]) < minProbeInterval
}

// began records a call for a topic without an answer that began because the other one is answered. It takes
// the place of a probe.
func (p *probes) began(now time.Time, topic Topic) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latest[topic] = now
}

// answered records that a probe was answered.
func (p *probes) answered(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answeredAt = now
}

// answeredRecently reports whether this router should read both topics because a probe for one
// was answered. If it then reads both, its peers know and it may go on.
func (p *probes) answeredRecently(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.answeredAt) < probeFollowUp
}
