package retry

import (
	"testing"
	"time"
)

func TestBudgetsKeepTargetsApart(t *testing.T) {
	bounds := Bounds{Slack: 1, Window: 10 * time.Second, Daemons: 1}
	all := NewBudgets(t0, bounds)
	if !all.Of("a").Allow(t0, 1) || all.Of("a").Allow(t0, 1) || !all.Of("b").Allow(t0, 1) {
		t.Error("a target's retries are not its own")
	}
	bounds.Slack = 2
	all.Set(t0, bounds)
	if !all.Of("a").Allow(t0, 1) || all.Of("a").Allow(t0, 1) {
		t.Error("what was counted is forgotten with new bounds, or the bounds are not taken")
	}
}
