package bundle

import (
	"crypto/ed25519"
	"testing"

	"github.com/pkg/errors"
)

// kim is a reviewer whose key was withdrawn: it is in formerly, not in trusted.
var (
	kim      = testKey("kim", 3)
	formerly = Trust{
		Authors:   trusted.Authors,
		Reviewers: map[string]ed25519.PublicKey{"ben": ben.Public(), "kim": kim.Public()},
	}
)

func hasKim(t Trust) bool {
	_, ok := t.Reviewers[kim.ID]
	return ok
}

// byKim returns the record with kim's signature in place of ben's.
func byKim(r *Record) *Record {
	return must(DecodeRecord(must(Review(must(NewDraft(r.Body, ana)), trusted.Authors, kim))))
}

// madeUp returns the record signed by a reviewer whom nobody ever trusted.
func madeUp(r *Record) *Record {
	return must(DecodeRecord(must(Review(must(NewDraft(r.Body, ana)), trusted.Authors, testKey("mallory", 4)))))
}

// withdrawn is a log on which version 1 is kim's, and all from version 2 on is not.
func withdrawn() (log *testLog, d *Record, writer *Chain) {
	g := byKim(snapshot(nil, "g"))
	s := snapshot(g, "s")
	d = delta(s, "d")
	log, writer = &testLog{}, NewChain(formerly)
	log.add(g.Raw(), s.Raw(), d.Raw())
	log.read(writer)
	return log, d, writer
}

// Symptom: after a signing key was withdrawn, restarted daemons stay unready although a checkpoint shows the version.
// Sequence: version 1 by the old key, a snapshot and a delta by the new one, a checkpoint; a daemon starts without the key.
// Cause: the start of the log is a base only for a reader that can judge it.
func TestWithdrawnKey(t *testing.T) {
	log, d, writer := withdrawn()
	log.add(must2(writer.Checkpoint()))
	e := delta(d, "e")
	log.add(e.Raw())
	c := NewChain(trusted)
	log.read(c)
	wantInForce(t, c, e)
	if !c.CaughtUp() {
		t.Error("the log does not show the version in force")
	}
}

// Symptom: a daemon that starts alone puts version 1 in force when 3 was.
// Sequence: as above without a usable checkpoint; another first version stands on the log, whole or as the loser of a race.
// Cause: the winner was taken for rubbish, so the next one on its parent seemed to win.
func TestWithdrawnKeyStartsNoSecondChain(t *testing.T) {
	h := snapshot(nil, "h")
	log, d, writer := withdrawn()
	log.add(h.Raw(), delta(h, "i").Raw())
	c := NewChain(trusted)
	log.read(c)
	wantInForce(t, c, nil)
	if c.CaughtUp() || c.Based() || !errors.Is(c.Lost(), ErrUntrusted) {
		t.Errorf("the log was judged past a record that cannot be judged: %v", c.Lost())
	}
	if _, err := NewChain(trusted).OfferLog(0, log.records[0]); !errors.Is(err, ErrUntrusted) {
		t.Errorf("what is logged of the record does not say that the log cannot be judged: %v", err)
	}
	log.read(writer)
	log.add(must2(writer.Checkpoint()))
	log.read(c)
	wantInForce(t, c, d)

	g := snapshot(nil, "g")
	w, l := byKim(delta(g, "w")), delta(g, "l")
	raced := &testLog{}
	raced.add(g.Raw(), w.Raw(), l.Raw())
	c = NewChain(trusted)
	raced.read(c)
	wantInForce(t, c, g)
}

// Symptom: anybody who can append a record with made-up signatures stops the whole fleet.
// Sequence: such a record is appended while a daemon runs; others restart then.
// Cause: only what stood on the log before a daemon started can have been judged by other keys. Whoever starts later
// needs a checkpoint or a peer's place from behind the record, which Doubt asks for.
func TestMadeUpRecord(t *testing.T) {
	g := snapshot(nil, "g")
	d := delta(g, "d")
	log := &testLog{}
	log.add(g.Raw())
	c := NewChain(trusted)
	c.Live(1)
	log.read(c)
	old := must2(c.Checkpoint())
	log.add(madeUp(delta(g, "x")).Raw(), old, d.Raw())
	wantVerdicts(t, log.read(c), Invalid, Confirmed, Adopted)
	if c.Doubt() != 2 {
		t.Errorf("a checkpoint is wanted from %d, not 2", c.Doubt())
	}

	late := NewChain(trusted)
	wantVerdicts(t, log.read(late), Adopted, Invalid, Stale, Gap)
	wantInForce(t, late, g)
	if v, err := late.Offer(d.Raw()); v != Adopted {
		t.Fatal(v, err)
	}
	if !late.SeekTo(c.View().Digest, c.View().Through) || !late.CaughtUp() {
		t.Error("a peer's place did not end the doubt")
	}
	log.add(must2(c.Checkpoint()))
	late = NewChain(trusted)
	log.read(late)
	wantInForce(t, late, d)
	if !late.CaughtUp() {
		t.Error("a later checkpoint did not end the doubt")
	}
}
