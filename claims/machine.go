package claims

import (
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
)

// machineConfig bounds a Machine.
type machineConfig struct {
	Index IndexConfig
	// GrantTTL is how long a claim may take from its request to the dispatch.
	GrantTTL time.Duration
	// Stale is the age at which a key without a result counts as lost.
	Stale time.Duration
	// MaxWaiting bounds the claims that wait for a decision.
	MaxWaiting int
	// Linger is the least time between two appends to the stream.
	Linger time.Duration
	// ResultLinger is how long a result waits for a claim to be appended with.
	ResultLinger time.Duration
	// MarkEvery is the longest time without a record.
	MarkEvery time.Duration
	// MaxBatch bounds the claims of one record.
	MaxBatch int
	// MaxBatchBytes bounds the answers in one record.
	MaxBatchBytes int
	// MaxResults bounds the results that wait to be appended.
	MaxResults int
	// AnswerLimit is the longest answer that goes on the log, in bytes.
	AnswerLimit int
	// AnswerBytes bounds the answers kept in this daemon's memory.
	AnswerBytes int
}

// resolution ends the wait of one claim.
type resolution struct {
	Seq      uint64
	Decision Decision
}

// Machine is one daemon's part in one stream: its own claims, what it appends,
// and, when it follows the stream, the Index. It is not safe for concurrent use.
type Machine struct {
	cfg   machineConfig
	self  wire.NodeID
	dead  func(wire.NodeID) bool
	index *Index // nil when this daemon does not follow the stream
	seen  uint64 // every record below is known to be on the log
	seq   uint64
	own   *ledger
	out   outbox
	wait  int // claims in phase waiting
	// unread is when reads began to fail; zero while they work.
	unread time.Time
}

// newMachine returns the machine of one stream; self is this incarnation.
func newMachine(cfg machineConfig, self wire.NodeID, dead func(wire.NodeID) bool, now time.Time) *Machine {
	return &Machine{cfg: cfg, self: self, dead: dead, own: newLedger(cfg.AnswerBytes), out: outbox{lastRecord: now}}
}

// Follow starts or ends following the stream; when started, it is read from 0.
func (m *Machine) Follow(on bool) {
	switch {
	case on && m.index == nil:
		m.index = NewIndex(m.cfg.Index)
	case !on:
		m.index = nil
	}
}

// Claim takes a request. Either it is decided at once, or seq names the claim
// that waits for its resolution.
func (m *Machine) Claim(now time.Time, key Key, body Body, requestID string) (seq uint64, d Decision, decided bool) {
	m.own.prune(now.Add(-m.cfg.Index.Lifetime - m.cfg.Index.Margin))
	if d, decided = m.known(key, body); decided {
		return 0, d, true
	}
	if m.wait > 0 && m.outage(now) {
		return 0, gaveUp(), true
	}
	if m.wait >= m.cfg.MaxWaiting || m.full() {
		return 0, refuse(errkind.Overloaded, "too many keys are being claimed", retryHeld), true
	}
	m.seq++
	c := Claim{ID: ClaimID{Node: m.self, Seq: m.seq}, Key: key, Body: body, Seen: m.seen, RequestID: requestID}
	m.own.add(&own{claim: c, started: now})
	m.wait++
	m.out.claims = append(m.out.claims, c)
	return m.seq, Decision{}, false
}

// outage says that the log has failed for a while. Then one claim at a time
// waits, to find out when it works again; the others are refused at once.
func (m *Machine) outage(now time.Time) bool {
	return failedFor(m.out.failing, now) || failedFor(m.unread, now)
}

func failedFor(since, now time.Time) bool {
	return !since.IsZero() && now.Sub(since) >= outageAfter
}

// ReadFailed says that the stream could not be read.
func (m *Machine) ReadFailed(now time.Time) {
	if m.unread.IsZero() {
		m.unread = now
	}
}

