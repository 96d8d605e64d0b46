package relay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func peer(name, dataCentre string, weight int) Peer {
	return Peer{Instance: name, DataCentre: dataCentre, Address: name, Weight: weight}
}

func instances(list []Peer) []string {
	var out []string
	for _, p := range list {
		out = append(out, p.Instance)
	}
	return out
}

func wantPeers(t *testing.T, what string, got []Peer, want ...string) {
	t.Helper()
	if d := cmp.Diff(want, instances(got)); d != "" {
		t.Errorf("%s: %s", what, d)
	}
}

// Where nobody reads yet, the one that can bear most is named, then the next ones.
func TestRosterNamesTheHeaviest(t *testing.T) {
	r := NewRoster(peer("seed", "a", 800), nil)
	for _, p := range []Peer{peer("b3", "b", 192), peer("b1", "b", 192), peer("b2", "b", 800), peer("a1", "a", 192)} {
		r.Heard(t0, p)
	}
	wantPeers(t, "b", r.Succession(t0, "b", nil).Order, "b2", "b1", "b3")
	wantPeers(t, "b without b2", r.Succession(t0, "b", []string{"b2"}).Order, "b1", "b3")
	wantPeers(t, "a", r.Succession(t0, "a", nil).Order, "seed", "a1")
	wantPeers(t, "c", r.Succession(t0, "c", nil).Order)
	if n := r.Daemons(t0); n != 5 {
		t.Errorf("%d daemons", n)
	}
}

// Symptom: the reader of a data centre changes, and with it the calls of all followers, as
// soon as another daemon is heard.
// Cause: the best daemon is named each time, whoever reads.
func TestRosterKeepsWhoReads(t *testing.T) {
	r := NewRoster(peer("m", "a", 192), nil)
	r.Lead()
	r.Heard(t0, peer("b", "a", 192))
	r.Heard(t0, peer("z", "a", 800))
	wantPeers(t, "at first", r.Order(t0), "m", "z", "b")
	for at := time.Duration(0); at <= settleTime; at += time.Second {
		r.Heard(after(at), peer("z", "a", 800))
		r.Heard(after(at), peer("b", "a", 192))
	}
	wantPeers(t, "a much heavier one has settled", r.Order(after(settleTime)), "z", "b", "m")
	if r.Leads() {
		t.Error("it leads on")
	}
}

// Symptom: two daemons read for one data centre for good.
// Sequence: a reader stands still; the next one takes over; the first goes on.
// Cause: neither hears of the other.
func TestRosterOneOfTwoReadersGivesWay(t *testing.T) {
	a, b := peer("a1", "a", 192), peer("a2", "a", 192)
	first, second := NewRoster(a, nil), NewRoster(b, nil)
	first.Lead()
	second.Lead()
	first.Claimed(t0, second.Claims(t0))
	second.Claimed(t0, first.Claims(t0))
	wantPeers(t, "the first", first.Order(t0), "a1", "a2")
	wantPeers(t, "the second", second.Order(t0), "a1", "a2")
	if !first.Leads() || second.Leads() {
		t.Errorf("first leads %t, second %t", first.Leads(), second.Leads())
	}
}

// Symptom: a data centre whose reader ended is sent to it for good.
// Cause: a claim that others pass on and on.
func TestRosterClaimsLapse(t *testing.T) {
	reader, x, y := NewRoster(peer("b1", "b", 800), nil), NewRoster(peer("x", "a", 192), nil), NewRoster(peer("y", "c", 192), nil)
	reader.Lead()
	x.Claimed(t0, reader.Claims(t0))
	for at := time.Duration(0); at < 2*claimLife; at += time.Second {
		y.Claimed(after(at), x.Claims(after(at)))
		x.Claimed(after(at), y.Claims(after(at)))
	}
	wantPeers(t, "others", x.Others(after(claimLife-1)), "b1")
	wantPeers(t, "others later", y.Others(after(claimLife)))
}

