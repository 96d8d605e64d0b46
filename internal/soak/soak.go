// Package soak is a fault-injection test. It runs real daemons as separate processes on
// loopback, against a simulated platform with a store and upstreams, and injects faults from
// outside by a seeded schedule: signals to daemons, TCP faults by proxies, and faults of
// upstreams and of the store. Meanwhile callers send requests, and the test checks the daemons'
// guarantees by the responses that callers receive and the requests that upstreams receive.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

// Options configure one run.
type Options struct {
	// Bin is the path of the corianderturn program. Dir is the folder for settings and logs.
	Bin, Dir string
	// Seed determines the fault schedule.
	Seed uint64
	// FaultDuration is the length of the period in which faults start. After the last fault, the
	// run checks that the daemons recover.
	FaultDuration time.Duration
	// Daemons and Callers are the numbers of daemons and of concurrent callers.
	Daemons int
	Callers int
	// CorrelatedFaults adds series of faults in which all upstreams of a service reject
	// requests while all daemons are killed and restarted.
	CorrelatedFaults bool
	// Teams makes callers send the keys of two teams, one of which exceeds its quota.
	Teams bool
	// RateLimits makes upstreams report rate limits.
	RateLimits bool
	// FatalRequests adds callers that send fatal requests, which crash every upstream that
	// runs them.
	FatalRequests bool
	// Links gives each daemon its own links to the upstreams, and adds faults of these.
	Links bool
	// Versions restarts engines at several software versions, and adds callers that take their
	// streams up.
	Versions bool
	// StaleDaemons, with Versions, adds daemons that stand still as engines restart, and callers that take
	// streams up without naming their try.
	StaleDaemons bool
	// FatalParts adds callers whose prompts have a part that crashes every engine, and others whose
	// prompts share all other parts with them.
	FatalParts bool
	// Endless adds faults of upstreams whose answers have no end.
	Endless bool
	// Unframed adds faults of upstreams whose answers end with their connection.
	Unframed bool
	// Answers adds faults of upstreams that send answers twice or in part.
	Answers bool
	// Copies, if not zero, makes all upstreams send answers again, late, and some of them reject requests.
	Copies Copies
	// OrderAttempts is max_attempts of the route of orders, which must not run twice, and Replicas the number of
	// replicas of the plain service; 0 means the usual number.
	OrderAttempts, Replicas int
	// Skew adds callers that send most new connections to one daemon at a time, and leaves out the
	// independent faults.
	Skew bool
	// Silences makes sound upstreams silent for a time, accompanied by planned work.
	Silences bool
	// Planned leaves out the independent faults, so that with Silences all else is planned work.
	Planned bool
	// Statements makes upstreams say that they leave or ask for rest, beside faults that say nothing
	// about that, and leaves out the independent faults.
	Statements bool
	// Restores restores the store from copies, and leaves out the independent faults. With ten daemons or
	// more, most read the store through another one.
	Restores bool
}

// Result holds the findings of one run.
type Result struct {
	// Requests counts the requests of callers. Of these, Answered were answered completely, Refused
	// were rejected with status 429 or 503, CutOff broke off during the response, and Failed ended
	// in any other way.
	Requests, Answered, Refused, Failed, CutOff int64
	// RefusedAndRan counts the requests that must not run twice, were answered with a status that promises that
	// they did not run, and ran. RanTwice counts those that ran more than once. Both are by path.
	RefusedAndRan, RanTwice map[string]int
	// Violations describes each violated guarantee; it is empty if the run passed.
	Violations []string
	// Streams counts the tries of callers that take streams up, with Options.Versions.
	Streams streamCounts
	// Schedule describes the faults, for the report of a failed run.
	Schedule []string
}

