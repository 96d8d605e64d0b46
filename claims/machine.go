package claims

import (
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
)

// machineConfig contains the settings and limits of a Machine.
type machineConfig struct {
	Index IndexConfig
	// GrantTTL is the longest time from the arrival of a request to its dispatch.
	GrantTTL time.Duration
	// StaleAfter is the age at which a claim without a result counts as lost: the
	// outcome of its request is then unknown.
	StaleAfter time.Duration
	// MaxWaiting is the largest number of claims that wait for a decision.
	MaxWaiting int
	// Linger is the shortest time between two appends to the stream.
	Linger time.Duration
	// ResultLinger is how long a result may wait to share a record with a claim.
	ResultLinger time.Duration
	// MarkerInterval is the time without records in the stream after which an empty
	// record, a marker, is appended. A daemon that starts after records were
	// trimmed treats no key as authoritative until it has read a record older than
	// a lifetime.
	MarkerInterval time.Duration
	// MaxBatchClaims is the largest number of claims, and of results, in one
	// record.
	MaxBatchClaims int
	// MaxBatchAnswerBytes limits the size of the answers in one record, in bytes;
	// the last one may exceed it.
	MaxBatchAnswerBytes int
	// MaxResults is the largest number of results that wait to be appended.
	MaxResults int
	// AnswerLimit is the size, in bytes, up to which an answer is written to the
	// log.
	AnswerLimit int
	// AnswerBytes is the largest total size of the answers to this daemon's own
	// claims that are cached in memory.
	AnswerBytes int
}

// resolution is the decision on a claim that was waiting for one.
type resolution struct {
	Seq      uint64
	Decision Decision
}

// Machine is the state machine of one stream at one daemon. It tracks the daemon's
// own claims and what is to be appended and, if the daemon follows the stream,
// maintains the Index. It is not safe for concurrent use.
type Machine struct {
	cfg          machineConfig
	self         wire.NodeID
	isDead       func(wire.NodeID) bool
	index        *Index      // nil if this daemon does not follow the stream
	seenOffset   uint64      // this daemon, or a home that it asked, has read every record below this offset
	seq          uint64      // sequence number of this daemon's last claim
	claims       *claimTable // this daemon's own claims
	outbox       outbox      // what this daemon has yet to append
	waitingCount int         // number of this daemon's claims in phaseWaiting
	logEpoch     *uint64     // epoch of the log in the last reply to a read; nil before the first
	// readFailingSince is when reads began to fail; zero while they succeed.
	readFailingSince time.Time
}

// newMachine returns the Machine of one stream. self is the incarnation of this
// daemon, and isDead reports whether another incarnation has ended.
func newMachine(cfg machineConfig, self wire.NodeID, isDead func(wire.NodeID) bool, now time.Time) *Machine {
	return &Machine{cfg: cfg, self: self, isDead: isDead, claims: newClaimTable(cfg.AnswerBytes), outbox: outbox{lastRecord: now}}
}

// Follow starts or stops following the stream. A stream is followed from offset 0.
func (m *Machine) Follow(on bool) {
	switch {
	case on && m.index == nil:
		m.index = NewIndex(m.cfg.Index)
	case !on:
		m.index = nil
	}
}

// Claim makes a claim for a request. The claim is either decided at once, or waits
// for its resolution under the sequence number that is returned.
func (m *Machine) Claim(now time.Time, key Key, body BodyDigest, requestID string) (seq uint64, d Decision, decided bool) {
	m.claims.prune(now.Add(-m.cfg.Index.Lifetime - m.cfg.Index.Margin))
	if d, decided = m.decideLocally(key, body); decided {
		return 0, d, true
	}
	if m.waitingCount > 0 && m.inOutage(now) {
		return 0, claimTimedOut(), true
	}
	if m.waitingCount >= m.cfg.MaxWaiting || m.indexNearlyFull() {
		return 0, refuse(errkind.Overloaded, "too many keys are being claimed", retryAfterShort), true
	}
	m.seq++
	c := Claim{ID: ClaimID{Node: m.self, Seq: m.seq}, Key: key, Body: body, SeenOffset: m.seenOffset, RequestID: requestID}
	m.claims.add(&ownClaim{claim: c, started: now})
	m.waitingCount++
	m.outbox.claims = append(m.outbox.claims, c)
	return m.seq, Decision{}, false
}

