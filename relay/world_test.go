//go:build !race

// The race detector of go1.26 fails an internal check ("slot_locked") in a synctest bubble
// with the goroutines of thirty daemons. These tests therefore run without it, in a
// separate step of make test. Other tests cover the state shared between daemons with the
// race detector, over real connections.

package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/estimate"
	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/durablelog"
	"github.com/corianderturn/corianderturn/internal/logpos"
	"github.com/corianderturn/corianderturn/quarantine"
	"github.com/corianderturn/corianderturn/roles"
)

// testFleet is a fleet of daemons with one store, in the virtual time of a synctest bubble.
// It runs the real Watcher, Store, Server, Exchange, quarantine.Keeper and roles.Runner of
// each daemon over pipes in memory and counts the calls to the store.
type testFleet struct {
	t       *testing.T
	store   *fakeStore
	network *network
	daemons []*daemon
	began   time.Time
	ctx     context.Context
	stop    context.CancelFunc
	timing  Timing
}

const (
	dataCentres = 5
	// storeLatency is how long the fake store takes for an answer.
	storeLatency = 4 * time.Millisecond
	// pageSize is the number of records that the store returns in one call of Snapshot.
	pageSize = 500
	// largePerDataCentre is the number of daemons with the larger weight in each data
	// centre.
	largePerDataCentre = 3
	// testBound is the propagation bound of the fleet (see Timing).
	testBound = 4 * time.Second
)

// newTestFleet returns n daemons, spread over the data centres and not started yet.
func newTestFleet(t *testing.T, n int) *testFleet {
	w := &testFleet{t: t, network: &network{listeners: map[string]*pipeListener{}}, began: time.Now(), timing: TimingFor(testBound)}
	w.ctx, w.stop = context.WithCancel(t.Context())
	w.store = newFakeStore(w.began)
	for i := range n {
		weight := 192
		if i/dataCentres < largePerDataCentre {
			weight = 800
		}
		w.daemons = append(w.daemons, &daemon{
			fleet: w, number: i,
			self: Peer{Instance: fmt.Sprintf("i%d", i), DataCentre: fmt.Sprintf("dc%d", i%dataCentres), Address: fmt.Sprintf("10.%d.0.%03d:1", i%dataCentres, i), Weight: weight},
		})
	}
	t.Cleanup(w.stopAll)
	return w
}

// seeds returns the addresses of the first daemons of three data centres.
func (w *testFleet) seeds() []string {
	var out []string
	for i := range min(3, len(w.daemons)) {
		out = append(out, w.daemons[i].self.Address)
	}
	return out
}

func (w *testFleet) stopAll() {
	w.kill(w.daemons...)
	w.stop()
}

// startAll starts the daemons within 0.3 s, in random order.
func (w *testFleet) startAll(list []*daemon) {
	rng := rand.New(rand.NewPCG(1, uint64(len(list))))
	for _, i := range rng.Perm(len(list)) {
		list[i].start()
		time.Sleep(300 * time.Millisecond / time.Duration(len(list)))
	}
}

// elapsed returns the time since the test began.
func (w *testFleet) elapsed() time.Duration { return time.Since(w.began) }

// daemon is one daemon of the fleet. It may be started several times.
type daemon struct {
	fleet      *testFleet
	number     int
	self       Peer
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	feeds      *Store
	watch      *fleet.Watcher
	roster     *Roster
	samples    *Samples
	quarantine *quarantine.Keeper

	reads struct {
		sync.Mutex
		list []directRead // in all lives of the daemon
	}

	mu            sync.Mutex
	version       uint64
	registrations map[string]bool
	firstApplied  map[string]time.Time // by change, when the daemon first applied it
	started       time.Time
	ready         time.Time // when the daemon first had a configuration and upstreams
	regressed     bool      // the daemon applied an older version after a newer one
	received      []estimate.Sample
}

// directRead is a call of a daemon to the store for a feed.
type directRead struct {
	at     time.Duration // since the start of the test
	feed   fleet.Feed
	reason ReadReason
}

// recordRead records the reads of the store itself.
func (d *daemon) recordRead(f fleet.Feed, outcome Outcome, reason ReadReason) {
	if outcome == ViaPeer {
		return
	}
	d.reads.Lock()
	defer d.reads.Unlock()
	d.reads.list = append(d.reads.list, directRead{at: d.fleet.elapsed(), feed: f, reason: reason})
}

// readsByReason returns the number of reads of the store since a time of the test, by feed and
// reason.
func (w *testFleet) readsByReason(from time.Duration) map[string]int {
	out := map[string]int{}
	for _, d := range w.daemons {
		d.reads.Lock()
		for _, r := range d.reads.list {
			if r.at >= from {
				out[r.feed.String()+" "+string(r.reason)]++
			}
		}
		d.reads.Unlock()
	}
	return out
}

func (d *daemon) receiveSamples(list []estimate.Sample) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.received = append(d.received, list...)
}

