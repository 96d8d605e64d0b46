package bundle

import (
	"math"

	"github.com/pkg/errors"
)

// Verdict is the result of offering a record or a checkpoint to a Chain.
type Verdict int

// The verdicts. Invalid is the zero value, so that an unset verdict never accepts a record.
const (
	// Invalid: the record is malformed, a signature does not verify, the content
	// breaks a rule, or another record was adopted for the same number.
	Invalid Verdict = iota
	// Adopted: the record is now the version in force.
	Adopted
	// Duplicate: the record was adopted before; nothing changes.
	Duplicate
	// LostRace: an earlier record on the log extends the same parent.
	LostRace
	// Stale: the record's number was reached before, or its parent was never in
	// force. For a checkpoint: its Through offset is below the first log record that
	// was read, or one of its records is not part of the state derived from the log.
	Stale
	// Gap: the record's parent has not been adopted, or comes after it on the log.
	Gap
	// Unsupported: the record is correctly signed, but in the format of a later
	// release. When it is the next version on the log, nothing more is adopted
	// from the log until a checkpoint or a peer provides a new base.
	Unsupported
	// Base: the checkpoint became the base; the log is read again from Next.
	Base
	// Confirmed: the checkpoint matches the state derived from the log.
	Confirmed
)

var verdictNames = [...]string{
	"invalid", "adopted", "duplicate", "lost-race", "stale", "gap", "unsupported", "base", "confirmed",
}

// String implements fmt.Stringer.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[v]
}

// ErrConflict is returned when the log, a peer or a checkpoint has a different
// record than the one adopted here for the same number. Correct daemons with
// the same keys never disagree, so an operator must investigate; the version in
// force is kept.
var ErrConflict = errors.New("another record was adopted for this number")

// ErrOutOfOrder is returned when a log record is offered at an offset other than Next.
var ErrOutOfOrder = errors.New("log record offered out of order")

// Chain decides which version is in force. The order of the log decides: the
// first valid record that extends the version in force at its offset wins. A
// Chain does no I/O and is not safe for concurrent use; the values returned by
// InForce and View are immutable.
//
// The chain can adopt from the log only while it has a base, which is an offset
// together with the version that was in force there. A base is the start of the
// log, a checkpoint, or a position reported by a peer.
//
// The state derived from the log is kept apart from the version in force,
// because a peer can deliver a version before its record is read from the log.
// If log records were compared with the version in force, a record that
// precedes its parent on the log would win here and lose on all other daemons.
// The version in force is the higher of the two and never goes back.
type Chain struct {
	trust   Trust
	inForce lineage

	// log is the state after all log records below next. It is valid only while
	// based is set, and cleared when the base is lost. It cannot be kept after the
	// log dropped unread records, because a later child of the version in force may
	// be the loser of a race whose winner was dropped.
	log   lineage
	based bool
	// noBaseCause is why there is no base; nil when there is one.
	noBaseCause error
	// startEnd is the end of the log at this chain's first read. All running
	// daemons evaluated the records from there on with the current keys.
	startEnd uint64
	// unverifiedEnd is the offset after the last record whose validity depends on
	// keys that are not trusted, or 0. A daemon that starts now cannot evaluate it.
	unverifiedEnd uint64
	// next is the offset of the next log record to offer. All records from covered
	// up to next were offered in order. oldest is the oldest offset that the log
	// is known to retain.
	next, covered, oldest uint64
}

// NewChain returns a chain that reads the log from offset 0. The start of the
// log is a base: nothing was in force before it. Until SetStartEnd is called, every
// record counts as one that may have been adopted under other keys.
func NewChain(trust Trust) *Chain {
	return &Chain{trust: trust, based: true, startEnd: math.MaxUint64}
}

// SetStartEnd sets the end of the log at the first read. Later calls have no effect.
func (c *Chain) SetStartEnd(end uint64) {
	if c.startEnd == math.MaxUint64 {
		c.startEnd = end
	}
}

// InForce returns the version in force, or nil before the first.
func (c *Chain) InForce() *Version { return c.inForce.version }

