package telemetry

import (
	"sort"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/sourcegraph/conc"
)

const (
	// queueSize is the capacity of the queue in lines. At about 300 bytes a line, a full
	// queue takes less than a megabyte.
	queueSize = 2048
	// failureReserve is the part of the queue that only lines about failures may use.
	failureReserve = 512
	// maxLinesPerKind limits the lines of one kind that are accepted in a second. It is
	// several times the rate of the most frequent kind, the plan of a request: at its
	// peak load a daemon logs 26 of them a second.
	maxLinesPerKind = 200
)

// AsyncHandler is an asynchronous log handler that never blocks its caller and limits the
// rate of lines.
//
// With a synchronous handler, a process that stops reading the daemon's standard output
// stops the daemon as well: the pipe fills, and every request that logs a line blocks in
// the write. In a burst of requests, logging would also use processor time that the
// requests need. Therefore each kind of line has a limit per second, accepted lines go
// through a queue of fixed size, and a single goroutine writes them. A line of its own
// reports once a second how many lines of each kind were dropped.
//
// The kind of a line is its message, and for a decision also the step. Decisions that
// fail a request are thus limited apart from the others. A part of the queue is reserved
// for lines about failures.
type AsyncHandler struct {
	next  log.Handler
	queue chan *log.Entry
	now   func() time.Time
	wg    conc.WaitGroup

	mu            sync.Mutex
	closed        bool
	currentSecond int64          // Unix time
	written       map[string]int // lines accepted in currentSecond, by kind
	dropped       map[string]int // dropped lines that no summary has reported yet, by kind
}

// NewAsyncHandler returns a handler that passes lines to next in a goroutine of its own.
// Close stops the goroutine.
func NewAsyncHandler(next log.Handler) *AsyncHandler { return newBounded(next, time.Now) }

func newBounded(next log.Handler, now func() time.Time) *AsyncHandler {
	b := &AsyncHandler{next: next, queue: make(chan *log.Entry, queueSize), now: now, written: map[string]int{}, dropped: map[string]int{}}
	b.wg.Go(b.writeLoop)
	return b
}

// HandleLog implements log.Handler.
func (b *AsyncHandler) HandleLog(e *log.Entry) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil
	}
	kind := kindOf(e)
	if second := b.now().Unix(); second != b.currentSecond {
		b.currentSecond = second
		clear(b.written)
		b.enqueueDropSummary(e)
	}
	if b.written[kind] >= maxLinesPerKind {
		b.dropped[kind]++
		return nil
	}
	b.written[kind]++
	b.enqueue(e, kind)
	return nil
}

// enqueue queues a line, or counts it as dropped if there is no room. The caller holds
// b.mu.
func (b *AsyncHandler) enqueue(e *log.Entry, kind string) {
	free := cap(b.queue) - len(b.queue)
	if !isFailure(e) {
		free -= failureReserve
	}
	if free <= 0 {
		b.dropped[kind]++
		return
	}
	b.queue <- e // cannot block: there is room, and b.mu excludes other senders
}

// enqueueDropSummary queues one line with the number of dropped lines by kind, if any.
// trigger is the line being handled, from which the summary takes its time and logger.
// The caller holds b.mu.
func (b *AsyncHandler) enqueueDropSummary(trigger *log.Entry) {
	if len(b.dropped) == 0 || cap(b.queue) == len(b.queue) {
		return
	}
	fields := log.Fields{}
	for kind, n := range b.dropped {
		fields[kind] = n
	}
	clear(b.dropped)
	b.queue <- &log.Entry{Logger: trigger.Logger, Fields: fields, Level: log.WarnLevel, Timestamp: trigger.Timestamp, Message: "log lines left out"}
}

// writeLoop passes the queued lines to the next handler until the queue is closed.
func (b *AsyncHandler) writeLoop() {
	for e := range b.queue {
		_ = b.next.HandleLog(e) // an error of the log itself cannot be logged
	}
}

// Close writes the queued lines and stops the handler. It returns after timeout even if
// the writer is still blocked; the writer's goroutine then remains until the process
// exits.
func (b *AsyncHandler) Close(timeout time.Duration) {
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
	case <-time.After(timeout):
	}
}

// stepField is the log field with the step of a decision, such as plan or reserve.
const stepField = "step"

// failedStep is the step of the decision that fails a request.
const failedStep = "fail"

// kindOf returns the kind of a line: its message and, for a decision, its step.
func kindOf(e *log.Entry) string {
	if step, ok := e.Fields[stepField].(string); ok {
		return e.Message + "." + step
	}
	return e.Message
}

// isFailure reports whether a line is about a failure: a warning, an error or a failed
// request.
func isFailure(e *log.Entry) bool {
	return e.Level >= log.WarnLevel || e.Fields[stepField] == failedStep
}

// droppedKinds returns the sorted kinds with dropped lines that no summary has reported
// yet.
func (b *AsyncHandler) droppedKinds() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]string, 0, len(b.dropped))
	for kind := range b.dropped {
		out = append(out, kind)
	}
	sort.Strings(out)
	return out
}
