package telemetry

import (
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/google/go-cmp/cmp"
)

// recordingHandler records the kinds of the lines that it handles. If gate is not nil, it
// blocks until the gate is closed.
type recordingHandler struct {
	mu    sync.Mutex
	kinds []string
	gate  chan struct{}
}

func (k *recordingHandler) HandleLog(e *log.Entry) error {
	if k.gate != nil {
		<-k.gate
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.kinds = append(k.kinds, kindOf(e))
	return nil
}

// logDecision logs a decision with a step, as the daemon does for a request.
func logDecision(l *log.Logger, step string) {
	l.WithFields(log.Fields{stepField: step}).Info("decision")
}

// Guards against requests that block in logging. If nobody reads the daemon's standard
// output, the pipe fills, and a handler that writes synchronously blocks every request
// that logs a line.
func TestLoggingNeverBlocks(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	inner, err := NewLogger(w, "info", FormatJSON)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	b := newBounded(inner.Handler, func() time.Time { return now })
	logger := &log.Logger{Handler: b, Level: log.InfoLevel}
	for range 40 { // seconds, of 200 lines each: many times the capacity of the pipe
		now = now.Add(time.Second)
		for range maxLinesPerKind {
			logDecision(logger, "plan")
		}
	}
	logDecision(logger, failedStep)
	if got := b.droppedKinds(); len(got) == 0 {
		t.Error("no lines were dropped: the test does not fill the queue")
	}
	go func() { _, _ = io.Copy(io.Discard, r) }() // unblock the writer, so that Close can drain the queue
	b.Close(time.Minute)
	_ = w.Close()
}

// The writer is blocked and the queue is full of plans. All ten failures must still be
// logged, because part of the queue is reserved for them.
func TestFailuresComeBeforeSuccesses(t *testing.T) {
	k := &recordingHandler{gate: make(chan struct{})}
	now := time.Unix(1000, 0)
	b := newBounded(k, func() time.Time { return now })
	logger := &log.Logger{Handler: b, Level: log.InfoLevel}
	for range 30 {
		now = now.Add(time.Second)
		for range maxLinesPerKind {
			logDecision(logger, "plan")
		}
	}
	for range 10 {
		logDecision(logger, failedStep)
	}
	close(k.gate)
	b.Close(time.Minute)
	count := map[string]int{}
	for _, kind := range k.kinds {
		count[kind]++
	}
	if count["decision.fail"] != 10 || count["decision.plan"] > queueSize-failureReserve+1 {
		t.Errorf("lines by kind: %v", count)
	}
}

// Of one kind, only maxLinesPerKind lines are logged in a second. The next second begins
// with a summary of the dropped lines. Lines of other kinds are not affected.
func TestLinesOfAKindAreBoundedAndCounted(t *testing.T) {
	k := &recordingHandler{}
	now := time.Unix(1000, 0)
	b := newBounded(k, func() time.Time { return now })
	logger := &log.Logger{Handler: b, Level: log.InfoLevel}
	for range maxLinesPerKind + 7 {
		logDecision(logger, "plan")
	}
	logger.Info("started")
	now = now.Add(time.Second)
	logDecision(logger, "plan")
	b.Close(time.Minute)
	count := map[string]int{}
	for _, kind := range k.kinds {
		count[kind]++
	}
	want := map[string]int{"decision.plan": maxLinesPerKind + 1, "started": 1, "log lines left out": 1}
	if diff := cmp.Diff(want, count); diff != "" {
		t.Error(diff)
	}
}

// BenchmarkBounded measures the time that a log call takes in its caller's goroutine, with
// and without the asynchronous handler.
func BenchmarkBounded(b *testing.B) {
	for _, bounded := range []bool{false, true} {
		name := "direct"
		if bounded {
			name = "bounded"
		}
		b.Run(name, func(b *testing.B) {
			inner, err := NewLogger(io.Discard, "info", FormatJSON)
			if err != nil {
				b.Fatal(err)
			}
			logger := inner
			if bounded {
				h := NewAsyncHandler(inner.Handler)
				defer h.Close(time.Minute)
				logger = &log.Logger{Handler: h, Level: log.InfoLevel}
			}
			b.ReportAllocs()
			for b.Loop() {
				logDecision(logger, strings.ToLower("plan"))
			}
		})
	}
}
