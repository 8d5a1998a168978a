package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/testbed/fleet"
)

// http2Caller is a caller that speaks HTTP/2 without TLS.
func http2Caller(t *testing.T) *http.Client {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// rawCall is one request that a test writes byte by byte.
type rawCall struct {
	t    *testing.T
	conn net.Conn
}

func dialRaw(t *testing.T, router *fleet.Process, text string) *rawCall {
	t.Helper()
	conn, err := net.Dial("tcp", router.Address("callers"))
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(fleet.WaitTimeout)))
	// A server that refuses early may have closed the connection meanwhile.
	_, _ = io.WriteString(conn, text)
	return &rawCall{t: t, conn: conn}
}

// answer reads the status and the outcome.
func (c *rawCall) answer() (int, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	must.NoError(c.t, err)
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get(outcome.Header)
}

// rawBooking is the head of a booking with further header lines.
func rawBooking(team string, lines ...string) string {
	head := []string{"POST /" + plainService + "/bookings HTTP/1.1", "Host: router", "Authorization: Bearer " + fleet.Token(team)}
	return strings.Join(append(head, lines...), "\r\n") + "\r\n\r\n"
}

// mustHideTokens searches the logs of all processes for the teams' tokens.
func (d *deployment) mustHideTokens() {
	d.t.Helper()
	for _, p := range d.Processes() {
		for _, team := range d.objects.Teams {
			must.False(d.t, p.Logged(fleet.Token(team.Name)), must.Sprintf("%s logged the token of %s", p.Name, team.Name))
		}
	}
}

func debugSetup(routerArgs ...string) setup {
	return setup{
		routers: 1, teams: 3,
		routerArgs: append([]string{"-log-level", "debug"}, routerArgs...),
		agentArgs:  []string{"-log-level", "debug"},
	}
}

// Guards against headers and bodies of one caller that end a router, reach an
// endpoint, disturb other callers or show up in a log.
func TestBadInputOfCallers(t *testing.T) {
	t.Parallel()
	const maxBody = 64 << 10
	d := deploy(t, debugSetup("-max-body", fmt.Sprint(maxBody)))
	router := d.routers[0]
	streams := d.openStreams(router, 3, longStream)
	long := func(n int) string { return "X-Long: " + strings.Repeat("x", n) }
	cases := []struct {
		name, text string
		status     int
		kind       outcome.Kind
	}{
		{"headers above the fleet's limit", rawBooking(teamName(0), long(40<<10), "Content-Length: 0"), 431, outcome.NotRun},
		{"headers above the listener's limit", rawBooking(teamName(0), long(200<<10), "Content-Length: 0"), 431, ""},
		{"header name with a space", rawBooking(teamName(0), "X Bad: 1", "Content-Length: 0"), 400, ""},
		{"header value with a NUL", rawBooking(teamName(0), "X-Bad: a\x00b", "Content-Length: 0"), 400, ""},
		{"two lengths", rawBooking(teamName(0), "Content-Length: 1", "Content-Length: 2") + "{}", 400, ""},
		{"negative length", rawBooking(teamName(0), "Content-Length: -1"), 400, ""},
		{"unknown transfer encoding", rawBooking(teamName(0), "Transfer-Encoding: other"), 501, ""},
		{"not HTTP", "\x16\x03\x01\x00\x00\r\n\r\n", 400, ""},
		{"malformed chunk", rawBooking(teamName(0), "Transfer-Encoding: chunked") + "zz\r\n{}\r\n", 400, outcome.NotRun},
		{"announced body too large", rawBooking(teamName(0), "Content-Length: 99999999999"), 413, outcome.NotRun},
		{"no such token", rawBooking("nobody", "Content-Length: 2") + "{}", 401, outcome.NotRun},
		{"token of the wrong scheme", strings.Replace(rawBooking(teamName(0), "Content-Length: 2"), "Bearer", "Basic", 1) + "{}", 401, outcome.NotRun},
		{"unknown operation", strings.Replace(rawBooking(teamName(0), "Content-Length: 2"), "bookings", "..%2fbookings", 1) + "{}", 404, outcome.NotRun},
	}
	notRun := d.Metric(router, "entry.outcome.not-run")
	for _, c := range cases {
		status, kind := dialRaw(t, router, c.text).answer()
		must.Eq(t, c.status, status, must.Sprint(c.name))
		must.Eq(t, string(c.kind), kind, must.Sprint(c.name))
		if c.kind == outcome.NotRun {
			notRun++
		}
	}
	cut := dialRaw(t, router, rawBooking(teamName(0), "Content-Length: 100")+`{"id":"cut"`)
	must.NoError(t, cut.conn.(*net.TCPConn).CloseWrite())
	status, kind := cut.answer()
	must.Eq(t, 400, status)
	must.Eq(t, string(outcome.NotRun), kind)
	must.Eq(t, notRun+1, d.Metric(router, "entry.outcome.not-run"))
	must.MapEmpty(t, d.bookings())
	for _, s := range streams {
		mustWhole(t, s.prompt, s.tokens, s.Wait())
	}
	d.mustHideTokens()
}

