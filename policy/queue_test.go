package policy

import (
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

// fillPoolAndAllowWait takes all decode slots, 20 of them by this daemon, and allows the
// request to wait.
func fillPoolAndAllowWait(f *testFleet, q *Query) {
	f.fillDecode(20)
	f.inflight.teams = map[string]int{"a": 20}
	q.MayWait = true
}

// TestWaitEndsWhenTargetIsOutOfReach verifies that a waiting request is planned again no later
// than the time after which it can no longer meet its target, and is then refused.
func TestWaitEndsWhenTargetIsOutOfReach(t *testing.T) {
	f, q := newFleet(3), query(bundle.Draft)
	fillPoolAndAllowWait(f, &q)
	q.QueuedAhead = 1
	p, err := f.plan(NameReserve, q, 1)
	if err != nil || p.Wait != queuedRecheckInterval {
		t.Fatalf("with the whole target left: wait %s, error %v", p.Wait, err)
	}
	const left = 20 * time.Millisecond
	q.Accepted = q.Now.Add(p.FirstToken + left - f.bundle.Classes[q.Class].FirstToken())
	if p, err = f.plan(NameReserve, q, 1); err != nil || p.Wait != left {
		t.Fatalf("with %s left: wait %s, error %v", left, p.Wait, err)
	}
	q.Now = q.Now.Add(left + time.Millisecond)
	if p, err = f.plan(NameReserve, q, 1); err == nil || err.Kind != errkind.Overloaded {
		t.Fatalf("with nothing left: wait %s, error %v", p.Wait, err)
	}
}

// limitQueueWait calls fillPoolAndAllowWait and limits the wait to a share, 0.125, of the
// target for the first token. It returns the limit.
func limitQueueWait(f *testFleet, q *Query) time.Duration {
	fillPoolAndAllowWait(f, q)
	f.bundle.Policy.QueueShare = 0.125
	return time.Duration(f.bundle.Policy.QueueShare * float64(f.bundle.Classes[q.Class].FirstToken()))
}

// TestWaitIsLimitedByQueueShare verifies that a request that finds all slots taken in a burst is
// refused early enough to retry within its target, and that the request of a client that retries
// after a refusal may wait longer.
func TestWaitIsLimitedByQueueShare(t *testing.T) {
	f, q := newFleet(3), query(bundle.Draft)
	limit := limitQueueWait(f, &q)
	p, err := f.plan(NameReserve, q, 1)
	if err != nil || p.Wait <= 0 || p.Wait > limit {
		t.Fatalf("just accepted: wait %s, error %v; the limit is %s", p.Wait, err, limit)
	}
	q.Accepted = q.Now.Add(-limit)
	_, err = f.plan(NameReserve, q, 1)
	target := f.bundle.Classes[q.Class].FirstToken()
	if err == nil || err.Kind != errkind.Overloaded {
		t.Fatalf("past the limit: %v", err)
	}
	if err.RetryAfter <= 0 || err.RetryAfter > target/2 {
		t.Errorf("retry delay is %s, over half of the target of %s", err.RetryAfter, target)
	}
	q.Retried = true
	if p, err = f.plan(NameReserve, q, 1); err != nil || p.Wait <= 0 {
		t.Errorf("retry after a refusal: wait %s, error %v", p.Wait, err)
	}
	q.Accepted = q.Now.Add(-maxLongWait)
	if _, err = f.plan(NameReserve, q, 1); err == nil {
		t.Error("a retry after a refusal waits without limit")
	}
}

// TestWaitLimitAppliesToRefusedReservations guards against requests held for seconds while
// engines refuse them one after another: each has a free slot by its reported load but no memory
// for the reservation. The limit on the wait must hold in this case too.
func TestWaitLimitAppliesToRefusedReservations(t *testing.T) {
	f, q := newFleet(3), query(bundle.Draft)
	f.bundle.Policy.QueueShare = 0.125
	q.MayWait, q.RefusalStreak = true, 2
	if _, err := f.plan(NameReserve, q, 1); err != nil {
		t.Fatalf("within the limit: %v", err)
	}
	q.Accepted = q.Now.Add(-f.bundle.Classes[q.Class].FirstToken())
	if p, err := f.plan(NameReserve, q, 1); err == nil {
		t.Errorf("past the limit: planned on %q", p.Decode.Name)
	}
}

// TestDecodeNeedsMemory covers engines that have free slots but whose memory is full of
// long prompts.
func TestDecodeNeedsMemory(t *testing.T) {
	f, q := newFleet(3), query(bundle.Draft)
	f.updatePool("d", func(r *Replica) { r.MemoryTokens = 10_000 })
	q.MemoryTokens = 4000
	f.inflight.tokens = map[string]int{"d0": 7000, "d1": 7000, "d2": 5000}
	for seed := range uint64(20) {
		p, err := f.plan(NameReserve, q, seed)
		if err != nil || p.Decode.Name != "d2" {
			t.Fatalf("seed %d: decode on %q, error %v", seed, p.Decode.Name, err)
		}
	}
	f.inflight.full = map[string]bool{"d2": true}
	if p, err := f.plan(NameReserve, q, 1); err == nil {
		t.Errorf("planned on %q, which recently refused a reservation or has no memory", p.Decode.Name)
	}
}

// TestDecodeEnginePrefillsWithoutPrefillEngine guards against refusing drafts next to idle
// decode engines in a data centre that is cut off from its prefill engines. The cause was that
// every plan needed a prefill engine.
func TestDecodeEnginePrefillsWithoutPrefillEngine(t *testing.T) {
	f, q := newFleet(3), query(bundle.Draft)
	f.updatePool("p", func(r *Replica) { r.EjectedUntil = t0.Add(time.Hour) })
	if _, err := f.plan(NameReserve, q, 1); err == nil {
		t.Fatal("planned without a prefill engine although decode engines cannot prefill")
	}
	m := f.bundle.Models["m"]
	m.DecodePrefills = true
	f.bundle.Models["m"] = m
	p, err := f.plan(NameReserve, q, 1)
	if err != nil || !p.SkipPrefill || p.SkipReserve || p.Decode.Name == "" {
		t.Errorf("plan %+v, %v", p, err)
	}
}

// TestEnginesThatRefusedAPromptAreSkipped covers prefill engines that are switched to decode.
// For some seconds they refuse prompts while they are still registered as prefill engines, and
// each refused prompt costs a retry.
func TestEnginesThatRefusedAPromptAreSkipped(t *testing.T) {
	f, q := newFleet(3), query(bundle.Draft)
	f.inflight.full = map[string]bool{"p0": true, "p1": true}
	for seed := range uint64(20) {
		p, err := f.plan(NameReserve, q, seed)
		if err != nil || p.Prefill.Name != "p2" {
			t.Fatalf("seed %d: prefill on %q, error %v", seed, p.Prefill.Name, err)
		}
	}
	f.inflight.full["p2"] = true
	if p, err := f.plan(NameReserve, q, 1); err != nil || p.Prefill.Name == "" {
		t.Errorf("no other engine can prefill the prompt: plan %+v, error %v", p, err)
	}
	m := f.bundle.Models["m"]
	m.DecodePrefills = true
	f.bundle.Models["m"] = m
	if p, err := f.plan(NameReserve, q, 1); err != nil || !p.SkipPrefill {
		t.Errorf("the decode engine does not prefill the prompt: plan %+v, error %v", p, err)
	}
}

// TestServicesThatQueueAreNotRefused covers a burst of calls that fills the slots of every
// replica of a service whose replicas queue requests.
func TestServicesThatQueueAreNotRefused(t *testing.T) {
	f, q := newFleet(3), query(bundle.Urgent)
	f.updatePool("s", func(r *Replica) { r.Queues, r.Active, r.Queued = true, 20, 5 })
	f.replica("s2").Queued = 0
	p, _ := ByName(NameReserve)
	picked := map[string]int{}
	for seed := range uint64(60) {
		plan, err := p.PickService(f.snapshot(), f.inflight, "s", q, seededRand(seed))
		if err != nil {
			t.Fatal(err)
		}
		picked[plan.Replica.Name]++
	}
	if picked["s2"] <= picked["s0"] {
		t.Errorf("picked %v; s2, in another data centre, has the shortest queue", picked)
	}
}
