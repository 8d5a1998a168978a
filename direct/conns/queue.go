package conns

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/acaciaspar/acaciaspar/coordination/memorybudget"
)

const (
	// maxQueued is the number of bytes that wait for one caller, above which the endpoint's response is
	// read no faster than the caller reads. It is 100 times the size of a long stream of tokens.
	maxQueued = 4 << 20
	// minPart and maxPart are the sizes of the parts of a queue, in bytes. A part is freed once it is
	// written.
	minPart = 2 << 10
	maxPart = 16 << 10
	// fullSocket is the memory of a full send buffer, in bytes.
	fullSocket = memorybudget.FullBuffer
	// closeTime is how long what waits is written after the HTTP server has closed a connection without a
	// write deadline; it is the time after which a caller counts as one that reads nothing.
	closeTime = memorybudget.MaxUnread
)

// ErrMemory is the error of writes to a connection that was ended since too much was held.
var ErrMemory = eris.New("the connection was ended for memory")

// writeQueue holds what waits for a caller that reads slowly. A write that would block puts the rest of
// its data there, and a goroutine that runs only while the queue isn't empty writes it. So the goroutine
// that reads an endpoint's stream never waits for the caller, unless maxQueued bytes wait.
type writeQueue struct {
	conn   *Conn
	memory *Memory
	raw    syscall.RawConn
	// tryOnce is writeOnce, which writes tried and sets taken and tryErr. Only the server's goroutine, which
	// writes responses, uses them.
	tryOnce func(fd uintptr) bool
	tried   []byte
	taken   int
	tryErr  error

	mu sync.Mutex
	// request and deadline are those of the request in progress.
	request  string
	deadline time.Time
	// changed is signaled when the queue becomes shorter or fails.
	changed sync.Cond
	// parts holds what waits, without the part that is being written. held is the memory of both and of
	// the socket's buffer, which is full while anything waits.
	parts [][]byte
	held  int64
	// writing is set while the queue's goroutine runs, active while writes needn't wait.
	writing, active bool
	// readAt is the time at which a part was written or the queue began to fill.
	readAt time.Time
	// err is the error of further writes.
	err error
	// closing is set once the server has closed the connection.
	closing bool
}

// QueueWrites lets writes return without waiting for the caller, until the connection becomes idle. The
// data of one write stays together and in order. request and deadline describe the request in progress.
func (c *Conn) QueueWrites(m *Memory, request string, deadline time.Time) {
	if m == nil {
		return
	}
	q := c.queue.Load()
	if q == nil {
		raw, err := c.SyscallConn()
		if err != nil {
			return
		}
		q = &writeQueue{conn: c, memory: m, raw: raw}
		q.changed.L, q.tryOnce = &q.mu, q.writeOnce
		c.queue.Store(q)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.request, q.deadline, q.active = request, deadline, true
}

// holder describes the queue. It counts what the queue may be ended for.
func (q *writeQueue) holder() memorybudget.Holder {
	q.mu.Lock()
	defer q.mu.Unlock()
	return memorybudget.Holder{Held: q.held, ReadAt: q.readAt, Deadline: q.deadline}
}

// drop ends the queue with ErrMemory and returns how much it held, and for which request.
func (q *writeQueue) drop() (held int64, request string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.fail(ErrMemory), q.request
}

// fail ends the queue and returns how much it held. The caller holds mu.
func (q *writeQueue) fail(err error) int64 {
	if q.err == nil {
		q.err = err
	}
	held := q.held
	q.parts, q.held = nil, 0
	q.changed.Broadcast()
	return held
}

// deactivate lets writes wait for the caller again.
func (q *writeQueue) deactivate() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.active = false
}

// write writes p, as far as that is possible without waiting, and queues the rest.
func (q *writeQueue) write(p []byte) (int, error) {
	q.mu.Lock()
	err, writing, active := q.err, q.writing, q.active
	q.mu.Unlock()
	written := 0
	switch {
	case err != nil:
		return 0, err
	case !writing && !active:
		return q.conn.Conn.Write(p)
	case !writing:
		if written, err = q.try(p); err != nil || written == len(p) {
			return written, err
		}
	}
	if err := q.push(p[written:]); err != nil {
		return written, err
	}
	return len(p), nil
}

// try writes as much of p as the socket takes at once.
func (q *writeQueue) try(p []byte) (int, error) {
	q.tried, q.taken, q.tryErr = p, 0, nil
	err := q.raw.Write(q.tryOnce)
	q.tried = nil
	n, tryErr := max(q.taken, 0), q.tryErr
	switch {
	case err != nil:
		return n, err
	case tryErr == unix.EAGAIN:
		return 0, nil
	case tryErr != nil:
		return n, os.NewSyscallError("write", tryErr)
	}
	return n, nil
}

// writeOnce writes tried to the socket.
func (q *writeQueue) writeOnce(fd uintptr) bool {
	for {
		q.taken, q.tryErr = unix.Write(int(fd), q.tried)
		if q.tryErr != unix.EINTR {
			return true
		}
	}
}

