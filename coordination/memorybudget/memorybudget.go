// Package memorybudget decides which stream a router ends when the data that it holds for others exceeds
// its budget. It owns no state, does no I/O and takes the time from its caller.
package memorybudget

import "time"

// MaxUnread is how long a caller may read nothing until its stream is among the first to be ended.
// Streams wait for no caller longer than that where memory is short; sound callers pause for less than 1 s.
const MaxUnread = 10 * time.Second

// Holder is a stream whose caller hasn't read all that was sent to it.
type Holder struct {
	// Held is the number of bytes that wait.
	Held int64
	// ReadAt is the latest time at which the caller read some of it, or at which it began to wait.
	ReadAt time.Time
	// Deadline is the caller's deadline; zero if there is none.
	Deadline time.Time
}

// Reason says why a stream is the one to be ended.
type Reason string

const (
	// None: no stream holds anything.
	None Reason = ""
	// Unread: its caller has read nothing for MaxUnread.
	Unread Reason = "the caller reads nothing"
	// Expired: its caller's deadline has passed.
	Expired Reason = "the caller's deadline has passed"
	// Largest: it holds most.
	Largest Reason = "it holds most"
)

// reason returns why the stream is among the first to be ended, or Largest if it isn't.
func (h *Holder) reason(now time.Time) Reason {
	switch {
	case !h.Deadline.IsZero() && now.After(h.Deadline):
		return Expired
	case now.Sub(h.ReadAt) >= MaxUnread:
		return Unread
	}
	return Largest
}

// Choose returns the index of the stream to end, and why. Of those whose callers read nothing or are past
// their deadline, and of all others if there are none, it is the one that holds most. It returns None if
// no stream holds anything.
func Choose(now time.Time, holders []Holder) (int, Reason) {
	chosen, reason := -1, None
	for i := range holders {
		h := &holders[i]
		if h.Held <= 0 {
			continue
		}
		own := h.reason(now)
		first, better := own != Largest, reason != None && reason != Largest
		if chosen < 0 || first && !better || first == better && h.Held > holders[chosen].Held {
			chosen, reason = i, own
		}
	}
	return chosen, reason
}

// SocketBuffer is the size of the buffers of callers' connections, in bytes. Loopback connections with
// buffers of 24 KB or less took 120 ms for 300 KB, since the receiver delays acknowledgements; 40 KB and
// more took as long as the kernel's default.
const SocketBuffer = 40 << 10

// FullBuffer is the memory that the kernel may use for a buffer, in bytes: twice its size.
const FullBuffer = 2 * SocketBuffer

// UnreadConnections returns the number of connections on which what has arrived may wait to be read, if their receive
// buffers may use this much memory in bytes.
func UnreadConnections(memory int64) int { return int(memory / FullBuffer) }
