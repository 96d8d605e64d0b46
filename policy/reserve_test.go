package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

// fakePrefixIndex maps a replica to the number of its cached blocks.
type fakePrefixIndex map[string]int

func (h fakePrefixIndex) CachedBlocks(replica string, prefix []uint64) int {
	return min(h[replica], len(prefix))
}

// busyLinkFreeAt is when a busy link becomes free: too late for a prefill result, which would
// expire before that time.
var busyLinkFreeAt = t0.Add(900 * time.Millisecond)

// fillDecode sets the active requests of each decode engine and lengthens its step accordingly.
func (f *testFleet) fillDecode(active int) {
	f.updatePool("d", func(r *Replica) {
		r.Active = active
		r.Step = time.Duration(float64(DefaultStep) * (1 + stepGrowth*float64(active)))
	})
}

// moveToOneDataCentre moves all replicas to the daemon's own data centre.
func (f *testFleet) moveToOneDataCentre() {
	for i := range f.replicas {
		f.replicas[i].DataCentre = "dc0"
	}
}

// nearMissWithWeights sets the bundle's weights of goodput and wasted prefill, and brings a
// draft's predicted latencies so close to its targets that the weights decide on admission.
func nearMissWithWeights(goodput, wasted float64) func(*testFleet, *Query) {
	return func(f *testFleet, _ *Query) {
		f.bundle.Policy.GoodputWeight, f.bundle.Policy.WastedPrefillWeight = goodput, wasted
		f.updatePool("p", func(r *Replica) { r.QueuedTokens = 38_500 }) // first token after 3.99 s, the prompt included; a draft's target is 4 s
		f.updatePool("d", func(r *Replica) { r.Step = 100 * time.Millisecond; r.Active = 19 })
		f.bundle.Policy.UrgentHeadroom = 0
	}
}

// overFairShare fills all decode slots and puts team a over its fair share.
func overFairShare(f *testFleet, _ *Query) {
	f.fillDecode(20)
	f.inflight.teams = map[string]int{"a": 60, "b": 10}
}

