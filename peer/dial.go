package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
)

// dial is the state of reaching one address. Guarded by Service.mu.
type dial struct {
	busy  bool
	next  time.Time
	delay time.Duration
	seen  time.Time // last time the address was wanted
}

// connect dials every neighbour without a link, and the seeds whose daemon is
// not known to live.
func (s *Service) connect(r *run, now time.Time, view *members.View) {
	for _, address := range s.wanted(view) {
		if s.opts.Block(address) || !s.mayDial(address, now) {
			continue
		}
		started := r.spawn(func() {
			err := s.reach(r, address)
			s.dialled(address, err)
		})
		if !started {
			return
		}
	}
	s.forgetDials(now)
}

// wanted returns the addresses to dial. The address of a dead daemon may have
// passed to a new instance: dialling it for the dead one would replace the link
// to the new one every few seconds.
func (s *Service) wanted(view *members.View) []string {
	seeds := s.opts.Seeds()
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := map[string]bool{s.opts.Members.Address: true}
	for _, m := range view.Live() {
		taken[m.Address] = true
	}
	for _, l := range s.links {
		taken[l.peer.Address] = true
	}
	var out []string
	for _, n := range view.Neighbours() {
		l := s.links[n.Node.Instance]
		linked := l != nil && l.peer.Node.Incarnation >= n.Node.Incarnation
		if !linked && (n.Liveness != members.Dead || !taken[n.Address]) {
			out = append(out, n.Address)
		}
	}
	for _, address := range seeds {
		if !taken[address] {
			out = append(out, address)
		}
	}
	return out
}

// mayDial claims the address's next attempt when it is due.
func (s *Service) mayDial(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.dials[address]
	if d == nil {
		d = &dial{}
		s.dials[address] = d
	}
	d.seen = now
	if d.busy || now.Before(d.next) {
		return false
	}
	d.busy = true
	return true
}

// dialled sets the next attempt after one ended: doubled delays, jittered by
// half, so that the peers of a restarted daemon do not dial it all at once.
func (s *Service) dialled(address string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.dials[address]
	if d == nil {
		return
	}
	d.busy = false
	if err == nil {
		d.delay = 0
	}
	d.delay = min(max(2*d.delay, backoffMin), backoffMax)
	half := int64(d.delay / 2)
	d.next = time.Now().Add(time.Duration(half + s.opts.Rand.Int64N(half+1)))
}

// forgetDials drops addresses that nobody wants any more.
func (s *Service) forgetDials(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, d := range s.dials {
		if !d.busy && now.Sub(d.seen) > s.opts.IdleAfter {
			delete(s.dials, address)
		}
	}
}

// reach connects to an address and serves the connection until it ends. A
// connection that soon ends is an error, so that a peer which accepts and closes
// at once is not dialled at the shortest delay for good.
func (s *Service) reach(r *run, address string) error {
	l, err := s.open(r, address)
	if err != nil {
		return err
	}
	start := time.Now()
	l.serve(r)
	if time.Since(start) < backoffMax {
		return errors.New("connection ended soon")
	}
	return nil
}

// open connects to an address and registers the link; the caller serves it.
func (s *Service) open(r *run, address string) (*link, error) {
	s.count.dials.Add(1)
	d := net.Dialer{Timeout: s.opts.DialTimeout}
	c, err := d.DialContext(r.ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	if s.opts.TLS != nil {
		c = tls.Client(c, clientTLS(s.opts.TLS, address))
	}
	return s.greet(r, c, true)
}

// clientTLS names the server by the host of its address unless the
// configuration names it.
func clientTLS(c *tls.Config, address string) *tls.Config {
	if c.ServerName != "" || c.InsecureSkipVerify {
		return c
	}
	c = c.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil {
		c.ServerName = host
	}
	return c
}

// serveInbound serves an accepted connection until it ends.
func (s *Service) serveInbound(r *run, c net.Conn) {
	if s.opts.TLS != nil {
		c = tls.Server(c, s.opts.TLS)
	}
	l, err := s.greet(r, c, false)
	if err != nil {
		return
	}
	l.serve(r)
}

// greet exchanges Hellos and registers the link. It closes c on error.
func (s *Service) greet(r *run, c net.Conn, dialled bool) (*link, error) {
	l := newLink(s, c, dialled)
	stop := context.AfterFunc(r.ctx, func() { rawConn(c).Close() })
	err := l.handshake()
	stop()
	if err != nil {
		s.count.faults.Add(1)
	} else {
		err = s.register(r, l)
	}
	if errors.Is(err, errSuperseded) {
		l.tellSuperseded()
	}
	if err != nil {
		l.close(err)
		s.opts.Logger.WithError(err).WithField("remote", c.RemoteAddr().String()).Debug("peer connection refused")
		return nil, err
	}
	return l, nil
}

// register makes l the link to its peer, unless a better one stands: the peer's
// later incarnation wins; of two connections that both sides opened at once, the
// one from the daemon with the smaller name; else the newer one, because its
// dialler has seen the older one fail.
//
// A daemon that was frozen or cut off may come back after its instance was
// started again. Refusing its connections in silence would leave it serving
// requests whose engine work the stewards cancel; so it is told why.
func (s *Service) register(r *run, l *link) error {
	if s.opts.Block(l.peer.Address) {
		return errBlocked
	}
	self := s.opts.Members.Node
	own := s.announcement()
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.ctx.Err() != nil {
		return errStopped
	}
	if l.peer.Node.Instance == self.Instance {
		s.table.Hear(time.Now(), wire.Heartbeat{Node: l.peer.Node, DataCentre: l.peer.DataCentre, Address: l.peer.Address})
		return errSelf
	}
	if s.view.Load().Superseded(l.peer.Node) {
		return errSuperseded
	}
	if old := s.links[l.peer.Node.Instance]; old != nil {
		if old.peer.Node.Incarnation > l.peer.Node.Incarnation {
			return errSuperseded
		}
		if old.peer.Node != l.peer.Node {
			old.close(errSuperseded)
		} else if preferred := self.Instance < l.peer.Node.Instance; old.dialled != l.dialled && old.dialled == preferred {
			s.retire(l)
			return nil
		} else {
			s.retire(old)
		}
	}
	s.links[l.peer.Node.Instance] = l
	l.beat(s.table.Greet(), own)
	return nil
}

// retire keeps a connection that is not, or no longer, the link to its peer for
// CallTimeout. Both sides dial at once now and then, and for a moment differ on
// which connection is the link; closing the other one at once would fail the
// calls on it with an unknown outcome. The caller holds s.mu.
func (s *Service) retire(l *link) {
	s.retired[l] = time.Now()
}

// unregister forgets a connection that ended.
func (s *Service) unregister(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.retired, l)
	if s.links[l.peer.Node.Instance] == l {
		delete(s.links, l.peer.Node.Instance)
	}
}
