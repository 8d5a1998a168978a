package slots

import (
	"errors"
	"fmt"
	"math/big"
	"sort"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
)

var epoch = time.Unix(1_000_000, 0)

const startTimeout = 10 * time.Second

func newTable(slots, prefetch uint32) *Table {
	t := New(Params{Instance: "i", StartTimeout: startTimeout})
	t.Resize(slots, prefetch)
	t.Resume(StopStarting)
	return t
}

func reasonOf(err error) Reason {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason
	}
	return ""
}

func acceptParams(token, request string) AcceptParams {
	return AcceptParams{Token: token, Request: request, Attempt: 1, Team: "a", Weight: 1, Hint: 10}
}

// tokens returns the names of the free tokens of a report.
func tokens(r *fleetpb.ReportRequest) []string {
	var names []string
	for _, number := range r.FreeTokens {
		names = append(names, TokenName("i", number))
	}
	return names
}

// Guards against a request accepted on a token whose lease expired while the
// process was paused, also after the agent has sent another report.
func TestExpiredTokenStaysRefused(t *testing.T) {
	table := newTable(1, 0)
	old := tokens(table.BuildReport(epoch, "o", false))[0]
	late := epoch.Add(Lease + 1)
	must.Eq(t, LapsedToken, reasonOf(table.Accept(late, acceptParams(old, "r"))))
	renewed := tokens(table.BuildReport(late, "o", false))
	must.SliceNotContains(t, renewed, old)
	must.Eq(t, SpentToken, reasonOf(table.Accept(late, acceptParams(old, "r"))))
	must.NoError(t, table.Accept(late.Add(Lease), acceptParams(renewed[0], "r")))
}

// Guards against a token that two owners can grant at the same time.
func TestOwnerChangeCancelsTokens(t *testing.T) {
	table := newTable(2, 0)
	old := tokens(table.BuildReport(epoch, "o1", false))
	second := table.BuildReport(epoch, "o2", false)
	must.True(t, second.Full)
	must.Eq(t, SpentToken, reasonOf(table.Accept(epoch, acceptParams(old[0], "r"))))
	must.NoError(t, table.Accept(epoch, acceptParams(tokens(second)[0], "r")))
}

// Guards against two tables of one instance that create tokens with the same name.
func TestReplacementTableReusesNoTokenNames(t *testing.T) {
	first := newTable(3, 0)
	used := tokens(first.BuildReport(epoch, "o", false))
	second := New(Params{Instance: "i", StartTimeout: startTimeout})
	second.ContinueTokenNumbers(first)
	second.Resize(3, 0)
	second.Resume(StopStarting)
	for _, token := range tokens(second.BuildReport(epoch, "o", false)) {
		must.SliceNotContains(t, used, token)
	}
	must.Eq(t, SpentToken, reasonOf(second.Accept(epoch, acceptParams(used[0], "r"))))
}

// Guards against a refusal that implies "not run" for a duplicate message about
// a running request.
func TestRefusalReasons(t *testing.T) {
	table := newTable(2, 1)
	must.Eq(t, UnknownToken, reasonOf(table.Accept(epoch, acceptParams("i-1", "r"))))
	free := tokens(table.BuildReport(epoch, "o", false))
	must.Len(t, 3, free)
	must.Eq(t, UnknownToken, reasonOf(table.Accept(epoch, acceptParams("other-1", "r"))))
	must.NoError(t, table.Accept(epoch, acceptParams(free[0], "r")))
	must.Eq(t, SpentToken, reasonOf(table.Accept(epoch, acceptParams(free[0], "s"))))
	err := table.Accept(epoch, acceptParams(free[0], "r"))
	must.Eq(t, Duplicate, reasonOf(err))
	must.True(t, err.(*Refusal).MayHaveRun())
	retry := acceptParams(free[1], "r")
	retry.Attempt = 2
	err = table.Accept(epoch, retry)
	must.Eq(t, InProgress, reasonOf(err))
	must.False(t, err.(*Refusal).MayHaveRun())
	table.Finish("r", Finished)
	must.Eq(t, Duplicate, reasonOf(table.Accept(epoch, acceptParams(free[1], "r"))))
	must.NoError(t, table.Accept(epoch, retry))
	table.Stop(StopShutdown)
	must.Eq(t, Draining, reasonOf(table.Accept(epoch, acceptParams(free[2], "t"))))
	must.SliceEmpty(t, tokens(table.BuildReport(epoch, "o", false)))
	table.Resume(StopShutdown)
	table.Stop(StopFenced)
	must.Eq(t, Superseded, reasonOf(table.Accept(epoch, acceptParams(free[2], "t"))))
}