// Next returns the offset that OfferLog expects next. It moves back when a
// checkpoint becomes the base.
func (c *Chain) Next() uint64 { return c.next }

// HasBase reports whether the chain can adopt from the log.
func (c *Chain) HasBase() bool { return c.based }

// NoBaseCause returns why the chain cannot adopt from the log; nil when it can. The
// error wraps ErrUntrusted when the cause is a record signed with a key that is
// not trusted.
func (c *Chain) NoBaseCause() error { return c.noBaseCause }

// UnverifiedEnd returns the offset after the last record whose validity depends on keys
// that are not trusted, or 0. A daemon that starts now cannot evaluate that
// record: it needs a checkpoint whose Through is this offset or higher.
func (c *Chain) UnverifiedEnd() uint64 { return c.unverifiedEnd }

// CaughtUp reports whether the chain has a base and the log as read so far
// yields the version in force.
func (c *Chain) CaughtUp() bool {
	return c.based && c.InForce() != nil && c.log.digest() == c.inForce.digest()
}

// Offer evaluates a record that a peer reports as adopted, and adopts it if it
// is newer than the version in force. The caller must have authenticated the
// peer; signatures and content are checked here nonetheless.
func (c *Chain) Offer(record []byte) (Verdict, error) {
	r, err := DecodeRecord(record)
	if err != nil {
		return Invalid, err
	}
	if c.inForce.contains(r) {
		return Duplicate, nil
	}
	if err := r.Verify(c.trust); err != nil {
		return rejection(err)
	}
	if v, err := c.classifyPeerRecord(r); v != Adopted {
		return v, err
	}
	next, err := c.inForce.extend(r)
	if err != nil {
		return Invalid, err
	}
	c.inForce = next
	return Adopted, nil
}

// classifyPeerRecord returns Adopted if a verified record from a peer can be
// adopted, and otherwise the verdict and the reason.
func (c *Chain) classifyPeerRecord(r *Record) (Verdict, error) {
	number := c.inForce.number()
	switch {
	case c.inForce.conflictsWith(r):
		return Invalid, errors.Wrapf(ErrConflict, "number %d", r.Number)
	case r.Number <= number:
		return Stale, errors.Errorf("version %d is older than version %d, which is in force", r.Number, number)
	case r.Number == number+1 && r.ParentDigest != c.inForce.digest():
		return Invalid, errors.Wrapf(ErrConflict, "number %d", number)
	case r.Number > number+1 && r.Kind == KindDelta:
		return Gap, errors.Errorf("delta %d needs the versions after %d, which were not received", r.Number, number)
	}
	return Adopted, nil
}

// Trimmed notifies the chain that the log retains nothing below offset first. If
// records were dropped before they were read, the chain needs a new base before it
// adopts from the log again.
func (c *Chain) Trimmed(first uint64) {
	c.oldest = max(c.oldest, first)
	if first <= c.next {
		return
	}
	c.next = first
	c.dropBase(errors.Errorf("the log dropped records below offset %d before they were read", first))
}

// dropBase discards the state derived from the log. A new base is needed before
// the chain adopts from the log again.
func (c *Chain) dropBase(cause error) {
	c.based = false
	c.noBaseCause = cause
	c.log = lineage{}
	c.covered = c.next
}

// OfferLog evaluates the record at an offset of the log, which must be Next.
// Every entry of the log must be offered, including malformed ones.
func (c *Chain) OfferLog(offset uint64, record []byte) (Verdict, error) {
	if offset != c.next {
		return Invalid, errors.Wrapf(ErrOutOfOrder, "got %d, want %d", offset, c.next)
	}
	c.next++
	if isCheckpoint(record) {
		return c.offerCheckpoint(offset, record)
	}
	r, err := DecodeRecord(record)
	if err != nil {
		return Invalid, err
	}
	if !c.based {
		return c.classifyWithoutBase(r)
	}
	return c.evaluateLogRecord(offset, r)
}