const (
	// streamEvents is the number of events in a stream of a simulated engine, and eventInterval
	// the time between two of them.
	streamEvents  = 6
	eventInterval = 15 * time.Millisecond
	// recoveryTimeout bounds the time until daemons serve again after the last fault. It is many
	// times as long as the ejection of an upstream or a restart takes.
	recoveryTimeout = 30 * time.Second
)

// run is the state of a run in progress.
type run struct {
	options          Options
	site             *site.Site
	currentUpstreams []*site.Upstream
	replaced         []*site.Upstream // those that have crashed
	proxies          []*proxy
	daemons          []*daemon
	links            []*link // of each daemon, with Options.Links
	version          atomic.Int64
	idCount          atomic.Int64

	mu       sync.Mutex
	result   Result
	requests []sentRequest
	// fatalAttempts are the attempts to send fatal requests. storeDisturbedAt is the time of the
	// last fault of the store, the last of storeDisturbances. limitSpans are the periods in which upstreams reported limits.
	fatalAttempts     []fatalAttempt
	storeDisturbedAt  time.Time
	storeDisturbances []time.Time
	limitSpans        []limitSpan
	// partAttempts and soundParts are set with Options.FatalParts, skew with Options.Skew: the counts
	// at usual times, and while most connections go to one daemon.
	partAttempts []fatalAttempt
	soundParts   partCounts
	skew         [2]skewCounts
	excuses      []excuse
	startedAt    time.Time // start of the faults
	// published, departures and restorations are recorded with Options.Restores.
	published    []published
	departures   []departure
	restorations []restoration

	publishMu sync.Mutex // held while the operator writes, and while the store is restored
}

// Run executes one run. It returns an error if the run could not be carried out; violated
// guarantees are in the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	r := &run{options: o, result: Result{RefusedAndRan: map[string]int{}, RanTwice: map[string]int{}}}
	defer r.close()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	faults := o.schedule(len(r.currentUpstreams))
	for _, f := range faults {
		r.result.Schedule = append(r.result.Schedule, f.String())
	}
	r.startedAt = time.Now()
	callers, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for i := range o.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.runCaller(callers, uint64(i))
		}()
	}
	for i := 0; o.Versions && i < o.Callers; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.runResumer(callers, uint64(i))
		}()
	}
	for i := 0; o.FatalRequests && i < fatalCallerCount; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.runFatalCaller(callers, i)
		}()
	}
	for i := 0; o.FatalParts && i < fatalPartCount; i++ {
		wg.Go(func() { r.runFatalPartCaller(callers, i) })
	}
	for i := 0; o.FatalParts && i < soundPartCallers; i++ {
		wg.Go(func() { r.runSoundPartCaller(callers, i) })
	}
	for i := 0; o.Skew && i < o.Callers; i++ {
		wg.Go(func() { r.runSkewedCaller(callers, uint64(i), r.startedAt) })
	}
	for _, d := range r.daemons {
		if o.Restores {
			wg.Go(func() { r.pollVersions(callers, d) })
		}
	}
	copies, endCopies := context.WithCancel(ctx)
	defer endCopies()
	if o.Copies != (Copies{}) {
		wg.Go(func() { r.runCopies(copies) })
	}
	r.injectSchedule(ctx, faults)
	if o.Skew || o.Copies != (Copies{}) {
		time.Sleep(time.Until(r.startedAt.Add(o.FaultDuration)))
	}
	endCopies()
	r.clearFaults()
	r.checkRecovery(ctx)
	stop()
	wg.Wait()
	r.checkExecutions()
	r.checkLost()
	r.checkRetryBudget()
	r.checkFatalRequests()
	r.checkFatalParts()
	r.checkSkew()
	r.checkTeams()
	r.checkLimits()
	r.checkStatements()
	r.checkDepartures()
	r.checkOrigins(ctx)
	r.checkNothingHeld(ctx)
	return &r.result, nil
}

