// Package waittest waits in tests for what other goroutines bring about.
package waittest

import (
	"testing"
	"time"
)

const (
	// bound is far above what any wait takes in a run that passes, so that no
	// test fails because the machine is slow.
	bound = 30 * time.Second
	// pause is the time between two looks.
	pause = time.Millisecond
)

// Until returns once ok holds, and fails the test with what it waited for when
// ok does not come to hold.
func Until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(bound); !ok(); time.Sleep(pause) {
		if time.Now().After(end) {
			t.Fatalf("never happened: %s", what)
		}
	}
}

// Receive returns what comes from ch, or its zero value when ch is closed, and
// fails the test with what it waited for when nothing comes.
func Receive[T any](t testing.TB, what string, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(bound):
		t.Fatalf("never happened: %s", what)
		panic("unreachable")
	}
}
