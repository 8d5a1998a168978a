package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/slots"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/state/objects"
)

// startLog starts a log whose first append fails with an unknown result and whose
// later appends return offset. It returns the log's URL.
func startLog(t *testing.T, offset int) string {
	var calls atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/topics/acaciaspar.keys/partitions/0" || calls.Add(1) == 1 {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		fmt.Fprintf(w, `{"offsets":[{"partition":0,"offset":%d}]}`, offset)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// Guards against a drain that interrupts requests in progress, starts waiting
// requests, or ends before the last report to the owner.
func TestDrainFinishesRequestsAndReports(t *testing.T) {
	blocking := newBlockingHandler(t)
	f := startFixture(t, options{handler: blocking.ServeHTTP, prefetch: 1})
	resp, err := f.send(t.Context(), f.header(f.token()))
	must.NoError(t, err)
	defer resp.Body.Close()
	<-blocking.received
	waiting := make(chan string, 1)
	eventually(t, "a token for prefetch", func() bool {
		last := f.router.lastReport()
		return last.Running == 1 && len(last.FreeTokens) == 1
	})
	h := f.header(f.token())
	go func() {
		resp, err := f.send(t.Context(), h)
		if err != nil {
			waiting <- err.Error()
			return
		}
		_ = resp.Body.Close()
		waiting <- resp.Header.Get(outcome.Header)
	}()
	eventually(t, "the prefetched request", func() bool { return f.inProgress() == 2 })
	close(f.stop)
	must.Eq(t, string(outcome.NotRun), <-waiting)
	f.mustGetOutcome(f.header("any"), outcome.NotRun, http.StatusServiceUnavailable)
	blocking.release()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.StrContains(t, string(body), "data: two")
	must.NoError(t, <-f.done)
	f.done <- nil
	last := f.router.lastReport()
	must.True(t, last.Draining)
	must.Zero(t, last.Running)
	must.SliceEmpty(t, last.FreeTokens)
}

// Guards against a drain that exceeds its timeout or doesn't report that requests
// were cancelled.
func TestDrainTimeoutCancelsRequests(t *testing.T) {
	blocking := newBlockingHandler(t)
	f := startFixture(t, options{handler: blocking.ServeHTTP, configure: func(s *Settings) { s.DrainTimeout = 50 * time.Millisecond }})
	resp, err := f.send(t.Context(), f.header(f.token()))
	must.NoError(t, err)
	defer resp.Body.Close()
	close(f.stop)
	_, err = io.ReadAll(resp.Body)
	must.Error(t, err)
	err = <-f.done
	must.True(t, errors.Is(err, ErrDrainTimeout))
	f.done <- nil
	<-blocking.cancelled
}

// Guards against offering tokens of an endpoint that is configured as draining, and
// against an agent that doesn't resume once it is active again.
func TestEndpointConfigurationIsApplied(t *testing.T) {
	f := startFixture(t, options{handler: func(http.ResponseWriter, *http.Request) {}})
	token := f.token()
	f.object.State = objects.EndpointDraining
	f.router.publish(f.object, objects.ModelService)
	eventually(t, "a draining report", func() bool { return f.router.lastReport().Draining })
	must.SliceEmpty(t, f.router.lastReport().FreeTokens)
	f.mustGetOutcome(f.header(token), outcome.NotRun, http.StatusServiceUnavailable)
	f.object.State = objects.EndpointActive
	f.object.Slots = 3
	f.router.publish(f.object, objects.ModelService)
	eventually(t, "the new capacity", func() bool { return len(f.router.lastReport().FreeTokens) == 3 })
	resp, _ := f.sendAndRead(f.header(f.token()))
	must.Eq(t, http.StatusOK, resp.StatusCode)
}

// Guards against applying a configuration with a lower version than the current one.
func TestOlderConfigurationIsRejected(t *testing.T) {
	f := startFixture(t, options{handler: func(http.ResponseWriter, *http.Request) {}})
	f.token()
	f.router.publish(f.object, objects.ModelService)
	eventually(t, "version 2", func() bool { return f.agent.config.Version() == 2 })
	f.router.set(func(r *fakeRouter) { r.version, r.objects = 1, objects.NewSet() })
	must.Error(t, f.agent.fetchConfig(t.Context()))
	must.Eq(t, 2, f.agent.config.Version())
	f.token()
}

// Guards against an agent that ignores the leaving state of its host.
func TestLeavingHostDrains(t *testing.T) {
	var state atomic.Value
	state.Store("live")
	var address atomic.Value
	hosts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode([]map[string]any{{
			"targets": []any{address.Load()},
			"labels":  map[string]any{"role": "agent", "state": state.Load()},
		}})
	}))
	t.Cleanup(hosts.Close)
	address.Store("")
	f := startFixture(t, options{
		handler:   func(http.ResponseWriter, *http.Request) {},
		configure: func(s *Settings) { s.HostsURL = hosts.URL },
	})
	address.Store(f.agent.FleetAddress())
	f.token()
	state.Store("leaving")
	eventually(t, "a draining report", func() bool { return f.router.lastReport().Draining })
	resp, err := http.Get("http://" + f.agent.AdminAddress() + "/healthz")
	must.NoError(t, err)
	_ = resp.Body.Close()
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	state.Store("live")
	eventually(t, "a token", func() bool { return len(f.router.lastReport().FreeTokens) == 1 })
}