// TestReserveRules has one row per rule of the reserve policy: its setup, the class of the
// request and the result, which must be the same for every seed. The row fails when the rule
// is removed.
func TestReserveRules(t *testing.T) {
	rows := []struct {
		rule    string
		class   bundle.Class
		setup   func(*testFleet, *Query)
		kind    errkind.Kind // expected refusal; "" for a plan
		decode  string       // expected decode engine; "" for any
		prefill string       // expected prefill engine; "" for any
		reason  string       // expected reason of the plan; "" for any
	}{
		{rule: "own data centre first", class: bundle.Draft, decode: "d0", prefill: "p0",
			setup: func(f *testFleet, _ *Query) { f.fillDecode(2) }},
		{rule: "another data centre when the own is full", class: bundle.Draft, decode: "d2", prefill: "p2", reason: "remote",
			setup: func(f *testFleet, _ *Query) { f.fillDecode(20); f.replica("d2").Active = 1 }},
		{rule: "another data centre when the own is too slow", class: bundle.Urgent, decode: "d1",
			setup: func(f *testFleet, _ *Query) {
				f.replica("d0").Step = 60 * time.Millisecond
				f.replica("d2").Step = 60 * time.Millisecond
			}},
		{rule: "an engine that has told no step is tried", class: bundle.Urgent,
			setup: func(f *testFleet, _ *Query) {
				c := f.bundle.Classes[bundle.Urgent]
				c.BetweenTokensMillis = 19 // under DefaultStep
				f.bundle.Classes[bundle.Urgent] = c
				f.updatePool("d", func(r *Replica) { r.Step, r.StepMeasured = 0, false })
			}},
		{rule: "the emptier decode engine", class: bundle.Draft, decode: "d1",
			setup: func(f *testFleet, _ *Query) { f.moveToOneDataCentre(); f.fillDecode(10); f.replica("d1").Active = 3 }},
		{rule: "own work counts on decode", class: bundle.Draft, decode: "d2",
			setup: func(f *testFleet, _ *Query) {
				f.moveToOneDataCentre()
				f.inflight.requests = map[string]int{"d0": 9, "d1": 5}
			}},
		{rule: "own work fills a slot", class: bundle.Urgent, kind: errkind.Overloaded,
			setup: func(f *testFleet, _ *Query) {
				f.fillDecode(19)
				f.inflight.requests = map[string]int{"d0": 1, "d1": 1, "d2": 1}
			}},
		{rule: "a slow return gets less", class: bundle.Draft, decode: "d2",
			setup: func(f *testFleet, _ *Query) {
				f.moveToOneDataCentre()
				f.replica("d2").Active = 5
				f.replica("d0").Weight, f.replica("d1").Weight = 0.1, 0.1
			}},
		{rule: "drafts leave the headroom", class: bundle.Draft, kind: errkind.Overloaded,
			setup: func(f *testFleet, _ *Query) { f.fillDecode(18) }},
		{rule: "urgent takes the headroom", class: bundle.Urgent, reason: "headroom", decode: "d0",
			setup: func(f *testFleet, _ *Query) { f.fillDecode(18) }},
		{rule: "ablation: no headroom", class: bundle.Draft, decode: "d0",
			setup: func(f *testFleet, _ *Query) { f.fillDecode(18); f.bundle.Policy.Disable = []string{FeatureHeadroom} }},
		{rule: "urgent pauses a draft of our own", class: bundle.Urgent, reason: "pause-draft", decode: "d1",
			setup: func(f *testFleet, _ *Query) { f.fillDecode(20); f.inflight.pausable = map[string]int{"d1": 1} }},
		{rule: "a draft pauses nothing", class: bundle.Draft, kind: errkind.Overloaded,
			setup: func(f *testFleet, _ *Query) { f.fillDecode(20); f.inflight.pausable = map[string]int{"d1": 1} }},
		{rule: "full is refused", class: bundle.Urgent, kind: errkind.Overloaded,
			setup: func(f *testFleet, _ *Query) { f.fillDecode(20) }},
		{rule: "ablation: full is asked all the same", class: bundle.Urgent, reason: "over-slots",
			setup: func(f *testFleet, _ *Query) {
				f.fillDecode(20)
				f.bundle.Policy.Disable = []string{FeatureEarlyRefusal}
			}},
		{rule: "the shorter prefill queue", class: bundle.Draft, prefill: "p1",
			setup: func(f *testFleet, _ *Query) {
				f.moveToOneDataCentre()
				f.updatePool("p", func(r *Replica) { r.QueuedTokens = 9000 })
				f.replica("p1").QueuedTokens = 1000
			}},
		{rule: "an idle prefill engine elsewhere before a queue here", class: bundle.Urgent, decode: "d0", prefill: "p2",
			setup: func(f *testFleet, _ *Query) {
				f.replica("d0").Active, f.replica("d1").Active, f.replica("d2").Active = 0, 9, 9
				f.replica("p0").QueuedTokens, f.replica("p1").QueuedTokens = 900, 900
			}},
		{rule: "own prompts count on prefill", class: bundle.Draft, prefill: "p2",
			setup: func(f *testFleet, _ *Query) {
				f.moveToOneDataCentre()
				f.inflight.tokens = map[string]int{"p0": 5000, "p1": 4000}
			}},
		{rule: "the faster prefill engine", class: bundle.Draft, prefill: "p2",
			setup: func(f *testFleet, _ *Query) {
				f.moveToOneDataCentre()
				f.replica("p2").PrefillPerToken = 20 * time.Microsecond
			}},
		{rule: "a queue drains while its report ages", class: bundle.Draft, prefill: "p1",
			setup: func(f *testFleet, _ *Query) {
				f.moveToOneDataCentre()
				f.updatePool("p", func(r *Replica) { r.QueuedTokens = 5000 })
				f.replica("p1").LoadAt = t0.Add(-time.Second)
			}},
		{rule: "a cached prefix is worth a wait", class: bundle.Draft, prefill: "p1", reason: "prefix",
			setup: func(f *testFleet, q *Query) {
				f.moveToOneDataCentre()
				q.PromptTokens, q.Prefix = 6400, make([]uint64, 400)
				f.replica("p1").QueuedTokens = 3000
				f.prefix = fakePrefixIndex{"p1": 300}
			}},
		{rule: "a wait can be worth more than a cached prefix", class: bundle.Draft, prefill: "p0",
			setup: func(f *testFleet, q *Query) {
				f.moveToOneDataCentre()
				q.PromptTokens, q.Prefix = 6400, make([]uint64, 400)
				f.replica("p1").QueuedTokens, f.replica("p2").QueuedTokens = 9000, 9000
				f.prefix = fakePrefixIndex{"p1": 300}
			}},
		{rule: "ablation: prefill first", class: bundle.Draft,
			setup: func(f *testFleet, _ *Query) { f.bundle.Policy.Disable = []string{FeatureDecodeFirst} }},
		{rule: "ablation: no prefix", class: bundle.Draft, prefill: "p0", reason: "least-cost",
			setup: func(f *testFleet, q *Query) {
				q.PromptTokens, q.Prefix = 6400, make([]uint64, 400)
				f.prefix = fakePrefixIndex{"p0": 400}
				f.bundle.Policy.Disable = []string{FeaturePrefix}
			}},
		{rule: "a booked link is waited for", class: bundle.Draft, prefill: "p2",
			setup: func(f *testFleet, _ *Query) {
				f.moveToOneDataCentre()
				f.replica("p0").LinkFreeAt = t0.Add(400 * time.Millisecond)
				f.inflight.links = map[string]time.Time{"p1": t0.Add(300 * time.Millisecond)}
			}},
		{rule: "no prefill whose result dies before the link is free", class: bundle.Draft, kind: errkind.Overloaded,
			setup: func(f *testFleet, _ *Query) {
				f.updatePool("d", func(r *Replica) { r.LinkFreeAt = t0.Add(900 * time.Millisecond) })
			}},
		{rule: "own bookings count on a decode engine's link", class: bundle.Draft, kind: errkind.Overloaded,
			setup: func(f *testFleet, _ *Query) {
				f.moveToOneDataCentre()
				f.inflight.links = map[string]time.Time{"d0": busyLinkFreeAt, "d1": busyLinkFreeAt, "d2": busyLinkFreeAt}
			}},
		{rule: "but not on one without a limit", class: bundle.Draft,
			setup: func(f *testFleet, _ *Query) {
				f.updatePool("d", func(r *Replica) { r.LinkBytesPerSecond = 0 })
				f.inflight.links = map[string]time.Time{"d0": busyLinkFreeAt}
			}},
		{rule: "first token too late", class: bundle.Urgent, kind: errkind.DeadlineUnreachable,
			setup: func(f *testFleet, q *Query) { q.PromptTokens = 12_000 }},
		{rule: "ablation: first token too late, admitted", class: bundle.Urgent,
			setup: func(f *testFleet, q *Query) {
				q.PromptTokens = 12_000
				f.bundle.Policy.Disable = []string{FeatureEarlyRefusal}
			}},
		{rule: "urgent goes ahead of the queue", class: bundle.Urgent,
			setup: func(f *testFleet, _ *Query) { f.updatePool("p", func(r *Replica) { r.QueuedTokens = 20_000 }) }},
		{rule: "time between tokens too long", class: bundle.Urgent, kind: errkind.DeadlineUnreachable,
			setup: func(f *testFleet, _ *Query) { f.updatePool("d", func(r *Replica) { r.Step = 60 * time.Millisecond }) }},
		{rule: "whole answer too late", class: bundle.Draft, kind: errkind.DeadlineUnreachable,
			setup: func(f *testFleet, q *Query) { q.MaxTokens, q.AnswerTokens = 8000, 4000 }},
		{rule: "a whole answer of unknown length is tried", class: bundle.Draft,
			setup: func(f *testFleet, q *Query) { q.MaxTokens, q.AnswerTokens = 8000, 0 }},
		{rule: "a retry was admitted before", class: bundle.Urgent,
			setup: func(f *testFleet, q *Query) { q.PromptTokens = 12_000; q.Attempt = 2 }},
		{rule: "goodput counts more: a near miss is tried", class: bundle.Draft, setup: nearMissWithWeights(1, 0)},
		{rule: "prefill counts more: a near miss is refused", class: bundle.Draft, kind: errkind.DeadlineUnreachable, setup: nearMissWithWeights(0, 1)},
		{rule: "bound of a team", class: bundle.Urgent, kind: errkind.TeamLimit,
			setup: func(f *testFleet, _ *Query) {
				f.bundle.Teams["a"] = bundle.Team{Weight: 1, MaxInFlight: 3}
				f.inflight.teams = map[string]int{"a": 3}
			}},
		{rule: "over its share without a slot", class: bundle.Draft, kind: errkind.TeamLimit, setup: overFairShare},
		{rule: "a heavier team has a larger share", class: bundle.Draft, kind: errkind.Overloaded,
			setup: func(f *testFleet, q *Query) { overFairShare(f, q); f.bundle.Teams["a"] = bundle.Team{Weight: 9} }},
		{rule: "no share while a slot is free", class: bundle.Draft, decode: "d0",
			setup: func(f *testFleet, q *Query) { overFairShare(f, q); f.replica("d0").Active = 17 }},
		{rule: "chance is not over the share", class: bundle.Draft, kind: errkind.Overloaded,
			setup: func(f *testFleet, q *Query) { overFairShare(f, q); f.inflight.teams = map[string]int{"a": 30, "b": 10} }},
		{rule: "no share without others", class: bundle.Draft, kind: errkind.Overloaded,
			setup: func(f *testFleet, q *Query) { overFairShare(f, q); f.inflight.teams = map[string]int{"a": 60} }},
		{rule: "urgent is not held to the share", class: bundle.Urgent, kind: errkind.Overloaded, setup: overFairShare},
		{rule: "full is waited for while the target allows", class: bundle.Draft, reason: "queue",
			setup: fillPoolAndAllowWait},
		{rule: "urgent pauses rather than waits", class: bundle.Urgent, reason: "pause-draft",
			setup: func(f *testFleet, q *Query) {
				fillPoolAndAllowWait(f, q)
				f.inflight.pausable = map[string]int{"d0": 1}
			}},
		{rule: "full is refused at once when the turn comes too late", class: bundle.Draft, kind: errkind.Overloaded,
			setup: func(f *testFleet, q *Query) { fillPoolAndAllowWait(f, q); q.QueuedAhead = 40 }},
		{rule: "the longer the fewer may wait", class: bundle.Draft, kind: errkind.Overloaded,
			setup: func(f *testFleet, q *Query) {
				fillPoolAndAllowWait(f, q)
				q.Accepted = t0.Add(-3900 * time.Millisecond)
			}},
		{rule: "what waited too long is refused although a slot is free", class: bundle.Draft, kind: errkind.DeadlineUnreachable,
			setup: func(_ *testFleet, q *Query) { q.Accepted = t0.Add(-4 * time.Second) }},
		{rule: "goodput counts more: a near miss is not waited for", class: bundle.Draft, kind: errkind.Overloaded,
			setup: func(f *testFleet, q *Query) {
				fillPoolAndAllowWait(f, q)
				f.bundle.Policy.GoodputWeight, f.bundle.Policy.WastedPrefillWeight = 1, 0
				q.Accepted = t0.Add(-3900 * time.Millisecond)
			}},
		{rule: "prefill counts for who may wait", class: bundle.Draft, kind: errkind.Overloaded,
			setup: func(f *testFleet, q *Query) { fillPoolAndAllowWait(f, q); q.PromptTokens = 39_000 }},
		{rule: "the deadline counts for who may wait", class: bundle.Draft, kind: errkind.Overloaded,
			setup: func(f *testFleet, q *Query) { fillPoolAndAllowWait(f, q); q.Deadline = t0.Add(2 * time.Second) }},
		{rule: "the step counts for who may wait", class: bundle.Draft, kind: errkind.Overloaded,
			setup: func(f *testFleet, q *Query) {
				fillPoolAndAllowWait(f, q)
				f.updatePool("d", func(r *Replica) { r.Step = 110 * time.Millisecond })
			}},
		{rule: "who waited longer comes first", class: bundle.Draft, reason: "queue",
			setup: func(f *testFleet, q *Query) { fillPoolAndAllowWait(f, q); f.fillDecode(2); q.QueuedAhead = 1 }},
		{rule: "the queue is bounded", class: bundle.Draft, kind: errkind.Overloaded,
			setup: func(f *testFleet, q *Query) {
				fillPoolAndAllowWait(f, q)
				f.inflight.teams = map[string]int{"a": 5000}
				q.QueuedAhead = 64
			}},
		{rule: "a team over its share does not wait", class: bundle.Draft, kind: errkind.TeamLimit,
			setup: func(f *testFleet, q *Query) { overFairShare(f, q); q.MayWait = true }},
		{rule: "nobody waits for a pool without members", class: bundle.Draft, kind: errkind.NoUpstream,
			setup: func(f *testFleet, q *Query) {
				fillPoolAndAllowWait(f, q)
				f.updatePool("d", func(r *Replica) { r.EjectedUntil = t0.Add(time.Second) })
			}},
		{rule: "ablation: no queue", class: bundle.Draft, kind: errkind.Overloaded,
			setup: func(f *testFleet, q *Query) {
				fillPoolAndAllowWait(f, q)
				f.bundle.Policy.Disable = []string{FeatureQueue}
			}},
		{rule: "excluded are not asked again", class: bundle.Draft, decode: "d1", prefill: "p1",
			setup: func(_ *testFleet, q *Query) { q.Exclude = []string{"d0", "d2", "p0", "p2"} }},
		{rule: "all excluded", class: bundle.Draft, kind: errkind.NoUpstream,
			setup: func(_ *testFleet, q *Query) { q.Exclude = []string{"p0", "p1", "p2"} }},
		{rule: "all ejected", class: bundle.Draft, kind: errkind.NoUpstream,
			setup: func(f *testFleet, _ *Query) {
				f.updatePool("d", func(r *Replica) { r.EjectedUntil = t0.Add(time.Second) })
			}},
		{rule: "unknown model", class: bundle.Draft, kind: errkind.UnknownModel,
			setup: func(_ *testFleet, q *Query) { q.Model = "other" }},
	}
	for _, row := range rows {
		t.Run(row.rule, func(t *testing.T) {
			for seed := range uint64(50) {
				f, q := newFleet(3), query(row.class)
				row.setup(f, &q)
				p, err := f.plan(NameReserve, q, seed)
				got := []string{"", p.Decode.Name, p.Prefill.Name, p.Reason}
				if err != nil {
					got[0] = string(err.Kind)
				}
				want := []string{string(row.kind), firstNonEmpty(row.decode, p.Decode.Name), firstNonEmpty(row.prefill, p.Prefill.Name), firstNonEmpty(row.reason, p.Reason)}
				if d := cmp.Diff(want, got); d != "" {
					t.Fatalf("seed %d: %v\n%s", seed, err, d)
				}
				if p.PauseDraft != (p.Reason == "pause-draft") || p.PauseDraft && p.BetweenTokens != predictStep(&p.Decode, 20) {
					t.Fatalf("PauseDraft is %v with reason %s and step %v", p.PauseDraft, p.Reason, p.BetweenTokens)
				}
				if (p.Wait > 0) != (p.Reason == "queue") {
					t.Fatalf("wait is %s with reason %s", p.Wait, p.Reason)
				}
				if p.Wait == 0 && err == nil && p.PrefillFirst != slices.Contains(f.bundle.Policy.Disable, FeatureDecodeFirst) {
					t.Fatalf("PrefillFirst is %v", p.PrefillFirst)
				}
			}
		})
	}
}

