package peer

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/panics"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// ErrNotSent means that no byte of a call left this daemon. After any other
// error of Call the peer may have executed the call.
var ErrNotSent = errors.New("call was not sent")

// ErrLinkLost means that the connection ended before the reply arrived.
var ErrLinkLost = errors.New("connection to the peer was lost")

// The values of wire.Failure.Kind that this package sends.
const (
	FailureUnknownType = "unknown-type" // no handler is registered for the message type
	FailureBusy        = "busy"         // the connection's limit of concurrent calls is reached
	FailureHandler     = "handler"      // the handler returned an error or panicked
)

// RemoteError is the error that the peer returned for a call.
type RemoteError struct {
	Kind   string // one of the Failure constants
	Detail string
}

// Error implements error.
func (e *RemoteError) Error() string { return "peer answered " + e.Kind + ": " + e.Detail }

// Send queues a one-way message to a connected peer. It never blocks. The message
// is lost when there is no link to the peer or the send queue overflows.
func (s *Service) Send(to wire.NodeID, t wire.Type, msg any) {
	if l := s.link(to); l != nil {
		if err := l.send(wire.Envelope{Type: t}, msg); err != nil {
			s.opts.Logger.WithError(err).WithField("instance", to.Instance).Debug("message dropped")
		}
	}
}

// link returns the link to a peer, or nil when there is none to this incarnation.
func (s *Service) link(to wire.NodeID) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.links[to.Instance]; l != nil && l.peer.Node == to {
		return l
	}
	return nil
}

// Call sends req to a peer and decodes its answer into reply, within ctx and the
// timeout of the message type. It connects first when there is no link to the
// peer. An error that matches ErrNotSent (errors.Is) means that the peer has not
// executed the call; a *RemoteError was returned by the peer.
func (s *Service) Call(ctx context.Context, to wire.NodeID, t wire.Type, req, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.callTimeout(t))
	defer cancel()
	l, err := s.linkOrOpen(ctx, to)
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	l.markUsed()
	return l.call(ctx, t, req, reply)
}

// linkOrOpen returns the link to a peer and opens one if necessary. A link to a
// daemon that is not a neighbour is closed after IdleTimeout without calls.
func (s *Service) linkOrOpen(ctx context.Context, to wire.NodeID) (*link, error) {
	if l := s.link(to); l != nil {
		return l, nil
	}
	r := s.currentRun.Load()
	m, ok := s.View().Member(to.Instance)
	switch {
	case r == nil:
		return nil, errStopped
	case !ok || m.Node != to:
		return nil, errors.Errorf("daemon %s/%d is not a known live member", to.Instance, to.Incarnation)
	case s.opts.IsBlocked(m.Address):
		return nil, errBlocked
	}
	opened := make(chan openResult, 1)
	started := r.spawn(func() {
		l, err := s.openLink(r, m.Address)
		opened <- openResult{link: l, err: err}
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
	case o := <-opened:
		if l := s.link(to); l != nil {
			return l, nil
		}
		return o.linkTo(to)
	}
}

// openResult is the outcome of an attempt to open a connection.
type openResult struct {
	link *link
	err  error
}

// linkTo returns the opened connection if it leads to the given daemon. Another
// incarnation may listen at the address by now, and must not get the call.
func (o openResult) linkTo(to wire.NodeID) (*link, error) {
	if o.err != nil {
		return nil, errors.Wrap(o.err, "connect to peer")
	}
	if o.link.peer.Node != to {
		return nil, errors.Errorf("the address of %s/%d is now that of %s/%d", to.Instance, to.Incarnation,
			o.link.peer.Node.Instance, o.link.peer.Node.Incarnation)
	}
	return o.link, nil
}

// call sends one call on the link and waits for its reply or the end of ctx.
func (l *link) call(ctx context.Context, t wire.Type, req, reply any) error {
	id, result, err := l.beginCall(t)
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	defer l.endCall(id, t)
	if err := l.send(wire.Envelope{Type: t, ID: id}, req); err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	select {
	case <-ctx.Done():
		l.cancelCall(id)
		return errors.Wrap(ctx.Err(), "call peer")
	case r := <-result:
		if r.err != nil {
			return r.err
		}
		return wire.Decode(r.body, reply)
	}
}

// callClass separates calls that take milliseconds from forwarded requests, which
// last as long as the client's request. Each class has its own concurrency limit,
// so that forwarded requests cannot use up the slots of calls for claims and
// bundles.
type callClass uint8

const (
	classShortCall callClass = iota
	classForward
	numCallClasses
)

// classOf returns the class of a message type.
func classOf(t wire.Type) callClass {
	if t == wire.TypeForward {
		return classForward
	}
	return classShortCall
}

// beginCall allocates an ID for an outgoing call and the channel on which its
// result arrives. It fails when the limit of the call's class is reached, which is
// the same for outgoing and incoming calls.
func (l *link) beginCall(t wire.Type) (uint64, chan callResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outboundResults == nil {
		return 0, nil, ErrLinkLost
	}
	class := classOf(t)
	if l.outboundCalls[class] >= cap(l.inboundSlots[class]) {
		return 0, nil, errors.Errorf("limit of %d concurrent calls to the peer is reached", l.outboundCalls[class])
	}
	l.outboundCalls[class]++
	l.nextID++
	result := make(chan callResult, 1)
	l.outboundResults[l.nextID] = result
	return l.nextID, result, nil
}

// endCall frees the slot of an outgoing call.
func (l *link) endCall(id uint64, t wire.Type) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outboundCalls[classOf(t)]--
	delete(l.outboundResults, id)
}

