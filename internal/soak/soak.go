// Package soak runs real daemons as separate processes on loopback, before a stand-in
// of the users' platform, and injects faults from outside them by a seeded schedule:
// signals, connections that a proxy harms, upstreams and a store that misbehave. While
// callers ask, it checks what is promised to them from what callers and upstreams see.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

// Options are the size of one run.
type Options struct {
	// Bin is the corianderturn program, and Dir holds settings and logs.
	Bin, Dir string
	Seed     uint64
	// Length is how long faults come; what follows is calm.
	Length  time.Duration
	Daemons int
	Callers int
	// Herd adds series in which a service refuses and all daemons are killed.
	Herd bool
	// Teams gives callers keys, and one team more callers than its limit bears.
	Teams bool
	// Limits lets upstreams name rate limits.
	Limits bool
	// Fatal adds callers that repeat requests which end each upstream that runs them.
	Fatal bool
}

// Result is what a run saw.
type Result struct {
	Asked, Whole, Refused, Failed, Broken int64
	// Violations are broken promises; none in a run that passes.
	Violations []string
	// Schedule lists the faults, for the report of a run that fails.
	Schedule []string
}

// events is the length of the stand-ins' streams, and eventPause the time between two.
const (
	events     = 6
	eventPause = 15 * time.Millisecond
	// healTime bounds the wait for daemons to serve again after the last fault: a
	// generous many times of what ejections and restarts take.
	healTime = 30 * time.Second
)

type run struct {
	o       Options
	site    *site.Site
	ups     []*site.Upstream
	proxies []*proxy
	daemons []*daemon
	version atomic.Int64
	ids     atomic.Int64

	mu     sync.Mutex
	result Result
	asked  []asked
	// fatal are the attempts at requests that end upstreams, and troubled is when the store
	// was last disturbed.
	fatal    []fatalAsk
	troubled time.Time
	// limits are the times in which upstreams named limits.
	limits []limitSpan
}

// Run plays one seed. Its error is about the run itself, not about promises.
func Run(ctx context.Context, o Options) (*Result, error) {
	r := &run{o: o}
	defer r.close()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	faults := schedule(o.Seed, o.Length, o.Daemons, len(r.ups))
	if o.Herd {
		faults = append(faults, herd(o.Seed, o.Length, o.Daemons, len(r.ups))...)
	}
	if o.Limits {
		faults = append(faults, limitSeries(o.Seed, o.Length, o.Daemons, len(r.ups))...)
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].at < faults[j].at })
	for _, f := range faults {
		r.result.Schedule = append(r.result.Schedule, f.String())
	}
	callers, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for i := range o.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.caller(callers, uint64(i))
		}()
	}
	for i := 0; o.Fatal && i < fatalCallers; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.fatalCaller(callers, i)
		}()
	}
	r.inject(ctx, faults)
	r.heal()
	r.checkServing(ctx)
	stop()
	wg.Wait()
	r.checkAccount()
	r.checkRepeats()
	r.checkFatal()
	r.checkTeams()
	r.checkLimits()
	r.checkHeld(ctx)
	return &r.result, nil
}

func (r *run) start(ctx context.Context) error {
	var err error
	if r.site, err = site.New(); err != nil {
		return err
	}
	r.configure()
	for i, role := range []string{"prefill", "prefill", "decode", "decode", "decode", "", ""} {
		n := events
		if role == "" {
			n = 0
		}
		u, err := r.site.Add(fmt.Sprintf("u%d", i), "dc1", role, n, eventPause)
		if err != nil {
			return err
		}
		p, err := newProxy(u.Address())
		if err != nil {
			return err
		}
		u.SetPublic(p.address())
		r.site.Register(u, "in_service")
		r.ups, r.proxies = append(r.ups, u), append(r.proxies, p)
	}
	relays, err := r.relays()
	if err != nil {
		return err
	}
	for i := range r.o.Daemons {
		d, err := newDaemon(r.o, i, r.site.StoreAddress(), relays)
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

func (r *run) configure() {
	version := r.version.Add(1)
	r.setTeams(version)
	r.site.Configure(int(version))
}

func (r *run) awaitReady(ctx context.Context) error {
	for _, d := range r.daemons {
		if !waitFor(ctx, healTime, d.ready) {
			return errors.Errorf("daemon %d was not ready", d.index)
		}
	}
	return nil
}

// waitFor polls a condition.
func waitFor(ctx context.Context, limit time.Duration, ok func() bool) bool {
	const pause = 10 * time.Millisecond
	for end := time.Now().Add(limit); !ok(); {
		if ctx.Err() != nil || time.Now().After(end) {
			return false
		}
		time.Sleep(pause)
	}
	return true
}

func (r *run) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, args...))
}

