// Package eventstream cuts a byte stream of server-sent events into whole
// events. Splitter owns the bytes of the event that is not yet complete.
package eventstream

import (
	"bytes"
	"strconv"
)

// idField starts the line of an event that holds its identifier.
var idField = []byte("id:")

// maxEventBytes bounds one event; a larger one is passed on in pieces.
const maxEventBytes = 1 << 20

// Splitter collects bytes until an event is complete.
type Splitter struct {
	pending []byte
	// scanned is the length of pending that holds no end of an event.
	scanned int
	lastID  int64
	hasID   bool
}

// Feed adds bytes and returns all whole events collected so far. The result
// is valid until the next call.
func (s *Splitter) Feed(data []byte) []byte {
	s.pending = append(s.pending, data...)
	end := lastEventEnd(s.pending, s.scanned)
	if end == 0 {
		s.scanned = max(0, len(s.pending)-3)
		if len(s.pending) <= maxEventBytes {
			return nil
		}
		end = len(s.pending)
	}
	whole := make([]byte, end)
	copy(whole, s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	s.scanned = 0
	s.noteIDs(whole)
	return whole
}

// lastEventEnd returns the offset after the last blank line at or after from, or 0.
func lastEventEnd(b []byte, from int) int {
	tail := b[from:]
	end := 0
	if i := bytes.LastIndex(tail, []byte("\n\n")); i >= 0 {
		end = from + i + 2
	}
	if i := bytes.LastIndex(tail, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, from+i+4)
	}
	return end
}

func (s *Splitter) noteIDs(events []byte) {
	for len(events) > 0 {
		line := events
		if i := bytes.IndexByte(events, '\n'); i >= 0 {
			line, events = events[:i], events[i+1:]
		} else {
			events = nil
		}
		if !bytes.HasPrefix(line, idField) {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(line[len(idField):])), 10, 64)
		if err == nil {
			s.lastID, s.hasID = id, true
		}
	}
}

// Partial reports whether an incomplete event is pending.
func (s *Splitter) Partial() bool { return len(s.pending) > 0 }

// Remainder returns the bytes of the incomplete event.
func (s *Splitter) Remainder() []byte { return s.pending }

// DropPartial forgets the incomplete event; a resumed stream sends it again.
func (s *Splitter) DropPartial() {
	s.pending = s.pending[:0]
	s.scanned = 0
}

// LastID returns the identifier of the last whole event that had one.
func (s *Splitter) LastID() (int64, bool) { return s.lastID, s.hasID }
