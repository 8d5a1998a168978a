package entry_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/acaciaspar/acaciaspar/direct/directtest"
)

// answerEnd says what an endpoint does after the bytes of its answer.
type answerEnd uint8

const (
	closesConnection answerEnd = iota
	staysOpen
	// repeatsForever repeats the last bytes until the router closes the connection.
	repeatsForever
	answerEnds
)

const (
	// idPlaceholder stands for the identifier of the request in an answer.
	idPlaceholder = "{id}"
	// repeatedBytes is the number of bytes at the end of an answer that repeatsForever repeats.
	repeatedBytes = 16
	// answerDeadline is the callers' deadline in milliseconds.
	answerDeadline = "250"
	// maxRepeated bounds what the expected answer has of the repeated bytes.
	maxRepeated = 1 << 20
	// maxKeptBody bounds what a test caller keeps of a response, and maxAnswer the fuzzed
	// answers, in bytes.
	maxKeptBody = 1 << 20
	maxAnswer   = 64 << 10
	// heapSampleInterval is the interval between measurements of the memory during an answer.
	heapSampleInterval = 50 * time.Millisecond
)

var (
	errStillOpen = errors.New("the endpoint keeps the connection open")
	answerPaths  = []string{"/order/1", "/lookup/1", "/stream/1", "/resumable/1"}
)

func (e answerEnd) script(answer []byte) directtest.Script {
	return func(c net.Conn, call *directtest.Call) bool {
		text := bytes.ReplaceAll(answer, []byte(idPlaceholder), []byte(call.ID()))
		_, err := c.Write(text)
		switch e {
		case staysOpen:
			_, _ = c.Read(make([]byte, 1))
		case repeatsForever:
			tail := text[max(0, len(text)-repeatedBytes):]
			if len(tail) == 0 {
				return false
			}
			for block := bytes.Repeat(tail, (32<<10)/len(tail)); err == nil; {
				_, err = c.Write(block)
			}
		}
		return false
	}
}

// errorReader fails instead of ending.
type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// wholeAnswer returns the body of a complete answer with its status, and false if the answer is
// none or isn't complete.
func (e answerEnd) wholeAnswer(t *testing.T, answer []byte, path string) (status int, body string, complete bool) {
	sent := bytes.ReplaceAll(answer, []byte(idPlaceholder), []byte("id-1"))
	text := io.Reader(bytes.NewReader(sent))
	if e == repeatsForever && len(sent) > 0 {
		tail := sent[max(0, len(sent)-repeatedBytes):]
		text = io.MultiReader(text, bytes.NewReader(bytes.Repeat(tail, maxRepeated/len(tail))))
	}
	if e != closesConnection {
		text = io.MultiReader(text, errorReader{errStillOpen})
	}
	reader := bufio.NewReader(text)
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			return 0, "", false
		}
		if response.StatusCode/100 == 1 && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		raw, err := io.ReadAll(response.Body)
		if response.ContentLength > maxRepeated && e == repeatsForever {
			t.Skip("the complete answer is longer than this test covers")
		}
		if err != nil || response.StatusCode < 200 || response.StatusCode > 599 {
			return 0, "", false
		}
		isStream := strings.HasPrefix(path, "/stream") || strings.HasPrefix(path, "/resumable")
		if isStream && response.StatusCode < 300 && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
			framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
			whole := bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\r\n\r\n")) || len(raw) == 0 && framed
			return response.StatusCode, string(raw), whole
		}
		return response.StatusCode, string(raw), true
	}
}

// callerResult is what the caller of a fuzzed answer got.
type callerResult struct {
	status   int
	signed   bool
	body     string
	complete bool
}

// call sends a request and reads its response, of which it keeps maxKeptBody bytes.
func (r *router) call(t *testing.T, path string) callerResult {
	in := r.request(http.MethodPost, path, "body")
	in.Header.Set(headers.DeadlineRemaining, answerDeadline)
	response, err := r.server.Client().Do(in)
	if err != nil {
		return callerResult{}
	}
	defer response.Body.Close()
	must.Between(t, 200, response.StatusCode, 599)
	got := callerResult{status: response.StatusCode, signed: response.Header.Get(headers.Signature) != ""}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxKeptBody))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	got.body, got.complete = string(body), err == nil
	return got
}

// peakHeap measures the memory in use until stop is called, which returns the largest size.
func peakHeap() (stop func() uint64) {
	done, ended := make(chan struct{}), make(chan struct{})
	var peak uint64
	go func() {
		defer close(ended)
		for {
			peak = max(peak, heapBytes())
			select {
			case <-done:
				return
			case <-time.After(heapSampleInterval):
			}
		}
	}()
	return func() uint64 {
		close(done)
		<-ended
		return peak
	}
}

func (r *router) mustBeIdle(t *testing.T, what string) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		if r.handler.InFlight() != 0 {
			return false
		}
		for _, load := range r.handler.Dispatcher.Report(time.Now()).Loads {
			if load.Running != 0 || load.Pending != 0 {
				return false
			}
		}
		return true
	}), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)), must.Sprint("counts are left behind", what))
	for _, e := range r.endpoints.All() {
		r.endpoints.Remove(e.ID, time.Now())
	}
	got := r.do(r.request(http.MethodPost, "/order/idle", "body"))
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.StrNotContains(t, got.body, "too many bodies", must.Sprint("the body is still held", what))
}

