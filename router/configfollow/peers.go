package configfollow

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/coordination/publication"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/state/objects"
)

const (
	// peerTimeout bounds one FetchConfig call.
	peerTimeout = time.Second
	// peersAtOnce is the number of peers asked at the same time.
	peersAtOnce = 3
	// peersProbed is the number of peers whose versions are learned at the start.
	peersProbed = 64
	// logGrace is the time that a working log has to deliver a version before
	// peers are asked. It avoids a fetch by every router at each publication.
	logGrace = 500 * time.Millisecond
	// logWorking is the age of the last successful read up to which the log counts as working.
	logWorking = time.Second
)

// followPeers takes the configuration from peers while the log doesn't deliver it.
func (f *Follower) followPeers(ctx context.Context) error {
	failures := newBackOff(f.options.PollInterval)
	var since time.Time
	for {
		changed := f.options.Store.Changed()
		switch {
		case !f.needsPeers():
			since = time.Time{}
			failures.Reset()
			if err := waitChanged(ctx, changed, f.options.PollInterval); err != nil {
				return err
			}
			continue
		case since.IsZero():
			since = time.Now()
		}
		pause := logGrace / 10
		if !f.logMayDeliver(since) {
			pause = 0
			if f.options.Store.Current() == nil {
				f.probeVersions(ctx)
			}
			if !f.askPeers(ctx) {
				pause = failures.NextBackOff()
			}
		}
		if err := sleep(ctx, pause); err != nil {
			return err
		}
	}
}

func waitChanged(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-timer.C:
	}
	return nil
}

func (f *Follower) needsPeers() bool {
	store := f.options.Store
	f.mu.Lock()
	missing := f.state == nil || f.behind
	f.mu.Unlock()
	return missing || store.HighestSeen() > store.Version()
}

func (f *Follower) logMayDeliver(since time.Time) bool {
	if time.Since(since) >= logGrace {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// At the start nothing is known about the log yet.
	return f.state == nil || (!f.behind && time.Since(f.logAnswered) < logWorking)
}

// probeVersions learns the versions that peers have in force, before the first
// configuration is taken from one of them: the first to answer may be behind
// the others.
func (f *Follower) probeVersions(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var probes sync.WaitGroup
	for _, peer := range f.choosePeers(peersProbed) {
		probes.Go(func() {
			reply, err := f.options.Caller.Owner(peer).FindOwner(ctx, &fleetpb.OwnerRequest{Sender: f.options.Caller.Sender()})
			if err == nil {
				// Check notes the sender's version in the store.
				_ = f.options.Caller.Check(reply.GetSender())
			}
		})
	}
	probes.Wait()
}

// askPeers asks some peers at the same time and reports whether one of their
// replies was taken.
func (f *Follower) askPeers(ctx context.Context) bool {
	peers := f.choosePeers(peersAtOnce)
	results := make(chan bool, len(peers))
	for _, peer := range peers {
		go func() { results <- f.askPeer(ctx, peer) }()
	}
	taken := false
	for range peers {
		taken = <-results || taken
	}
	return taken
}

// choosePeers returns up to n peers in random order.
func (f *Follower) choosePeers(n int) []string {
	own := f.options.Caller.Identity().Address
	peers := slices.DeleteFunc(slices.Clone(f.options.Peers()), func(a string) bool { return a == own })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), n)]
}

func (f *Follower) askPeer(ctx context.Context, peer string) bool {
	f.count("config.peer_fetches")
	taken, err := f.fetchFrom(ctx, peer)
	if err != nil && ctx.Err() == nil {
		f.count("config.peer_errors")
		if f.limiter.Allow(time.Now(), peer, "fetch") {
			f.options.Logger.Warn("configuration not taken from a peer", "peer", peer, "error", err.Error())
		}
	}
	return taken
}

func (f *Follower) fetchFrom(ctx context.Context, peer string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	base := f.base()
	reply, err := f.options.Caller.Control(peer).FetchConfig(ctx, &fleetpb.FetchConfigRequest{
		Sender:      f.options.Caller.Sender(),
		FromVersion: base.Version,
	})
	if err != nil {
		return false, eris.Wrap(err, "fetch configuration")
	}
	if err := f.options.Caller.Check(reply.GetSender()); err != nil {
		return false, err
	}
	state, changes, err := stateFromReply(base, reply)
	if err != nil {
		return false, err
	}
	if !f.adoptFromPeer(base, state, changes) {
		return false, nil
	}
	f.putInForce()
	f.options.Logger.Info("configuration taken from a peer", "peer", peer, "version", state.Version, "nextOffset", state.NextOffset)
	return true, nil
}

// base returns the version and set that a difference from a peer starts from.
// Without a state it is version 0, whose set is always empty.
func (f *Follower) base() *publication.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil {
		return publication.NewState()
	}
	return &publication.State{Version: f.state.Version, Set: f.state.Set, Hash: f.state.Hash}
}

// stateFromReply verifies a reply and returns the state it describes, with the
// changes from base if the reply holds them.
func stateFromReply(base *publication.State, reply *fleetpb.FetchConfigReply) (*publication.State, []objects.Change, error) {
	if reply.GetNextOffset() < 0 || len(reply.GetRecentPublications()) > publication.RecentIDs {
		return nil, nil, eris.New("the reply has an impossible offset or too many publications")
	}
	set, changes, err := setFromReply(base, reply)
	if err != nil {
		return nil, nil, err
	}
	state := publication.Restore(reply.GetVersion(), set, reply.GetNextOffset(), reply.GetRecentPublications())
	if !bytes.Equal(state.Hash[:], reply.GetSetHash()) {
		return nil, nil, eris.Errorf("the set of version %d doesn't have the stated hash", reply.GetVersion())
	}
	return state, changes, nil
}

func setFromReply(base *publication.State, reply *fleetpb.FetchConfigReply) (*objects.Set, []objects.Change, error) {
	switch {
	case len(reply.GetChanges()) > 0:
		var changes []objects.Change
		if err := json.Unmarshal(reply.GetChanges(), &changes); err != nil {
			return nil, nil, eris.Wrap(err, "decode changes")
		}
		set, err := base.Set.Patch(changes)
		return set, changes, err
	case len(reply.GetObjects()) > 0:
		set, err := objects.Decode(reply.GetObjects())
		if err != nil {
			return nil, nil, err
		}
		if faults := set.Check(); len(faults) > 0 {
			return nil, nil, eris.Errorf("the set has %d faults; the first: %s", len(faults), faults[0])
		}
		return set, nil, nil
	case reply.GetVersion() == base.Version:
		return base.Set, nil, nil
	}
	return nil, nil, eris.Errorf("the peer has version %d, which is not above %d", reply.GetVersion(), base.Version)
}

// adoptFromPeer is like adopt and keeps the change lists if the changes
// continue them.
func (f *Follower) adoptFromPeer(base, state *publication.State, changes []objects.Change) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isAhead(state) {
		return false
	}
	if f.state != nil && state.Version > f.state.Version {
		f.sinceSnapshot += int(state.Version - f.state.Version)
		if changes == nil || f.state.Version != base.Version {
			f.history.clear()
		} else {
			f.history.add(base.Version, state.Version, changes)
		}
	}
	f.state = state
	f.behind = false
	return true
}
