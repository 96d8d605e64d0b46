package board

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// TestLeaving has a case for each way in which a leaving notice is kept or cleared.
// Each starts with upstreams a and b serving in version 1 and checks which of them
// snapshots list afterwards.
func TestLeaving(t *testing.T) {
	notice := func(s LeavingSource) func(*Board) { return func(b *Board) { b.MarkLeaving(t0, "a", s) } }
	setVersion := func(n uint64, edit func(map[string]bundle.Upstream)) func(*Board) {
		return func(b *Board) { b.SetVersion(after(time.Second), version(n, "ab", edit)) }
	}
	state := func(s bundle.UpstreamState) func(map[string]bundle.Upstream) {
		return func(ups map[string]bundle.Upstream) {
			u := ups["a"]
			u.State = s
			ups["a"] = u
		}
	}
	report := func(l engineapi.Load) func(*Board) {
		return func(b *Board) { b.ApplyReport(after(time.Second), "a", l, 0) }
	}
	row := func(at time.Duration, leaving bool) func(*Board) {
		return func(b *Board) {
			b.ApplyRows(after(at), []wire.BoardRow{{BundleNumber: 1, Index: 0, Leaving: leaving, AgeMS: 100}})
		}
	}
	leavingLoad := engineapi.Load{Incarnation: 1, Seq: 2, Leaving: true}
	rows := []struct {
		name    string
		steps   []func(*Board)
		want    string
		notices []string
	}{
		{"nobody", nil, "ab", nil},
		{"the instance list", []func(*Board){notice(FromInstances)}, "b", []string{"a"}},
		{"the upstream", []func(*Board){notice(FromUpstream)}, "b", []string{"a"}},
		{"the upstream's load, an old one too", []func(*Board){report(load(1, 3, 0)), report(leavingLoad)}, "b", []string{"a"}},
		{"a bundle record not yet in force", []func(*Board){notice(FromBundle)}, "b", []string{"a"}},
		{"a peer, whose notice is not passed on", []func(*Board){notice(FromPeer)}, "b", nil},
		{"a steward's row", []func(*Board){row(time.Second, true)}, "b", nil},
		{"the bundle in force", []func(*Board){setVersion(2, state(bundle.StateLeaving))}, "b", nil},
		{"joining", []func(*Board){setVersion(2, state(bundle.StateJoining))}, "b", nil},
		{"holds while another report says nothing", []func(*Board){report(leavingLoad), report(load(1, 3, 0))}, "b", []string{"a"}},
		{"holds in a newer version that changes something else", []func(*Board){notice(FromInstances), setVersion(2, nil)}, "b", []string{"a"}},
		{"holds against the version in force told again", []func(*Board){notice(FromInstances), setVersion(1, state(bundle.StateServing))}, "b", []string{"a"}},
		{"ends when the bundle takes it back", []func(*Board){notice(FromInstances), setVersion(2, state(bundle.StateLeaving)), setVersion(3, nil)}, "ab", nil},
		{"the upstream's own holds when the bundle changes its entry", []func(*Board){notice(FromUpstream), setVersion(2, state(bundle.StateLeaving)), setVersion(3, nil)}, "b", []string{"a"}},
		{"another upstream's answer at its address ends with its entry", []func(*Board){notice(FromAddress), setVersion(2, state(bundle.StateLeaving)), setVersion(3, nil)}, "ab", nil},
		{"ends when it restarted", []func(*Board){report(leavingLoad), report(load(2, 1, 0))}, "ab", nil},
		{"holds against a late report of the life before", []func(*Board){report(load(1, 1, 0)), report(load(2, 1, 0)), notice(FromUpstream), report(load(1, 9, 0))}, "b", []string{"a"}},
		{"ends when its steward heard it serve well after", []func(*Board){notice(FromUpstream), row(6*time.Second, false)}, "ab", nil},
		{"holds when its steward heard it serve about then", []func(*Board){notice(FromUpstream), row(2*time.Second, false)}, "b", []string{"a"}},
		{"the list's notice holds against a steward's row", []func(*Board){notice(FromInstances), row(6*time.Second, false)}, "b", []string{"a"}},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			b := newBoard("ab")
			for _, step := range r.steps {
				step(b)
			}
			if got := listedNames(b, after(10*time.Second)); got != r.want {
				t.Errorf("listed %q, want %q", got, r.want)
			}
			if d := cmp.Diff(r.notices, b.LeavingNotices()); d != "" {
				t.Error(d)
			}
			if got := b.Statuses(after(10 * time.Second))[0]; got.Leaving != (r.want == "b") && got.Spec.State != bundle.StateJoining {
				t.Errorf("%+v", got)
			}
		})
	}
}

