package relay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// peer returns a peer whose address is its name.
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

// wantPeers checks the instances in a list of peers.
func wantPeers(t *testing.T, what string, got []Peer, want ...string) {
	t.Helper()
	if d := cmp.Diff(want, instances(got)); d != "" {
		t.Errorf("%s: %s", what, d)
	}
}

// If there is no reader yet, the daemon with the largest weight is elected; its successors
// are ordered by weight.
func TestRosterElectsLargestWeight(t *testing.T) {
	r := NewRoster(peer("seed", "a", 800), nil)
	for _, p := range []Peer{peer("b3", "b", 192), peer("b1", "b", 192), peer("b2", "b", 800), peer("a1", "a", 192)} {
		r.RecordCall(t0, p)
	}
	wantPeers(t, "b", r.Succession(t0, "b", nil).Order, "b2", "b1", "b3")
	wantPeers(t, "b without b2", r.Succession(t0, "b", []string{"b2"}).Order, "b1", "b3")
	wantPeers(t, "a", r.Succession(t0, "a", nil).Order, "seed", "a1")
	wantPeers(t, "c", r.Succession(t0, "c", nil).Order)
	if n := r.FleetSize(t0); n != 5 {
		t.Errorf("%d daemons", n)
	}
}

// Guards against a change of reader, and a call by each of its followers, whenever a daemon
// of larger weight becomes known.
func TestRosterKeepsCurrentReader(t *testing.T) {
	r := NewRoster(peer("m", "a", 192), nil)
	r.BecomeReader()
	r.RecordCall(t0, peer("b", "a", 192))
	r.RecordCall(t0, peer("z", "a", 800))
	wantPeers(t, "at first", r.Order(t0), "m", "z", "b")
	for at := time.Duration(0); at <= takeoverDelay; at += time.Second {
		r.RecordCall(after(at), peer("z", "a", 800))
		r.RecordCall(after(at), peer("b", "a", 192))
	}
	wantPeers(t, "z has been known for takeoverDelay", r.Order(after(takeoverDelay)), "z", "b", "m")
	if r.IsReader() {
		t.Error("it is still the reader")
	}
}

// Guards against two daemons that both stay readers of one data centre. This state arises
// if a reader freezes, a successor takes over, and the first one resumes. It ends when they
// exchange claims.
func TestRosterOneOfTwoReadersStepsDown(t *testing.T) {
	a, b := peer("a1", "a", 192), peer("a2", "a", 192)
	first, second := NewRoster(a, nil), NewRoster(b, nil)
	first.BecomeReader()
	second.BecomeReader()
	first.AddClaims(t0, second.Claims(t0))
	second.AddClaims(t0, first.Claims(t0))
	wantPeers(t, "the first", first.Order(t0), "a1", "a2")
	wantPeers(t, "the second", second.Order(t0), "a1", "a2")
	if !first.IsReader() || second.IsReader() {
		t.Errorf("first is the reader: %t, second: %t", first.IsReader(), second.IsReader())
	}
}

// Guards against daemons that are sent to a reader that has ended. A claim must expire even
// if other daemons pass it on to each other.
func TestRosterClaimsExpire(t *testing.T) {
	reader, x, y := NewRoster(peer("b1", "b", 800), nil), NewRoster(peer("x", "a", 192), nil), NewRoster(peer("y", "c", 192), nil)
	reader.BecomeReader()
	x.AddClaims(t0, reader.Claims(t0))
	for at := time.Duration(0); at < 2*claimTTL; at += time.Second {
		y.AddClaims(after(at), x.Claims(after(at)))
		x.AddClaims(after(at), y.Claims(after(at)))
	}
	wantPeers(t, "others", x.OtherReaders(after(claimTTL-1)), "b1")
	wantPeers(t, "others later", y.OtherReaders(after(claimTTL)))
}

func TestRosterUsesReceivedSuccession(t *testing.T) {
	r := NewRoster(peer("m", "a", 192), nil)
	r.SetSuccession(Succession{Order: []Peer{peer("r", "a", 800), peer("m", "a", 192), peer("s", "a", 100)}, Others: []Peer{peer("x", "b", 1)}, Daemons: 40})
	wantPeers(t, "received", r.Order(t0), "r", "m", "s")
	wantPeers(t, "others", r.OtherReaders(t0), "x")
	wantPeers(t, "sent to another daemon", r.Succession(t0, "a", nil).Order, "r", "m", "s")
	wantPeers(t, "sent to a daemon that cannot reach r", r.Succession(t0, "a", []string{"r"}).Order, "m", "s")
	if n := r.FleetSize(t0); n != 40 {
		t.Errorf("%d daemons", n)
	}
	r.MarkUnreachable(t0, peer("r", "a", 192))
	wantPeers(t, "the reader is gone", r.Order(t0), "m", "s")
	if !r.IsReader() {
		t.Error("the next daemon in the succession is not the reader")
	}
}