// FuzzEndpointAnswers guards against bytes from an endpoint that end the process, that leave a
// request counted or its body held, that fill the memory, or that a caller takes for a complete
// answer although they are none.
func FuzzEndpointAnswers(f *testing.F) {
	const (
		head   = "Request-Id: {id}\r\nSignature: sig\r\n"
		events = head + "Content-Type: text/event-stream\r\n"
	)
	seeds := []string{
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 9\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\n" + head + "\r\nno length",
		"HTTP/1.1 000 Zero\r\n" + head + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 099 Low\r\n" + head + "Content-Length: 1\r\n\r\nx",
		"HTTP/1.1 600 High\r\n" + head + "Content-Length: 1\r\n\r\nx",
		"HTTP/1.1 999 High\r\n" + head + "Content-Length: 1\r\n\r\nx",
		"HTTP/1.1 -20 Negative\r\n" + head + "\r\n",
		"HTTP/1.1 2000 Long\r\n" + head + "\r\n",
		"HTTP/2.0 200 OK\r\n" + head + "Content-Length: 1\r\n\r\nx",
		"HTTP/1.0 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n" + head + "Content-Length: 3\r\n\r\nabc",
		"HTTP/1.1 304 Not Modified\r\n" + head + "Content-Length: 3\r\n\r\n",
		"HTTP/1.1 206 Partial Content\r\n" + head + "Content-Range: bytes 0-1/9\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.1 302 Found\r\n" + head + "Location: /\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 500 Failure\r\n" + head + "Content-Length: 4\r\n\r\nfail",
		"HTTP/1.1 503 Busy\r\n" + head + headers.NotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\n" + head + "Retry-After: 1e999\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: -1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 99999999999999999999\r\n\r\nx",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 9223372036854775807\r\n\r\nx",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nx\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\nx",
		"HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n-1\r\nx\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
		"HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n1\r\nx\r\n0\r\nA: b\r\nSignature: other\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n" + head + "Content-Length: 1\r\n\r\ny",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 1\r\nA: \x00\r\n\r\nx",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 1\r\nA\x00B: c\r\n\r\nx",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 1\r\nA B: c\r\n\r\nx",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 1\r\nTrailer:A: b\r\n: c\r\n\r\nx",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 1\r\nA: b\r\n c\r\n\r\nx",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 1\r\nDate: never\r\nExpect: 100-continue\r\nUpgrade: x\r\nConnection: close, upgrade\r\n\r\nx",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Length: 1\r\nA: " + strings.Repeat("a", 20<<10) + "\r\n\r\nx",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSignature: sig\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nSignature: sig\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + head + "Content-Length: 1\r\n\r\nx",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nx",
		"HTTP/1.1 102 Processing\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + events + "Transfer-Encoding: chunked\r\n\r\n12\r\nid: 1\ndata: one\n\n\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + events + "\r\nid: 1\ndata: one\n\n",
		"HTTP/1.1 200 OK\r\n" + events + "\r\nid: 1\ndata: one\n\nid: 2\nda",
		"HTTP/1.1 200 OK\r\n" + events + "\r\nid: 99999999999999999999\ndata: x\n\nid: -1\n\nid: 1\n\n",
		"HTTP/1.1 200 OK\r\n" + events + "\r\nid: \x00\r\n\r\ndata: \x00\xff\n\n",
		"HTTP/1.1 200 OK\r\n" + events + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + events + "Content-Length: 99\r\n\r\nid: 1\n\n",
		"HTTP/1.1 204 No Content\r\n" + events + "\r\n",
		"HTTP/1.1 299 Success\r\n" + events + "\r\ndata: no identifier\n\n",
		"HTTP/1.1 200 OK\r\n" + head + "Content-Type: ;;;\r\n\r\nbytes of no type",
		"", "\x00", "\r\n\r\n", "nonsense\r\n\r\n", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\n", "SSH-2.0-x\r\n",
	}
	for i, seed := range seeds {
		seed = strings.NewReplacer("Request-Id", headers.RequestID, "Signature", headers.Signature).Replace(seed)
		for end := range answerEnds {
			f.Add([]byte(seed), uint8(end), uint8(i+int(end)))
		}
	}
	f.Fuzz(func(t *testing.T, answer []byte, endOf, pathOf uint8) {
		if len(answer) > maxAnswer {
			t.Skip("the answer is longer than this test covers")
		}
		end, path := answerEnd(endOf)%answerEnds, answerPaths[int(pathOf)%len(answerPaths)]
		r := newRouter(t)
		r.handler.MaxHeldBytes = int64(len("body"))
		e1, e2 := r.add("e1", "plain", end.script(answer)), r.add("e2", "engines", end.script(answer))
		defer r.handler.Pool.Sweep(func(string) bool { return false })
		defer e1.Crash()
		defer e2.Crash()
		before := heapBytes()
		stop := peakHeap()
		got := r.call(t, path)
		must.Less(t, before+maxHeapGrowth, stop(), must.Sprintf("%s %d %q", path, end, answer))
		r.mustBeIdle(t, path)
		if got.status/100 == 2 {
			must.True(t, got.signed, must.Sprintf("a success without the signature: %s %d %q", path, end, answer))
		}
		if !got.complete || !got.signed {
			return
		}
		status, body, complete := end.wholeAnswer(t, answer, path)
		must.True(t, complete, must.Sprintf("%s %d %q looks complete: %d %q", path, end, answer, got.status, got.body))
		must.Eq(t, status, got.status)
		must.Eq(t, body, got.body)
	})
}
