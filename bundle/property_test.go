package bundle

import (
	"testing"

	"pgregory.net/rapid"
)

// The version in force must never go back on a daemon, and daemons that read the
// whole log must agree. The test checks this on long random histories, while
// TestExhaustive covers all short ones. The steps are appending records (also
// children of losers, and children before their parents), duplicates, trimming,
// delayed checkpoints, restarts (also with a signing key withdrawn), and peers'
// responses that are lost, repeated or corrupted.
func TestChainProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &randomHistory{trust: trustWithKim, reference: NewChain(trustWithKim)}
		w.reference.SetStartEnd(0)
		w.chains = []*Chain{w.fresh(), w.fresh(), w.fresh()}
		w.records = []*Record{snapshot(nil, "g"), byKim(snapshot(nil, "h")), snapshot(nil, "i")}
		t.Repeat(map[string]func(*rapid.T){
			"publish": w.publish,
			"read":    w.read,
			"trim":    w.trim,
			"save":    w.takeCheckpoint,
			"land":    w.appendCheckpoint,
			"restart": w.restart,
			"withdraw": func(t *rapid.T) {
				w.trust = trusted
				w.restart(t)
			},
			"peer": w.fetchFromPeer,
			"":     w.check,
		})
		w.converge(t)
	})
}

// randomHistory is the state of a random test: a log, the chains of three daemons,
// and a reference chain that reads each log entry when it is appended.
type randomHistory struct {
	log                testLog
	trust              Trust     // the keys that daemons are started with
	records            []*Record // the records that publish chooses from
	chains             []*Chain
	reference          *Chain
	expected           []Digest // the digest of version i+1, according to the reference chain
	pendingCheckpoints [][]byte // encoded by a daemon; any may be appended at any time
}

// fresh returns the chain of a daemon that starts now.
func (w *randomHistory) fresh() *Chain {
	c := NewChain(w.trust)
	c.SetStartEnd(uint64(len(w.log.records)))
	return c
}

// keyWithdrawn reports whether kim's key was withdrawn.
func (w *randomHistory) keyWithdrawn() bool { return !hasKim(w.trust) }

// chain draws one of the daemons' chains.
func (w *randomHistory) chain(t *rapid.T, name string) *Chain {
	return rapid.SampledFrom(w.chains).Draw(t, name)
}

// publish appends one of the records, possibly one that was appended before, and
// adds a child of it to the records.
func (w *randomHistory) publish(t *rapid.T) {
	r := rapid.SampledFrom(w.records).Draw(t, "record")
	if w.keyWithdrawn() && r.Reviewer == kim.ID {
		return
	}
	w.append(r.Raw())
	if len(w.records) < 40 {
		kind := rapid.SampledFrom([]Kind{KindDelta, KindSnapshot}).Draw(t, "kind")
		child := signed(kind, r, rapid.StringMatching("[a-c]").Draw(t, "name"))
		switch rapid.IntRange(0, 9).Draw(t, "reviewer") {
		case 0:
			child = signedByUntrusted(child)
		case 1, 2, 3:
			child = byKim(child)
		}
		w.records = append(w.records, child)
	}
}

// append adds an entry to the log and offers it to the reference chain.
func (w *randomHistory) append(raw []byte) {
	w.log.add(raw)
	w.reference.OfferLog(w.reference.Next(), raw)
	if v := w.reference.InForce(); v != nil && v.Number > uint64(len(w.expected)) {
		w.expected = append(w.expected, v.Digest)
	}
}

// read lets one daemon read up to five log entries.
func (w *randomHistory) read(t *rapid.T) {
	c := w.chain(t, "daemon")
	for range rapid.IntRange(1, 5).Draw(t, "records") {
		if c.Next() < w.log.first {
			c.Trimmed(w.log.first)
		}
		if c.Next() < uint64(len(w.log.records)) {
			c.OfferLog(c.Next(), w.log.records[c.Next()])
		}
	}
}

// trim drops log entries below a random offset.
func (w *randomHistory) trim(t *rapid.T) {
	w.log.trim(rapid.Uint64Range(w.log.first, uint64(len(w.log.records))).Draw(t, "first"))
}

// takeCheckpoint lets one daemon encode a checkpoint, which is appended later or never.
func (w *randomHistory) takeCheckpoint(t *rapid.T) {
	if data, ok := w.chain(t, "daemon").Checkpoint(); ok {
		w.pendingCheckpoints = append(w.pendingCheckpoints, data)
	}
}

// appendCheckpoint appends one of the pending checkpoints to the log.
func (w *randomHistory) appendCheckpoint(t *rapid.T) {
	if len(w.pendingCheckpoints) > 0 {
		w.append(rapid.SampledFrom(w.pendingCheckpoints).Draw(t, "checkpoint"))
	}
}

// restart replaces one daemon's chain by that of a new daemon.
func (w *randomHistory) restart(t *rapid.T) {
	w.chains[rapid.IntRange(0, len(w.chains)-1).Draw(t, "daemon")] = w.fresh()
}

