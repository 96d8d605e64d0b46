package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/fleet"
)

// newTestPlan returns the plan of daemon m in a large fleet. The daemon has received a
// succession with the given order and with x as the reader of another data centre.
func newTestPlan(order ...string) *Plan {
	r := NewRoster(peer("m", "a", 192), nil)
	var peers []Peer
	for _, name := range order {
		peers = append(peers, peer(name, "a", 192))
		r.RecordCall(t0, peer(name, "a", 192))
	}
	r.SetSuccession(Succession{Order: peers, Others: []Peer{peer("x", "b", 192)}, Daemons: 300})
	return NewPlan(t0, peer("m", "a", 192), []string{"seed"}, r, rand.New(rand.NewPCG(1, 1)))
}

// String returns a short description of a step, which the tests compare. For AskPeer it
// contains the address of the peer.
func (s Step) String() string {
	switch s.Action {
	case AskStore:
		return map[bool]string{false: "store", true: "probe"}[s.Probe]
	case AskPeer:
		return map[bool]string{false: "", true: "wait for fresh data from "}[s.Patient] + s.Peer.Address
	case AskReader:
		return "find reader via " + s.Peer.Address
	case ListReaders:
		return "list readers"
	default:
		return "wait"
	}
}

const upstreamsFeed = fleet.FeedUpstreams

// order is the succession that daemon m has received, and event what m has observed since.
// In the names of the cases, r is the reader, s a successor and x the reader of another data
// centre.
func TestPlanFollowsTheSuccession(t *testing.T) {
	for name, tc := range map[string]struct {
		order []string
		event func(p *Plan)
		asked bool // other daemons read through m
		want  string
	}{
		"the reader":                                               {[]string{"r", "s"}, nil, false, "r"},
		"m is the reader":                                          {[]string{"m", "s"}, nil, false, "store"},
		"m has followers":                                          {[]string{"r", "s"}, nil, true, "store"},
		"the reader is unreachable":                                {[]string{"r", "s"}, func(p *Plan) { p.PeerUnreachable(t0, peer("r", "a", 0)) }, false, "s"},
		"the reader is unreachable, m is next":                     {[]string{"r", "m"}, func(p *Plan) { p.PeerUnreachable(t0, peer("r", "a", 0)) }, false, "store"},
		"the reader's store is down":                               {[]string{"r", "s"}, func(p *Plan) { p.PeerStoreDown(t0, peer("r", "a", 0)) }, false, "s"},
		"the reader's data is stale":                               {[]string{"r", "s"}, func(p *Plan) { p.PeerStale(t0, peer("r", "a", 0)) }, false, "s"},
		"the reader's store is down, m is next":                    {[]string{"r", "m"}, func(p *Plan) { p.PeerStoreDown(t0, peer("r", "a", 0)) }, false, "probe"},
		"r and s report that the store is down":                    {[]string{"r", "s"}, func(p *Plan) { p.PeerStoreDown(t0, peer("r", "a", 0)); p.PeerStoreDown(t0, peer("s", "a", 0)) }, false, "wait for fresh data from r"},
		"r and s are unreachable":                                  {[]string{"r", "s"}, func(p *Plan) { p.PeerUnreachable(t0, peer("r", "a", 0)); p.PeerUnreachable(t0, peer("s", "a", 0)) }, false, "find reader via seed"},
		"m is the reader, the store fails":                         {[]string{"m", "s"}, func(p *Plan) { p.StoreFailed(t0) }, false, "s"},
		"m is the reader, the store fails and s has no fresh data": {[]string{"m", "s"}, func(p *Plan) { p.StoreFailed(t0); p.PeerStoreDown(t0, peer("s", "a", 0)) }, false, "x"},
		"m is the reader, the store fails, s has fresh data again": {[]string{"m", "s"}, func(p *Plan) {
			p.StoreFailed(t0)
			p.PeerStoreDown(t0, peer("s", "a", 0))
			p.PeerFresh(t0, peer("s", "a", 192))
		}, false, "s"},
		"m is the reader, the store fails and no peer has fresh data": {[]string{"m"}, func(p *Plan) { p.StoreFailed(t0); p.PeerStoreDown(t0, peer("x", "b", 0)) }, false, "wait"},
		"m is the reader, the store answers again":                    {[]string{"m", "s"}, func(p *Plan) { p.StoreFailed(t0); p.StoreAnswered() }, false, "store"},
	} {
		p := newTestPlan(tc.order...)
		if tc.event != nil {
			tc.event(p)
		}
		if got := p.Next(t0, upstreamsFeed, tc.asked).String(); got != tc.want {
			t.Errorf("%s: %s, want %s", name, got, tc.want)
		}
	}
}

// A daemon searches for its reader at the seeds, which it retries for a while, then among
// the readers that the store lists. Only then does it read the store itself.
func TestPlanSearchesForReader(t *testing.T) {
	p := NewPlan(t0, peer("m", "a", 192), []string{"s1", "m2", "s2"}, NewRoster(peer("m", "a", 192), nil), rand.New(rand.NewPCG(1, 1)))
	var got []string
	now := t0
	for len(got) == 0 || got[len(got)-1] != "store" {
		step := p.Next(now, upstreamsFeed, false)
		if step.Action != AskStore && len(p.candidates) > 0 && p.ReadsStore(now) {
			t.Error("ReadsStore is true during the search for a reader")
		}
		if step.Action == Wait {
			now = now.Add(step.Pause)
			continue
		}
		if step.Action == ListReaders {
			p.ReadersListed([]Peer{peer("far", "b", 1), peer("near", "a", 1), peer("m", "a", 1)})
		}
		if s := step.String(); len(got) == 0 || got[len(got)-1] != s {
			got = append(got, s)
		}
		if len(got) > 40 {
			t.Fatal(got)
		}
	}
	if d := cmp.Diff([]string{"list readers", "find reader via near", "find reader via far", "store"}, got[len(got)-4:]); d != "" {
		t.Error(d)
	}
	if now.Sub(t0) < seedWait || now.Sub(t0) > 2*seedWait {
		t.Errorf("asked the store after %v", now.Sub(t0))
	}
	if !p.ReadsStore(now) {
		t.Error("ReadsStore is false after a search that found no reader")
	}
}

