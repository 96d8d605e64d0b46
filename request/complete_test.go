package request_test

import (
	"context"
	"testing"
)

func TestCompleteWhole(t *testing.T) {
	f := newFleet(t, nil)
	f.run(context.Background(), completion("r1"), nil).whole()
	f.nothingHeld()
	if n := len(f.runner.Active()); n != 0 {
		t.Errorf("%d requests listed after the end", n)
	}
}
