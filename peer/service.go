package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/internal/accept"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
)

// Service maintains the connections to other daemons and the members.Table. It
// implements supervise.Service. Its methods are safe for concurrent use, except those
// that must be called before Run.
type Service struct {
	opts           Options
	listen         string
	handlers       map[wire.Type]Handler
	heartbeatHooks []func(wire.Heartbeat)
	announceHooks  []func(*wire.Heartbeat)
	view           atomic.Pointer[members.View]
	counters       counters
	inboundConns   atomic.Int64
	currentRun     atomic.Pointer[run] // nil while Run is not active

	mu         sync.Mutex
	table      *members.Table
	links      map[string]*link      // by instance
	dialStates map[string]*dialState // by address
	// retired maps each duplicate connection that is still open to the time at which
	// it stopped being a link.
	retired map[*link]time.Time
}

// run holds the context and goroutines of one call of Run.
type run struct {
	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex // guards stopped; no goroutine starts once it is set
	stopped bool
	wg      conc.WaitGroup
}

// New returns a service whose membership table holds only this daemon.
func New(o Options) *Service {
	listen := o.Listen
	if o.Listener != nil {
		listen = o.Listener.Addr().String()
	}
	if o.Members.Address == "" {
		o.Members.Address = listen
	}
	s := &Service{
		listen:     listen,
		handlers:   map[wire.Type]Handler{},
		table:      members.NewTable(o.Members, time.Now()),
		links:      map[string]*link{},
		dialStates: map[string]*dialState{},
		retired:    map[*link]time.Time{},
	}
	s.view.Store(s.table.View())
	s.opts = o.withDefaults(s.View().RemoteDeadAfter())
	return s
}

// Name implements supervise.Service.
func (s *Service) Name() string { return "peer" }

// View returns the current snapshot of the membership table.
func (s *Service) View() *members.View { return s.view.Load() }

// Frozen reports whether this process was paused (for example by SIGSTOP or a
// suspended virtual machine) and its membership view has not been refreshed since.
// Callers check it before they dispatch a request.
func (s *Service) Frozen(now time.Time) bool { return s.View().Frozen(now) }

// Handle registers the handler of a message type. Call it before Run.
func (s *Service) Handle(t wire.Type, h Handler) { s.handlers[t] = h }

// OnHeartbeat registers a hook that is called for every heartbeat received. Call it
// before Run. Hooks run concurrently and must not block.
func (s *Service) OnHeartbeat(f func(wire.Heartbeat)) { s.heartbeatHooks = append(s.heartbeatHooks, f) }

// OnSendHeartbeat registers a hook that fills in BundleNumber, BundleDigest, Draining
// and Leaving of this daemon's heartbeats. Call it before Run. Hooks run
// concurrently, must not block, and must not modify the slices that they have set.
func (s *Service) OnSendHeartbeat(f func(*wire.Heartbeat)) {
	s.announceHooks = append(s.announceHooks, f)
}

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
	s.currentRun.Store(r)
	failed := make(chan error, 1)
	r.spawn(func() {
		if err := s.acceptLoop(r, ln); err != nil {
			failed <- err
			r.cancel()
		}
	})
	r.spawn(func() { s.tickLoop(r) })
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

// stop closes every connection and waits for the run's goroutines. It propagates a
// panic of any of them.
func (s *Service) stop(r *run) {
	s.currentRun.CompareAndSwap(r, nil)
	r.mu.Lock()
	r.stopped = true
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

// spawn runs f on a new goroutine of the run. It returns false when the run has
// stopped. A panic in f cancels the run; stop then propagates the panic and the
// supervisor restarts the service.
func (r *run) spawn(f func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return false
	}
	r.wg.Go(func() {
		completed := false
		defer func() {
			if !completed {
				r.cancel()
			}
		}()
		f()
		completed = true
	})
	return true
}