// TestPeerNoticeExpires guards against an upstream that one daemon never uses again. A
// peer reports that the upstream is leaving; the upstream restarts; the peer sees the
// restart and stops reporting. The daemon sends the upstream no requests, so it does
// not learn of the restart, and the peer's notice must expire.
func TestPeerNoticeExpires(t *testing.T) {
	b := newBoard("ab")
	b.MarkLeaving(t0, "a", FromPeer)
	b.MarkLeaving(after(30*time.Second), "a", FromPeer)
	got := []string{listedNames(b, after(89*time.Second)), listedNames(b, after(90*time.Second))}
	if d := cmp.Diff([]string{"b", "ab"}, got); d != "" {
		t.Error(d)
	}
}

// TestPeersWithdrawNotices guards against upstreams that get no requests for a minute
// after a restart. An upstream announces that it is leaving and restarts; the peer that
// received the notice repeats it for a few heartbeats and then omits it, which must
// clear the notice before it expires.
func TestPeersWithdrawNotices(t *testing.T) {
	one, next, other := wire.NodeID{Instance: "one", Incarnation: 1}, wire.NodeID{Instance: "one", Incarnation: 2}, wire.NodeID{Instance: "other", Incarnation: 1}
	type heartbeat struct {
		peer  wire.NodeID
		names []string
	}
	for name, tc := range map[string]struct {
		heartbeats []heartbeat
		want       string
	}{
		"taken back":                    {[]heartbeat{{one, []string{"a"}}, {one, nil}}, "ab"},
		"one of two taken back":         {[]heartbeat{{one, []string{"a", "b"}}, {one, []string{"b"}}}, "a"},
		"another peer still says it":    {[]heartbeat{{one, []string{"a"}}, {other, []string{"a"}}, {one, nil}}, "b"},
		"both take it back":             {[]heartbeat{{one, []string{"a"}}, {other, []string{"a"}}, {one, nil}, {other, nil}}, "ab"},
		"a silent peer takes none back": {[]heartbeat{{one, []string{"a"}}, {other, nil}}, "b"},
		"nor does its next life":        {[]heartbeat{{one, []string{"a"}}, {next, nil}}, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBoard("ab")
			for i, h := range tc.heartbeats {
				b.ApplyPeerNotices(after(time.Duration(i)*time.Second), h.peer, h.names)
			}
			if got := listedNames(b, after(10*time.Second)); got != tc.want {
				t.Errorf("listed %q, want %q", got, tc.want)
			}
		})
	}
}

