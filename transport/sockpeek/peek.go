// Package sockpeek reports whether a connection is idle, readable or closed by
// its remote end, and whether that has received everything, without consuming
// data. It owns no state.
package sockpeek

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the read state of a connection.
type State int

const (
	// Idle means that the connection is open and no bytes are waiting.
	Idle State = iota
	// Readable means that bytes are waiting to be read.
	Readable
	// Closed means that the remote end closed or reset the connection, or only its sending half, or
	// that this process closed it.
	Closed
	// Unknown means that the state can't be determined at present.
	Unknown
)

// Peek returns the state of a connection. It never blocks. It returns Idle for a
// connection without a file descriptor.
func Peek(c net.Conn) State {
	state := Closed
	supported, err := control(c, func(fd int) {
		state = peek(func(b []byte) (int, error) {
			n, _, err := unix.Recvfrom(fd, b, unix.MSG_PEEK|unix.MSG_DONTWAIT)
			return n, err
		})
	})
	switch {
	case !supported:
		return Idle
	case err != nil:
		return Closed
	}
	return state
}

// control calls f with the file descriptor of a connection. supported is false if it has none, and err is
// set if the connection is closed.
func control(c net.Conn, f func(fd int)) (supported bool, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := sc.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		return false, nil
	}
	if err != nil {
		return true, err
	}
	return true, raw.Control(func(fd uintptr) { f(int(fd)) })
}

// Acknowledged reports whether the remote end has acknowledged all that was written to a connection. It
// returns an error, and clears that of the socket, if the connection broke. It returns true for a
// connection without a file descriptor.
func Acknowledged(c net.Conn) (bool, error) {
	pending, socketErr := 0, 0
	var optErr error
	supported, err := control(c, func(fd int) {
		if socketErr, optErr = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR); optErr == nil {
			pending, optErr = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		}
	})
	switch {
	case !supported:
		return true, nil
	case err != nil:
		return false, err
	case optErr != nil:
		return false, optErr
	case socketErr != 0:
		return false, syscall.Errno(socketErr)
	}
	return pending == 0, nil
}

// peek derives the state from the result of receive.
func peek(receive func([]byte) (int, error)) State {
	var b [1]byte
	for {
		n, err := receive(b[:])
		switch {
		case errors.Is(err, unix.EINTR):
			// A signal says nothing about the connection.
		case errors.Is(err, unix.EAGAIN):
			return Idle
		case errors.Is(err, unix.ENOMEM), errors.Is(err, unix.ENOBUFS):
			return Unknown
		case err == nil && n > 0:
			return Readable
		default:
			return Closed
		}
	}
}
