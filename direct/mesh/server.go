package mesh

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/acaciaspar/acaciaspar/direct/follow"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/state/mirror"
)

// mirrorServer implements fleetpb.Mirror.
type mirrorServer struct{ local LocalState }

// Handler returns the handler that serves this router's records to its peers.
func (m *Mesh) Handler() http.Handler {
	return http.MaxBytesHandler(fleetpb.NewMirrorServer(&mirrorServer{local: m.local}), maxRecordsRequest)
}

// FetchRecords implements fleetpb.Mirror.
func (s *mirrorServer) FetchRecords(_ context.Context, in *fleetpb.RecordsRequest) (*fleetpb.RecordsReply, error) {
	var topic follow.Topic
	switch in.Topic {
	case fleetpb.Topic_TOPIC_CONFIGURATION:
		topic = follow.Configuration
	case fleetpb.Topic_TOPIC_ENDPOINTS:
		topic = follow.Endpoints
	default:
		return nil, twirp.InvalidArgumentError("topic", "is unknown")
	}
	batch := s.local.Mirror(topic).Since(mirror.Position{Era: in.Era, Next: in.From})
	reply := &fleetpb.RecordsReply{Era: batch.End.Era, Next: batch.End.Next, Complete: batch.Complete}
	for _, r := range batch.Records {
		// A listing may hold records after its end. The peer would take the offset for an invalid one, and
		// the key for removed.
		offset := min(r.Offset, batch.End.Next)
		reply.Records = append(reply.Records, &fleetpb.KeyedRecord{Key: r.Key, Value: r.Value, Offset: offset})
	}
	return reply, nil
}
