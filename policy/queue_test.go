package policy

import (
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

// queued makes all slots taken, of which this daemon holds 20, and lets the request wait.
func queued(f *fleet, q *Query) {
	f.fill(20)
	f.in.teams = map[string]int{"a": 20}
	q.MayWait = true
}

// TestWaitEndsWithTheTarget pins that a request in the queue asks again no later
// than its target gets out of reach, and is refused then.
func TestWaitEndsWithTheTarget(t *testing.T) {
	f, q := newFleet(3), query(bundle.Draft)
	queued(f, &q)
	q.Ahead = 1
	p, err := f.plan(NameReserve, q, 1)
	if err != nil || p.Wait != laterRecheck {
		t.Fatalf("with the whole target left: waits %s, %v", p.Wait, err)
	}
	const left = 20 * time.Millisecond
	q.Accepted = q.Now.Add(p.FirstToken + left - f.bundle.Classes[q.Class].FirstToken())
	if p, err = f.plan(NameReserve, q, 1); err != nil || p.Wait != left {
		t.Fatalf("with %s left: waits %s, %v", left, p.Wait, err)
	}
	q.Now = q.Now.Add(left + time.Millisecond)
	if p, err = f.plan(NameReserve, q, 1); err == nil || err.Kind != errkind.Overloaded {
		t.Fatalf("with nothing left: waits %s, %v", p.Wait, err)
	}
}

// limited lets requests wait for a share of their target, as attached daemons do.
func limited(f *fleet, q *Query) time.Duration {
	queued(f, q)
	f.bundle.Policy.QueueShare = 0.125
	return time.Duration(f.bundle.Policy.QueueShare * float64(f.bundle.Classes[q.Class].FirstToken()))
}

// Load: a burst finds all slots taken. Who cannot be served is told early enough to
// come back within its target, and who came back waits for longer.
func TestWaitIsBoundedByTheQueueShare(t *testing.T) {
	f, q := newFleet(3), query(bundle.Draft)
	limit := limited(f, &q)
	p, err := f.plan(NameReserve, q, 1)
	if err != nil || p.Wait <= 0 || p.Wait > limit {
		t.Fatalf("at first: waits %s, %v; the limit is %s", p.Wait, err, limit)
	}
	q.Accepted = q.Now.Add(-limit)
	_, err = f.plan(NameReserve, q, 1)
	target := f.bundle.Classes[q.Class].FirstToken()
	if err == nil || err.Kind != errkind.Overloaded {
		t.Fatalf("past the limit: %v", err)
	}
	if err.RetryAfter <= 0 || err.RetryAfter > target/2 {
		t.Errorf("is asked back after %s, past the target of %s", err.RetryAfter, target)
	}
	q.Returned = true
	if p, err = f.plan(NameReserve, q, 1); err != nil || p.Wait <= 0 {
		t.Errorf("one who came back: waits %s, %v", p.Wait, err)
	}
	q.Accepted = q.Now.Add(-returnedWait)
	if _, err = f.plan(NameReserve, q, 1); err == nil {
		t.Error("one who came back waits for ever")
	}
}

// Symptom: a request is held for seconds by engines that refuse it one after another.
// Sequence: each has a free slot by all this daemon knows, and refuses the
// reservation for want of memory.
// Cause: the wait was bounded only while no slot was known.
func TestRefusedReservationsEndWithTheLimit(t *testing.T) {
	f, q := newFleet(3), query(bundle.Draft)
	f.bundle.Policy.QueueShare = 0.125
	q.MayWait, q.Streak = true, 2
	if _, err := f.plan(NameReserve, q, 1); err != nil {
		t.Fatalf("within the limit: %v", err)
	}
	q.Accepted = q.Now.Add(-f.bundle.Classes[q.Class].FirstToken())
	if p, err := f.plan(NameReserve, q, 1); err == nil {
		t.Errorf("past the limit: planned on %q", p.Decode.Name)
	}
}

// Load: long prompts fill the memory of engines that have slots left.
func TestDecodeNeedsMemory(t *testing.T) {
	f, q := newFleet(3), query(bundle.Draft)
	f.each("d", func(r *Replica) { r.MemoryTokens = 10_000 })
	q.HoldTokens = 4000
	f.in.tokens = map[string]int{"d0": 7000, "d1": 7000, "d2": 5000}
	for seed := range uint64(20) {
		p, err := f.plan(NameReserve, q, seed)
		if err != nil || p.Decode.Name != "d2" {
			t.Fatalf("seed %d: on %q, %v", seed, p.Decode.Name, err)
		}
	}
	f.in.full = map[string]bool{"d2": true}
	if p, err := f.plan(NameReserve, q, 1); err == nil {
		t.Errorf("planned on %q, which refused a moment ago or has no memory", p.Decode.Name)
	}
}

// Symptom: a data centre that is cut off refuses every draft beside idle engines.
// Sequence: its prefill engines are out of reach, its decode engines are not.
// Cause: a plan needed a prefill engine.
func TestDecodeEngineReadsWhereNoPrefillIs(t *testing.T) {
	f, q := newFleet(3), query(bundle.Draft)
	f.each("p", func(r *Replica) { r.NotBefore = t0.Add(time.Hour) })
	if _, err := f.plan(NameReserve, q, 1); err == nil {
		t.Fatal("planned without prefill on engines that cannot read")
	}
	m := f.bundle.Models["m"]
	m.DecodeReads = true
	f.bundle.Models["m"] = m
	p, err := f.plan(NameReserve, q, 1)
	if err != nil || !p.SkipPrefill || p.SkipReserve || p.Decode.Name == "" {
		t.Errorf("plan %+v, %v", p, err)
	}
}

// Load: prefill engines are moved to decode; for seconds they refuse prompts while
// their registrations still say prefill. A refused prompt costs a retry.
func TestEnginesThatRefuseAPromptAreLeftAlone(t *testing.T) {
	f, q := newFleet(3), query(bundle.Draft)
	f.in.full = map[string]bool{"p0": true, "p1": true}
	for seed := range uint64(20) {
		p, err := f.plan(NameReserve, q, seed)
		if err != nil || p.Prefill.Name != "p2" {
			t.Fatalf("seed %d: prefill on %q, %v", seed, p.Prefill.Name, err)
		}
	}
	f.in.full["p2"] = true
	if p, err := f.plan(NameReserve, q, 1); err != nil || p.Prefill.Name == "" {
		t.Errorf("nobody else can read the prompt: plan %+v, %v", p, err)
	}
	m := f.bundle.Models["m"]
	m.DecodeReads = true
	f.bundle.Models["m"] = m
	if p, err := f.plan(NameReserve, q, 1); err != nil || !p.SkipPrefill {
		t.Errorf("the decode engine does not read the prompt: plan %+v, %v", p, err)
	}
}

// Load: a burst of look-ups fills the slots of every replica, each of which queues.
func TestServicesThatQueueAreNotRefused(t *testing.T) {
	f, q := newFleet(3), query(bundle.Urgent)
	f.each("s", func(r *Replica) { r.Queues, r.Active, r.Queued = true, 20, 5 })
	f.replica("s2").Queued = 0
	p, _ := ByName(NameReserve)
	picked := map[string]int{}
	for seed := range uint64(60) {
		plan, err := p.PickService(f.snapshot(), f.in, "s", q, seeded(seed))
		if err != nil {
			t.Fatal(err)
		}
		picked[plan.Replica.Name]++
	}
	if picked["s2"] <= picked["s0"] {
		t.Errorf("picked %v; s2, in another data centre, has the shortest queue", picked)
	}
}