func TestRosterFollowsWhatItIsTold(t *testing.T) {
	r := NewRoster(peer("m", "a", 192), nil)
	r.Told(Succession{Order: []Peer{peer("r", "a", 800), peer("m", "a", 192), peer("s", "a", 100)}, Others: []Peer{peer("x", "b", 1)}, Daemons: 40})
	wantPeers(t, "told", r.Order(t0), "r", "m", "s")
	wantPeers(t, "others", r.Others(t0), "x")
	wantPeers(t, "passed on", r.Succession(t0, "a", nil).Order, "r", "m", "s")
	wantPeers(t, "passed on to one that reaches no r", r.Succession(t0, "a", []string{"r"}).Order, "m", "s")
	if n := r.Daemons(t0); n != 40 {
		t.Errorf("%d daemons", n)
	}
	r.Silent(t0, "r")
	wantPeers(t, "the reader is gone", r.Order(t0), "m", "s")
	if !r.Leads() {
		t.Error("the next in the succession does not lead")
	}
}

func TestRosterSilenceEnds(t *testing.T) {
	r := NewRoster(peer("m", "a", 192), nil)
	told := Succession{Order: []Peer{peer("r", "a", 800), peer("s", "a", 192)}}
	r.Told(told)
	r.Silent(t0, "r")
	wantPeers(t, "silent", r.Order(t0), "s")
	if d := cmp.Diff([]string{"r"}, r.SilentOnes(t0)); d != "" {
		t.Error(d)
	}
	wantPeers(t, "after its time", r.Order(after(silentTime)), "r", "s")
	r.Silent(t0, "r")
	r.Heard(t0, peer("r", "a", 800))
	wantPeers(t, "heard again", r.Order(t0), "r", "s")
}

// Symptom: retries over the fleet's bound, where a data centre is cut off.
// Sequence: a daemon knows of 300; a cut; it hears of sixty.
// Cause: the shared retries divided by those who are heard now.
func TestRosterCountNeverShrinks(t *testing.T) {
	r := NewRoster(peer("m", "a", 192), nil)
	r.Lead()
	r.Heard(t0, peer("n", "a", 192))
	r.Claimed(t0, []claim{{Peer: peer("b1", "b", 192), Daemons: 58}})
	if n := r.Daemons(t0); n != 60 {
		t.Errorf("%d daemons", n)
	}
	if n := r.Daemons(after(time.Hour)); n != 60 {
		t.Errorf("%d daemons after an hour without a word", n)
	}
}

// A succession has a new version when other daemons are to be asked, or much fewer or
// more are known of, and not each time a daemon starts.
func TestSuccessionVersion(t *testing.T) {
	base := Succession{Order: []Peer{peer("a", "a", 1), peer("b", "a", 1)}, Others: []Peer{peer("x", "x", 1)}, Daemons: 300, Sharing: 300}
	same, order, others, count, sharing := base, base, base, base, base
	same.Daemons, same.Sharing = 301, 301
	order.Order = []Peer{base.Order[1], base.Order[0]}
	others.Others = nil
	count.Daemons = 400
	sharing.Sharing = 320
	if base.version() != same.version() {
		t.Error("one daemon more is news to all")
	}
	for name, s := range map[string]Succession{"order": order, "others": others, "count": count, "sharing": sharing} {
		if s.version() == base.version() {
			t.Errorf("%s: the same version", name)
		}
	}
}

// Symptom: a version is three seconds late in a data centre whose reader the store refuses.
// Sequence: the next in the succession reads for the reader, and so asks nobody; five
// seconds pass; the reader turns to the one after it, which the store refuses too.
// Cause: only those who ask count as alive.
func TestRosterKeepsWhoServesIt(t *testing.T) {
	r := NewRoster(peer("m", "a", 800), nil)
	r.Lead()
	for at := time.Duration(0); at <= 2*heardLife; at += time.Second {
		r.Heard(after(at), peer("c", "a", 192))
		r.Served(after(at), peer("b", "a", 800))
	}
	wantPeers(t, "order", r.Order(after(2*heardLife)), "m", "b", "c")
}
