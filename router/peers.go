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

// registerPeerHandlers registers the handlers of heartbeats and calls from other daemons.
func (r *Router) registerPeerHandlers() {
	r.peers.OnSendHeartbeat(r.fillHeartbeat)
	r.peers.OnHeartbeat(r.onHeartbeat)
	r.peers.Handle(wire.TypeBundleGet, r.serveBundle)
	r.peers.Handle(wire.TypeClaim, r.serveClaim)
	r.peers.Handle(wire.TypeClaimAppend, r.serveClaimAppend)
	r.peers.Handle(wire.TypeForward, r.serveForward)
	r.peers.Handle(wire.TypeBoard, r.applyBoardRows)
}

// fillHeartbeat adds the bundle version, the drain state and the upstreams that are
// leaving to this daemon's heartbeat.
func (r *Router) fillHeartbeat(hb *wire.Heartbeat) {
	if v := r.watcher.Current(); v != nil {
		hb.BundleNumber, hb.BundleDigest = v.Number, v.Digest[:]
	}
	hb.Draining = r.draining.Load()
	r.holder.Update(func(b *board.Board) { hb.Leaving = b.LeavingNotices() })
}

// onHeartbeat applies the bundle version and the leaving upstreams of a peer's heartbeat.
func (r *Router) onHeartbeat(hb wire.Heartbeat) {
	r.watcher.QueueHeartbeat(hb.Node, hb.BundleNumber, hb.BundleDigest)
	now := time.Now()
	r.holder.Update(func(b *board.Board) { b.ApplyPeerNotices(now, hb.Node, hb.Leaving) })
}

// fetchBundle gets bundle records from a peer.
func (r *Router) fetchBundle(ctx context.Context, from wire.NodeID, get wire.BundleGet) (wire.BundleRecords, error) {
	var records wire.BundleRecords
	err := r.peers.Call(ctx, from, wire.TypeBundleGet, get, &records)
	return records, err
}

// serveBundle answers a peer's request for bundle records.
func (r *Router) serveBundle(_ context.Context, _ wire.NodeID, body []byte) (any, error) {
	get, err := decode[wire.BundleGet](body)
	if err != nil {
		return nil, err
	}
	return r.watcher.ServeGet(get), nil
}

// serveClaim answers a peer's request for the state of a claim.
func (r *Router) serveClaim(ctx context.Context, _ wire.NodeID, body []byte) (any, error) {
	get, err := decode[wire.ClaimGet](body)
	if err != nil {
		return nil, err
	}
	return r.gate.ServeLookup(ctx, get)
}

// serveForward runs a request that a peer forwarded.
func (r *Router) serveForward(ctx context.Context, _ wire.NodeID, body []byte) (any, error) {
	f, err := decode[wire.Forward](body)
	if err != nil {
		return nil, err
	}
	return r.frontend.ServeForward(ctx, f), nil
}

// applyBoardRows applies the states of upstreams that the steward of these upstreams sent.
func (r *Router) applyBoardRows(_ context.Context, _ wire.NodeID, body []byte) (any, error) {
	rows, err := decode[wire.Board](body)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	r.holder.Update(func(b *board.Board) { b.ApplyRows(now, rows.Rows) })
	return nil, nil
}

// forward sends a request to the owner of its idempotency token, that is, the daemon that
// issued the token. Only the owner can run requests with the token, and this daemon cannot
// tell whether the owner has already run the request. Every failure to reach the owner is
// therefore reported as "unknown whether it ran", even if this daemon did not send the
// request.
func (r *Router) forward(ctx context.Context, to wire.NodeID, f wire.Forward) (wire.ForwardReply, *errkind.Error) {
	var reply wire.ForwardReply
	if r.isDead(to) {
		return reply, errkind.New(errkind.KeyOutcomeUnknown, "the instance that issued the token is gone")
	}
	if len(f.Body) > maxForwardBody {
		return reply, forwardTooLarge()
	}
	err := r.peers.Call(ctx, to, wire.TypeForward, f, &reply)
	return reply, forwardError(err)
}

// maxForwardBody is the largest body of a forwarded request, in bytes. It leaves 128 KiB
// of a frame for the request's headers.
const maxForwardBody = wire.MaxFrame - 128<<10

// forwardTooLarge returns the error for a body that does not fit in a frame of the peer
// protocol. It must not be the error for an unreachable owner, which callers retry for ever.
// Whether the request ran is unknown, since the caller may have sent it directly to the
// token's owner before.
func forwardTooLarge() *errkind.Error {
	return errkind.New(errkind.BodyTooLarge, "the body is too large to reach the instance that issued the token").WithRun(errkind.Unknown)
}

// forwardError maps the error of a forwarded call to an errkind error. If the token's owner
// certainly did not process the call, the kind of the error allows the caller to retry.
func forwardError(err error) *errkind.Error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, peer.ErrNotSent), isBusy(err):
		return errkind.Wrap(err, errkind.ClaimUnavailable, "the instance that issued the token cannot be reached").WithRun(errkind.Unknown)
	}
	return errkind.Wrap(err, errkind.KeyOutcomeUnknown, "the instance that issued the token did not answer")
}

// isBusy reports whether a peer refused a call without processing it because it has too
// many calls in progress.
func isBusy(err error) bool {
	var remote *peer.RemoteError
	return errors.As(err, &remote) && remote.Kind == peer.FailureBusy
}

// mintToken returns an idempotency token. Only this daemon can run requests with the token.
// A draining daemon issues none, since it may exit before the token is used.
func (r *Router) mintToken(team string) (string, *errkind.Error) {
	if r.draining.Load() {
		return "", errkind.New(errkind.Draining, "this instance will be gone before its token is used")
	}
	return r.gate.Issuer().Issue(team), nil
}

// isDead reports whether this daemon's membership view lists a daemon's incarnation as
// dead.
func (r *Router) isDead(n wire.NodeID) bool {
	return r.peers.View().Liveness(n) == members.Dead
}

// decode decodes the body of a message from a peer.
func decode[T any](body []byte) (T, error) {
	var v T
	err := wire.Decode(body, &v)
	return v, errors.Wrap(err, "decode message")
}
