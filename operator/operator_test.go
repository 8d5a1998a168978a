package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/coordination/publication"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/state/objects"
	"github.com/acaciaspar/acaciaspar/transport/fleethttp"
	"github.com/acaciaspar/acaciaspar/transport/logclient/logtest"
)

// bench runs subcommands against a log in memory.
type bench struct {
	t      *testing.T
	log    *logtest.Log
	url    string
	dir    string
	nextID int
	stdout string
	stderr string
}

func newBench(t *testing.T) *bench {
	log := &logtest.Log{}
	server := httptest.NewServer(log)
	t.Cleanup(server.Close)
	return &bench{t: t, log: log, url: server.URL, dir: t.TempDir()}
}

func (b *bench) run(args ...string) subcommands.ExitStatus {
	b.t.Helper()
	var stdout, stderr bytes.Buffer
	app := &App{
		Stdin: strings.NewReader(""), Stdout: &stdout, Stderr: &stderr,
		Environ: []string{"USER=mira", "ACACIASPAR_LOG_URL=" + b.url, "ACACIASPAR_ZONE=patan"},
		Now:     func() time.Time { return time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC) },
		NewID: func() string {
			b.nextID++
			return fmt.Sprintf("%032x", b.nextID)
		},
	}
	flags := flag.NewFlagSet("acaciaspar", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "acaciaspar")
	commander.Output, commander.Error = &stdout, &stderr
	Register(commander, app)
	must.NoError(b.t, flags.Parse(args))
	status := commander.Execute(context.Background())
	b.stdout, b.stderr = stdout.String(), stderr.String()
	return status
}

