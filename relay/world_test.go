//go:build !race

// The race detector of go1.26 fails a check of its own ("slot_locked") in a test bubble with
// the goroutines of thirty daemons, so that these tests run without it; make test runs them
// by themselves. What daemons share is tested with the detector over real connections.

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

	"github.com/corianderturn/corianderturn/estimate"
	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/quarantine"
	"github.com/corianderturn/corianderturn/roles"
)

// world is a fleet of daemons before one store, in the virtual time of a test bubble. It
// runs the real Watcher, Store, Server, Exchange and roles.Runner of every daemon over
// pipes in memory, and counts what the store is asked.
type world struct {
	t       *testing.T
	store   *modelStore
	network *network
	daemons []*daemon
	began   time.Time
	ctx     context.Context
	stop    context.CancelFunc
	pace    Pace
}

const (
	dataCentres = 5
	// storeTime is how long the model's store takes for an answer.
	storeTime = 4 * time.Millisecond
	// pageItems is how many records the store returns at once of a feed as a whole.
	pageItems = 500
	// heavyEach is how many of the daemons of a data centre are large ones.
	heavyEach = 3
	testBound = 4 * time.Second
)

// newWorld returns n daemons that are yet to start, spread over the data centres.
func newWorld(t *testing.T, n int) *world {
	w := &world{t: t, network: &network{listeners: map[string]*pipeListener{}}, began: time.Now(), pace: PaceOf(testBound)}
	w.ctx, w.stop = context.WithCancel(t.Context())
	w.store = newModelStore(w.began)
	for i := range n {
		weight := 192
		if i/dataCentres < heavyEach {
			weight = 800
		}
		w.daemons = append(w.daemons, &daemon{
			world: w, number: i,
			self: Peer{Instance: fmt.Sprintf("i%d", i), DataCentre: fmt.Sprintf("dc%d", i%dataCentres), Address: fmt.Sprintf("10.%d.0.%03d:1", i%dataCentres, i), Weight: weight},
		})
	}
	t.Cleanup(w.end)
	return w
}

// seeds are the first daemons of three data centres.
func (w *world) seeds() []string {
	var out []string
	for i := range min(3, len(w.daemons)) {
		out = append(out, w.daemons[i].self.Address)
	}
	return out
}

func (w *world) end() {
	w.kill(w.daemons...)
	w.stop()
}

// startAll starts all daemons within 0.3 s, in any order.
func (w *world) startAll(list []*daemon) {
	rng := rand.New(rand.NewPCG(1, uint64(len(list))))
	for _, i := range rng.Perm(len(list)) {
		list[i].start()
		time.Sleep(300 * time.Millisecond / time.Duration(len(list)))
	}
}

// at returns the time since the test began.
func (w *world) at() time.Duration { return time.Since(w.began) }

// daemon is one daemon, which may be started several times.
type daemon struct {
	world   *world
	number  int
	self    Peer
	cancel  context.CancelFunc
	wait    sync.WaitGroup
	feeds   *Store
	watch   *fleet.Watcher
	roster  *Roster
	samples *Samples
	keeper  *quarantine.Keeper

	mu      sync.Mutex
	version uint64
	members map[string]bool
	learned map[string]time.Time // what was learned, by its name, the first time
	started time.Time
	ready   time.Time // when it first had a configuration and upstreams
	back    bool      // it went back to an older version
	shown   []estimate.Sample
}

func (d *daemon) learn(list []estimate.Sample) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shown = append(d.shown, list...)
}

