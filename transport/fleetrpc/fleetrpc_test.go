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

// refuser counts the calls that would leave the process.
type refuser struct{ calls int }

func (r *refuser) RoundTrip(*http.Request) (*http.Response, error) {
	r.calls++
	return nil, http.ErrServerClosed
}

// Guards against calls of a process to itself that use the network, and against
// calls to others that don't.
func TestLocalCalls(t *testing.T) {
	network := &refuser{}
	c := NewCaller(Identity{Fleet: "f", Address: "self"}, configstore.New(), &http.Client{Transport: network}, "http")
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

// Guards against replies that this version of the protocol refuses, and against
// replies that repeat what the receiver knows.
func TestReplySender(t *testing.T) {
	c := NewCaller(Identity{Fleet: "f", Address: "a", Instance: NewInstance(), Zone: "z"}, configstore.New(), nil, "http")
	s := c.ReplySender()
	must.NoError(t, c.Check(s))
	must.Eq(t, "", s.Address+s.Instance+s.Zone)
	must.Eq(t, "a", c.AddressSender().Address)
}
