//go:build !race

// See world_test.go for why these tests run without the race detector.

package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Symptom: what all daemons share is spent more than once.
// Sequence: daemons start, or are all killed and started again; each divides by as many as
// it has heard of. In a small fleet nobody asks another daemon for records.
// Cause: who does not ask is not heard.
func TestDaemonsCountEachOther(t *testing.T) {
	const known = 8 * time.Second
	for _, n := range []int{6, 7, 12, 150} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, n)
				w.store.configure(1)
				w.store.register(1)
				for range 3 {
					w.startAll(w.daemons)
					time.Sleep(known)
					for _, d := range w.daemons {
						if got := d.roster.Sharing(time.Now()); got < n || got > n+dataCentres {
							t.Errorf("%s counts %d of %d daemons", d.self.Instance, got, n)
						}
					}
					w.kill(w.daemons...)
				}
			})
		})
	}
}
