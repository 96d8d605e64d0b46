package main

import (
	"fmt"
	"sync"
	"time"
)

// refused: one of two replicas sends late extra copies of 3 in 100 of its answers, in bursts of traffic in
// which replicas reject requests.
func refused(program, dir string, trouble bool) int {
	s, l := startStore(), newLedger()
	stop := make(chan struct{})
	for i := range 3 {
		r := &plainReplica{id: fmt.Sprintf("i-7f3a91c%d", i), slots: 6, queue: 2, work: 15 * time.Millisecond, ledger: l}
		if trouble && i == 0 {
			r.extraEvery = 33
		}
		ln := listen()
		go r.serve(ln)
		go s.register(r.id, "inscripcion-api", ln.Addr().String(), "", r.slots, stop)
	}
	s.manifest(1, []any{map[string]any{"name": "inscripcion-api", "health_path": "/health"}}, route("bib-claim", "/pule252/", "non_idempotent", "inscripcion-api", 1, 800, 100))
	daemons := startDaemons(program, dir, s.address, 3, 134)
	time.Sleep(2 * time.Second)

	var wg sync.WaitGroup
	var mu sync.Mutex
	var results []result
	until := time.Now().Add(45 * time.Second)
	const clients = 45
	for i := range clients {
		wg.Go(func() {
			c := newChannel()
			for n := 0; time.Now().Before(until); n++ {
				// A burst of 0.4 s in each second.
				time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second)))
				for end := time.Now().Add(400 * time.Millisecond); time.Now().Before(end); {
					got := c.send(daemons[(i+n)%len(daemons)], "POST", "/pule252/2f", "a bib", 1500*time.Millisecond, nil)
					mu.Lock()
					results = append(results, got)
					mu.Unlock()
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	broken, served, rejected := 0, 0, 0
	for _, r := range results {
		switch {
		case promises(r.status) && l.count(r.id) > 0:
			broken++
			note("BROKEN   %s was answered %d and has run %d times", r.id, r.status, l.count(r.id))
		case promises(r.status):
			rejected++
		case r.status == 200:
			served++
		}
		if l.count(r.id) > 1 {
			note("TWICE    %s has run %d times", r.id, l.count(r.id))
		}
	}
	note("%d requests, %d served, %d refused and not run", len(results), served, rejected)
	if served == 0 {
		skip("nothing was served")
	}
	return broken
}