// start starts the daemon with empty state.
func (d *daemon) start() {
	ctx, cancel := context.WithCancel(d.fleet.ctx)
	d.cancel = cancel
	w := d.fleet
	d.self.Boot = uint64(time.Now().UnixMilli())
	d.mu.Lock()
	d.version, d.registrations, d.firstApplied, d.started, d.ready = 0, nil, map[string]time.Time{}, time.Now(), time.Time{}
	d.mu.Unlock()
	cache, followers := NewFeedCache(), NewFollowerActivity()
	d.roster = NewRoster(d.self, nil)
	d.samples = NewSamples(time.Now())
	epochs := logpos.NewTracker(nil)
	client := storeClient{w.store, d.self.Instance, epochs}
	log := durablelog.New(durablelog.Options[quarantine.Record]{
		Topic: quarantineTopic{client}, Name: "quarantine", Epochs: epochs, IsReader: func() bool { return d.feeds.ReadsForOthers() }, Logger: discardLogger, Now: time.Now,
	})
	d.quarantine = quarantine.NewKeeper(quarantine.Options{
		Log: log, IsReader: func() bool { return d.feeds.ReadsForOthers() }, Wait: 4 * time.Second, Retention: time.Minute, Logger: discardLogger, Now: time.Now,
	})
	server := NewServer(ServerOptions{
		Cache: cache, Roster: d.roster, Followers: followers, Samples: d.samples, Quarantine: d.quarantine, OnSamples: d.receiveSamples, Epochs: epochs, Timing: w.timing, Logger: discardLogger, Now: time.Now,
	})
	server.Listen(w.network.listen(d.self.Address))
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return w.network.dial(ctx, d.self.Address, address)
	}
	d.feeds = NewStore(Options{
		Direct: fleet.TimeoutStore{Store: client, Timeout: 800 * time.Millisecond}, Directory: client, Cache: cache, Roster: d.roster, Followers: followers, Epochs: epochs,
		Dial: dial, Timing: w.timing, Samples: d.samples, Quarantine: d.quarantine, OnSamples: d.receiveSamples, Self: d.self, Seeds: w.seeds(), Random: rand.New(rand.NewPCG(7, uint64(d.number))), Logger: discardLogger, Now: time.Now,
		OnRead: d.recordRead,
	})
	d.watch = fleet.NewWatcher(fleet.Options{
		Store: d.feeds, Intervals: fleet.Intervals{PollWait: 4 * time.Second, Retry: 250 * time.Millisecond}, Lease: 3600 * time.Millisecond,
		OnView: d.apply, Logger: discardLogger, Now: time.Now,
	})
	runner := roles.NewRunner(roles.Options{
		Group: fakeGroup{client, d.self}, View: func() *fleet.View { return nil }, TTL: 3 * time.Second, QuietPeriod: 3 * time.Second, RenewalInterval: 700 * time.Millisecond,
		CallTimeout: 600 * time.Millisecond, Candidate: d.feeds.ReadsStore, Logger: discardLogger, Now: time.Now,
	})
	exchange := NewExchange(ExchangeOptions{
		Self: d.self, Seeds: w.seeds(), Roster: d.roster, Samples: d.samples, Dial: dial, Logger: discardLogger, Now: time.Now,
	})
	for _, run := range []func(context.Context) error{server.Run, d.watch.Run, runner.Run, exchange.Run, d.quarantine.Run, log.Run} {
		d.wg.Go(func() {
			if err := run(ctx); err != nil {
				w.t.Errorf("%s: %v", d.self.Instance, err)
			}
		})
	}
}

// kill stops a daemon without letting it call the store.
func (d *daemon) kill() { d.fleet.kill(d) }

// kill stops several daemons at the same moment.
func (w *testFleet) kill(list ...*daemon) {
	list = slices.DeleteFunc(slices.Clone(list), func(d *daemon) bool { return d.cancel == nil })
	for _, d := range list {
		w.store.setKilled(d.self.Instance, true)
		w.network.removeListener(d.self.Address)
		d.cancel()
	}
	for _, d := range list {
		d.wg.Wait()
		d.cancel = nil
		w.store.setKilled(d.self.Instance, false)
	}
}

// apply records when the daemon first applied versions of the configuration, records of
// draining upstreams and removals of upstreams.
func (d *daemon) apply(now time.Time, v fleet.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v.Config != nil {
		d.regressed = d.regressed || v.Config.Version < d.version
		d.version = v.Config.Version
		d.recordOnce(now, fmt.Sprintf("version %d", d.version))
	}
	upstreams := v.Bundle.Bundle.Upstreams
	for name, u := range upstreams {
		if u.State == bundle.StateLeaving {
			d.recordOnce(now, "draining "+name)
		}
	}
	for name := range d.registrations {
		if _, ok := upstreams[name]; !ok {
			d.recordOnce(now, "removed "+name)
		}
	}
	d.registrations = map[string]bool{}
	for name := range upstreams {
		d.registrations[name] = true
	}
	if d.ready.IsZero() && v.Config != nil && len(upstreams) > 0 {
		d.ready = now
	}
}

// recordOnce records when the daemon first applied a change.
func (d *daemon) recordOnce(now time.Time, change string) {
	if _, ok := d.firstApplied[change]; !ok {
		d.firstApplied[change] = now
	}
}

// running returns the daemons that are running.
func (w *testFleet) running() []*daemon {
	var out []*daemon
	for _, d := range w.daemons {
		if d.cancel != nil {
			out = append(out, d)
		}
	}
	return out
}

// readers returns the daemons that are the reader of their data centre.
func (w *testFleet) readers() []*daemon {
	var out []*daemon
	for _, d := range w.running() {
		if d.roster.IsReader() {
			out = append(out, d)
		}
	}
	return out
}

// slowestStart returns the longest time that a running daemon took to be ready, and whether
// all of them are ready.
func (w *testFleet) slowestStart() (longest time.Duration, all bool) {
	all = true
	for _, d := range w.running() {
		d.mu.Lock()
		all = all && !d.ready.IsZero()
		longest = max(longest, d.ready.Sub(d.started))
		d.mu.Unlock()
	}
	return longest, all
}

// lastApplied returns how long after a time the last daemon of a list applied a change, and
// how many have not applied it.
func (w *testFleet) lastApplied(change string, from time.Time, list []*daemon) (latest time.Duration, missing int) {
	for _, d := range list {
		d.mu.Lock()
		at, ok := d.firstApplied[change]
		d.mu.Unlock()
		if !ok {
			missing++
			continue
		}
		latest = max(latest, at.Sub(from))
	}
	return latest, missing
}
