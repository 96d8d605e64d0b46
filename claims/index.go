package claims

import (
	"math"
	"time"

	"github.com/corianderturn/corianderturn/infra/infraapi"
)

// IndexConfig contains the limits of an Index.
type IndexConfig struct {
	// Lifetime is how long a key is remembered after its last claim, measured by
	// the timestamps of the log.
	Lifetime time.Duration
	// Margin allows for differences between clocks. Keys are removed, and missing
	// records cease to matter, only after Lifetime plus Margin.
	Margin time.Duration
	// MaxKeys is the largest number of keys held.
	MaxKeys int
	// AnswerBytes is the largest total size of the cached answers; the oldest are
	// evicted first.
	AnswerBytes int
}

// KeyState is the state of one key in an Index.
type KeyState struct {
	// Found is false if the index has no claim for the key.
	Found bool
	// Authoritative is false if records that this reader could not read may contain an
	// earlier claim for the key.
	Authoritative bool
	Holder        ClaimID
	// Body is the digest of the request for which the holder was made.
	Body BodyDigest
	// Offset is the offset of the record with the holder's claim.
	Offset uint64
	// Status is the status of the holder's claim.
	Status Status
	// ReleaseOffset is the offset of the record that released the key; 0 unless Status
	// is Released.
	ReleaseOffset uint64
	// Age is the time since the holder was logged, measured by the timestamps of the
	// log.
	Age time.Duration
	// Answer is the encoded answer, or nil if it is not stored.
	Answer []byte
}

// keyEntry is the state of one key.
type keyEntry struct {
	holder        ClaimID
	body          BodyDigest
	authoritative bool // no earlier claim for the key can be missing
	status        Status
	offset        uint64
	releaseOffset uint64     // offset of the record that released the key
	claimedMS     int64      // log timestamp of the holder's claim, in ms
	lastClaimMS   int64      // log timestamp of the last claim for the key, in ms
	answer        answerSlot // the holder's answer, if it is cached
}

// nothingMissing is the value of Index.missingUntil for a stream that was read
// completely.
const nothingMissing = math.MinInt64

// Index holds the state of the keys of one stream, built by applying its records in
// the order of the log. It is not safe for concurrent use.
//
// A key expires when no claim for it has been logged for a lifetime. Whether the key
// of a claim has expired is decided by the log timestamps of this claim and of the
// previous claim for the key, never by a reader's clock, so all readers agree. A
// reader that starts late may not have read the first claim since the key last
// expired. It then lacks records up to missingUntil and marks the key as not
// authoritative.
type Index struct {
	cfg     IndexConfig
	entries map[Key]*keyEntry
	// expiry holds each key once, ordered by the time at which the key is next
	// checked for removal.
	expiry  queue[expiryItem]
	answers answerCache
	// next is the offset of the next record to apply.
	next uint64
	// logTime is the latest log timestamp seen, in ms.
	logTime int64
	// missingUntil is a log timestamp, in ms. Claims at or before it may be missing
	// from the index because they were trimmed before they were read, could not be
	// decoded, or exceeded MaxKeys.
	missingUntil int64
	// gapBefore is set if records directly before next were not read.
	gapBefore bool
}

// expiryItem is a key with the log timestamp, in ms, of its last claim when the
// item was queued.
type expiryItem struct {
	key         Key
	lastClaimMS int64
}

// NewIndex returns an empty index, to which a stream is applied from offset 0 on.
func NewIndex(cfg IndexConfig) *Index {
	return &Index{
		cfg: cfg, entries: make(map[Key]*keyEntry), answers: answerCache{limit: cfg.AnswerBytes},
		missingUntil: nothingMissing, logTime: nothingMissing,
	}
}

// Next returns the offset from which to continue reading the stream.
func (x *Index) Next() uint64 { return x.next }

// Len returns the number of keys held.
func (x *Index) Len() int { return len(x.entries) }

// SkipTo notes that the log no longer contains the records below offset first.
//
// If the log trimmed records before this reader read them, a later claim for a key
// would look like the first one and the key's request could run twice. Therefore
// the timestamp of the next record becomes missingUntil, and no key claimed within
// Lifetime plus Margin after it is authoritative.
func (x *Index) SkipTo(first uint64) {
	if first <= x.next {
		return
	}
	x.next = first
	x.gapBefore = true
}

// Rewind notes at nowMS that the log lost records, and begins at offset first. This reader may have
// read them, or not yet. No key is authoritative until Lifetime plus Margin has passed.
func (x *Index) Rewind(nowMS int64, first uint64) {
	x.markMissing(max(x.logTime, nowMS))
	x.next = first
	x.gapBefore = first > 0
}

// markMissing notes that records with a log timestamp up to ms may be missing. The
// keys already held are no longer authoritative either, since a missing record may
// contain a new holder of a released key.
func (x *Index) markMissing(ms int64) {
	x.missingUntil = max(x.missingUntil, ms)
	for _, e := range x.entries {
		e.authoritative = false
	}
}

