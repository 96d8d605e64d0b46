package board

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/policy"
)

// exclusion holds the reasons why an upstream must not be chosen. The test tracks them
// independently of the board.
type exclusion struct {
	state       bundle.UpstreamState
	notice      bool
	ownNotice   bool // from the upstream itself, which no version takes back
	failures    int
	slowStart   bool // after an ejection; one failure ejects again
	incarnation uint64
}

func (u exclusion) leaving() bool { return u.state != bundle.StateServing || u.notice || u.ownNotice }

func (u exclusion) ejected() bool { return u.failures >= 3 }

func (u exclusion) any() bool { return u.leaving() || u.ejected() }

func (u *exclusion) recordFailure() {
	u.failures++
	if u.slowStart {
		u.failures = 3
	}
}

// recordSuccess records a success of u. If no upstream takes requests, it ends all ejections.
func (u *exclusion) recordSuccess(all map[string]*exclusion) {
	switch {
	case !u.ejected():
		u.failures = 0
	case noneTakesRequests(all):
		for _, o := range all {
			if o.ejected() {
				o.failures, o.slowStart = 0, true
			}
		}
	}
}

func noneTakesRequests(all map[string]*exclusion) bool {
	for _, u := range all {
		if !u.any() {
			return false
		}
	}
	return true
}

func allLeaving(all map[string]*exclusion) bool {
	for _, u := range all {
		if !u.leaving() {
			return false
		}
	}
	return true
}

// TestNoPolicyPicksExcludedUpstream applies random sequences of bundle versions,
// leaving notices, call results and load reports to a board, all at the same time t0,
// and checks after each of them that no policy picks an excluded upstream, except an
// ejected one while no other takes requests, and that one is picked if any serves.
func TestNoPolicyPicksExcludedUpstream(t *testing.T) {
	const names = "abcd"
	rapid.Check(t, func(t *rapid.T) {
		h, f := NewHolderClock(New(Config{}), (&manualClock{t0}).clock), NewInflightClock((&manualClock{t0}).clock)
		exclusions := map[string]*exclusion{}
		for _, r := range names {
			exclusions[string(r)] = &exclusion{state: bundle.StateServing, incarnation: 1}
		}
		number, seq := uint64(0), uint64(0)
		adopt := func() {
			number++
			v := version(number, names, func(ups map[string]bundle.Upstream) {
				for name, u := range ups {
					u.State = exclusions[name].state
					ups[name] = u
				}
			})
			v.Bundle.Services = map[string]bundle.Service{"s": {Pool: "d"}}
			h.Update(func(b *Board) { b.SetVersion(t0, v) })
		}
		adopt()
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			name := string(rapid.SampledFrom([]rune(names)).Draw(t, "upstream"))
			u := exclusions[name]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				state := rapid.SampledFrom([]bundle.UpstreamState{bundle.StateJoining, bundle.StateServing, bundle.StateLeaving}).Draw(t, "state")
				u.notice = u.notice && (state != bundle.StateServing || state == u.state)
				u.state = state
				adopt()
			case 1:
				source := LeavingSource(rapid.IntRange(0, sourceCount-1).Draw(t, "source"))
				if source == FromUpstream {
					u.ownNotice = true
				} else {
					u.notice = true
				}
				h.Update(func(b *Board) { b.MarkLeaving(t0, name, source) })
			case 2:
				u.recordFailure()
				h.Update(func(b *Board) { b.RecordFailure(t0, name) })
			case 3:
				u.recordSuccess(exclusions)
				h.Update(func(b *Board) { b.RecordSuccess(t0, name) })
			case 4:
				seq++
				h.Update(func(b *Board) { b.ApplyReport(t0, name, load(u.incarnation, seq, 0), 0) })
			}
			checkPicks(t, h, f, exclusions)
		}
	})
}

func checkPicks(t *rapid.T, h *Holder, f *Inflight, exclusions map[string]*exclusion) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, name := range []string{policy.NameReserve, policy.NameRoundRobin, policy.NameLeastLoaded} {
		p, _ := policy.ByName(name)
		for range 4 {
			plan, err := p.PickService(h.Snapshot(), f, "s", policy.Query{Now: t0, DataCentre: "dc0"}, rng)
			if err != nil {
				if !allLeaving(exclusions) {
					t.Fatalf("policy %s picked nobody: %v", name, err)
				}
				continue
			}
			u := exclusions[plan.Replica.Name]
			if u.leaving() || u.ejected() && !noneTakesRequests(exclusions) {
				t.Fatalf("policy %s picked the excluded upstream %s: %+v", name, plan.Replica.Name, *u)
			}
		}
	}
}
