package bundle

import (
	"crypto/ed25519"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

// ana and ben may both write and review records; ana-2 is a second id of ana's
// reviewer key.
var (
	ana, ben = testKey("ana", 1), testKey("ben", 2)
	trusted  = Trust{
		Authors:   map[string]ed25519.PublicKey{"ana": ana.Public(), "ben": ben.Public()},
		Reviewers: map[string]ed25519.PublicKey{"ana": ana.Public(), "ben": ben.Public(), "ana-2": ana.Public()},
	}
)

// testKey returns a key that is derived from a seed.
func testKey(id string, seed byte) Key {
	b := make([]byte, ed25519.SeedSize)
	b[0] = seed
	return Key{ID: id, Private: ed25519.NewKeyFromSeed(b)}
}

// testBundle returns a minimal valid bundle with one team. Bundles with different
// team names differ in content.
func testBundle(team string) *Bundle {
	return &Bundle{
		Teams:   map[string]Team{team: {Weight: 1, Class: Draft}},
		Classes: map[Class]ClassTarget{Draft: {FirstTokenMillis: 1, BetweenTokensMillis: 1, DeadlineMillis: 1}},
		Policy:  PolicyConfig{MaxAttempts: 1},
	}
}

// must returns v and panics on an error, which only a mistake in the test causes.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// signed returns a record that extends parent, or a first version if parent is
// nil. It is signed by ana and reviewed by ben. Records with different names
// differ in content.
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

// testLog is an append-only log in memory that can be trimmed.
type testLog struct {
	first   uint64   // the oldest offset that is retained
	records [][]byte // from offset 0, including the trimmed ones
}

func (l *testLog) add(records ...[]byte) {
	l.records = append(l.records, records...)
}

func (l *testLog) trim(first uint64) { l.first = first }

// read offers the chain all records up to the end of the log and returns their verdicts.
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

// inForceDigest returns the digest of the version in force, or the zero digest.
func inForceDigest(c *Chain) Digest { return c.inForce.digest() }

// checkInForce checks that want is in force, or no version if want is nil.
func checkInForce(t *testing.T, c *Chain, want *Record) {
	t.Helper()
	var digest Digest
	var number uint64
	if want != nil {
		digest, number = want.Digest(), want.Number
	}
	if c.inForce.number() != number || inForceDigest(c) != digest {
		t.Errorf("version %d (%.6x) is in force, want %d (%.6x)", c.inForce.number(), inForceDigest(c), number, digest)
	}
}

func checkVerdicts(t *testing.T, got []Verdict, want ...Verdict) {
	t.Helper()
	if diff := cmp.Diff(fmt.Sprint(want), fmt.Sprint(got)); diff != "" {
		t.Errorf("verdicts: %s", diff)
	}
}

func TestRace(t *testing.T) {
	g := snapshot(nil, "g")
	winner, loser := delta(g, "w"), delta(g, "l")
	child, orphan := delta(winner, "c"), delta(loser, "o")
	var log testLog
	log.add(g.Raw(), winner.Raw(), loser.Raw(), winner.Raw(), orphan.Raw(), child.Raw(), g.Raw(), loser.Raw())
	c := NewChain(trusted)
	checkVerdicts(t, log.read(c), Adopted, Adopted, LostRace, Duplicate, Stale, Adopted, Duplicate, LostRace)
	checkInForce(t, c, child)
	if _, ok := c.InForce().Bundle.Teams["w"]; !ok {
		t.Error("the winner's change is missing")
	}
}

// Two records extend the same parent, and retention drops the winner but keeps
// the loser, which was appended later. A daemon that has not read the winner must
// not adopt the loser, because it would then run a different version than all
// other daemons. It needs a base first.
func TestTrimmedWinner(t *testing.T) {
	g := snapshot(nil, "g")
	winner, loser := snapshot(g, "w"), snapshot(g, "l")
	for _, tt := range []struct {
		name string
		seen *Record // the version in force before the race; nil for none
	}{{"fresh", nil}, {"frozen for long", g}} {
		t.Run(tt.name, func(t *testing.T) {
			var log testLog
			log.add(g.Raw())
			c := NewChain(trusted)
			if tt.seen != nil {
				log.read(c)
			}
			log.add(winner.Raw(), loser.Raw())
			other := NewChain(trusted)
			log.read(other)
			log.trim(2)
			log.read(c)
			checkInForce(t, c, tt.seen)
			log.add(mustOK(other.Checkpoint()))
			log.read(c)
			checkInForce(t, c, winner)
		})
	}
}

// mustOK returns v and panics unless ok is set.
func mustOK[T any](v T, ok bool) T {
	if !ok {
		panic("not ok")
	}
	return v
}

// A daemon encodes a checkpoint of version 1, but its append to the log is
// delayed until two records for version 2 have been appended. If the reader
// treated the checkpoint as a base at the checkpoint's own offset, it would skip the
// winner and adopt the loser. The base is the checkpoint's Through offset: if
// records from there on were trimmed, the checkpoint must not be used.
func TestDelayedCheckpoint(t *testing.T) {
	g := snapshot(nil, "g")
	winner, loser := snapshot(g, "w"), snapshot(g, "l")
	var log testLog
	log.add(g.Raw())
	writer := NewChain(trusted)
	log.read(writer)
	late := mustOK(writer.Checkpoint())
	log.add(winner.Raw(), late, loser.Raw())
	log.read(writer)

	reader := NewChain(trusted)
	log.trim(1)
	checkVerdicts(t, log.read(reader), Gap, Base, Adopted, Stale, LostRace)
	checkInForce(t, reader, winner)

	reader = NewChain(trusted)
	log.trim(2)
	checkVerdicts(t, log.read(reader), Stale, Gap)
	checkInForce(t, reader, nil)
	log.add(mustOK(writer.Checkpoint()))
	log.read(reader)
	checkInForce(t, reader, winner)
}

// A child is on the log before its parent, so every reader of the log rejects it.
// A daemon that received the parent from a peer before reading the log must
// reject it too: log records are compared with the state derived from the log,
// not with the version in force.
func TestChildBeforeParent(t *testing.T) {
	g := snapshot(nil, "g")
	w := delta(g, "w")
	early, child := delta(w, "early"), delta(w, "child")
	var log testLog
	log.add(g.Raw(), early.Raw(), w.Raw(), child.Raw())
	logOnly, withPeer := NewChain(trusted), NewChain(trusted)
	checkVerdicts(t, log.read(logOnly), Adopted, Gap, Adopted, Adopted)
	for _, r := range logOnly.RecordsAfter(0)[:2] {
		if v, err := withPeer.Offer(r); v != Adopted {
			t.Fatal(v, err)
		}
	}
	checkVerdicts(t, log.read(withPeer), Duplicate, Gap, Duplicate, Adopted)
	checkInForce(t, withPeer, child)
	checkInForce(t, logOnly, child)
}

func TestPeerObservation(t *testing.T) {
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
		checkInForce(t, c, s.force)
	}
}