// failCalls ends all outgoing calls with ErrLinkLost and makes later ones fail.
func (l *link) failCalls() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, result := range l.outboundResults {
		result <- callResult{err: ErrLinkLost}
	}
	l.outboundResults = nil
}

// cancelCall asks the peer to cancel a call whose caller no longer waits.
// Otherwise a forwarded completion would hold engine memory until it is complete,
// although its client has disconnected. The message is best effort: when it is
// lost, the call runs to its end.
func (l *link) cancelCall(id uint64) {
	if err := l.send(wire.Envelope{Type: wire.TypeCancelCall, ID: id}, &wire.CancelCall{}); err != nil {
		l.s.opts.Logger.WithError(err).Debug("call cancellation not sent")
	}
}

// completeCall delivers a reply to the call that waits for it. A duplicate reply, or
// one for a call that has already ended, is dropped.
func (l *link) completeCall(env *wire.Envelope) {
	l.mu.Lock()
	result := l.outboundResults[env.ID]
	delete(l.outboundResults, env.ID)
	l.mu.Unlock()
	if result == nil {
		return
	}
	if env.Type != wire.TypeError {
		result <- callResult{body: bytes.Clone(env.Body)}
		return
	}
	var f wire.Failure
	if err := wire.Decode(env.Body, &f); err != nil {
		result <- callResult{err: err}
		return
	}
	result <- callResult{err: &RemoteError{Kind: f.Kind, Detail: f.Detail}}
}

// readLoop handles incoming frames until the connection fails and returns the error.
func (l *link) readLoop(ctx context.Context, r *run) error {
	for {
		if err := l.conn.SetReadDeadline(time.Now().Add(l.s.opts.ReadTimeout)); err != nil {
			return err
		}
		env, n, err := l.reader.Read()
		if err != nil {
			return err
		}
		l.countReceived(n)
		if err := l.handleFrame(ctx, r, env); err != nil {
			return err
		}
	}
}

// handleFrame processes one incoming frame. An error ends the connection.
func (l *link) handleFrame(ctx context.Context, r *run, env *wire.Envelope) error {
	if env.Reply {
		l.completeCall(env)
		return nil
	}
	if env.Type == wire.TypeHeartbeat {
		var hb wire.Heartbeat
		if err := wire.Decode(env.Body, &hb); err != nil {
			return err
		}
		l.s.handleHeartbeat(l, l.expandHeartbeat(hb))
		return nil
	}
	if env.Type == wire.TypeCancelCall {
		l.cancelInboundCall(env.ID)
		return nil
	}
	h := l.s.handlers[env.Type]
	switch {
	case h == nil:
		l.sendError(env.ID, FailureUnknownType, "this daemon does not take the message type")
	case env.ID == 0:
		if _, err := runHandler(ctx, h, l.peer.Node, env.Body); err != nil {
			l.s.opts.Logger.WithError(err).WithField("instance", l.peer.Node.Instance).Warn("message handler failed")
		}
	default:
		l.markUsed()
		l.serveCall(ctx, r, h, *env)
	}
	return nil
}

// serveCall runs an incoming call's handler on its own goroutine and sends the
// reply. It returns FailureBusy to the peer when all slots of the call's class are
// in use.
func (l *link) serveCall(ctx context.Context, r *run, h Handler, env wire.Envelope) {
	slots := l.inboundSlots[classOf(env.Type)]
	select {
	case slots <- struct{}{}:
	default:
		l.sendError(env.ID, FailureBusy, "too many calls on this connection")
		return
	}
	env.Body = bytes.Clone(env.Body)
	ctx, cancel := context.WithTimeout(ctx, l.s.opts.callTimeout(env.Type))
	l.trackInboundCall(env.ID, cancel)
	started := r.spawn(func() {
		defer func() { <-slots }()
		defer l.cancelInboundCall(env.ID)
		answer, err := runHandler(ctx, h, l.peer.Node, env.Body)
		if err == nil {
			err = l.send(wire.Envelope{Type: env.Type, ID: env.ID, Reply: true}, answer)
		}
		if err != nil {
			l.sendError(env.ID, FailureHandler, err.Error())
		}
	})
	if !started {
		l.cancelInboundCall(env.ID)
		<-slots
	}
}

// trackInboundCall stores the function that cancels an incoming call.
func (l *link) trackInboundCall(id uint64, cancel context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inboundCancels[id] = cancel
}

// cancelInboundCall cancels the context of an incoming call. It does nothing when
// the call has ended.
func (l *link) cancelInboundCall(id uint64) {
	l.mu.Lock()
	cancel := l.inboundCancels[id]
	delete(l.inboundCancels, id)
	l.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// hasCalls reports whether calls are in progress, in either direction.
func (l *link) hasCalls() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.outboundResults) > 0 || len(l.inboundCancels) > 0
}

// runHandler runs a handler and returns a panic as an error, so that one message
// cannot stop the whole service.
func runHandler(ctx context.Context, h Handler, from wire.NodeID, body []byte) (answer any, err error) {
	var catcher panics.Catcher
	catcher.Try(func() { answer, err = h(ctx, from, body) })
	if r := catcher.Recovered(); r != nil {
		return nil, r.AsError()
	}
	return answer, err
}

// sendError answers a call with a wire.Failure. Its id is 0 for a one-way message.
func (l *link) sendError(id uint64, kind, detail string) {
	err := l.send(wire.Envelope{Type: wire.TypeError, ID: id, Reply: true}, &wire.Failure{Kind: kind, Detail: detail})
	if err != nil {
		l.s.opts.Logger.WithError(err).Debug("error reply not sent")
	}
}
