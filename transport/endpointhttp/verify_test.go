package endpointhttp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a request that is sent on a connection to another incarnation of its endpoint, and
// against verifications of connections that are certain or were verified before.
func TestUncertainConnectionIsVerifiedBeforeARequest(t *testing.T) {
	errRefused := errors.New("another incarnation")
	answer := func(text string) connHandler {
		return func(c net.Conn, r *bufio.Reader) {
			for {
				response := text
				if id := readRequest(r); id != "" {
					response = okResponse(id, "ok")
				}
				if _, err := io.WriteString(c, response); err != nil {
					return
				}
			}
		}
	}
	report := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nv1"
	for name, test := range map[string]struct {
		report  string
		check   error
		refused bool
	}{
		"the same incarnation": {report, nil, false},
		"another incarnation":  {report, errRefused, true},
		"can't be verified":    {report, ErrCannotVerify, false},
		"ends the connection":  {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nv1", nil, true},
		"more than a response": {report + "x", nil, true},
		"no response":          {"nonsense", nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			var uncertain atomic.Bool
			p := NewPool(time.Second)
			p.Uncertain = uncertain.Load
			target := startEndpoint(t, answer(test.report), answer(test.report))
			checks := 0
			send := func(id string) error {
				request := newRequest(id)
				request.MaxIdleTime = time.Second
				verification := newRequest("")
				request.Verify = &Verification{Request: verification, Check: func(status int, body []byte) error {
					checks++
					must.Eq(t, 200, status)
					must.Eq(t, "v1", string(body))
					return test.check
				}}
				response, err := p.Do(t.Context(), target, request)
				if err != nil {
					must.True(t, NotSent(err))
					return err
				}
				_, err = io.ReadAll(response.Body)
				must.NoError(t, err)
				response.Close()
				return nil
			}
			uncertain.Store(true)
			err := send("a")
			must.Eq(t, test.refused, err != nil)
			must.True(t, !test.refused || test.check == nil || errors.Is(err, test.check))
			if !test.refused {
				must.NoError(t, send("b"))
				must.Eq(t, 1, checks, must.Sprint("the connection was kept"))
				return
			}
			idle, _ := p.Stats()
			must.Eq(t, 0, idle)
			before := checks
			uncertain.Store(false)
			must.NoError(t, send("c"))
			must.Eq(t, before, checks)
		})
	}
}
