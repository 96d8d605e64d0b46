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

// dialState holds the connection attempts to one address. Guarded by Service.mu.
type dialState struct {
	inProgress  bool          // true from the start of an attempt until its connection ends
	nextAttempt time.Time     // no attempt before this time
	backoff     time.Duration // upper bound of the delay before the next attempt
	lastWanted  time.Time     // last time that dialTargets returned the address
}

// dialMissingPeers dials every neighbour without a link, and every seed address at
// which no live or connected daemon is known.
func (s *Service) dialMissingPeers(r *run, now time.Time, view *members.View) {
	for _, address := range s.dialTargets(view) {
		if s.opts.IsBlocked(address) || !s.beginDial(address, now) {
			continue
		}
		started := r.spawn(func() {
			err := s.dialAndServe(r, address)
			s.finishDial(address, err)
		})
		if !started {
			return
		}
	}
	s.pruneDialStates(now)
}

// dialTargets returns the addresses to dial. It skips a dead neighbour whose address
// a live or connected daemon uses now: dialling that address would replace the link
// to the new daemon every few seconds.
func (s *Service) dialTargets(view *members.View) []string {
	seeds := s.opts.Seeds()
	s.mu.Lock()
	defer s.mu.Unlock()
	inUse := map[string]bool{s.opts.Members.Address: true}
	for _, m := range view.Live() {
		inUse[m.Address] = true
	}
	for _, l := range s.links {
		inUse[l.peer.Address] = true
	}
	var out []string
	for _, n := range view.Neighbours() {
		l := s.links[n.Node.Instance]
		linked := l != nil && l.peer.Node.Incarnation >= n.Node.Incarnation
		if !linked && (n.Liveness != members.Dead || !inUse[n.Address]) {
			out = append(out, n.Address)
		}
	}
	for _, address := range seeds {
		if !inUse[address] {
			out = append(out, address)
		}
	}
	return out
}

// beginDial reports whether an attempt to dial the address is due, and marks it as
// in progress if so.
func (s *Service) beginDial(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.dialStates[address]
	if d == nil {
		d = &dialState{}
		s.dialStates[address] = d
	}
	d.lastWanted = now
	if d.inProgress || now.Before(d.nextAttempt) {
		return false
	}
	d.inProgress = true
	return true
}

// finishDial schedules the next attempt after one ended. The backoff doubles up to
// backoffMax, and the delay is chosen at random between half of it and all of it, so
// that the peers of a restarted daemon do not dial it all at once.
func (s *Service) finishDial(address string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.dialStates[address]
	if d == nil {
		return
	}
	d.inProgress = false
	if err == nil {
		d.backoff = 0
	}
	d.backoff = min(max(2*d.backoff, backoffMin), backoffMax)
	half := int64(d.backoff / 2)
	d.nextAttempt = time.Now().Add(time.Duration(half + s.opts.Rand.Int64N(half+1)))
}

// pruneDialStates removes addresses that have not been a dial target for IdleTimeout.
func (s *Service) pruneDialStates(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, d := range s.dialStates {
		if !d.inProgress && now.Sub(d.lastWanted) > s.opts.IdleTimeout {
			delete(s.dialStates, address)
		}
	}
}

// dialAndServe connects to an address and serves the connection until it ends. A
// connection that lasts less than backoffMax counts as a failed attempt; otherwise
// a peer that accepts connections and closes them at once would be dialled at the
// shortest delay indefinitely.
func (s *Service) dialAndServe(r *run, address string) error {
	l, err := s.openLink(r, address)
	if err != nil {
		return err
	}
	start := time.Now()
	l.serve(r)
	if time.Since(start) < backoffMax {
		return errors.New("connection ended early")
	}
	return nil
}

// openLink connects to an address and registers the link. The caller must serve it.
func (s *Service) openLink(r *run, address string) (*link, error) {
	s.counters.dials.Add(1)
	d := net.Dialer{Timeout: s.opts.DialTimeout}
	c, err := d.DialContext(r.ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	if s.opts.TLS != nil {
		c = tls.Client(c, clientTLS(s.opts.TLS, address))
	}
	return s.establishLink(r, c, true)
}

// clientTLS returns c with ServerName set to the host of the address, unless c sets
// a ServerName or skips verification.
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
	l, err := s.establishLink(r, c, false)
	if err != nil {
		return
	}
	l.serve(r)
}

// establishLink performs the handshake and registers the link. It closes c on error.
func (s *Service) establishLink(r *run, c net.Conn, dialled bool) (*link, error) {
	l := newLink(s, c, dialled)
	stop := context.AfterFunc(r.ctx, func() { rawConn(c).Close() })
	err := l.handshake()
	stop()
	if err != nil {
		s.counters.faults.Add(1)
	} else {
		err = s.register(r, l)
	}
	if errors.Is(err, errSuperseded) {
		l.notifySuperseded()
	}
	if err != nil {
		l.close(err)
		s.opts.Logger.WithError(err).WithField("remote", c.RemoteAddr().String()).Debug("peer connection rejected")
		return nil, err
	}
	return l, nil
}

// register makes l the link to its peer, unless an existing connection takes
// precedence. The order of precedence is:
//   - the connection to the later incarnation of the peer;
//   - of two connections that both sides opened at the same time, the one opened by
//     the daemon with the smaller instance name;
//   - of two connections opened by the same side, the newer one, because that side
//     has seen the older one fail.
//
// It returns errSuperseded for a peer whose instance runs a later incarnation, as
// when a daemon returns from a freeze or a network partition after its instance was
// restarted. The caller then notifies that peer: closing the connection without a
// message would leave it serving requests whose engine work the stewards cancel.
func (s *Service) register(r *run, l *link) error {
	if s.opts.IsBlocked(l.peer.Address) {
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
		s.table.HandleHeartbeat(time.Now(), wire.Heartbeat{Node: l.peer.Node, DataCentre: l.peer.DataCentre, Address: l.peer.Address})
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
	l.sendHeartbeat(s.table.SinglePeerRound(), own)
	return nil
}

// retire keeps a duplicate connection to a peer open for CallTimeout and until its
// calls have ended. When both sides dial at the same time, they disagree for a moment
// on which connection is the link; closing the other one at once would fail the calls
// on it with an unknown outcome. The caller holds s.mu.
func (s *Service) retire(l *link) {
	s.retired[l] = time.Now()
}

// unregister removes a connection that ended.
func (s *Service) unregister(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.retired, l)
	if s.links[l.peer.Node.Instance] == l {
		delete(s.links, l.peer.Node.Instance)
	}
}