func (d *daemon) start() {
	ctx, cancel := context.WithCancel(d.world.ctx)
	d.cancel = cancel
	w := d.world
	d.mu.Lock()
	d.version, d.members, d.learned, d.started, d.ready = 0, nil, map[string]time.Time{}, time.Now(), time.Time{}
	d.mu.Unlock()
	journal, asked := NewJournal(), NewAsked()
	d.roster = NewRoster(d.self, nil)
	d.samples = NewSamples(time.Now())
	view := storeView{w.store, d.self.Instance}
	d.keeper = quarantine.NewKeeper(quarantine.Options{
		Log: quarantineLog{view}, Reads: func() bool { return d.feeds.Provides() }, Wait: 4 * time.Second, Kept: time.Minute, Logger: quiet, Now: time.Now,
	})
	server := NewServer(ServerOptions{
		Journal: journal, Roster: d.roster, Asked: asked, Samples: d.samples, Quarantine: d.keeper, Learned: d.learn, Pace: w.pace, Logger: quiet, Now: time.Now,
	})
	server.Listen(w.network.listen(d.self.Address))
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return w.network.dial(ctx, d.self.Address, address)
	}
	d.feeds = NewStore(Options{
		Direct: fleet.Bounded{Store: view, Timeout: 800 * time.Millisecond}, Directory: view, Journal: journal, Roster: d.roster, Asked: asked,
		Dial: dial, Pace: w.pace, Samples: d.samples, Quarantine: d.keeper, Learned: d.learn, Self: d.self, Seeds: w.seeds(), Random: rand.New(rand.NewPCG(7, uint64(d.number))), Logger: quiet, Now: time.Now,
	})
	d.watch = fleet.NewWatcher(fleet.Options{
		Store: d.feeds, Intervals: fleet.Intervals{Wait: 4 * time.Second, Retry: 250 * time.Millisecond},
		Apply: d.apply, Logger: quiet, Now: time.Now,
	})
	member := roles.NewRunner(roles.Options{
		Group: member{view, d.self}, View: func() *fleet.View { return nil }, TTL: 3 * time.Second, Quiet: 3 * time.Second, Every: 700 * time.Millisecond,
		Call: 600 * time.Millisecond, Candidate: d.feeds.Reads, Logger: quiet, Now: time.Now,
	})
	exchange := NewExchange(ExchangeOptions{
		Self: d.self, Seeds: w.seeds(), Roster: d.roster, Samples: d.samples, Dial: dial, Logger: quiet, Now: time.Now,
	})
	for _, run := range []func(context.Context) error{server.Run, d.watch.Run, member.Run, exchange.Run, d.keeper.Run} {
		d.wait.Go(func() {
			if err := run(ctx); err != nil {
				w.t.Errorf("%s: %v", d.self.Instance, err)
			}
		})
	}
}

// kill ends a daemon without a word to the store.
func (d *daemon) kill() { d.world.kill(d) }

// kill ends daemons at one moment.
func (w *world) kill(list ...*daemon) {
	list = slices.DeleteFunc(slices.Clone(list), func(d *daemon) bool { return d.cancel == nil })
	for _, d := range list {
		w.store.setKilled(d.self.Instance, true)
		w.network.unlisten(d.self.Address)
		d.cancel()
	}
	for _, d := range list {
		d.wait.Wait()
		d.cancel = nil
		w.store.setKilled(d.self.Instance, false)
	}
}

// apply notes when the daemon learned of versions, of upstreams and of their leaving.
func (d *daemon) apply(now time.Time, v fleet.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v.Config != nil {
		d.back = d.back || v.Config.Version < d.version
		d.version = v.Config.Version
		d.note(now, fmt.Sprintf("version %d", d.version))
	}
	for name, m := range v.Members {
		if m.Draining {
			d.note(now, "leaves "+name)
		}
	}
	for name := range d.members {
		if _, ok := v.Members[name]; !ok {
			d.note(now, "gone "+name)
		}
	}
	d.members = map[string]bool{}
	for name := range v.Members {
		d.members[name] = true
	}
	if d.ready.IsZero() && v.Config != nil && len(v.Members) > 0 {
		d.ready = now
	}
}

func (d *daemon) note(now time.Time, what string) {
	if _, ok := d.learned[what]; !ok {
		d.learned[what] = now
	}
}

// living returns the daemons that live.
func (w *world) living() []*daemon {
	var out []*daemon
	for _, d := range w.daemons {
		if d.cancel != nil {
			out = append(out, d)
		}
	}
	return out
}

// readers returns the daemons that read for their data centre.
func (w *world) readers() []*daemon {
	var out []*daemon
	for _, d := range w.living() {
		if d.roster.Leads() {
			out = append(out, d)
		}
	}
	return out
}

// slowest returns the longest time that a daemon which lives took to be ready, or false
// while one is not.
func (w *world) slowest() (longest time.Duration, all bool) {
	all = true
	for _, d := range w.living() {
		d.mu.Lock()
		all = all && !d.ready.IsZero()
		longest = max(longest, d.ready.Sub(d.started))
		d.mu.Unlock()
	}
	return longest, all
}

// late returns how long after a moment the last living daemon learned something, and
// how many never did.
func (w *world) late(what string, from time.Time, list []*daemon) (latest time.Duration, missing int) {
	for _, d := range list {
		d.mu.Lock()
		at, ok := d.learned[what]
		d.mu.Unlock()
		if !ok {
			missing++
			continue
		}
		latest = max(latest, at.Sub(from))
	}
	return latest, missing
}