// firstNonEmpty returns a, or b if a is empty.
func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// TestOnlyUsableEngineIsFound verifies that a request finds the only usable engine of many with
// every seed.
func TestOnlyUsableEngineIsFound(t *testing.T) {
	for class, others := range map[bundle.Class]int{bundle.Urgent: 20, bundle.Draft: 19} {
		for seed := range uint64(50) {
			f := newFleet(60)
			f.fillDecode(others)
			f.replica("d7").Active = 3
			if p, err := f.plan(NameReserve, query(class), seed); err != nil || p.Decode.Name != "d7" {
				t.Fatalf("%s: decode on %q, error %v", class, p.Decode.Name, err)
			}
		}
	}
}

// TestSamePrefixGoesToSameReplica verifies that prompts with the same prefix go to the same
// replicas in a pool larger than a sample: by the prefix index in a small pool, by hash in a
// large one.
func TestSamePrefixGoesToSameReplica(t *testing.T) {
	for size, prefix := range map[int]PrefixIndex{14: fakePrefixIndex{"p9": 5}, 40: nil} {
		f, seen := newFleet(size), map[string]bool{}
		f.moveToOneDataCentre()
		f.prefix = prefix
		queuedTokens := 0 // grows by one per replica, so that no two are equal
		f.updatePool("p", func(r *Replica) { r.QueuedTokens, queuedTokens = queuedTokens, queuedTokens+1 })
		q := query(bundle.Draft)
		for first := range uint64(16) {
			h := first * 0x9e3779b97f4a7c15 // each hash covers all earlier blocks, so all of them differ
			q.Prefix = []uint64{h, h + 2, h + 3, h + 4, h + 5}
			chosen := map[string]bool{}
			for seed := range uint64(20) {
				p, err := f.plan(NameReserve, q, seed)
				if err != nil {
					t.Fatal(err)
				}
				chosen[p.Prefill.Name], seen[p.Prefill.Name] = true, true
			}
			if len(chosen) > len(affinityDepths) || (prefix != nil && !chosen["p9"]) {
				t.Errorf("pool of %d: prompts with one prefix went to %v", size, chosen)
			}
		}
		if prefix == nil && len(seen) < 6 {
			t.Errorf("sixteen prefixes went to only %d replicas", len(seen))
		}
	}
}

