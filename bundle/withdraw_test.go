package bundle

import (
	"crypto/ed25519"
	"testing"

	"github.com/pkg/errors"
)

// kim is a reviewer whose key was withdrawn: trustWithKim are the trusted keys
// before the withdrawal, trusted those after it.
var (
	kim          = testKey("kim", 3)
	trustWithKim = Trust{
		Authors:   trusted.Authors,
		Reviewers: map[string]ed25519.PublicKey{"ben": ben.Public(), "kim": kim.Public()},
	}
)

// hasKim reports whether kim's key is trusted.
func hasKim(t Trust) bool {
	_, ok := t.Reviewers[kim.ID]
	return ok
}

// byKim returns a record with the same body as r, reviewed by kim instead of ben.
func byKim(r *Record) *Record {
	return must(DecodeRecord(must(Review(must(NewDraft(r.Body, ana)), trusted.Authors, kim))))
}

// signedByUntrusted returns a record with the same body as r, reviewed with a key
// that was never trusted.
func signedByUntrusted(r *Record) *Record {
	return must(DecodeRecord(must(Review(must(NewDraft(r.Body, ana)), trusted.Authors, testKey("mallory", 4)))))
}

// logWithWithdrawnKey returns a log with three versions, of which only the first
// was reviewed by kim; the last version; and a chain that trusts kim and has read
// the log.
func logWithWithdrawnKey() (log *testLog, d *Record, writer *Chain) {
	g := byKim(snapshot(nil, "g"))
	s := snapshot(g, "s")
	d = delta(s, "d")
	log, writer = &testLog{}, NewChain(trustWithKim)
	log.add(g.Raw(), s.Raw(), d.Raw())
	log.read(writer)
	return log, d, writer
}

// Version 1 was signed with a key that was withdrawn later, the versions after it
// with another key, and a checkpoint follows. A daemon that starts without the
// withdrawn key must adopt the checkpoint. If it kept the start of the log as its
// base, it would reject version 1, ignore the checkpoint and never become ready.
func TestWithdrawnKey(t *testing.T) {
	log, d, writer := logWithWithdrawnKey()
	log.add(mustOK(writer.Checkpoint()))
	e := delta(d, "e")
	log.add(e.Raw())
	c := NewChain(trusted)
	log.read(c)
	checkInForce(t, c, e)
	if !c.CaughtUp() {
		t.Error("the log does not show the version in force")
	}
}

// A record that won a race was signed with a key that was withdrawn later, and the
// log has no checkpoint after it. A daemon that starts without that key must not
// skip the winner as invalid, because it would then adopt the loser. The two cases
// are a second first version, and a second record on version 1.
func TestWithdrawnKeyStartsNoSecondChain(t *testing.T) {
	h := snapshot(nil, "h")
	log, d, writer := logWithWithdrawnKey()
	log.add(h.Raw(), delta(h, "i").Raw())
	c := NewChain(trusted)
	log.read(c)
	checkInForce(t, c, nil)
	if c.CaughtUp() || c.HasBase() || !errors.Is(c.NoBaseCause(), ErrUntrusted) {
		t.Errorf("records after one that cannot be evaluated were evaluated: %v", c.NoBaseCause())
	}
	if _, err := NewChain(trusted).OfferLog(0, log.records[0]); !errors.Is(err, ErrUntrusted) {
		t.Errorf("error %v, want ErrUntrusted", err)
	}
	log.read(writer)
	log.add(mustOK(writer.Checkpoint()))
	log.read(c)
	checkInForce(t, c, d)

	g := snapshot(nil, "g")
	w, l := byKim(delta(g, "w")), delta(g, "l")
	raced := &testLog{}
	raced.add(g.Raw(), w.Raw(), l.Raw())
	c = NewChain(trusted)
	raced.read(c)
	checkInForce(t, c, g)
}

// Somebody who can append to the log, but has no trusted key, must not be able to
// stop all daemons with a wrongly signed record. A running daemon skips such a
// record: under keys withdrawn since, only records that were on the log before the
// daemon started can have been adopted. A daemon that starts after the append
// cannot skip it, and needs a checkpoint or a peer's position that covers it; Doubt
// returns the lowest offset that these must reach.
func TestMadeUpRecord(t *testing.T) {
	g := snapshot(nil, "g")
	d := delta(g, "d")
	log := &testLog{}
	log.add(g.Raw())
	c := NewChain(trusted)
	c.SetStartEnd(1)
	log.read(c)
	old := mustOK(c.Checkpoint())
	log.add(signedByUntrusted(delta(g, "x")).Raw(), old, d.Raw())
	checkVerdicts(t, log.read(c), Invalid, Confirmed, Adopted)
	if c.UnverifiedEnd() != 2 {
		t.Errorf("UnverifiedEnd returns %d, want 2", c.UnverifiedEnd())
	}

	late := NewChain(trusted)
	checkVerdicts(t, log.read(late), Adopted, Invalid, Stale, Gap)
	checkInForce(t, late, g)
	if v, err := late.Offer(d.Raw()); v != Adopted {
		t.Fatal(v, err)
	}
	if !late.SeekTo(c.View().Digest, c.View().Through) || !late.CaughtUp() {
		t.Error("a peer's position after the record did not become the base")
	}
	log.add(mustOK(c.Checkpoint()))
	late = NewChain(trusted)
	log.read(late)
	checkInForce(t, late, d)
	if !late.CaughtUp() {
		t.Error("a checkpoint after the record did not become the base")
	}
}