// classifyWithoutBase returns the verdict on a log record while there is no base.
// It never adopts: the log may have dropped an earlier record with the same parent.
func (c *Chain) classifyWithoutBase(r *Record) (Verdict, error) {
	if c.inForce.contains(r) {
		return Duplicate, nil
	}
	if r.Number <= c.inForce.number() {
		return Stale, nil
	}
	return Gap, errors.New("no base: the version in force at this offset is unknown")
}

// evaluateLogRecord compares a record with the state derived from the log and
// updates that state if the record is the next version.
func (c *Chain) evaluateLogRecord(offset uint64, r *Record) (Verdict, error) {
	if c.log.contains(r) {
		return Duplicate, nil
	}
	number := c.log.number()
	next := r.Number == number+1 && r.ParentDigest == c.log.digest()
	if err := r.Verify(c.trust); err != nil {
		if next {
			err = c.rejectNext(offset, r, err)
		}
		return rejection(err)
	}
	switch {
	case r.Number <= number:
		return c.classifySuperseded(r), nil
	case r.Number > number+1:
		return Gap, errors.Errorf("version %d precedes its parent on the log", r.Number)
	case !next:
		return Stale, errors.Errorf("its parent was never in force as version %d", r.ParentNumber)
	}
	state, err := c.log.extend(r)
	if err != nil {
		return Invalid, err
	}
	return c.advance(state, r)
}

// rejectNext handles a log record that has the number and parent of the next
// version but does not verify. It returns the reason why it is not adopted.
//
// If the record has a later format, daemons of a later release adopt it, so
// this chain cannot evaluate the records after it and drops its base.
//
// If only an untrusted key makes the record invalid and it was on the log before
// this chain's first read, it may have been adopted under a key that was
// withdrawn since. The chain drops its base: skipping the record could let the
// loser of its race, or another first version, win here, and this daemon would
// run an older version than its peers. Such a record appended after the first
// read is only skipped, because otherwise anybody who can append to the log
// could stop all daemons.
func (c *Chain) rejectNext(offset uint64, r *Record, err error) error {
	if errors.Is(err, ErrUnsupported) {
		c.dropBase(err)
		return err
	}
	if !r.validUnderOtherKeys() {
		return err
	}
	c.unverifiedEnd = max(c.unverifiedEnd, offset+1)
	if offset >= c.startEnd {
		return err
	}
	c.dropBase(&untrustedError{offset: offset, cause: err})
	return c.noBaseCause
}

// classifySuperseded returns the verdict on a record whose number was already
// reached on the log.
func (c *Chain) classifySuperseded(r *Record) Verdict {
	winner, ok := c.log.find(r.Number)
	if ok && winner.parent == r.ParentDigest {
		return LostRace
	}
	return Stale
}

// advance sets the state derived from the log to state, whose last record is r.
// It adopts r if its number is higher than that of the version in force.
func (c *Chain) advance(state lineage, r *Record) (Verdict, error) {
	c.log = state
	if r.Number > c.inForce.number() {
		c.inForce = state
		return Adopted, nil
	}
	if c.inForce.conflictsWith(r) {
		return Invalid, errors.Wrapf(ErrConflict, "number %d", r.Number)
	}
	return Duplicate, nil
}

// SeekTo uses a position reported by a peer as the base: the version with that
// digest was in force after all log records below offset. It returns false and
// changes nothing if that version is not in force here, if the log no longer
// retains the records from offset on, or if the chain has a base and has read up
// to offset already.
func (c *Chain) SeekTo(digest Digest, offset uint64) bool {
	if c.InForce() == nil || digest != c.inForce.digest() || offset < c.oldest {
		return false
	}
	if c.based && offset <= c.next {
		return false
	}
	c.rebase(c.inForce, offset)
	return true
}

// rebase sets the base: the state derived from all log records below offset.
func (c *Chain) rebase(state lineage, offset uint64) {
	c.log = state
	c.based = true
	c.noBaseCause = nil
	c.next = offset
	c.covered = offset
}

// rejection returns the verdict for a verification error, together with that error.
func rejection(err error) (Verdict, error) {
	if errors.Is(err, ErrUnsupported) {
		return Unsupported, err
	}
	return Invalid, err
}