// acceptLoop accepts connections until the listener closes. It closes connections
// beyond maxInbound at once.
func (s *Service) acceptLoop(r *run, ln net.Listener) error {
	for {
		c, err := accept.Next(r.ctx, ln)
		if r.ctx.Err() != nil {
			if err == nil {
				c.Close()
			}
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		if s.inboundConns.Add(1) > int64(s.maxInbound()) {
			s.inboundConns.Add(-1)
			c.Close()
			continue
		}
		if !r.spawn(func() {
			defer s.inboundConns.Add(-1)
			s.serveInbound(r, c)
		}) {
			s.inboundConns.Add(-1)
			c.Close()
		}
	}
}

// maxInbound returns the number of accepted connections that may be open. It leaves descriptors for those of callers:
// a crowd at this listener would else keep them from being accepted.
func (s *Service) maxInbound() int {
	const descriptorShare = 0.4
	return min(s.opts.MaxInbound, int(descriptorShare*float64(accept.Descriptors())))
}

// tickLoop advances the membership table twice in each heartbeat interval, so that
// failure detection is late by at most half an interval.
func (s *Service) tickLoop(r *run) {
	heartbeat := s.View().Heartbeat()
	ticker := time.NewTicker(heartbeat / 2)
	defer ticker.Stop()
	skipHeartbeat := false
	for {
		s.tick(r, time.Now(), !skipHeartbeat)
		skipHeartbeat = !skipHeartbeat
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tick advances the membership table to now. It sends a round of heartbeats when
// sendHeartbeats is set, or when the table finds that this process was paused: the
// replies to that round refresh the view.
func (s *Service) tick(r *run, now time.Time, sendHeartbeats bool) {
	own := s.announcement()
	s.mu.Lock()
	s.table.SetDraining(own.Draining)
	events := s.table.Tick(now)
	view := s.table.View()
	s.view.Store(view)
	for _, e := range events {
		sendHeartbeats = sendHeartbeats || e.Event == members.Froze
	}
	if sendHeartbeats {
		round := s.table.NextRound(now)
		for _, l := range s.links {
			l.sendHeartbeat(round, own)
		}
	}
	s.closeUnusedLinks(now, view)
	s.mu.Unlock()
	for _, e := range events {
		s.opts.Logger.WithField("event", e.Event.String()).WithField("instance", e.Node.Instance).
			WithField("incarnation", e.Node.Incarnation).Info("membership changed")
		s.opts.OnEvent(e)
	}
	s.dialMissingPeers(r, now, view)
}

// announcement returns a heartbeat with the fields that the OnSendHeartbeat hooks set.
func (s *Service) announcement() wire.Heartbeat {
	var hb wire.Heartbeat
	for _, f := range s.announceHooks {
		f(&hb)
	}
	return hb
}

// handleHeartbeat applies a received heartbeat to the table, replies to it if it asks
// for an echo, and calls the OnHeartbeat hooks.
func (s *Service) handleHeartbeat(l *link, hb wire.Heartbeat) {
	now := time.Now()
	var own wire.Heartbeat
	if hb.RequestEcho {
		own = s.announcement()
	}
	s.mu.Lock()
	s.table.HandleHeartbeat(now, hb)
	s.view.Store(s.table.View())
	if hb.RequestEcho {
		l.pendingEcho, l.lastFullSent = hb.Seq, nil
		l.sendHeartbeat(s.table.SinglePeerRound(), own)
	}
	s.mu.Unlock()
	for _, f := range s.heartbeatHooks {
		f(hb)
	}
}

// closeUnusedLinks closes blocked connections, idle links to daemons that are not
// neighbours, and connections that were retired for CallTimeout and are not busy.
// The caller holds s.mu.
func (s *Service) closeUnusedLinks(now time.Time, view *members.View) {
	neighbours := make(map[string]bool, len(s.links))
	for _, n := range view.Neighbours() {
		neighbours[n.Node.Instance] = true
	}
	for name, l := range s.links {
		switch {
		case s.opts.IsBlocked(l.peer.Address):
			l.close(errBlocked)
		case !neighbours[name] && now.Sub(l.lastUsed()) > s.opts.IdleTimeout && !l.busy():
			l.close(errIdle)
		}
	}
	for l, since := range s.retired {
		if now.Sub(since) > s.opts.CallTimeout && !l.busy() || s.opts.IsBlocked(l.peer.Address) {
			l.close(errDuplicate)
		}
	}
}
