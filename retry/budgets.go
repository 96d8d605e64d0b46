package retry

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/internal/clock"
)

// Bounds limit the retries that all daemons together may send to one target.
type Bounds struct {
	// Ratio is the number of retries allowed for each first attempt, and Slack the number allowed
	// in addition, in any span of Window.
	Ratio, Slack float64
	Window       time.Duration
	// MinDaemons is the minimum number of daemons among which the slack is divided.
	MinDaemons int
	// FirstStart is set when the fleet starts for the first time: all daemons start at about the same
	// moment, and none has run before.
	FirstStart bool
}

// Budgets enforces this daemon's share of the Bounds, separately for each target. It is safe for
// concurrent use.
//
// The bounds must hold while a service rejects most requests, so that all daemons retry, and
// daemons restart, join, freeze, are partitioned or take over each other's callers. Daemons do not
// coordinate a retry, and a process does not know what its predecessor spent. Therefore the limit
// is on what can be accumulated: in any window the successive processes of one daemon together send
// at most its share of the slack, plus what the requests of that window earn.
//
//   - A process starts without credit. Beyond what its predecessor spent in the same window it can
//     spend only what its own requests earn.
//   - At first, credit is limited to one retry. The share of the slack becomes available once the
//     process has known its peers for a window: by then the spending of its predecessor is out of
//     the window, and the process has discovered the other daemons, so that it divides the slack by
//     the right number. At
//     the first start of a fleet there is no predecessor, so the share becomes available earlier;
//     otherwise callers that arrive ten seconds after the start would find no slack.
//   - Credit above a maximum is lost (see Limits.MaxCredit). Otherwise the credit of ten seconds could be spent at once,
//     just before the callers move to other daemons and earn credit there for the same window.
//   - Requests that are read just after the process was stalled earn no credit: their callers sent
//     them in an earlier window.
type Budgets struct {
	buckets *Buckets

	mu      sync.Mutex
	bounds  Bounds
	daemons int
	// firstCounted is when the number of daemons became known after the start or the latest stall
	// of the process, or zero. settled is set once the share of the slack is available.
	firstCounted time.Time
	settled      bool
	// lastTick is the time of the last call of tick. Requests earn no credit before noCreditUntil.
	lastTick, noCreditUntil time.Time
}

// TickInterval is the interval at which UpdateDaemons must be called.
const TickInterval = 200 * time.Millisecond

const (
	// stallThreshold is the time between two ticks from which the process counts as stalled. A
	// daemon that has only a fifth of a core ticks a tenth of a second late.
	stallThreshold = 3 * TickInterval
	// stallDrainTime is how long after a stall the process still reads requests that had queued
	// in its sockets.
	stallDrainTime = 500 * time.Millisecond
	// discoveryTime is how long after its first count a daemon has discovered all daemons that
	// started with it. Daemons exchange their lists of members once a second.
	discoveryTime = 5 * time.Second
)

// NewBudgets returns budgets without credit, for a process that starts now.
func NewBudgets(now time.Time, bounds Bounds) *Budgets {
	b := &Budgets{bounds: bounds, lastTick: now}
	b.buckets = NewBuckets(b.limits())
	return b
}

// Set changes the bounds.
func (b *Budgets) Set(now time.Time, bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = bounds
	b.buckets.Set(now, b.limits())
}

// UpdateDaemons must be called every TickInterval while the process runs, with the number of
// daemons known or 0 if it is unknown. The largest number ever passed is used, since one that is
// too high only makes this daemon's share smaller. It reports whether the share has changed.
func (b *Budgets) UpdateDaemons(now time.Time, daemons int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tick(now)
	if daemons == 0 && b.firstCounted.IsZero() {
		return false
	}
	if b.firstCounted.IsZero() {
		b.firstCounted = now
	}
	before := b.share()
	b.daemons = max(b.daemons, daemons)
	b.settled = b.settled || now.Sub(b.firstCounted) >= b.slackDelay()
	if b.share() == before {
		return false
	}
	b.buckets.Set(now, b.limits())
	return true
}

// slackDelay is the time from the first count until the share of the slack becomes available; b.mu
// must be held.
func (b *Budgets) slackDelay() time.Duration {
	if b.bounds.FirstStart {
		return min(discoveryTime, b.bounds.Window)
	}
	return b.bounds.Window
}