// Guards against an agent that continues to accept requests after a later instance
// has replaced it.
func TestSupersededAgentRefusesRequests(t *testing.T) {
	f := startFixture(t, options{handler: func(http.ResponseWriter, *http.Request) {}})
	token := f.token()
	f.router.set(func(r *fakeRouter) { r.reply.Superseded = true })
	eventually(t, "the stop reason superseded", func() bool { return f.stopReasons() == slots.StopSuperseded })
	f.mustGetOutcome(f.header(token), outcome.NotRun, http.StatusServiceUnavailable)
}

// Guards against an agent that remains out of service because its start time is
// earlier than its predecessor's after a clock step, and against two instances that
// alternate.
func TestSupersededStateExpires(t *testing.T) {
	a, err := New(Settings{Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0"}, slog.New(slog.DiscardHandler))
	must.NoError(t, err)
	defer a.closeServers()
	defer a.fleetListener.Close()
	defer a.adminListener.Close()
	isSuperseded := func(after time.Duration, superseded bool) bool {
		a.reporter.updateSuperseded(time.Unix(1000, 0).Add(after), superseded)
		var stop slots.StopReasons
		a.slots.withTable(func(t *slots.Table) { stop = t.StopReasons() })
		return stop&slots.StopSuperseded != 0
	}
	must.False(t, isSuperseded(0, false))
	must.True(t, isSuperseded(time.Second, true))
	must.True(t, isSuperseded(time.Second+supersededDuration-1, false))
	must.False(t, isSuperseded(time.Second+supersededDuration, false))
	must.True(t, isSuperseded(time.Minute, true))
}

// Guards against an agent that waits for a fencing number that its endpoint doesn't
// check, and against one that offers tokens without a number that is checked.
func TestTokensWithoutFencingNumber(t *testing.T) {
	down := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(down.Close)
	configure := func(s *Settings) { s.LogURL = down.URL }
	handler := func(http.ResponseWriter, *http.Request) {}
	t.Run("ignored", func(t *testing.T) {
		startFixture(t, options{handler: handler, configure: configure}).token()
	})
	t.Run("checked", func(t *testing.T) {
		f := startFixture(t, options{handler: handler, configure: configure, fencing: objects.FencingChecked})
		eventually(t, "a report", func() bool { return f.router.lastReport().Capacity == 1 })
		must.SliceEmpty(t, f.router.lastReport().FreeTokens)
		must.Eq(t, slots.StopStarting, f.stopReasons())
	})
}

// Guards against an agent that keeps reporting to a router that is not, or no
// longer, the queue owner.
func TestReportsFollowOwnerChange(t *testing.T) {
	second := startRouter(t)
	second.publish(objects.Endpoint{Name: "e1", Service: "svc", Slots: 1}, objects.ModelService)
	f := startFixture(t, options{
		handler: func(http.ResponseWriter, *http.Request) {},
		configure: func(s *Settings) {
			second.set(func(r *fakeRouter) { r.owner = s.Routers })
			s.Routers += "," + second.address
		},
	})
	f.token()
	f.router.set(func(r *fakeRouter) {
		r.owner = second.address
		r.reply.Bases = []*fleetpb.TeamBase{{Team: "a", Base: 5}}
	})
	second.set(func(r *fakeRouter) { r.owner = "" })
	eventually(t, "reports at the second owner", func() bool { return len(second.lastReport().FreeTokens) == 1 })
	second.set(func(r *fakeRouter) { must.True(t, r.reports[0].Full) })
}

// Guards against requests of one service that are counted for another, against
// counters that restart, and against an agent that doesn't leave its old service.
func TestEndpointMovesBetweenServices(t *testing.T) {
	blocking := newBlockingHandler(t)
	f := startFixture(t, options{handler: blocking.ServeHTTP})
	resp, err := f.send(t.Context(), f.header(f.token()))
	must.NoError(t, err)
	defer resp.Body.Close()
	<-blocking.received
	f.object.Service = "other"
	f.router.publish(f.object, objects.ModelService)
	eventually(t, "the stop reason moving", func() bool { return f.stopReasons() == slots.StopMoving })
	must.Eq(t, "svc", f.router.lastReport().Service)
	blocking.release()
	_, err = io.ReadAll(resp.Body)
	must.NoError(t, err)
	eventually(t, "a report of the new service", func() bool { return f.router.lastReport().Service == "other" })
	must.Nil(t, f.counter("a"))
	h := f.header(f.token())
	h.Service = "other"
	resp, _ = f.sendAndRead(h)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	f.object.Service = "svc"
	f.router.publish(f.object, objects.ModelService)
	eventually(t, "the counters of the first service", func() bool {
		last := f.router.lastReport()
		return last.Service == "svc" && len(last.Counters) == 1 && last.Counters[0].Cost == 2 && len(last.FreeTokens) == 1
	})
}

// Guards against an agent that keeps reporting to an unreachable owner.
func TestReportsMoveFromFailedOwner(t *testing.T) {
	second := startRouter(t)
	second.publish(objects.Endpoint{Name: "e1", Service: "svc", Slots: 1}, objects.ModelService)
	f := startFixture(t, options{
		handler: func(http.ResponseWriter, *http.Request) {},
		configure: func(s *Settings) {
			second.set(func(r *fakeRouter) { r.owner = s.Routers })
			s.Routers += "," + second.address
		},
	})
	f.token()
	must.NoError(t, f.router.server.Close())
	second.set(func(r *fakeRouter) { r.owner = "" })
	eventually(t, "reports at the second owner", func() bool { return len(second.lastReport().FreeTokens) == 1 })
	must.Eq(t, second.address, f.agent.status().Owner)
}
