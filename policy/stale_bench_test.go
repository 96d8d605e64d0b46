package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// modelStream is one running answer on a replica of the queueing model. Times are in seconds.
type modelStream struct {
	start, end float64
	daemon     int
}

// staleLoadModel is a queueing model of decode replicas. Daemons estimate their load from
// periodic reports and their own requests since. It serves only to compare numbers of
// replicas to sample.
type staleLoadModel struct {
	// reportPeriod is the time between two load reports of a replica, and reportPhase the
	// time of each replica's first report, both in seconds.
	reportPeriod float64
	replicas     [][]modelStream
	reportPhase  []float64
}

const (
	// modelSlots is the number of slots per replica.
	modelReplicas, modelSlots, modelDaemons = 60, 20, 6
	modelAnswer                             = 24.0 // mean length of an answer in seconds: 423 tokens at 57 ms
	// modelOccupancy is the offered load as a share of all slots.
	modelOccupancy = 0.93
)

// active returns the number of answers that a replica is actually generating.
func (f *staleLoadModel) active(r int, now float64) int {
	n := 0
	for _, s := range f.replicas[r] {
		if s.start <= now && now < s.end {
			n++
		}
	}
	return n
}

// estimatedLoad returns the load of a replica as the given daemon estimates it: the last
// reported load and the daemon's own requests since.
func (f *staleLoadModel) estimatedLoad(daemon, r int, now float64) int {
	reportedAt := now - f.reportPhase[r]
	reportedAt = f.reportPhase[r] + float64(int(reportedAt/f.reportPeriod))*f.reportPeriod
	n := f.active(r, reportedAt)
	for _, s := range f.replicas[r] {
		if s.daemon == daemon && s.start > reportedAt && now < s.end {
			n++
		}
	}
	return n
}

// pick samples until it has found d replicas with a free slot by the daemon's estimate, at
// most 3*d times, and returns the least loaded one, or -1 when it found none. With d = 0 it
// scans all replicas.
func (f *staleLoadModel) pick(daemon, d int, now float64, rng *rand.Rand) int {
	best, least, found := -1, modelSlots, 0
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
		if used := f.estimatedLoad(daemon, r, now); used < modelSlots {
			found++
			if used < least {
				best, least = r, used
			}
		}
		if found == d && d > 0 {
			break
		}
	}
	return best
}

// BenchmarkStaleChoices reports the share of requests sent to a full replica, for several
// sample sizes d and report periods.
func BenchmarkStaleChoices(b *testing.B) {
	for _, period := range []float64{0.1, 1, 4} {
		for _, d := range []int{1, 2, 3, 5, 0} {
			b.Run(fmt.Sprintf("period=%vs/d=%d", period, d), func(b *testing.B) {
				var missed, dispatched float64
				for seed := 0; b.Loop(); seed++ {
					m, n := simulateStaleLoads(period, d, rand.New(rand.NewPCG(uint64(seed), 1)))
					missed, dispatched = missed+m, dispatched+n
				}
				b.ReportMetric(100*missed/dispatched, "%full")
			})
		}
	}
}

// simulateStaleLoads returns how many requests were dispatched in steady state, and how many
// of them found no free slot.
func simulateStaleLoads(period float64, d int, rng *rand.Rand) (missed, dispatched float64) {
	f := &staleLoadModel{reportPeriod: period, replicas: make([][]modelStream, modelReplicas), reportPhase: make([]float64, modelReplicas)}
	for r := range f.reportPhase {
		f.reportPhase[r] = -period * rng.Float64()
	}
	rate := modelReplicas * modelSlots * modelOccupancy / modelAnswer
	for now := 0.0; now < 6*modelAnswer; now += rng.ExpFloat64() / rate {
		daemon := rng.IntN(modelDaemons)
		r := f.pick(daemon, d, now, rng)
		full := r < 0 || f.active(r, now) >= modelSlots
		if now > 3*modelAnswer { // the fleet is in steady state
			dispatched++
			if full {
				missed++
			}
		}
		if full {
			continue
		}
		expired := func(s modelStream) bool { return s.end < now-period }
		f.replicas[r] = append(slices.DeleteFunc(f.replicas[r], expired), modelStream{now, now + modelAnswer*rng.ExpFloat64(), daemon})
	}
	return missed, dispatched
}