// start starts the platform, the upstreams with a proxy in front of each, and the daemons, and
// waits until the daemons are ready.
func (r *run) start(ctx context.Context) error {
	var err error
	if r.site, err = site.New(); err != nil {
		return err
	}
	r.site.OnCrash(r.replaceUpstream)
	r.site.OnDown(r.refuseConnections)
	if n := r.options.OrderAttempts; n > 0 {
		r.site.SetOrderAttempts(n)
	}
	r.publishConfig()
	interval := eventInterval
	if r.options.Silences {
		interval = silenceEventInterval
	}
	for i, role := range r.options.roles() {
		events := streamEvents
		if role == "" {
			events = 0
		}
		u, err := r.site.Add(fmt.Sprintf("u%d", i), "dc1", role, events, interval)
		if err != nil {
			return err
		}
		p, err := newProxy(u.Address())
		if err != nil {
			return err
		}
		u.SetPublic(p.address())
		if r.options.Versions {
			u.Restart(site.DefaultVersion) // from now on it tells its start
		}
		r.setEngineVersion(u, i)
		r.site.Register(u, "in_service")
		r.currentUpstreams, r.proxies = append(r.currentUpstreams, u), append(r.proxies, p)
	}
	relayAddresses, err := r.relayAddresses()
	if err != nil {
		return err
	}
	for i := range r.options.Daemons {
		store, err := r.storeAddress()
		if err != nil {
			return err
		}
		d, err := newDaemon(r.options, i, store, relayAddresses)
		if err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	return r.awaitReady(ctx)
}

// roles returns the roles of the upstreams; that of a replica of the plain service is empty.
func (o Options) roles() []string {
	const usualReplicas = 2
	engines := []string{"prefill", "prefill", "decode", "decode", "decode"}
	return append(engines, make([]string, cmp.Or(o.Replicas, usualReplicas))...)
}

// storeAddress returns the address of the store for the next daemon. With Options.Links, the
// upstreams have addresses there that only this daemon uses.
func (r *run) storeAddress() (string, error) {
	if !r.hasLinks() {
		return r.site.StoreAddress(), nil
	}
	var source net.IP
	if r.options.Statements {
		source = sourceAddress(len(r.links))
	}
	l := newLink(source)
	r.links = append(r.links, l)
	return r.site.ServeView(l.address)
}

// publishConfig publishes a new version of the configuration to the store.
func (r *run) publishConfig() {
	r.publishMu.Lock()
	defer r.publishMu.Unlock()
	version := r.version.Add(1)
	r.setTeams(version)
	r.configure(version)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.published = append(r.published, published{version, time.Now()})
}

// configure writes a version of the configuration. With Options.Restores it has a route for each version so
// far.
func (r *run) configure(version int64) {
	var routes []string
	for v := int64(1); v <= version && r.options.Restores; v++ {
		routes = append(routes, versionRoute(v))
	}
	r.site.Configure(int(version), routes...)
}

// awaitReady waits until all daemons are ready.
func (r *run) awaitReady(ctx context.Context) error {
	for _, d := range r.daemons {
		if !waitFor(ctx, d.ready) {
			return errors.Errorf("daemon %d was not ready", d.index)
		}
	}
	return nil
}

// waitFor polls a condition until it holds, and reports whether it did within recoveryTimeout.
func waitFor(ctx context.Context, ok func() bool) bool {
	const pause = 10 * time.Millisecond
	for end := time.Now().Add(recoveryTimeout); !ok(); {
		if ctx.Err() != nil || time.Now().After(end) {
			return false
		}
		time.Sleep(pause)
	}
	return true
}

// addViolation records a violated guarantee.
func (r *run) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, args...))
}

// close stops the daemons, the platform and the proxies.
func (r *run) close() {
	for _, d := range r.daemons {
		d.kill()
	}
	if r.site != nil {
		r.site.Close() // waits for replacements of upstreams in progress, which add proxies
	}
	for _, l := range r.links {
		l.close()
	}
	for _, p := range r.proxies {
		p.close()
	}
}
