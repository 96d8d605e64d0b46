package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// stream is one answer on a replica of the queueing model, in seconds.
type stream struct {
	start, end float64
	daemon     int
}

// staleFleet is a queueing model of decode replicas whose loads daemons know by
// reports of a fixed period and by their own work since. It is no engine: it
// answers how many choices to draw, nothing else.
type staleFleet struct {
	period   float64
	replicas [][]stream
	phase    []float64
}

const (
	modelReplicas, modelSlots, modelDaemons = 60, 20, 6
	modelAnswer                             = 24.0 // seconds, the design size's 423 tokens at 57 ms
	modelOccupancy                          = 0.93
)

func (f *staleFleet) active(r int, now float64) int {
	n := 0
	for _, s := range f.replicas[r] {
		if s.start <= now && now < s.end {
			n++
		}
	}
	return n
}

// view is what a daemon takes a replica to hold.
func (f *staleFleet) view(daemon, r int, now float64) int {
	told := now - f.phase[r]
	told = f.phase[r] + float64(int(told/f.period))*f.period
	n := f.active(r, told)
	for _, s := range f.replicas[r] {
		if s.daemon == daemon && s.start > told && now < s.end {
			n++
		}
	}
	return n
}

// pick draws d replicas with a free slot by the daemon's view, until it has seen
// 3d, and returns the emptiest; -1 when it saw none. d = 0 looks at all.
func (f *staleFleet) pick(daemon, d int, now float64, rng *rand.Rand) int {
	best, least, seen := -1, modelSlots, 0
	n := 3 * d
	if d == 0 {
		n = modelReplicas
	}
	start := rng.IntN(modelReplicas)
	for i := range n {
		r := (start + i) % modelReplicas
		if d > 0 {
			r = rng.IntN(modelReplicas)
		}
		if used := f.view(daemon, r, now); used < modelSlots {
			seen++
			if used < least {
				best, least = r, used
			}
		}
		if seen == d && d > 0 {
			break
		}
	}
	return best
}

// BenchmarkStaleChoices prints, for each number of choices and period of reports,
// the share of dispatches that found the engine full.
func BenchmarkStaleChoices(b *testing.B) {
	for _, period := range []float64{0.1, 1, 4} {
		for _, d := range []int{1, 2, 3, 5, 0} {
			b.Run(fmt.Sprintf("period=%vs/d=%d", period, d), func(b *testing.B) {
				var missed, dispatched float64
				for seed := 0; b.Loop(); seed++ {
					m, n := runStale(period, d, rand.New(rand.NewPCG(uint64(seed), 1)))
					missed, dispatched = missed+m, dispatched+n
				}
				b.ReportMetric(100*missed/dispatched, "%full")
			})
		}
	}
}

func runStale(period float64, d int, rng *rand.Rand) (missed, dispatched float64) {
	f := &staleFleet{period: period, replicas: make([][]stream, modelReplicas), phase: make([]float64, modelReplicas)}
	for r := range f.phase {
		f.phase[r] = -period * rng.Float64()
	}
	rate := modelReplicas * modelSlots * modelOccupancy / modelAnswer
	for now := 0.0; now < 6*modelAnswer; now += rng.ExpFloat64() / rate {
		daemon := rng.IntN(modelDaemons)
		r := f.pick(daemon, d, now, rng)
		full := r < 0 || f.active(r, now) >= modelSlots
		if now > 3*modelAnswer { // by then the fleet has filled
			dispatched++
			if full {
				missed++
			}
		}
		if full {
			continue
		}
		gone := func(s stream) bool { return s.end < now-period }
		f.replicas[r] = append(slices.DeleteFunc(f.replicas[r], gone), stream{now, now + modelAnswer*rng.ExpFloat64(), daemon})
	}
	return missed, dispatched
}
