package frontend

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"
)

// The limits by which connections and requests of clients are ended.
const (
	LimitConnections = "connections" // too many are open, and a new one was closed unread
	LimitStalled     = "stalled"     // a new connection or request took the place of one that was unfinished
	LimitHeads       = "heads"       // the memory for the heads of requests is used up
	LimitBodies      = "bodies"      // the memory for the bodies of requests is used up
	LimitAnswers     = "answers"     // the memory for the answers of upstreams is used up
	LimitRequests    = "requests"    // as many requests are in flight as may be
)

// LimitObserver counts the connections and requests that a limit ended. telemetry.Instruments implements it.
type LimitObserver interface {
	// ClientLimited is called with one of the limits above.
	ClientLimited(limit string)
}

// limitLogInterval is the least time between two log lines on the same limit.
const limitLogInterval = time.Second

// LimitReporter counts and logs the connections and requests of a listener that a limit ended. A crowd of
// clients causes thousands of them in a second, but one log line. It is safe for concurrent use.
type LimitReporter struct {
	listener string
	observer LimitObserver // nil counts nothing
	logger   log.Interface

	mu   sync.Mutex
	logs map[string]*limitLog // by limit
}

// limitLog is the log of one limit.
type limitLog struct {
	sometimes rate.Sometimes
	times     atomic.Int64 // since the last line
}

// NewLimitReporter returns a reporter for the listener of a name. observer may be nil.
func NewLimitReporter(listener string, observer LimitObserver, logger log.Interface) *LimitReporter {
	return &LimitReporter{listener: listener, observer: observer, logger: logger, logs: map[string]*limitLog{}}
}

// Report counts and logs that a limit ended a connection or a request.
func (r *LimitReporter) Report(limit string) {
	if r.observer != nil {
		r.observer.ClientLimited(limit)
	}
	l := r.log(limit)
	l.times.Add(1)
	l.sometimes.Do(func() {
		r.logger.WithFields(log.Fields{"listener": r.listener, "limit": limit, "times": l.times.Swap(0)}).Warn("limit of clients reached")
	})
}

func (r *LimitReporter) log(limit string) *limitLog {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.logs[limit]
	if l == nil {
		l = &limitLog{sometimes: rate.Sometimes{Interval: limitLogInterval}}
		r.logs[limit] = l
	}
	return l
}