// Guards against a caller that loses the refusal of a large body because the
// connection is reset while it still sends.
func TestRefusalsReachCallersThatStillSend(t *testing.T) {
	t.Parallel()
	const maxBody, teamBytes, callers = 1 << 20, 64 << 10, 10
	d := deploy(t, setup{routers: 1, teams: 2, routerArgs: []string{
		"-max-body", fmt.Sprint(maxBody), "-team-queue-bytes", fmt.Sprint(teamBytes),
	}})
	kinds := map[string]*http.Client{"HTTP/1.1": nil, "HTTP/2": http2Caller(t)}
	for size, want := range map[int]int{teamBytes: 429, 400 << 10: 429, 4 * maxBody: 413} {
		for protocol, client := range kinds {
			for _, chunked := range []bool{false, true} {
				status := want
				if chunked {
					// A body of unknown length exceeds the team's memory before it exceeds the limit.
					status = 429
				}
				for range callers {
					r := booking(d.routers[0], teamName(0), strings.Repeat("x", size))
					r.Client, r.Chunked = client, chunked
					a := d.Call(r)
					must.NoError(t, a.Err, must.Sprintf("%s, %d bytes, chunked %v", protocol, size, chunked))
					must.Eq(t, status, a.Status, must.Sprintf("%s, %d bytes, chunked %v", protocol, size, chunked))
					must.Eq(t, outcome.NotRun, a.Outcome.Kind)
				}
			}
		}
	}
	must.MapEmpty(t, d.bookings())
	must.True(t, d.Call(booking(d.routers[0], teamName(0), "small")).Complete())
}

// Guards against slow bodies that hold up other callers or stay for ever.
func TestSlowBodies(t *testing.T) {
	t.Parallel()
	d := deploy(t, debugSetup("-body-timeout", "2s"))
	router := d.routers[0]
	var slow []*rawCall
	for range 20 {
		slow = append(slow, dialRaw(t, router, rawBooking(teamName(0), "Content-Length: 1000")+"{"))
	}
	for i := range 10 {
		id := fmt.Sprintf("meanwhile-%d", i)
		mustWhole(t, id, 4, d.Call(completion(router, teamName(1), id, 4)))
		must.True(t, d.Call(booking(router, teamName(0), id)).Complete())
	}
	for _, c := range slow {
		status, kind := c.answer()
		must.Eq(t, 408, status)
		must.Eq(t, string(outcome.NotRun), kind)
	}
	must.MapLen(t, 10, d.bookings())
	d.Eventually("the memory of the bodies is free", func() bool { return d.Metric(router, "entry.held_bytes") == 0 })
	d.mustHideTokens()
}

// Guards against headers of the fleet's own protocol that a caller can set,
// and against differences between callers of both versions of HTTP.
func TestCallersOfBothHTTPVersions(t *testing.T) {
	t.Parallel()
	d := deploy(t, debugSetup())
	hostile := http.Header{}
	for _, name := range []string{"Fleet", "Request", "Attempt", "Slot-Token", "Weight", "Hint", "Endpoint", "Method", "Uri", "Cost", "Forward-Authorization", "Outcome"} {
		hostile.Set("Acaciaspar-"+name, "forged")
	}
	hostile.Set("X-Fencing-Number", "18446744073709551615")
	hostile.Set("X-Request-Id", "forged")
	for _, hint := range []string{"-1", "18446744073709551616", "1e9", " "} {
		hostile.Set("Acaciaspar-Cost-Hint", hint)
		for name, client := range map[string]*http.Client{"one": nil, "two": http2Caller(t)} {
			r := completion(d.routers[0], teamName(0), "version "+name, 20)
			r.Client, r.Header = client, hostile
			a := d.Call(r)
			mustWhole(t, "version "+name, 20, a)
			must.NotEq(t, "forged", a.Header.Get(outcome.RequestHeader))
			b := booking(d.routers[0], teamName(1), name+hint)
			b.Client, b.Header = client, hostile
			must.True(t, d.Call(b).Complete())
			must.Eq(t, 1, d.bookings()[name+hint])
			b.Team = "nobody"
			must.Eq(t, 401, d.Call(b).Status)
		}
	}
	d.mustHideTokens()
}
