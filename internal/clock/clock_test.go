package clock

import (
	"context"
	"testing"
	"time"
)

func TestSleepEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	if !Sleep(ctx, 0) {
		t.Error("a pause that passed was reported as cut short")
	}
	cancel()
	if Sleep(ctx, time.Hour) {
		t.Error("a pause that was cut short was reported as passed")
	}
}
