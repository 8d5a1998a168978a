package owner

import (
	"context"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/coordination/fairqueue"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
)

const (
	// dispatchTimeout is the time limit of one message to an entry router.
	dispatchTimeout = time.Second
	// maxLaneWait is the longest wait of a grant for a worker. With
	// fairqueue.OfferTTL it stays below the lease of the token.
	maxLaneWait = 400 * time.Millisecond
	// workers is the number of messages to entry routers at the same time.
	workers = 64
	// maxLanes bounds the lanes: 32 services times 520 entry routers.
	maxLanes = 16_640
	// maxBatch bounds the grants of one message.
	maxBatch = 512
)

// laneKey names the grants that may share a message.
type laneKey struct{ service, router string }

// lane holds the grants that wait for one entry router.
type lane struct {
	key     laneKey
	pending []queuedGrant
}

type queuedGrant struct {
	fairqueue.Grant
	at time.Time
}

// dispatcher owns the lanes. A lane is in the table while grants wait or a
// message is in progress; ready holds the lanes that wait for a worker.
type dispatcher struct {
	mu    sync.Mutex
	lanes map[laneKey]*lane
	ready chan *lane
}

func newDispatcher() *dispatcher {
	return &dispatcher{lanes: map[laneKey]*lane{}, ready: make(chan *lane, maxLanes)}
}

// add puts a grant in its lane and reports whether there was room.
func (d *dispatcher) add(key laneKey, g queuedGrant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.lanes[key]
	if l == nil {
		if len(d.lanes) >= maxLanes {
			return false
		}
		l = &lane{key: key}
		d.lanes[key] = l
		// There is room, because a lane is in the channel at most once.
		d.ready <- l
	}
	l.pending = append(l.pending, g)
	return true
}

// take returns the next grants of a lane.
func (d *dispatcher) take(l *lane) []queuedGrant {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := min(len(l.pending), maxBatch)
	batch := l.pending[:n:n]
	l.pending = l.pending[n:]
	return batch
}

// done ends a message of a lane: the lane waits for a worker again, or leaves
// the table if it is empty.
func (d *dispatcher) done(l *lane) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(l.pending) > 0 {
		d.ready <- l
		return
	}
	delete(d.lanes, l.key)
}

// send hands grants to the workers.
func (o *Owner) send(name string, grants []fairqueue.Grant) {
	now := o.opts.Clock()
	var unsent []queuedGrant
	for _, g := range grants {
		queued := queuedGrant{Grant: g, at: now}
		if !o.dispatch.add(laneKey{name, g.Ticket.Router}, queued) {
			unsent = append(unsent, queued)
		}
	}
	// Nothing is dispatched here, because the tokens would go round in circles.
	o.resolve(name, unsent, func(int) fairqueue.Resolution { return fairqueue.Gone })
}

// work sends the grants of one lane after the other.
func (o *Owner) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-o.dispatch.ready:
			o.serve(ctx, l)
		}
	}
}

func (o *Owner) serve(ctx context.Context, l *lane) {
	fresh, late := o.split(o.dispatch.take(l))
	// A late grant never left, so its token is free and the entry router's
	// next sync brings the ticket again.
	o.resolve(l.key.service, late, func(int) fairqueue.Resolution { return fairqueue.Gone })
	if len(fresh) > 0 {
		results := o.deliver(ctx, l.key, fresh)
		o.resolve(l.key.service, fresh, func(i int) fairqueue.Resolution { return results[i] })
	}
	o.dispatch.done(l)
	o.pump(l.key.service)
}

// split separates the grants that waited too long for a worker.
func (o *Owner) split(batch []queuedGrant) (fresh, late []queuedGrant) {
	now := o.opts.Clock()
	for _, g := range batch {
		if now.Sub(g.at) > maxLaneWait {
			late = append(late, g)
		} else {
			fresh = append(fresh, g)
		}
	}
	return fresh, late
}

// deliver sends one message and returns the result of each grant.
func (o *Owner) deliver(ctx context.Context, key laneKey, batch []queuedGrant) []fairqueue.Resolution {
	results := make([]fairqueue.Resolution, len(batch))
	for i := range results {
		results[i] = fairqueue.Lost
	}
	ctx, cancel := context.WithTimeout(ctx, dispatchTimeout)
	defer cancel()
	reply, err := o.opts.Caller.Entry(key.router).Dispatch(ctx, &fleetpb.DispatchRequest{
		Sender:      o.opts.Caller.AddressSender(),
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
	sv := o.existing(name)
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

// pump dispatches what the results of a message made possible.
func (o *Owner) pump(name string) {
	if s := o.planner.current().services[name]; s != nil && o.existing(name) != nil {
		o.use(name, s, func(*service) {})
	}
}

// existing returns a service's queue, or nil.
func (o *Owner) existing(name string) *service {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.services[name]
}