// tamper returns a copy of a record with one bit in the middle flipped.
func tamper(raw []byte) []byte {
	out := append([]byte(nil), raw...)
	out[len(out)/2] ^= 1
	return out
}

// The log was trimmed and holds no checkpoint, so a new daemon can get a base only
// from a peer's position on the log. It must accept the position only for the
// version that it has adopted itself and only if the log retains the records from
// there on. Without such a base it would never adopt from the log.
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
		t.Error("accepted a position for a version that is not in force here")
	}
	for _, r := range peer.RecordsAfter(0) {
		c.Offer(r)
	}
	if c.SeekTo(peer.View().Digest, 0) {
		t.Error("accepted a position that the log no longer retains")
	}
	log.add(b.Raw())
	if log.read(c); c.SeekTo(g.Digest(), 2) || !c.SeekTo(peer.View().Digest, peer.View().Through) {
		t.Error("want the peer's position refused for another version and accepted for its own")
	}
	checkVerdicts(t, log.read(c), Adopted)
	checkInForce(t, c, b)
}

func TestOfferLogOutOfOrder(t *testing.T) {
	g := snapshot(nil, "g")
	c := NewChain(trusted)
	if v, err := c.OfferLog(1, g.Raw()); v != Invalid || !errors.Is(err, ErrOutOfOrder) {
		t.Error(v, err)
	}
	checkInForce(t, c, nil)
}

// During a rolling upgrade, a record of a later format wins on the log, and a
// record of the current format on the same parent follows. An old daemon, which
// cannot decode the winner, must not adopt the loser.
func TestLaterFormat(t *testing.T) {
	g := snapshot(nil, "g")
	later := func(format uint8) []byte {
		b := Body{Format: format, Number: 2, ParentNumber: 1, ParentDigest: g.Digest(), Kind: KindDelta, Author: "ana"}
		return signUnchecked(b, ana, ben)
	}
	var log testLog
	log.add(g.Raw(), later(Format+1), delta(g, "l").Raw())
	c := NewChain(trusted)
	checkVerdicts(t, log.read(c), Adopted, Unsupported, Gap)
	checkInForce(t, c, g)
}

// If only deltas were published for weeks, the lineage would become too large for
// a checkpoint, and no daemon could start from the log. A delta beyond the limit
// must be rejected, and a snapshot accepted in its place.
func TestLineageBound(t *testing.T) {
	g := snapshot(nil, "g")
	c := NewChain(trusted)
	c.Offer(g.Raw())
	c.inForce.size = MaxLineage
	d := delta(g, "d")
	if v, err := c.Offer(d.Raw()); v != Invalid {
		t.Error("a delta was accepted on a full lineage", v, err)
	}
	if v, err := c.Offer(snapshot(g, "s").Raw()); v != Adopted || len(c.RecordsAfter(0)) != 1 {
		t.Error("a snapshot was refused", v, err)
	}
}