// push queues p, after the queue has room for more.
func (q *writeQueue) push(p []byte) error {
	q.mu.Lock()
	for q.err == nil && q.held >= maxQueued {
		q.changed.Wait()
	}
	if q.err != nil {
		defer q.mu.Unlock()
		return q.err
	}
	begun := !q.writing
	added := q.add(p)
	if begun {
		q.writing, q.readAt = true, time.Now()
		q.held += fullSocket
		added += fullSocket
	}
	q.mu.Unlock()
	if begun {
		q.memory.register(q)
		go q.run()
	}
	q.memory.Add(added)
	return nil
}

// add copies p into parts and returns the memory that it took. The caller holds mu.
func (q *writeQueue) add(p []byte) (added int64) {
	for len(p) > 0 {
		if last := len(q.parts) - 1; last >= 0 {
			if room := min(cap(q.parts[last])-len(q.parts[last]), len(p)); room > 0 {
				q.parts[last] = append(q.parts[last], p[:room]...)
				p = p[room:]
				continue
			}
		}
		size := min(max(len(p), minPart), maxPart)
		q.parts = append(q.parts, make([]byte, 0, size))
		added += int64(size)
	}
	q.held += added
	return added
}

// run writes what is queued until nothing is left.
func (q *writeQueue) run() {
	for {
		part := q.next()
		if part == nil {
			return
		}
		_, err := q.conn.Conn.Write(part)
		q.wrote(part, err)
	}
}

// next removes the first part. If there is none, it ends the queue's goroutine, and the connection if
// the server has closed it.
func (q *writeQueue) next() []byte {
	q.mu.Lock()
	if len(q.parts) > 0 {
		defer q.mu.Unlock()
		part := q.parts[0]
		q.parts[0] = nil
		q.parts = q.parts[1:]
		return part
	}
	q.mu.Unlock()
	// Another push may follow until writing is reset, and must not register the queue before this.
	q.memory.unregister(q)
	q.mu.Lock()
	if len(q.parts) > 0 {
		q.mu.Unlock()
		q.memory.register(q)
		return q.next()
	}
	q.writing, q.parts = false, nil
	closing, freed := q.closing, int64(0)
	if q.err == nil {
		freed = fullSocket
		q.held -= freed
	}
	q.changed.Broadcast()
	q.mu.Unlock()
	q.memory.Add(-freed)
	q.conn.restoreWriteDeadline()
	if closing {
		_ = q.conn.end()
	}
	return nil
}

// wrote records that a part was written or couldn't be.
func (q *writeQueue) wrote(part []byte, err error) {
	freed := int64(cap(part))
	q.mu.Lock()
	switch {
	case q.err != nil:
		// fail has counted it.
		freed = 0
	case err != nil:
		q.conn.recordWriteError(err)
		freed = q.fail(err)
	default:
		q.held -= freed
		q.readAt = time.Now()
		q.changed.Broadcast()
	}
	q.mu.Unlock()
	q.memory.Add(-freed)
	if err != nil {
		// The handler may wait for the endpoint meanwhile.
		q.conn.reset()
	}
}

// finish is called when the server closes the connection. It reports whether the queue closes it once all
// is written.
func (q *writeQueue) finish(abandoned bool) bool {
	q.mu.Lock()
	if !q.writing || q.err != nil {
		q.mu.Unlock()
		return false
	}
	if !abandoned {
		q.closing = true
		q.mu.Unlock()
		return true
	}
	freed := q.fail(net.ErrClosed)
	q.mu.Unlock()
	q.memory.Add(-freed)
	return false
}

// await waits until all is written.
func (q *writeQueue) await() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.writing && q.err == nil {
		q.changed.Wait()
	}
	return q.err
}

func (q *writeQueue) isWriting() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.writing
}

// EndedForMemory reports whether the connection was ended since too much was held.
func (c *Conn) EndedForMemory() bool {
	q := c.queue.Load()
	if q == nil {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return errors.Is(q.err, ErrMemory)
}

// reset closes the socket so that the kernel frees what it holds, and so that the caller of a response
// without a length doesn't take a part for the whole one. The HTTP server notices it and closes the
// connection.
func (c *Conn) reset() {
	if l, ok := c.Conn.Conn.(interface{ SetLinger(int) error }); ok {
		// A connection that is closed already has nothing to free.
		_ = l.SetLinger(0)
	}
	_ = c.Conn.Conn.Close()
}

// SetWriteDeadline implements net.Conn. The HTTP server removes the deadline after the end of a request,
// when a part of the response may still wait.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	q := c.queue.Load()
	if q != nil && t.IsZero() && q.isWriting() {
		c.deadlineRemoved.Store(true)
		return nil
	}
	c.deadlineRemoved.Store(false)
	c.hasDeadline.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// restoreWriteDeadline removes the deadline if that was to happen while data waited.
func (c *Conn) restoreWriteDeadline() {
	if c.deadlineRemoved.CompareAndSwap(true, false) {
		c.hasDeadline.Store(false)
		// A connection that is closed needs none.
		_ = c.Conn.SetWriteDeadline(time.Time{})
	}
}

// CloseWrite ends the side of the connection that is written to, after what waits is written.
func (c *Conn) CloseWrite() error {
	if q := c.queue.Load(); q != nil {
		if err := q.await(); err != nil {
			return err
		}
	}
	return c.Conn.CloseWrite()
}
