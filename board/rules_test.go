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

// TestLeaving has a row for each way in which a notice holds or ends. Each starts
// with upstreams a and b serving in version 1; the row says which are offered.
func TestLeaving(t *testing.T) {
	leaves := func(s LeavingSource) func(*Board) { return func(b *Board) { b.Leaving(t0, "a", s) } }
	adopt := func(n uint64, edit func(map[string]bundle.Upstream)) func(*Board) {
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
		return func(b *Board) { b.Report(after(time.Second), "a", l, 0) }
	}
	row := func(at time.Duration, leaving bool) func(*Board) {
		return func(b *Board) {
			b.Apply(after(at), []wire.BoardRow{{BundleNumber: 1, Index: 0, Leaving: leaving, AgeMS: 100}})
		}
	}
	said := engineapi.Load{Incarnation: 1, Seq: 2, Leaving: true}
	rows := []struct {
		name    string
		steps   []func(*Board)
		want    string
		notices []string
	}{
		{"nobody", nil, "ab", nil},
		{"the instance list", []func(*Board){leaves(FromInstances)}, "b", []string{"a"}},
		{"the upstream", []func(*Board){leaves(FromUpstream)}, "b", []string{"a"}},
		{"the upstream's load, an old one too", []func(*Board){report(load(1, 3, 0)), report(said)}, "b", []string{"a"}},
		{"a bundle record not yet in force", []func(*Board){leaves(FromBundle)}, "b", []string{"a"}},
		{"a peer, whose notice is not passed on", []func(*Board){leaves(FromPeer)}, "b", nil},
		{"a steward's row", []func(*Board){row(time.Second, true)}, "b", nil},
		{"the bundle in force", []func(*Board){adopt(2, state(bundle.StateLeaving))}, "b", nil},
		{"joining", []func(*Board){adopt(2, state(bundle.StateJoining))}, "b", nil},
		{"holds while another report says nothing", []func(*Board){report(said), report(load(1, 3, 0))}, "b", []string{"a"}},
		{"holds in a newer version that changes something else", []func(*Board){leaves(FromInstances), adopt(2, nil)}, "b", []string{"a"}},
		{"holds against the version in force told again", []func(*Board){leaves(FromInstances), adopt(1, state(bundle.StateServing))}, "b", []string{"a"}},
		{"ends when the bundle takes it back", []func(*Board){leaves(FromInstances), adopt(2, state(bundle.StateLeaving)), adopt(3, nil)}, "ab", nil},
		{"ends when it restarted", []func(*Board){report(said), report(load(2, 1, 0))}, "ab", nil},
		{"holds against a late report of the life before", []func(*Board){report(load(1, 1, 0)), report(load(2, 1, 0)), leaves(FromUpstream), report(load(1, 9, 0))}, "b", []string{"a"}},
		{"ends when its steward heard it serve well after", []func(*Board){leaves(FromUpstream), row(6*time.Second, false)}, "ab", nil},
		{"holds when its steward heard it serve about then", []func(*Board){leaves(FromUpstream), row(2*time.Second, false)}, "b", []string{"a"}},
		{"the list's notice holds against a steward's row", []func(*Board){leaves(FromInstances), row(6*time.Second, false)}, "b", []string{"a"}},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			b := newBoard("ab")
			for _, step := range r.steps {
				step(b)
			}
			if got := offered(b, after(10*time.Second)); got != r.want {
				t.Errorf("offers %q, want %q", got, r.want)
			}
			if d := cmp.Diff(r.notices, b.LeavingNotices()); d != "" {
				t.Error(d)
			}
			if got := b.Upstreams(after(10 * time.Second))[0]; got.Leaving != (r.want == "b") && got.Spec.State != bundle.StateJoining {
				t.Errorf("%+v", got)
			}
		})
	}
}

// TestPeersNoticeLapses
//
// Symptom: an upstream stays idle on one daemon for good.
// Sequence: a peer tells that it is leaving, it restarts, the peer sees that and
// stops telling, this daemon sends it nothing and so never hears of the restart.
// Cause: a notice of a peer held without end.
func TestPeersNoticeLapses(t *testing.T) {
	b := newBoard("ab")
	b.Leaving(t0, "a", FromPeer)
	b.Leaving(after(30*time.Second), "a", FromPeer)
	got := []string{offered(b, after(89*time.Second)), offered(b, after(90*time.Second))}
	if d := cmp.Diff([]string{"b", "ab"}, got); d != "" {
		t.Error(d)
	}
}

