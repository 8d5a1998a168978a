// Package sockpeek looks at what a peer did to a connection without reading
// from it. It owns no state.
package sockpeek

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what waits to be read on a connection.
type State int

const (
	// Quiet: the connection is open and nothing waits.
	Quiet State = iota
	// Data: bytes wait.
	Data
	// Closed: the peer closed or reset the connection, or it can't be looked at.
	Closed
)

// Look returns the state of a connection. It never blocks.
func Look(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Quiet
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
			state = Quiet
		case errno == nil && n > 0:
			state = Data
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
