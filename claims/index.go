package claims

import (
	"math"
	"time"

	"github.com/corianderturn/corianderturn/infra/infraapi"
)

// IndexConfig bounds an Index.
type IndexConfig struct {
	// Lifetime is how long a key is remembered after its last claim, by the
	// log's time.
	Lifetime time.Duration
	// Margin is added where two clocks meet.
	Margin time.Duration
	// MaxKeys bounds the keys kept.
	MaxKeys int
	// AnswerBytes bounds the answers kept; the oldest go first.
	AnswerBytes int
}

// View is what is known of one key.
type View struct {
	Found bool
	// Sure is false when records that could not be read may name an earlier holder.
	Sure   bool
	Holder ClaimID
	Body   Body
	// Offset is where the holder's claim stands in the stream.
	Offset uint64
	Status Status
	// Released is the offset of the record that gave the key up; 0 unless Status is Released.
	Released uint64
	// Age is how long ago the holder claimed the key, by the log's time.
	Age time.Duration
	// Answer is the encoded answer; nil when none is kept.
	Answer []byte
}

type entry struct {
	holder   ClaimID
	body     Body
	sure     bool
	status   Status
	offset   uint64
	released uint64
	claimed  int64 // log time of the holder's claim, ms
	last     int64 // log time of the key's last claim, ms
	answer   slot
}

// nothingMissing is the floor of a stream that was read from its beginning.
const nothingMissing = math.MinInt64

// Index holds the keys of one stream, in the log's order. It is not safe for
// concurrent use.
//
// A key is remembered until no claim for it was logged for a lifetime. That is
// decided by the times of two neighbouring claims in the log, never by a
// reader's clock, so that all readers agree, also one that starts late: it
// either sees the first claim of such a run, or it finds the run's beginning
// below its floor and is not sure.
type Index struct {
	cfg     IndexConfig
	entries map[Key]*entry
	expiry  queue[expiring]
	answers answerStore
	// next is the offset of the next record.
	next uint64
	// clock is the latest log time seen, in ms.
	clock int64
	// floor is the log time, in ms, at or before which claims may be unknown:
	// trimmed before they were read, not readable, or over MaxKeys.
	floor int64
	// gap says that records before the next one are missing.
	gap bool
}

type expiring struct {
	key  Key
	last int64
}

// NewIndex returns the index of a stream that is read from offset 0 on.
func NewIndex(cfg IndexConfig) *Index {
	return &Index{
		cfg: cfg, entries: make(map[Key]*entry), answers: answerStore{limit: cfg.AnswerBytes},
		floor: nothingMissing, clock: nothingMissing,
	}
}

// Next returns the offset from which the stream is to be read on.
func (x *Index) Next() uint64 { return x.next }

// Len returns the number of keys kept.
func (x *Index) Len() int { return len(x.entries) }

// Skip says that the log no longer keeps the records below first.
//
// What goes wrong: the log trimmed records before this reader came to them, so
// that a later claim looks like the first one. One would notice two runs of one
// key after a restart. The time of the next record becomes the floor, below
// which nothing is decided.
func (x *Index) Skip(first uint64) {
	if first <= x.next {
		return
	}
	x.next = first
	x.gap = true
}

// Reset says that the log has lost records which this reader had read: it now
// ends before them. No key is sure until a lifetime has passed.
func (x *Index) Reset(first uint64) {
	x.doubt(x.clock)
	x.next = first
	x.gap = first > 0
}

// doubt says that records up to a log time are missing. Keys known so far are
// no longer sure either: a released one may have found a new holder.
func (x *Index) doubt(ms int64) {
	x.floor = max(x.floor, ms)
	for _, e := range x.entries {
		e.sure = false
	}
}