// TestPeersTakeNoticesBack
//
// Symptom: upstreams that serve get nothing for a minute after a restart.
// Sequence: an upstream says that it is leaving and restarts; the peer that heard it
// tells of it for a few heartbeats more and then stops.
// Cause: a peer's last word held although the peer itself had taken it back.
func TestPeersTakeNoticesBack(t *testing.T) {
	one, next, other := wire.NodeID{Instance: "one", Incarnation: 1}, wire.NodeID{Instance: "one", Incarnation: 2}, wire.NodeID{Instance: "other", Incarnation: 1}
	type word struct {
		peer  wire.NodeID
		names []string
	}
	for name, tc := range map[string]struct {
		words []word
		want  string
	}{
		"taken back":                    {[]word{{one, []string{"a"}}, {one, nil}}, "ab"},
		"one of two taken back":         {[]word{{one, []string{"a", "b"}}, {one, []string{"b"}}}, "a"},
		"another peer still says it":    {[]word{{one, []string{"a"}}, {other, []string{"a"}}, {one, nil}}, "b"},
		"both take it back":             {[]word{{one, []string{"a"}}, {other, []string{"a"}}, {one, nil}, {other, nil}}, "ab"},
		"a silent peer takes none back": {[]word{{one, []string{"a"}}, {other, nil}}, "b"},
		"nor does its next life":        {[]word{{one, []string{"a"}}, {next, nil}}, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBoard("ab")
			for i, w := range tc.words {
				b.HeardPeer(after(time.Duration(i)*time.Second), w.peer, w.names)
			}
			if got := offered(b, after(10*time.Second)); got != tc.want {
				t.Errorf("offered %q, want %q", got, tc.want)
			}
		})
	}
}

