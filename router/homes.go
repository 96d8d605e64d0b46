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
	// With at most smallFleetMax live daemons, every daemon reads every claim shard; with
	// largeFleetMin or more, only the shard's homes do (see homes). Between the two numbers
	// a daemon keeps its mode, so that one restart does not make every daemon start or stop
	// reading shards.
	smallFleetMax = 16
	largeFleetMin = 20
	// homesPerShard is the number of homes of a shard in a large fleet. With two, one has
	// the shard's stream in memory while the other is replaced.
	homesPerShard = 2
	// homeCallTimeout bounds one call to one home, so that if the home does not answer there
	// is time to call the next one within claims.Options.DecisionTimeout.
	homeCallTimeout = 500 * time.Millisecond
)

// errNoHome is returned when the membership view has no other live daemon as a home of the
// shard.
var errNoHome = errors.New("no live daemon is known that reads the claim shard")

// homePeers is the part of peer.Service that homes uses to find and call other daemons.
type homePeers interface {
	View() *members.View
	Call(ctx context.Context, to wire.NodeID, t wire.Type, req, reply any) error
}

// homes decides which claim shards this daemon reads, and calls the daemons that
// read the others. A claim shard is a stream of the platform's log that holds the
// idempotency claims of some of the keys; the daemons that read it are its homes. Each
// daemon computes the homes from its own membership view, without agreement: if daemons
// disagree and a shard has too many homes or none, the order of records in the log still
// decides every claim.
//
// If every daemon of a large fleet read every shard, the traffic of each would grow with
// the claims of the whole fleet (300 KB/s at 970 claims a second). Daemons would exceed
// their bandwidth limit for control traffic, and the log would serve each record
// hundreds of times.
type homes struct {
	peers      homePeers
	largeFleet atomic.Bool // the mode at the last call of readsShard
}

// readsShard reports whether this daemon reads a shard. It implements claims.Options.Follow.
func (h *homes) readsShard(shard int) bool {
	view := h.peers.View()
	switch n := len(view.Live()); {
	case n <= smallFleetMax:
		h.largeFleet.Store(false)
	case n >= largeFleetMin:
		h.largeFleet.Store(true)
	}
	if !h.largeFleet.Load() {
		return true
	}
	for _, m := range view.TopRanked(claims.Stream(shard), homesPerShard) {
		if m.Node == view.Self() {
			return true
		}
	}
	return false
}

// lookupAtHome gets the state of a claim from a home of its shard. It implements
// claims.HomeLookupFunc.
func (h *homes) lookupAtHome(ctx context.Context, shard int, get wire.ClaimGet) (wire.ClaimState, error) {
	return callHome[wire.ClaimState](ctx, h, shard, wire.TypeClaim, get)
}

// appendAtHome has a home of the shard append claims to the log. It implements
// claims.HomeAppendFunc. If two homes append the same claims, readers of the log use the
// first record.
func (h *homes) appendAtHome(ctx context.Context, shard int, put wire.ClaimAppend) (wire.ClaimAppended, error) {
	return callHome[wire.ClaimAppended](ctx, h, shard, wire.TypeClaimAppend, put)
}

// callHome calls the homes of a shard in turn until one answers.
func callHome[T any](ctx context.Context, h *homes, shard int, t wire.Type, req any) (T, error) {
	view, err := h.peers.View(), errNoHome
	for _, m := range view.TopRanked(claims.Stream(shard), homesPerShard) {
		if m.Node == view.Self() {
			continue
		}
		var reply T
		callCtx, cancel := context.WithTimeout(ctx, homeCallTimeout)
		err = h.peers.Call(callCtx, m.Node, t, req, &reply)
		cancel()
		if err == nil || ctx.Err() != nil {
			return reply, err
		}
	}
	var zero T
	return zero, err
}

// serveClaimAppend appends claims to the log for a peer.
func (r *Router) serveClaimAppend(ctx context.Context, _ wire.NodeID, body []byte) (any, error) {
	put, err := decode[wire.ClaimAppend](body)
	if err != nil {
		return nil, err
	}
	return r.gate.ServeAppend(ctx, put)
}
