package roles

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/fleet"
)

func TestLease(t *testing.T) {
	l := NewLease(ttl, quiet)
	if _, ok := l.Fence(at(0)); ok {
		t.Error("a fence before the first join")
	}
	l.Joined(at(0), at(5), Holding{Generation: 4, Owner: true})
	if _, ok := l.Fence(at(6)); ok {
		t.Error("a new holder orders at once")
	}
	for ms := 500; ms <= 5500; ms += 500 {
		l.Joined(at(ms), at(ms+5), Holding{Generation: 4, Owner: true})
	}
	if fence, ok := l.Fence(at(5510)); !ok || fence != 4 {
		t.Errorf("fence %d, %t after the wait", fence, ok)
	}
	if _, ok := l.Fence(at(7100)); ok {
		t.Error("a holder that did not renew orders")
	}
	l.Joined(at(9000), at(9005), Holding{Generation: 9, Owner: true})
	if _, ok := l.Fence(at(9010)); ok {
		t.Error("a holder that comes back after a gap orders at once")
	}
}

// Symptom: an engine that checks no fence takes orders of two daemons in turn.
// Sequence: any: joins are delayed or lost, a daemon freezes between two steps, the
// store deals the part out anew or lets the membership lapse.
// Cause: two daemons that both believe they hold the lease, or that hand it over faster
// than an order takes to arrive.
func TestTwoHoldersAreApart(t *testing.T) {
	for seed := range uint64(300) {
		playLeases(t, seed, [2]*Lease{NewLease(ttl, quiet), NewLease(ttl, quiet)})
	}
}

// The same where all start together and orders open early.
func TestTwoHoldersAreApartAfterABootstrap(t *testing.T) {
	for seed := range uint64(300) {
		leases := [2]*Lease{NewLease(ttl, quiet), NewLease(ttl, quiet)}
		leases[0].Bootstrap(at(4000))
		leases[1].Bootstrap(at(4300))
		playLeases(t, seed, leases)
	}
}

// Load: a fleet starts; its engines are to change their roles before callers come.
func TestBootstrapOpensOrdersEarly(t *testing.T) {
	join := func(l *Lease, from, until int) {
		for ms := from; ms <= until; ms += 500 {
			l.Joined(at(ms), at(ms+5), Holding{Generation: 3, Owner: true})
		}
	}
	for name, tc := range map[string]struct {
		from  int // when the lease is got
		opens int // when orders open
		at    int
		want  bool
	}{
		"held in time":             {500, 3000, 3100, true},
		"before orders open":       {500, 3000, 2900, false},
		"got too late":             {1500, 3000, 3100, false},
		"got late, and then quiet": {1500, 3000, 6600, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLease(ttl, quiet)
			l.Bootstrap(at(tc.opens))
			join(l, tc.from, tc.at)
			if _, ok := l.Fence(at(tc.at)); ok != tc.want {
				t.Errorf("orders allowed: %t", ok)
			}
		})
	}
}

// Symptom: an engine turns twice, by two daemons.
// Sequence: a daemon restarts while the platform still tells it of a first start; it
// gets the lease and orders an engine that its former holder has just ordered.
// Cause: a bootstrap that was none, believed against what the engine says.
func TestEarlyOrdersGoToFreshEnginesOnly(t *testing.T) {
	for orders, want := range map[uint64]int{0: 2, 1: 0} {
		now := t0
		e := &fakeEngines{state: State{Role: fleet.RolePrefill, Orders: orders}}
		r := runnerOf(e, &now)
		r.lease = NewLease(ttl, quiet)
		r.lease.Bootstrap(at(8500))
		for ms := 6500; ms <= 8500; ms += 500 {
			r.lease.Joined(at(ms), at(ms), Holding{Generation: 7, Owner: true})
		}
		now = at(8600)
		fence, ok := r.lease.Fence(now)
		if !ok {
			t.Fatal("orders are not open")
		}
		r.order(context.Background(), fence)
		if len(e.orders) != want {
			t.Errorf("engines that had %d orders: %q", orders, e.orders)
		}
	}
}

// playLeases plays two daemons against a store that deals out the one part.
func playLeases(t *testing.T, seed uint64, leases [2]*Lease) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var heard [2]time.Time  // when the store last heard of each
	var frozen [2]time.Time // until when each stands still
	var told [2]uint64
	owner, generation := -1, uint64(0)
	lastBy, lastAt, lastFence := -1, time.Time{}, uint64(0)
	for ms := 0; ms < 60_000; ms += 100 {
		now := at(ms)
		if owner >= 0 && now.Sub(heard[owner]) >= ttl || rng.IntN(200) == 0 && owner >= 0 && told[owner] == generation {
			generation++
			if other := 1 - owner; now.Sub(heard[other]) < ttl {
				// A member that is alive gives the part up only once it has heard of it.
				if now.Sub(heard[owner]) >= ttl {
					owner = other
				}
			} else if now.Sub(heard[owner]) >= ttl {
				owner = -1
			}
		}
		for d := range 2 {
			if now.Before(frozen[d]) {
				continue
			}
			if rng.IntN(100) == 0 {
				frozen[d] = now.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)
				continue
			}
			if rng.IntN(4) > 0 { // else the join is lost
				heard[d] = now
				if owner < 0 {
					owner, generation = d, generation+1
				}
				told[d] = generation
				leases[d].Joined(now, now.Add(10*time.Millisecond), Holding{Generation: generation, Owner: owner == d})
			}
			fence, ok := leases[d].Fence(now.Add(20 * time.Millisecond))
			if !ok {
				continue
			}
			if lastBy >= 0 && lastBy != d && (now.Sub(lastAt) < quiet || fence <= lastFence) {
				t.Fatalf("seed %d: daemon %d orders with fence %d %v after the other with %d", seed, d, fence, now.Sub(lastAt), lastFence)
			}
			lastBy, lastAt, lastFence = d, now, fence
		}
	}
}
