package upstream

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	// lateReplyTimeout is how long the reply to a call is awaited after the call was given up.
	lateReplyTimeout = time.Second
	// maxLateReplies is the number of such replies that are awaited at a time.
	maxLateReplies = 128
)

// LateReplies awaits the replies to calls that were given up: a reply may state that the upstream wants no
// requests, or grant what must be freed. It is for calls whose work ends by itself. Most upstreams drop a
// request when its connection is closed, so other calls are closed when they are given up. The zero value is
// ready to use, and it is safe for concurrent use.
type LateReplies struct{ awaited atomic.Int64 }

// AwaitReply runs call until ctx ends. If the call has been sent by then, it goes on for up to 1 s, and
// late, if not nil, is called with its result. A call that waits for a connection ends with ctx.
func AwaitReply[T any](ctx context.Context, l *LateReplies, call func(context.Context) (T, error), late func(T, error)) (T, error) {
	var sent atomic.Bool
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	callCtx = httptrace.WithClientTrace(callCtx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	replies := make(chan reply[T], 1)
	go func() {
		v, err := call(callCtx)
		replies <- reply[T]{v, err}
	}()
	select {
	case r := <-replies:
		cancel()
		return r.value, r.err
	case <-ctx.Done():
	}
	if !sent.Load() || !l.begin() {
		cancel()
		r := <-replies
		return r.value, r.err
	}
	go func() {
		defer l.awaited.Add(-1)
		defer cancel()
		defer time.AfterFunc(lateReplyTimeout, cancel).Stop()
		if r := <-replies; late != nil {
			late(r.value, r.err)
		}
	}()
	var none T
	return none, NewCallError(Maybe, 0, ctx.Err())
}

// reply is the result of a call.
type reply[T any] struct {
	value T
	err   error
}

// begin reports whether one more reply may be awaited, and counts it.
func (l *LateReplies) begin() bool {
	if l.awaited.Add(1) <= maxLateReplies {
		return true
	}
	l.awaited.Add(-1)
	return false
}
