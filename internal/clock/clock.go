// Package clock holds helpers for waiting and for measuring time.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or returns false as soon as ctx is cancelled. Loops use it
// in place of time.Sleep, which would delay the shutdown of the daemon until d has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
