package failure

import (
	"slices"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/internal/testbed"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// reportTimes reports the minimum, median and maximum of repeated times, in seconds.
func reportTimes(b *testing.B, times []time.Duration) {
	b.Helper()
	slices.Sort(times)
	b.ReportMetric(0, "ns/op") // includes the setup of each repeat, so it is suppressed
	b.ReportMetric(times[0].Seconds(), "min-s")
	b.ReportMetric(times[len(times)/2].Seconds(), "median-s")
	b.ReportMetric(times[len(times)-1].Seconds(), "max-s")
}

// measure runs f for each repeat of the benchmark and reports the times that it returns.
func measure(b *testing.B, f func(n int) time.Duration) {
	b.Helper()
	var times []time.Duration
	for n := 0; b.Loop(); n++ {
		times = append(times, f(n))
	}
	reportTimes(b, times)
}

// BenchmarkGrace measures the durations for which the system's guarantees give no fixed
// bound. Run it with -benchtime 5x or more.
func BenchmarkGrace(b *testing.B) {
	b.Run("memory-of-a-killed-daemon-free", measureFreedAfterKill)
	b.Run("memory-of-a-gone-caller-free", measureFreedAfterDisconnect)
	b.Run("leaving-upstream-gets-no-new-work", measureLeaving)
	b.Run("version-in-force-everywhere", measureRollout)
	b.Run("version-in-force-everywhere-platform-cut", measureRolloutDuringCut)
}

// measureFreedAfterKill measures the time from the kill of a daemon until engines hold
// no memory for its requests.
func measureFreedAfterKill(b *testing.B) {
	r := startFleet(b, sixDaemons)
	measure(b, func(n int) time.Duration {
		d := r.Daemons[n%2]
		s := r.startStream(d, completion{prompt(n), longAnswer})
		s.awaitTokens(3)
		old := ownedBy(d)
		began := time.Now()
		d.Kill()
		r.awaitFreed(old)
		took := time.Since(began)
		r.must(r.StartDaemons(r.ctx))
		r.awaitVersion(1, d)
		r.awaitPeers()
		return took
	})
}

// measureFreedAfterDisconnect measures the time from a caller's disconnect until engines
// hold no memory for its request.
func measureFreedAfterDisconnect(b *testing.B) {
	r := startFleet(b, sixDaemons)
	measure(b, func(n int) time.Duration {
		s := r.startStream(r.Daemons[n%2], completion{prompt(n), longAnswer})
		s.awaitTokens(3)
		began := time.Now()
		s.disconnect()
		r.awaitFreed(func(h engineapi.Held) bool { return h.RequestID == s.reply.id })
		return time.Since(began)
	})
}

// measureLeaving measures the time from the platform's instance list showing an engine
// as leaving until every daemon considers it to be leaving.
func measureLeaving(b *testing.B) {
	r := startFleet(b, sixDaemons, func(l *testbed.Layout) { l.Decode = 16 })
	measure(b, func(n int) time.Duration {
		var names []string
		for _, u := range r.PoolUpstreams(testbed.PoolDecode)[:n+1] {
			names = append(names, u.Name)
		}
		began := time.Now()
		r.must(r.SetInstanceList(r.ctx, names...))
		for _, d := range r.Daemons {
			r.awaitLeaving(d, names[n])
		}
		return time.Since(began)
	})
}

// measureRollout measures the time from the append of a version until every daemon has
// it in force.
func measureRollout(b *testing.B) {
	r := startFleet(b, sixDaemons)
	measure(b, r.timeRollout)
}

// measureRolloutDuringCut is measureRollout with one data centre cut from the platform.
func measureRolloutDuringCut(b *testing.B) {
	r := startFleet(b, sixDaemons)
	r.SetPlatformMode("dc1", testbed.Cut)
	measure(b, r.timeRollout)
}

// timeRollout publishes a version, a different one for odd and even n, and returns the
// time until every daemon has it in force.
func (r *harness) timeRollout(n int) time.Duration {
	r.t.Helper()
	change := fullRetryBudget
	if n%2 == 1 {
		change = shortCallTimeout
	}
	began := time.Now()
	number := r.publish(change)
	r.awaitVersion(number, r.Daemons...)
	return time.Since(began)
}

// sixDaemons doubles the number of daemons.
func sixDaemons(l *testbed.Layout) { l.Daemons = 6 }
