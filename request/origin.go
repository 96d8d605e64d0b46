package request

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream"
)

// Origin tells which upstream generated the first event of a stream that a request began or takes
// up. Upstream is empty if only the version is known.
type Origin struct {
	Service, Version, Upstream string
	Incarnation                int64
	Began                      time.Time
}

// Origins records at which software version streams begin. Implementations are safe for concurrent
// use.
type Origins interface {
	// Begun records that the first event of a request's stream has arrived. It does not block.
	Begun(c *Completion, o Origin)
	// Holds reports whether an origin still stands, by the registrations: the upstream may have
	// started again, at another version, before the stream began. It does not block.
	Holds(o Origin) bool
	// Confirm is Holds by what the upstream itself tells, if it can be asked. The registrations may
	// be older than a restart.
	Confirm(ctx context.Context, o Origin) bool
}

type noOrigins struct{}

func (noOrigins) Begun(*Completion, Origin)            {}
func (noOrigins) Holds(Origin) bool                    { return true }
func (noOrigins) Confirm(context.Context, Origin) bool { return true }

// recordOrigin records the origin of the stream whose first token has just arrived.
func (d *driver) recordOrigin(now time.Time) {
	up := d.decodeReplica
	o := Origin{Service: d.c.Model, Version: up.Version, Upstream: up.Name, Incarnation: up.Incarnation, Began: now}
	if d.origin.Version == "" {
		d.origin = o
	}
	if d.c.mayRunAgain() && o.Version != "" {
		d.r.o.Origins.Begun(&d.c, o)
	}
}

// checkOrigin returns an error if the stream must not go on because its version is in doubt.
func (d *driver) checkOrigin(a Action) *errkind.Error {
	if a.Version == "" || d.origin.Upstream == "" || d.r.o.Origins.Holds(d.origin) {
		return nil
	}
	return errOriginInDoubt()
}

// IncarnationReader is an Engines that can tell the incarnation of an engine.
type IncarnationReader interface {
	// Incarnation returns the incarnation that the engine at an address reports of itself.
	Incarnation(ctx context.Context, addr, name string) (int64, error)
}

// confirmTimeout bounds the calls by which the versions of engines are confirmed, which are answered
// at once.
const confirmTimeout = 150 * time.Millisecond

// confirm confirms, before a call that goes on at a version, that the engine of the call and the one
// that began the stream have, or had, that version. If not, it passes the outcome to the machine and
// returns false. The registrations, which name the versions, may be older than a restart.
func (d *driver) confirm(ctx context.Context, a Action, origin Origin) bool {
	callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	target := replicaOf(a)
	var same bool
	var err error
	var wg conc.WaitGroup
	wg.Go(func() { same, err = d.isIncarnation(callCtx, target) })
	stands := origin.Upstream == "" || d.r.o.Origins.Confirm(callCtx, origin)
	wg.Wait()
	switch {
	case !stands:
		d.sendEvent(ctx, Event{Kind: EventOriginInDoubt, Call: a.Call})
	case err != nil:
		d.sendCallFailed(ctx, a, time.Time{}, upstream.NewCallError(upstream.NotSent, 0, err))
	case !same:
		d.r.o.Observer.Leaving(d.r.o.Now(), target.Name) // until it registers
		d.sendEvent(ctx, Event{Kind: EventUpstreamLeaving, Call: a.Call})
	default:
		return true
	}
	return false
}

// isIncarnation asks an engine whether it is still the incarnation that is registered.
func (d *driver) isIncarnation(ctx context.Context, r policy.Replica) (bool, error) {
	engines, ok := d.r.o.Engines.(IncarnationReader)
	if !ok || r.Incarnation == 0 {
		return true, nil
	}
	incarnation, err := engines.Incarnation(ctx, r.Address, r.Name)
	return incarnation == r.Incarnation, err
}

func errOriginInDoubt() *errkind.Error {
	return errkind.New(errkind.OriginUnknown, "the upstream that began the stream has started again")
}
