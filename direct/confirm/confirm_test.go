package confirm

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/acaciaspar/acaciaspar/coordination/placement"
	"github.com/acaciaspar/acaciaspar/coordination/retry"
	"github.com/acaciaspar/acaciaspar/direct/directtest"
	"github.com/acaciaspar/acaciaspar/direct/dispatch"
	"github.com/acaciaspar/acaciaspar/protocol/dialect"
	"github.com/acaciaspar/acaciaspar/state/evacuation"
	"github.com/acaciaspar/acaciaspar/state/registry"
	"github.com/acaciaspar/acaciaspar/transport/endpointhttp"
)

var registeredStart = time.UnixMilli(1_700_000_000_000)

// fixture is a confirmer with one endpoint.
type fixture struct {
	dispatcher *dispatch.Dispatcher
	pool       *endpointhttp.Pool
	endpoint   *directtest.Endpoint
	steady     atomic.Pointer[time.Time]

	confirmer   *Confirmer
	evacuations *evacuation.Table
}

func newFixture(t *testing.T, script directtest.Script) *fixture {
	t.Helper()
	f := &fixture{endpoint: directtest.NewEndpoint(t, script), pool: endpointhttp.NewPool(time.Second)}
	f.steady.Store(&time.Time{})
	endpoints := registry.NewTable()
	endpoints.Put(registry.Endpoint{ID: "e", Service: "s", Address: f.endpoint.Address, Zone: "z", Version: "v1", Slots: 4, Started: registeredStart})
	f.dispatcher = dispatch.New("", endpoints, placement.DefaultPolicy(), retry.DefaultLimits())
	f.evacuations = evacuation.NewTable()
	f.dispatcher.UseEvacuations(f.evacuations)
	f.dispatcher.Restarted("e", registeredStart)
	c := &Confirmer{
		Dispatcher: f.dispatcher, Pool: f.pool, Dialect: dialect.Default(), Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
		StoreAnswered: func(now time.Time) (since, until time.Time) {
			if since = *f.steady.Load(); since.IsZero() {
				return time.Time{}, time.Time{}
			}
			return since, now
		},
		Report: Report{Path: "/report", Started: func(body []byte) (time.Time, error) {
			ms, err := strconv.ParseInt(string(body), 10, 64)
			return time.UnixMilli(ms), eris.Wrap(err, "decode")
		}},
	}
	f.confirmer = c
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

// place reports whether the endpoint takes a stream that may be resumed.
func (f *fixture) place() bool {
	a, refusal := f.dispatcher.PlaceEngine(time.Now(), &dispatch.Request{Service: "s", Target: time.Second, Resumable: true})
	if refusal != nil {
		return false
	}
	a.End(time.Now(), 0)
	return true
}

func report(started time.Time) directtest.Script {
	return func(c net.Conn, call *directtest.Call) bool {
		directtest.Respond(c, call, http.StatusOK, strconv.FormatInt(started.UnixMilli(), 10))
		return true
	}
}

const (
	confirmTime = 5 * time.Second
	quietTime   = 600 * time.Millisecond
)

// Guards against an endpoint that stays unused after a connection broke although it runs on, and
// against a report that is requested without need.
func TestReportOfSameIncarnationConfirmsIt(t *testing.T) {
	f := newFixture(t, report(registeredStart))
	f.dispatcher.DoubtIncarnation(time.Now(), "e")
	time.Sleep(quietTime)
	must.Eq(t, 0, len(f.endpoint.Calls()), must.Sprint("no request needs it"))
	must.False(t, f.place())
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f.place), wait.Timeout(confirmTime), wait.Gap(10*time.Millisecond)))
	time.Sleep(quietTime)
	must.Eq(t, 1, len(f.endpoint.Calls()))
	must.Eq(t, "e", f.endpoint.Calls()[0].Header.Get(dialect.Default().ExpectedInstance))
}

// Guards against streams at an endpoint that reported another start, or nothing that can be read,
// while the store doesn't answer, however often a request needs it.
func TestUnconfirmedIncarnationStaysUnused(t *testing.T) {
	for name, script := range map[string]directtest.Script{
		"restarted": report(registeredStart.Add(time.Second)),
		"no report": func(c net.Conn, call *directtest.Call) bool {
			directtest.Respond(c, call, http.StatusNotFound, "")
			return true
		},
		"a stream": func(c net.Conn, call *directtest.Call) bool {
			directtest.BeginStream(c, call)
			directtest.Chunk(c, directtest.Event(1))
			directtest.Chunk(c, "")
			return true
		},
		"broken": func(net.Conn, *directtest.Call) bool { return false },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, script)
			f.dispatcher.DoubtIncarnation(time.Now(), "e")
			for end := time.Now().Add(quietTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				must.False(t, f.place())
			}
			must.Between(t, 1, len(f.endpoint.Calls()), 3)
		})
	}
}

// Guards against an endpoint without a report that is never used again.
func TestEndpointWithoutReportIsUsedAgainWhileTheStoreAnswers(t *testing.T) {
	f := newFixture(t, func(c net.Conn, call *directtest.Call) bool {
		directtest.Respond(c, call, http.StatusNotFound, "")
		return true
	})
	now := time.Now()
	f.steady.Store(&now)
	f.dispatcher.DoubtIncarnation(now, "e")
	must.False(t, f.place())
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f.place), wait.Timeout(2*confirmTime), wait.Gap(10*time.Millisecond)))
}

// Guards against questions to an endpoint in an evacuated zone, also one that was due before, and against
// an endpoint that stays unused after the return of its zone because it was never asked.
func TestEndpointInAnEvacuatedZoneIsAskedAfterItsReturn(t *testing.T) {
	f := newFixture(t, report(registeredStart))
	f.dispatcher.DoubtIncarnation(time.Now(), "e")
	must.False(t, f.place(), must.Sprint("in doubt, and wanted from now on"))
	f.evacuations.Begin("z")
	e := registry.Endpoint{ID: "e", Address: f.endpoint.Address, Zone: "z"}
	f.confirmer.ask(t.Context(), e)
	for end := time.Now().Add(quietTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		must.False(t, f.place())
	}
	must.SliceEmpty(t, f.endpoint.Calls())
	f.evacuations.End("z")
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f.place), wait.Timeout(confirmTime), wait.Gap(10*time.Millisecond)))
	must.Len(t, 1, f.endpoint.Calls())
}

// Guards against a stream that goes on at an endpoint which restarted with other software while the store was
// away: a router without a connection to it doesn't notice that.
func TestVerificationTellsIncarnationsApart(t *testing.T) {
	for name, test := range map[string]struct {
		status  int
		started time.Time
		ok      bool
	}{
		"the same":         {http.StatusOK, registeredStart, true},
		"restarted":        {http.StatusOK, registeredStart.Add(time.Millisecond), false},
		"another endpoint": {http.StatusMisdirectedRequest, registeredStart, false},
		"no report":        {http.StatusNotFound, registeredStart, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, report(registeredStart))
			e := registry.Endpoint{ID: "e", Address: f.endpoint.Address, Started: registeredStart}
			v := f.confirmer.Verification(e)
			must.Eq(t, "/report", v.Request.URI)
			err := v.Check(test.status, []byte(strconv.FormatInt(test.started.UnixMilli(), 10)))
			must.Eq(t, test.ok, err == nil)
			must.Eq(t, name != "restarted", f.place(), must.Sprint("other requests must not use a restarted one"))
		})
	}
	must.Nil(t, newFixture(t, report(registeredStart)).confirmer.Verification(registry.Endpoint{ID: "e"}))
}
