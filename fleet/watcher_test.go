package fleet

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/internal/waittest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeStore holds two feeds in memory. Each change wakes waiting readers.
type fakeStore struct {
	mu      sync.Mutex
	feeds   [2][]Change
	first   [2]uint64 // offset of the first record that is kept
	down    bool
	changed chan struct{}
}

func newFakeStore() *fakeStore { return &fakeStore{changed: make(chan struct{})} }

func (s *fakeStore) change(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) add(f Feed, c Change) {
	s.change(func() { s.feeds[f] = append(s.feeds[f], c) })
}

var errDown = errors.New("the store is down")

func (s *fakeStore) Newest(_ context.Context, f Feed) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return Batch{}, errDown
	}
	// The records in order end in the newest of each key; Gone ones are left out.
	last := map[string]Change{}
	for _, c := range s.feeds[f] {
		switch {
		case c.Gone != "":
			delete(last, c.Gone)
		case c.Put != nil:
			last[c.Put.Name] = c
		default:
			last["config"] = c
		}
	}
	b := Batch{Next: uint64(len(s.feeds[f]))}
	for _, c := range last {
		b.Changes = append(b.Changes, c)
	}
	return b, nil
}

func (s *fakeStore) Read(ctx context.Context, f Feed, from uint64, wait time.Duration) (Batch, error) {
	for {
		s.mu.Lock()
		b, changed := Batch{Next: uint64(len(s.feeds[f]))}, s.changed
		switch {
		case s.down:
			s.mu.Unlock()
			return Batch{}, errDown
		case from < s.first[f]:
			s.mu.Unlock()
			return Batch{}, ErrTrimmed
		case from < b.Next:
			b.Changes = append(b.Changes, s.feeds[f][from:]...)
			s.mu.Unlock()
			return b, nil
		}
		s.mu.Unlock()
		if wait == 0 {
			return b, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

// watch runs a watcher over s; what returns views as they come into force.
func watch(t *testing.T, s *fakeStore) (w *Watcher, views <-chan View) {
	t.Helper()
	out := make(chan View, 64)
	w = NewWatcher(Options{
		Store:     s,
		Intervals: Intervals{Wait: time.Minute, Retry: time.Millisecond},
		Apply:     func(_ time.Time, v View) { out <- v },
		Logger:    &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		Now:       func() time.Time { return t0 },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return w, out
}

// until waits for a view that ok accepts.
func until(t *testing.T, views <-chan View, ok func(View) bool) View {
	t.Helper()
	const bound = 20 * time.Second
	limit := time.After(bound)
	for {
		select {
		case v := <-views:
			if ok(v) {
				return v
			}
		case <-limit:
			t.Fatal("no such view")
		}
	}
}

func version(n uint64) func(View) bool {
	return func(v View) bool { return v.Config != nil && v.Config.Version == n }
}

func TestWatcherFollowsBothFeeds(t *testing.T) {
	s := newFakeStore()
	s.add(FeedConfig, Change{Config: testConfig(3)})
	w, views := watch(t, s)
	until(t, views, version(3))
	a := app("a")
	s.add(FeedUpstreams, Change{Put: &a})
	v := until(t, views, func(v View) bool { return len(v.Members) == 1 })
	if !w.Ready() || w.View().Bundle.Number != v.Bundle.Number {
		t.Error("not ready with both feeds read")
	}
	s.add(FeedConfig, Change{Config: testConfig(7)})
	until(t, views, version(7))
	s.add(FeedUpstreams, Change{Gone: "a"})
	until(t, views, func(v View) bool { return len(v.Members) == 0 })
}

// Symptom: a daemon stays on an old version for good.
// Sequence: the store drops the records that the daemon has not read yet.
// Cause: reading on from an offset that is not kept any more.
func TestWatcherReadsWholeAfterTrim(t *testing.T) {
	s := newFakeStore()
	s.add(FeedConfig, Change{Config: testConfig(3)})
	_, views := watch(t, s)
	until(t, views, version(3))
	s.change(func() {
		s.feeds[FeedConfig] = append(s.feeds[FeedConfig], Change{Config: testConfig(4)}, Change{Config: testConfig(5)})
		s.first[FeedConfig] = 3
	})
	until(t, views, version(5))
}

// Symptom: callers are refused while the store is down, or a new version is not
// seen after its return.
// Sequence: both feeds were read, the store fails, a version is written, it returns.
// Cause: a view given up for want of news, or a reader that ended with the error.
func TestWatcherKeepsTheViewWhileTheStoreIsDown(t *testing.T) {
	s := newFakeStore()
	a := app("a")
	s.add(FeedConfig, Change{Config: testConfig(3)})
	s.add(FeedUpstreams, Change{Put: &a})
	w, views := watch(t, s)
	until(t, views, func(v View) bool { return v.Config != nil && len(v.Members) == 1 })
	s.change(func() { s.down = true })
	if !w.Ready() || len(w.View().Members) != 1 {
		t.Error("the view went with the store")
	}
	s.change(func() {
		s.down = false
		s.feeds[FeedConfig] = append(s.feeds[FeedConfig], Change{Config: testConfig(4)})
	})
	until(t, views, version(4))
}

// Symptom: a replica that had left got a request 2.0 s later.
// Sequence: the store was away; the first reading after its return waits there, and
// ends a second later with a registration that was withdrawn just then.
// Cause: whatever the first reading showed as gone was taken for a lapse.
func TestWithdrawalAfterTheReturnIsNoLapse(t *testing.T) {
	s := newFakeStore()
	a, b := app("a"), app("b")
	s.add(FeedConfig, Change{Config: testConfig(3)})
	s.add(FeedUpstreams, Change{Put: &a})
	s.add(FeedUpstreams, Change{Put: &b})
	w, views := watch(t, s)
	until(t, views, func(v View) bool { return v.Config != nil && len(v.Members) == 2 })
	s.change(func() { s.down = true })
	waittest.Until(t, "the failure is noticed", func() bool { return w.isFailing(FeedUpstreams) })
	s.change(func() { s.down = false })
	waittest.Until(t, "the return is noticed", func() bool { return !w.isFailing(FeedUpstreams) })
	s.add(FeedUpstreams, Change{Gone: "b"})
	// The clock stands still, so that what has lapsed is never dropped.
	until(t, views, func(v View) bool { return len(v.Members) == 1 })
}
