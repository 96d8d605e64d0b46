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

	"github.com/corianderturn/corianderturn/internal/logpos"
	"github.com/corianderturn/corianderturn/internal/waittest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeStore is an in-memory Store. Each update wakes waiting readers.
type fakeStore struct {
	mu        sync.Mutex
	feeds     [2][]Change
	firstKept [2]uint64 // by feed: offset of the first record that is not trimmed
	down      bool
	changed   chan struct{}
}

func newFakeStore() *fakeStore { return &fakeStore{changed: make(chan struct{})} }

func (s *fakeStore) update(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) add(f Feed, c Change) {
	s.update(func() { s.feeds[f] = append(s.feeds[f], c) })
}

var errDown = errors.New("the store is down")

func (s *fakeStore) Snapshot(_ context.Context, f Feed) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return Batch{}, errDown
	}
	// The newest record of each key; removed keys are left out.
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

func (s *fakeStore) Read(ctx context.Context, f Feed, position logpos.Position, wait time.Duration) (Batch, error) {
	from := position.Offset
	for {
		s.mu.Lock()
		b, changed := Batch{Next: uint64(len(s.feeds[f]))}, s.changed
		switch {
		case s.down:
			s.mu.Unlock()
			return Batch{}, errDown
		case from < s.firstKept[f]:
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

// startWatcher runs a watcher of s until the test ends, and returns it with the channel
// of the views that it publishes.
func startWatcher(t *testing.T, s *fakeStore) (w *Watcher, views <-chan View) {
	t.Helper()
	out := make(chan View, 64)
	w = NewWatcher(Options{
		Store:     s,
		Intervals: Intervals{PollWait: time.Minute, Retry: time.Millisecond},
		OnView:    func(_ time.Time, v View) { out <- v },
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

// waitForView returns the first view that ok accepts.
func waitForView(t *testing.T, views <-chan View, ok func(View) bool) View {
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

func hasVersion(n uint64) func(View) bool {
	return func(v View) bool { return v.Config != nil && v.Config.Version == n }
}

func TestWatcherFollowsBothFeeds(t *testing.T) {
	s := newFakeStore()
	s.add(FeedConfig, Change{Config: testConfig(3)})
	w, views := startWatcher(t, s)
	waitForView(t, views, hasVersion(3))
	a := appRegistration("a")
	s.add(FeedUpstreams, Change{Put: &a})
	v := waitForView(t, views, func(v View) bool { return len(v.Bundle.Bundle.Upstreams) == 1 })
	if !w.Ready() || w.View().Bundle.Number != v.Bundle.Number {
		t.Error("not ready with both feeds read")
	}
	s.add(FeedConfig, Change{Config: testConfig(7)})
	waitForView(t, views, hasVersion(7))
	s.add(FeedUpstreams, Change{Gone: "a"})
	waitForView(t, views, func(v View) bool { return len(v.Bundle.Bundle.Upstreams) == 0 })
}

// Guards against a daemon that keeps an old configuration forever: the store has trimmed
// records that the daemon had not read yet, and the daemon keeps reading at the trimmed
// offset instead of reading a snapshot.
func TestWatcherReadsSnapshotAfterTrim(t *testing.T) {
	s := newFakeStore()
	s.add(FeedConfig, Change{Config: testConfig(3)})
	_, views := startWatcher(t, s)
	waitForView(t, views, hasVersion(3))
	s.update(func() {
		s.feeds[FeedConfig] = append(s.feeds[FeedConfig], Change{Config: testConfig(4)}, Change{Config: testConfig(5)})
		s.firstKept[FeedConfig] = 3
	})
	waitForView(t, views, hasVersion(5))
}

// Guards against a watcher that discards its view while the store is down, so that requests
// are refused, and against one that stops reading at the error and misses new versions
// after the outage.
func TestWatcherKeepsViewDuringStoreOutage(t *testing.T) {
	s := newFakeStore()
	a := appRegistration("a")
	s.add(FeedConfig, Change{Config: testConfig(3)})
	s.add(FeedUpstreams, Change{Put: &a})
	w, views := startWatcher(t, s)
	waitForView(t, views, func(v View) bool { return v.Config != nil && len(v.Bundle.Bundle.Upstreams) == 1 })
	s.update(func() { s.down = true })
	if !w.Ready() || len(w.View().Bundle.Bundle.Upstreams) != 1 {
		t.Error("the view was discarded with the store down")
	}
	s.update(func() {
		s.down = false
		s.feeds[FeedConfig] = append(s.feeds[FeedConfig], Change{Config: testConfig(4)})
	})
	waitForView(t, views, hasVersion(4))
}

// Guards against sending a request to an upstream 2.0 s after it withdrew its
// registration. This happened when the first read after an outage was a long poll: a
// second after the outage it returned the withdrawal, which then counted as an expiry.
func TestFirstReadAfterOutageDoesNotWait(t *testing.T) {
	s := newFakeStore()
	a, b := appRegistration("a"), appRegistration("b")
	s.add(FeedConfig, Change{Config: testConfig(3)})
	s.add(FeedUpstreams, Change{Put: &a})
	s.add(FeedUpstreams, Change{Put: &b})
	w, views := startWatcher(t, s)
	waitForView(t, views, func(v View) bool { return v.Config != nil && len(v.Bundle.Bundle.Upstreams) == 2 })
	s.update(func() { s.down = true })
	waittest.Until(t, "the failure is noticed", func() bool { return w.isFailing(FeedUpstreams) })
	s.update(func() { s.down = false })
	waittest.Until(t, "the end of the outage is noticed", func() bool { return !w.isFailing(FeedUpstreams) })
	s.add(FeedUpstreams, Change{Gone: "b"})
	// The test clock does not advance: an upstream that counts as expired would never be
	// removed.
	waitForView(t, views, func(v View) bool { return len(v.Bundle.Bundle.Upstreams) == 1 })
}