// Guards against shared prefixes that each daemon of a fleet sends to another engine, so that
// they are computed once for every daemon: in a small pool the prefix index of a daemon holds
// only the prompts that it has sent itself.
func TestDaemonsAgreeOnPrefixOwner(t *testing.T) {
	for _, size := range []int{8, 200} {
		f := newFleet(size)
		f.moveToOneDataCentre()
		q, agreed := query(bundle.Draft), 0
		const prefixes = 50
		for i := range uint64(prefixes) {
			q.Prefix = []uint64{(i + 1) * 0x9e3779b97f4a7c15}
			first, err := f.plan(NameReserve, q, 2*i)
			if err != nil {
				t.Fatal(err)
			}
			second, err := f.plan(NameReserve, q, 2*i+1)
			if err != nil {
				t.Fatal(err)
			}
			if first.Prefill.Name == second.Prefill.Name {
				agreed++
			}
		}
		if agreed < prefixes*9/10 {
			t.Errorf("pool of %d: two daemons agree on %d of %d prefixes", size, agreed, prefixes)
		}
	}
}

// Guards against caches that are lost when a replica comes or goes, and against daemons that
// know different subsets of a pool and agree on no owner.
func TestPrefixOwnersOfOverlappingLists(t *testing.T) {
	var all []*Replica
	for i := range 400 {
		all = append(all, &Replica{Name: fmt.Sprintf("engine-%d", i)})
	}
	const prefixes = 2000
	same := func(a, b []*Replica) (n int) {
		for i := range uint64(prefixes) {
			if h := mixHash(i); prefixOwner(a, h) == prefixOwner(b, h) {
				n++
			}
		}
		return n
	}
	if n := same(all, all[1:]); n < prefixes*99/100 {
		t.Errorf("without one replica of 400, %d of %d prefixes keep their owner", n, prefixes)
	}
	// Two halves that share a quarter of the pool: a third of their union.
	if n := same(all[:200], all[100:300]); n < prefixes/4 {
		t.Errorf("two overlapping halves agree on %d of %d prefixes", n, prefixes)
	}
}

