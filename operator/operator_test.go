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

// fixture runs subcommands against an in-memory log.
type fixture struct {
	t      *testing.T
	log    *logtest.Log
	url    string
	dir    string
	nextID int
	stdout string
	stderr string
}

func newFixture(t *testing.T) *fixture {
	log := &logtest.Log{}
	server := httptest.NewServer(log)
	t.Cleanup(server.Close)
	return &fixture{t: t, log: log, url: server.URL, dir: t.TempDir()}
}

func (f *fixture) run(args ...string) subcommands.ExitStatus {
	f.t.Helper()
	var stdout, stderr bytes.Buffer
	app := &App{
		Stdin: strings.NewReader(""), Stdout: &stdout, Stderr: &stderr,
		Environ: []string{"USER=mira", "ACACIASPAR_LOG_URL=" + f.url, "ACACIASPAR_ZONE=patan"},
		Now:     func() time.Time { return time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC) },
		NewID: func() string {
			f.nextID++
			return fmt.Sprintf("%032x", f.nextID)
		},
	}
	flags := flag.NewFlagSet("acaciaspar", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "acaciaspar")
	commander.Output, commander.Error = &stdout, &stderr
	Register(commander, app)
	must.NoError(f.t, flags.Parse(args))
	status := commander.Execute(context.Background())
	f.stdout, f.stderr = stdout.String(), stderr.String()
	return status
}

