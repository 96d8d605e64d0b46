//go:build !race

package relay

import (
	"fmt"
	"testing"
	"time"
)

// Load: the reader of one data centre alone loses its path to the store, and upstreams are withdrawn
// from then on, a few at a time. Guards against requests to upstreams that are gone: the reader's data
// centre took the withdrawals for leases that had expired in an outage of the store.
func TestWithdrawalsWhileAReaderIsCutOffFromTheStore(t *testing.T) {
	const (
		bound    = 3 * time.Second
		interval = 300 * time.Millisecond
		gone     = 12 // of the upstreams of one service, under half
	)
	runOnFleetsWithin(t, bound, func(t *testing.T, w *testFleet) {
		from := w.elapsed()
		cut := w.readers()[0]
		w.store.setUnreachable(cut.self.Instance, true)
		var others []*daemon
		for _, d := range w.daemons {
			if d != cut {
				others = append(others, d)
			}
		}
		withdrawnAt := map[int]time.Time{}
		for i := range gone {
			time.Sleep(interval)
			w.store.unregister(i)
			withdrawnAt[i] = time.Now()
		}
		time.Sleep(bound + 2*time.Second)
		w.store.setUnreachable(cut.self.Instance, false)
		for i, at := range withdrawnAt {
			change := fmt.Sprint("removed u", i)
			if late, missing := w.lastApplied(change, at, others); missing > 0 || late > bound {
				t.Errorf("%s: %d daemons have not applied it, the last that has after %v", change, missing, late)
			}
		}
		w.checkCalls(t, from, 9*40)
	})
}

// Load: a data centre is partitioned from the others and from the store for 6 s, the leases of some
// upstreams expire there meanwhile, and they register again within 2 s of the end. Guards against daemons
// of that data centre that drop running upstreams, because a reader elsewhere took them for withdrawn.
func TestLeasesThatExpireInAPartition(t *testing.T) {
	const gone = 12
	runOnFleets(t, func(t *testing.T, w *testFleet) {
		cut, inside := map[string]bool{}, []*daemon{}
		for _, d := range w.daemons {
			if d.self.DataCentre == "dc1" {
				cut[d.self.Address] = true
				inside = append(inside, d)
				w.store.setUnreachable(d.self.Instance, true)
			}
		}
		w.network.setPartition(func(a, b string) bool { return cut[a] != cut[b] })
		time.Sleep(3 * time.Second)
		for i := range gone {
			w.store.unregister(i)
		}
		time.Sleep(3 * time.Second)
		for _, d := range inside {
			w.store.setUnreachable(d.self.Instance, false)
		}
		w.network.setPartition(nil)
		time.Sleep(time.Second)
		for i := range gone {
			w.store.register(i)
		}
		time.Sleep(4 * time.Second)
		for i := range gone {
			change := fmt.Sprint("removed u", i)
			if _, missing := w.lastApplied(change, w.began, inside); missing < len(inside) {
				t.Errorf("%s: %d daemons of the data centre dropped a running upstream", change, len(inside)-missing)
			}
		}
	})
}
