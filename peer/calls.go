package peer

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/panics"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// ErrNotSent says that no byte of a call left this daemon. After any other
// error of Call the peer may have acted on it.
var ErrNotSent = errors.New("call was not sent")

// ErrLinkLost says that the connection ended before the reply.
var ErrLinkLost = errors.New("connection to the peer was lost")

// The kinds of wire.Failure that this package answers with.
const (
	FailureUnknownType = "unknown-type"
	FailureBusy        = "busy"
	FailureHandler     = "handler"
)

// RemoteError is a call's failure as the peer told it.
type RemoteError struct {
	Kind   string // one of the Failure constants
	Detail string
}

// Error implements error.
func (e *RemoteError) Error() string { return "peer answered " + e.Kind + ": " + e.Detail }

// Send queues a one-way message to a linked peer. It never blocks; without a
// link, or when the queue overflows, messages are lost.
func (s *Service) Send(to wire.NodeID, t wire.Type, msg any) {
	if l := s.link(to); l != nil {
		if err := l.send(wire.Envelope{Type: t}, msg); err != nil {
			s.opts.Logger.WithError(err).WithField("instance", to.Instance).Debug("message dropped")
		}
	}
}

func (s *Service) link(to wire.NodeID) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.links[to.Instance]; l != nil && l.peer.Node == to {
		return l
	}
	return nil
}

// Call sends req to a peer and decodes its answer into reply, within ctx and
// the bound of its type. It connects when no link stands. ErrNotSent, by errors.Is, means
// that the peer cannot have acted; a *RemoteError is the peer's own refusal.
func (s *Service) Call(ctx context.Context, to wire.NodeID, t wire.Type, req, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.callTimeout(t))
	defer cancel()
	l, err := s.linkOrOpen(ctx, to)
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	l.touch()
	return l.call(ctx, t, req, reply)
}

// linkOrOpen returns the link to a peer, opening one to a daemon that is no
// neighbour; it is closed again after IdleAfter.
func (s *Service) linkOrOpen(ctx context.Context, to wire.NodeID) (*link, error) {
	if l := s.link(to); l != nil {
		return l, nil
	}
	r := s.run.Load()
	m, ok := s.View().Member(to.Instance)
	switch {
	case r == nil:
		return nil, errStopped
	case !ok || m.Node != to:
		return nil, errors.Errorf("no live daemon %s/%d is known", to.Instance, to.Incarnation)
	case s.opts.Block(m.Address):
		return nil, errBlocked
	}
	opened := make(chan error, 1)
	started := r.spawn(func() {
		l, err := s.open(r, m.Address)
		opened <- err
		if err == nil {
			l.serve(r)
		}
	})
	if !started {
		return nil, errStopped
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case err := <-opened:
		if l := s.link(to); l != nil {
			return l, nil
		}
		return nil, errors.Wrap(err, "no link stands")
	}
}

func (l *link) call(ctx context.Context, t wire.Type, req, into any) error {
	id, answer, err := l.begin(t)
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	defer l.end(id, t)
	if err := l.send(wire.Envelope{Type: t, ID: id}, req); err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	select {
	case <-ctx.Done():
		l.cancelCall(id)
		return errors.Wrap(ctx.Err(), "call peer")
	case r := <-answer:
		if r.err != nil {
			return r.err
		}
		return wire.Decode(r.body, into)
	}
}

// lane tells calls that take milliseconds from forwards, which last as long as
// the callers' requests. Each has a bound of its own: drafts that are forwarded
// would otherwise keep claims and bundles from getting through.
type lane uint8

const (
	laneCalls lane = iota
	laneForwards
	lanes
)

func laneOf(t wire.Type) lane {
	if t == wire.TypeForward {
		return laneForwards
	}
	return laneCalls
}

func (l *link) begin(t wire.Type) (uint64, chan reply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls == nil {
		return 0, nil, ErrLinkLost
	}
	lane := laneOf(t)
	if l.made[lane] >= cap(l.serving[lane]) {
		return 0, nil, errors.Errorf("%d calls in progress", l.made[lane])
	}
	l.made[lane]++
	l.nextID++
	answer := make(chan reply, 1)
	l.calls[l.nextID] = answer
	return l.nextID, answer, nil
}

func (l *link) end(id uint64, t wire.Type) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.made[laneOf(t)]--
	delete(l.calls, id)
}

// failCalls ends the calls in progress and refuses later ones.
func (l *link) failCalls() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, answer := range l.calls {
		answer <- reply{err: ErrLinkLost}
	}
	l.calls = nil
}

