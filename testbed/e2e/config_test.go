package e2e

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/testbed/faultproxy"
	"github.com/acaciaspar/acaciaspar/testbed/fleet"
	"github.com/acaciaspar/acaciaspar/testbed/standin/logservice"
)

// retainedRecords is the number of records that the log retains in
// deployRoutersOnly.
const retainedRecords = 4

// deployRoutersOnly starts a fleet without agents, whose log retains few records.
// extra returns additional flags for router i.
func deployRoutersOnly(t *testing.T, routers int, extra func(f *fleet.Fleet, i int) []string) *deployment {
	t.Helper()
	fleetSemaphore <- struct{}{}
	t.Cleanup(func() { <-fleetSemaphore })
	d := &deployment{Fleet: fleet.New(t, "config", "-retain-count", fmt.Sprint(retainedRecords)), t: t, objects: testObjects(2)}
	for i := range routers {
		d.routers = append(d.routers, d.StartRouter(fleet.ProcessOptions{
			Name: fmt.Sprintf("router-%d", i+1),
			Zone: zones[i%len(zones)],
			Args: append([]string{"-snapshot-every", "2"}, extra(d.Fleet, i)...),
		}))
	}
	return d
}

func noExtraArgs(*fleet.Fleet, int) []string { return nil }

// publishUpTo publishes changes until version is in force on the given routers.
func (d *deployment) publishUpTo(version uint64, on ...*fleet.Process) {
	d.t.Helper()
	for v := d.Status(on[0]).GetConfigVersion() + 1; v <= version; v++ {
		d.objects.Shares[0].Weight = 100 + v
		d.Publish(d.objects)
		d.awaitVersion(v, on...)
	}
}

// startAndTrackLowestVersion starts a killed router, waits until want is in force
// on it, and returns the lowest version that it had in force until then.
func (d *deployment) startAndTrackLowestVersion(r *fleet.Process, want uint64) uint64 {
	d.t.Helper()
	lowest := want
	var poller sync.WaitGroup
	stop := make(chan struct{})
	poller.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			if v := d.Status(r).GetConfigVersion(); v > 0 {
				lowest = min(lowest, v)
			}
			time.Sleep(time.Millisecond)
		}
	})
	r.Start()
	d.awaitVersion(want, r)
	close(stop)
	poller.Wait()
	return lowest
}

// Guards against a restarted router that serves an older version than the one in
// force: when it reads the log after early records have expired, when the log is
// slow, and when it reads from a peer because the log is unavailable.
func TestRestartedRouterKeepsConfigVersion(t *testing.T) {
	t.Parallel()
	const version = 9
	d := deployRoutersOnly(t, 2, noExtraArgs)
	d.publishUpTo(version, d.routers...)
	var offsets struct {
		Beginning int64 `json:"beginning_offset"`
	}
	d.Eventually("early records expire", func() bool {
		d.Get(d.Log, "/topics/acaciaspar.config/partitions/0/offsets", &offsets)
		return offsets.Beginning > 0
	})
	restarted := d.routers[0]
	for _, f := range []logservice.Faults{{}, {DelayMS: 300}, {Outage: true}, {Hang: true}} {
		restarted.Kill()
		d.Put(d.Log, "/standin/faults", f)
		must.Eq(t, uint64(version), d.startAndTrackLowestVersion(restarted, version), must.Sprintf("faults of the log: %+v", f))
	}
	// Without the log and without a peer, it must not serve at all.
	for _, r := range d.routers {
		r.Kill()
	}
	restarted.Start()
	resp := d.Call(lookup(restarted, teamName(0), "x"))
	must.Eq(t, 503, resp.Status)
	must.StrContains(t, resp.Body, "not-run")
	// The log alone restores the version, from a snapshot.
	d.Put(d.Log, "/standin/faults", logservice.Faults{DelayMS: 100})
	restarted.Kill()
	must.Eq(t, uint64(version), d.startAndTrackLowestVersion(restarted, version))
	d.Put(d.Log, "/standin/faults", logservice.Faults{})
	d.publishUpTo(version+1, restarted)
}

// Guards against routers that keep an outdated configuration because they can't
// reach the log, although a peer has the publication.
func TestPublicationReachesRoutersCutOffFromLog(t *testing.T) {
	t.Parallel()
	proxies := map[int]*faultproxy.Proxy{}
	d := deployRoutersOnly(t, 3, func(f *fleet.Fleet, i int) []string {
		if i == 0 {
			return nil
		}
		p, err := faultproxy.New(nil)
		must.NoError(t, err)
		t.Cleanup(p.Close)
		p.SetTarget(strings.TrimPrefix(f.Log.URL("listen"), "http://"))
		proxies[i] = p
		return []string{"-log-url", "http://" + p.Address()}
	})
	d.publishUpTo(2, d.routers...)
	proxies[1].ResetAll()
	proxies[1].BlockNew(true)
	proxies[2].StallExisting()
	proxies[2].Stall(faultproxy.ToTarget, func(string) bool { return true })
	d.publishUpTo(4, d.routers...)
	for _, p := range proxies {
		p.ClearRules()
	}
	d.publishUpTo(5, d.routers...)
}
