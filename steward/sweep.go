// Package steward does what one daemon does for all about an upstream: it polls
// the upstream's load and cache events, tells its peers, and frees engine memory
// whose owner is gone. Sweep and the agenda decide, Runner does the I/O.
package steward

import (
	"time"

	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Reason says why held memory is cancelled.
type Reason string

// The reasons.
const (
	// OwnerDead: the owner was silent for too long, or a later incarnation lives.
	OwnerDead Reason = "owner-dead"
	// OwnerUnknown: nobody has told of the owner for a long time.
	OwnerUnknown Reason = "owner-unknown"
	// ExportStale: an export that no decode engine imported.
	ExportStale Reason = "export-stale"
)

// The defaults of SweepConfig; docs/design/stewards.md gives the sums.
const (
	DefaultGrace         = 400 * time.Millisecond
	DefaultIsolatedGrace = 30 * time.Second
	DefaultExportBound   = 5 * time.Second
)

// SweepConfig holds the limits of a Sweep. A zero limit takes its default.
type SweepConfig struct {
	// Grace is the time from the first sight of a dead owner's work to its cancel.
	Grace time.Duration
	// IsolatedGrace is Grace for a silent owner while most daemons are silent: the
	// steward then may be the one that is cut off, and would cancel the work of
	// every live daemon.
	IsolatedGrace time.Duration
	// ExportBound is the age from which on an export counts as never imported.
	ExportBound time.Duration
}

// Cancel is one piece of work to cancel on an upstream.
type Cancel struct {
	Work   engineapi.WorkID
	Kind   engineapi.HeldKind
	Owner  engineapi.Owner
	Reason Reason
}

// orphan is work whose owner seemed gone at every listing since a time.
type orphan struct {
	since  time.Time
	due    time.Time // when its grace ends
	reason Reason
}

// piece names held memory: one attempt may hold several kinds.
type piece struct {
	work engineapi.WorkID
	kind engineapi.HeldKind
}

// swept is what is remembered of one upstream.
type swept struct {
	incarnation uint64
	orphans     map[piece]orphan
}

// Sweep finds held memory to free. It trusts no single listing and no fresh
// view: work is cancelled once its owner has seemed gone in every listing over a
// grace, so that a late heartbeat or a steward that knows nobody harms no live
// request. For an owner nobody told of, that grace is also the time for which a
// fresh or thawed steward must have run. A Sweep is not safe for concurrent use.
type Sweep struct {
	cfg       SweepConfig
	upstreams map[string]*swept
}

// newSweep returns a Sweep that has seen nothing.
func newSweep(cfg SweepConfig) *Sweep {
	setDefault(&cfg.Grace, DefaultGrace)
	setDefault(&cfg.IsolatedGrace, DefaultIsolatedGrace)
	setDefault(&cfg.ExportBound, DefaultExportBound)
	return &Sweep{cfg: cfg, upstreams: map[string]*swept{}}
}

// Forget drops what is remembered of an upstream, when it has another steward.
func (s *Sweep) Forget(upstream string) { delete(s.upstreams, upstream) }

// Next returns when to list an upstream again for the orphans that it showed:
// when the first grace ends, and a Grace from now to see whether a cancel took
// effect; ok is false when it showed none.
func (s *Sweep) Next(now time.Time, upstream string) (at time.Time, ok bool) {
	u := s.upstreams[upstream]
	if u == nil {
		return time.Time{}, false
	}
	for _, o := range u.orphans {
		if !ok || o.due.Before(at) {
			at, ok = o.due, true
		}
	}
	if again := now.Add(s.cfg.Grace); ok && at.Before(again) {
		at = again
	}
	return at, ok
}

// Listed takes a listing of what an upstream holds and returns what to cancel
// now. The same cancel is returned for each further listing that shows the work.
func (s *Sweep) Listed(now time.Time, upstream string, r engineapi.HeldReply, v *members.View) []Cancel {
	if v.Frozen(now) {
		// What this process believed before it was stopped proves nothing.
		s.Forget(upstream)
		return nil
	}
	before := s.upstreams[upstream]
	after := &swept{incarnation: r.Incarnation, orphans: map[piece]orphan{}}
	s.upstreams[upstream] = after
	if before == nil || before.incarnation != r.Incarnation {
		before = after // an engine's new life has none of the old work
	}
	var out []Cancel
	for _, h := range r.Held {
		reason, grace := s.judge(h, v)
		if reason == "" {
			continue
		}
		p := piece{h.WorkID, h.Kind}
		o, seen := before.orphans[p]
		if !seen || o.reason != reason || o.since.Before(v.Since()) {
			o = orphan{since: now, reason: reason}
		}
		o.due = o.since.Add(grace)
		after.orphans[p] = o
		if !now.Before(o.due) {
			out = append(out, Cancel{Work: h.WorkID, Kind: h.Kind, Owner: h.Owner, Reason: reason})
		}
	}
	return out
}

// judge returns why held memory seems to be nobody's, and for how long it must
// seem so. Work of a live owner is that owner's: it repeats its own cancels.
func (s *Sweep) judge(h engineapi.Held, v *members.View) (Reason, time.Duration) {
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
		if h.Kind == engineapi.HeldExport && time.Duration(h.AgeMS)*time.Millisecond >= s.cfg.ExportBound {
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
