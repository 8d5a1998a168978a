package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/quarantine"
	"github.com/acaciaspar/acaciaspar/protocol/loadreport"
)

const (
	// crashGossipInterval is the interval at which known crashes are sent to
	// crashGossipPeers random peers, for those that missed the first report or have
	// started since.
	crashGossipInterval = time.Second
	crashGossipPeers    = 3
	// minCrashReportInterval is the shortest interval between two reports to all peers.
	minCrashReportInterval = 40 * time.Millisecond
	// correctingRouters is the expected number of routers that answer a peer's report
	// because they know that parts it suspects are sound. Each answers only that peer.
	correctingRouters = 8
)

// SendCrashes tells peers about requests that crash engines until ctx is done and returns
// its error.
func (m *Mesh) SendCrashes(ctx context.Context) error {
	ticker := time.NewTicker(crashGossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.dispatcher.CrashNews():
			m.sendCrashes(m.dispatcher.TakeCrashNews(), m.livePeers())
			// Further news during this time is sent in one report.
			time.Sleep(minCrashReportInterval)
		case <-ticker.C:
			peers := m.livePeers()
			rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
			m.sendCrashes(m.dispatcher.CrashFacts(), peers[:min(len(peers), crashGossipPeers)])
		}
	}
}

func (m *Mesh) sendCrashes(facts quarantine.Facts, peers []*net.UDPAddr) {
	if facts.Empty() {
		return
	}
	data := EncodeCrashes(time.Now(), m.instance, facts)
	m.sendToPeers(data, peers)
}

func (m *Mesh) livePeers() []*net.UDPAddr {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var live []*net.UDPAddr
	for _, p := range m.peers {
		if now.Sub(p.lastReport) < inactiveAfter {
			live = append(live, p.address)
		}
	}
	return live
}

func (m *Mesh) handleCrashReport(now time.Time, data []byte, sender *net.UDPAddr) {
	instance, facts, err := DecodeCrashes(now, data)
	if err != nil {
		m.ignoreReport(now, sender, err)
		return
	}
	if instance == m.instance {
		return
	}
	clears := m.dispatcher.MergeCrashFacts(now, facts)
	if clears && rand.IntN(m.Live()+1) < correctingRouters {
		m.sendCrashes(m.dispatcher.CrashFacts(), []*net.UDPAddr{sender})
	}
}

// EncodeCrashes encodes facts with their ages at now.
func EncodeCrashes(now time.Time, instance string, f quarantine.Facts) []byte {
	r := &loadreport.CrashReport{Instance: instance}
	for _, i := range f.Interrupted {
		r.Interrupted = append(r.Interrupted, loadreport.InterruptedRequest{
			Crash: i.Crash, AgeMs: wireAge(now.Sub(i.At)), Responding: i.Responding,
			Begun: i.Begun, LastedMs: wireAge(i.Lasted), Parts: i.Parts, Request: i.Request,
		})
	}
	for _, s := range f.Served {
		r.Served = append(r.Served, loadreport.ServedPart{Part: s.Part, AgeMs: wireAge(now.Sub(s.At)), LastedMs: wireAge(s.Lasted)})
	}
	return r.Append(nil)
}

// DecodeCrashes decodes the result of EncodeCrashes. now is the time to which the ages
// refer.
func DecodeCrashes(now time.Time, data []byte) (instance string, f quarantine.Facts, err error) {
	r, err := loadreport.DecodeCrashReport(data)
	if err != nil {
		return "", f, err
	}
	for _, i := range r.Interrupted {
		f.Interrupted = append(f.Interrupted, quarantine.Interrupted{
			Crash: i.Crash, At: now.Add(-fromWireAge(i.AgeMs)), Responding: i.Responding,
			Begun: i.Begun, Lasted: fromWireAge(i.LastedMs), Parts: i.Parts, Request: i.Request,
		})
	}
	for _, s := range r.Served {
		f.Served = append(f.Served, quarantine.ServedPart{Part: s.Part, At: now.Add(-fromWireAge(s.AgeMs)), Lasted: lastedFromWire(s.LastedMs)})
	}
	return r.Instance, f, nil
}

func wireAge(age time.Duration) uint32 { return wireCount(age.Milliseconds()) }

func fromWireAge(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func lastedFromWire(ms uint32) time.Duration {
	if ms == loadreport.MaxCount {
		return quarantine.Completed
	}
	return fromWireAge(ms)
}
