package mesh

import (
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/warmup"
)

// knownTimeout is the time without a report after which a peer no longer counts as known, so that a
// router which hears fewer than half of the known peers may be cut off. It is longer than the restart of
// a process.
const knownTimeout = 30 * time.Second

// fleetView returns the view of the fleet by which routers agree which of them use a cold endpoint. If
// all routers are out of rotation, all that are heard and not leaving are candidates.
func (m *Mesh) fleetView(now time.Time) warmup.Fleet {
	self := m.address.String()
	out := m.local.OutOfRotation()
	m.mu.Lock()
	defer m.mu.Unlock()
	out = out || m.leaving
	f := warmup.Fleet{Self: self, Candidates: make([]string, 0, len(m.peers)+1)}
	timeout := m.readerTimeout()
	var heard []string
	if !m.leaving {
		heard = append(heard, self)
	}
	if !out {
		f.Candidates = append(f.Candidates, self)
	}
	for address, p := range m.peers {
		if p.lastReport.IsZero() {
			if now.Sub(p.addedAt) < knownTimeout {
				f.Unheard = append(f.Unheard, address)
			}
			continue
		}
		sinceReport := now.Sub(p.lastReport)
		if sinceReport < knownTimeout && !p.leaving {
			f.Known = append(f.Known, address)
		}
		if sinceReport >= timeout || p.leaving {
			continue
		}
		f.Heard++
		heard = append(heard, address)
		if !p.outOfRotation {
			f.Candidates = append(f.Candidates, address)
		}
	}
	if len(f.Candidates) == 0 {
		f.Candidates = heard
	}
	return f
}
