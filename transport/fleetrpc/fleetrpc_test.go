package fleetrpc

import (
	"context"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/state/configstore"
)

type localOwner struct{ fleetpb.Owner }

func (localOwner) Enqueue(context.Context, *fleetpb.EnqueueRequest) (*fleetpb.EnqueueReply, error) {
	return &fleetpb.EnqueueReply{Refused: []string{"local"}}, nil
}

// failingTransport counts the calls sent over the network and fails them.
type failingTransport struct{ calls int }

func (r *failingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	r.calls++
	return nil, http.ErrServerClosed
}

// Guards against sending calls to the own process over the network, and against
// handling calls to other processes locally.
func TestCallsToSelfBypassNetwork(t *testing.T) {
	network := &failingTransport{}
	c := NewClientPool(Identity{Fleet: "f", Address: "self"}, configstore.New(), &http.Client{Transport: network}, "http")
	c.SetLocal(Local{Owner: localOwner{}})
	reply, err := c.Owner("self").Enqueue(t.Context(), &fleetpb.EnqueueRequest{})
	must.NoError(t, err)
	must.Eq(t, []string{"local"}, reply.Refused)
	must.Zero(t, network.calls)
	_, err = c.Owner("other").Enqueue(t.Context(), &fleetpb.EnqueueRequest{})
	must.Error(t, err)
	_, err = c.Entry("self").Dispatch(t.Context(), &fleetpb.DispatchRequest{})
	must.Error(t, err)
	must.Eq(t, 2, network.calls)
}

// Guards against replies that Check rejects, and against replies that repeat the
// address, instance and zone that the receiver knows.
func TestReplySenderPassesCheckAndOmitsAddress(t *testing.T) {
	c := NewClientPool(Identity{Fleet: "f", Address: "a", Instance: NewInstanceID(), Zone: "z"}, configstore.New(), nil, "http")
	s := c.ReplySender()
	must.NoError(t, c.Check(s))
	must.Eq(t, "", s.Address+s.Instance+s.Zone)
	must.Eq(t, "a", c.AddressSender().Address)
}