// inOutage reports whether the log has failed for outageAfter. Then only one claim
// at a time waits, to detect when the log works again, and all others are refused
// at once.
func (m *Machine) inOutage(now time.Time) bool {
	return failedFor(m.outbox.failingSince, now) || failedFor(m.readFailingSince, now)
}

// failedFor reports whether outageAfter has passed since failures began. A zero
// since means that there are none.
func failedFor(since, now time.Time) bool {
	return !since.IsZero() && now.Sub(since) >= outageAfter
}

// ReadFailed notes that a read of the stream failed.
func (m *Machine) ReadFailed(now time.Time) {
	if m.readFailingSince.IsZero() {
		m.readFailingSince = now
	}
}

// decideLocally decides a repeat for which no claim needs to be appended.
func (m *Machine) decideLocally(key Key, body BodyDigest) (Decision, bool) {
	if o := m.claims.byKey[key]; o != nil {
		if d, ok := m.decideOwnRepeat(o, body); ok {
			return d, true
		}
	}
	if m.index == nil {
		return Decision{}, false
	}
	v := m.index.Lookup(key)
	if !v.Found || m.reclaimable(v, body) {
		return Decision{}, false
	}
	return decideClaim(v, nil, body, m.cfg.StaleAfter, m.isDead), true
}

// decideOwnRepeat decides a repeat of a request that this daemon claimed itself.
func (m *Machine) decideOwnRepeat(o *ownClaim, body BodyDigest) (Decision, bool) {
	switch {
	case o.phase == phaseWaiting:
		return keyInProgress(), true
	case o.phase == phaseDone && o.status == Released:
		return Decision{}, false
	case o.claim.Body != body:
		return keyReused(), true
	case o.phase == phaseGranted:
		return keyInProgress(), true
	case o.status == Ran:
		return replayAnswer(o.answer.answer), true
	}
	return outcomeUnknown(), true
}

// reclaimable reports whether a request that arrives now may claim a released key.
func (m *Machine) reclaimable(v KeyState, body BodyDigest) bool {
	return v.Authoritative && v.Status == Released && v.Body == body && m.seenOffset > v.ReleaseOffset
}

// indexNearlyFull reports whether the index holds 90% of MaxKeys. From there on
// this daemon refuses new keys, so that claims of other daemons still fit into its
// index.
func (m *Machine) indexNearlyFull() bool {
	return m.index != nil && m.index.Len() >= m.cfg.Index.MaxKeys-m.cfg.Index.MaxKeys/10
}

// ReadWait returns how long the next read may wait for records. The first one does not, so that the log's
// epoch is known before the log is restored, also of a stream without records.
func (m *Machine) ReadWait() time.Duration {
	if m.logEpoch == nil {
		return 0
	}
	return readWait
}

// ApplyRead applies the reply to a read of the stream, and returns the decisions on this
// daemon's claims in it.
func (m *Machine) ApplyRead(now time.Time, reply infraapi.ReadReply) []resolution {
	if m.index == nil {
		return nil
	}
	m.readFailingSince = time.Time{}
	if m.logEpoch == nil {
		m.logEpoch = &reply.Epoch
	}
	if reply.Epoch != *m.logEpoch || reply.Next < m.index.Next() {
		// Offsets up to the one that was read from belong to other records now.
		m.logEpoch = &reply.Epoch
		m.index.Rewind(now.UnixMilli(), reply.First)
		m.seenOffset = m.index.Next()
		return nil
	}
	m.index.SkipTo(reply.First)
	var out []resolution
	for _, r := range reply.Records {
		b := m.index.Apply(r)
		if b == nil {
			continue
		}
		m.outbox.lastRecord = now
		out = append(out, m.resolveBatch(now, b)...)
	}
	m.seenOffset = m.index.Next()
	return out
}

// resolveBatch decides this daemon's claims in a batch that was just applied to the
// index.
func (m *Machine) resolveBatch(now time.Time, b *Batch) []resolution {
	var out []resolution
	for i := range b.Claims {
		c := &b.Claims[i]
		if c.ID.Node != m.self {
			continue
		}
		o := m.claims.bySeq[c.ID.Seq]
		v := m.index.Lookup(c.Key)
		switch {
		case o != nil && o.phase == phaseWaiting:
			out = append(out, resolution{c.ID.Seq, m.resolveClaim(now, o, v)})
		case o != nil && o.phase == phaseDone && o.status == Released && v.Holder == c.ID && v.Status == Held:
			m.releaseAgain(now, c)
		}
	}
	return out
}