// tick detects stalls of the process; b.mu must be held. The number of daemons is not updated during
// a stall, so the wait for the share of the slack starts again if it is not over.
func (b *Budgets) tick(now time.Time) {
	if clock.Elapsed(b.lastTick, now) > stallThreshold {
		b.noCreditUntil = now.Add(stallDrainTime)
		b.firstCounted = time.Time{}
	}
	b.lastTick = now
}

// earnsCredit reports whether a request read now was sent recently, rather than queued in a socket
// during a stall of the process.
func (b *Budgets) earnsCredit(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return clock.Elapsed(b.lastTick, now) <= stallThreshold && !now.Before(b.noCreditUntil)
}

const (
	// dividedSlack is the fraction of the slack that is divided among the daemons. The rest covers
	// retries that the division leaves out: one retry of each daemon that joined undiscovered (with
	// a slack of two per daemon, enough for a tenth of the fleet), and retries that are permitted in
	// one window and arrive in the next. The fraction is high because a share of two or more lets a
	// daemon retry twice in a row: with 295 daemons and one in twenty requests rejected, the
	// simulation denies 0.04 of the retries with a share of 2.1, 0.075 with 1.9 and 0.12 with 1.7.
	dividedSlack = 0.95
	// maxCreditShare is the fraction of a daemon's share that limits its credit. The rest needs no
	// credit, and becomes available again a window after it was spent. With one in ten requests
	// rejected, 7 daemons deny 0.01 of the retries at a fraction of one half, and 0.10 with a maximum
	// credit of one retry; with nine in ten rejected, a fraction of one half sends 0.02 more
	// retries than a fraction of one.
	maxCreditShare = 0.5
	// minMaxCredit is one retry: with a smaller maximum a daemon could never retry on credit.
	minMaxCredit = 1
)

// limits returns the limits of each target's bucket; b.mu must be held. If the share covers one
// retry but not two, that one needs no credit: a daemon of a large fleet has so few requests that
// it would earn a credit of one retry only after many times the window.
func (b *Budgets) limits() Limits {
	l := Limits{Ratio: b.bounds.Ratio, MaxCredit: minMaxCredit, Window: b.bounds.Window}
	if b.settled {
		part := b.share().Retries
		l.MaxCredit = max(minMaxCredit, maxCreditShare*part)
		l.Slack = max(0, part-l.MaxCredit)
		if part >= 1 && l.Slack < 1 {
			l.MaxCredit, l.Slack = part-1, 1
		}
	}
	return l
}

// Share is this daemon's share of the slack, and the values that it is computed from.
type Share struct {
	// Daemons is the number of daemons among which the slack is divided.
	Daemons int
	// Retries is the share: the retries per window beyond those that this daemon's requests earn.
	Retries float64
	// Settled is set once the share is available; before, the credit of one retry is all that a
	// daemon can accumulate.
	Settled bool
	// FirstCounted is when the number of daemons became known after the start or the latest stall of the
	// process, or zero.
	FirstCounted time.Time
}

// Share returns this daemon's current share.
func (b *Budgets) Share() Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share()
}

func (b *Budgets) share() Share {
	daemons := max(b.bounds.MinDaemons, b.daemons)
	return Share{Daemons: daemons, Retries: dividedSlack * b.bounds.Slack / float64(daemons), Settled: b.settled, FirstCounted: b.firstCounted}
}

// Of returns the budget of a target.
func (b *Budgets) Of(target string) *Budget { return &Budget{budgets: b, bucket: b.buckets.Of(target)} }

// Budget is the budget of one target. It is safe for concurrent use.
type Budget struct {
	budgets *Budgets
	bucket  *Bucket
}

// OnFirstAttempt records the first attempt of a request, which earns credit.
func (t *Budget) OnFirstAttempt(now time.Time) {
	if t.budgets.earnsCredit(now) {
		t.bucket.OnFirstAttempt(now)
	}
}

// Allow takes n retries and returns true, or takes none and returns false if fewer are left.
func (t *Budget) Allow(now time.Time, n int) bool { return t.bucket.Allow(now, n) }

// Remaining returns the number of retries left.
func (t *Budget) Remaining(now time.Time) float64 { return t.bucket.Remaining(now) }
