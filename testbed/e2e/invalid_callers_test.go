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

// newHTTP2Client returns a client that uses HTTP/2 without TLS.
func newHTTP2Client(t *testing.T) *http.Client {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// rawRequest is a request sent as raw bytes, so that it can be malformed.
type rawRequest struct {
	t    *testing.T
	conn net.Conn
}

func sendRaw(t *testing.T, router *fleet.Process, text string) *rawRequest {
	t.Helper()
	conn, err := net.Dial("tcp", router.Address("callers"))
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(fleet.WaitTimeout)))
	// The write fails if the server has already refused the request and closed
	// the connection.
	_, _ = io.WriteString(conn, text)
	return &rawRequest{t: t, conn: conn}
}

// readResponse returns the status and the outcome header of the response.
func (r *rawRequest) readResponse() (int, string) {
	r.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(r.conn), nil)
	must.NoError(r.t, err)
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get(outcome.Header)
}

// rawBooking returns the request line and headers of a booking, with additional
// header lines.
func rawBooking(team string, lines ...string) string {
	head := []string{"POST /" + plainService + "/bookings HTTP/1.1", "Host: router", "Authorization: Bearer " + fleet.Token(team)}
	return strings.Join(append(head, lines...), "\r\n") + "\r\n\r\n"
}

// mustNotLogTokens checks that no process logged the token of a team.
func (d *deployment) mustNotLogTokens() {
	d.t.Helper()
	for _, p := range d.Processes() {
		for _, team := range d.objects.Teams {
			must.False(d.t, p.Logged(fleet.Token(team.Name)), must.Sprintf("%s logged the token of %s", p.Name, team.Name))
		}
	}
}

func debugOptions(routerArgs ...string) deployOptions {
	return deployOptions{
		routers: 1, teams: 3,
		routerArgs: append([]string{"-log-level", "debug"}, routerArgs...),
		agentArgs:  []string{"-log-level", "debug"},
	}
}

// Guards against headers and bodies of one caller that crash a router, reach an
// endpoint, affect other callers or are logged.
func TestInvalidCallerInputIsRejected(t *testing.T) {
	t.Parallel()
	const maxBody = 64 << 10
	d := deploy(t, debugOptions("-max-body", fmt.Sprint(maxBody)))
	router := d.routers[0]
	streams := d.openStreams(router, 3, longStreamTokens)
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
		status, kind := sendRaw(t, router, c.text).readResponse()
		must.Eq(t, c.status, status, must.Sprint(c.name))
		must.Eq(t, string(c.kind), kind, must.Sprint(c.name))
		if c.kind == outcome.NotRun {
			notRun++
		}
	}
	truncated := sendRaw(t, router, rawBooking(teamName(0), "Content-Length: 100")+`{"id":"cut"`)
	must.NoError(t, truncated.conn.(*net.TCPConn).CloseWrite())
	status, kind := truncated.readResponse()
	must.Eq(t, 400, status)
	must.Eq(t, string(outcome.NotRun), kind)
	must.Eq(t, notRun+1, d.Metric(router, "entry.outcome.not-run"))
	must.MapEmpty(t, d.bookings())
	for _, s := range streams {
		mustComplete(t, s.prompt, s.tokens, s.Wait())
	}
	d.mustNotLogTokens()
}

// Guards against a caller that loses the refusal of a large body because the
// connection is reset while the caller is still sending.
func TestRefusalReachesCallerStillSendingBody(t *testing.T) {
	t.Parallel()
	const maxBody, teamBytes, callers = 1 << 20, 64 << 10, 10
	d := deploy(t, deployOptions{routers: 1, teams: 2, routerArgs: []string{
		"-max-body", fmt.Sprint(maxBody), "-team-queue-bytes", fmt.Sprint(teamBytes),
	}})
	clients := map[string]*http.Client{"HTTP/1.1": nil, "HTTP/2": newHTTP2Client(t)}
	for size, want := range map[int]int{teamBytes: 429, 400 << 10: 429, 4 * maxBody: 413} {
		for protocol, client := range clients {
			for _, chunked := range []bool{false, true} {
				status := want
				if chunked {
					// A body of unknown length exceeds the team's memory limit before the body limit.
					status = 429
				}
				for range callers {
					r := booking(d.routers[0], teamName(0), strings.Repeat("x", size))
					r.Client, r.Chunked = client, chunked
					resp := d.Call(r)
					must.NoError(t, resp.Err, must.Sprintf("%s, %d bytes, chunked %v", protocol, size, chunked))
					must.Eq(t, status, resp.Status, must.Sprintf("%s, %d bytes, chunked %v", protocol, size, chunked))
					must.Eq(t, outcome.NotRun, resp.Outcome.Kind)
				}
			}
		}
	}
	must.MapEmpty(t, d.bookings())
	must.True(t, d.Call(booking(d.routers[0], teamName(0), "small")).Complete())
}

// Guards against slow bodies that block other callers or occupy memory without limit.
func TestSlowBodiesTimeOut(t *testing.T) {
	t.Parallel()
	d := deploy(t, debugOptions("-body-timeout", "2s"))
	router := d.routers[0]
	var slow []*rawRequest
	for range 20 {
		slow = append(slow, sendRaw(t, router, rawBooking(teamName(0), "Content-Length: 1000")+"{"))
	}
	for i := range 10 {
		id := fmt.Sprintf("meanwhile-%d", i)
		mustComplete(t, id, 4, d.Call(completion(router, teamName(1), id, 4)))
		must.True(t, d.Call(booking(router, teamName(0), id)).Complete())
	}
	for _, c := range slow {
		status, kind := c.readResponse()
		must.Eq(t, 408, status)
		must.Eq(t, string(outcome.NotRun), kind)
	}
	must.MapLen(t, 10, d.bookings())
	d.Eventually("the memory of the bodies is released", func() bool { return d.Metric(router, "entry.held_bytes") == 0 })
	d.mustNotLogTokens()
}

// Guards against callers that set headers of the internal protocol, and against
// differences between HTTP/1.1 and HTTP/2 callers.
func TestForgedHeadersOverHTTP1AndHTTP2(t *testing.T) {
	t.Parallel()
	d := deploy(t, debugOptions())
	forgedHeaders := http.Header{}
	for _, name := range []string{"Fleet", "Request", "Attempt", "Slot-Token", "Weight", "Hint", "Endpoint", "Method", "Uri", "Cost", "Forward-Authorization", "Outcome"} {
		forgedHeaders.Set("Acaciaspar-"+name, "forged")
	}
	forgedHeaders.Set("X-Fencing-Number", "18446744073709551615")
	forgedHeaders.Set("X-Request-Id", "forged")
	for _, hint := range []string{"-1", "18446744073709551616", "1e9", " "} {
		forgedHeaders.Set("Acaciaspar-Cost-Hint", hint)
		for name, client := range map[string]*http.Client{"1": nil, "2": newHTTP2Client(t)} {
			r := completion(d.routers[0], teamName(0), "version "+name, 20)
			r.Client, r.Header = client, forgedHeaders
			resp := d.Call(r)
			mustComplete(t, "version "+name, 20, resp)
			must.NotEq(t, "forged", resp.Header.Get(outcome.RequestHeader))
			b := booking(d.routers[0], teamName(1), name+hint)
			b.Client, b.Header = client, forgedHeaders
			must.True(t, d.Call(b).Complete())
			must.Eq(t, 1, d.bookings()[name+hint])
			b.Team = "nobody"
			must.Eq(t, 401, d.Call(b).Status)
		}
	}
	d.mustNotLogTokens()
}
