package durablelog

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/internal/logpos"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeTopic is a topic that all daemons of a test share.
type fakeTopic struct {
	mu      sync.Mutex
	records []string
	epoch   logpos.Epoch
	// loseAnswers makes appends take effect without an answer, and refuse makes all calls fail.
	loseAnswers, refuse bool
	calls               int
}

var errNoAnswer = errors.New("no answer")

// restore cuts the topic to its first n records.
func (f *fakeTopic) restore(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = f.records[:n:n]
	f.epoch++
}

func (f *fakeTopic) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeTopic) content() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.records)
}

// end returns the end of the topic; f.mu must be held.
func (f *fakeTopic) end() logpos.Position {
	return logpos.Position{Epoch: f.epoch, Offset: uint64(len(f.records))}
}

// fakeClient is one daemon's client of the topic.
type fakeClient struct {
	*fakeTopic
	epochs *logpos.Tracker
}

func (c fakeClient) Append(_ context.Context, list []string) (logpos.Position, error) {
	return c.append(list, nil)
}

func (c fakeClient) AppendAt(_ context.Context, at logpos.Position, list []string) (logpos.Position, error) {
	return c.append(list, &at)
}

// append appends records if the topic ends at a position; nil means that it may end anywhere.
func (c fakeClient) append(list []string, at *logpos.Position) (logpos.Position, error) {
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if at != nil && *at != c.end() {
		return logpos.Position{}, ErrEndMoved
	}
	if c.refuse {
		return logpos.Position{}, errNoAnswer
	}
	c.records = append(c.records, list...)
	if c.loseAnswers {
		return logpos.Position{}, errNoAnswer
	}
	c.epochs.Observe(c.epoch)
	return c.end(), nil
}

func (c fakeClient) Read(_ context.Context, from logpos.Position, _ time.Duration) ([]string, logpos.Position, error) {
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.refuse {
		return nil, from, errNoAnswer
	}
	c.epochs.Observe(c.epoch)
	if c.epoch.After(from.Epoch) {
		return nil, from, logpos.ErrRestored
	}
	if from.Offset > uint64(len(c.records)) {
		from.Offset = 0
	}
	return slices.Clone(c.records[from.Offset:]), c.end(), nil
}

