package engine

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// core is the state machine of an engine: its queues, decode batch, KV memory,
// caches and counters. It does no I/O, reads no clock and starts no goroutine.
// Engine guards it with a mutex and calls advance at nextDeadline.
type core struct {
	cfg         *Config
	rng         *rand.Rand
	incarnation uint64
	faults      Faults
	stats       Stats

	prefills           map[engineapi.WorkID]*prefill
	prefillQueue       []*prefill
	runningPrefill     *prefill
	decodes            map[engineapi.WorkID]*decode
	nextStep           time.Time // end of the current decode step; zero if no step is in progress
	cancelledAttempts  *idSet
	expiredPrefills    *idSet
	cache              *prefixCache
	pendingExportBytes int64 // reserved on the export link and not yet sent

	deployment deployment

	loadSeq        uint64
	loadSnapshot   engineapi.Load
	loadSnapshotAt time.Time

	// crashed is closed when the engine simulates a crash.
	crashed chan struct{}
}

// newCore returns a core without work whose load snapshot is taken at now.
func newCore(now time.Time, cfg *Config, rng *rand.Rand, incarnation uint64) *core {
	c := &core{
		cfg:               cfg,
		rng:               rng,
		incarnation:       incarnation,
		prefills:          make(map[engineapi.WorkID]*prefill),
		decodes:           make(map[engineapi.WorkID]*decode),
		cancelledAttempts: newIDSet(maxCancelledAttempts),
		expiredPrefills:   newIDSet(maxExpiredPrefills),
		cache:             newPrefixCache(cfg, rng),
		deployment:        newDeployment(cfg),
		crashed:           make(chan struct{}),
	}
	c.refreshLoadSnapshot(now)
	return c
}

// refusal is the body and HTTP status of a refused call, which had no effect.
type refusal struct {
	status int
	engineapi.Refusal
}

// refuse counts a refusal and returns it with the current load.
func (c *core) refuse(now time.Time, status int, reason string) *refusal {
	c.stats.Refusals++
	body := engineapi.Refusal{Reason: reason, Leaving: c.faults.Leaving, Load: c.load(now)}
	return &refusal{status: status, Refusal: body}
}

// admit checks everything that does not depend on the size of the work: faults,
// earlier cancellation, the engine's role, and the model and adapter.
func (c *core) admit(now time.Time, id engineapi.WorkID, role, model, adapter string) *refusal {
	switch {
	case c.faults.Leaving:
		return c.refuse(now, http.StatusServiceUnavailable, "leaving")
	case c.faults.RestMS > 0:
		ref := c.refuse(now, http.StatusServiceUnavailable, "asks for rest")
		ref.RetryAfterMS = c.faults.RestMS
		return ref
	case c.faults.Refuse:
		return c.refuse(now, http.StatusServiceUnavailable, "refused by fault control")
	case c.cancelledAttempts.contains(id):
		return c.refuse(now, http.StatusConflict, "attempt was cancelled")
	case c.deployment.role != role:
		return c.refuse(now, http.StatusConflict, "role is "+c.deployment.role)
	case !c.deployment.serves(model, adapter):
		return c.refuse(now, http.StatusConflict, "model or adapter is not loaded")
	}
	return nil
}

// advance applies all events that are due by now: finished prefills, expiries,
// decode steps, completed orders and the refresh of the load snapshot.
func (c *core) advance(now time.Time) {
	c.finishPrefills(now)
	c.expirePrefills(now)
	c.expireDecodes(now)
	c.stepDecodes(now)
	c.deployment.applyCompleted(now)
	if now.Sub(c.loadSnapshotAt) >= c.cfg.LoadLag {
		c.refreshLoadSnapshot(now)
	}
}

// nextDeadline returns the time at which advance must be called next.
func (c *core) nextDeadline() time.Time {
	next := c.loadSnapshotAt.Add(max(c.cfg.LoadLag, DefaultLoadLag))
	consider := func(t time.Time) {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	consider(c.nextStep)
	consider(c.deployment.nextDeadline())
	if c.runningPrefill != nil {
		consider(c.runningPrefill.finishAt)
	}
	for _, p := range c.prefills {
		if p.state == prefillReady && p.activeExports == 0 {
			consider(p.expiresAt)
		}
	}
	for _, d := range c.decodes {
		consider(c.decodeExpiry(d))
	}
	return next
}

// usedBytes returns the KV memory in use, in bytes.
func (c *core) usedBytes() int64 {
	var n int64
	for _, p := range c.prefills {
		n += p.kvBytes
	}
	for _, d := range c.decodes {
		n += d.kvBytes
	}
	return n
}

// held lists all prefills, reservations and decodes that use KV memory, sorted
// by request and attempt.
func (c *core) held(now time.Time) engineapi.HeldReply {
	out := engineapi.HeldReply{Incarnation: c.incarnation, Held: []engineapi.Held{}}
	for _, p := range c.prefills {
		out.Held = append(out.Held, p.held(now))
	}
	for _, d := range c.decodes {
		out.Held = append(out.Held, d.held(now))
	}
	slices.SortFunc(out.Held, func(a, b engineapi.Held) int {
		return cmp.Or(cmp.Compare(a.RequestID, b.RequestID), cmp.Compare(a.Attempt, b.Attempt))
	})
	return out
}

// cancel frees one attempt, or every attempt of a request, and records the
// cancellation, so that calls of the attempt that arrive later are refused.
func (c *core) cancel(now time.Time, id engineapi.WorkID) engineapi.CancelReply {
	c.stats.Cancels++
	c.cancelledAttempts.add(id)
	found := false
	for _, p := range c.prefills {
		if matchesAttempt(id, p.WorkID) {
			c.freePrefill(now, p, true)
			found = true
		}
	}
	for _, d := range c.decodes {
		if matchesAttempt(id, d.WorkID) {
			c.cancelDecode(now, d)
			found = true
		}
	}
	return engineapi.CancelReply{Found: found, Incarnation: c.incarnation}
}

// matchesAttempt reports whether id names the attempt work. A negative attempt
// in id matches every attempt of the request.
func matchesAttempt(id, work engineapi.WorkID) bool {
	return id.RequestID == work.RequestID && (id.Attempt < 0 || id.Attempt == work.Attempt)
}

// load returns a report of the current load under a new sequence number.
func (c *core) load(now time.Time) engineapi.Load {
	c.loadSeq++
	out := engineapi.Load{
		Incarnation: c.incarnation,
		Seq:         c.loadSeq,
		LinkBusyMS:  c.linkBusy().Milliseconds(),
		Leaving:     c.faults.Leaving,
	}
	if c.deployment.role == RolePrefill {
		c.prefillLoad(now, &out)
	} else {
		c.decodeLoad(&out)
	}
	return out
}

// linkBusy returns how long the export link needs for the bytes reserved on it.
func (c *core) linkBusy() time.Duration {
	seconds := float64(c.pendingExportBytes) / (c.cfg.LinkRate * c.cfg.TimeScale)
	return time.Duration(seconds * float64(time.Second))
}

// refreshLoadSnapshot updates the load report that polls get, unless the fault
// FreezeLoad is set.
func (c *core) refreshLoadSnapshot(now time.Time) {
	c.loadSnapshotAt = now
	if !c.faults.FreezeLoad {
		c.loadSnapshot = c.load(now)
	}
}

// catchUpStart returns the start time of the work that follows work due at due.
// That is due itself, so that timer delays do not add up, or now if the delay
// exceeds limit because the process was suspended.
func catchUpStart(due, now time.Time, limit time.Duration) time.Time {
	if now.Sub(due) > limit {
		return now
	}
	return due
}