// Guards against prefetched requests that start out of order, without a slot,
// after the start timeout or on a draining agent.
func TestPrefetchedRequestsWaitForSlot(t *testing.T) {
	table := newTable(1, 3)
	for i, token := range tokens(table.BuildReport(epoch, "o", false)) {
		must.NoError(t, table.Accept(epoch, acceptParams(token, fmt.Sprint(i))))
	}
	checkStart := func(now time.Time, id string, want bool, reason Reason) {
		t.Helper()
		got, err := table.TryStart(now, id)
		must.Eq(t, want, got)
		must.Eq(t, reason, reasonOf(err))
	}
	checkStart(epoch, "1", false, "")
	checkStart(epoch, "0", true, "")
	checkStart(epoch, "1", false, "")
	table.Finish("0", Finished)
	checkStart(epoch, "2", false, "")
	checkStart(epoch.Add(startTimeout), "1", true, "")
	table.Finish("1", Finished)
	checkStart(epoch.Add(startTimeout+1), "2", false, StartTimeout)
	table.Stop(StopObject)
	checkStart(epoch, "3", false, Draining)
	must.Zero(t, table.InProgress())
}

// Guards against counters that decrease or are lost when the table is full.
func TestFullTableEvictsSmallestIdleTeams(t *testing.T) {
	table := New(Params{Instance: "i", StartTimeout: startTimeout, MaxTeams: 4})
	table.Resize(8, 0)
	table.Resume(StopStarting)
	runRequest := func(team string, cost uint64) error {
		r := table.BuildReport(epoch, "o", false)
		table.Acknowledge(r.Sequence)
		a := acceptParams(tokens(r)[0], fmt.Sprint(r.Sequence))
		a.Team = team
		if err := table.Accept(epoch, a); err != nil {
			return err
		}
		table.Charge(a.Request, cost)
		if team != "held" {
			table.Finish(a.Request, Finished)
		}
		return nil
	}
	must.NoError(t, runRequest("held", 1))
	must.NoError(t, runRequest("b", 30))
	must.NoError(t, runRequest("c", 20))
	must.NoError(t, runRequest("d", 40))
	must.NoError(t, runRequest("e", 5))
	counters := map[string]*fleetpb.TeamCounter{}
	for _, c := range table.BuildReport(epoch, "o", true).Counters {
		counters[c.Team] = c
	}
	must.MapLen(t, 4, counters)
	must.MapNotContainsKey(t, counters, "c")
	must.Eq(t, 25, counters["e"].Cost)
	must.Eq(t, 25*NormalizedScale, counters["e"].Normalized)
}

// Guards against brief reports whose size grows with the number of running
// requests, and against charges that are lost because the owner acknowledged a
// brief report without them.
func TestBriefReportOmitsUnchangedRequests(t *testing.T) {
	table := newTable(3, 0)
	r := table.BuildReport(epoch, "o", false)
	for i, team := range []string{"a", "b", "c"} {
		a := acceptParams(tokens(r)[i], team)
		a.Team = team
		must.NoError(t, table.Accept(epoch, a))
	}
	must.True(t, table.BuildBriefReport(epoch, "o").Full)
	table.Acknowledge(table.BuildReport(epoch, "o", false).Sequence)
	table.Charge("a", 3)
	table.Charge("b", 4)
	table.Finish("b", Finished)
	brief := table.BuildBriefReport(epoch, "o")
	must.Len(t, 1, brief.Counters)
	must.Eq(t, "b", brief.Counters[0].Team)
	must.Eq(t, 2, brief.Running)
	table.Acknowledge(brief.Sequence)
	must.SliceEmpty(t, table.BuildBriefReport(epoch, "o").Counters)
	costs := map[string]uint64{}
	for _, c := range table.BuildReport(epoch, "o", false).Counters {
		costs[c.Team] = c.Cost
	}
	must.Eq(t, map[string]uint64{"a": 3, "b": 4}, costs)
}

