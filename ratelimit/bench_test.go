package ratelimit

import (
	"fmt"
	"testing"

	"github.com/corianderturn/corianderturn/quota"
)

// BenchmarkMay measures the check of one upstream with a limit, which each request makes for each
// such upstream of its pool.
func BenchmarkMay(b *testing.B) {
	for _, n := range []int{1, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, ledger := NewTable(), quota.NewLedger(t0, true)
			tick(ledger, 0, 20_000)
			var all []Upstream
			for i := range n {
				u := Upstream{Name: fmt.Sprint("i-", i)}
				table.Observe(at(20_000), Observation{Upstream: u, HasLimit: true, Limit: 5, At: at(20_000)})
				all = append(all, u)
			}
			g := NewLimiter(table, ledger)
			b.ResetTimer()
			for i := range b.N {
				g.Allows(at(20_000), all[i%n], Request{Pool: "p", Rank: 1})
			}
		})
	}
}

// BenchmarkNoLimit measures the cost for each request while no upstream has a limit.
func BenchmarkNoLimit(b *testing.B) {
	table := NewTable()
	for range b.N {
		if len(table.Limited()) > 0 {
			b.Fatal("an empty table has limits")
		}
	}
}
