package bundle

import (
	"testing"

	"pgregory.net/rapid"
)

// Symptom: a daemon's version goes back, or two that saw everything disagree.
// Sequence: any order of publishing (also on losers and before parents), duplicates, trimming, checkpoints that
// land late, restarts, also without a key that signed some of it, peers' answers that are lost, repeated or tampered with.
// Cause: a property over long random histories; TestExhaustive covers all short ones.
func TestChainProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &randomWorld{trust: formerly, judge: NewChain(formerly)}
		w.judge.Live(0)
		w.chains = []*Chain{w.fresh(), w.fresh(), w.fresh()}
		w.records = []*Record{snapshot(nil, "g"), byKim(snapshot(nil, "h")), snapshot(nil, "i")}
		t.Repeat(map[string]func(*rapid.T){
			"publish": w.publish,
			"read":    w.read,
			"trim":    w.trim,
			"save":    w.save,
			"land":    w.land,
			"restart": w.restart,
			"withdraw": func(t *rapid.T) {
				w.trust = trusted
				w.restart(t)
			},
			"peer": w.peer,
			"":     w.check,
		})
		w.settle(t)
	})
}

// randomWorld is a log, three daemons and a judge that reads the whole log at once.
type randomWorld struct {
	log     testLog
	trust   Trust     // of daemons that start now
	records []*Record // all that could be appended
	chains  []*Chain
	judge   *Chain
	history []Digest // by number, from 1
	late    [][]byte // checkpoints on their way
}

func (w *randomWorld) fresh() *Chain {
	c := NewChain(w.trust)
	c.Live(uint64(len(w.log.records)))
	return c
}

func (w *randomWorld) withdrawn() bool { return !hasKim(w.trust) }

func (w *randomWorld) chain(t *rapid.T, name string) *Chain {
	return rapid.SampledFrom(w.chains).Draw(t, name)
}

// publish appends any known record, new or again, and makes a child of it known.
func (w *randomWorld) publish(t *rapid.T) {
	r := rapid.SampledFrom(w.records).Draw(t, "record")
	if w.withdrawn() && r.Reviewer == kim.ID {
		return
	}
	w.append(r.Raw())
	if len(w.records) < 40 {
		kind := rapid.SampledFrom([]Kind{KindDelta, KindSnapshot}).Draw(t, "kind")
		child := signed(kind, r, rapid.StringMatching("[a-c]").Draw(t, "name"))
		switch rapid.IntRange(0, 9).Draw(t, "reviewer") {
		case 0:
			child = madeUp(child)
		case 1, 2, 3:
			child = byKim(child)
		}
		w.records = append(w.records, child)
	}
}

func (w *randomWorld) append(raw []byte) {
	w.log.add(raw)
	w.judge.OfferLog(w.judge.Next(), raw)
	if v := w.judge.InForce(); v != nil && v.Number > uint64(len(w.history)) {
		w.history = append(w.history, v.Digest)
	}
}

func (w *randomWorld) read(t *rapid.T) {
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

func (w *randomWorld) trim(t *rapid.T) {
	w.log.trim(rapid.Uint64Range(w.log.first, uint64(len(w.log.records))).Draw(t, "first"))
}

func (w *randomWorld) save(t *rapid.T) {
	if data, ok := w.chain(t, "daemon").Checkpoint(); ok {
		w.late = append(w.late, data)
	}
}

func (w *randomWorld) land(t *rapid.T) {
	if len(w.late) > 0 {
		w.append(rapid.SampledFrom(w.late).Draw(t, "checkpoint"))
	}
}

func (w *randomWorld) restart(t *rapid.T) {
	w.chains[rapid.IntRange(0, len(w.chains)-1).Draw(t, "daemon")] = w.fresh()
}

func (w *randomWorld) peer(t *rapid.T) {
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

// check compares what each daemon has in force with what the whole log says.
func (w *randomWorld) check(t *rapid.T) {
	for i, c := range w.chains {
		v := c.InForce()
		if v != nil && (v.Number > uint64(len(w.history)) || w.history[v.Number-1] != v.Digest) {
			t.Fatalf("daemon %d has %.4x as version %d", i, v.Digest, v.Number)
		}
	}
}

// settle lets a checkpoint of the judge land and everybody read on: all must agree.
// Once kim's key was withdrawn, a snapshot without it goes before, as the operators' guide says.
func (w *randomWorld) settle(t *rapid.T) {
	if r, ok := w.judge.View().Record(w.judge.inForce.number()); ok && w.withdrawn() {
		w.append(snapshot(r, "settled").Raw())
	}
	if data, ok := w.judge.Checkpoint(); ok {
		w.append(data)
	}
	for i, c := range w.chains {
		w.log.read(c)
		if digestOf(c) != digestOf(w.judge) {
			t.Fatalf("daemon %d ends at version %d, the log at %d", i, c.inForce.number(), w.judge.inForce.number())
		}
	}
}

// Symptom: a daemon that applied a change adopts what one that decoded the whole bundle refuses.
// Sequence: random changes of a small bundle, many of them wrong.
// Cause: a change is validated by what it touches alone, which must find the same.
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
				t.Fatalf("by what the change touches: %v; the whole: %v", err, whole)
			}
			if err == nil {
				b = next
			}
		}
	})
}

// randomOp draws names and values from so few that they collide and refer to each other.
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
