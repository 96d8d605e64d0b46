package request_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/standin/service"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// runInBackground runs c in a goroutine; the returned channel is closed when c ends.
func (f *fleet) runInBackground(c request.Completion, s *sink) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.complete(context.Background(), c, s)
	}()
	return done
}

func (s *sink) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ends > 0
}

// TestDrainWaits guards against a daemon restart that cuts off an answer: a drain begins while
// an answer streams and must wait for its end.
func TestDrainWaits(t *testing.T) {
	f := newFleet(t, nil)
	drained := make(chan error, 1)
	s := &sink{}
	s.onToken = func(i int) error {
		if i == 3 {
			go func() {
				err := f.runner.Drain(context.Background())
				if !s.ended() {
					err = errors.New("drained before the answer's end")
				}
				drained <- err
			}()
		}
		return nil
	}
	f.complete(context.Background(), newCompletion("r1"), s).wantComplete()
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if err := f.runner.Drain(context.Background()); err != nil { // a second drain returns as well
		t.Error(err)
	}
}

// TestDrainLimit checks that requests still in flight at the shutdown limit, a streaming
// completion and a held call, get an error in place of a closed connection, and that their
// engines are cancelled.
func TestDrainLimit(t *testing.T) {
	for name, arrange := range map[string]func(*fleet){
		"mid-stream/daemon-killed": func(*fleet) {},
		"prefill/daemon-killed":    func(f *fleet) { f.engines["p0"].onCall(engineapi.PathPrefill, holdUntilCancelled) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, nil)
			arrange(f)
			held := service.New(service.Config{})
			t.Cleanup(held.Close)
			held.SetFaults(service.Faults{StallAfter: true}, 0)
			f.addService("s0", held.Handler())
			c := newCompletion("r1")
			c.MaxTokens = 1 << 20
			s := &sink{}
			done := f.runInBackground(c, s)
			var wg conc.WaitGroup
			var callErr *errkind.Error
			wg.Go(func() {
				_, callErr = f.runner.Call(context.Background(), request.Call{ID: "c1", Service: "svc", Method: "GET", Path: "/", Deadline: c.Deadline})
			})
			waitUntil(t, "both in flight", func() bool {
				list := f.runner.Active()
				return len(list) == 2 && held.Executions().Total+held.Stats().Lookups > 0 && slices.ContainsFunc(list, func(a request.Active) bool {
					return a.ID == "r1" && a.Team == "t" && a.Upstream == "d0" && a.Prefill == "p0" && a.Attempt == 1 && a.State != "planning" && a.State != "reserving"
				})
			})
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			if err := f.runner.Drain(ctx); err == nil || !strings.Contains(err.Error(), "2 requests") {
				t.Errorf("drain: %v", err)
			}
			<-done
			wg.Wait()
			if s.err == nil || s.err.Kind != errkind.Draining || s.err.Run == errkind.NotRun {
				t.Errorf("completion ended with %v (run state %q)", s.err, runOf(s.err))
			}
			if callErr == nil || callErr.Kind != errkind.Draining || callErr.Run != errkind.Unknown {
				t.Errorf("call ended with %v (run state %q)", callErr, runOf(callErr))
			}
			f.waitUntilNothingHeld()
		})
	}
}

// TestCancelLanes guards against a frozen engine that delays the cancels sent to other engines:
// 80 cancels for a frozen engine are queued before one for a healthy engine.
func TestCancelLanes(t *testing.T) {
	f := newFleet(t, func(o *request.Options) {
		o.Cancel = request.DefaultCancelLimits()
		o.Cancel.Try = 2 * maxWait // a call to the frozen engine must not time out
	})
	frozen := f.engines["d0"]
	var ends conc.WaitGroup
	for i := range 80 {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		frozen.onCall(engineapi.PathReserve, func(http.ResponseWriter, *http.Request) { frozen.freeze(); cancel() })
		ends.Go(func() { f.complete(ctx, newCompletion(fmt.Sprint("frozen", i)), nil) })
		ends.Wait()
		if i == 0 {
			frozen.onCall(engineapi.PathCancel, func(http.ResponseWriter, *http.Request) {})
		}
	}
	f.leave("d0")
	c := newCompletion("healthy")
	c.MaxTokens = 1 << 20
	ctx, cancel := context.WithCancel(context.Background())
	s := &sink{onToken: func(i int) error { cancel(); return nil }}
	f.complete(ctx, c, s)
	waitUntil(t, "the healthy engine to be freed", func() bool { return f.engines["d1"].Stats().Held == 0 })
	if frozen.Stats().Cancels > 0 {
		t.Error("the frozen engine answered")
	}
	frozen.unfreeze()
	f.waitUntilNothingHeld()
}

