package retry

import (
	"sync"
	"time"
)

// Bounds are what all daemons together may send again to one target.
type Bounds struct {
	// Ratio is the retries for each first attempt, and Slack those besides, in any span
	// of Window.
	Ratio, Slack float64
	Window       time.Duration
	// Daemons is the least number of daemons that the slack is divided by.
	Daemons int
}

// Share is this daemon's part of the slack, and what it rests on.
type Share struct {
	// Daemons is the number that the slack is divided by.
	Daemons float64
	// Part is the retries in a window.
	Part float64
	// Since is when this daemon began to count.
	Since time.Time
}

// Budgets keeps one budget for each target, a model or a plain service, so that the
// traffic of one pays for no retries of another. It is safe for concurrent use.
type Budgets struct {
	mu       sync.Mutex
	bounds   Bounds
	daemons  int
	since    time.Time
	byTarget map[string]*Window
}

// NewBudgets returns budgets that have counted nothing.
func NewBudgets(now time.Time, bounds Bounds) *Budgets {
	return &Budgets{bounds: bounds, since: now, byTarget: map[string]*Window{}}
}

// Set changes the bounds; what was counted stays counted.
func (b *Budgets) Set(_ time.Time, bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = bounds
	b.apply()
}

// Counted tells how many daemons there are. The largest number counts: too high a one
// only makes this daemon's part smaller. It returns whether the part changes.
func (b *Budgets) Counted(_ time.Time, daemons int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if daemons <= b.daemons {
		return false
	}
	b.daemons = daemons
	b.apply()
	return true
}

// Known says whether any number of daemons was told.
func (b *Budgets) Known() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.daemons > 0
}

// apply sets the bounds of all targets; b.mu is held.
func (b *Budgets) apply() {
	part := b.share().Part
	for _, w := range b.byTarget {
		w.Set(b.bounds.Ratio, part, b.bounds.Window)
	}
}

// slackShare is how much of the shared slack is divided; the rest is for daemons that
// restart and have forgotten what they sent within the window. Assumed.
const slackShare = 0.8

// Share returns this daemon's part.
func (b *Budgets) Share() Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share()
}

func (b *Budgets) share() Share {
	daemons := max(float64(b.bounds.Daemons), float64(b.daemons)/slackShare)
	return Share{Daemons: daemons, Part: b.bounds.Slack / daemons, Since: b.since}
}

// Of returns the budget of a target.
func (b *Budgets) Of(target string) *Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.byTarget[target]
	if w == nil {
		w = NewWindow(b.bounds.Ratio, b.share().Part, b.bounds.Window)
		b.byTarget[target] = w
	}
	return w
}