func TestSetVersionKeepsUnchangedUpstreams(t *testing.T) {
	b := newBoard("abc")
	for _, name := range []string{"a", "b", "c"} {
		b.ApplyReport(t0, name, load(1, 1, 7), 0)
	}
	b.SetVersion(after(time.Second), version(2, "acd", func(ups map[string]bundle.Upstream) {
		u := ups["c"]
		u.Address = "127.0.0.1:new"
		ups["c"] = u
	}))
	b.SetVersion(after(time.Second), version(1, "b", nil))
	b.Snapshot(after(time.Second))
	same := version(3, "acd", nil)
	same.Bundle.Upstreams = b.version.Bundle.Upstreams
	same.Bundle.Pools = map[string]bundle.Pool{"d": {Role: bundle.RoleDecode, Slots: 9}}
	b.SetVersion(after(time.Second), same)
	if got := findReplica(b.Snapshot(after(time.Second)), "a").Slots; got != 9 {
		t.Errorf("%d slots after the pool changed", got)
	}
	pool := func(n uint64, headroom float64) *policy.Pool {
		content := *same.Bundle
		content.Policy.UrgentHeadroom = headroom
		b.SetVersion(after(time.Second), &bundle.Version{Number: n, Bundle: &content})
		return b.Snapshot(after(time.Second)).Pool("d")
	}
	if first := pool(4, 0); pool(5, 0) != first || pool(6, 0.5) == first {
		t.Error("the pool is rebuilt without a change, or not rebuilt after the headroom changed")
	}
	if got := listedNames(b, after(time.Second)); got != "acd" {
		t.Fatalf("listed %q, want acd", got)
	}
	s := b.Snapshot(after(time.Second))
	got := []int{findReplica(s, "a").Active, findReplica(s, "c").Active, findReplica(s, "d").Active}
	if d := cmp.Diff([]int{7, 0, 0}, got); d != "" || s.Number != 6 {
		t.Errorf("version %d: %s", s.Number, d)
	}
}

// TestEjection guards against three errors in outlier ejection: a broken upstream is
// not ejected, so that one of three upstreams fails every third request; repeated
// ejections do not get longer; or the upstream returns at full weight and fails again
// under the load.
func TestEjection(t *testing.T) {
	b := newBoard("a")
	fail := func(at time.Duration, n int) {
		for range n {
			b.RecordFailure(after(at), "a")
		}
	}
	weight := func(at time.Duration) float64 {
		if r := findReplica(b.Snapshot(after(at)), "a"); r != nil {
			return math.Round(100*r.Weight) / 100
		}
		return 0
	}
	const ms = time.Millisecond
	steps := []struct {
		name string
		do   func()
		at   time.Duration
		want float64
	}{
		{"two failures", func() { fail(0, 2) }, 0, 1},
		{"a success between", func() { b.RecordSuccess(t0, "a"); fail(0, 2) }, 0, 1},
		{"three in a row", func() { fail(0, 1) }, 0, 0},
		{"failures during the ejection", func() { fail(100*ms, 9) }, 499 * ms, 0},
		{"slow start", nil, 500 * ms, 0.1},
		{"a success does not end the slow start", func() { b.RecordSuccess(after(time.Second), "a") }, 3000 * ms, 0.55},
		{"one failure ejects for twice as long", func() { fail(3000*ms, 1) }, 3999 * ms, 0},
		{"second slow start", nil, 4000 * ms, 0.1},
		{"a success after the slow start", func() { b.RecordSuccess(after(10*time.Second), "a") }, 10 * time.Second, 1},
		{"two failures do not eject", func() { fail(11*time.Second, 2) }, 11 * time.Second, 1},
		{"the first ejection is short again", func() { fail(11*time.Second, 1) }, 11500 * ms, 0.1},
	}
	for _, s := range steps {
		if s.do != nil {
			s.do()
		}
		if got := weight(s.at); got != s.want {
			t.Errorf("%s: weight %v, want %v", s.name, got, s.want)
		}
	}
	if got := ejectionTime(99, Config{}.withDefaults()); got != 30*time.Second {
		t.Errorf("the 99th ejection lasts %v, want 30s", got)
	}
	if got := b.Snapshot(after(12 * time.Second)).Pool("d").EarliestEjectionEnd(); !got.IsZero() {
		t.Errorf("ejection ends at %v, want none", got)
	}
}

