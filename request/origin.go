package request

import (
	"context"
	"time"

	"github.com/pkg/errors"

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
// use and do not block.
type Origins interface {
	// Begun records that the first event of a request's stream has arrived.
	Begun(c *Completion, o Origin)
	// Holds reports whether an origin still stands: the upstream may have started again, at
	// another version, before the stream began.
	Holds(o Origin) bool
}

type noOrigins struct{}

func (noOrigins) Begun(*Completion, Origin) {}
func (noOrigins) Holds(Origin) bool         { return true }

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
	return errkind.New(errkind.OriginUnknown, "the upstream that began the stream has started again")
}

// IncarnationReader is an Engines that can tell the incarnation of an engine.
type IncarnationReader interface {
	// Incarnation returns the incarnation that the engine at an address reports of itself.
	Incarnation(ctx context.Context, addr, name string) (int64, error)
}

// confirmVersion asks the engine of a decode call that goes on at a version for its incarnation. The
// registration, which names the version, may be older than a restart.
func (d *driver) confirmVersion(ctx context.Context, r policy.Replica) error {
	engines, ok := d.r.o.Engines.(IncarnationReader)
	if !ok || r.Incarnation == 0 {
		return nil
	}
	incarnation, err := engines.Incarnation(ctx, r.Address, r.Name)
	if err != nil {
		return upstream.NewCallError(upstream.NotSent, 0, err)
	}
	if incarnation != r.Incarnation {
		return upstream.NewCallError(upstream.NotSent, 0, errors.New("the engine has started again"))
	}
	return nil
}