// releaseAgain queues a second release of a claim that became the key's holder
// after it had been released.
//
// This happens if the append of a claim takes effect only after its caller was
// refused and its release was logged. The first release had no effect then. Without
// a second one the key would stay in progress although nobody runs the request, and
// the caller's retry would be refused. A claim that is no longer in m.claims is not
// released again, since its request may have run.
func (m *Machine) releaseAgain(now time.Time, c *Claim) {
	m.outbox.addResult(now, Result{ID: c.ID, Key: c.Key, Status: Released}, m.cfg.MaxResults)
}

// resolveClaim ends the wait of a claim, given the state of its key read at least
// up to the claim's own record.
func (m *Machine) resolveClaim(now time.Time, o *ownClaim, v KeyState) Decision {
	d := decideClaim(v, &o.claim.ID, o.claim.Body, m.cfg.StaleAfter, m.isDead)
	m.waitingCount--
	m.outbox.removeClaim(o.claim.ID.Seq)
	if !d.Run && v.Found && v.Authoritative && v.Holder != o.claim.ID {
		m.claims.remove(o)
		return d
	}
	if !d.Run {
		// Release the key, since another reader may have found this claim to be the
		// key's holder.
		m.finishClaim(now, o, Released, nil)
		return d
	}
	o.phase = phaseGranted
	if now.Sub(o.started) > m.cfg.GrantTTL {
		m.finishClaim(now, o, Released, nil)
		return refuse(errkind.ClaimUnavailable, "the claim took too long", retryAfterShort)
	}
	return d
}

// ResolveFromHome decides a waiting claim from the state v of its key at a home of the shard,
// which has read every record below the offset through, including the claim's own.
// ok is false if the claim no longer waits.
func (m *Machine) ResolveFromHome(now time.Time, seq uint64, v KeyState, through uint64) (d Decision, ok bool) {
	m.seenOffset = max(m.seenOffset, through)
	o := m.claims.bySeq[seq]
	if o == nil || o.phase != phaseWaiting {
		return Decision{}, false
	}
	return m.resolveClaim(now, o, v), true
}

// Cancel ends the wait of a claim whose caller was refused or has disconnected. The
// request never runs under this claim, even if the claim's record appears on the
// log later.
func (m *Machine) Cancel(now time.Time, seq uint64) {
	o := m.claims.bySeq[seq]
	if o == nil || o.phase != phaseWaiting {
		return
	}
	m.waitingCount--
	m.outbox.removeClaim(seq)
	if !o.maybeLogged {
		m.claims.remove(o)
		return
	}
	m.finishClaim(now, o, Released, nil)
}

// Finish records the outcome of the request of a granted claim.
func (m *Machine) Finish(now time.Time, seq uint64, out request.Outcome) {
	o := m.claims.bySeq[seq]
	if o == nil || o.phase != phaseGranted {
		return
	}
	m.finishClaim(now, o, statusFromRun(out.Run), out.Answer)
}

// finishClaim ends a claim with a final status and queues its result.
func (m *Machine) finishClaim(now time.Time, o *ownClaim, s Status, a *request.CallAnswer) {
	o.phase, o.status = phaseDone, s
	res := Result{ID: o.claim.ID, Key: o.claim.Key, Status: s}
	if s == Ran {
		m.claims.cacheAnswer(o, a)
		res.Answer = encodeAnswer(a, m.cfg.AnswerLimit)
	}
	m.outbox.addResult(now, res, m.cfg.MaxResults)
}

// statusFromRun returns the status for a run state. Any state other than Ran and
// NotRun gives Unknown.
func statusFromRun(r errkind.RunState) Status {
	switch r {
	case errkind.Ran:
		return Ran
	case errkind.NotRun:
		return Released
	}
	return Unknown
}

// Next returns the offset from which to read; 0 if the stream is not followed.
func (m *Machine) Next() uint64 {
	if m.index == nil {
		return 0
	}
	return m.index.Next()
}

// Lookup returns the state of a key; the zero KeyState if the stream is not followed.
func (m *Machine) Lookup(k Key) KeyState {
	if m.index == nil {
		return KeyState{}
	}
	return m.index.Lookup(k)
}