func TestRowsCarryLoadsWithTheirAge(t *testing.T) {
	sender, receiver := newBoard("abc"), newBoard("abc")
	sender.ApplyReport(t0, "b", engineapi.Load{Incarnation: 1, Seq: 1, Slots: 20, Active: 300, Queued: 2, QueuedTokens: 700, StepMS: 41, LinkBusyMS: 500}, 200*time.Millisecond)
	sender.ApplyReport(after(-9*time.Second), "c", load(1, 1, 5), 0)
	rows := sender.Rows(after(300*time.Millisecond), []string{"a", "b", "c"})
	want := []wire.BoardRow{{BundleNumber: 1, Index: 1, Active: 255, Queued: 2, StepMS: 41, LinkBusyMS: 0, QueuedKTok: 3, AgeMS: 500}}
	if d := cmp.Diff(want, rows); d != "" {
		t.Fatal(d)
	}
	receiver.ApplyReport(after(-time.Second), "b", load(1, 1, 9), 0)
	receiver.ApplyRows(after(time.Second), rows)
	r := findReplica(receiver.Snapshot(after(time.Second)), "b")
	if r.Active != 255 || r.QueuedTokens != 768 || !r.LoadAt.Equal(after(500*time.Millisecond)) {
		t.Errorf("%+v", r)
	}
	rows[0].AgeMS, rows[0].Active = 900, 1
	receiver.ApplyRows(after(time.Second), rows)
	for _, other := range []wire.BoardRow{{BundleNumber: 0, Index: 1, Active: 2}, {BundleNumber: 2, Index: 1, Active: 3}, {BundleNumber: 1, Index: 3}} {
		receiver.ApplyRows(after(2*time.Second), []wire.BoardRow{other})
	}
	receiver.SetVersion(t0, version(2, "abc", func(ups map[string]bundle.Upstream) {
		u := ups["c"]
		u.State = bundle.StateLeaving
		ups["c"] = u
	})) // the same names, so the indexes of version 1 remain valid
	receiver.ApplyRows(after(3*time.Second), []wire.BoardRow{{BundleNumber: 1, Index: 0, Active: 4}})
	s := receiver.Snapshot(after(3 * time.Second))
	if got := []int{findReplica(s, "a").Active, findReplica(s, "b").Active}; !cmp.Equal(got, []int{4, 255}) {
		t.Errorf("active %v", got)
	}
}

func TestPrefillSpeedIsLearnedAndExpires(t *testing.T) {
	b := newBoard("a")
	observe := func(at time.Duration, tokens, ahead int, took time.Duration) {
		b.RecordPrefill(after(at), "a", PrefillResult{PrefillTokens: tokens, TokensAhead: ahead, PrefillTime: took})
	}
	speed := func(at time.Duration) time.Duration { return findReplica(b.Snapshot(after(at)), "a").PrefillPerToken }
	observe(0, 10, 0, time.Second) // below minPrefillSample
	got := []time.Duration{speed(0)}
	observe(0, 1000, 1000, 200*time.Millisecond)
	got = append(got, speed(0))
	observe(0, 1000, 0, 300*time.Millisecond) // slower sample, as after an unknown wait
	got = append(got, speed(0))
	observe(0, 1000, 0, 60*time.Millisecond)
	got = append(got, speed(0), speed(29*time.Second), speed(30*time.Second))
	const us = time.Microsecond
	if d := cmp.Diff([]time.Duration{0, 100 * us, 120 * us, 90 * us, 90 * us, 0}, got); d != "" {
		t.Error(d)
	}
}

// TestPrefixIndexErrsWithinItsBound simulates an engine's cache and drops some of its
// cache events. The index may contain at most one wrong block for each lost event.
func TestPrefixIndexErrsWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Config{PrefixBlocks: 64})
		b.SetVersion(t0, version(1, "a", nil))
		cached, lost, seq := map[uint64]bool{}, 0, uint64(0)
		var delivered []engineapi.CacheEvent
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			seq++
			block := rapid.Uint64Range(1, 40).Draw(t, "block")
			cached[block] = !cached[block]
			if seq > 1 && rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				lost++
				continue
			}
			ev := engineapi.CacheEvent{Seq: seq, Block: block, Evicted: !cached[block]}
			delivered = append(delivered, ev)
			repeated := rapid.SampledFrom(delivered).Draw(t, "again")
			b.CacheEvents(t0, "a", engineapi.EventsReply{Incarnation: 1, Next: seq + 1, Events: []engineapi.CacheEvent{ev, repeated}})
		}
		set, wrong := b.prefix.caches["a"].set, 0
		for block := range uint64(41) {
			if set.contains(block) && !cached[block] {
				wrong++
			}
		}
		if wrong > lost {
			t.Fatalf("%d wrong blocks after %d lost events", wrong, lost)
		}
		if lost == 0 && set.unreliable {
			t.Fatal("unreliable without a lost event")
		}
	})
}

