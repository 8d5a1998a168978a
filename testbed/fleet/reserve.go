package fleet

import (
	"fmt"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// reservation is a socket that is bound to a port and doesn't listen. While it
// is open, the kernel gives the port to no other socket, a process may listen
// on it, and connections without a listener are refused.
type reservation struct {
	address string
	fd      int
	once    sync.Once
}

func reserve() (*reservation, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, eris.Wrap(err, "socket")
	}
	r := &reservation{fd: fd}
	if err := r.bind(); err != nil {
		r.release()
		return nil, err
	}
	return r, nil
}

func (r *reservation) bind() error {
	// Lets the process that the port is for bind it as well; Go's listeners set the same option.
	if err := syscall.SetsockoptInt(r.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return eris.Wrap(err, "set SO_REUSEADDR")
	}
	if err := syscall.Bind(r.fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return eris.Wrap(err, "bind")
	}
	name, err := syscall.Getsockname(r.fd)
	if err != nil {
		return eris.Wrap(err, "getsockname")
	}
	bound, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		return eris.Errorf("unexpected address %T", name)
	}
	r.address = fmt.Sprintf("127.0.0.1:%d", bound.Port)
	return nil
}

func (r *reservation) release() {
	r.once.Do(func() { _ = syscall.Close(r.fd) })
}