func TestSetVersionKeepsWhatStays(t *testing.T) {
	b := newBoard("abc")
	for _, name := range []string{"a", "b", "c"} {
		b.Report(t0, name, load(1, 1, 7), 0)
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
	if got := find(b.Snapshot(after(time.Second)), "a").Slots; got != 9 {
		t.Errorf("%d slots after the pool changed", got)
	}
	pool := func(n uint64, headroom float64) *policy.Pool {
		content := *same.Bundle
		content.Policy.UrgentHeadroom = headroom
		b.SetVersion(after(time.Second), &bundle.Version{Number: n, Bundle: &content})
		return b.Snapshot(after(time.Second)).Pool("d")
	}
	if first := pool(4, 0); pool(5, 0) != first || pool(6, 0.5) == first {
		t.Error("a pool is built again for nothing, or keeps an old headroom")
	}
	if got := offered(b, after(time.Second)); got != "acd" {
		t.Fatalf("offers %q", got)
	}
	s := b.Snapshot(after(time.Second))
	got := []int{find(s, "a").Active, find(s, "c").Active, find(s, "d").Active}
	if d := cmp.Diff([]int{7, 0, 0}, got); d != "" || s.Number != 6 {
		t.Errorf("version %d: %s", s.Number, d)
	}
}

// TestEjection
//
// Symptom: every third request fails while one of three upstreams is broken, and
// later, when it is back, it fails again under the load of all at once.
// Sequence: calls fail in a row; calls go on.
// Cause: no ejection, one that never grows, or a return at full weight.
func TestEjection(t *testing.T) {
	b := newBoard("a")
	fail := func(at time.Duration, n int) {
		for range n {
			b.Failed(after(at), "a")
		}
	}
	weight := func(at time.Duration) float64 {
		if r := find(b.Snapshot(after(at)), "a"); r != nil {
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
		{"a success between", func() { b.Succeeded(t0, "a"); fail(0, 2) }, 0, 1},
		{"three in a row", func() { fail(0, 1) }, 0, 0},
		{"failures of calls under way", func() { fail(100*ms, 9) }, 499 * ms, 0},
		{"returns slowly", nil, 500 * ms, 0.1},
		{"a success does not end that", func() { b.Succeeded(after(time.Second), "a") }, 3000 * ms, 0.55},
		{"one failure ejects for twice as long", func() { fail(3000*ms, 1) }, 3999 * ms, 0},
		{"returns again", nil, 4000 * ms, 0.1},
		{"well after the slow return", func() { b.Succeeded(after(10*time.Second), "a") }, 10 * time.Second, 1},
		{"and then needs three again", func() { fail(11*time.Second, 2) }, 11 * time.Second, 1},
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
		t.Errorf("the 99th ejection lasts %v", got)
	}
	if got := b.Snapshot(after(12 * time.Second)).Pool("d").Returns(); !got.IsZero() {
		t.Errorf("returns at %v", got)
	}
}

func TestRowsCarryLoadsWithTheirAge(t *testing.T) {
	told, heard := newBoard("abc"), newBoard("abc")
	told.Report(t0, "b", engineapi.Load{Incarnation: 1, Seq: 1, Slots: 20, Active: 300, Queued: 2, QueuedTokens: 700, StepMS: 41, LinkBusyMS: 500}, 200*time.Millisecond)
	told.Report(after(-9*time.Second), "c", load(1, 1, 5), 0)
	rows := told.Rows(after(300*time.Millisecond), []string{"a", "b", "c"})
	want := []wire.BoardRow{{BundleNumber: 1, Index: 1, Active: 255, Queued: 2, StepMS: 41, LinkBusyMS: 0, QueuedKTok: 3, AgeMS: 500}}
	if d := cmp.Diff(want, rows); d != "" {
		t.Fatal(d)
	}
	heard.Report(after(-time.Second), "b", load(1, 1, 9), 0)
	heard.Apply(after(time.Second), rows)
	r := find(heard.Snapshot(after(time.Second)), "b")
	if r.Active != 255 || r.QueuedTokens != 768 || !r.LoadAt.Equal(after(500*time.Millisecond)) {
		t.Errorf("%+v", r)
	}
	rows[0].AgeMS, rows[0].Active = 900, 1
	heard.Apply(after(time.Second), rows)
	for _, other := range []wire.BoardRow{{BundleNumber: 0, Index: 1, Active: 2}, {BundleNumber: 2, Index: 1, Active: 3}, {BundleNumber: 1, Index: 3}} {
		heard.Apply(after(2*time.Second), []wire.BoardRow{other})
	}
	heard.SetVersion(t0, version(2, "abc", func(ups map[string]bundle.Upstream) {
		u := ups["c"]
		u.State = bundle.StateLeaving
		ups["c"] = u
	})) // the same names: version 1's indexes still hold
	heard.Apply(after(3*time.Second), []wire.BoardRow{{BundleNumber: 1, Index: 0, Active: 4}})
	s := heard.Snapshot(after(3 * time.Second))
	if got := []int{find(s, "a").Active, find(s, "b").Active}; !cmp.Equal(got, []int{4, 255}) {
		t.Errorf("active %v", got)
	}
}

func TestPrefillSpeedIsLearnedAndLapses(t *testing.T) {
	b := newBoard("a")
	see := func(at time.Duration, tokens, ahead int, took time.Duration) {
		b.Observed(after(at), "a", Observation{PrefillTokens: tokens, AheadTokens: ahead, PrefillTime: took})
	}
	speed := func(at time.Duration) time.Duration { return find(b.Snapshot(after(at)), "a").PrefillPerToken }
	see(0, 10, 0, time.Second) // too short to learn from
	steps := []time.Duration{speed(0)}
	see(0, 1000, 1000, 200*time.Millisecond)
	steps = append(steps, speed(0))
	see(0, 1000, 0, 300*time.Millisecond) // it waited for something unknown
	steps = append(steps, speed(0))
	see(0, 1000, 0, 60*time.Millisecond)
	steps = append(steps, speed(0), speed(29*time.Second), speed(30*time.Second))
	const us = time.Microsecond
	if d := cmp.Diff([]time.Duration{0, 100 * us, 120 * us, 90 * us, 90 * us, 0}, steps); d != "" {
		t.Error(d)
	}
}

// TestPrefixIndexErrsWithinItsBound drives an engine's cache and loses some of
// its events: at most one block is believed wrongly for each lost event.
func TestPrefixIndexErrsWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Config{PrefixBlocks: 64})
		b.SetVersion(t0, version(1, "a", nil))
		real, lost, seq := map[uint64]bool{}, 0, uint64(0)
		var told []engineapi.CacheEvent
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			seq++
			block := rapid.Uint64Range(1, 40).Draw(t, "block")
			real[block] = !real[block]
			if seq > 1 && rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				lost++
				continue
			}
			ev := engineapi.CacheEvent{Seq: seq, Block: block, Evicted: !real[block]}
			told = append(told, ev)
			again := rapid.SampledFrom(told).Draw(t, "again")
			b.CacheEvents(t0, "a", engineapi.EventsReply{Incarnation: 1, Next: seq + 1, Events: []engineapi.CacheEvent{ev, again}})
		}
		set, wrong := b.prefix.caches["a"].set, 0
		for block := range uint64(41) {
			if set.has(block) && !real[block] {
				wrong++
			}
		}
		if wrong > lost {
			t.Fatalf("%d blocks wrongly believed after %d lost events", wrong, lost)
		}
		if lost == 0 && set.suspect {
			t.Fatal("suspect without a gap")
		}
	})
}