func TestRosterUnreachableExpires(t *testing.T) {
	r := NewRoster(peer("m", "a", 192), nil)
	received := Succession{Order: []Peer{peer("r", "a", 800), peer("s", "a", 192)}}
	r.SetSuccession(received)
	r.MarkUnreachable(t0, peer("r", "a", 192))
	wantPeers(t, "r is unreachable", r.Order(t0), "s")
	if d := cmp.Diff([]string{"r"}, r.Unreachable(t0)); d != "" {
		t.Error(d)
	}
	wantPeers(t, "after unreachableTTL", r.Order(after(unreachableTTL)), "r", "s")
	r.MarkUnreachable(t0, peer("r", "a", 192))
	r.RecordCall(t0, peer("r", "a", 800))
	wantPeers(t, "after a call from r", r.Order(t0), "r", "s")
}

// Guards against retries above the fleet's limit during a network partition. A daemon that
// knew 300 daemons and is now in contact with sixty must go on dividing the limit by 300.
func TestRosterFleetSizeNeverShrinks(t *testing.T) {
	r := NewRoster(peer("m", "a", 192), nil)
	r.BecomeReader()
	r.RecordCall(t0, peer("n", "a", 192))
	r.AddClaims(t0, []claim{{Peer: peer("b1", "b", 192), Daemons: 58}})
	if n := r.FleetSize(t0); n != 60 {
		t.Errorf("%d daemons", n)
	}
	if n := r.FleetSize(after(time.Hour)); n != 60 {
		t.Errorf("%d daemons after an hour without contact", n)
	}
}

// A succession gets a new version if its daemons change or if their number changes
// considerably, but not with each daemon that starts.
func TestSuccessionVersion(t *testing.T) {
	base := Succession{Order: []Peer{peer("a", "a", 1), peer("b", "a", 1)}, Others: []Peer{peer("x", "x", 1)}, Daemons: 300, ShareCount: 300}
	same, order, others, count, sharing := base, base, base, base, base
	same.Daemons, same.ShareCount = 301, 301
	order.Order = []Peer{base.Order[1], base.Order[0]}
	others.Others = nil
	count.Daemons = 400
	sharing.ShareCount = 320
	if base.version() != same.version() {
		t.Error("one more daemon changes the version")
	}
	for name, s := range map[string]Succession{"order": order, "others": others, "count": count, "sharing": sharing} {
		if s.version() == base.version() {
			t.Errorf("%s: the same version", name)
		}
	}
}

// Guards against a configuration that arrives three seconds late in a data centre whose
// reader the store refuses. The successor that the reader reads through makes no calls to
// the reader. If the reader dropped it after peerTTL, it would ask the next successor, which
// the store may refuse too.
func TestRosterKeepsAnsweringSuccessor(t *testing.T) {
	r := NewRoster(peer("m", "a", 800), nil)
	r.BecomeReader()
	for at := time.Duration(0); at <= 2*peerTTL; at += time.Second {
		r.RecordCall(after(at), peer("c", "a", 192))
		r.RecordAnswer(after(at), peer("b", "a", 800))
	}
	wantPeers(t, "order", r.Order(after(2*peerTTL)), "m", "b", "c")
}

// Guards against followers that read through other daemons for ten seconds after their reader
// was restarted: the mark of its last life must not hold for the next.
func TestRestartedDaemonIsReachable(t *testing.T) {
	r := NewRoster(peer("m", "a", 192), nil)
	reader := peer("r", "a", 800)
	reader.Boot = 1
	r.SetSuccession(Succession{Order: []Peer{reader, peer("s", "a", 192)}})
	r.MarkUnreachable(t0, reader)
	wantPeers(t, "r was stopped", r.Order(t0), "s")
	r.SetSuccession(Succession{Order: []Peer{reader, peer("s", "a", 192)}})
	wantPeers(t, "s does not know it yet", r.Order(t0), "s")
	reader.Boot = 2
	r.SetSuccession(Succession{Order: []Peer{reader, peer("s", "a", 192)}})
	wantPeers(t, "r runs again", r.Order(t0), "r", "s")
}