// Guards against losing a charge, and against refusing new teams for good: a
// counter can be evicted only after the owner has acknowledged its charge.
func TestUnacknowledgedCountersAreNotEvicted(t *testing.T) {
	table := New(Params{Instance: "i", StartTimeout: startTimeout, MaxTeams: 1})
	table.Resize(2, 0)
	table.Resume(StopStarting)
	r := table.BuildReport(epoch, "o", false)
	must.NoError(t, table.Accept(epoch, acceptParams(tokens(r)[0], "r")))
	table.Finish("r", Finished)
	other := acceptParams(tokens(r)[1], "s")
	other.Team = "b"
	must.Eq(t, TooManyTeams, reasonOf(table.Accept(epoch, other)))
	table.Acknowledge(table.BuildReport(epoch, "o", false).Sequence)
	must.NoError(t, table.Accept(epoch, other))
}

// Guards against excessive costs from an endpoint, which would make owners
// reject every report.
func TestChargesAreCapped(t *testing.T) {
	table := newTable(1, 0)
	must.NoError(t, table.Accept(epoch, acceptParams(tokens(table.BuildReport(epoch, "o", false))[0], "r")))
	for range 3 {
		table.Charge("r", 1<<63)
	}
	r := table.BuildReport(epoch, "o", false)
	must.Eq(t, MaxCost, table.Metered("r"))
	must.Zero(t, r.Counters[0].Outstanding)
	must.Eq(t, MaxCost, r.Counters[0].Cost)
	must.Eq(t, MaxCost*NormalizedScale, r.Counters[0].Normalized)
}

// ownerView merges reports as a queue owner does.
type ownerView struct {
	sequence   uint64
	cost       map[string]uint64
	normalized map[string]uint64
	// running holds the counters of the teams with running requests.
	running map[string]*fleetpb.TeamCounter
}

func newOwnerView() *ownerView {
	return &ownerView{cost: map[string]uint64{}, normalized: map[string]uint64{}, running: map[string]*fleetpb.TeamCounter{}}
}

func (o *ownerView) merge(t *rapid.T, r *fleetpb.ReportRequest) {
	if r.Sequence <= o.sequence {
		return
	}
	o.sequence = r.Sequence
	if r.Full {
		clear(o.running)
	}
	for _, c := range r.Counters {
		if c.Cost < o.cost[c.Team] || c.Normalized < o.normalized[c.Team] {
			t.Fatalf("counter of team %s decreased", c.Team)
		}
		o.cost[c.Team], o.normalized[c.Team] = c.Cost, c.Normalized
		o.running[c.Team] = c
	}
}

// machine drives a table with random calls and with late and duplicated
// messages, and compares it with a model.
type machine struct {
	table  *Table
	slots  int
	now    time.Time
	owners map[string]*ownerView
	sent   []sentReport
	// delivered lists the sequences of reports that reached their owner.
	delivered  []uint64
	offered    map[string]time.Time
	accepted   map[string]bool
	inProgress []string
	started    map[string]bool
	weights    map[string]uint64
	charged    map[string]uint64
	requests   int
}

type sentReport struct {
	owner  string
	report *fleetpb.ReportRequest
}

func (m *machine) Advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) Report(t *rapid.T) {
	owner := rapid.SampledFrom([]string{"o1", "o1", "o1", "o2"}).Draw(t, "owner")
	m.sendReport(t, owner, m.table.BuildReport(m.now, owner, rapid.Bool().Draw(t, "full")), false)
}

