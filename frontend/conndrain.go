package frontend

import (
	"context"
	"net/http"
	"time"
)

// drain closes the listener and waits until no connection is open, or returns ctx's error. It closes
// connections that have been idle for lingerTimeout, and those that bring no byte within unusedTimeout.
//
// http.Server.Shutdown would drop the requests whose headers have not been read whole when it is called.
func (l *connLimiter) drain(ctx context.Context) error {
	_ = l.Close()
	select {
	case <-l.stopped:
	case <-ctx.Done():
		return ctx.Err()
	}
	drained := l.beginDrain()
	tick := time.NewTicker(quietInterval)
	defer tick.Stop()
	for {
		l.closeQuiet(time.Now())
		select {
		case <-drained:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// beginDrain returns a channel that is closed when no connection is left.
func (l *connLimiter) beginDrain() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drained = make(chan struct{})
	l.reportDrained()
	return l.drained
}

// closeQuiet closes the connections that have been idle, or new without a byte, for as long as they may
// in a drain.
func (l *connLimiter) closeQuiet(now time.Time) {
	for _, c := range l.takeQuiet(now) {
		_ = c.Close() // the server notices
	}
}

// takeQuiet takes the places of the connections that closeQuiet closes.
func (l *connLimiter) takeQuiet(now time.Time) (taken []*limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.served {
		timeout := l.lingerTimeout
		if c.state == http.StateNew {
			timeout = unusedTimeout
		}
		if c.quiet && now.Sub(c.quietSince) >= timeout && !hasUnread(c.Conn) {
			l.take(c)
			taken = append(taken, c)
		}
	}
	l.reportDrained()
	return taken
}

// reportDrained closes drained if the server drains and no connection is left; l.mu must be held.
func (l *connLimiter) reportDrained() {
	if l.drained == nil || len(l.served) > 0 {
		return
	}
	select {
	case <-l.drained: // closed before
	default:
		close(l.drained)
	}
}
