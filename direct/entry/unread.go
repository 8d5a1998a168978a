package entry

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
)

const (
	// earlyAnswerDelay is how long an answer waits for the rest of a body that isn't needed. A body
	// that has left its caller arrives within it, and its connection can be kept.
	earlyAnswerDelay = 250 * time.Millisecond
	// discardBuffer is the size of reads of a body that isn't needed, in bytes.
	discardBuffer = 16 << 10
)

// writeBesideBody answers a request whose body wasn't read to its end. Many callers read nothing
// before they have written their whole request, and closing the connection earlier would reset it. So
// the rest of the body is read and discarded, within the limits that hold for a body that is needed. The
// answer doesn't wait for a slow one, but then says that it closes the connection.
func (r *request) writeBesideBody(o outcome.Outcome) {
	control := http.NewResponseController(&r.w)
	if control.EnableFullDuplex() != nil {
		// Without it, the HTTP server must not be written to while the body is read.
		r.write(o)
		return
	}
	var once sync.Once
	answer := func(closing bool) {
		once.Do(func() {
			if closing {
				r.w.Header().Set("Connection", "close")
			}
			r.write(o)
			if closing {
				_ = control.Flush()
			}
			r.leave()
		})
	}
	// The deadline stays in place: the HTTP server, too, reads from a body that isn't complete.
	_ = control.SetReadDeadline(r.receivedAt.Add(bodyTimeout))
	if r.mustAnswerFirst() {
		answer(true)
	}
	early := time.AfterFunc(earlyAnswerDelay, func() {
		defer r.h.recoverPanic(r.id)
		answer(true)
	})
	// After a panic, nothing may be written by the timer's goroutine any more.
	defer once.Do(func() {})
	defer early.Stop()
	whole := r.discardBody()
	answer(!whole)
}

// mustAnswerFirst reports whether the answer can't wait: the caller waits for it before it sends the
// body, or its time is over.
func (r *request) mustAnswerFirst() bool {
	return r.in.Header.Get("Expect") != "" || !r.deadline.IsZero() && !time.Now().Before(r.deadline)
}

// discardBody reads the rest of the body and reports whether it is complete.
func (r *request) discardBody() bool {
	limit := int64(defaultMaxBodyBytes)
	if r.table != nil {
		limit = max(limit, r.table.Limits.BodyBytes)
	}
	if r.in.ContentLength > limit {
		return false
	}
	buffer := bodyBuffers.get(discardBuffer)
	defer bodyBuffers.put(buffer)
	for limit >= 0 {
		n, err := r.in.Body.Read(buffer)
		if err != nil {
			return err == io.EOF
		}
		limit -= int64(n)
	}
	return false
}
