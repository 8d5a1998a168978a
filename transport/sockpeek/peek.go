// Package sockpeek reports whether a connection is idle, readable or closed by
// its remote end, without consuming data. It owns no state.
package sockpeek

import (
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
	// Closed means that the remote end closed or reset the connection, or that
	// its state can't be determined.
	Closed
)

// Peek returns the state of a connection. It never blocks. It returns Idle for a
// connection without a file descriptor.
func Peek(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Idle
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, errno := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errno == unix.EAGAIN:
			state = Idle
		case errno == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
