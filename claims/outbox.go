package claims

import (
	"slices"
	"time"
)

// The pauses after failed appends, doubled from the first to the last.
const (
	appendPauseMin = 20 * time.Millisecond
	appendPauseMax = time.Second
)

// outageAfter is how long the log must fail before claims no longer wait for it.
const outageAfter = time.Second

// outbox holds what one daemon has yet to append to one stream.
type outbox struct {
	claims   []Claim
	results  []Result
	inflight *Batch
	// resultsSince is when the oldest result began to wait.
	resultsSince time.Time
	lastAppend   time.Time
	lastRecord   time.Time
	retryAt      time.Time
	pause        time.Duration
	failing      time.Time // when appends began to fail; zero while they work
}

// result queues a result. Over limit the oldest is dropped: a repeat elsewhere
// is then told that the outcome is unknown, which is true for that daemon.
func (o *outbox) result(now time.Time, r Result, limit int) {
	if len(o.results) == 0 {
		o.resultsSince = now
	}
	o.results = append(o.results, r)
	if len(o.results) > limit {
		o.results = slices.Delete(o.results, 0, 1)
	}
}

// drop takes a claim back that has no need to be appended any more.
func (o *outbox) drop(seq uint64) {
	o.claims = slices.DeleteFunc(o.claims, func(c Claim) bool { return c.ID.Seq == seq })
}

// due returns when the next batch is to be appended; ok is false when none waits.
func (o *outbox) due(cfg *machineConfig, marks bool) (at time.Time, ok bool) {
	switch {
	case o.inflight != nil:
		return at, false
	case len(o.claims) > 0:
		at = o.lastAppend.Add(cfg.Linger)
	case len(o.results) > 0:
		at = later(o.lastAppend.Add(cfg.Linger), o.resultsSince.Add(cfg.ResultLinger))
	case marks:
		at = later(o.lastAppend, o.lastRecord).Add(cfg.MarkEvery)
	default:
		return at, false
	}
	return later(at, o.retryAt), true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// take makes the next batch out of what waits.
func (o *outbox) take(cfg *machineConfig) *Batch {
	n := min(len(o.claims), cfg.MaxBatch)
	b := &Batch{Claims: slices.Clone(o.claims[:n])}
	o.claims = slices.Delete(o.claims, 0, n)
	k, bytes := 0, 0
	for k < len(o.results) && k < cfg.MaxBatch && bytes <= cfg.MaxBatchBytes {
		bytes += len(o.results[k].Answer)
		k++
	}
	b.Results = slices.Clone(o.results[:k])
	o.results = slices.Delete(o.results, 0, k)
	o.inflight = b
	return b
}

// Due returns when Batch is to be called; ok is false when nothing waits for it.
func (m *Machine) Due() (at time.Time, ok bool) {
	return m.out.due(&m.cfg, m.index != nil)
}

// Batch returns the next record to append, or nil when none is due. Until
// Appended or AppendFailed is called there is no other.
func (m *Machine) Batch(now time.Time) *Batch {
	at, ok := m.Due()
	if !ok || now.Before(at) {
		return nil
	}
	b := m.out.take(&m.cfg)
	m.out.lastAppend = now
	for i := range b.Claims {
		if o := m.own.bySeq[b.Claims[i].ID.Seq]; o != nil {
			o.sent = true
		}
	}
	return b
}

// Appended says that the batch in flight is on the log. It returns the claims
// of the batch that still wait, and must be asked for when this daemon does not
// follow the stream.
func (m *Machine) Appended() []uint64 {
	b := m.out.inflight
	m.out.inflight, m.out.pause, m.out.failing = nil, 0, time.Time{}
	if b == nil {
		return nil
	}
	var seqs []uint64
	for i := range b.Claims {
		if o := m.own.bySeq[b.Claims[i].ID.Seq]; o != nil && o.phase == waiting {
			seqs = append(seqs, o.claim.ID.Seq)
		}
	}
	return seqs
}

// AppendFailed says that the batch in flight may or may not be on the log. What
// is still wanted is appended again: a second record of the same claim changes
// nothing, and the reply of the second append tells where to read to.
func (m *Machine) AppendFailed(now time.Time) {
	b := m.out.inflight
	if b == nil {
		return
	}
	m.out.inflight = nil
	m.out.pause = min(max(2*m.out.pause, appendPauseMin), appendPauseMax)
	m.out.retryAt = now.Add(m.out.pause)
	if m.out.failing.IsZero() {
		m.out.failing = now
	}
	again := slices.DeleteFunc(b.Claims, func(c Claim) bool {
		o := m.own.bySeq[c.ID.Seq]
		return o == nil || o.phase != waiting
	})
	m.out.claims = append(again, m.out.claims...)
	if len(b.Results) > 0 && len(m.out.results) == 0 {
		m.out.resultsSince = now
	}
	m.out.results = append(b.Results, m.out.results...)
	if over := len(m.out.results) - m.cfg.MaxResults; over > 0 {
		m.out.results = slices.Delete(m.out.results, 0, over)
	}
}
