package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

// Bounds of the daemons' settings: within them a version is in force and an upstream that left gets
// nothing new. contactTime is the time after a disturbance of a daemon or of the store in which neither holds,
// and lease how long the store keeps a registration that is not renewed.
const (
	applyBound  = 2 * time.Second
	leaveBound  = 2 * time.Second
	contactTime = 3 * time.Second
	lease       = 3600 * time.Millisecond
)

const (
	// restoreSeries bounds the time from one copy of the store to the next, maxCopyAge the age of a copy
	// at its restoration, and maxWriteAgain the time until the operator and the upstreams have written again.
	restoreSeries = 7 * time.Second
	maxCopyAge    = 4 * time.Second
	maxWriteAgain = 2 * time.Second
	// versionPollInterval is how often each daemon is asked for the routes of new versions.
	versionPollInterval = 200 * time.Millisecond
)

// restoreCompanions are the faults that accompany restorations, by the kind of run.
var restoreCompanions = [][]action{
	{actPublishConfig, actStoreDown, actRestore, actDepart},
	{actPublishConfig, actKill, actTerm, actPause, actHup, actRestore, actDepart},
	{actPublishConfig, actKillAll, actRestore, actDepart},
}

// restoreFaults generates restorations of the store from copies at random, beside versions and upstreams
// that are lost with it, further restorations, and faults of daemons. The same seed gives the same faults.
func restoreFaults(seed uint64, length time.Duration, daemons, _ int) []fault {
	rng := rand.New(rand.NewPCG(seed, 9))
	companions := restoreCompanions[rng.IntN(len(restoreCompanions))]
	var out []fault
	for at := time.Duration(0); at+maxCopyAge < length; at += restoreSeries {
		out = append(out, drawRestoration(rng, at))
		for range 2 + rng.IntN(5) {
			f := drawRestoration(rng, at+time.Duration(rng.Int64N(int64(restoreSeries))))
			switch f.action = companions[rng.IntN(len(companions))]; f.action {
			case actDepart:
				const firstDecode, decodeEngines = 2, 2 // the third one stays
				f.target, f.duration = firstDecode+rng.IntN(decodeEngines), restoreSeries
			default:
				f.target = rng.IntN(daemons)
			}
			out = append(out, f)
		}
	}
	return out
}

// drawRestoration draws a restoration whose copy is made at a time.
func drawRestoration(rng *rand.Rand, at time.Duration) fault {
	return fault{
		start: at, action: actRestore,
		age:      time.Duration(rng.Int64N(int64(maxCopyAge))),
		duration: time.Duration(200+rng.IntN(1300)) * time.Millisecond,
	}
}

// departure is an upstream that withdrew its registration and still serves.
type departure struct {
	upstream string
	at       time.Time
	until    time.Time // zero while it has not registered again
}

// readTime is the time within which daemons have read a withdrawal from a store that is not disturbed.
const readTime = time.Second

// restoration is what a restoration may have lost.
type restoration struct{ origins []string }

// restore copies the store, and restores it after the copy's age and an outage. The operator and the upstreams
// then write again; the leases of upstreams that left expire.
func (r *run) restore(f fault) {
	backup := r.site.Store.Copy()
	time.Sleep(f.age)
	r.publishMu.Lock()
	r.site.Store.SetDown(true)
	r.recordDisturbance(nil)
	time.Sleep(f.duration)
	r.mu.Lock()
	r.restorations = append(r.restorations, restoration{r.originRecords()})
	r.mu.Unlock()
	lost := r.site.Store.Restore(backup)
	r.site.Store.SetDown(false)
	r.recordDisturbance(nil)
	r.publishMu.Unlock()
	var wg sync.WaitGroup
	for _, record := range lost {
		wg.Go(func() { r.writeAgain(record.Key()) })
	}
	wg.Wait()
}

// writeAgain writes what the operator or an upstream has under a key.
func (r *run) writeAgain(key string) {
	u := r.site.Upstream(key)
	if u != nil && r.hasDeparted(key) {
		time.Sleep(lease)
		if r.hasDeparted(key) {
			r.site.Withdraw(key)
		}
		return
	}
	time.Sleep(rand.N(maxWriteAgain))
	switch {
	case u == nil:
		r.publishMu.Lock()
		defer r.publishMu.Unlock()
		r.configure(r.version.Load())
	case r.site.IsRunning(key) && !r.hasDeparted(key):
		r.site.Register(u, "in_service")
	}
}

// depart withdraws the registration of an upstream, which goes on to serve and registers again later.
func (r *run) depart(f fault) {
	u, _ := r.upstream(f.target)
	if r.hasDeparted(u.Name) {
		return
	}
	r.site.Withdraw(u.Name)
	r.mu.Lock()
	r.departures = append(r.departures, departure{upstream: u.Name, at: time.Now()})
	r.mu.Unlock()
	time.Sleep(f.duration)
	r.endDeparture(u.Name)
	if r.site.IsRunning(u.Name) {
		r.site.Register(u, "in_service")
	}
}

