// Package steward implements the tasks that one daemon, the steward, performs for an
// upstream on behalf of all daemons. It polls the upstream's load and cache events,
// sends the loads to the other daemons, and cancels orphaned work on engines: work
// that holds memory and whose owner, the daemon that started it, is dead. Sweep
// decides what to cancel and scheduler when to poll; Runner performs the I/O.
package steward

import (
	"time"

	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Reason is the reason for which work that holds memory is cancelled.
type Reason string

// The reasons for a cancel.
const (
	// OwnerDead: the owner sent no heartbeat for too long, or a later incarnation
	// of it exists.
	OwnerDead Reason = "owner-dead"
	// OwnerUnknown: the owner has been unknown for members.Config.UnknownAfter.
	OwnerUnknown Reason = "owner-unknown"
	// ExportStale: no decode engine imported the export within MaxExportAge.
	ExportStale Reason = "export-stale"
)

// Default values of the SweepConfig fields with the same names.
// docs/design/stewards.md shows how they were calculated.
const (
	DefaultGrace         = 400 * time.Millisecond
	DefaultIsolatedGrace = 30 * time.Second
	DefaultMaxExportAge  = 5 * time.Second
)

// SweepConfig holds the timeouts of a Sweep. A timeout of zero is replaced by its
// default.
type SweepConfig struct {
	// Grace is the time from the first listing that shows work of a dead owner to
	// its cancel.
	Grace time.Duration
	// IsolatedGrace replaces Grace for an owner that is silent while most daemons
	// are. The steward itself may then have lost its network, and with the short
	// Grace it would cancel the work of all live daemons.
	IsolatedGrace time.Duration
	// MaxExportAge is the age from which an export that is still held is cancelled,
	// although its owner is alive.
	MaxExportAge time.Duration
}

// Cancel is one piece of work to cancel on an upstream.
type Cancel struct {
	Work   engineapi.WorkID
	Kind   engineapi.HeldKind
	Owner  engineapi.Owner
	Reason Reason
}

// orphan is work that every listing since firstSeen showed as orphaned.
type orphan struct {
	firstSeen time.Time
	cancelAt  time.Time // end of the grace period
	reason    Reason
}

// workKey identifies a piece of held memory. It includes the kind because one
// attempt may hold memory of several kinds.
type workKey struct {
	work engineapi.WorkID
	kind engineapi.HeldKind
}

// upstreamOrphans holds the orphans in the last listing of one upstream, and the
// upstream's incarnation at that time.
type upstreamOrphans struct {
	incarnation uint64
	orphans     map[workKey]orphan
}

// Sweep finds orphaned work to cancel on engines. A single listing is not enough:
// work is cancelled only if its owner was dead or unknown at every listing during a
// grace period. A late heartbeat, or a newly started steward that has not discovered
// the other daemons yet, therefore does not cancel a live request. The grace period
// starts again after a start or freeze of the steward, so that for an unknown owner
// the steward must have run for members.Config.UnknownAfter without a freeze. A stale
// export is cancelled without a grace period. A Sweep is not safe for concurrent use.
type Sweep struct {
	cfg       SweepConfig
	upstreams map[string]*upstreamOrphans
}

// newSweep returns a Sweep without orphans.
func newSweep(cfg SweepConfig) *Sweep {
	setDefault(&cfg.Grace, DefaultGrace)
	setDefault(&cfg.IsolatedGrace, DefaultIsolatedGrace)
	setDefault(&cfg.MaxExportAge, DefaultMaxExportAge)
	return &Sweep{cfg: cfg, upstreams: map[string]*upstreamOrphans{}}
}

// Forget deletes the orphans of an upstream, for example when another daemon
// becomes its steward. Their grace periods start again.
func (s *Sweep) Forget(upstream string) { delete(s.upstreams, upstream) }

// NextListing returns when to list an upstream again because of the orphans in its last
// listing: at the end of the first grace period, but not before Grace from now, so
// that a cancel already sent can take effect. ok is false if there are no orphans.
func (s *Sweep) NextListing(now time.Time, upstream string) (at time.Time, ok bool) {
	u := s.upstreams[upstream]
	if u == nil {
		return time.Time{}, false
	}
	for _, o := range u.orphans {
		if !ok || o.cancelAt.Before(at) {
			at, ok = o.cancelAt, true
		}
	}
	if earliest := now.Add(s.cfg.Grace); ok && at.Before(earliest) {
		at = earliest
	}
	return at, ok
}

// ProcessListing processes a listing of the memory that an upstream holds and returns the
// work to cancel now. It returns the same cancel again for each later listing that
// still contains the work.
func (s *Sweep) ProcessListing(now time.Time, upstream string, r engineapi.HeldReply, v *members.View) []Cancel {
	if v.Frozen(now) {
		// The view and the earlier listings are outdated after a freeze.
		s.Forget(upstream)
		return nil
	}
	previous := s.upstreams[upstream]
	current := &upstreamOrphans{incarnation: r.Incarnation, orphans: map[workKey]orphan{}}
	s.upstreams[upstream] = current
	if previous == nil || previous.incarnation != r.Incarnation {
		previous = current // a restarted engine holds none of its earlier work
	}
	var out []Cancel
	for _, h := range r.Held {
		reason, grace := s.classify(h, v)
		if reason == "" {
			continue
		}
		key := workKey{h.WorkID, h.Kind}
		o, seen := previous.orphans[key]
		if !seen || o.reason != reason || o.firstSeen.Before(v.ValidSince()) {
			o = orphan{firstSeen: now, reason: reason}
		}
		o.cancelAt = o.firstSeen.Add(grace)
		current.orphans[key] = o
		if !now.Before(o.cancelAt) {
			out = append(out, Cancel{Work: h.WorkID, Kind: h.Kind, Owner: h.Owner, Reason: reason})
		}
	}
	return out
}

// classify returns the reason for which held memory is orphaned, and the grace period
// for that reason. The reason is empty if the memory is not orphaned. Work of a live
// owner is left alone, except for a stale export: a live owner sends and repeats its
// own cancels.
func (s *Sweep) classify(h engineapi.Held, v *members.View) (Reason, time.Duration) {
	owner := wire.NodeID{Instance: h.Owner.Instance, Incarnation: h.Owner.Incarnation}
	switch v.Liveness(owner) {
	case members.Dead:
		if v.Isolated() && !v.Superseded(owner) {
			return OwnerDead, s.cfg.IsolatedGrace
		}
		return OwnerDead, s.cfg.Grace
	case members.Unknown:
		return OwnerUnknown, v.UnknownAfter()
	case members.Alive, members.Suspect:
		if h.Kind == engineapi.HeldExport && time.Duration(h.AgeMS)*time.Millisecond >= s.cfg.MaxExportAge {
			return ExportStale, 0
		}
	}
	return "", 0
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
