package conns

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/acaciaspar/acaciaspar/protocol/outcome"
	"github.com/acaciaspar/acaciaspar/transport/callerconn"
)

const (
	// MinRetryAfter and RetryAfterSpread define the delay after which a caller of an overloaded
	// router should retry. The retry reaches another router; the spread keeps many callers from
	// retrying there at the same time.
	MinRetryAfter    = 100 * time.Millisecond
	RetryAfterSpread = 300 * time.Millisecond
	// numRefusals is the number of prepared refusals, which differ in their delay.
	numRefusals = 16
	// refusalBuffer is the size of reads of a request that is refused unread, in bytes.
	refusalBuffer = 16 << 10
	// maxRefusedRead bounds the part of a request that is read before it is refused, in bytes.
	maxRefusedRead = 256 << 10
)

// refuser refuses requests without parsing them.
type refuser struct {
	responses [numRefusals]response
	buffers   sync.Pool
}

// response is a prepared response. head is its part before the body.
type response struct{ head, whole []byte }

func newRefuser() *refuser {
	r := &refuser{buffers: sync.Pool{New: func() any { return new([refusalBuffer]byte) }}}
	for i := range r.responses {
		r.responses[i] = refusal(MinRetryAfter + RetryAfterSpread*time.Duration(i)/numRefusals)
	}
	return r
}

// refusal returns the response that refuses a request of any identifier.
func refusal(retryAfter time.Duration) response {
	const reason = "the router is overloaded or stopping"
	body := fmt.Sprintf(`{"outcome":%q,"reason":%q}`+"\n", outcome.NotRun, reason)
	header := http.Header{
		"Connection":     {"close"},
		"Content-Length": {strconv.Itoa(len(body))},
		"Content-Type":   {"application/json"},
		"Retry-After":    {strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64)},
		outcome.Header:   {string(outcome.NotRun)},
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable))
	// Writing to a buffer doesn't fail.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	head := bytes.Clone(b.Bytes())
	return response{head: head, whole: append(b.Bytes(), body...)}
}

// refusalResult says what became of a request that was to be refused unread.
type refusalResult int

const (
	// refusedWhole: the request had arrived as a whole, and its connection can be closed.
	refusedWhole refusalResult = iota
	// refusedEarly: a part of the request may still arrive.
	refusedEarly
	// nothingSent: nothing of a request has arrived.
	nothingSent
	// callerEnded: the caller has closed or reset the connection.
	callerEnded
)

// refuse reads what has arrived of a request and refuses it. It doesn't block.
func (r *refuser) refuse(c net.Conn) refusalResult {
	raw, err := callerconn.RawConn(c)
	if err != nil {
		return callerEnded
	}
	buffer, _ := r.buffers.Get().(*[refusalBuffer]byte)
	defer r.buffers.Put(buffer)
	result := callerEnded
	if err := raw.Control(func(fd uintptr) { result = r.refuseSocket(int(fd), buffer[:]) }); err != nil {
		return callerEnded
	}
	return result
}

func (r *refuser) refuseSocket(fd int, buffer []byte) refusalResult {
	var request requestScanner
	for read := 0; read < maxRefusedRead; {
		n, _, err := unix.Recvfrom(fd, buffer, unix.MSG_DONTWAIT)
		if err == unix.EINTR {
			continue
		}
		if err == unix.EAGAIN {
			break
		}
		if err != nil || n == 0 {
			return callerEnded
		}
		request.scan(buffer[:n])
		if read += n; n < len(buffer) || request.whole() {
			break
		}
	}
	if !request.begun {
		return nothingSent
	}
	response := r.responses[rand.IntN(numRefusals)].whole
	if request.head {
		response = r.responses[rand.IntN(numRefusals)].head
	}
	// The socket's buffer is empty, and takes the whole response.
	if n, err := unix.Write(fd, response); err != nil || n != len(response) {
		return callerEnded
	}
	if !request.whole() {
		return refusedEarly
	}
	return refusedWhole
}

// requestScanner finds the end of a request whose body has a length.
type requestScanner struct {
	begun bool
	// head is set if the method is HEAD, whose response has no body.
	head bool
	// unknown is set if the end can't be found.
	unknown bool
	// rest is the number of bytes that are still missing.
	rest int64
}

var (
	headMethod    = []byte(http.MethodHead + " ")
	headEnd       = []byte("\r\n\r\n")
	contentLength = []byte("\r\ncontent-length:")
	transferField = []byte("\r\ntransfer-encoding:")
)

// scan scans the next bytes of the request. The whole head must be in the first ones.
func (s *requestScanner) scan(data []byte) {
	if s.begun {
		s.rest -= int64(len(data))
		return
	}
	s.begun, s.head = true, bytes.HasPrefix(data, headMethod)
	end := bytes.Index(data, headEnd)
	if end < 0 {
		s.unknown = true
		return
	}
	head := bytes.ToLower(data[:end+len("\r\n")])
	if bytes.Contains(head, transferField) {
		s.unknown = true
		return
	}
	s.rest = -int64(len(data) - end - len(headEnd))
	if i := bytes.Index(head, contentLength); i >= 0 {
		value, _, _ := bytes.Cut(head[i+len(contentLength):], []byte("\r\n"))
		length, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		s.unknown = err != nil || length < 0
		s.rest += length
	}
}

func (s *requestScanner) whole() bool { return s.begun && !s.unknown && s.rest <= 0 }
