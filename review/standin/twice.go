package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Rates of the two kinds of requests of inscripcion-api, in requests a second, and the spans of the faults.
const (
	claimsPerSecond, lookUpsPerSecond = 47.9, 19.2
	faultSpan, faultPeriod            = 5 * time.Second, 10 * time.Second
	twiceTime                         = 100 * time.Second
)

// twice: one of three replicas rejects 0.45 of its requests and sends late extra copies of 3 in 100 of its
// answers, for 5 s in each 10 s, under the sheet's traffic.
func twice(program, dir string, trouble bool) int {
	s, l := startStore(), newLedger()
	stop := make(chan struct{})
	began := time.Now()
	for i := range 3 {
		r := &plainReplica{id: fmt.Sprintf("i-7f3a91c%d", i), slots: 6, queue: 24, work: 15 * time.Millisecond, ledger: l}
		if trouble && i == 0 {
			r.extraEvery, r.shedShare = 33, 0.45
			r.troubled = func() bool { return time.Since(began)%faultPeriod < faultSpan }
		}
		ln := listen()
		go r.serve(ln)
		go s.register(r.id, "inscripcion-api", ln.Addr().String(), "", r.slots, stop)
	}
	s.manifest(1, []any{map[string]any{"name": "inscripcion-api", "health_path": "/health"}},
		route("bib-claim", "/pule252/", "non_idempotent", "inscripcion-api", 1, 800, 100),
		route("entry-status", "/lohu930/", "idempotent", "inscripcion-api", 2, 800, 100))
	daemons := startDaemons(program, dir, s.address, 3, memoryLimit)
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	var sent atomic.Int64
	const clients = 24
	until := time.Now().Add(twiceTime)
	for i := range clients {
		wg.Go(func() {
			c := newChannel()
			for n := 0; time.Now().Before(until); n++ {
				time.Sleep(time.Duration(rand.ExpFloat64() * clients / (claimsPerSecond + lookUpsPerSecond) * float64(time.Second)))
				d := daemons[(i+n)%len(daemons)]
				sent.Add(1)
				if rand.Float64() < lookUpsPerSecond/(claimsPerSecond+lookUpsPerSecond) {
					c.send(d, "GET", "/lohu930/"+newID(), "", 1500*time.Millisecond, nil)
					continue
				}
				got := c.send(d, "POST", "/pule252/2f", "a bib", 1500*time.Millisecond, nil)
				mu.Lock()
				results = append(results, got)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	broken, promised, served, rejected := 0, 0, 0, 0
	for _, r := range results {
		if l.count(r.id) > 1 {
			broken++
			note("BROKEN   %s has run %d times", r.id, l.count(r.id))
		}
		switch {
		case promises(r.status) && l.count(r.id) > 0:
			promised++
			note("REFUSED  %s was answered %d and has run", r.id, r.status)
		case promises(r.status):
			rejected++
		case r.status == 200:
			served++
		}
	}
	note("%d requests a second; of %d claims %d served, %d refused and not run, %d refused though run", sent.Load()/int64(twiceTime.Seconds()), len(results), served, rejected, promised)
	if served == 0 {
		skip("nothing was served")
	}
	return broken
}
