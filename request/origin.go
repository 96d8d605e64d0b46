package request

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/clock"
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

const (
	// confirmTimeout bounds the call by which the origin of a stream is confirmed.
	confirmTimeout = 150 * time.Millisecond
	// incarnationTimeout is the time after which an engine that has not told its incarnation is asked
	// again, because the call may be lost.
	incarnationTimeout = time.Second
	// incarnationRetryDelay is the pause between two such calls.
	incarnationRetryDelay = 10 * time.Millisecond
)

// confirmOrigin asks the upstream that began the stream, before a call that goes on at its version,
// whether it stands. If not, it tells the machine and returns false.
func (d *driver) confirmOrigin(ctx context.Context, a Action, origin Origin) bool {
	callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if origin.Upstream == "" || d.r.o.Origins.Confirm(callCtx, origin) {
		return true
	}
	d.sendEvent(ctx, Event{Kind: EventOriginInDoubt, Call: a.Call})
	return false
}

// confirmTarget asks the engine of a call that goes on at a version, once it has answered, whether it
// is still the incarnation that is registered. The registration, which names the version, may be older
// than a restart. Asked before the call, the engine may start again before the call reaches it. An
// engine that does not answer is asked again as long as the call is in flight: its silence says nothing.
func (d *driver) confirmTarget(ctx context.Context, a Action) error {
	engines, ok := d.r.o.Engines.(IncarnationReader)
	target := replicaOf(a)
	if !ok || target.Incarnation == 0 || !a.GoesOn {
		return nil
	}
	incarnation, err := readIncarnation(ctx, engines, target)
	for err != nil && !upstream.IsWithheld(err) && clock.Sleep(ctx, incarnationRetryDelay) {
		incarnation, err = readIncarnation(ctx, engines, target)
	}
	if err == nil && incarnation != target.Incarnation {
		d.r.o.Observer.Leaving(d.r.o.Now(), target.Name) // until it registers
		err = errors.New("the engine has started again")
	}
	if err != nil {
		return upstream.NewCallError(upstream.Maybe, 0, err)
	}
	return nil
}

// readIncarnation asks an engine once for its incarnation.
func readIncarnation(ctx context.Context, engines IncarnationReader, target policy.Replica) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	return engines.Incarnation(ctx, target.Address, target.Name)
}

func errOriginInDoubt() *errkind.Error {
	return errkind.New(errkind.OriginUnknown, "the upstream that began the stream has started again")
}
