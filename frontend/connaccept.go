package frontend

import (
	"context"
	"net"
	"runtime"
	"time"

	"github.com/corianderturn/corianderturn/internal/accept"
)

// Accept implements net.Listener.
func (l *connLimiter) Accept() (net.Conn, error) {
	for {
		conn, err := accept.Next(context.Background(), l.Listener) // net/http would pause for up to a second
		if err != nil {
			return nil, err
		}
		c := &limitedConn{Conn: conn, limiter: l, place: make(chan struct{}), lease: headLease{budget: l.heads}}
		if l.admitOrYield(c) || l.awaitRoom(c) {
			return c, nil
		}
		l.closeUnread(c)
	}
}

// admitOrYield admits a new connection. If it can't, it lets the goroutines of the open connections run and tries
// again: they may be about to end, while this goroutine accepts one connection after the other.
func (l *connLimiter) admitOrYield(c *limitedConn) bool {
	if l.admitNow(c) {
		return true
	}
	runtime.Gosched()
	return l.admitNow(c)
}

// awaitRoom waits until a new connection is admitted, for as long as roomWait says.
//
// A crowd whose requests are short can be accepted faster than the goroutines of its connections run. If it were
// closed unread, it would come back at once, and the checks of load balancers would be closed with it.
func (l *connLimiter) awaitRoom(c *limitedConn) bool {
	wait := l.roomWait(time.Now())
	if wait <= 0 {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-l.room:
			if l.admitNow(c) {
				return true
			}
		case <-timer.C:
			return l.admitNow(c)
		}
	}
}

// roomWait returns the time for which no other connection is accepted while a new one can neither be served nor wait;
// 0 or less means that it is closed at once. That is roomTimeout or, if most connections have unfinished requests, the
// time until the next of them gives its place: many others follow, so that few connections wait in the kernel.
func (l *connLimiter) roomWait(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.roomTimeout > 0 {
		return l.roomTimeout
	}
	if 2*l.stalled.Len() <= l.maxServed {
		return 0
	}
	for e := l.stalled.Front(); e != nil; e = e.Next() {
		if wait := l.stallTimeout - now.Sub(e.Value.(*limitedConn).began); wait > 0 {
			return wait
		}
	}
	return 0
}

// noteRoom notes that a new connection may be admitted, for awaitRoom.
func (l *connLimiter) noteRoom() {
	select {
	case l.room <- struct{}{}:
	default: // noted before
	}
}

// admitNow admits a new connection if it can without waiting.
func (l *connLimiter) admitNow(c *limitedConn) bool {
	victim, ok := l.admit(c)
	if victim != nil {
		_ = victim.Close() // the server notices
	}
	return ok
}

// admit gives a new connection a place or lets it wait for one. It returns false if too many wait, and
// the idle connection that lost its place, if any, for the caller to close.
func (l *connLimiter) admit(c *limitedConn) (victim *limitedConn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.served) >= l.maxServed {
		victim = l.takeForNew()
	}
	if len(l.served) < l.maxServed {
		l.serve(c)
		return victim, true
	}
	if l.waiting.Len() >= l.maxWaiting {
		return nil, false
	}
	l.waiting.PushBack(c)
	return nil, true
}

// closeUnread closes a connection that got no place.
func (l *connLimiter) closeUnread(c *limitedConn) {
	_ = c.Close() // its caller sees the end in any case
	l.report.Report(LimitConnections)
}

// awaitPlace waits until the connection is served. It returns false after placeTimeout.
func (c *limitedConn) awaitPlace() bool {
	select {
	case <-c.place:
		return true
	default:
	}
	timer := time.NewTimer(c.limiter.placeTimeout)
	defer timer.Stop()
	select {
	case <-c.place:
		return true
	case <-timer.C:
	}
	l := c.limiter
	victim, served := l.admitAfterWait(c)
	if victim != nil {
		_ = victim.Close() // the server notices
	}
	if !served {
		l.closeUnread(c)
	}
	return served
}

// admitAfterWait is admit for a connection that has waited. It must not wait again.
func (l *connLimiter) admitAfterWait(c *limitedConn) (victim *limitedConn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopWaiting(c) {
		return nil, true // it got a place just now
	}
	if victim = l.takeForNew(); victim == nil {
		return nil, false
	}
	l.serve(c)
	return victim, true
}
