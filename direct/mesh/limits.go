package mesh

import (
	"context"
	"math"
	"net"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/requestlimit"
	"github.com/acaciaspar/acaciaspar/protocol/loadreport"
)

const (
	// minLimitInterval is the shortest interval between two reports of limits, and
	// limitIntervalPerPeer lengthens it with the number of peers.
	minLimitInterval     = 250 * time.Millisecond
	limitIntervalPerPeer = 15 * time.Millisecond
	// limitNewsDelay is how long further changes of limits are collected in one report.
	limitNewsDelay = 20 * time.Millisecond
	// milli is the unit in which rates are sent.
	milli = 1000
)

// SendLimits tells peers the limits that endpoints have named, until ctx is done, and
// returns its error.
func (m *Mesh) SendLimits(ctx context.Context) error {
	timer := time.NewTimer(minLimitInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.dispatcher.LimitNews():
			time.Sleep(limitNewsDelay)
		case <-timer.C:
			timer.Reset(m.limitInterval())
		}
		m.sendLimits()
	}
}

func (m *Mesh) limitInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(minLimitInterval, time.Duration(len(m.peers))*limitIntervalPerPeer)
}

func (m *Mesh) sendLimits() {
	now := time.Now()
	limits, requests := m.dispatcher.Limits(now)
	if len(limits) == 0 {
		return
	}
	report := &loadreport.LimitReport{Instance: m.instance, Requests: wireCount(requests)}
	for _, l := range limits {
		report.Limits = append(report.Limits, loadreport.RequestLimit{
			Endpoint: l.Endpoint, Limited: l.Rate >= 0, MilliRate: wireRate(l.Rate), AgeMs: wireAge(now.Sub(l.At)),
		})
	}
	m.sendToPeers(report.Append(nil), m.livePeers())
}

func (m *Mesh) handleLimitReport(now time.Time, data []byte, sender *net.UDPAddr) {
	report, err := loadreport.DecodeLimitReport(data)
	if err != nil {
		m.ignoreReport(now, sender, err)
		return
	}
	if report.Instance == m.instance {
		return
	}
	var limits []requestlimit.Limit
	for _, l := range report.Limits {
		limit := requestlimit.Limit{Endpoint: l.Endpoint, Rate: requestlimit.NoLimit, At: now.Add(-fromWireAge(l.AgeMs))}
		if l.Limited {
			limit.Rate = float64(l.MilliRate) / milli
		}
		limits = append(limits, limit)
	}
	m.dispatcher.MergeLimits(now, report.Instance, int64(report.Requests), limits)
}

func wireRate(rate float64) uint32 { return wireCount(int64(math.Round(rate * milli))) }