func (b *bench) file(name, content string) string {
	b.t.Helper()
	path := filepath.Join(b.dir, name)
	must.NoError(b.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func team(name string) string { return "kind: Team\nname: " + name + "\n" }

// Guards against wrong exit codes and against a changed course of an ordinary session.
func TestSession(t *testing.T) {
	b := newBench(t)
	bad := b.file("bad.yaml", "kind: Share\nname: s\nteam: nobody\nservice: none\nweight: 0\n")
	good := b.file("good.yaml", team("kiln")+"---\nkind: Service\nname: desk\ntype: plain\ndefaultCost: 5\nmaxCost: 50\n")
	more := b.file("more.yaml", team("loom")+"---\n"+team("kiln")+"---\nkind: Service\nname: desk\ntype: plain\ndefaultCost: 7\nmaxCost: 50\n")
	empty := b.file("empty.yaml", "")

	must.Eq(t, ExitFaults, b.run("check", bad))
	must.StrContains(t, b.stdout, "bad.yaml:5: Share s: weight: 0 is not in 1 to 1000000\n3 faults\n")
	must.Eq(t, ExitFaults, b.run("publish", bad))
	must.Eq(t, ExitDone, b.run("check", good))
	must.Eq(t, ExitUsage, b.run("check"))
	must.Eq(t, ExitFailed, b.run("check", b.dir+"/absent"))
	must.Eq(t, ExitUsage, b.run("publish", "-id", "7", good))
	must.Eq(t, ExitUsage, b.run("publish", empty))
	must.Eq(t, 0, b.log.End())

	must.Eq(t, ExitDone, b.run("publish", good))
	must.Eq(t, "+ Team kiln\n+ Service desk\n2 changes to version 0\naccepted: version 1 (id 00000000000000000000000000000003)\n", b.stdout)
	must.Eq(t, ExitDone, b.run("diff", more))
	must.Eq(t, "+ Team loom\n~ Service desk: defaultCost 5 -> 7\n2 changes to version 1\n", b.stdout)
	must.Eq(t, ExitDone, b.run("publish", good))
	must.Eq(t, "nothing to change, version 1 is in force\n", b.stdout)
	must.Eq(t, ExitRefused, b.run("publish", "-base", "0", more))
	must.Eq(t, 1, b.log.End())
	must.Eq(t, ExitDone, b.run("publish", "-base", "1", "-operator", "tess", more))
	must.Eq(t, ExitDone, b.run("publish", "-allow-empty", empty))
	must.StrContains(t, b.stdout, "- Team kiln\n- Team loom\n- Service desk\n")

	b.log.Append([]byte("junk"))
	must.Eq(t, ExitDone, b.run("audit", "-json"))
	var audit auditOutput
	must.NoError(t, json.Unmarshal([]byte(b.stdout), &audit))
	must.Len(t, 3, audit.Publications)
	must.Eq(t, "tess", audit.Publications[1].Operator)
	must.Eq(t, 1, audit.Malformed)
	must.Eq(t, ExitDone, b.run("audit"))
	must.StrContains(t, b.stdout, "2026-01-02T03:04:05Z  tess      1     2        accepted")
}

// Guards against a publication that is lost, made twice, or reported wrongly
// when the reply or the request is lost.
func TestLostRepliesAndRequests(t *testing.T) {
	b := newBench(t)
	file := b.file("a.yaml", team("kiln"))
	b.log.SetFault(logtest.LostReply)
	must.Eq(t, ExitDone, b.run("publish", file))
	must.Eq(t, 1, b.log.End())

	file = b.file("b.yaml", team("loom"))
	b.log.SetFault(logtest.LostRequest)
	id := strings.Repeat("ab", 16)
	must.Eq(t, ExitUnknown, b.run("publish", "-json", "-timeout", "500ms", "-id", id, file))
	var out publishOutput
	must.NoError(t, json.Unmarshal([]byte(b.stdout), &out))
	must.Eq(t, "unknown", out.Verdict)
	must.StrContains(t, out.Reason, "-id "+id+" -base 1")
	b.log.SetFault(logtest.None)
	for range 2 {
		must.Eq(t, ExitDone, b.run("publish", "-id", id, "-base", "1", file))
		must.StrContains(t, b.stdout, "accepted: version 2")
		must.Eq(t, 2, b.log.End())
	}
	must.Eq(t, ExitFailed, b.run("publish", "-id", id, b.file("c.yaml", team("mill"))))
	must.StrContains(t, b.stderr, "another set")
	b.log.SetFault(logtest.Down)
	must.Eq(t, ExitFailed, b.run("publish", file))
	must.StrContains(t, b.stderr, "nothing was published")
}

// Guards against telling both of two racing operators that they succeeded.
func TestRaceIsRefused(t *testing.T) {
	b := newBench(t)
	rival, err := publication.NewState().Propose(strings.Repeat("cd", 16), "tess", time.Now(), objects.NewSet(&objects.Team{Name: "mill"})).Encode()
	must.NoError(t, err)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			b.log.Append(rival)
		}
		b.log.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	b.url = server.URL
	must.Eq(t, ExitRefused, b.run("publish", b.file("a.yaml", team("kiln"))))
	must.StrContains(t, b.stdout, "refused: base version 0 is not the version in force, 1")
	must.Eq(t, ExitDone, b.run("audit"))
	must.StrContains(t, b.stdout, "accepted")
	must.StrContains(t, b.stdout, "refused")
}

// Guards against publishing on a guess, and against an empty list of
// publications, when the log has no usable start.
func TestLogWithoutStart(t *testing.T) {
	b := newBench(t)
	file := b.file("a.yaml", team("kiln"))
	b.log.Append([]byte("junk"))
	must.Eq(t, ExitDone, b.run("publish", file))
	b.log.Expire(1)
	must.Eq(t, ExitFailed, b.run("publish", file))
	must.StrContains(t, b.stderr, "no usable snapshot")
	must.Eq(t, ExitDone, b.run("audit"))
	must.StrContains(t, b.stdout, "not-known")
}

// fakeRouter answers the control service.
type fakeRouter struct {
	fleetpb.Control
	reply *fleetpb.StatusReply
	lines []string
}

func (r *fakeRouter) Status(context.Context, *fleetpb.StatusRequest) (*fleetpb.StatusReply, error) {
	return r.reply, nil
}

func (r *fakeRouter) Trail(context.Context, *fleetpb.TrailRequest) (*fleetpb.TrailReply, error) {
	return &fleetpb.TrailReply{Sender: r.reply.Sender, Lines: r.lines}, nil
}

func startRouter(t *testing.T, r *fakeRouter) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r.reply.Sender = &fleetpb.Sender{Fleet: "acaciaspar", Protocol: 1, Zone: "patan", Address: listener.Addr().String()}
	server := fleethttp.NewServer(fleetpb.NewControlServer(r), nil)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// Guards against a router or a line that is left out because only another
// router names it, or because a third doesn't answer.
func TestStatusAndTrail(t *testing.T) {
	b := newBench(t)
	second := startRouter(t, &fakeRouter{
		reply: &fleetpb.StatusReply{ConfigVersion: 7, OwnedServices: []string{"desk"},
			Teams:     []*fleetpb.TeamStatus{{Service: "desk", Team: "kiln", Weight: 3, Waiting: 11}},
			Endpoints: []*fleetpb.EndpointStatus{{Service: "desk", Endpoint: "desk-1", State: "active", Capacity: 4}}},
		lines: []string{`{"event":"granted"}`, "text\x1b"},
	})
	first := startRouter(t, &fakeRouter{reply: &fleetpb.StatusReply{ConfigVersion: 6, Members: []*fleetpb.MemberUpdate{
		{Address: second, State: fleetpb.MemberState_MEMBER_STATE_ALIVE},
		{Address: "127.0.0.1:1", State: fleetpb.MemberState_MEMBER_STATE_SUSPECT},
		{Address: "127.0.0.1:2", State: fleetpb.MemberState_MEMBER_STATE_DEAD},
	}}})
	must.Eq(t, ExitUsage, b.run("status", "extra"))
	must.Eq(t, ExitFailed, b.run("status"))
	must.Eq(t, ExitFailed, b.run("status", "-routers", "127.0.0.1:1"))
	must.Eq(t, ExitDone, b.run("status", "-routers", first))
	must.StrContains(t, b.stdout, "versions in force: 6 on 1 routers, 7 on 1 routers")
	must.StrContains(t, b.stdout, "no answer")
	must.StrContains(t, b.stdout, "desk     desk-1    active")
	must.Eq(t, ExitDone, b.run("status", "-json", "-routers", first+", "+second))
	var out statusOutput
	must.NoError(t, json.Unmarshal([]byte(b.stdout), &out))
	must.Len(t, 3, out.Routers)
	must.Eq(t, 11, out.Teams[0].Waiting)
	must.Eq(t, second, out.Endpoints[0].Router)

	must.Eq(t, ExitDone, b.run("audit", "-routers", first, "-request", "r-1"))
	must.StrContains(t, b.stdout, second+`: {"event":"granted"}`)
	must.StrNotContains(t, b.stdout, "\x1b")
	must.Eq(t, ExitDone, b.run("audit", "-json", "-routers", first, "-request", "r-1"))
	must.True(t, json.Valid([]byte(b.stdout)))
}
