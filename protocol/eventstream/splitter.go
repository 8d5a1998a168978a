// Package eventstream splits a byte stream of server-sent events into complete
// events. Splitter owns the bytes of the event that is still incomplete.
package eventstream

import (
	"bytes"
	"strconv"
)

// idField is the prefix of the line that holds the identifier of an event.
var idField = []byte("id:")

// maxEventBytes is the maximum number of buffered bytes. Events of model engines have
// a few hundred.
const maxEventBytes = 256 << 10

// Splitter buffers bytes until an event is complete.
type Splitter struct {
	pending []byte
	// scanned is the length of the prefix of pending in which no event ends.
	scanned int
	lastID  int64
	hasID   bool
}

// Feed adds data to the buffer, and removes and returns all complete events. It
// returns nil if there are none. The result is valid until the next call.
func (s *Splitter) Feed(data []byte) []byte {
	s.pending = append(s.pending, data...)
	end := lastEventEnd(s.pending, s.scanned)
	if end == 0 {
		s.scanned = max(0, len(s.pending)-3)
		return nil
	}
	complete := make([]byte, end)
	copy(complete, s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	s.scanned = 0
	s.recordIDs(complete)
	return complete
}

// lastEventEnd returns the offset after the last blank line at or after from, or 0
// if there is none.
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

// recordIDs sets lastID to the identifier of the last event that has one.
func (s *Splitter) recordIDs(events []byte) {
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

// Overflowed reports whether the incomplete event is longer than maxEventBytes. The
// stream can't be continued then, since a part of an event must not be forwarded.
func (s *Splitter) Overflowed() bool { return len(s.pending) > maxEventBytes }

// HasPartial reports whether an incomplete event is buffered.
func (s *Splitter) HasPartial() bool { return len(s.pending) > 0 }

// Remainder returns the bytes of the incomplete event.
func (s *Splitter) Remainder() []byte { return s.pending }

// DropPartial discards the incomplete event; a resumed stream sends it again.
func (s *Splitter) DropPartial() {
	s.pending = s.pending[:0]
	s.scanned = 0
}

// LastID returns the identifier of the last complete event that had one, and
// whether there was one.
func (s *Splitter) LastID() (int64, bool) { return s.lastID, s.hasID }
