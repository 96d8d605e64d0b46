package origin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/logpos"
)

// Log is the platform's log of records. Implementations are safe for concurrent use.
type Log interface {
	Append(ctx context.Context, list []Record) error
	// Read returns the records from a position on, or from the oldest one that is left if that is
	// later, and the position after the last. It waits up to wait while there are none. If the log
	// was restored from a copy, the records begin earlier, so that none is missed.
	Read(ctx context.Context, from logpos.Position, wait time.Duration) (list []Record, next logpos.Position, err error)
}

const (
	// appendInterval is how long records are collected before an append. A kill of all daemons
	// loses the records of the last interval.
	appendInterval = 300 * time.Millisecond
	// maxAppend bounds the records of one append, about 100 bytes each, and maxPending those that
	// wait for one.
	maxAppend  = 1024
	maxPending = 8192
	// logTimeout bounds one call to the log.
	logTimeout = 800 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the pause after a failed append.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// readInterval is the least time between two reads, and maxReads the most reads in a row. Each
	// read returns up to a megabyte.
	readInterval = 200 * time.Millisecond
	maxReads     = 8
)

// history appends this daemon's records to the platform's log and reads those of others. Only what
// lies there outlasts the end of all daemons.
type history struct {
	log    Log
	o      Options
	table  *Table
	ready  chan struct{} // holds a value while records wait for an append
	reader chan struct{} // semaphore of one, held during a read; guards next, readAt

	next   logpos.Position
	readAt time.Time

	mu      sync.Mutex // guards the fields below
	pending []Record
	span    logSpan
}

func newHistory(o Options, t *Table) *history {
	return &history{log: o.Log, o: o, table: t, ready: make(chan struct{}, 1), reader: make(chan struct{}, 1)}
}

// add adds records to those that wait for an append.
func (h *history) add(list []Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = append(h.pending, list...)
	if extra := len(h.pending) - maxPending; extra > 0 {
		h.o.Logger.WithField("records", extra).Warn("origin records dropped: too many wait for the log")
		h.pending = h.pending[extra:]
	}
	h.signal()
}

func (h *history) signal() {
	select {
	case h.ready <- struct{}{}:
	default:
	}
}

// appendLoop appends the records that wait.
func (h *history) appendLoop(ctx context.Context) {
	pause := minRetryDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.ready:
		}
		if !clock.Sleep(ctx, appendInterval) {
			return
		}
		list := h.take()
		if len(list) == 0 {
			continue
		}
		if err := h.append(ctx, list); err != nil {
			h.o.Logger.WithField("records", len(list)).WithError(err).Warn("append to the log of origins failed, retrying")
			h.add(list)
			clock.Sleep(ctx, pause/2+rand.N(pause/2)) // jitter: readers do not retry at once
			pause = min(2*pause, maxRetryDelay)
			continue
		}
		pause = minRetryDelay
	}
}

func (h *history) append(ctx context.Context, list []Record) error {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	return h.log.Append(ctx, list)
}

// take removes and returns the oldest records that wait.
func (h *history) take() []Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := min(len(h.pending), maxAppend)
	list := h.pending[:n:n]
	if h.pending = h.pending[n:]; len(h.pending) > 0 {
		h.signal()
	}
	return list
}

// catchUp reads what has been appended since the last read, unless that was a moment ago. Callers
// that come meanwhile wait for the read in progress.
func (h *history) catchUp(ctx context.Context) {
	select {
	case h.reader <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-h.reader }()
	if h.o.Now().Sub(h.readAt) < readInterval {
		return
	}
	if err := h.readToEnd(ctx); err != nil {
		h.o.Logger.WithError(err).Debug("read of the log of origins failed")
	}
}

// readNow reads the log to its end, however long ago the last read was.
func (h *history) readNow(ctx context.Context) error {
	select {
	case h.reader <- struct{}{}:
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
	defer func() { <-h.reader }()
	return h.readToEnd(ctx)
}

// errLongLog means that there is more in the log than is read at a time.
var errLongLog = errors.New("the end of the log was not reached")

// readToEnd reads the log to its end. The caller holds the semaphore reader.
func (h *history) readToEnd(ctx context.Context) error {
	for range maxReads {
		list, next, err := h.log.Read(ctx, h.next, 0)
		if err != nil {
			return err
		}
		h.keep(list, next)
		h.readAt = h.o.Now()
		if next == h.next {
			return nil
		}
		h.next = next
	}
	return errLongLog
}

// keep keeps the records of a read, after which the log goes on at next.
func (h *history) keep(list []Record, next logpos.Position) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.next == (logpos.Position{}) {
		h.span.begin(next.Offset == uint64(len(list)))
	}
	for _, r := range list {
		h.span.add(r)
		if !r.isVersionNote() {
			h.table.Add(h.o.Now(), r)
		}
	}
}

// provesSole reports whether the log shows that a service has had no other version for the window until
// the log was last read to its end.
func (h *history) provesSole(service, version string, window time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.span.provesSole(h.o.Now(), service, version, window)
}
