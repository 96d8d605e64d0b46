package request_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/board"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// boardObserver passes the runner's reports to a board, as the router does.
type boardObserver struct {
	observer
	h *board.Holder
}

func (o boardObserver) Report(now time.Time, name string, l engineapi.Load) {
	o.h.Update(func(b *board.Board) { b.ApplyReport(now, name, l, 0) })
}

func (o boardObserver) Failed(now time.Time, name string) {
	o.h.Update(func(b *board.Board) { b.RecordFailure(now, name) })
}

func (o boardObserver) Leaving(now time.Time, name string) {
	o.h.Update(func(b *board.Board) { b.MarkLeaving(now, name, board.FromUpstream) })
}

// Guards against a replaced upstream that never gets work again: after its new process was
// observed, an answer of the old process is read late and announces that it is leaving. The
// notice must be applied to its own incarnation only.
func TestLateLeavingNoticeOfEarlierIncarnation(t *testing.T) {
	h := board.NewHolder(board.New(board.Config{}))
	f := newFleet(t, func(o *request.Options) { o.Observer = boardObserver{observer{}, h} })
	loads := make(chan string, 1)
	f.addService("s0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(upstream.HeaderLoad, <-loads)
	}))
	h.Update(func(b *board.Board) {
		b.SetVersion(time.Now(), &bundle.Version{Number: 1, Bundle: &bundle.Bundle{
			Pools:     map[string]bundle.Pool{"svc": {Role: bundle.RoleService, Slots: 9}},
			Upstreams: map[string]bundle.Upstream{"s0": {Pool: "svc", State: bundle.StateServing}},
		}})
	})
	for i, c := range []struct {
		load string
		want int
	}{
		{"active=0 slots=9 leaving=false incarnation=1 seq=1", 1},
		{"active=0 slots=9 leaving=false incarnation=2 seq=1", 1},
		{"active=0 slots=9 leaving=true incarnation=1 seq=2", 1},
		{"active=0 slots=9 leaving=true incarnation=2 seq=2", 0},
	} {
		loads <- c.load
		now := time.Now()
		call := request.Call{ID: fmt.Sprint("c", i), Team: "t", Service: "svc", Method: "GET", Path: "/", Accepted: now, Deadline: now.Add(maxWait)}
		if _, err := f.runner.Call(context.Background(), call); err != nil {
			t.Fatal(err)
		}
		if n := len(h.Snapshot().Pool("svc").Replicas()); n != c.want {
			t.Errorf("after %q: %d replicas, want %d", c.load, n, c.want)
		}
	}
}

// Guards against a short deadline being counted as the service's failure: the calls of one
// team allow only a few milliseconds, run out of time and would eject a healthy service for
// all teams.
func TestShortDeadlinesDoNotCountAsFailures(t *testing.T) {
	const timeout = 100 * time.Millisecond
	for name, c := range map[string]struct {
		deadline time.Duration
		want     int
	}{
		"the caller's own":  {timeout / 10, 1},
		"as long as others": {timeout, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := &bundle.Bundle{
				Pools:     map[string]bundle.Pool{"svc": {Role: bundle.RoleService, Slots: 9}},
				Upstreams: map[string]bundle.Upstream{"s0": {Pool: "svc", State: bundle.StateServing}},
				Services:  map[string]bundle.Service{"svc": {Pool: "svc", TimeoutMillis: 2 * timeout.Milliseconds()}},
				Classes:   map[bundle.Class]bundle.ClassTarget{bundle.Urgent: {DeadlineMillis: timeout.Milliseconds()}},
			}
			h := board.NewHolder(board.New(board.Config{EjectBase: time.Hour, EjectMax: time.Hour}))
			h.Update(func(o *board.Board) { o.SetVersion(time.Now(), &bundle.Version{Number: 1, Bundle: b}) })
			var f *fleet
			f = newFleet(t, func(o *request.Options) {
				o.Observer = boardObserver{observer{}, h}
				o.Snapshot = func() *policy.Snapshot {
					f.mu.Lock()
					defer f.mu.Unlock()
					return policy.NewSnapshot(b, 1, time.Now(), slices.Clone(f.members), nil)
				}
			})
			f.addService("s0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
			for i := range 5 {
				now := time.Now()
				call := request.Call{ID: fmt.Sprint("c", i), Team: "t", Class: bundle.Urgent, Service: "svc", Method: "GET", Path: "/", Accepted: now, Deadline: now.Add(c.deadline)}
				if _, err := f.runner.Call(context.Background(), call); err == nil || err.Kind != errkind.DeadlineExceeded {
					t.Errorf("got %v", err)
				}
			}
			if n := len(h.Snapshot().Pool("svc").Replicas()); n != c.want {
				t.Errorf("%d replicas, want %d", n, c.want)
			}
		})
	}
}