// Apply takes the next record and returns its batch; nil when the record was
// taken before or cannot be decoded.
func (x *Index) Apply(r infraapi.Record) *Batch {
	if r.Offset < x.next {
		return nil
	}
	if x.gap || r.Offset > x.next {
		x.doubt(r.TimeMS)
		x.gap = false
	}
	x.next = r.Offset + 1
	x.clock = max(x.clock, r.TimeMS)
	b, err := decodeBatch(r.Data)
	if err != nil {
		// A record of a newer release may hold claims: nothing at or before its
		// time is certain.
		x.doubt(r.TimeMS)
		return nil
	}
	for i := range b.Claims {
		x.claim(&b.Claims[i], r)
	}
	for i := range b.Results {
		x.result(&b.Results[i], r.Offset)
	}
	x.expire()
	return b
}

func (x *Index) claim(c *Claim, r infraapi.Record) {
	e := x.entries[c.Key]
	if e == nil || r.TimeMS-e.last > x.cfg.Lifetime.Milliseconds() {
		x.insert(c, r)
		return
	}
	e.last = max(e.last, r.TimeMS)
	// A released key goes to a claim whose request arrived after its daemon had
	// read of the release. A claim of an earlier attempt, frozen on its way to
	// the log, comes too late: its caller may have been told "not run".
	if e.status == Released && c.Seen > e.released && c.Body == e.body {
		e.holder, e.offset, e.claimed = c.ID, r.Offset, r.TimeMS
		e.status, e.released = Held, 0
	}
}

func (x *Index) insert(c *Claim, r infraapi.Record) {
	old := x.entries[c.Key]
	if old == nil && len(x.entries) >= x.cfg.MaxKeys {
		x.floor = max(x.floor, r.TimeMS)
		return
	}
	if old != nil {
		x.answers.forget(&old.answer)
	}
	x.entries[c.Key] = &entry{
		holder: c.ID, body: c.Body, sure: x.sureAt(r.TimeMS), offset: r.Offset, claimed: r.TimeMS, last: r.TimeMS,
	}
	if old == nil {
		x.expiry.push(expiring{c.Key, r.TimeMS})
	}
}

// sureAt says whether all claims within a lifetime before a log time are known.
func (x *Index) sureAt(ms int64) bool {
	if x.floor == nothingMissing {
		return true
	}
	return ms-x.floor > (x.cfg.Lifetime + x.cfg.Margin).Milliseconds()
}

func (x *Index) result(res *Result, offset uint64) {
	e := x.entries[res.Key]
	if e == nil || e.holder != res.ID || e.status != Held {
		return
	}
	e.status = res.Status
	if res.Status == Released {
		e.released = offset
	}
	if res.Status == Ran && res.Answer != nil {
		x.answers.keep(&e.answer, slot{encoded: res.Answer}, len(res.Answer))
	}
}

// horizon is the log time, in ms, before which a key's last claim is forgotten.
func (x *Index) horizon() int64 {
	return x.clock - (x.cfg.Lifetime + x.cfg.Margin).Milliseconds()
}

// expire forgets keys whose last claim is older than a lifetime and the margin.
func (x *Index) expire() {
	horizon := x.horizon()
	for {
		head, ok := x.expiry.peek()
		if !ok || head.last >= horizon {
			return
		}
		x.expiry.pop()
		e := x.entries[head.key]
		switch {
		case e == nil:
		case e.last >= horizon:
			x.expiry.push(expiring{head.key, e.last})
		default:
			x.answers.forget(&e.answer)
			delete(x.entries, head.key)
		}
	}
}

// Lookup returns what is known of a key. An expired key that is still in memory
// is not shown: how long it stays there differs from reader to reader.
func (x *Index) Lookup(k Key) View {
	e := x.entries[k]
	if e == nil || e.last < x.horizon() {
		return View{}
	}
	return View{
		Found: true, Sure: e.sure, Holder: e.holder, Body: e.body, Offset: e.offset, Status: e.status,
		Released: e.released, Age: time.Duration(x.clock-e.claimed) * time.Millisecond, Answer: e.answer.encoded,
	}
}
