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
	// maxConcurrentFetches is the number of peers queried concurrently.
	maxConcurrentFetches = 3
	// maxProbedPeers is the number of peers whose versions are probed at the start.
	maxProbedPeers = 64
	// logGracePeriod is the time in which a working log may deliver a version
	// before peers are queried. It avoids a fetch by every router at each
	// publication.
	logGracePeriod = 500 * time.Millisecond
	// maxReadAge is the age of the last successful read up to which the log is
	// considered working.
	maxReadAge = time.Second
)

// followPeers fetches the configuration from peers while the log doesn't deliver
// it, until ctx ends.
func (f *Follower) followPeers(ctx context.Context) error {
	retryBackOff := newBackOff(f.options.PollInterval)
	var waitingSince time.Time
	for {
		changed := f.options.Store.Changed()
		switch {
		case !f.needsPeers():
			waitingSince = time.Time{}
			retryBackOff.Reset()
			if err := waitChanged(ctx, changed, f.options.PollInterval); err != nil {
				return err
			}
			continue
		case waitingSince.IsZero():
			waitingSince = time.Now()
		}
		delay := logGracePeriod / 10
		if !f.logMayDeliver(waitingSince) {
			delay = 0
			if f.options.Store.Current() == nil {
				f.probeVersions(ctx)
			}
			if !f.fetchFromPeers(ctx) {
				delay = retryBackOff.NextBackOff()
			}
		}
		if err := sleep(ctx, delay); err != nil {
			return err
		}
	}
}

// waitChanged waits until changed is closed or d has passed. It returns ctx's
// error if ctx ends first.
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

// needsPeers reports whether the state is missing or incomplete, or a message
// has stated a higher version than the current one.
func (f *Follower) needsPeers() bool {
	store := f.options.Store
	f.mu.Lock()
	missing := f.state == nil || f.behind
	f.mu.Unlock()
	return missing || store.HighestSeen() > store.Version()
}

// logMayDeliver reports whether to wait for the log before querying peers: within
// the grace period that starts at waitingSince, if the log works.
func (f *Follower) logMayDeliver(waitingSince time.Time) bool {
	if time.Since(waitingSince) >= logGracePeriod {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Without a state it is not known yet whether the log works.
	return f.state == nil || (!f.behind && time.Since(f.lastRead) < maxReadAge)
}

// probeVersions queries peers for their current versions before the first
// configuration is fetched from one of them, because the first peer to reply may
// be behind the others.
func (f *Follower) probeVersions(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var probes sync.WaitGroup
	for _, peer := range f.randomPeers(maxProbedPeers) {
		probes.Go(func() {
			reply, err := f.options.Clients.Owner(peer).FindOwner(ctx, &fleetpb.OwnerRequest{Sender: f.options.Clients.Sender()})
			if err == nil {
				// Check records the sender's version in the store.
				_ = f.options.Clients.Check(reply.GetSender())
			}
		})
	}
	probes.Wait()
}

// fetchFromPeers queries up to maxConcurrentFetches peers concurrently and reports
// whether a configuration was adopted from any of them.
func (f *Follower) fetchFromPeers(ctx context.Context) bool {
	peers := f.randomPeers(maxConcurrentFetches)
	results := make(chan bool, len(peers))
	for _, peer := range peers {
		go func() { results <- f.fetchFromPeer(ctx, peer) }()
	}
	adopted := false
	for range peers {
		adopted = <-results || adopted
	}
	return adopted
}

// randomPeers returns up to n peers in random order.
func (f *Follower) randomPeers(n int) []string {
	own := f.options.Clients.Identity().Address
	peers := slices.DeleteFunc(slices.Clone(f.options.Peers()), func(a string) bool { return a == own })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), n)]
}

// fetchFromPeer fetches the configuration from a peer, counts and logs errors,
// and reports whether the configuration was adopted.
func (f *Follower) fetchFromPeer(ctx context.Context, peer string) bool {
	f.count("config.peer_fetches")
	adopted, err := f.fetchAndAdopt(ctx, peer)
	if err != nil && ctx.Err() == nil {
		f.count("config.peer_errors")
		if f.logLimiter.Allow(time.Now(), peer, "fetch") {
			f.options.Logger.Warn("fetch configuration from peer failed", "peer", peer, "error", err.Error())
		}
	}
	return adopted
}

// fetchAndAdopt fetches the configuration from a peer, verifies it and reports
// whether it was adopted.
func (f *Follower) fetchAndAdopt(ctx context.Context, peer string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	base := f.base()
	reply, err := f.options.Clients.Control(peer).FetchConfig(ctx, &fleetpb.FetchConfigRequest{
		Sender:      f.options.Clients.Sender(),
		FromVersion: base.Version,
	})
	if err != nil {
		return false, eris.Wrap(err, "fetch configuration")
	}
	if err := f.options.Clients.Check(reply.GetSender()); err != nil {
		return false, err
	}
	state, changes, err := stateFromReply(base, reply)
	if err != nil {
		return false, err
	}
	if !f.adoptFromPeer(base, state, changes) {
		return false, nil
	}
	f.advanceStore()
	f.options.Logger.Info("configuration fetched from peer", "peer", peer, "version", state.Version, "nextOffset", state.NextOffset)
	return true, nil
}

// base returns the version and set to which changes from a peer are applied.
// Without a state it is version 0, whose set is always empty.
func (f *Follower) base() *publication.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil {
		return publication.NewState()
	}
	return &publication.State{Version: f.state.Version, Set: f.state.Set, Hash: f.state.Hash}
}

// stateFromReply verifies a reply and returns the state that it describes, and
// the changes from base if the reply holds them.
func stateFromReply(base *publication.State, reply *fleetpb.FetchConfigReply) (*publication.State, []objects.Change, error) {
	if reply.GetNextOffset() < 0 || len(reply.GetRecentPublications()) > publication.RecentIDs {
		return nil, nil, eris.New("configuration reply has a negative offset or too many publications")
	}
	set, changes, err := setFromReply(base, reply)
	if err != nil {
		return nil, nil, err
	}
	state := publication.Restore(reply.GetVersion(), set, reply.GetNextOffset(), reply.GetRecentPublications())
	if !bytes.Equal(state.Hash[:], reply.GetSetHash()) {
		return nil, nil, eris.Errorf("set of version %d doesn't have the stated hash", reply.GetVersion())
	}
	return state, changes, nil
}

// setFromReply returns the set that a reply describes: the changes applied to
// base, the decoded objects after a check, or base itself for an equal version.
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
			return nil, nil, eris.Errorf("set has %d faults, first: %s", len(faults), faults[0])
		}
		return set, nil, nil
	case reply.GetVersion() == base.Version:
		return base.Set, nil, nil
	}
	return nil, nil, eris.Errorf("peer has version %d, which is not above %d", reply.GetVersion(), base.Version)
}

// adoptFromPeer is like adopt for a state fetched from a peer. It keeps the
// change lists if the changes continue them.
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