// endDeparture records that an upstream is about to register again.
func (r *run) endDeparture(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.departures {
		if d := &r.departures[i]; d.upstream == name && d.until.IsZero() {
			d.until = time.Now()
		}
	}
}

func (r *run) hasDeparted(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.departures, func(d departure) bool { return d.upstream == name && d.until.IsZero() })
}

// versionRoute returns the path of the route that is in all versions from one on.
func versionRoute(version int64) string { return fmt.Sprintf("/version-%d/", version) }

// published is a version of the configuration with the time of its acknowledgement.
type published struct {
	version int64
	at      time.Time
}

// pollVersions asks a daemon for the routes of new versions until ctx ends.
func (r *run) pollVersions(ctx context.Context, d *daemon) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var served int64 // the newest version that the process has served
	var process <-chan struct{}
	for ; ctx.Err() == nil; time.Sleep(versionPollInterval) {
		if current := d.exited(); current != process {
			served, process = 0, current
		}
		for _, p := range r.publishedSince(served) {
			due := r.versionDue(d, p)
			sentAt := time.Now()
			status := r.askVersion(ctx, client, d, p.version)
			switch {
			case d.exited() != process:
			case status == http.StatusOK:
				served = max(served, p.version)
			case status == http.StatusNotFound && p.version <= served:
				r.addViolation("daemon %d: version %d was in force and is not at %s", d.index, p.version, sentAt.Format(clockTime))
			case status == http.StatusNotFound && sentAt.After(due) && sentAt.After(r.versionDue(d, p)):
				r.addViolation("daemon %d: version %d, acknowledged at %s, is not in force at %s", d.index, p.version, p.at.Format(clockTime), sentAt.Format(clockTime))
			}
		}
	}
}

// publishedSince returns the published versions from one on, oldest first.
func (r *run) publishedSince(version int64) []published {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.published, func(p published) bool { return p.version >= version })
	return slices.Clone(r.published[max(i, 0):])
}

// versionDue returns when a version must be in force at a daemon.
func (r *run) versionDue(d *daemon, p published) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := p.at.Add(applyBound)
	for _, disturbed := range []time.Time{r.storeDisturbedAt, d.disturbedAt} {
		if calm := disturbed.Add(contactTime); calm.After(due) {
			due = calm
		}
	}
	return due
}

// askVersion sends a request on the route of a version and returns the status; 0 without a response.
func (r *run) askVersion(ctx context.Context, client *http.Client, d *daemon, version int64) int {
	req, err := site.NewRequest(ctx, d.callersAddress, versionRoute(version)+"x", fmt.Sprintf("id%d", r.idCount.Add(1)), time.Second)
	if err != nil {
		panic(err) // programming error: the URL is invalid
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// checkDepartures checks that upstreams that left got nothing new, from daemons that have read of it and were
// not disturbed since.
func (r *run) checkDepartures() {
	known := slices.DeleteFunc(r.departures, func(left departure) bool {
		return anyBetween(r.storeDisturbances, left.at.Add(-contactTime), left.at.Add(readTime))
	})
	for _, sent := range r.requests {
		for _, run := range r.site.Account.Executions(sent.id) {
			for _, left := range known {
				late := run.Upstream == left.upstream && sent.sentAt.After(left.at.Add(leaveBound)) && (left.until.IsZero() || run.At.Before(left.until))
				if late && !anyBetween(sent.daemon.disturbances, left.at.Add(-contactTime), run.At) {
					r.addViolation("%s from daemon %d ran at %s on %s, which left at %s", sent.id, sent.daemon.index, run.At.Format(clockTime), left.upstream, left.at.Format(clockTime))
				}
			}
		}
	}
}

// anyBetween reports whether any of the times lies between two others.
func anyBetween(times []time.Time, from, to time.Time) bool {
	return slices.ContainsFunc(times, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// originRecords returns the records of origins in the store.
func (r *run) originRecords() (out []string) {
	for _, raw := range r.site.Store.Records("origins") {
		out = append(out, string(raw))
	}
	return out
}

// checkOrigins checks that records of origins that restorations lost are there again, once, if the daemons that
// wrote them still run.
func (r *run) checkOrigins(ctx context.Context) {
	if len(r.restorations) == 0 || slices.ContainsFunc(r.daemons, func(d *daemon) bool { return len(d.disturbances) > 0 }) {
		return
	}
	missing := func() (n int) {
		counts := map[string]int{}
		for _, record := range r.originRecords() {
			counts[record]++
		}
		for _, lost := range r.restorations {
			for _, record := range lost.origins {
				if counts[record] == 0 {
					n++
				}
			}
		}
		return n
	}
	if !waitFor(ctx, func() bool { return missing() == 0 }) {
		r.addViolation("%d records of origins are lost", missing())
	}
	all := r.originRecords()
	slices.Sort(all)
	if n := len(all) - len(slices.Compact(all)); n > 0 {
		r.addViolation("%d records of origins are there twice", n)
	}
}