func (f *fixture) file(name, content string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	must.NoError(f.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func team(name string) string { return "kind: Team\nname: " + name + "\n" }

// Guards against changes of exit codes and output in a session of check, diff,
// publish and audit.
func TestExitCodesAndOutput(t *testing.T) {
	f := newFixture(t)
	bad := f.file("bad.yaml", "kind: Share\nname: s\nteam: nobody\nservice: none\nweight: 0\n")
	good := f.file("good.yaml", team("kiln")+"---\nkind: Service\nname: desk\ntype: plain\ndefaultCost: 5\nmaxCost: 50\n")
	more := f.file("more.yaml", team("loom")+"---\n"+team("kiln")+"---\nkind: Service\nname: desk\ntype: plain\ndefaultCost: 7\nmaxCost: 50\n")
	empty := f.file("empty.yaml", "")

	must.Eq(t, ExitFaults, f.run("check", bad))
	must.StrContains(t, f.stdout, "bad.yaml:5: Share s: weight: 0 is not in 1 to 1000000\n3 faults\n")
	must.Eq(t, ExitFaults, f.run("publish", bad))
	must.Eq(t, ExitOK, f.run("check", good))
	must.Eq(t, ExitUsage, f.run("check"))
	must.Eq(t, ExitFailed, f.run("check", f.dir+"/absent"))
	must.Eq(t, ExitUsage, f.run("publish", "-id", "7", good))
	must.Eq(t, ExitUsage, f.run("publish", empty))
	must.Eq(t, 0, f.log.End())

	must.Eq(t, ExitOK, f.run("publish", good))
	must.Eq(t, "+ Team kiln\n+ Service desk\n2 changes to version 0\naccepted: version 1 (id 00000000000000000000000000000003)\n", f.stdout)
	must.Eq(t, ExitOK, f.run("diff", more))
	must.Eq(t, "+ Team loom\n~ Service desk: defaultCost 5 -> 7\n2 changes to version 1\n", f.stdout)
	must.Eq(t, ExitOK, f.run("publish", good))
	must.Eq(t, "nothing to change, version 1 is in force\n", f.stdout)
	must.Eq(t, ExitRefused, f.run("publish", "-base", "0", more))
	must.Eq(t, 1, f.log.End())
	must.Eq(t, ExitOK, f.run("publish", "-base", "1", "-operator", "tess", more))
	must.Eq(t, ExitOK, f.run("publish", "-allow-empty", empty))
	must.StrContains(t, f.stdout, "- Team kiln\n- Team loom\n- Service desk\n")

	f.log.Append([]byte("junk"))
	must.Eq(t, ExitOK, f.run("audit", "-json"))
	var audit auditOutput
	must.NoError(t, json.Unmarshal([]byte(f.stdout), &audit))
	must.Len(t, 3, audit.Publications)
	must.Eq(t, "tess", audit.Publications[1].Operator)
	must.Eq(t, 1, audit.Malformed)
	must.Eq(t, ExitOK, f.run("audit"))
	must.StrContains(t, f.stdout, "2026-01-02T03:04:05Z  tess      1     2        accepted")
}

// Guards against a publication that is lost, applied twice or reported incorrectly
// after its request or reply was lost.
func TestPublishWithLostReplyOrRequest(t *testing.T) {
	f := newFixture(t)
	file := f.file("a.yaml", team("kiln"))
	f.log.SetFault(logtest.LostReply)
	must.Eq(t, ExitOK, f.run("publish", file))
	must.Eq(t, 1, f.log.End())

	file = f.file("b.yaml", team("loom"))
	f.log.SetFault(logtest.LostRequest)
	id := strings.Repeat("ab", 16)
	must.Eq(t, ExitUnknown, f.run("publish", "-json", "-timeout", "500ms", "-id", id, file))
	var out publishOutput
	must.NoError(t, json.Unmarshal([]byte(f.stdout), &out))
	must.Eq(t, "unknown", out.Verdict)
	must.StrContains(t, out.Reason, "-id "+id+" -base 1")
	f.log.SetFault(logtest.None)
	for range 2 {
		must.Eq(t, ExitOK, f.run("publish", "-id", id, "-base", "1", file))
		must.StrContains(t, f.stdout, "accepted: version 2")
		must.Eq(t, 2, f.log.End())
	}
	must.Eq(t, ExitFailed, f.run("publish", "-id", id, f.file("c.yaml", team("mill"))))
	must.StrContains(t, f.stderr, "another set")
	f.log.SetFault(logtest.Down)
	must.Eq(t, ExitFailed, f.run("publish", file))
	must.StrContains(t, f.stderr, "nothing was published")
}

// Guards against reporting success to both of two operators who publish concurrently.
func TestConcurrentPublicationIsRefused(t *testing.T) {
	f := newFixture(t)
	competing, err := publication.NewState().Propose(strings.Repeat("cd", 16), "tess", time.Now(), objects.NewSet(&objects.Team{Name: "mill"})).Encode()
	must.NoError(t, err)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			f.log.Append(competing)
		}
		f.log.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	f.url = server.URL
	must.Eq(t, ExitRefused, f.run("publish", f.file("a.yaml", team("kiln"))))
	must.StrContains(t, f.stdout, "refused: base version 0 is not the version in force, 1")
	must.Eq(t, ExitOK, f.run("audit"))
	must.StrContains(t, f.stdout, "accepted")
	must.StrContains(t, f.stdout, "refused")
}

// Guards against publishing without a known base version, and against an empty list
// of publications, if the log has no usable snapshot.
func TestLogWithoutSnapshot(t *testing.T) {
	f := newFixture(t)
	file := f.file("a.yaml", team("kiln"))
	f.log.Append([]byte("junk"))
	must.Eq(t, ExitOK, f.run("publish", file))
	f.log.Expire(1)
	must.Eq(t, ExitFailed, f.run("publish", file))
	must.StrContains(t, f.stderr, "no usable snapshot")
	must.Eq(t, ExitOK, f.run("audit"))
	must.StrContains(t, f.stdout, "not-known")
}

// fakeRouter implements the control service.
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

// Guards against omitting a router or its trail lines because it is known only from
// another router's members, or because a third router is unreachable.
func TestStatusAndTrailCoverAllRouters(t *testing.T) {
	f := newFixture(t)
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
	must.Eq(t, ExitUsage, f.run("status", "extra"))
	must.Eq(t, ExitFailed, f.run("status"))
	must.Eq(t, ExitFailed, f.run("status", "-routers", "127.0.0.1:1"))
	must.Eq(t, ExitOK, f.run("status", "-routers", first))
	must.StrContains(t, f.stdout, "versions in force: 6 on 1 routers, 7 on 1 routers")
	must.StrContains(t, f.stdout, "no answer")
	must.StrContains(t, f.stdout, "desk     desk-1    active")
	must.Eq(t, ExitOK, f.run("status", "-json", "-routers", first+", "+second))
	var out statusOutput
	must.NoError(t, json.Unmarshal([]byte(f.stdout), &out))
	must.Len(t, 3, out.Routers)
	must.Eq(t, 11, out.Teams[0].Waiting)
	must.Eq(t, second, out.Endpoints[0].Router)

	must.Eq(t, ExitOK, f.run("audit", "-routers", first, "-request", "r-1"))
	must.StrContains(t, f.stdout, second+`: {"event":"granted"}`)
	must.StrNotContains(t, f.stdout, "\x1b")
	must.Eq(t, ExitOK, f.run("audit", "-json", "-routers", first, "-request", "r-1"))
	must.True(t, json.Valid([]byte(f.stdout)))
}
