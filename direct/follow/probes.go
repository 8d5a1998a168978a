package follow

import (
	"sync"
	"time"
)

// probes limits a router's calls to a store that answers nobody. It is safe for concurrent use.
type probes struct {
	mu     sync.Mutex
	latest time.Time
	// next is the topic of the next probe: they alternate, as the store may answer for one only.
	next Topic
	// answeredAt is when a probe was last answered.
	answeredAt time.Time
}

// claim reports whether a probe for a topic may begin now, and counts it if so.
func (p *probes) claim(now time.Time, topic Topic) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if topic != p.next || now.Sub(p.latest) < minProbeInterval {
		return false
	}
	p.latest, p.next = now, 1-topic
	return true
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