// cancelCounter counts the cancels that have ended, by whether they were acknowledged.
type cancelCounter struct {
	metrics
	mu                 *sync.Mutex
	endsByAcknowledged map[bool]int
}

func (c cancelCounter) Cancelled(_ int, _ time.Duration, acknowledged bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endsByAcknowledged[acknowledged]++
}

// TestCancelStopsAtAgeLimit guards against an unbounded backlog of cancels for an engine that
// has died while it held a request. After CancelLimits.Age the cancel is given up.
func TestCancelStopsAtAgeLimit(t *testing.T) {
	m := cancelCounter{mu: &sync.Mutex{}, endsByAcknowledged: map[bool]int{}}
	f := newFleet(t, func(o *request.Options) {
		m.metrics = o.Metrics.(metrics)
		o.Metrics = m
		o.Cancel = request.DefaultCancelLimits()
		o.Cancel.Age = 50 * time.Millisecond
	})
	f.engines["d0"].onCall(engineapi.PathReserve, func(w http.ResponseWriter, r *http.Request) { f.engines["d0"].kill(); cutConnection(w, r) })
	f.complete(context.Background(), newCompletion("r1"), nil).wantComplete()
	waitUntil(t, "the cancel to be given up", func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.endsByAcknowledged[false] == 1
	})
}

// countingSink counts tokens and ends.
type countingSink struct{ tokens, ends int }

func (d *countingSink) Token(int, string) error      { d.tokens++; return nil }
func (d *countingSink) Finish(string, request.Usage) { d.ends++ }
func (d *countingSink) Fail(*errkind.Error)          {}

// decodeHandler answers decode calls with n tokens at once, and all other calls with an empty
// object.
func decodeHandler(n int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != engineapi.PathDecode {
			_, _ = w.Write([]byte("{}"))
			return
		}
		line := make([]byte, 0, 128)
		for i := range n {
			line = append(line[:0], `{"request_id":"bench","attempt":1,"index":`...)
			line = strconv.AppendInt(line, int64(i), 10)
			line = append(line, `,"text":" 0a1b2c"}`+"\n"...)
			_, _ = w.Write(line)
		}
		fmt.Fprintf(w, `{"request_id":"bench","attempt":1,"done":true,"tokens":%d,"finish_reason":"stop"}`+"\n", n)
	}
}

// BenchmarkRelay measures the cost of relaying one token from an engine's connection through
// the machine to the sink. The engine runs in the same process and writes as fast as it can.
func BenchmarkRelay(b *testing.B) {
	f := newFleet(b, nil)
	s := httptest.NewServer(decodeHandler(b.N))
	defer s.Close()
	f.leave("d0")
	f.leave("d1")
	f.join("d2", strings.TrimPrefix(s.URL, "http://"))
	c := newCompletion("bench")
	c.Deadline = time.Now().Add(time.Hour)
	sink := &countingSink{}
	b.ReportAllocs()
	b.ResetTimer()
	f.runner.Complete(context.Background(), c, sink)
	b.StopTimer()
	if sink.tokens != b.N || sink.ends != 1 {
		b.Fatalf("%d tokens of %d, %d ends", sink.tokens, b.N, sink.ends)
	}
}

// BenchmarkCancel measures the time from the caller's departure until the engine's memory is
// free.
func BenchmarkCancel(b *testing.B) {
	f := newFleet(b, nil)
	var most time.Duration
	for i := range b.N {
		ctx, cancel := context.WithCancel(context.Background())
		c := newCompletion(fmt.Sprint("bench", i))
		c.MaxTokens = 1 << 20
		var at time.Time
		f.complete(ctx, c, &sink{onToken: func(i int) error {
			if i == 3 {
				at = time.Now()
				cancel()
			}
			return nil
		}})
		for f.engines["d0"].Stats().Held > 0 {
			time.Sleep(100 * time.Microsecond)
		}
		most = max(most, time.Since(at))
		cancel()
	}
	b.ReportMetric(float64(most.Microseconds())/1000, "max-ms")
}
