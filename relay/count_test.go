//go:build !race

// See world_test.go for why these tests run without the race detector.

package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against fleet-wide limits that are exceeded because each daemon divides them by
// too few daemons. This could happen after a start or a restart of all daemons, above all
// in a small fleet, where no daemon reads through another one and daemons must learn of
// each other in another way.
func TestDaemonsCountEachOther(t *testing.T) {
	// countTime is the time after a start within which the daemons must count each other.
	const countTime = 8 * time.Second
	for _, n := range []int{6, 7, 12, 150} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestFleet(t, n)
				w.store.putConfig(1)
				w.store.register(1)
				for range 3 {
					w.startAll(w.daemons)
					time.Sleep(countTime)
					for _, d := range w.daemons {
						if got := d.roster.ShareCount(time.Now()); got < n || got > n+dataCentres {
							t.Errorf("%s counts %d of %d daemons", d.self.Instance, got, n)
						}
					}
					w.kill(w.daemons...)
				}
			})
		})
	}
}