func TestLostEventsReduceReliability(t *testing.T) {
	prefix := make([]uint64, 32)
	for i := range prefix {
		prefix[i] = uint64(i + 1)
	}
	store := func(incarnation, from, skip uint64) engineapi.EventsReply {
		r := engineapi.EventsReply{Incarnation: incarnation, Next: from + skip + 32}
		for i, block := range prefix {
			r.Events = append(r.Events, engineapi.CacheEvent{Seq: from + skip + uint64(i), Block: block})
		}
		return r
	}
	b := newBoard("a")
	b.CacheEvents(t0, "a", engineapi.EventsReply{Incarnation: 1, Next: 900})
	if b.EventsFrom("a") != 900 || b.prefix.caches["a"].set != nil {
		t.Error("a reply without events allocates a set, or its position is not stored")
	}
	old := b.Snapshot(t0)
	steps := []struct {
		name string
		do   func()
		want int
	}{
		{"no events", func() {}, 0},
		{"first events", func() { b.CacheEvents(t0, "a", store(1, 900, 0)) }, 32},
		{"repeated events", func() { b.CacheEvents(t0, "a", store(1, 900, 0)) }, 32},
		{"a late eviction", func() {
			b.CacheEvents(t0, "a", engineapi.EventsReply{Incarnation: 1, Next: 932, Events: []engineapi.CacheEvent{{Seq: 900, Block: 1, Evicted: true}}})
		}, 32},
		{"one event of 32 lost", func() { b.CacheEvents(t0, "a", store(1, 932, 1)) }, 32},
		{"four lost", func() { b.CacheEvents(t0, "a", engineapi.EventsReply{Incarnation: 1, Next: 968}) }, 16},
		{"a prompt was cached as recorded", func() {
			b.RecordPrefill(t0, "a", PrefillResult{Prefix: prefix[:20], CachedTokens: 20 * engineapi.BlockTokens})
		}, 16},
		{"a prompt was not cached", func() { b.RecordPrefill(t0, "a", PrefillResult{Prefix: prefix[:20]}) }, 20},
		{"the engine restarted", func() { b.CacheEvents(t0, "a", engineapi.EventsReply{Incarnation: 2, Next: 9}) }, 0},
	}
	for _, s := range steps {
		s.do()
		if got := b.Snapshot(t0).Prefix.CachedBlocks("a", prefix); got != s.want {
			t.Errorf("%s: %d blocks, want %d", s.name, got, s.want)
		}
	}
	shown := b.Snapshot(t0)
	b.CacheEvents(t0, "a", engineapi.EventsReply{Incarnation: 2, Next: 10, Events: []engineapi.CacheEvent{{Seq: 9, Block: 1}}})
	if got := shown.Prefix.CachedBlocks("a", prefix); got != 0 {
		t.Errorf("an existing snapshot shows an unpublished change: %d blocks", got)
	}
	if got := b.EventsFrom("a"); got != 10 || old.Prefix.CachedBlocks("x", prefix) != 0 {
		t.Errorf("next event is %d, want 10, or blocks of an unknown upstream are cached", got)
	}
}