func (m *machine) ReportBrief(t *rapid.T) {
	owner := rapid.SampledFrom([]string{"o1", "o1", "o1", "o2"}).Draw(t, "owner")
	m.sendReport(t, owner, m.table.BuildBriefReport(m.now, owner), true)
}

func (m *machine) sendReport(t *rapid.T, owner string, r *fleetpb.ReportRequest, brief bool) {
	for _, token := range tokens(r) {
		if at, ok := m.offered[token]; ok && m.now.Sub(at) > Lease {
			t.Fatalf("token %s was listed again after its lease expired", token)
		}
		m.offered[token] = m.now
	}
	if len(r.FreeTokens)+int(r.Running) > int(r.Capacity) && len(r.FreeTokens) > 0 {
		t.Fatalf("%d free tokens and %d requests exceed the capacity", len(r.FreeTokens), r.Running)
	}
	m.sent = append(m.sent, sentReport{owner, r})
	if rapid.Bool().Draw(t, "delivered") {
		m.owners[owner].merge(t, r)
		if !brief {
			m.checkCosts(t, owner)
		}
		m.checkRunning(t, owner, r, brief)
		m.delivered = append(m.delivered, r.Sequence)
		if rapid.Bool().Draw(t, "reply arrives") {
			m.table.Acknowledge(r.Sequence)
		}
	}
}

// checkCosts checks that an owner that received the latest report has every charge.
func (m *machine) checkCosts(t *rapid.T, owner string) {
	for team, units := range m.charged {
		if got := m.owners[owner].cost[team]; got != units {
			t.Fatalf("owner %s has cost %d for team %s, want %d", owner, got, team, units)
		}
	}
}

// checkRunning checks that an owner that received the latest report has the
// number of running requests per team and, unless the report was brief, their
// outstanding cost.
func (m *machine) checkRunning(t *rapid.T, owner string, r *fleetpb.ReportRequest, brief bool) {
	running, hints := map[string]uint32{}, map[string]uint64{}
	for _, key := range m.inProgress {
		team := key[len(key)-1:]
		running[team]++
		if metered := m.table.Metered(key[:len(key)-1]); metered < 5 {
			hints[team] += (5 - metered) * NormalizedScale / m.weights[team]
		}
	}
	if int(r.Running) != len(m.inProgress) {
		t.Fatalf("report has %d running requests, want %d", r.Running, len(m.inProgress))
	}
	for team := range m.weights {
		got := m.owners[owner].running[team]
		if got.GetRunning() != running[team] {
			t.Fatalf("owner %s has %d running requests of team %s, want %d", owner, got.GetRunning(), team, running[team])
		}
		if !brief && got.GetOutstanding() != hints[team] {
			t.Fatalf("owner %s has outstanding cost %d for team %s, want %d", owner, got.GetOutstanding(), team, hints[team])
		}
	}
}

// AcknowledgeLate delivers the reply to an earlier report.
func (m *machine) AcknowledgeLate(t *rapid.T) {
	if len(m.delivered) == 0 {
		t.Skip()
	}
	m.table.Acknowledge(rapid.SampledFrom(m.delivered).Draw(t, "sequence"))
}

// Deliver delivers an earlier report to its owner, late or a second time.
func (m *machine) Deliver(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip()
	}
	s := rapid.SampledFrom(m.sent).Draw(t, "report")
	m.owners[s.owner].merge(t, s.report)
}

func (m *machine) Accept(t *rapid.T) {
	if len(m.offered) == 0 {
		t.Skip()
	}
	token := rapid.SampledFrom(sortedKeys(m.offered)).Draw(t, "token")
	m.requests++
	id := fmt.Sprint("r", m.requests)
	team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
	err := m.table.Accept(m.now, AcceptParams{Token: token, Request: id, Attempt: 1, Team: team, Weight: m.weights[team], Hint: 5})
	if err != nil {
		return
	}
	if m.accepted[token] {
		t.Fatalf("token %s was accepted twice", token)
	}
	if m.now.Sub(m.offered[token]) > Lease {
		t.Fatalf("token %s was accepted after its lease expired", token)
	}
	m.accepted[token] = true
	m.inProgress = append(m.inProgress, id+team)
}

