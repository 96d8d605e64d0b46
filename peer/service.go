package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
)

// Service is the runner of the members.Table. It implements supervise.Service.
// Its methods are safe for concurrent use, except those to be called before Run.
type Service struct {
	opts     Options
	listen   string
	handlers map[wire.Type]Handler
	onBeat   []func(wire.Heartbeat)
	announce []func(*wire.Heartbeat)
	view     atomic.Pointer[members.View]
	count    counters
	inbound  atomic.Int64
	run      atomic.Pointer[run] // nil unless Run runs

	mu    sync.Mutex
	table *members.Table
	links map[string]*link // by instance
	dials map[string]*dial // by address
	// retired holds connections that are no links, and since when.
	retired map[*link]time.Time
}

// run is what belongs to one call of Run.
type run struct {
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex // guards ended against wg
	ended  bool
	wg     conc.WaitGroup
}

// New returns a service that knows only itself.
func New(o Options) *Service {
	listen := o.Listen
	if o.Listener != nil {
		listen = o.Listener.Addr().String()
	}
	if o.Members.Address == "" {
		o.Members.Address = listen
	}
	s := &Service{
		listen:   listen,
		handlers: map[wire.Type]Handler{},
		table:    members.NewTable(o.Members, time.Now()),
		links:    map[string]*link{},
		dials:    map[string]*dial{},
		retired:  map[*link]time.Time{},
	}
	s.view.Store(s.table.View())
	s.opts = o.withDefaults(s.View().FarDeadAfter())
	return s
}

// Name implements supervise.Service.
func (s *Service) Name() string { return "peer" }

// View returns what this daemon believes of the others.
func (s *Service) View() *members.View { return s.view.Load() }

// Frozen reports whether this process was stopped and its view is not refreshed
// yet; request runners ask before each dispatch.
func (s *Service) Frozen(now time.Time) bool { return s.View().Frozen(now) }

// Handle registers the handler of a message type. Call it before Run.
func (s *Service) Handle(t wire.Type, h Handler) { s.handlers[t] = h }

// OnHeartbeat registers a hook for every heartbeat heard. Call it before Run.
// Hooks run concurrently and must not block.
func (s *Service) OnHeartbeat(f func(wire.Heartbeat)) { s.onBeat = append(s.onBeat, f) }

// Announce registers a hook that fills in BundleNumber, BundleDigest, Draining
// and Leaving of this daemon's heartbeats. Call it before Run. Hooks run
// concurrently, must not block, and must not change later what they filled in.
func (s *Service) Announce(f func(*wire.Heartbeat)) { s.announce = append(s.announce, f) }

// Run implements supervise.Service.
func (s *Service) Run(ctx context.Context) error {
	ln := s.opts.Listener
	s.opts.Listener = nil
	if ln == nil {
		var err error
		if ln, err = net.Listen("tcp", s.listen); err != nil {
			return errors.Wrap(err, "listen for peers")
		}
	}
	r := &run{}
	r.ctx, r.cancel = context.WithCancel(ctx)
	defer r.cancel()
	s.run.Store(r)
	failed := make(chan error, 1)
	r.spawn(func() {
		if err := s.accept(r, ln); err != nil {
			failed <- err
			r.cancel()
		}
	})
	r.spawn(func() { s.tick(r) })
	<-r.ctx.Done()
	ln.Close()
	s.stop(r)
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// stop closes every link and waits for the run's goroutines; it panics if one
// of them did.
func (s *Service) stop(r *run) {
	s.run.CompareAndSwap(r, nil)
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	s.mu.Lock()
	for _, l := range s.links {
		l.close(errStopped)
	}
	for l := range s.retired {
		l.close(errStopped)
	}
	s.mu.Unlock()
	r.wg.Wait()
}

// spawn runs f on a goroutine of the run; it reports false when the run ended.
// A panic ends the run, which then fails as a whole and is started again.
func (r *run) spawn(f func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return false
	}
	r.wg.Go(func() {
		whole := false
		defer func() {
			if !whole {
				r.cancel()
			}
		}()
		f()
		whole = true
	})
	return true
}

// accept takes connections until the listener closes.
func (s *Service) accept(r *run, ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if r.ctx.Err() != nil {
			if err == nil {
				c.Close()
			}
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		if s.inbound.Add(1) > int64(s.opts.MaxInbound) {
			s.inbound.Add(-1)
			c.Close()
			continue
		}
		if !r.spawn(func() {
			defer s.inbound.Add(-1)
			s.serveInbound(r, c)
		}) {
			s.inbound.Add(-1)
			c.Close()
		}
	}
}

// tick drives the table: twice in each heartbeat, so that a verdict is late by
// half a heartbeat at most.
func (s *Service) tick(r *run) {
	heartbeat := s.View().Heartbeat()
	ticker := time.NewTicker(heartbeat / 2)
	defer ticker.Stop()
	odd := false
	for {
		s.step(r, time.Now(), !odd)
		odd = !odd
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// step ticks the table once, and sends a round of heartbeats when beat is set
// or this process has just thawed.
func (s *Service) step(r *run, now time.Time, beat bool) {
	own := s.announcement()
	s.mu.Lock()
	s.table.SetDraining(own.Draining)
	events := s.table.Tick(now)
	view := s.table.View()
	s.view.Store(view)
	for _, e := range events {
		beat = beat || e.Event == members.Froze
	}
	if beat {
		round := s.table.Beat(now)
		for _, l := range s.links {
			l.beat(round, own)
		}
	}
	s.prune(now, view)
	s.mu.Unlock()
	for _, e := range events {
		s.opts.Logger.WithField("event", e.Event.String()).WithField("instance", e.Node.Instance).
			WithField("incarnation", e.Node.Incarnation).Info("membership changed")
		s.opts.OnEvent(e)
	}
	s.connect(r, now, view)
}

// announcement returns the fields that the hooks fill in.
func (s *Service) announcement() wire.Heartbeat {
	var hb wire.Heartbeat
	for _, f := range s.announce {
		f(&hb)
	}
	return hb
}

// hear passes one heartbeat to the table and the hooks.
func (s *Service) hear(l *link, hb wire.Heartbeat) {
	now := time.Now()
	var own wire.Heartbeat
	if hb.Ask {
		own = s.announcement()
	}
	s.mu.Lock()
	s.table.Hear(now, hb)
	s.view.Store(s.table.View())
	if hb.Ask {
		l.echo, l.last = hb.Seq, nil
		l.beat(s.table.Greet(), own)
	}
	s.mu.Unlock()
	for _, f := range s.onBeat {
		f(hb)
	}
}

// prune closes links that are blocked, or idle and not to a neighbour. The caller holds s.mu.
func (s *Service) prune(now time.Time, view *members.View) {
	near := make(map[string]bool, len(s.links))
	for _, n := range view.Neighbours() {
		near[n.Node.Instance] = true
	}
	for name, l := range s.links {
		switch {
		case s.opts.Block(l.peer.Address):
			l.close(errBlocked)
		case !near[name] && now.Sub(l.lastUsed()) > s.opts.IdleAfter && !l.busy():
			l.close(errIdle)
		}
	}
	for l, since := range s.retired {
		if now.Sub(since) > s.opts.CallTimeout && !l.busy() || s.opts.Block(l.peer.Address) {
			l.close(errDuplicate)
		}
	}
}
