package bundle

import (
	"math"

	"github.com/pkg/errors"
)

// Verdict is what a Chain made of a record.
type Verdict int

// The verdicts. Invalid is the zero value, so that a verdict nobody set is never a yes.
const (
	// Invalid: malformed, signature wrong, or its content breaks a rule.
	Invalid Verdict = iota
	// Adopted: it was the next version.
	Adopted
	// Duplicate: already adopted; nothing changes.
	Duplicate
	// LostRace: another record that extends the same parent came first.
	LostRace
	// Stale: extends a version that is long past, or that was never in force.
	Stale
	// Gap: its parent is not known here, or it stands on the log before its parent.
	Gap
	// Unsupported: properly signed and next, but of a later release's format.
	// Nothing more is adopted from the log until a checkpoint shows the way.
	Unsupported
	// Base: a checkpoint that was taken as the base; reading goes on at Next.
	Base
	// Confirmed: a checkpoint that agrees with what is known.
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

// ErrConflict says that the log, a peer or a checkpoint names another record
// than the one adopted here for the same number. Honest daemons with the same
// keys never disagree, so it calls for a person; the version in force stays.
var ErrConflict = errors.New("another record was adopted for this number")

// ErrOrder says that a log record was offered at another offset than Next.
var ErrOrder = errors.New("log record offered out of order")

// Chain decides which version is in force. The log is the judge: the first
// valid record in log order that extends the version in force at its place
// wins. A Chain does no I/O and is not safe for concurrent use; what InForce
// and View return is immutable.
//
// The log's own state is kept apart from the version in force, because a
// peer can bring a version before its record is read here. Were log
// records judged by the version in force, a record that stands before its
// parent would win here and lose everywhere else. The version in force is the
// higher of the two and never goes back.
type Chain struct {
	trust   Trust
	inForce lineage

	// log is the state that the records below next define. It counts only while
	// based is set. It is cleared when records were trimmed unread: a later child
	// of the version in force may be the loser of a race whose winner is gone.
	log   lineage
	based bool
	// lost says why there is no base; nil when there is one.
	lost error
	// live is the log's end when this chain began to read. What stands from there
	// on was judged by everybody with the keys of today.
	live uint64
	// doubt is the offset after the last record that a reader who starts now cannot judge.
	doubt uint64
	// next is the offset wanted from the log. Every record from covered up to
	// next was offered in order. first is the oldest offset the log is known to keep.
	next, covered, first uint64
}

// NewChain returns a chain that wants the log from offset 0. The start of the
// log is a base: nothing was in force before it. Until Live is called, every
// record counts as one that may have been judged by other keys.
func NewChain(trust Trust) *Chain {
	return &Chain{trust: trust, based: true, live: math.MaxUint64}
}

// Live tells the chain where the log ended at its first read. Later calls change nothing.
func (c *Chain) Live(end uint64) {
	if c.live == math.MaxUint64 {
		c.live = end
	}
}

// InForce returns the version in force, or nil before the first.
func (c *Chain) InForce() *Version { return c.inForce.version }

// Next returns the offset that OfferLog wants next. It moves back when a
// checkpoint is taken as the base.
func (c *Chain) Next() uint64 { return c.next }

// Based reports whether the chain can adopt from the log.
func (c *Chain) Based() bool { return c.based }

// Lost says why the chain cannot adopt from the log; nil when it can. It wraps
// ErrUntrusted when that is because of a record signed by keys that are not trusted.
func (c *Chain) Lost() error { return c.lost }

// Doubt returns the offset after the last record that a daemon which starts now
// cannot judge, or 0. Such a daemon needs a checkpoint that speaks from there or later.
func (c *Chain) Doubt() uint64 { return c.doubt }

// CaughtUp reports whether the log as read so far shows the version in force.
func (c *Chain) CaughtUp() bool {
	return c.based && c.InForce() != nil && c.log.digest() == c.inForce.digest()
}

// Offer judges a record that a peer says it has adopted. The caller vouches for
// the peer; signatures and content are checked here all the same.
func (c *Chain) Offer(record []byte) (Verdict, error) {
	r, err := DecodeRecord(record)
	if err != nil {
		return Invalid, err
	}
	if c.inForce.holds(r) {
		return Duplicate, nil
	}
	if err := r.Verify(c.trust); err != nil {
		return invalid(err)
	}
	if v, err := c.placePeer(r); v != Adopted {
		return v, err
	}
	next, err := c.inForce.extend(r)
	if err != nil {
		return Invalid, err
	}
	c.inForce = next
	return Adopted, nil
}

// placePeer says whether a verified record from a peer moves the chain forward.
func (c *Chain) placePeer(r *Record) (Verdict, error) {
	number := c.inForce.number()
	switch {
	case c.inForce.conflicts(r):
		return Invalid, errors.Wrapf(ErrConflict, "number %d", r.Number)
	case r.Number <= number:
		return Stale, errors.Errorf("number %d is behind %d", r.Number, number)
	case r.Number == number+1 && r.ParentDigest != c.inForce.digest():
		return Invalid, errors.Wrapf(ErrConflict, "number %d", number)
	case r.Number > number+1 && r.Kind == KindDelta:
		return Gap, errors.Errorf("number %d needs the versions after %d", r.Number, number)
	}
	return Adopted, nil
}

// Trimmed tells the chain that the log keeps nothing below offset first. If
// records were missed, it adopts from the log again only from a new base.
func (c *Chain) Trimmed(first uint64) {
	c.first = max(c.first, first)
	if first <= c.next {
		return
	}
	c.next = first
	c.lose(errors.Errorf("records below offset %d were dropped unread", first))
}

// lose gives up the log's state: what is judged from here on needs a new base.
func (c *Chain) lose(cause error) {
	c.based = false
	c.lost = cause
	c.log = lineage{}
	c.covered = c.next
}

// OfferLog judges the record at an offset of the log, which must be Next. All
// records must be offered, also those that are not for the chain.
func (c *Chain) OfferLog(offset uint64, record []byte) (Verdict, error) {
	if offset != c.next {
		return Invalid, errors.Wrapf(ErrOrder, "got %d, want %d", offset, c.next)
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
		return c.judgeUnbased(r)
	}
	return c.judgeLog(offset, r)
}

// judgeUnbased never adopts: the winner of the race that this record took part
// in may have been trimmed.
func (c *Chain) judgeUnbased(r *Record) (Verdict, error) {
	if c.inForce.holds(r) {
		return Duplicate, nil
	}
	if r.Number <= c.inForce.number() {
		return Stale, nil
	}
	return Gap, errors.New("no checkpoint says which version was in force here")
}

// judgeLog judges a record by the log's own state and moves that state.
func (c *Chain) judgeLog(offset uint64, r *Record) (Verdict, error) {
	if c.log.holds(r) {
		return Duplicate, nil
	}
	number := c.log.number()
	next := r.Number == number+1 && r.ParentDigest == c.log.digest()
	if err := r.Verify(c.trust); err != nil {
		if next {
			err = c.passNext(offset, r, err)
		}
		return invalid(err)
	}
	switch {
	case r.Number <= number:
		return c.judgePast(r), nil
	case r.Number > number+1:
		return Gap, errors.Errorf("number %d stands before its parent", r.Number)
	case !next:
		return Stale, errors.Errorf("its parent never was version %d", r.ParentNumber)
	}
	state, err := c.log.extend(r)
	if err != nil {
		return Invalid, err
	}
	return c.advance(state, r)
}

// passNext is called with a record that would be the next version but does not
// verify, and returns why it is passed over.
//
// One of a later format is adopted by a later release, so what follows is not
// ours to judge. One that stood here before this chain read may have been
// adopted by a key that was withdrawn since. Were it passed over as rubbish,
// the loser of its race, or another first version, would win here. One would
// notice a daemon with an older version than its peers. It is rubbish when it
// came later: else anybody who can append would stop all daemons.
func (c *Chain) passNext(offset uint64, r *Record, err error) error {
	if errors.Is(err, ErrUnsupported) {
		c.lose(err)
		return err
	}
	if !r.onlyKeysDecide() {
		return err
	}
	c.doubt = max(c.doubt, offset+1)
	if offset >= c.live {
		return err
	}
	c.lose(&untrustedError{offset: offset, cause: err})
	return c.lost
}

// judgePast names what a record is whose number is already taken on the log.
func (c *Chain) judgePast(r *Record) Verdict {
	winner, ok := c.log.find(r.Number)
	if ok && winner.parent == r.ParentDigest {
		return LostRace
	}
	return Stale
}

// advance moves the log's state to one that record r made.
func (c *Chain) advance(state lineage, r *Record) (Verdict, error) {
	c.log = state
	if r.Number > c.inForce.number() {
		c.inForce = state
		return Adopted, nil
	}
	if c.inForce.conflicts(r) {
		return Invalid, errors.Wrapf(ErrConflict, "number %d", r.Number)
	}
	return Duplicate, nil
}

// SeekTo takes a peer's place on the log as the base: the version of that digest,
// which must be the one in force here, was in force after all log records
// below offset. It reports whether it helped: it is refused for another
// version, for records that the log no longer keeps, and when the chain is as
// far already.
func (c *Chain) SeekTo(digest Digest, offset uint64) bool {
	if c.InForce() == nil || digest != c.inForce.digest() || offset < c.first {
		return false
	}
	if c.based && offset <= c.next {
		return false
	}
	c.rebase(c.inForce, offset)
	return true
}

// rebase makes a state the log's state at an offset.
func (c *Chain) rebase(state lineage, offset uint64) {
	c.log = state
	c.based = true
	c.lost = nil
	c.next = offset
	c.covered = offset
}

func invalid(err error) (Verdict, error) {
	if errors.Is(err, ErrUnsupported) {
		return Unsupported, err
	}
	return Invalid, err
}
