package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/acaciaspar/acaciaspar/state/registry"
)

// fullListener returns the address of a listener whose queue of connections is full, so
// that connecting to it takes until the dial timeout.
func fullListener(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	must.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	must.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	must.NoError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 16 {
		c, err := net.DialTimeout("tcp4", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the listener's queue does not fill")
	return ""
}

// Guards against a team that pays, with its share, for requests that no endpoint got: on a
// host without CPU time, callers leave while the router still connects to the endpoint.
func TestUnsentRequestDoesNotUseTeamsShare(t *testing.T) {
	r := newRouter(t)
	r.endpoints.Put(registry.Endpoint{ID: "e1", Service: "engines", Address: fullListener(t), Zone: "z", Slots: 8})
	ctx, cancel := context.WithCancel(t.Context())
	in := r.request(http.MethodPost, "/resumable/1", "body").WithContext(ctx)
	in.Header.Set(headers.TokenCounts, "1000,10")
	response := make(chan result, 1)
	go func() { response <- r.do(in) }()
	started := func() int64 { return r.handler.Dispatcher.Report(time.Now()).Teams["t1"].Started }
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return started() > 0 }), wait.Timeout(10*time.Second)))
	cancel()
	must.Error(t, (<-response).err)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return r.handler.InFlight() == 0 }), wait.Timeout(10*time.Second)))
	must.Eq(t, 0, started())
}
