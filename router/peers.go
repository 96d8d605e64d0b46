package router

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
	"github.com/corianderturn/corianderturn/peer"
)

// handlePeers wires what other daemons say and ask to the subsystems.
func (r *Router) handlePeers() {
	r.peers.Announce(r.announce)
	r.peers.OnHeartbeat(r.hear)
	r.peers.Handle(wire.TypeBundleGet, r.serveBundle)
	r.peers.Handle(wire.TypeClaim, r.serveClaim)
	r.peers.Handle(wire.TypeClaimAppend, r.serveClaimAppend)
	r.peers.Handle(wire.TypeForward, r.serveForward)
	r.peers.Handle(wire.TypeBoard, r.takeBoard)
}

// announce fills in this daemon's heartbeat.
func (r *Router) announce(hb *wire.Heartbeat) {
	if v := r.watcher.Current(); v != nil {
		hb.BundleNumber, hb.BundleDigest = v.Number, v.Digest[:]
	}
	hb.Draining = r.draining.Load()
	r.holder.Update(func(b *board.Board) { hb.Leaving = b.LeavingNotices() })
}

// hear takes a peer's heartbeat.
func (r *Router) hear(hb wire.Heartbeat) {
	r.watcher.Notice(hb.Node, hb.BundleNumber, hb.BundleDigest)
	now := time.Now()
	r.holder.Update(func(b *board.Board) { b.HeardPeer(now, hb.Node, hb.Leaving) })
}

func (r *Router) fetchBundle(ctx context.Context, from wire.NodeID, get wire.BundleGet) (wire.BundleRecords, error) {
	var records wire.BundleRecords
	err := r.peers.Call(ctx, from, wire.TypeBundleGet, get, &records)
	return records, err
}

func (r *Router) serveBundle(_ context.Context, _ wire.NodeID, body []byte) (any, error) {
	get, err := decode[wire.BundleGet](body)
	if err != nil {
		return nil, err
	}
	return r.watcher.ServeGet(get), nil
}

func (r *Router) serveClaim(ctx context.Context, _ wire.NodeID, body []byte) (any, error) {
	get, err := decode[wire.ClaimGet](body)
	if err != nil {
		return nil, err
	}
	return r.gate.ServeGet(ctx, get)
}

func (r *Router) serveForward(ctx context.Context, _ wire.NodeID, body []byte) (any, error) {
	f, err := decode[wire.Forward](body)
	if err != nil {
		return nil, err
	}
	return r.frontend.ServeForward(ctx, f), nil
}

func (r *Router) takeBoard(_ context.Context, _ wire.NodeID, body []byte) (any, error) {
	rows, err := decode[wire.Board](body)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	r.holder.Update(func(b *board.Board) { b.Apply(now, rows.Rows) })
	return nil, nil
}

// forward sends a request to the daemon that its bound token names. Whether
// that daemon ran the token before is not known here, so that every failure to
// reach it leaves the run unknown, even where this request was not sent.
func (r *Router) forward(ctx context.Context, to wire.NodeID, f wire.Forward) (wire.ForwardReply, *errkind.Error) {
	var reply wire.ForwardReply
	if r.dead(to) {
		return reply, errkind.New(errkind.KeyOutcomeUnknown, "the instance that minted the token is gone")
	}
	if len(f.Body) > maxForwardBody {
		return reply, forwardTooLarge()
	}
	err := r.peers.Call(ctx, to, wire.TypeForward, f, &reply)
	return reply, forwardError(err)
}

// maxForwardBody leaves room in a frame for a forwarded request's headers.
const maxForwardBody = wire.MaxFrame - 128<<10

// forwardTooLarge refuses a body that fits no frame. Taken for an owner out of
// reach, its caller would come back with it for ever. The run is unknown, since
// the owner itself may have taken the same request before.
func forwardTooLarge() *errkind.Error {
	return errkind.New(errkind.BodyTooLarge, "the body is too large to reach the instance that minted the token").WithRun(errkind.Unknown)
}

// forwardError types the failure of a forward; nil for none. One that the owner
// certainly did not see can be sent again.
func forwardError(err error) *errkind.Error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, peer.ErrNotSent), busy(err):
		return errkind.Wrap(err, errkind.ClaimUnavailable, "the instance that minted the token cannot be reached").WithRun(errkind.Unknown)
	}
	return errkind.Wrap(err, errkind.KeyOutcomeUnknown, "the instance that minted the token did not answer")
}

// busy says that a peer refused a call unseen, since it has too many.
func busy(err error) bool {
	var remote *peer.RemoteError
	return errors.As(err, &remote) && remote.Kind == peer.FailureBusy
}

// mintToken returns a token that this daemon alone can run. One that drains would
// take its tokens with it before they are used.
func (r *Router) mintToken(team string) (string, *errkind.Error) {
	if r.draining.Load() {
		return "", errkind.New(errkind.Draining, "this instance will be gone before its token is used")
	}
	return r.gate.Minter().Mint(team), nil
}

// dead says whether an incarnation is taken to have ended.
func (r *Router) dead(n wire.NodeID) bool {
	return r.peers.View().Liveness(n) == members.Dead
}

func decode[T any](body []byte) (T, error) {
	var v T
	err := wire.Decode(body, &v)
	return v, errors.Wrap(err, "decode message")
}
