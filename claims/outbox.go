package claims

import (
	"slices"
	"time"
)

// Backoff between failed appends; it starts at the minimum and doubles up to the
// maximum.
const (
	appendBackoffMin = 20 * time.Millisecond
	appendBackoffMax = time.Second
)

// outageAfter is how long appends or reads must have failed before most claims are
// refused without waiting.
const outageAfter = time.Second

// outbox holds the claims and results that one daemon has yet to append to one
// stream.
type outbox struct {
	claims  []Claim
	results []Result
	// inflight is the batch that is being appended; nil if there is none.
	inflight *Batch
	// resultsSince is when the oldest result began to wait.
	resultsSince time.Time
	lastAppend   time.Time     // when the last append started
	lastRecord   time.Time     // when this daemon last read a record
	retryAt      time.Time     // no append before this time
	backoff      time.Duration // delay after the last failed append
	failingSince time.Time     // when appends began to fail; zero while they succeed
}

// addResult queues a result. If more than limit results wait, the oldest is
// dropped. Other daemons, which have not read the result, then report the outcome of
// its request as unknown, which is safe.
func (o *outbox) addResult(now time.Time, r Result, limit int) {
	if len(o.results) == 0 {
		o.resultsSince = now
	}
	o.results = append(o.results, r)
	if len(o.results) > limit {
		o.results = slices.Delete(o.results, 0, 1)
	}
}

// removeClaim removes a claim that no longer needs to be appended.
func (o *outbox) removeClaim(seq uint64) {
	o.claims = slices.DeleteFunc(o.claims, func(c Claim) bool { return c.ID.Seq == seq })
}

// dueAt returns when the next batch is to be appended; ok is false if there is
// none. If markers is true, an empty batch (a marker) becomes due on a stream that
// has no other records for MarkerInterval.
func (o *outbox) dueAt(cfg *machineConfig, markers bool) (at time.Time, ok bool) {
	switch {
	case o.inflight != nil:
		return at, false
	case len(o.claims) > 0:
		at = o.lastAppend.Add(cfg.Linger)
	case len(o.results) > 0:
		at = laterOf(o.lastAppend.Add(cfg.Linger), o.resultsSince.Add(cfg.ResultLinger))
	case markers:
		at = laterOf(o.lastAppend, o.lastRecord).Add(cfg.MarkerInterval)
	default:
		return at, false
	}
	return laterOf(at, o.retryAt), true
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// takeBatch moves waiting claims and results into a new batch in flight.
func (o *outbox) takeBatch(cfg *machineConfig) *Batch {
	n := min(len(o.claims), cfg.MaxBatchClaims)
	b := &Batch{Claims: slices.Clone(o.claims[:n])}
	o.claims = slices.Delete(o.claims, 0, n)
	k, bytes := 0, 0
	for k < len(o.results) && k < cfg.MaxBatchClaims && bytes <= cfg.MaxBatchAnswerBytes {
		bytes += len(o.results[k].Answer)
		k++
	}
	b.Results = slices.Clone(o.results[:k])
	o.results = slices.Delete(o.results, 0, k)
	o.inflight = b
	return b
}

// Due returns when NextBatch should be called next; ok is false if nothing is to be
// appended.
func (m *Machine) Due() (at time.Time, ok bool) {
	return m.outbox.dueAt(&m.cfg, m.index != nil)
}

// NextBatch returns the next batch to append, or nil if none is due. While the append
// of a batch is in progress, until AppendSucceeded or AppendFailed is called, no other
// batch is due.
func (m *Machine) NextBatch(now time.Time) *Batch {
	at, ok := m.Due()
	if !ok || now.Before(at) {
		return nil
	}
	b := m.outbox.takeBatch(&m.cfg)
	m.outbox.lastAppend = now
	for i := range b.Claims {
		if o := m.claims.bySeq[b.Claims[i].ID.Seq]; o != nil {
			o.maybeLogged = true
		}
	}
	return b
}

// AppendSucceeded records that the batch in flight is on the log. It returns the sequence
// numbers of the batch's claims that still wait. If this daemon does not follow the
// stream, a home must be asked to decide them.
func (m *Machine) AppendSucceeded() []uint64 {
	b := m.outbox.inflight
	m.outbox.inflight, m.outbox.backoff, m.outbox.failingSince = nil, 0, time.Time{}
	if b == nil {
		return nil
	}
	var seqs []uint64
	for i := range b.Claims {
		if o := m.claims.bySeq[b.Claims[i].ID.Seq]; o != nil && o.phase == phaseWaiting {
			seqs = append(seqs, o.claim.ID.Seq)
		}
	}
	return seqs
}

// AppendFailed records that the append of the batch in flight failed; the batch may
// be on the log nevertheless. The batch's results, and its claims that still wait, are queued to be
// appended again. A second record of the same claim has no effect, and the reply to
// the second append gives the offset up to which the stream must be read.
func (m *Machine) AppendFailed(now time.Time) {
	b := m.outbox.inflight
	if b == nil {
		return
	}
	m.outbox.inflight = nil
	m.outbox.backoff = min(max(2*m.outbox.backoff, appendBackoffMin), appendBackoffMax)
	m.outbox.retryAt = now.Add(m.outbox.backoff)
	if m.outbox.failingSince.IsZero() {
		m.outbox.failingSince = now
	}
	again := slices.DeleteFunc(b.Claims, func(c Claim) bool {
		o := m.claims.bySeq[c.ID.Seq]
		return o == nil || o.phase != phaseWaiting
	})
	m.outbox.claims = append(again, m.outbox.claims...)
	if len(b.Results) > 0 && len(m.outbox.results) == 0 {
		m.outbox.resultsSince = now
	}
	m.outbox.results = append(b.Results, m.outbox.results...)
	if over := len(m.outbox.results) - m.cfg.MaxResults; over > 0 {
		m.outbox.results = slices.Delete(m.outbox.results, 0, over)
	}
}
