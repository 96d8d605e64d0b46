package roles

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/logpos"
)

func TestLease(t *testing.T) {
	l := NewLease(ttl, quiet)
	if _, ok := l.Fence(at(0)); ok {
		t.Error("a fence before the first join")
	}
	l.RecordJoin(at(0), at(5), Membership{Generation: 4, Owner: true})
	if _, ok := l.Fence(at(6)); ok {
		t.Error("a new holder may send orders at once")
	}
	for ms := 500; ms <= 5500; ms += 500 {
		l.RecordJoin(at(ms), at(ms+5), Membership{Generation: 4, Owner: true})
	}
	if fence, ok := l.Fence(at(5510)); !ok || fence != 4 {
		t.Errorf("fence %d, %t after the quiet period, want 4, true", fence, ok)
	}
	if _, ok := l.Fence(at(7100)); ok {
		t.Error("a holder that did not renew its membership may send orders")
	}
	l.RecordJoin(at(9000), at(9005), Membership{Generation: 9, Owner: true})
	if _, ok := l.Fence(at(9010)); ok {
		t.Error("a holder whose membership had expired may send orders at once")
	}
}

// Guards against orders of two daemons at the same engine, which an engine that does not
// check fencing tokens would carry out in turn. Two daemons must never hold the lease at
// the same time, and orders of successive holders must be at least the quiet period apart,
// also if joins are delayed or lost, a daemon freezes, the store reassigns the partition
// or a membership expires.
func TestTwoHoldersAreApart(t *testing.T) {
	for seed := range uint64(300) {
		simulateLeases(t, seed, [2]*Lease{NewLease(ttl, quiet), NewLease(ttl, quiet)}, false)
	}
}

// Checks the same with a store that is restored from copies of its group, whose generation goes back.
// Engines that check fencing tokens would refuse all orders until it has caught up, and others take two
// orders with one token.
func TestTwoHoldersAreApartAcrossRestorations(t *testing.T) {
	for seed := range uint64(300) {
		simulateLeases(t, seed, [2]*Lease{NewLease(ttl, quiet), NewLease(ttl, quiet)}, true)
	}
}

// Checks the same for daemons that start together with Bootstrap.
func TestTwoHoldersAreApartAfterABootstrap(t *testing.T) {
	for seed := range uint64(300) {
		leases := [2]*Lease{NewLease(ttl, quiet), NewLease(ttl, quiet)}
		leases[0].Bootstrap(at(4000))
		leases[1].Bootstrap(at(4300))
		simulateLeases(t, seed, leases, false)
	}
}

// Guards against orders that are allowed too late or too early when the whole system starts.
// Engines should change their roles before clients connect.
func TestBootstrapOpensOrdersEarly(t *testing.T) {
	join := func(l *Lease, from, until int) {
		for ms := from; ms <= until; ms += 500 {
			l.RecordJoin(at(ms), at(ms+5), Membership{Generation: 3, Owner: true})
		}
	}
	for name, tc := range map[string]struct {
		from  int // when the daemon gets the lease, in ms
		opens int // from when orders are allowed, in ms
		at    int // when Fence is called, in ms
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
				t.Errorf("orders allowed: %t, want otherwise", ok)
			}
		})
	}
}

// Guards against an engine that changes its role twice on the orders of two daemons: a
// daemon that restarts with a setting for the first start gets the lease and orders an
// engine that the previous holder has just ordered. The engine's count of orders shows
// that this is not the first start.
func TestEarlyOrdersGoToFreshEnginesOnly(t *testing.T) {
	for orders, want := range map[uint64]int{0: 2, 1: 0} {
		now := t0
		e := &fakeEngines{state: State{Role: fleet.RolePrefill, Orders: orders}}
		r := newTestRunner(e, &now)
		r.lease = NewLease(ttl, quiet)
		r.lease.Bootstrap(at(8500))
		for ms := 6500; ms <= 8500; ms += 500 {
			r.lease.RecordJoin(at(ms), at(ms), Membership{Generation: 7, Owner: true})
		}
		now = at(8600)
		fence, ok := r.lease.Fence(now)
		if !ok {
			t.Fatal("orders are not open")
		}
		r.sendOrders(context.Background(), fence)
		if len(e.orders) != want {
			t.Errorf("orders to engines that had accepted %d: %q", orders, e.orders)
		}
	}
}

// simulateLeases runs two daemons against a store that assigns the single partition of the
// group, with random delays, losses and freezes. It fails if orders of the two daemons are
// less than the quiet period apart or their fencing tokens do not increase. If restores is set, the
// store is restored from copies at most 8 s old.
func simulateLeases(t *testing.T, seed uint64, leases [2]*Lease, restores bool) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var lastJoin [2]time.Time // by daemon: when the store received its last join
	var frozenUntil [2]time.Time
	var knownGeneration [2]uint64
	owner, generation, epoch := -1, uint64(0), logpos.Unnumbered
	lastDaemon, lastAt, lastFence := -1, time.Time{}, uint64(0)
	type storeCopy struct {
		lastJoin   [2]time.Time
		owner      int
		generation uint64
	}
	var backup storeCopy
	for ms := 0; ms < 60_000; ms += 100 {
		now := at(ms)
		if ms%4000 == 0 {
			if restores && rng.IntN(2) == 0 {
				lastJoin, owner, generation = backup.lastJoin, backup.owner, backup.generation
				epoch++
			}
			if rng.IntN(2) == 0 || ms%8000 == 0 {
				backup = storeCopy{lastJoin, owner, generation}
			}
		}
		if owner >= 0 && now.Sub(lastJoin[owner]) >= ttl || rng.IntN(200) == 0 && owner >= 0 && knownGeneration[owner] == generation {
			generation++
			if other := 1 - owner; now.Sub(lastJoin[other]) < ttl {
				// The store reassigns the partition only when the owner's membership has
				// expired; a live owner keeps it in the new generation.
				if now.Sub(lastJoin[owner]) >= ttl {
					owner = other
				}
			} else if now.Sub(lastJoin[owner]) >= ttl {
				owner = -1
			}
		}
		for d := range 2 {
			if now.Before(frozenUntil[d]) {
				continue
			}
			if rng.IntN(100) == 0 {
				frozenUntil[d] = now.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)
				continue
			}
			if rng.IntN(4) > 0 { // else the join is lost
				lastJoin[d] = now
				if owner < 0 {
					owner, generation = d, generation+1
				}
				knownGeneration[d] = generation
				leases[d].RecordJoin(now, now.Add(10*time.Millisecond), Membership{Epoch: epoch, Generation: generation, Owner: owner == d})
			}
			fence, ok := leases[d].Fence(now.Add(20 * time.Millisecond))
			if !ok {
				continue
			}
			if fence < lastFence {
				t.Fatalf("seed %d: daemon %d may send orders with fence %d after fence %d", seed, d, fence, lastFence)
			}
			if lastDaemon >= 0 && lastDaemon != d && (now.Sub(lastAt) < quiet || fence <= lastFence) {
				t.Fatalf("seed %d: daemon %d may send orders with fence %d, %v after the other one with fence %d", seed, d, fence, now.Sub(lastAt), lastFence)
			}
			lastDaemon, lastAt, lastFence = d, now, fence
		}
	}
}