// known decides a repeat without an append.
func (m *Machine) known(key Key, body Body) (Decision, bool) {
	if o := m.own.byKey[key]; o != nil {
		if d, ok := m.ownRepeat(o, body); ok {
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
	return judge(v, nil, body, m.cfg.Stale, m.dead), true
}

// ownRepeat decides a repeat of a key that this daemon claimed itself.
func (m *Machine) ownRepeat(o *own, body Body) (Decision, bool) {
	switch {
	case o.phase == waiting:
		return inProgress(), true
	case o.phase == done && o.status == Released:
		return Decision{}, false
	case o.claim.Body != body:
		return reused(), true
	case o.phase == granted:
		return inProgress(), true
	case o.status == Ran:
		return answered(o.answer.answer), true
	}
	return unknown(), true
}

// reclaimable says whether a released key may be claimed again by a request
// that arrives now.
func (m *Machine) reclaimable(v View, body Body) bool {
	return v.Sure && v.Status == Released && v.Body == body && m.seen > v.Released
}

// full leaves room below MaxKeys, so that other daemons' claims still fit and
// this one refuses before it must forget.
func (m *Machine) full() bool {
	return m.index != nil && m.index.Len() >= m.cfg.Index.MaxKeys-m.cfg.Index.MaxKeys/10
}

// Read takes a reply of the log and returns the claims that are decided now.
func (m *Machine) Read(now time.Time, reply infraapi.ReadReply) []resolution {
	if m.index == nil {
		return nil
	}
	m.unread = time.Time{}
	if reply.Next < m.index.Next() {
		m.index.Reset(reply.First)
	}
	m.index.Skip(reply.First)
	var out []resolution
	for _, r := range reply.Records {
		b := m.index.Apply(r)
		if b == nil {
			continue
		}
		m.out.lastRecord = now
		out = append(out, m.decide(now, b)...)
	}
	m.seen = m.index.Next()
	return out
}

// decide resolves the own claims of a batch that was just read.
func (m *Machine) decide(now time.Time, b *Batch) []resolution {
	var out []resolution
	for i := range b.Claims {
		c := &b.Claims[i]
		if c.ID.Node != m.self {
			continue
		}
		o := m.own.bySeq[c.ID.Seq]
		v := m.index.Lookup(c.Key)
		switch {
		case o != nil && o.phase == waiting:
			out = append(out, resolution{c.ID.Seq, m.settle(now, o, v)})
		case o != nil && o.phase == done && o.status == Released && v.Holder == c.ID && v.Status == Held:
			m.release(now, c)
		}
	}
	return out
}

// release gives a key up once more that a claim of this daemon holds although
// its wait has ended.
//
// What goes wrong: an append took effect after its caller was refused, and
// after the release was logged. One would notice a key that stays in progress
// though nobody runs it. The second release lets the caller's retry through. A
// claim that is not in the ledger any more may have run; it is left alone.
func (m *Machine) release(now time.Time, c *Claim) {
	m.out.result(now, Result{ID: c.ID, Key: c.Key, Status: Released}, m.cfg.MaxResults)
}

// settle ends the wait of a claim by a view read through its own record.
func (m *Machine) settle(now time.Time, o *own, v View) Decision {
	d := judge(v, &o.claim.ID, o.claim.Body, m.cfg.Stale, m.dead)
	m.wait--
	m.out.drop(o.claim.ID.Seq)
	if !d.Run && v.Found && v.Sure && v.Holder != o.claim.ID {
		m.own.remove(o)
		return d
	}
	if !d.Run {
		// Another reader may see this claim as the holder.
		m.finish(now, o, Released, nil)
		return d
	}
	o.phase = granted
	if now.Sub(o.started) > m.cfg.GrantTTL {
		m.finish(now, o, Released, nil)
		return refuse(errkind.ClaimUnavailable, "the claim took too long", retryHeld)
	}
	return d
}

// Told decides a waiting claim by the word of the stream's home, which has read
// through the claim's record. ok is false when the claim no longer waits.
func (m *Machine) Told(now time.Time, seq uint64, v View, through uint64) (d Decision, ok bool) {
	m.seen = max(m.seen, through)
	o := m.own.bySeq[seq]
	if o == nil || o.phase != waiting {
		return Decision{}, false
	}
	return m.settle(now, o, v), true
}

// Cancel ends a claim's wait: its caller was refused or has gone. The request
// never runs under this claim, also when its record shows up later.
func (m *Machine) Cancel(now time.Time, seq uint64) {
	o := m.own.bySeq[seq]
	if o == nil || o.phase != waiting {
		return
	}
	m.wait--
	m.out.drop(seq)
	if !o.sent {
		m.own.remove(o)
		return
	}
	m.finish(now, o, Released, nil)
}

// Finish takes the outcome of a granted claim.
func (m *Machine) Finish(now time.Time, seq uint64, out request.Outcome) {
	o := m.own.bySeq[seq]
	if o == nil || o.phase != granted {
		return
	}
	m.finish(now, o, statusOf(out.Run), out.Answer)
}

func (m *Machine) finish(now time.Time, o *own, s Status, a *request.CallAnswer) {
	o.phase, o.status = done, s
	res := Result{ID: o.claim.ID, Key: o.claim.Key, Status: s}
	if s == Ran {
		m.own.keep(o, a)
		res.Answer = encodeAnswer(a, m.cfg.AnswerLimit)
	}
	m.out.result(now, res, m.cfg.MaxResults)
}

// statusOf maps a run state to a status; anything unclear is Unknown.
func statusOf(r errkind.Run) Status {
	switch r {
	case errkind.Ran:
		return Ran
	case errkind.NotRun:
		return Released
	}
	return Unknown
}

// Next returns the offset to read from; 0 when the stream is not followed.
func (m *Machine) Next() uint64 {
	if m.index == nil {
		return 0
	}
	return m.index.Next()
}

// Lookup returns what a followed stream says of a key.
func (m *Machine) Lookup(k Key) View {
	if m.index == nil {
		return View{}
	}
	return m.index.Lookup(k)
}
