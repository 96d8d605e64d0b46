package telemetry

import (
	"sort"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/sourcegraph/conc"
)

const (
	// queueLines is how many lines wait for the writer; at some 300 bytes each that is
	// under a megabyte.
	queueLines = 2048
	// reserveLines of them are kept for lines that tell of failures.
	reserveLines = 512
	// kindLines is how many lines a second are written of one kind: what a daemon of
	// the design size writes of its plans at the peak, 26 requests a second, several
	// times over.
	kindLines = 200
)

// Bounded is a log handler that never blocks its caller and bounds what it writes.
//
// What goes wrong without it: whoever reads standard output stops reading, the pipe
// fills, and the write inside a request waits for ever; one would notice a daemon
// that answers nothing and says nothing. Under a burst, lines cost the processor time
// that requests need. So lines are counted by kind and second, a bounded queue takes
// them, one goroutine writes, and what was left out is told once a second by kind.
// Lines of failures are of kinds of their own, and the last part of the queue is
// theirs.
type Bounded struct {
	next  log.Handler
	queue chan *log.Entry
	now   func() time.Time
	wg    conc.WaitGroup

	mu      sync.Mutex
	closed  bool
	second  int64
	written map[string]int // lines of this second, by kind
	left    map[string]int // lines left out and not told yet, by kind
}

// NewBounded returns a handler that writes to next from a goroutine of its own.
// Close ends it.
func NewBounded(next log.Handler) *Bounded { return newBounded(next, time.Now) }

func newBounded(next log.Handler, now func() time.Time) *Bounded {
	b := &Bounded{next: next, queue: make(chan *log.Entry, queueLines), now: now, written: map[string]int{}, left: map[string]int{}}
	b.wg.Go(b.write)
	return b
}

// HandleLog implements log.Handler.
func (b *Bounded) HandleLog(e *log.Entry) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil
	}
	kind := kindOf(e)
	if second := b.now().Unix(); second != b.second {
		b.second = second
		clear(b.written)
		b.tellLeftOut(e)
	}
	if b.written[kind] >= kindLines {
		b.left[kind]++
		return nil
	}
	b.written[kind]++
	b.put(e, kind)
	return nil
}

// put queues a line or counts it as left out; b.mu is held, so that nobody else adds.
func (b *Bounded) put(e *log.Entry, kind string) {
	free := cap(b.queue) - len(b.queue)
	if !failure(e) {
		free -= reserveLines
	}
	if free <= 0 {
		b.left[kind]++
		return
	}
	b.queue <- e // there is room, and only this adds
}

// tellLeftOut queues one line that counts what was left out; b.mu is held.
func (b *Bounded) tellLeftOut(like *log.Entry) {
	if len(b.left) == 0 || cap(b.queue) == len(b.queue) {
		return
	}
	fields := log.Fields{}
	for kind, n := range b.left {
		fields[kind] = n
	}
	clear(b.left)
	b.queue <- &log.Entry{Logger: like.Logger, Fields: fields, Level: log.WarnLevel, Timestamp: like.Timestamp, Message: "log lines left out"}
}

func (b *Bounded) write() {
	for e := range b.queue {
		_ = b.next.HandleLog(e) // there is nowhere left to tell it
	}
}

// Close writes what is queued and ends the handler. It gives up after limit, when
// nobody reads; the goroutine then ends with the process.
func (b *Bounded) Close(limit time.Duration) {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.queue)
	}
	b.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.wg.Wait()
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// fieldStep is the field of a decision's kind.
const fieldStep = "step"

// stepFail is the step of a request that ended without an answer.
const stepFail = "fail"

// kindOf tells lines apart that are bounded apart.
func kindOf(e *log.Entry) string {
	if step, ok := e.Fields[fieldStep].(string); ok {
		return e.Message + "." + step
	}
	return e.Message
}

// failure says whether a line tells of one.
func failure(e *log.Entry) bool {
	return e.Level >= log.WarnLevel || e.Fields[fieldStep] == stepFail
}

// kinds returns the kinds of which lines were left out and not told yet, in order.
func (b *Bounded) kinds() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]string, 0, len(b.left))
	for kind := range b.left {
		out = append(out, kind)
	}
	sort.Strings(out)
	return out
}
