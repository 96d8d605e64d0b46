package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/claims"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
)

const (
	// followAll is the number of live daemons up to which each reads every claim
	// shard, and followSome the one from which on only homes do. Between them
	// nothing changes, so that one restart does not make everybody read anew.
	followAll  = 16
	followSome = 20
	// homesOfShard is the number of daemons that read a shard in a large fleet:
	// while one is replaced the other has read the stream already.
	homesOfShard = 2
	// homeTimeout bounds one question to one home, so that a frozen one leaves
	// time to ask the next within claims.Options.DecideWithin.
	homeTimeout = 500 * time.Millisecond
)

// errNoHome says that this daemon knows no other that reads the shard.
var errNoHome = errors.New("no home of the claim shard is known")

// homePeers are the other daemons. peer.Service implements it.
type homePeers interface {
	View() *members.View
	Call(ctx context.Context, to wire.NodeID, t wire.Type, req, reply any) error
}

// homes says which claim shards this daemon reads, and reaches the daemons that
// read the others. It rests on this daemon's view alone and needs no agreement:
// with two homes too many, or none, the log's order still decides every claim.
//
// What goes wrong: when every daemon reads every claim, the bytes of each grow
// with the claims of the whole fleet, 300 KB/s at 970 claims a second. One would
// notice daemons over their share for control and a log that serves hundreds of
// copies. Here a daemon reads what it is home of.
type homes struct {
	peers homePeers
	large atomic.Bool
}

// follow implements claims.Options.Follow.
func (h *homes) follow(shard int) bool {
	view := h.peers.View()
	switch n := len(view.Live()); {
	case n <= followAll:
		h.large.Store(false)
	case n >= followSome:
		h.large.Store(true)
	}
	if !h.large.Load() {
		return true
	}
	for _, m := range view.Homes(claims.Stream(shard), homesOfShard) {
		if m.Node == view.Self() {
			return true
		}
	}
	return false
}

// ask implements claims.AskFunc.
func (h *homes) ask(ctx context.Context, shard int, get wire.ClaimGet) (wire.ClaimState, error) {
	return callHome[wire.ClaimState](ctx, h, shard, wire.TypeClaim, get)
}

// relay implements claims.RelayFunc. A record that two homes append is the same
// claims twice, of which the log's readers count the first.
func (h *homes) relay(ctx context.Context, shard int, put wire.ClaimAppend) (wire.ClaimAppended, error) {
	return callHome[wire.ClaimAppended](ctx, h, shard, wire.TypeClaimAppend, put)
}

// callHome asks the homes of a shard in turn until one answers.
func callHome[T any](ctx context.Context, h *homes, shard int, t wire.Type, req any) (T, error) {
	view, err := h.peers.View(), errNoHome
	for _, m := range view.Homes(claims.Stream(shard), homesOfShard) {
		if m.Node == view.Self() {
			continue
		}
		var reply T
		one, cancel := context.WithTimeout(ctx, homeTimeout)
		err = h.peers.Call(one, m.Node, t, req, &reply)
		cancel()
		if err == nil || ctx.Err() != nil {
			return reply, err
		}
	}
	var none T
	return none, err
}

func (r *Router) serveClaimAppend(ctx context.Context, _ wire.NodeID, body []byte) (any, error) {
	put, err := decode[wire.ClaimAppend](body)
	if err != nil {
		return nil, err
	}
	return r.gate.ServeAppend(ctx, put)
}
