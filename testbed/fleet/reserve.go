package fleet

import (
	"fmt"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// portReservation is a socket that is bound to a port but doesn't listen. While
// it is open, the kernel doesn't assign the port to any other socket, a process
// can listen on the port explicitly, and connections are refused as long as
// none does.
type portReservation struct {
	address string
	fd      int
	once    sync.Once
}

func reservePort() (*portReservation, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, eris.Wrap(err, "socket")
	}
	r := &portReservation{fd: fd}
	if err := r.bind(); err != nil {
		r.release()
		return nil, err
	}
	return r, nil
}

func (r *portReservation) bind() error {
	// Lets the process that uses the port bind it too; Go listeners set the same option.
	if err := syscall.SetsockoptInt(r.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return eris.Wrap(err, "set SO_REUSEADDR")
	}
	if err := syscall.Bind(r.fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return eris.Wrap(err, "bind")
	}
	sockaddr, err := syscall.Getsockname(r.fd)
	if err != nil {
		return eris.Wrap(err, "getsockname")
	}
	bound, ok := sockaddr.(*syscall.SockaddrInet4)
	if !ok {
		return eris.Errorf("unexpected address %T", sockaddr)
	}
	r.address = fmt.Sprintf("127.0.0.1:%d", bound.Port)
	return nil
}

func (r *portReservation) release() {
	r.once.Do(func() { _ = syscall.Close(r.fd) })
}