func (m *machine) Start(t *rapid.T) {
	if len(m.inProgress) == 0 {
		t.Skip()
	}
	key := rapid.SampledFrom(m.inProgress).Draw(t, "request")
	ok, err := m.table.TryStart(m.now, key[:len(key)-1])
	if err != nil {
		m.remove(key)
		return
	}
	if ok {
		m.started[key] = true
	}
	if len(m.started) > m.slots {
		t.Fatalf("%d started requests exceed %d slots", len(m.started), m.slots)
	}
}

func (m *machine) Charge(t *rapid.T) {
	if len(m.started) == 0 {
		t.Skip()
	}
	key := rapid.SampledFrom(sortedKeys(m.started)).Draw(t, "request")
	units := rapid.Uint64Range(0, 1000).Draw(t, "units")
	m.table.Charge(key[:len(key)-1], units)
	m.charged[key[len(key)-1:]] += units
}

func (m *machine) Finish(t *rapid.T) {
	if len(m.inProgress) == 0 {
		t.Skip()
	}
	key := rapid.SampledFrom(m.inProgress).Draw(t, "request")
	m.table.Finish(key[:len(key)-1], rapid.SampledFrom([]Result{NotRun, Finished, Failed}).Draw(t, "result"))
	m.remove(key)
}

func (m *machine) remove(key string) {
	delete(m.started, key)
	for i, candidate := range m.inProgress {
		if candidate == key {
			m.inProgress = append(m.inProgress[:i], m.inProgress[i+1:]...)
			return
		}
	}
}

func (m *machine) Stop(t *rapid.T) {
	if rapid.Bool().Draw(t, "stop") {
		m.table.Stop(StopHost)
	} else {
		m.table.Resume(StopHost)
	}
}

// Check compares the request counts and every counter with the model.
func (m *machine) Check(t *rapid.T) {
	if m.table.Started() != len(m.started) || m.table.InProgress() != len(m.inProgress) {
		t.Fatalf("table and model differ: %d of %d started, %d of %d in progress",
			m.table.Started(), len(m.started), m.table.InProgress(), len(m.inProgress))
	}
	totals := map[string]*teamCounter{}
	for _, c := range m.table.counters.teams {
		totals[c.name] = c
	}
	for name, units := range m.charged {
		want := new(big.Int).Mul(new(big.Int).SetUint64(units), big.NewInt(NormalizedScale))
		want.Div(want, new(big.Int).SetUint64(m.weights[name]))
		if totals[name].cost != units || totals[name].normalized != want.Uint64() {
			t.Fatalf("team %s has cost %d and normalized cost %d, want %d and %s",
				name, totals[name].cost, totals[name].normalized, units, want)
		}
	}
}

// Guards against tokens that are used twice or after their lease, against more
// running requests than slots, and against charges that are lost or counted
// twice when reports are lost or duplicated.
func TestTableProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		m := &machine{
			table:    newTable(uint32(slots), uint32(rapid.IntRange(0, 2).Draw(t, "prefetch"))),
			slots:    slots,
			now:      epoch,
			owners:   map[string]*ownerView{"o1": newOwnerView(), "o2": newOwnerView()},
			offered:  map[string]time.Time{},
			accepted: map[string]bool{},
			started:  map[string]bool{},
			weights:  map[string]uint64{"a": 1, "b": 7, "c": 999_983},
			charged:  map[string]uint64{},
		}
		t.Repeat(rapid.StateMachineActions(m))
		for name, owner := range m.owners {
			owner.merge(t, m.table.BuildReport(m.now, name, false))
			m.checkCosts(t, name)
		}
	})
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
