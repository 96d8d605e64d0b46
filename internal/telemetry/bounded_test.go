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

// keeper keeps lines; while gate is set it blocks.
type keeper struct {
	mu    sync.Mutex
	lines []string
	gate  chan struct{}
}

func (k *keeper) HandleLog(e *log.Entry) error {
	if k.gate != nil {
		<-k.gate
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lines = append(k.lines, kindOf(e))
	return nil
}

func decision(l *log.Logger, step string) {
	l.WithFields(log.Fields{fieldStep: step}).Info("decision")
}

// Symptom: a daemon stands still, with all its requests.
// Sequence: nobody reads its standard output, the pipe fills, and requests go on.
// Cause: a log line written inside a request.
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
	for range 40 { // seconds, of 200 lines each: many times what the pipe takes
		now = now.Add(time.Second)
		for range kindLines {
			decision(logger, "plan")
		}
	}
	decision(logger, stepFail)
	if got := b.kinds(); len(got) == 0 {
		t.Error("nothing was left out: the test does not fill the queue")
	}
	go func() { _, _ = io.Copy(io.Discard, r) }() // let the writer end
	b.Close(time.Minute)
	_ = w.Close()
}

func TestFailuresComeBeforeSuccesses(t *testing.T) {
	k := &keeper{gate: make(chan struct{})}
	now := time.Unix(1000, 0)
	b := newBounded(k, func() time.Time { return now })
	logger := &log.Logger{Handler: b, Level: log.InfoLevel}
	for range 30 {
		now = now.Add(time.Second)
		for range kindLines {
			decision(logger, "plan")
		}
	}
	for range 10 {
		decision(logger, stepFail)
	}
	close(k.gate)
	b.Close(time.Minute)
	count := map[string]int{}
	for _, kind := range k.lines {
		count[kind]++
	}
	if count["decision.fail"] != 10 || count["decision.plan"] > queueLines-reserveLines+1 {
		t.Errorf("lines by kind: %v", count)
	}
}

func TestLinesOfAKindAreBoundedAndCounted(t *testing.T) {
	k := &keeper{}
	now := time.Unix(1000, 0)
	b := newBounded(k, func() time.Time { return now })
	logger := &log.Logger{Handler: b, Level: log.InfoLevel}
	for range kindLines + 7 {
		decision(logger, "plan")
	}
	logger.Info("started")
	now = now.Add(time.Second)
	decision(logger, "plan")
	b.Close(time.Minute)
	count := map[string]int{}
	for _, kind := range k.lines {
		count[kind]++
	}
	want := map[string]int{"decision.plan": kindLines + 1, "started": 1, "log lines left out": 1}
	if diff := cmp.Diff(want, count); diff != "" {
		t.Error(diff)
	}
}

// BenchmarkBounded is the cost of a line for the goroutine that tells it.
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
				h := NewBounded(inner.Handler)
				defer h.Close(time.Minute)
				logger = &log.Logger{Handler: h, Level: log.InfoLevel}
			}
			b.ReportAllocs()
			for b.Loop() {
				decision(logger, strings.ToLower("plan"))
			}
		})
	}
}