func TestGapsCostTrust(t *testing.T) {
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
		t.Error("a reply without events takes memory, or is forgotten")
	}
	old := b.Snapshot(t0)
	steps := []struct {
		name string
		do   func()
		want int
	}{
		{"nothing heard", func() {}, 0},
		{"first events", func() { b.CacheEvents(t0, "a", store(1, 900, 0)) }, 32},
		{"told again", func() { b.CacheEvents(t0, "a", store(1, 900, 0)) }, 32},
		{"an old one told again", func() {
			b.CacheEvents(t0, "a", engineapi.EventsReply{Incarnation: 1, Next: 932, Events: []engineapi.CacheEvent{{Seq: 900, Block: 1, Evicted: true}}})
		}, 32},
		{"one event of 32 lost", func() { b.CacheEvents(t0, "a", store(1, 932, 1)) }, 32},
		{"four lost", func() { b.CacheEvents(t0, "a", engineapi.EventsReply{Incarnation: 1, Next: 968}) }, 16},
		{"a prompt was cached as believed", func() {
			b.Observed(t0, "a", Observation{Prefix: prefix[:20], CachedTokens: 20 * engineapi.BlockTokens})
		}, 16},
		{"a prompt was not", func() { b.Observed(t0, "a", Observation{Prefix: prefix[:20]}) }, 20},
		{"it restarted", func() { b.CacheEvents(t0, "a", engineapi.EventsReply{Incarnation: 2, Next: 9}) }, 0},
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
		t.Errorf("a snapshot sees a change that is not published: %d blocks", got)
	}
	if got := b.EventsFrom("a"); got != 10 || old.Prefix.CachedBlocks("x", prefix) != 0 {
		t.Errorf("asks from %d", got)
	}
}

// Symptom: a daemon's memory grows for hours, past its budget.
// Sequence: now and then a prompt goes to one more engine.
// Cause: each engine that ever got one has a set of its own.
func TestPrefixSetsAreBounded(t *testing.T) {
	b := newBoard("abcdefgh")
	b.cfg.PrefixSets = 3
	for _, name := range []string{"a", "b", "c", "a", "d", "e", "a", "f"} {
		b.Observed(t0, name, Observation{Prefix: []uint64{1}})
	}
	kept := ""
	index := b.Snapshot(t0).Prefix
	for _, name := range b.names {
		if index.CachedBlocks(name, []uint64{1}) > 0 {
			kept += name
		}
	}
	if kept != "aef" {
		t.Errorf("sets are kept of %q, want those used last, aef", kept)
	}
}

// Symptom: in a cut every request of the cut-off daemons is late for seconds although
// the engines of the own data centre are idle.
// Sequence: one upstream of a data centre after the other gives no sign of life, each
// to another request, which waits for its timeout.
// Cause: each had to fail several times by itself to be left out.
func TestSilentUpstreamsAreEjected(t *testing.T) {
	offeredAt := func(b *Board, at time.Duration) string { return offered(b, after(at)) }
	for _, tc := range []struct {
		name string
		cfg  Config
		do   func(*Board)
		want string
	}{
		{"not where the setting is off", Config{}, func(b *Board) { b.Unanswered(after(0), "a", false) }, "abcd"},
		{"one alone", Config{EjectUnanswered: true}, func(b *Board) { b.Unanswered(after(0), "a", false) }, "bcd"},
		{"two of a data centre take the rest with them", Config{EjectUnanswered: true}, func(b *Board) {
			b.Unanswered(after(0), "a", false)
			b.Unanswered(after(0), "b", false)
		}, "d"},
		{"not in the own data centre", Config{EjectUnanswered: true, DataCentre: "far"}, func(b *Board) {
			b.Unanswered(after(0), "a", false)
			b.Unanswered(after(0), "b", false)
		}, "cd"},
		{"two whose hosts refuse do not", Config{EjectUnanswered: true}, func(b *Board) {
			b.Unanswered(after(0), "a", true)
			b.Unanswered(after(0), "b", true)
		}, "cd"},
		{"two do not while a third answers", Config{EjectUnanswered: true}, func(b *Board) {
			b.Unanswered(after(0), "a", false)
			b.Succeeded(after(100*time.Millisecond), "c")
			b.Unanswered(after(200*time.Millisecond), "b", false)
		}, "cd"},
		{"two do when the last answer is from before", Config{EjectUnanswered: true}, func(b *Board) {
			b.Succeeded(after(0), "c")
			b.Unanswered(after(100*time.Millisecond), "a", false)
			b.Unanswered(after(200*time.Millisecond), "b", false)
		}, "d"},
		{"an answer brings the rest back", Config{EjectUnanswered: true}, func(b *Board) {
			b.Unanswered(after(0), "a", false)
			b.Unanswered(after(0), "b", false)
			b.Answered(after(0), "a")
		}, "cd"},
		{"one that spoke since counts no more", Config{EjectUnanswered: true}, func(b *Board) {
			b.Unanswered(after(0), "a", false)
			b.Answered(after(0), "a")
			b.Unanswered(after(0), "b", false)
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
			t.Errorf("%s: offers %q, want %q", tc.name, got, tc.want)
		}
		if got := offeredAt(b, time.Minute); got != "abcd" {
			t.Errorf("%s: offers %q a minute later", tc.name, got)
		}
	}
}
