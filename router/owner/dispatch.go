package owner

import (
	"context"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/fairqueue"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
)

const (
	// dispatchTimeout bounds one Dispatch call to an entry router.
	dispatchTimeout = time.Second
	// maxSendWait is the maximum time that a grant waits for a worker. Together
	// with fairqueue.OfferTTL it stays below the lease of the token.
	maxSendWait = 400 * time.Millisecond
	// numWorkers is the number of workers, each of which sends one message to an
	// entry router at a time.
	numWorkers = 64
	// maxSendQueues bounds the send queues: 32 services times 520 entry routers.
	maxSendQueues = 16_640
	// maxBatch bounds the grants of one message.
	maxBatch = 512
)

// sendQueueKey identifies the grants that may share a message.
type sendQueueKey struct{ service, router string }

// sendQueue holds the grants of one service that wait to be sent to one entry
// router.
type sendQueue struct {
	key     sendQueueKey
	pending []queuedGrant
}

type queuedGrant struct {
	fairqueue.Grant
	queuedAt time.Time
}

// dispatcher owns the send queues. A send queue is in the table while grants
// wait or a message is in progress; ready holds those that wait for a worker.
type dispatcher struct {
	mu     sync.Mutex
	queues map[sendQueueKey]*sendQueue
	ready  chan *sendQueue
}

func newDispatcher() *dispatcher {
	return &dispatcher{queues: map[sendQueueKey]*sendQueue{}, ready: make(chan *sendQueue, maxSendQueues)}
}

// add appends a grant to its send queue. It reports false if the grant needs a
// new send queue and there are maxSendQueues already.
func (d *dispatcher) add(key sendQueueKey, g queuedGrant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	sq := d.queues[key]
	if sq == nil {
		if len(d.queues) >= maxSendQueues {
			return false
		}
		sq = &sendQueue{key: key}
		d.queues[key] = sq
		// Does not block: a send queue is in the channel at most once, and
		// the channel has capacity for all of them.
		d.ready <- sq
	}
	sq.pending = append(sq.pending, g)
	return true
}

// take removes and returns the next grants of a send queue, at most maxBatch.
func (d *dispatcher) take(sq *sendQueue) []queuedGrant {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := min(len(sq.pending), maxBatch)
	batch := sq.pending[:n:n]
	sq.pending = sq.pending[n:]
	return batch
}

// done marks the message of a send queue as finished: the send queue waits for
// a worker again, or is deleted if it is empty.
func (d *dispatcher) done(sq *sendQueue) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(sq.pending) > 0 {
		d.ready <- sq
		return
	}
	delete(d.queues, sq.key)
}

// enqueueGrants adds grants to the send queues. Those that find no send
// queue are resolved as gone.
func (o *Owner) enqueueGrants(name string, grants []fairqueue.Grant) {
	now := o.opts.Clock()
	var unsent []queuedGrant
	for _, g := range grants {
		queued := queuedGrant{Grant: g, queuedAt: now}
		if !o.dispatcher.add(sendQueueKey{name, g.Ticket.Router}, queued) {
			unsent = append(unsent, queued)
		}
	}
	// No further grants are dispatched here: the tokens that this frees would
	// be granted again and fail in the same way, in an endless loop.
	o.resolve(name, unsent, func(int) fairqueue.Resolution { return fairqueue.Gone })
}

// runWorker sends the grants of the send queues that are ready until ctx ends.
func (o *Owner) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case sq := <-o.dispatcher.ready:
			o.sendBatch(ctx, sq)
		}
	}
}

// sendBatch sends the next grants of a send queue and records their results.
func (o *Owner) sendBatch(ctx context.Context, sq *sendQueue) {
	fresh, late := o.splitLate(o.dispatcher.take(sq))
	// A late grant was never sent, so its token is free and the entry router's
	// next sync includes the ticket again.
	o.resolve(sq.key.service, late, func(int) fairqueue.Resolution { return fairqueue.Gone })
	if len(fresh) > 0 {
		results := o.sendDispatch(ctx, sq.key, fresh)
		o.resolve(sq.key.service, fresh, func(i int) fairqueue.Resolution { return results[i] })
	}
	o.dispatcher.done(sq)
	o.dispatchNext(sq.key.service)
}

// splitLate separates the grants that waited longer than maxSendWait for a worker.
func (o *Owner) splitLate(batch []queuedGrant) (fresh, late []queuedGrant) {
	now := o.opts.Clock()
	for _, g := range batch {
		if now.Sub(g.queuedAt) > maxSendWait {
			late = append(late, g)
		} else {
			fresh = append(fresh, g)
		}
	}
	return fresh, late
}

// sendDispatch sends one message and returns the result of each grant. Grants
// without a result count as lost.
func (o *Owner) sendDispatch(ctx context.Context, key sendQueueKey, batch []queuedGrant) []fairqueue.Resolution {
	results := make([]fairqueue.Resolution, len(batch))
	for i := range results {
		results[i] = fairqueue.Lost
	}
	ctx, cancel := context.WithTimeout(ctx, dispatchTimeout)
	defer cancel()
	reply, err := o.opts.Clients.Entry(key.router).Dispatch(ctx, &fleetpb.DispatchRequest{
		Sender:      o.opts.Clients.AddressSender(),
		Service:     key.service,
		Assignments: assignments(batch),
	})
	if err == nil {
		err = o.checkFleet(reply.GetSender())
	}
	if err != nil || len(reply.Results) != len(batch) {
		return results
	}
	for i, r := range reply.Results {
		switch r {
		case fleetpb.DispatchResult_DISPATCH_RESULT_ACCEPTED:
			results[i] = fairqueue.Accepted
		case fleetpb.DispatchResult_DISPATCH_RESULT_GONE:
			results[i] = fairqueue.Gone
		}
	}
	return results
}

func assignments(batch []queuedGrant) []*fleetpb.Assignment {
	out := make([]*fleetpb.Assignment, 0, len(batch))
	for _, g := range batch {
		out = append(out, &fleetpb.Assignment{
			Request:      g.Ticket.Request,
			Attempt:      g.Ticket.Attempt,
			AgentAddress: g.AgentAddress,
			SlotToken:    g.Token,
			Endpoint:     g.Endpoint,
			Weight:       g.Weight,
			WaitedMs:     uint64(max(0, g.Waited.Milliseconds())),
		})
	}
	return out
}

// resolve records the results of grants.
func (o *Owner) resolve(name string, batch []queuedGrant, result func(i int) fairqueue.Resolution) {
	sv := o.existingService(name)
	if sv == nil || len(batch) == 0 {
		return
	}
	now := o.opts.Clock()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for i, g := range batch {
		sv.queue.Resolve(now, g.Grant, result(i))
	}
}

// dispatchNext dispatches the grants that became possible with the results of a
// message.
func (o *Owner) dispatchNext(name string) {
	if s := o.configs.current().services[name]; s != nil && o.existingService(name) != nil {
		o.withQueue(name, s, func(*service) {})
	}
}

// existingService returns a service's queue, or nil.
func (o *Owner) existingService(name string) *service {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.services[name]
}
