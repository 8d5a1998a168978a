package sockpeek

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a connection taken for open after its peer closed it, and
// against bytes that the look consumes.
func TestLook(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp4", l.Addr().String())
	must.NoError(t, err)
	server, err := l.Accept()
	must.NoError(t, err)
	defer server.Close()
	must.Eq(t, Quiet, Look(server))
	_, err = client.Write([]byte("x"))
	must.NoError(t, err)
	must.True(t, eventually(func() bool { return Look(server) == Data }))
	one := make([]byte, 1)
	_, err = server.Read(one)
	must.NoError(t, err)
	must.Eq(t, "x", string(one))
	must.NoError(t, client.Close())
	must.True(t, eventually(func() bool { return Look(server) == Closed }))
}

func eventually(condition func() bool) bool {
	for range 1000 {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
