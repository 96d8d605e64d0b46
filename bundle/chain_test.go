package bundle

import (
	"crypto/ed25519"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

var (
	ana, ben = testKey("ana", 1), testKey("ben", 2)
	trusted  = Trust{
		Authors:   map[string]ed25519.PublicKey{"ana": ana.Public(), "ben": ben.Public()},
		Reviewers: map[string]ed25519.PublicKey{"ana": ana.Public(), "ben": ben.Public(), "ana-2": ana.Public()},
	}
)

func testKey(id string, seed byte) Key {
	b := make([]byte, ed25519.SeedSize)
	b[0] = seed
	return Key{ID: id, Private: ed25519.NewKeyFromSeed(b)}
}

// testBundle is the smallest valid bundle with one team, whose name makes it distinct.
func testBundle(team string) *Bundle {
	return &Bundle{
		Teams:   map[string]Team{team: {Weight: 1, Class: Draft}},
		Classes: map[Class]ClassTarget{Draft: {FirstTokenMillis: 1, BetweenTokensMillis: 1, DeadlineMillis: 1}},
		Policy:  PolicyConfig{MaxAttempts: 1},
	}
}

// must returns v; err is of the test's own making.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// signed returns a record on a parent; name makes its content distinct.
func signed(kind Kind, parent *Record, name string) *Record {
	b := Body{Number: 1, Kind: kind}
	if parent != nil {
		b.Number, b.ParentNumber, b.ParentDigest = parent.Number+1, parent.Number, parent.Digest()
	}
	if kind == KindSnapshot {
		b.Payload = must(EncodeBundle(testBundle(name)))
	} else {
		b.Payload = must(EncodeDelta(Delta{Ops: []Op{{Action: Upsert, Section: SectionTeam, Name: name, Team: &Team{Weight: 1, Class: Draft}}}}))
	}
	return must(DecodeRecord(must(Review(must(NewDraft(b, ana)), trusted.Authors, ben))))
}

func snapshot(parent *Record, name string) *Record { return signed(KindSnapshot, parent, name) }
func delta(parent *Record, name string) *Record    { return signed(KindDelta, parent, name) }

// testLog is an append-only log that can be trimmed.
type testLog struct {
	first   uint64
	records [][]byte // from offset 0
}

func (l *testLog) add(records ...[]byte) {
	l.records = append(l.records, records...)
}

func (l *testLog) trim(first uint64) { l.first = first }

// read offers the chain all it has not seen, and returns the verdicts of the records.
func (l *testLog) read(c *Chain) []Verdict {
	var out []Verdict
	for {
		if c.Next() < l.first {
			c.Trimmed(l.first)
		}
		if c.Next() >= uint64(len(l.records)) {
			return out
		}
		v, err := c.OfferLog(c.Next(), l.records[c.Next()])
		if errors.Is(err, ErrConflict) {
			panic(err)
		}
		out = append(out, v)
	}
}

// digestOf returns the digest in force, or zero.
func digestOf(c *Chain) Digest { return c.inForce.digest() }

func wantInForce(t *testing.T, c *Chain, want *Record) {
	t.Helper()
	var digest Digest
	var number uint64
	if want != nil {
		digest, number = want.Digest(), want.Number
	}
	if c.inForce.number() != number || digestOf(c) != digest {
		t.Errorf("version %d (%.6x) is in force, want %d (%.6x)", c.inForce.number(), digestOf(c), number, digest)
	}
}

func wantVerdicts(t *testing.T, got []Verdict, want ...Verdict) {
	t.Helper()
	if diff := cmp.Diff(fmt.Sprint(want), fmt.Sprint(got)); diff != "" {
		t.Errorf("verdicts: %s", diff)
	}
}

func TestRace(t *testing.T) {
	g := snapshot(nil, "g")
	w, l := delta(g, "w"), delta(g, "l")
	child, orphan := delta(w, "c"), delta(l, "o")
	var log testLog
	log.add(g.Raw(), w.Raw(), l.Raw(), w.Raw(), orphan.Raw(), child.Raw(), g.Raw(), l.Raw())
	c := NewChain(trusted)
	wantVerdicts(t, log.read(c), Adopted, Adopted, LostRace, Duplicate, Stale, Adopted, Duplicate, LostRace)
	wantInForce(t, c, child)
	if _, ok := c.InForce().Bundle.Teams["w"]; !ok {
		t.Error("the winner's change is missing")
	}
}

// Symptom: a fresh daemon runs another version than all others.
// Sequence: two racers; retention drops the winner but keeps the loser, which was appended later.
// Cause: a record that extends a known parent is no proof that it won; only a base that covers its place is.
func TestTrimmedWinner(t *testing.T) {
	g := snapshot(nil, "g")
	w, l := snapshot(g, "w"), snapshot(g, "l")
	for _, tt := range []struct {
		name string
		seen *Record // what the daemon had in force before
	}{{"fresh", nil}, {"frozen for long", g}} {
		t.Run(tt.name, func(t *testing.T) {
			var log testLog
			log.add(g.Raw())
			c := NewChain(trusted)
			if tt.seen != nil {
				log.read(c)
			}
			log.add(w.Raw(), l.Raw())
			other := NewChain(trusted)
			log.read(other)
			log.trim(2)
			log.read(c)
			wantInForce(t, c, tt.seen)
			log.add(must2(other.Checkpoint()))
			log.read(c)
			wantInForce(t, c, w)
		})
	}
}

func must2[T any](v T, ok bool) T {
	if !ok {
		panic("not ok")
	}
	return v
}

// Symptom: a fresh daemon takes the loser although it started from a checkpoint.
// Sequence: a daemon makes a checkpoint of version 1 and freezes in the append; versions w and l race; w is
// trimmed; the append lands after l's.
// Cause: a checkpoint says nothing about records between what its writer had read and where it stands.
func TestDelayedCheckpoint(t *testing.T) {
	g := snapshot(nil, "g")
	w, l := snapshot(g, "w"), snapshot(g, "l")
	var log testLog
	log.add(g.Raw())
	writer := NewChain(trusted)
	log.read(writer)
	late := must2(writer.Checkpoint())
	log.add(w.Raw(), late, l.Raw())
	log.read(writer)

	reader := NewChain(trusted)
	log.trim(1)
	wantVerdicts(t, log.read(reader), Gap, Base, Adopted, Stale, LostRace)
	wantInForce(t, reader, w)

	reader = NewChain(trusted)
	log.trim(2)
	wantVerdicts(t, log.read(reader), Stale, Gap)
	wantInForce(t, reader, nil)
	log.add(must2(writer.Checkpoint()))
	log.read(reader)
	wantInForce(t, reader, w)
}

// Symptom: a daemon that heard of a version from a peer adopts a child of it that lost everywhere else.
// Sequence: a child is published before its parent; a peer brings the parent early; the daemon reads the log.
// Cause: log records must be judged by the log's own state, not by what a peer brought.
func TestChildBeforeParent(t *testing.T) {
	g := snapshot(nil, "g")
	w := delta(g, "w")
	early, child := delta(w, "early"), delta(w, "child")
	var log testLog
	log.add(g.Raw(), early.Raw(), w.Raw(), child.Raw())
	plain, told := NewChain(trusted), NewChain(trusted)
	wantVerdicts(t, log.read(plain), Adopted, Gap, Adopted, Adopted)
	for _, r := range plain.RecordsAfter(0)[:2] {
		if v, err := told.Offer(r); v != Adopted {
			t.Fatal(v, err)
		}
	}
	wantVerdicts(t, log.read(told), Duplicate, Gap, Duplicate, Adopted)
	wantInForce(t, told, child)
	wantInForce(t, plain, child)
}

func TestPeerWord(t *testing.T) {
	g := snapshot(nil, "g")
	w := delta(g, "w")
	s := snapshot(w, "s")
	d := delta(s, "d")
	other := delta(g, "other")
	c := NewChain(trusted)
	steps := []struct {
		name   string
		record []byte
		want   Verdict
		force  *Record
		is     error
	}{
		{"delta without base", w.Raw(), Gap, nil, nil},
		{"first", g.Raw(), Adopted, g, nil},
		{"again", g.Raw(), Duplicate, g, nil},
		{"tampered", tamper(w.Raw()), Invalid, g, nil},
		{"next", w.Raw(), Adopted, w, nil},
		{"another for an adopted number", other.Raw(), Invalid, w, ErrConflict},
		{"older", g.Raw(), Duplicate, w, nil},
		{"child of a child unknown", d.Raw(), Gap, w, nil},
		{"snapshot ahead", snapshot(d, "s2").Raw(), Adopted, snapshot(d, "s2"), nil},
		{"behind", d.Raw(), Stale, snapshot(d, "s2"), nil},
		{"rubbish", []byte("rubbish"), Invalid, snapshot(d, "s2"), nil},
	}
	for _, s := range steps {
		v, err := c.Offer(s.record)
		if v != s.want || s.is != nil && !errors.Is(err, s.is) {
			t.Errorf("%s: %s, %v; want %s", s.name, v, err, s.want)
		}
		wantInForce(t, c, s.force)
	}
}

// tamper flips a bit in the middle of a record.
func tamper(raw []byte) []byte {
	out := append([]byte(nil), raw...)
	out[len(out)/2] ^= 1
	return out
}

// Symptom: a fresh daemon that started from a peer reads hours of the log again, or never adopts from it.
// Sequence: the log is trimmed and holds no checkpoint; a peer tells its version and its place on the log.
// Cause: a peer's place is as good a base as a checkpoint, for its version alone and if the log still keeps it.
func TestSeekTo(t *testing.T) {
	g := snapshot(nil, "g")
	a := delta(g, "a")
	b := delta(a, "b")
	var log testLog
	log.add(g.Raw(), a.Raw())
	peer, c := NewChain(trusted), NewChain(trusted)
	log.read(peer)
	log.trim(1)
	log.read(c)
	if c.SeekTo(peer.View().Digest, peer.View().Through) {
		t.Error("took a place for a version it does not have")
	}
	for _, r := range peer.RecordsAfter(0) {
		c.Offer(r)
	}
	if c.SeekTo(peer.View().Digest, 0) {
		t.Error("took a place that the log no longer keeps")
	}
	log.add(b.Raw())
	if log.read(c); c.SeekTo(g.Digest(), 2) || !c.SeekTo(peer.View().Digest, peer.View().Through) {
		t.Error("the peer's place was not taken as its own version's")
	}
	wantVerdicts(t, log.read(c), Adopted)
	wantInForce(t, c, b)
}

func TestOfferLogOutOfOrder(t *testing.T) {
	g := snapshot(nil, "g")
	c := NewChain(trusted)
	if v, err := c.OfferLog(1, g.Raw()); v != Invalid || !errors.Is(err, ErrOrder) {
		t.Error(v, err)
	}
	wantInForce(t, c, nil)
}

// Symptom: during a rolling upgrade old daemons adopt the loser of a race.
// Sequence: a record of a later format wins on the log; a record of today's format follows on the same parent.
// Cause: a release that cannot read the winner must not judge what follows it.
func TestLaterFormat(t *testing.T) {
	g := snapshot(nil, "g")
	later := func(format uint8) []byte {
		b := Body{Format: format, Number: 2, ParentNumber: 1, ParentDigest: g.Digest(), Kind: KindDelta, Author: "ana"}
		return resign(b, ana, ben)
	}
	var log testLog
	log.add(g.Raw(), later(Format+1), delta(g, "l").Raw())
	c := NewChain(trusted)
	wantVerdicts(t, log.read(c), Adopted, Unsupported, Gap)
	wantInForce(t, c, g)
}

// Symptom: a checkpoint no longer fits a log record, and no daemon can start.
// Sequence: only deltas are published, for weeks.
// Cause: the length of a lineage is a rule of the format; a snapshot must follow in time.
func TestLineageBound(t *testing.T) {
	g := snapshot(nil, "g")
	c := NewChain(trusted)
	c.Offer(g.Raw())
	c.inForce.size = MaxLineage
	d := delta(g, "d")
	if v, err := c.Offer(d.Raw()); v != Invalid {
		t.Error("a delta was taken on a full lineage", v, err)
	}
	if v, err := c.Offer(snapshot(g, "s").Raw()); v != Adopted || len(c.RecordsAfter(0)) != 1 {
		t.Error("a snapshot was refused", v, err)
	}
}