// cancelCall tells the peer that nobody waits for a call's reply any more. A
// forwarded draft would otherwise hold its engine's memory to its end although
// its caller left. A word that is lost costs just that.
func (l *link) cancelCall(id uint64) {
	if err := l.send(wire.Envelope{Type: wire.TypeCancelCall, ID: id}, &wire.CancelCall{}); err != nil {
		l.s.opts.Logger.WithError(err).Debug("cancel of a call not sent")
	}
}

// finish passes a reply to its call. A reply whose call gave up, or a repeated
// one, finds no call and is dropped.
func (l *link) finish(env *wire.Envelope) {
	l.mu.Lock()
	answer := l.calls[env.ID]
	delete(l.calls, env.ID)
	l.mu.Unlock()
	if answer == nil {
		return
	}
	if env.Type != wire.TypeError {
		answer <- reply{body: bytes.Clone(env.Body)}
		return
	}
	var f wire.Failure
	if err := wire.Decode(env.Body, &f); err != nil {
		answer <- reply{err: err}
		return
	}
	answer <- reply{err: &RemoteError{Kind: f.Kind, Detail: f.Detail}}
}

// readLoop takes frames until the connection ends and returns why.
func (l *link) readLoop(ctx context.Context, r *run) error {
	for {
		if err := l.conn.SetReadDeadline(time.Now().Add(l.s.opts.ReadTimeout)); err != nil {
			return err
		}
		env, n, err := l.reader.Read()
		if err != nil {
			return err
		}
		l.countIn(n)
		if err := l.take(ctx, r, env); err != nil {
			return err
		}
	}
}

// take handles one frame; an error ends the connection.
func (l *link) take(ctx context.Context, r *run, env *wire.Envelope) error {
	if env.Reply {
		l.finish(env)
		return nil
	}
	if env.Type == wire.TypeHeartbeat {
		var hb wire.Heartbeat
		if err := wire.Decode(env.Body, &hb); err != nil {
			return err
		}
		l.s.hear(l, l.expand(hb))
		return nil
	}
	if env.Type == wire.TypeCancelCall {
		l.stopServing(env.ID)
		return nil
	}
	h := l.s.handlers[env.Type]
	switch {
	case h == nil:
		l.refuse(env.ID, FailureUnknownType, "this daemon does not take the message type")
	case env.ID == 0:
		if _, err := handle(ctx, h, l.peer.Node, env.Body); err != nil {
			l.s.opts.Logger.WithError(err).WithField("instance", l.peer.Node.Instance).Warn("message not taken")
		}
	default:
		l.touch()
		l.serveCall(ctx, r, h, *env)
	}
	return nil
}

// serveCall answers a call on its own goroutine, or refuses it when the
// connection's slots are taken.
func (l *link) serveCall(ctx context.Context, r *run, h Handler, env wire.Envelope) {
	slots := l.serving[laneOf(env.Type)]
	select {
	case slots <- struct{}{}:
	default:
		l.refuse(env.ID, FailureBusy, "too many calls on this connection")
		return
	}
	env.Body = bytes.Clone(env.Body)
	ctx, cancel := context.WithTimeout(ctx, l.s.opts.callTimeout(env.Type))
	l.startServing(env.ID, cancel)
	started := r.spawn(func() {
		defer func() { <-slots }()
		defer l.stopServing(env.ID)
		answer, err := handle(ctx, h, l.peer.Node, env.Body)
		if err == nil {
			err = l.send(wire.Envelope{Type: env.Type, ID: env.ID, Reply: true}, answer)
		}
		if err != nil {
			l.refuse(env.ID, FailureHandler, err.Error())
		}
	})
	if !started {
		l.stopServing(env.ID)
		<-slots
	}
}

func (l *link) startServing(id uint64, cancel context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served[id] = cancel
}

// stopServing ends the context of a call that the peer made; it does nothing
// when the call has ended.
func (l *link) stopServing(id uint64) {
	l.mu.Lock()
	cancel := l.served[id]
	delete(l.served, id)
	l.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// busy says whether calls are in progress, in either direction.
func (l *link) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.calls) > 0 || len(l.served) > 0
}

// handle runs a handler and turns its panic into an error, so that one message
// cannot end the whole service.
func handle(ctx context.Context, h Handler, from wire.NodeID, body []byte) (answer any, err error) {
	var catcher panics.Catcher
	catcher.Try(func() { answer, err = h(ctx, from, body) })
	if r := catcher.Recovered(); r != nil {
		return nil, r.AsError()
	}
	return answer, err
}

func (l *link) refuse(id uint64, kind, detail string) {
	err := l.send(wire.Envelope{Type: wire.TypeError, ID: id, Reply: true}, &wire.Failure{Kind: kind, Detail: detail})
	if err != nil {
		l.s.opts.Logger.WithError(err).Debug("refusal not sent")
	}
}
