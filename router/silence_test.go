package router

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/internal/standin/site"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/policy"
)

// outcome is what a caller got.
type outcome string

const (
	whole   outcome = "whole"
	refused outcome = "refused" // 429 or 503
	cut     outcome = "cut"     // the beginning of an answer
	nothing outcome = "nothing" // neither an answer nor a refusal
)

// outcomeOf classifies the answer to a request for a stream, or for a call if events is 0.
func outcomeOf(r reply, id string, events int) outcome {
	want := "answer to " + id
	if events > 0 {
		want = site.Stream(id, events)
	}
	switch {
	case r.status == 0:
		return nothing
	case r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests:
		return refused
	case r.err == nil && r.status == http.StatusOK && site.WithoutVersions(r.body) == want:
		return whole
	case r.status == http.StatusOK:
		return cut
	default:
		return outcome(fmt.Sprint("status ", r.status))
	}
}

// outcomes collects what callers got, by the paths of their requests. It is safe for concurrent use.
type outcomes struct {
	mu     sync.Mutex
	counts map[string]map[outcome]int
}

func (o *outcomes) add(path string, got outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = map[string]map[outcome]int{}
	}
	if o.counts[path] == nil {
		o.counts[path] = map[outcome]int{}
	}
	o.counts[path][got]++
}

// otherThan returns how many requests ended in another way than the given ones.
func (o *outcomes) otherThan(allowed ...outcome) (n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, counts := range o.counts {
		for got, count := range counts {
			if !strings.Contains(fmt.Sprint(allowed), string(got)) {
				n += count
			}
		}
	}
	return n
}

// count returns how many requests to some paths ended in the given ways.
func (o *outcomes) count(paths []string, ended ...outcome) (n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, path := range paths {
		for _, got := range ended {
			n += o.counts[path][got]
		}
	}
	return n
}

// streamPaths are the paths of requests for streams.
var streamPaths = []string{site.PathDraft, site.PathLetter}

// silentStream is the number of events of the streams that meet a silence, and silentStreamPause the
// time between two of them.
const (
	silentStream      = 60
	silentStreamPause = 20 * time.Millisecond
)

// newSilenceFleet starts a fleet whose streams last for a while, and whose engines have software of one
// version or two.
func newSilenceFleet(t *testing.T, versions int) *attachedFleet {
	t.Helper()
	f := newAttachedSite(t)
	for _, u := range f.upstreams {
		if u.Service == site.EngineSet {
			u.Events, u.Pause = silentStream, silentStreamPause
			u.Restart(site.DefaultVersion) // it tells its incarnation
			f.site.Register(u, "in_service")
		}
	}
	if versions > 1 {
		f.setVersion("d1", "v2")
		f.setVersion("p1", "v2")
	}
	f.start(nil)
	return f
}

func (f *attachedFleet) setSilent(names string, silent bool) {
	for _, name := range strings.Fields(names) {
		f.upstreams[name].SetSilent(silent)
	}
}

// askMany sends n requests to each route at the same time.
func (f *attachedFleet) askMany(wg *conc.WaitGroup, o *outcomes, id string, n int) {
	for i := range n {
		for _, path := range []string{site.PathDraft, site.PathLetter, site.PathLookUp, site.PathOrder} {
			events := 0
			if path == site.PathDraft || path == site.PathLetter {
				events = silentStream
			}
			wg.Go(func() {
				id := fmt.Sprint(id, "-", i, strings.ReplaceAll(path, "/", ""))
				o.add(path, outcomeOf(f.ask(f.t.Context(), path+"x", id), id, events))
			})
		}
	}
}

