package entry

import (
	"sync"

	"github.com/acaciaspar/acaciaspar/transport/endpointhttp"
)

// bufferPool reuses buffers of one capacity, so that a flooded router doesn't
// spend its time on garbage collections.
type bufferPool struct {
	capacity int
	pool     sync.Pool
}

// smallPart is the part of the capacity below which a buffer of its own costs
// less memory than a reused one.
const smallPart = 4

// get returns a buffer with unspecified content.
func (p *bufferPool) get(length int) []byte {
	if length > p.capacity || length < p.capacity/smallPart {
		return make([]byte, length)
	}
	if b, ok := p.pool.Get().(*[]byte); ok {
		return (*b)[:length]
	}
	return make([]byte, length, p.capacity)
}

// put takes a buffer that nobody uses any longer.
func (p *bufferPool) put(b []byte) {
	if cap(b) == p.capacity {
		p.pool.Put(&b)
	}
}

var (
	// bodies holds most bodies of prompts. An endpoint may still read a longer
	// body after it answered, so those aren't reused.
	bodies = bufferPool{capacity: min(16<<10, endpointhttp.SmallBody)}
	// streamBuffers holds the buffers of reads from endpoints' streams.
	streamBuffers = bufferPool{capacity: streamBuffer}
)