func (r *run) close() {
	for _, d := range r.daemons {
		d.kill()
	}
	if r.site != nil {
		r.site.Close() // it waits for upstreams that are being replaced, and their proxies
	}
	for _, p := range r.proxies {
		p.close()
	}
}

// daemon is one process; only processes that it started are ever signalled.
type daemon struct {
	o           Options
	index       int
	front, addr string // callers' and readiness addresses
	settings    string
	faults      sync.Mutex // held while a signal of the schedule is at work
	troubled    time.Time  // when it was last disturbed; run.mu guards it and the next
	troubles    []time.Time

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// relays returns the addresses at which daemons listen for each other; none in a run
// without teams and limits.
func (r *run) relays() ([]string, error) {
	var out []string
	for i := 0; (r.o.Teams || r.o.Limits) && i < r.o.Daemons; i++ {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		out = append(out, address)
	}
	return out, nil
}

func newDaemon(o Options, index int, store string, relays []string) (*daemon, error) {
	d := &daemon{o: o, index: index, settings: filepath.Join(o.Dir, fmt.Sprintf("d%d.yaml", index))}
	var err error
	if d.front, err = freeAddress(); err != nil {
		return nil, err
	}
	if d.addr, err = freeAddress(); err != nil {
		return nil, err
	}
	text := fmt.Sprintf("instance: {name: d%d, data_centre: dc1}\ncallers: {listen: %q}\nready: {listen: %q}\nstore: {address: %q}\nretries: {ratio: %g, slack: %g, window: %s}\nquota: {window: %s, excess: %g, slack: %g}\ndrain: {notice: 100ms, grace: 6s}\nlimits: {memory_mb: 512}\n",
		index, d.front, d.addr, store, retryRatio, retrySlack, retryWindow, quotaWindow, quotaExcess, quotaSlack)
	if len(relays) > 0 {
		text += fmt.Sprintf("relay: {listen: %q, seeds: [%q], data_centres: [dc1]}\n", relays[index], relays[0])
	}
	const mode = 0o600
	return d, errors.WithStack(os.WriteFile(d.settings, []byte(text), mode))
}

// The ports that daemons are given: above the reserved ones, and below those that Linux
// gives to outgoing connections.
const lowPort, highPort = 10_240, 32_768

// freeAddress returns an address that was free a moment ago.
//
// What goes wrong with a port that the system picks: it is one of those for outgoing
// connections, and a connection of this or another run has it before the daemon binds,
// which ends with "address already in use" and is never ready.
func freeAddress() (string, error) {
	const tries = 100
	var err error
	for range tries {
		var ln net.Listener
		address := fmt.Sprintf("127.0.0.1:%d", lowPort+rand.IntN(highPort-lowPort))
		if ln, err = net.Listen("tcp", address); err == nil {
			ln.Close()
			return address, nil
		}
	}
	return "", errors.Wrap(err, "find a free port")
}

func (d *daemon) start() error {
	const mode = 0o600
	out, err := os.OpenFile(filepath.Join(d.o.Dir, fmt.Sprintf("d%d.log", d.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, mode)
	if err != nil {
		return errors.WithStack(err)
	}
	defer out.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	cmd := exec.Command(d.o.Bin, "attach", "--settings", d.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start a daemon")
	}
	done := make(chan struct{})
	d.cmd, d.done = cmd, done
	go func() {
		defer close(done)
		_ = cmd.Wait() // it is killed in most runs
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(s) // it may have ended
	return d.done
}

func (d *daemon) kill() {
	d.mu.Lock()
	cmd := d.cmd
	d.mu.Unlock()
	if cmd != nil {
		<-d.signal(syscall.SIGKILL)
	}
}

func (d *daemon) ready() bool { return site.Ready(probeClient, d.addr) }
