// Package waittest lets tests wait, with a timeout, for the effects of other
// goroutines.
package waittest

import (
	"testing"
	"time"
)

const (
	// timeout is far longer than any wait takes in a test that passes, so that tests
	// do not fail on slow machines.
	timeout = 30 * time.Second
	// pollInterval is the time between two calls of the condition.
	pollInterval = time.Millisecond
)

// Until polls ok until it returns true and fails the test after timeout. what names
// the condition in the failure message.
func Until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting: %s", what)
		}
	}
}

// Receive returns the next value from ch, or the zero value when ch is closed, and
// fails the test after timeout. what names the event in the failure message.
func Receive[T any](t testing.TB, what string, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(timeout):
		t.Fatalf("timed out waiting: %s", what)
		panic("unreachable")
	}
}
