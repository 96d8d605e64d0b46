package clock

import (
	"context"
	"testing"
	"time"
)

func TestSleepEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	if !Sleep(ctx, 0) {
		t.Error("Sleep returned false after the full duration")
	}
	cancel()
	if Sleep(ctx, time.Hour) {
		t.Error("Sleep returned true although its context was cancelled")
	}
}