// Apply applies the next record and returns its batch, or nil if the record was
// applied before or cannot be decoded.
func (x *Index) Apply(r infraapi.Record) *Batch {
	if r.Offset < x.next {
		return nil
	}
	if x.gapBefore || r.Offset > x.next {
		// Records between the last one applied and this one were not read.
		x.markMissing(r.TimeMS)
		x.gapBefore = false
	}
	x.next = r.Offset + 1
	x.logTime = max(x.logTime, r.TimeMS)
	b, err := decodeBatch(r.Data)
	if err != nil {
		// A record written by a newer version of the program may contain claims, so claims at or
		// before its timestamp may be missing.
		x.markMissing(r.TimeMS)
		return nil
	}
	for i := range b.Claims {
		x.applyClaim(&b.Claims[i], r)
	}
	for i := range b.Results {
		x.applyResult(&b.Results[i], r.Offset)
	}
	x.expire()
	return b
}

// applyClaim applies a claim in the record r. The claim becomes the key's holder if
// the key is unknown, expired, or released and free to be claimed again.
func (x *Index) applyClaim(c *Claim, r infraapi.Record) {
	e := x.entries[c.Key]
	if e == nil || r.TimeMS-e.lastClaimMS > x.cfg.Lifetime.Milliseconds() {
		x.insert(c, r)
		return
	}
	e.lastClaimMS = max(e.lastClaimMS, r.TimeMS)
	// A released key passes to a claim whose request arrived after its daemon had
	// read the release. A claim for an earlier request, delayed on its way to the
	// log, does not get the key, since its caller may have been told "not run".
	if e.status == Released && c.SeenOffset > e.releaseOffset && c.Body == e.body {
		e.holder, e.offset, e.claimedMS = c.ID, r.Offset, r.TimeMS
		e.status, e.releaseOffset = Held, 0
	}
}

// insert adds a key, or replaces an expired one, with the claim as its holder.
func (x *Index) insert(c *Claim, r infraapi.Record) {
	old := x.entries[c.Key] // an expired entry, or nil
	if old == nil && len(x.entries) >= x.cfg.MaxKeys {
		x.missingUntil = max(x.missingUntil, r.TimeMS)
		return
	}
	if old != nil {
		x.answers.remove(&old.answer)
	}
	x.entries[c.Key] = &keyEntry{
		holder: c.ID, body: c.Body, authoritative: x.completeAt(r.TimeMS), offset: r.Offset, claimedMS: r.TimeMS, lastClaimMS: r.TimeMS,
	}
	if old == nil {
		x.expiry.push(expiryItem{c.Key, r.TimeMS})
	}
}

// completeAt reports whether all claims are known that were logged within a
// lifetime before a log timestamp, in ms.
func (x *Index) completeAt(ms int64) bool {
	if x.missingUntil == nothingMissing {
		return true
	}
	return ms-x.missingUntil > (x.cfg.Lifetime + x.cfg.Margin).Milliseconds()
}

// applyResult applies a result at an offset. It has no effect unless it comes from
// the key's holder and is the holder's first result.
func (x *Index) applyResult(res *Result, offset uint64) {
	e := x.entries[res.Key]
	if e == nil || e.holder != res.ID || e.status != Held {
		return
	}
	e.status = res.Status
	if res.Status == Released {
		e.releaseOffset = offset
	}
	if res.Status == Ran && res.Answer != nil {
		x.answers.put(&e.answer, answerSlot{encoded: res.Answer}, len(res.Answer))
	}
}

// expiryCutoff returns the log timestamp, in ms, before which the last claim for a
// key must lie for the key to be removed.
func (x *Index) expiryCutoff() int64 {
	return x.logTime - (x.cfg.Lifetime + x.cfg.Margin).Milliseconds()
}

// expire removes the keys whose last claim is older than the lifetime plus the
// margin.
func (x *Index) expire() {
	cutoff := x.expiryCutoff()
	for {
		head, ok := x.expiry.peek()
		if !ok || head.lastClaimMS >= cutoff {
			return
		}
		x.expiry.pop()
		e := x.entries[head.key]
		switch {
		case e == nil:
		case e.lastClaimMS >= cutoff:
			x.expiry.push(expiryItem{head.key, e.lastClaimMS})
		default:
			x.answers.remove(&e.answer)
			delete(x.entries, head.key)
		}
	}
}

// Lookup returns the state of a key. It does not return an expired key that is
// still in memory, because readers remove expired keys at different times.
func (x *Index) Lookup(k Key) KeyState {
	e := x.entries[k]
	if e == nil || e.lastClaimMS < x.expiryCutoff() {
		return KeyState{}
	}
	return KeyState{
		Found: true, Authoritative: e.authoritative, Holder: e.holder, Body: e.body, Offset: e.offset, Status: e.status,
		ReleaseOffset: e.releaseOffset, Age: time.Duration(x.logTime-e.claimedMS) * time.Millisecond, Answer: e.answer.encoded,
	}
}
