package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/acaciaspar/acaciaspar/state/mirror"
)

// errOvertaken is the reason for which a call is given up that a later one has overtaken.
var errOvertaken = errors.New("a later call was answered first")

// topicCalls holds the calls to the store for one topic. Only the goroutine that follows the topic
// uses it.
type topicCalls struct {
	follower *Follower
	topic    Topic
	schedule schedule
	// pending holds the calls without an answer, by number.
	pending map[int]storeCall
	newest  int
	results chan callResult
	running sync.WaitGroup
}

type storeCall struct {
	began  time.Time
	cancel context.CancelFunc
	// isProbe is set if the call was made in this router's turn only.
	isProbe bool
}

type callResult struct {
	number int
	// isRead tells a read from a listing, known is the position from which was read.
	isRead bool
	known  mirror.Position
	batch  mirror.Batch
	err    error
}

// followTopic lists a topic and then reads new records for as long as this router should read the
// store.
func (f *Follower) followTopic(ctx context.Context, topic Topic) error {
	t := &topicCalls{follower: f, topic: topic, pending: map[int]storeCall{}, results: make(chan callResult)}
	ctx, cancel := context.WithCancel(ctx)
	defer t.running.Wait()
	defer cancel()
	for {
		t.step(ctx, time.Now())
		timer := time.NewTimer(t.schedule.pause(time.Now(), t.busy()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
			t.finishReady()
		case r := <-t.results:
			t.finish(r)
		}
		timer.Stop()
	}
}

// finishReady finishes a call that has been answered. On a host without CPU time the answer of a
// call and the time at which it is overdue are noticed together.
func (t *topicCalls) finishReady() {
	select {
	case r := <-t.results:
		t.finish(r)
	default:
	}
}

func (t *topicCalls) busy() bool { return len(t.pending) > 0 }

// step decides whether this router goes on reading the topic and whether a call begins.
func (t *topicCalls) step(ctx context.Context, now time.Time) {
	f := t.follower
	wanted := !f.listed[t.topic].Load() || f.peers.ShouldReadStore() || f.probes.answeredRecently(now)
	if t.schedule.checkOverdue(now, t.busy()) {
		f.setReading(t.topic, false)
	}
	answering, otherAnswers := f.peers.HasStoreReader(), f.readsOther(t.topic)
	// A call in progress is awaited, unless it seems lost.
	mayStop := !t.busy()
	if t.schedule.suspect {
		mayStop = answering
	}
	if !wanted && mayStop {
		t.giveUp()
		t.schedule.idle()
		f.setReading(t.topic, false)
		if f.unreachable[t.topic].Load() && f.peers.HasStoreReader() {
			f.markOutageEnded(t.topic)
		}
	}
	around := surroundings{busy: t.busy(), wanted: wanted, answering: answering, otherAnswers: otherAnswers, mayProbe: func() bool {
		claim := f.probes.claim
		if otherAnswers {
			claim = f.probes.claimAlone
		}
		return f.peers.ShouldProbeStore() && claim(now, t.topic)
	}}
	if t.schedule.shouldBegin(now, around) {
		if t.schedule.suspect && !answering {
			f.probes.began(now, t.topic)
		}
		t.begin(ctx, now, !wanted)
	}
}

func (t *topicCalls) begin(ctx context.Context, now time.Time, isProbe bool) {
	f := t.follower
	ctx, cancel := context.WithCancel(ctx)
	t.newest++
	r := callResult{number: t.newest, isRead: f.listed[t.topic].Load(), known: f.mirrors[t.topic].Position()}
	t.pending[r.number] = storeCall{began: now, cancel: cancel, isProbe: isProbe}
	var wait time.Duration
	if r.isRead && f.reading[t.topic].Load() {
		// A read without a wait detects the end of an outage at once instead of with
		// the next record.
		wait = f.readWait
	}
	t.schedule.began(now, wait)
	t.running.Go(func() {
		if r.isRead {
			r.batch, r.err = f.read(ctx, t.topic, r.known, wait)
		} else {
			r.batch, r.err = f.listRecords(ctx, t.topic)
		}
		select {
		case t.results <- r:
		case <-ctx.Done():
		}
	})
}

// giveUp cancels all calls. Their results are ignored.
func (t *topicCalls) giveUp() {
	for number, call := range t.pending {
		call.cancel()
		delete(t.pending, number)
	}
}

// finish applies the result of a call.
func (t *topicCalls) finish(r callResult) {
	call, ok := t.pending[r.number]
	if !ok {
		return
	}
	f := t.follower
	call.cancel()
	delete(t.pending, r.number)
	err := r.err
	if err == nil {
		t.giveUpOvertaken(r.number)
		err = f.applyFromStore(t.topic, r)
	}
	now := time.Now()
	switch {
	case err == nil:
		t.giveUp()
		t.schedule.succeeded(call.began, r.isRead)
		if call.isProbe {
			f.probes.answered(now)
		}
		f.markStoreReachable(t.topic, call.began, r.isRead)
	case errors.Is(err, mirror.ErrLaterEra):
		t.giveUp()
		t.schedule.outdated()
		f.listed[t.topic].Store(false)
	case errors.Is(err, ErrCompacted):
		f.log.Info("the store doesn't hold the next records; listing the topic again", "topic", t.topic.String())
		t.giveUp()
		t.schedule.refused(now)
		f.listed[t.topic].Store(false)
	default:
		t.schedule.failed(now)
		f.markStoreUnreachable(t.topic, err)
	}
}

// giveUpOvertaken gives up the calls that began before one that was answered. The store was silent
// for them, so entries may have expired that it will hold again.
func (t *topicCalls) giveUpOvertaken(number int) {
	lost := false
	for n, call := range t.pending {
		if n < number {
			call.cancel()
			delete(t.pending, n)
			lost = true
		}
	}
	if lost {
		t.follower.markStoreUnreachable(t.topic, errOvertaken)
	}
}