// Guards against streams and calls that are cut, or end with neither an answer nor a refusal, because
// their upstream was silent for a while and was taken for lost, beside a new version of the
// configuration or without one.
func TestSilentUpstreams(t *testing.T) {
	const all = "p0 p1 d0 d1 s0 s1"
	const ms = time.Millisecond
	for _, tc := range []struct {
		name, silent string
		length       time.Duration
		headFirst    time.Duration // time from the head of a stream to its first event
		versions     int           // software versions of the engines, if not 1
		publish      bool          // a version of the configuration comes in the middle
		other        site.Faults   // of d1 in the silence
		times        int           // number of silences, if not 1
	}{
		{name: "one decode engine", silent: "d0", length: 1600 * ms, publish: true},
		{name: "one decode engine and the other refuses results", silent: "d0", length: 2200 * ms, other: site.Faults{LapsedHandles: true}},
		{name: "one decode engine and the other refuses requests", silent: "d0", length: 2200 * ms, other: site.Faults{Shed: true}},
		{name: "one decode engine and the other resets connections", silent: "d0", length: 2200 * ms, other: site.Faults{Reset: true}},
		{name: "one version", silent: "p0 d0", length: 1600 * ms, versions: 2, publish: true},
		{name: "prefill engines and one decode engine", silent: "p0 p1 d0", length: 2200 * ms},
		{name: "all for a short time", silent: all, length: 500 * ms, versions: 2, publish: true},
		{name: "all", silent: all, length: 1600 * ms, publish: true},
		{name: "all of two versions", silent: all, length: 1600 * ms, versions: 2, publish: true},
		{name: "all for a long time", silent: all, length: 2500 * ms},
		{name: "all again and again", silent: all, length: 1300 * ms, times: 3},
		{name: "head long before the first event", headFirst: 2200 * ms, versions: 2},
		{name: "head long before the first event and all silent", silent: all, length: 1600 * ms, headFirst: 1800 * ms, publish: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			defer limitFleets()()
			f := newSilenceFleet(t, tc.versions)
			f.setFaults("d0 d1", site.Faults{FirstEventAfter: tc.headFirst})
			var began, later outcomes
			refusedBefore := 0 // streams for which a busy machine had no engine before the silence
			var wg conc.WaitGroup
			defer wg.Wait()
			for n := range max(1, tc.times) {
				const each = 6
				ended, refusedEarlier := began.count(streamPaths, whole, refused), began.count(streamPaths, refused)
				f.askMany(&wg, &began, fmt.Sprint("before", n), each)
				waittest.Until(t, "the streams run", func() bool {
					active := f.upstreams["d0"].Active() + f.upstreams["d1"].Active()
					return active+began.count(streamPaths, whole, refused)-ended >= len(streamPaths)*each
				})
				refusedBefore += began.count(streamPaths, refused) - refusedEarlier
				f.setSilent(tc.silent, true)
				if tc.other != (site.Faults{}) {
					f.setFaults("d1", tc.other)
				}
				time.Sleep(tc.length / 2) // the first half of the silence
				f.askMany(&wg, &later, fmt.Sprint("during", n), 2)
				if tc.publish {
					f.site.Configure(2+n, "/other/")
				}
				time.Sleep(tc.length / 2) // the second half
				f.setSilent(tc.silent, false)
				wg.Wait()
				f.setFaults("d1", site.Faults{FirstEventAfter: tc.headFirst})
			}
			t.Logf("began before: %v, during: %v", began.counts, later.counts)
			if n := began.otherThan(whole) - refusedBefore; n > 0 {
				t.Errorf("%d requests that an upstream had accepted were not answered whole: %v", n, began.counts)
			}
			if n := later.otherThan(whole, refused); n > 0 && tc.other == (site.Faults{}) { // new streams may meet the fault
				t.Errorf("%d requests got neither an answer nor a refusal: %v", n, later.counts)
			}
			for id, runs := range f.site.Account.AllExecutions() {
				if strings.Contains(id, "letter") && len(runs) > 1 || strings.Contains(id, "order") && len(runs) > 1 {
					t.Errorf("%s ran %d times", id, len(runs))
				}
			}
			f.waitNothingHeld()
		})
	}
}

// Guards against new streams and calls that are refused although the upstreams speak again after a
// silence of all.
func TestServedAfterSilence(t *testing.T) {
	const all = "p0 p1 d0 d1 s0 s1"
	const servedAfter = 300 * time.Millisecond
	for _, length := range []time.Duration{700 * time.Millisecond, 1600 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(length.String(), func(t *testing.T) {
			t.Parallel()
			defer limitFleets()()
			f := newSilenceFleet(t, 1)
			var during, after outcomes
			var wg conc.WaitGroup
			defer wg.Wait()
			f.setSilent(all, true)
			const rounds = 5
			for n := range rounds {
				f.askMany(&wg, &during, fmt.Sprint("during", n), 1)
				time.Sleep(length / rounds) // a part of the silence
			}
			f.setSilent(all, false)
			time.Sleep(servedAfter) // the time within which new requests must be served again
			f.askMany(&wg, &after, "after", 4)
			wg.Wait()
			t.Logf("during: %v, after: %v", during.counts, after.counts)
			if n := during.otherThan(whole, refused); n > 0 {
				t.Errorf("%d requests got neither an answer nor a refusal: %v", n, during.counts)
			}
			if n := after.otherThan(whole); n > 0 {
				t.Errorf("%d requests that came after the silence were not answered whole: %v", n, after.counts)
			}
		})
	}
}

// Guards against a stream that is taken up and thrown away after its engine has begun to answer, because
// the engine is slow to tell whether it has started again.
func TestStreamTakenUpAtSlowReports(t *testing.T) {
	f := newAttachedSite(t)
	for _, u := range f.upstreams {
		u.Restart(site.DefaultVersion)
		f.site.Register(u, "in_service")
	}
	f.start(nil)
	const streams = 4
	began := map[string]string{}
	for i := range streams {
		id := fmt.Sprint("r", i)
		began[id] = f.begin(t, id, 2)
	}
	f.setFaults("p0 p1 d0 d1", site.Faults{ReportAfter: 400 * time.Millisecond})
	for id, events := range began {
		got := f.takeUp(t, id+"-2", id, 2)
		if want := strings.TrimPrefix(site.Stream(id+"-2", streamEvents), strings.ReplaceAll(events, id+".", id+"-2.")); got.err != nil || got.status != http.StatusOK || got.body != want {
			t.Errorf("%s: %+v, want %q", id, got, want)
		}
	}
}

// Guards against callers who are refused while all engines of a pool run, because each of them once answered
// a reservation later than the daemon waits for it.
func TestLateReplyEndsEjection(t *testing.T) {
	f := newAttachedFleet(t, nil)
	const engines = "d0 d1"
	f.setSilent(engines, true)
	ctx, leave := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer leave()
	wg.Go(func() { f.ask(ctx, site.PathDraft, "silent") })
	pool := func() *policy.Pool { return f.daemon.holder.Snapshot().Pool("llm/decode") }
	waittest.Until(t, "both are ejected", func() bool { return pool().Len() == 0 })
	end := pool().EarliestEjectionEnd()
	f.setSilent(engines, false)
	waittest.Until(t, "one takes requests", func() bool { return pool().Len() > 0 })
	for _, r := range pool().Replicas() {
		if !r.EjectedUntil.Before(end) {
			t.Errorf("%s was ejected until %v, although it replied", r.Name, r.EjectedUntil)
		}
	}
}
