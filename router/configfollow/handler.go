package configfollow

import (
	"context"
	"encoding/json"

	"github.com/twitchtv/twirp"

	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/state/objects"
)

// maxFullReplies is the number of replies with a full set that are encoded
// concurrently. With 18,000 teams each takes several megabytes.
const maxFullReplies = 4

// FetchConfig returns the configuration that this router has derived: the
// endpoint's part if the request names an endpoint, otherwise the changes since
// the caller's version, or the full set if these changes are no longer in the
// history. It fails while there is no configuration, and if maxFullReplies
// replies with a full set are in progress.
func (f *Follower) FetchConfig(_ context.Context, req *fleetpb.FetchConfigRequest) (*fleetpb.FetchConfigReply, error) {
	if err := f.options.Clients.Check(req.GetSender()); err != nil {
		f.count("config.fetch_refused")
		return nil, err
	}
	f.count("config.fetch_served")
	reply, set, changes, contiguous := f.prepareReply(req.GetFromVersion())
	if set == nil {
		return nil, twirp.Unavailable.Error("no configuration yet")
	}
	switch {
	case req.GetEndpoint() != "":
		reply.RecentPublications = nil
		reply.Objects = set.ForEndpoint(req.GetEndpoint()).Encode()
	case req.GetFromVersion() >= reply.Version && reply.Version > 0:
	case contiguous:
		raw, err := json.Marshal(changes)
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		reply.Changes = raw
	default:
		return f.addFullSet(reply, set)
	}
	reply.Sender = f.options.Clients.Sender()
	return reply, nil
}

// prepareReply returns a reply that holds only the metadata of the current version,
// the current set, and the changes since a version if the history holds all of
// them.
func (f *Follower) prepareReply(from uint64) (*fleetpb.FetchConfigReply, *objects.Set, []objects.Change, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil {
		return nil, nil, nil, false
	}
	reply := &fleetpb.FetchConfigReply{
		Version:            f.state.Version,
		SetHash:            f.state.Hash[:],
		NextOffset:         f.state.NextOffset,
		RecentPublications: f.state.Recent(),
	}
	changes, contiguous := f.history.since(from)
	return reply, f.state.Set, changes, contiguous
}

// addFullSet completes a reply with the full set.
func (f *Follower) addFullSet(reply *fleetpb.FetchConfigReply, set *objects.Set) (*fleetpb.FetchConfigReply, error) {
	select {
	case f.fullReplies <- struct{}{}:
	default:
		f.count("config.fetch_busy")
		return nil, twirp.ResourceExhausted.Error("too many replies with a whole set at the same time")
	}
	defer func() { <-f.fullReplies }()
	reply.Objects = set.Encode()
	reply.Sender = f.options.Clients.Sender()
	return reply, nil
}