// A daemon that is itself a seed reads the store at once.
func TestSeedReadsStoreAtOnce(t *testing.T) {
	p := NewPlan(t0, peer("m", "a", 192), []string{"m", "s"}, NewRoster(peer("m", "a", 192), nil), rand.New(rand.NewPCG(1, 1)))
	if got := p.Next(t0, upstreamsFeed, false).String(); got != "store" || !p.ReadsStore(t0) {
		t.Error(got)
	}
}

// Guards against followers that each probe an unavailable store every 250 ms. During an
// outage of ten minutes, which also affects the readers, the interval of a follower's
// probes must grow with the number of daemons.
func TestPlanLimitsFollowerProbes(t *testing.T) {
	for order, most := range map[string]int{"r": 12, "m": 1400} {
		p := newTestPlan(order, "s")
		probes := 0
		for at := time.Duration(0); at < 10*time.Minute; at += 50 * time.Millisecond {
			switch step := p.Next(after(at), upstreamsFeed, false); step.Action {
			case AskStore:
				probes++
				p.StoreFailed(after(at))
			case AskPeer:
				p.PeerStoreDown(after(at), step.Peer)
			}
		}
		if probes == 0 || probes > most {
			t.Errorf("%s: %d probes in ten minutes, want 1 to %d", order, probes, most)
		}
	}
}

// While the store is unavailable, only the upstreams feed probes it.
func TestOnlyUpstreamsFeedProbes(t *testing.T) {
	p := newTestPlan("m")
	p.StoreFailed(t0)
	p.PeerStoreDown(t0, peer("x", "b", 0))
	at := after(storeDownBackoff / 2)
	if got := p.Next(at, fleet.FeedConfig, false); got.Action != Wait || got.Pause <= 0 {
		t.Errorf("the configuration's feed: %v", got)
	}
	if got := p.Next(at, upstreamsFeed, false).String(); got != "probe" {
		t.Errorf("the upstreams' feed: %s", got)
	}
}

func TestPlanReturnsToReader(t *testing.T) {
	p := newTestPlan("r", "s")
	p.PeerUnreachable(t0, peer("r", "a", 0))
	if got := p.Next(after(unreachableTTL), upstreamsFeed, false).String(); got != "r" {
		t.Error(got)
	}
	p = newTestPlan("r", "s")
	p.PeerStale(t0, peer("r", "a", 0))
	if got := p.Next(after(2*staleBackoff), upstreamsFeed, false).String(); got != "r" {
		t.Error(got)
	}
}

// Guards against a data centre without news for minutes after an outage: a daemon whose call
// to the store failed while it was a follower must probe it as often as a reader, or as a
// successor, as soon as others read through it.
func TestProbeIntervalFollowsTheRole(t *testing.T) {
	for name, tc := range map[string]struct {
		event        func(p *Plan)
		hasFollowers bool
		within       time.Duration
	}{
		"becomes the reader": {func(p *Plan) { p.roster.SetSuccession(Succession{Order: []Peer{peer("m", "a", 192)}, Daemons: 300}) }, false, maxReaderProbeInterval},
		"gets followers":     {func(*Plan) {}, true, maxSuccessorProbeInterval},
		"loses its reader":   {func(p *Plan) { p.PeerUnreachable(t0, peer("r", "a", 0)) }, false, maxIsolatedProbeInterval},
	} {
		p := newTestPlan("r")
		p.Next(t0, upstreamsFeed, false)
		for range 4 {
			p.StoreFailed(t0)
		}
		tc.event(p)
		p.startedAt, p.searchedAt, p.listedAt, p.searches = t0.Add(-time.Hour), t0, t0, 1 // no search for a reader is due
		p.PeerStoreDown(t0, peer("x", "b", 0))
		at := after(time.Duration((1 + jitter) * float64(tc.within)))
		if got := p.Next(at, upstreamsFeed, tc.hasFollowers).String(); got != "probe" {
			t.Errorf("%s: %s after %v", name, got, at.Sub(t0))
		}
	}
}

// Guards against a daemon that sleeps through its election as reader.
func TestPauseIsBounded(t *testing.T) {
	p := newTestPlan("r")
	for range 4 {
		p.StoreFailed(t0)
	}
	p.PeerStoreDown(t0, peer("r", "a", 0))
	p.PeerStoreDown(t0, peer("x", "b", 0))
	if got := p.Next(t0, upstreamsFeed, true); got.Action != Wait || got.Pause > maxReaderProbeInterval {
		t.Errorf("%v for %v", got, got.Pause)
	}
}

// Guards against followers whose pause between two probes grows from the size of a data centre
// to that of the fleet when all readers of other data centres are lost.
func TestLostReadersDoNotDelayProbes(t *testing.T) {
	p := newTestPlan("r")
	p.Next(t0, upstreamsFeed, false)
	before := p.probeInterval(t0)
	p.PeerUnreachable(t0, peer("x", "b", 0))
	if got := p.probeInterval(t0); got != before {
		t.Errorf("%v, %v with all readers", got, before)
	}
}
