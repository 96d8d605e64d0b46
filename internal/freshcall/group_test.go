package freshcall

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// Guards against results of calls that began before they were asked for, and against a call for each
// of many who ask at once.
func TestCallsBeginAfterTheyAreAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int64
		g := New(time.Minute, func(context.Context, string) (time.Time, error) {
			calls.Add(1)
			began := time.Now()
			time.Sleep(time.Second)
			return began, nil
		})
		var wg conc.WaitGroup
		for i := range 1000 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				asked := time.Now()
				if began, err := g.Do(t.Context(), "k"); err != nil || began.Before(asked) {
					t.Errorf("asked at %v, the call began at %v: %v", asked, began, err)
				}
			})
		}
		wg.Wait()
		if n := calls.Load(); n > 7 {
			t.Errorf("%d calls in 6 s, each of 1 s", n)
		}
		synctest.Wait()
		g.mu.Lock()
		defer g.mu.Unlock()
		if len(g.next) > 0 {
			t.Errorf("%d keys are left", len(g.next))
		}
	})
}

// Guards against callers that wait for longer than they can, and against a call that ends with one of them.
func TestCallersLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(time.Minute, func(ctx context.Context, _ string) (int, error) {
			<-ctx.Done()
			return 0, ctx.Err()
		})
		var wg conc.WaitGroup
		wg.Go(func() {
			if _, err := g.Do(t.Context(), "k"); !errors.Is(err, context.DeadlineExceeded) {
				t.Error(err)
			}
		})
		synctest.Wait()
		ctx, leave := context.WithTimeout(t.Context(), time.Second)
		defer leave()
		if _, err := g.Do(ctx, "k"); !errors.Is(err, context.DeadlineExceeded) {
			t.Error(err)
		}
		wg.Wait()
		time.Sleep(2 * time.Minute)
	})
}
