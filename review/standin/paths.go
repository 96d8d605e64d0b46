package main

import (
	"fmt"
	"time"
)

// paths: one client in ten joins its base address, which ends with a slash, and its path, which begins with
// one, so that the path begins with two. The route's prefix is a slash.
func paths(program, dir string, trouble bool) int {
	s, l := startStore(), newLedger()
	stop := make(chan struct{})
	for i := range 3 {
		r := &plainReplica{id: fmt.Sprintf("i-7f3a91c%d", i), slots: 6, queue: 24, work: 15 * time.Millisecond, ledger: l}
		ln := listen()
		go r.serve(ln)
		go s.register(r.id, "inscripcion-api", ln.Addr().String(), "", r.slots, stop)
	}
	s.manifest(1, []any{map[string]any{"name": "inscripcion-api", "health_path": "/health"}}, route("bib-claim", "/", "non_idempotent", "inscripcion-api", 1, 800, 100))
	d := startDaemons(program, dir, s.address, 1, memoryLimit)[0]
	time.Sleep(2 * time.Second)
	c := newChannel()
	broken, same := 0, 0
	for i := range 200 {
		path := "/pule252/2f"
		if trouble && i%10 == 9 {
			path = "/" + path
		}
		got := c.send(d, "POST", path, "a bib", 1500*time.Millisecond, nil)
		switch ran, want := l.request(got.id), "POST "+path; {
		case l.count(got.id) > 0 && ran != want:
			broken++
			note("BROKEN   %s: sent as %q, run as %q", got.id, want, ran)
		case l.count(got.id) > 0:
			same++
		}
	}
	note("%d run as sent, %d run with another path", same, broken)
	if same == 0 {
		skip("nothing was run")
	}
	return broken
}
