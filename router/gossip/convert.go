package gossip

import (
	"github.com/acaciaspar/acaciaspar/coordination/membership"
	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
)

var protoStates = map[membership.State]fleetpb.MemberState{
	membership.Alive:   fleetpb.MemberState_MEMBER_STATE_ALIVE,
	membership.Suspect: fleetpb.MemberState_MEMBER_STATE_SUSPECT,
	membership.Leaving: fleetpb.MemberState_MEMBER_STATE_LEAVING,
	membership.Dead:    fleetpb.MemberState_MEMBER_STATE_DEAD,
}

var memberStates = map[fleetpb.MemberState]membership.State{
	fleetpb.MemberState_MEMBER_STATE_ALIVE:   membership.Alive,
	fleetpb.MemberState_MEMBER_STATE_SUSPECT: membership.Suspect,
	fleetpb.MemberState_MEMBER_STATE_LEAVING: membership.Leaving,
	fleetpb.MemberState_MEMBER_STATE_DEAD:    membership.Dead,
}

// toProto converts members to the updates of a message.
func toProto(members []membership.Member) []*fleetpb.MemberUpdate {
	out := make([]*fleetpb.MemberUpdate, 0, len(members))
	for _, m := range members {
		out = append(out, &fleetpb.MemberUpdate{
			Address:     m.Address,
			Instance:    m.Instance,
			Zone:        m.Zone,
			Incarnation: m.Incarnation,
			State:       protoStates[m.State],
		})
	}
	return out
}

// fromProto converts the updates of a message to members. Updates with an
// unknown state are skipped.
func fromProto(updates []*fleetpb.MemberUpdate) []membership.Member {
	out := make([]membership.Member, 0, len(updates))
	for _, u := range updates {
		state, ok := memberStates[u.GetState()]
		if !ok {
			continue
		}
		out = append(out, membership.Member{
			Address:     u.Address,
			Instance:    u.Instance,
			Zone:        u.Zone,
			Incarnation: u.Incarnation,
			State:       state,
		})
	}
	return out
}

// Updates returns all members as updates of the protocol.
func (g *Gossip) Updates() []*fleetpb.MemberUpdate { return toProto(g.Members()) }
