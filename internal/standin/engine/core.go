package engine

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// core decides and remembers everything an engine does. It does no I/O, reads
// no clock and starts no goroutine; Engine guards it with its mutex and calls
// advance when deadline has come.
type core struct {
	cfg         *Config
	rng         *rand.Rand
	incarnation uint64
	faults      Faults
	stats       Stats

	prefills  map[engineapi.WorkID]*prefill
	queue     []*prefill
	running   *prefill
	decodes   map[engineapi.WorkID]*decode
	nextStep  time.Time // zero while nothing runs
	cancelled *idSet
	expired   *idSet
	cache     *prefixCache
	linkBytes int64 // booked on the export link and not yet sent

	config configuration

	loadSeq    uint64
	snapshot   engineapi.Load
	snapshotAt time.Time

	// gone is closed when the engine crashes.
	gone chan struct{}
}

func newCore(now time.Time, cfg *Config, rng *rand.Rand, incarnation uint64) *core {
	c := &core{
		cfg:         cfg,
		rng:         rng,
		incarnation: incarnation,
		prefills:    make(map[engineapi.WorkID]*prefill),
		decodes:     make(map[engineapi.WorkID]*decode),
		cancelled:   newIDSet(maxCancelled),
		expired:     newIDSet(maxExpired),
		cache:       newPrefixCache(cfg, rng),
		config:      newConfiguration(cfg),
		gone:        make(chan struct{}),
	}
	c.takeSnapshot(now)
	return c
}

// refusal is a definitive refusal and its HTTP status.
type refusal struct {
	status int
	engineapi.Refusal
}

func (c *core) refuse(now time.Time, status int, reason string) *refusal {
	c.stats.Refusals++
	body := engineapi.Refusal{Reason: reason, Leaving: c.faults.Leaving, Load: c.load(now)}
	if status == http.StatusServiceUnavailable && !c.faults.Leaving {
		body.RetryAfterMS = retryAfter.Milliseconds()
	}
	return &refusal{status: status, Refusal: body}
}

// admit refuses work that this engine may not take now, whatever its size.
func (c *core) admit(now time.Time, id engineapi.WorkID, role, model, adapter string) *refusal {
	switch {
	case c.faults.Leaving:
		return c.refuse(now, http.StatusServiceUnavailable, "leaving")
	case c.faults.Refuse:
		return c.refuse(now, http.StatusServiceUnavailable, "refused by fault control")
	case c.cancelled.contains(id):
		return c.refuse(now, http.StatusConflict, "attempt was cancelled")
	case c.config.role != role:
		return c.refuse(now, http.StatusConflict, "role is "+c.config.role)
	case !c.config.serves(model, adapter):
		return c.refuse(now, http.StatusConflict, "model or adapter is not loaded")
	}
	return nil
}

// advance does everything that was due by now.
func (c *core) advance(now time.Time) {
	c.finishPrefills(now)
	c.expirePrefills(now)
	c.expireDecodes(now)
	c.stepDecodes(now)
	c.config.finish(now)
	if now.Sub(c.snapshotAt) >= c.cfg.LoadLag {
		c.takeSnapshot(now)
	}
}

// deadline returns when advance has something to do next.
func (c *core) deadline() time.Time {
	next := c.snapshotAt.Add(max(c.cfg.LoadLag, DefaultLoadLag))
	earlier := func(t time.Time) {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	earlier(c.nextStep)
	earlier(c.config.deadline())
	if c.running != nil {
		earlier(c.running.finishAt)
	}
	for _, p := range c.prefills {
		if p.state == prefillReady && p.exports == 0 {
			earlier(p.expires)
		}
	}
	for _, d := range c.decodes {
		earlier(c.decodeDeadline(d))
	}
	return next
}

// usedBytes returns the KV memory that is held.
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

// held lists everything the engine holds, by request and attempt.
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

// cancel frees one attempt, or every attempt of a request, and remembers it so
// that its own calls are refused when they arrive late.
func (c *core) cancel(now time.Time, id engineapi.WorkID) engineapi.CancelReply {
	c.stats.Cancels++
	c.cancelled.add(id)
	found := false
	for _, p := range c.prefills {
		if covers(id, p.WorkID) {
			c.freePrefill(now, p, true)
			found = true
		}
	}
	for _, d := range c.decodes {
		if covers(id, d.WorkID) {
			c.cancelDecode(now, d)
			found = true
		}
	}
	return engineapi.CancelReply{Found: found, Incarnation: c.incarnation}
}

// covers reports whether a cancel of id means the attempt work.
func covers(id, work engineapi.WorkID) bool {
	return id.RequestID == work.RequestID && (id.Attempt < 0 || id.Attempt == work.Attempt)
}

// load returns the current load as a new report.
func (c *core) load(now time.Time) engineapi.Load {
	c.loadSeq++
	out := engineapi.Load{
		Incarnation: c.incarnation,
		Seq:         c.loadSeq,
		LinkBusyMS:  c.linkBusy().Milliseconds(),
		Leaving:     c.faults.Leaving,
	}
	if c.config.role == RolePrefill {
		c.prefillLoad(now, &out)
	} else {
		c.decodeLoad(&out)
	}
	return out
}

func (c *core) linkBusy() time.Duration {
	seconds := float64(c.linkBytes) / (c.cfg.LinkRate * c.cfg.TimeScale)
	return time.Duration(seconds * float64(time.Second))
}

// takeSnapshot renews the polled load report, unless it is frozen.
func (c *core) takeSnapshot(now time.Time) {
	c.snapshotAt = now
	if !c.faults.FreezeLoad {
		c.snapshot = c.load(now)
	}
}

// makeUp returns the start of work that follows work due at due: due itself, so
// that timer delays do not add up, but now when the process was stopped longer
// than limit.
func makeUp(due, now time.Time, limit time.Duration) time.Time {
	if now.Sub(due) > limit {
		return now
	}
	return due
}