// Guards against unbounded memory growth over hours: when prompts occasionally go to
// further engines, each engine that ever got one would keep a prefix set.
func TestPrefixSetsAreBounded(t *testing.T) {
	b := newBoard("abcdefgh")
	b.cfg.PrefixSets = 3
	for _, name := range []string{"a", "b", "c", "a", "d", "e", "a", "f"} {
		b.RecordPrefill(t0, name, PrefillResult{Prefix: []uint64{1}})
	}
	kept := ""
	index := b.Snapshot(t0).Prefix
	for _, name := range b.names {
		if index.CachedBlocks(name, []uint64{1}) > 0 {
			kept += name
		}
	}
	if kept != "aef" {
		t.Errorf("sets kept for %q, want the most recently used, aef", kept)
	}
}

// Guards against slow requests when a data centre becomes unreachable. If each of its
// upstreams has to fail several times before it is ejected, every request waits for the
// timeout of one upstream after the other, for seconds in all, although the engines of
// the daemon's own data centre are idle.
func TestUnansweredUpstreamsAreEjected(t *testing.T) {
	offeredAt := func(b *Board, at time.Duration) string { return listedNames(b, after(at)) }
	for _, tc := range []struct {
		name string
		cfg  Config
		do   func(*Board)
		want string
	}{
		{"setting off", Config{}, func(b *Board) { b.RecordUnanswered(after(0), "a", false) }, "abcd"},
		{"one unanswered", Config{EjectUnanswered: true}, func(b *Board) { b.RecordUnanswered(after(0), "a", false) }, "bcd"},
		{"two of a data centre: all of it is ejected", Config{EjectUnanswered: true}, func(b *Board) {
			b.RecordUnanswered(after(0), "a", false)
			b.RecordUnanswered(after(0), "b", false)
		}, "d"},
		{"two in the daemon's own data centre", Config{EjectUnanswered: true, DataCentre: "far"}, func(b *Board) {
			b.RecordUnanswered(after(0), "a", false)
			b.RecordUnanswered(after(0), "b", false)
		}, "cd"},
		{"two whose hosts refuse the connection", Config{EjectUnanswered: true}, func(b *Board) {
			b.RecordUnanswered(after(0), "a", true)
			b.RecordUnanswered(after(0), "b", true)
		}, "cd"},
		{"two while a third answers", Config{EjectUnanswered: true}, func(b *Board) {
			b.RecordUnanswered(after(0), "a", false)
			b.RecordSuccess(after(100*time.Millisecond), "c")
			b.RecordUnanswered(after(200*time.Millisecond), "b", false)
		}, "cd"},
		{"two after the last answer of a third", Config{EjectUnanswered: true}, func(b *Board) {
			b.RecordSuccess(after(0), "c")
			b.RecordUnanswered(after(100*time.Millisecond), "a", false)
			b.RecordUnanswered(after(200*time.Millisecond), "b", false)
		}, "d"},
		{"an answer ends the ejection of the others", Config{EjectUnanswered: true}, func(b *Board) {
			b.RecordUnanswered(after(0), "a", false)
			b.RecordUnanswered(after(0), "b", false)
			b.RecordAnswered(after(0), "a")
		}, "cd"},
		{"one that has answered since does not count", Config{EjectUnanswered: true}, func(b *Board) {
			b.RecordUnanswered(after(0), "a", false)
			b.RecordAnswered(after(0), "a")
			b.RecordUnanswered(after(0), "b", false)
		}, "cd"},
	} {
		b := New(tc.cfg)
		b.SetVersion(t0, version(1, "abcd", func(ups map[string]bundle.Upstream) {
			for name, up := range ups {
				up.DataCentre = "far"
				if name == "d" {
					up.DataCentre = "near"
				}
				ups[name] = up
			}
		}))
		tc.do(b)
		if got := offeredAt(b, 210*time.Millisecond); got != tc.want {
			t.Errorf("%s: listed %q, want %q", tc.name, got, tc.want)
		}
		if got := offeredAt(b, time.Minute); got != "abcd" {
			t.Errorf("%s: listed %q a minute later, want all", tc.name, got)
		}
	}
}