// daemons starts n daemons that write a topic until the test ends.
func daemons(t *testing.T, f *fakeTopic, n int) (out []*Log[string]) {
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	t.Cleanup(func() {
		stop()
		wg.Wait()
	})
	for range n {
		epochs := logpos.NewTracker(nil)
		l := New(Options[string]{Topic: fakeClient{f, epochs}, Name: "test", Epochs: epochs, Logger: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, Now: time.Now})
		out = append(out, l)
		wg.Go(func() {
			if err := l.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	return out
}

func mustAppend(t *testing.T, l *Log[string], list ...string) {
	t.Helper()
	if err := l.Append(t.Context(), list); err != nil {
		t.Fatal(err)
	}
}

// readAll reads the topic with all daemons, as readers do.
func readAll(t *testing.T, list []*Log[string], from logpos.Position) {
	t.Helper()
	for _, l := range list {
		if _, _, err := l.Read(t.Context(), from, 0); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against records that are lost with the store, or that several daemons write again.
func TestRecordsAreThereAgainOnce(t *testing.T) {
	const settle = 10 * time.Second
	for name, play := range map[string]func(t *testing.T, f *fakeTopic, all []*Log[string]){
		"the newest are lost": func(t *testing.T, f *fakeTopic, all []*Log[string]) {
			readAll(t, all, logpos.Position{Epoch: 1})
			f.restore(1)
		},
		"all are lost": func(_ *testing.T, f *fakeTopic, _ []*Log[string]) { f.restore(0) },
		"their offsets are given out again": func(_ *testing.T, f *fakeTopic, _ []*Log[string]) {
			f.restore(1)
			f.set(func() { f.records = append(f.records, "x", "y", "z") })
		},
		"the store is lost again while they are written": func(t *testing.T, f *fakeTopic, all []*Log[string]) {
			f.restore(1)
			readAll(t, all, logpos.Position{Epoch: 1})
			time.Sleep(readerDelay / 2)
			f.restore(1)
		},
		"the store is away while they are written": func(t *testing.T, f *fakeTopic, all []*Log[string]) {
			f.restore(1)
			readAll(t, all, logpos.Position{Epoch: 1})
			f.set(func() { f.refuse = true })
			time.Sleep(settle)
			f.set(func() { f.refuse = false })
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeTopic{epoch: 1}
				all := daemons(t, f, 40)
				mustAppend(t, all[0], "a")
				mustAppend(t, all[1], "b", "c")
				mustAppend(t, all[2], "d")
				play(t, f, all)
				for _, l := range all {
					_, _, _ = l.Read(t.Context(), logpos.Position{Epoch: 1}, 0) // each hears of the epoch
				}
				time.Sleep(settle)
				got := slices.DeleteFunc(f.content(), func(r string) bool { return r > "w" })
				slices.Sort(got)
				if diff := cmp.Diff([]string{"a", "b", "c", "d"}, got); diff != "" {
					t.Error(diff)
				}
				if most := 40*8 + 40*int(settle/minRetryDelay); f.calls > most {
					t.Errorf("%d calls", f.calls)
				}
			})
		})
	}
}

// Guards against daemons that each append a record, since none had appended it when they read the log.
func TestConcurrentChecksAppendOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTopic{epoch: 1}
		all := daemons(t, f, 8)
		mustAppend(t, all[0], "a", "b")
		readAll(t, all, logpos.Position{Epoch: 1})
		f.restore(1)
		var wg sync.WaitGroup
		for _, l := range all {
			wg.Go(func() {
				if _, err := l.check(t.Context(), 2); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if diff := cmp.Diff([]string{"a", "b"}, f.content()); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against records that stand in the log twice: their append had no answer, the store was
// restored from a copy with or without them, and they are appended again.
func TestUnansweredAppendAcrossRestoration(t *testing.T) {
	for name, kept := range map[string]int{"in the copy": 2, "lost": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeTopic{epoch: 1}
				l := daemons(t, f, 1)[0]
				mustAppend(t, l, "a")
				f.set(func() { f.loseAnswers = true })
				if err := l.Append(t.Context(), []string{"b"}); err == nil {
					t.Fatal("the append was answered")
				}
				f.restore(kept)
				f.set(func() { f.loseAnswers = false })
				readAll(t, []*Log[string]{l}, logpos.Position{Epoch: 1})
				for tries := 0; l.Append(t.Context(), []string{"b"}) != nil; tries++ {
					if tries == 100 {
						t.Fatal("the records are not checked")
					}
					time.Sleep(minRetryDelay)
				}
				if diff := cmp.Diff([]string{"a", "b"}, f.content()); diff != "" {
					t.Error(diff)
				}
				mustAppend(t, l, "b") // on purpose
				if got := f.content(); len(got) != 3 {
					t.Errorf("%v after another append", got)
				}
			})
		})
	}
}

// Guards against records that stand in the log twice since a list with one more record, for which the
// store was away, was tried again.
func TestUnansweredAppendIsSettledByAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTopic{epoch: 1}
		l := daemons(t, f, 1)[0]
		mustAppend(t, l, "a")
		f.set(func() { f.loseAnswers = true })
		if err := l.Append(t.Context(), []string{"b"}); err == nil {
			t.Fatal("the append was answered")
		}
		f.restore(1)
		f.set(func() { f.loseAnswers = false })
		readAll(t, []*Log[string]{l}, logpos.Position{Epoch: 1})
		time.Sleep(2 * readerDelay)
		f.set(func() { f.refuse = true })
		if err := l.Append(t.Context(), []string{"b", "c"}); err == nil {
			t.Fatal("the append was answered")
		}
		f.set(func() { f.refuse = false })
		mustAppend(t, l, "b", "c")
		if diff := cmp.Diff([]string{"a", "b", "c"}, f.content()); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against a reader that skips records which the store has given the offsets of lost ones, and
// against one that reads all of a long topic again.
func TestReadGoesOnAfterRestoration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTopic{epoch: 1}
		l := daemons(t, f, 1)[0]
		for i := range 100 {
			mustAppend(t, l, string(rune('A'+i)))
			time.Sleep(2 * time.Second)
		}
		f.restore(90)
		f.set(func() {
			f.records = append(f.records, "x1", "x2", "x3", "x4", "x5", "x6", "x7", "x8", "x9", "x10", "x11")
		})
		list, next, err := l.Read(t.Context(), logpos.Position{Epoch: 1, Offset: 100}, 0)
		if err != nil || next != (logpos.Position{Epoch: 2, Offset: 101}) {
			t.Fatalf("next %v, %v", next, err)
		}
		if !slices.Contains(list, "x1") || slices.Contains(list, "A") {
			t.Errorf("read %q", list)
		}
	})
}