// fetchFromPeer offers one daemon the records of another, each of which may be
// delivered, repeated, lost or corrupted.
func (w *randomHistory) fetchFromPeer(t *rapid.T) {
	from, to := w.chain(t, "from"), w.chain(t, "to")
	view := from.View()
	before := to.InForce()
	for _, raw := range view.RecordsAfter(rapid.Uint64Range(0, to.inForce.number()).Draw(t, "after")) {
		switch rapid.SampledFrom([]string{"ok", "ok", "twice", "lost", "tampered"}).Draw(t, "delivery") {
		case "ok":
			to.Offer(raw)
		case "twice":
			to.Offer(raw)
			to.Offer(raw)
		case "tampered":
			if v, _ := to.Offer(tamper(raw)); v != Invalid {
				t.Fatalf("tampered record is %s", v)
			}
		}
	}
	if view.CaughtUp {
		to.SeekTo(view.Digest, view.Through)
	}
	if before != nil && to.inForce.number() < before.Number {
		t.Fatalf("version %d replaced by %d", before.Number, to.inForce.number())
	}
}

// check compares the version in force on each daemon with the expected one.
func (w *randomHistory) check(t *rapid.T) {
	for i, c := range w.chains {
		v := c.InForce()
		if v != nil && (v.Number > uint64(len(w.expected)) || w.expected[v.Number-1] != v.Digest) {
			t.Fatalf("daemon %d has %.4x as version %d", i, v.Digest, v.Number)
		}
	}
}

// converge appends a checkpoint of the reference chain, lets every daemon read the
// log to its end, and checks that all have the same version in force. If kim's key
// was withdrawn, it first appends a snapshot signed without that key, as operators
// must do after a withdrawal.
func (w *randomHistory) converge(t *rapid.T) {
	if r, ok := w.reference.View().Record(w.reference.inForce.number()); ok && w.keyWithdrawn() {
		w.append(snapshot(r, "settled").Raw())
	}
	if data, ok := w.reference.Checkpoint(); ok {
		w.append(data)
	}
	for i, c := range w.chains {
		w.log.read(c)
		if inForceDigest(c) != inForceDigest(w.reference) {
			t.Fatalf("daemon %d ends at version %d, the log at %d", i, c.inForce.number(), w.reference.inForce.number())
		}
	}
}

// Apply validates only the entries that a delta changes, while DecodeBundle
// validates the whole bundle. If the two disagreed, a daemon that applies a delta
// would adopt a bundle that a daemon decoding it from a snapshot rejects. The test
// compares them on random deltas of a small bundle, many of them invalid.
func TestChangeIsValidatedAsTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := testBundle("a")
		b.Pools = map[string]Pool{"p": {Role: RoleService, Slots: 1}, "q": {Role: RolePrefill, Slots: 1}, "r": {Role: RoleDecode, Slots: 1}}
		b.Upstreams = map[string]Upstream{"u": {Pool: "p", DataCentre: "dc", Address: "h:1", State: StateServing}}
		b.Teams["t"] = Team{Weight: 1, Class: Draft, KeyDigests: []string{FormatDigest(Digest{1})}}
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			d := Delta{Ops: rapid.SliceOfN(rapid.Custom(randomOp), 1, 3).Draw(t, "ops")}
			next, err := Apply(b, d)
			if next == nil {
				continue
			}
			if whole := Validate(next); (whole == nil) != (err == nil) {
				t.Fatalf("validation of the delta: %v; of the whole bundle: %v", err, whole)
			}
			if err == nil {
				b = next
			}
		}
	})
}

// randomOp draws an operation. Names and values come from small sets, so that
// they often collide and refer to each other.
func randomOp(t *rapid.T) Op {
	name := rapid.SampledFrom([]string{"a", "b", "p", "q", "bad name"}).Draw(t, "name")
	pool := rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "pool")
	class := rapid.SampledFrom([]Class{Draft, Urgent}).Draw(t, "class")
	digest := rapid.SampledFrom([]string{FormatDigest(Digest{1}), FormatDigest(Digest{2}), "bad"}).Draw(t, "digest")
	n := rapid.IntRange(0, 2).Draw(t, "n")
	op := Op{Action: Upsert, Name: name}
	op.Section = rapid.SampledFrom([]Section{
		SectionModel, SectionPool, SectionUpstream, SectionService, SectionTeam, SectionClass, SectionPolicy,
	}).Draw(t, "section")
	if op.Section == SectionClass {
		op.Name = string(class)
	}
	if rapid.Bool().Draw(t, "remove") && op.Section != SectionPolicy {
		op.Action = Remove
		return op
	}
	switch op.Section {
	case SectionModel:
		op.Model = &Model{Version: "1", PrefillPool: pool, DecodePool: "r", KVBytesPerToken: 1}
	case SectionPool:
		op.Pool = &Pool{Role: RoleService, Slots: n}
	case SectionUpstream:
		op.Upstream = &Upstream{Pool: pool, DataCentre: "dc", Address: "h:" + string(rune('1'+n)), State: StateServing}
	case SectionService:
		op.Service = &Service{Pool: pool, Class: class, TimeoutMillis: 1}
	case SectionTeam:
		op.Team = &Team{Weight: 1, Class: class, KeyDigests: []string{digest, FormatDigest(Digest{byte(n)})}}
	case SectionClass:
		op.Class = &ClassTarget{FirstTokenMillis: int64(n), BetweenTokensMillis: 1, DeadlineMillis: 1}
	case SectionPolicy:
		op.Name, op.Policy = "", &PolicyConfig{MaxAttempts: n}
	}
	return op
}
