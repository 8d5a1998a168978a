package fleet

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/testbed/standin/logservice"
)

// Guards against a process that keeps running after Stop or reports the wrong
// exit code, and against a restart that keeps the state of the earlier process.
func TestProcessLifecycle(t *testing.T) {
	f := New(t, "lifecycle")
	f.Put(f.Log, "/standin/faults", logservice.Faults{Refuse: true})
	f.Log.Signal(syscall.SIGSTOP)
	f.Log.Signal(syscall.SIGCONT)
	f.Log.Stop()
	f.Log.Start()
	var offsets struct {
		End int64 `json:"end_offset"`
	}
	f.Get(f.Log, "/topics/t/partitions/0/offsets", &offsets)
	must.Eq(t, 0, offsets.End)
	f.Hosts.Signal(syscall.SIGKILL)
	must.Eq(t, -1, f.Hosts.Wait())
	must.True(t, f.Log.Logged("ready", "standin-log"))
}

// recorder is a Runner that records failures and cleanup functions.
type recorder struct {
	*testing.T
	errors  []string
	cleanup []func()
}

func (r *recorder) Errorf(format string, args ...any) {
	r.errors = append(r.errors, fmt.Sprintf(format, args...))
}

func (r *recorder) Cleanup(f func()) { r.cleanup = append(r.cleanup, f) }

// Guards against crashes that go unreported and against processes that outlive
// the test.
func TestCleanupReportsUnexpectedExit(t *testing.T) {
	r := &recorder{T: t}
	f := New(r, "cleanup")
	must.NoError(t, f.Hosts.current().cmd.Process.Kill())
	f.Hosts.Wait()
	for _, cleanup := range r.cleanup {
		cleanup()
	}
	must.Eq(t, []string{"hosts exited unexpectedly"}, r.errors)
	must.True(t, f.Log.current().hasExited())
}

// Guards against a reserved port that the kernel assigns to another socket, that
// accepts connections without a listener, or that its process can't listen on
// again after a restart.
func TestReservedPort(t *testing.T) {
	r, err := reservePort()
	must.NoError(t, err)
	t.Cleanup(r.release)
	for range 2 {
		_, err = net.Dial("tcp", r.address)
		must.ErrorIs(t, err, syscall.ECONNREFUSED)
		listener, err := net.Listen("tcp", r.address)
		must.NoError(t, err)
		conn, err := net.Dial("tcp", r.address)
		must.NoError(t, err)
		must.NoError(t, conn.Close())
		must.NoError(t, listener.Close())
	}
}

// Guards against attributing a connection to the wrong process, which would make a
// partition affect the wrong traffic.
func TestSocketInode(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, listener.Close()) })
	conn, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, conn.Close()) })
	inode := socketInode(conn.LocalAddr(), conn.RemoteAddr())
	must.NotEq(t, "", inode)
	entries, err := os.ReadDir("/proc/self/fd")
	must.NoError(t, err)
	found := false
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join("/proc/self/fd", entry.Name()))
		found = found || (err == nil && target == "socket:["+inode+"]")
	}
	must.True(t, found)
	must.Eq(t, "", socketInode(conn.LocalAddr(), conn.LocalAddr()))
}