func TestPlanPredictsTransfer(t *testing.T) {
	f, q := newFleet(3), query(bundle.Draft)
	f.moveToOneDataCentre()
	f.updatePool("p", func(r *Replica) { r.QueuedTokens = 1600; r.LinkFreeAt = t0.Add(250 * time.Millisecond) })
	f.updatePool("d", func(r *Replica) { r.LinkBytesPerSecond = 1_000_000; r.Step = 40 * time.Millisecond; r.Active = 10 })
	p, err := f.plan(NameReserve, q, 1)
	if err != nil {
		t.Fatal(err)
	}
	// 2,000 tokens at 100 µs take 200 ms, the link is free after 250 ms, 400 kB at the slower
	// rate take 400 ms, and the step grows by the ratio of 1.33 to 1.30.
	busy := 40 * time.Millisecond
	step := time.Duration(float64(busy) / 1.3 * 1.33)
	want := Plan{TokensAhead: 1600, Transfer: 400 * time.Millisecond, TransferAt: t0.Add(250 * time.Millisecond),
		BetweenTokens: step, FirstToken: 654*time.Millisecond + step, Priority: 1}
	got := Plan{TokensAhead: p.TokensAhead, Transfer: p.Transfer, TransferAt: p.TransferAt,
		BetweenTokens: p.BetweenTokens.Round(time.Microsecond), FirstToken: p.FirstToken.Round(time.Microsecond), Priority: p.Priority}
	want.BetweenTokens, want.FirstToken = want.BetweenTokens.Round(time.Microsecond), want.FirstToken.Round(time.Microsecond)
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

// TestRetryDelaysAreJittered guards against retry delays without jitter. Without jitter, callers
// that are refused together by a full pool retry together. The few slots freed since are taken
// at once, and each second nearly the same callers are refused again.
func TestRetryDelaysAreJittered(t *testing.T) {
	f := newFleet(3)
	f.fillDecode(20)
	const callers, span = 400, 20
	var slots [span]int
	for seed := range uint64(callers) {
		_, err := f.plan(NameReserve, query(bundle.Draft), seed)
		at := err.RetryAfter - minRetryAfter
		if at < 0 || at >= minJitter {
			t.Fatalf("retry delay is %v", err.RetryAfter)
		}
		slots[int(at*span/minJitter)]++
	}
	for i, n := range slots {
		if n > 3*callers/span {
			t.Errorf("%d of %d callers retry in slot %d of %d", n, callers, i, span)
		}
	}
}

// TestRetryAfterGrowsWithTheBacklog verifies that the retry delay depends on the backlog.
func TestRetryAfterGrowsWithTheBacklog(t *testing.T) {
	mean := func(setup func(*testFleet, *Query)) time.Duration {
		var sum time.Duration
		for seed := range uint64(100) {
			f, q := newFleet(3), query(bundle.Draft)
			setup(f, &q)
			_, err := f.plan(NameReserve, q, seed)
			sum += err.RetryAfter
		}
		return sum / 100
	}
	long := func(f *testFleet, q *Query) { f.fillDecode(18); q.MaxTokens, q.AnswerTokens = 8000, 4000 }
	full := func(f *testFleet, q *Query) { f.fillDecode(20); q.MaxTokens, q.AnswerTokens = 8000, 4000 }
	slowPrefill := func(f *testFleet, q *Query) { q.PromptTokens = 90_000 }
	ejected := func(f *testFleet, _ *Query) {
		f.updatePool("d", func(r *Replica) { r.EjectedUntil = t0.Add(9 * time.Second) })
	}
	trials := func(f *testFleet, q *Query) {
		ejected(f, q)
		f.updatePool("d", func(r *Replica) { r.Silent = true })
		f.inflight.requests = map[string]int{"d0": maxTrialsPerReplica, "d1": maxTrialsPerReplica, "d2": maxTrialsPerReplica}
	}
	// A slot is freed every 4,000 tokens * 38 ms / 60 slots = 2.5 s. The headroom is six slots.
	for _, c := range []struct {
		name     string
		setup    func(*testFleet, *Query)
		min, max time.Duration
	}{
		{"one slot short", long, 2 * time.Second, 6 * time.Second},
		{"all the headroom short", full, 15 * time.Second, 40 * time.Second},
		{"first token 5 s late", slowPrefill, 5 * time.Second, 10 * time.Second},
		{"all ejected for 9 s", ejected, 10 * time.Second, 18 * time.Second},
		{"all ejected for 9 s, with trials", trials, 10 * time.Second, 18 * time.Second},
	} {
		if got := mean(c.setup); got < c.min || got > c.max {
			t.Errorf("%s: mean retry delay is %v, want %v to %v", c.name, got, c.min, c.max)
		}
	}
}
