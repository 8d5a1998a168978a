package entry

import (
	"sync"

	"github.com/acaciaspar/acaciaspar/transport/endpointhttp"
)

// bufferPool reuses buffers of one capacity to reduce garbage collection on an
// overloaded router.
type bufferPool struct {
	capacity int
	pool     sync.Pool
}

// minReuseDivisor sets the minimum length of a reused buffer, as capacity divided
// by it. A shorter buffer costs less memory when allocated separately.
const minReuseDivisor = 4

// get returns a buffer of the given length with unspecified content.
func (p *bufferPool) get(length int) []byte {
	if length > p.capacity || length < p.capacity/minReuseDivisor {
		return make([]byte, length)
	}
	if b, ok := p.pool.Get().(*[]byte); ok {
		return (*b)[:length]
	}
	return make([]byte, length, p.capacity)
}

// put returns a buffer to the pool. The caller must not use it afterwards.
func (p *bufferPool) put(b []byte) {
	if cap(b) == p.capacity {
		p.pool.Put(&b)
	}
}

var (
	// bodyBuffers is sized for most request bodies with prompts. Longer bodies
	// aren't reused, since an endpoint may still be reading one after it has
	// responded.
	bodyBuffers = bufferPool{capacity: min(16<<10, endpointhttp.MaxSyncBodySize)}
	// streamBuffers holds the buffers for reads from endpoints' streams.
	streamBuffers = bufferPool{capacity: streamBuffer}
)
