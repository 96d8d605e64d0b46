package failure

import (
	"slices"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/internal/testbed"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// spread reports the minimum, median and maximum of repeated times, in seconds.
func spread(b *testing.B, times []time.Duration) {
	b.Helper()
	slices.Sort(times)
	b.ReportMetric(0, "ns/op") // the time of the whole sequence says nothing
	b.ReportMetric(times[0].Seconds(), "min-s")
	b.ReportMetric(times[len(times)/2].Seconds(), "median-s")
	b.ReportMetric(times[len(times)-1].Seconds(), "max-s")
}

// measure runs f for each repeat; f returns the time it took.
func measure(b *testing.B, f func(n int) time.Duration) {
	b.Helper()
	var times []time.Duration
	for n := 0; b.Loop(); n++ {
		times = append(times, f(n))
	}
	spread(b, times)
}

// BenchmarkGrace measures the seconds that the promises leave open. Run it with
// -benchtime 5x or more.
func BenchmarkGrace(b *testing.B) {
	b.Run("memory-of-a-killed-daemon-free", killedGrace)
	b.Run("memory-of-a-gone-caller-free", callerGrace)
	b.Run("leaving-upstream-gets-no-new-work", leavingGrace)
	b.Run("version-in-force-everywhere", rollGrace)
	b.Run("version-in-force-everywhere-platform-cut", cutRollGrace)
}

// killedGrace runs from a daemon's kill until engines hold nothing of it.
func killedGrace(b *testing.B) {
	r := start(b, sixDaemons)
	measure(b, func(n int) time.Duration {
		d := r.Daemons[n%2]
		s := r.stream(d, draft{prompt(n), longAnswer})
		s.await(3)
		old := ownedBy(d)
		began := time.Now()
		d.Kill()
		r.awaitFreed(old)
		took := time.Since(began)
		r.must(r.StartDaemons(r.ctx))
		r.inForce(1, d)
		r.meet()
		return took
	})
}

// callerGrace runs from a caller's leaving until engines hold nothing of its request.
func callerGrace(b *testing.B) {
	r := start(b, sixDaemons)
	measure(b, func(n int) time.Duration {
		s := r.stream(r.Daemons[n%2], draft{prompt(n), longAnswer})
		s.await(3)
		began := time.Now()
		s.leave()
		r.awaitFreed(func(h engineapi.Held) bool { return h.RequestID == s.got.id })
		return time.Since(began)
	})
}

// leavingGrace runs from the platform list's word that an engine leaves until
// every daemon's view leaves it out.
func leavingGrace(b *testing.B) {
	r := start(b, sixDaemons, func(l *testbed.Layout) { l.Decode = 16 })
	measure(b, func(n int) time.Duration {
		var names []string
		for _, u := range r.Pool(testbed.PoolDecode)[:n+1] {
			names = append(names, u.Name)
		}
		began := time.Now()
		r.must(r.ListInstances(r.ctx, names...))
		for _, d := range r.Daemons {
			r.knowsLeaving(d, names[n])
		}
		return time.Since(began)
	})
}

// rollGrace runs from an append until every daemon has the version in force.
func rollGrace(b *testing.B) {
	r := start(b, sixDaemons)
	measure(b, r.rollOnce)
}

// cutRollGrace is rollGrace with one data centre cut from the platform.
func cutRollGrace(b *testing.B) {
	r := start(b, sixDaemons)
	r.SetPlatform("dc1", testbed.Cut)
	measure(b, r.rollOnce)
}

func (r *rig) rollOnce(n int) time.Duration {
	r.t.Helper()
	change := generous
	if n%2 == 1 {
		change = quickCalls
	}
	began := time.Now()
	number := r.publish(change)
	r.inForce(number, r.Daemons...)
	return time.Since(began)
}

func sixDaemons(l *testbed.Layout) { l.Daemons = 6 }
