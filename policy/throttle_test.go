package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// sharedPrefillPool simulates engines that share their time among the prompts that they
// prefill. A prompt is abandoned after a timeout.
type sharedPrefillPool struct {
	engines          [][]*activePrompt
	promptsPerSecond float64 // that one engine can prefill
	timeout          time.Duration
	slotsPerEngine   int
}

// activePrompt is a prompt that an engine is prefilling.
type activePrompt struct {
	remaining float64 // share of the prompt, from 1 down to 0
	startedAt time.Time
}

// advance lets d pass and returns how many prompts were completed and abandoned.
func (p *sharedPrefillPool) advance(now time.Time, d time.Duration) (completed, abandoned int) {
	for i, list := range p.engines {
		if len(list) == 0 {
			continue
		}
		progress := p.promptsPerSecond * d.Seconds() / float64(len(list))
		p.engines[i] = slices.DeleteFunc(list, func(r *activePrompt) bool {
			r.remaining -= progress
			switch {
			case r.remaining <= 0:
				completed++
			case now.Sub(r.startedAt) >= p.timeout:
				abandoned++
			default:
				return false
			}
			return true
		})
	}
	return completed, abandoned
}

// start begins the prefill of a prompt on the first of three random engines that has a free
// slot.
func (p *sharedPrefillPool) start(now time.Time, rng *rand.Rand) {
	for range 3 {
		i := rng.IntN(len(p.engines))
		if len(p.engines[i]) < p.slotsPerEngine {
			p.engines[i] = append(p.engines[i], &activePrompt{remaining: 1, startedAt: now})
			return
		}
	}
}

// simulateGoodput runs a minute of load, given as a multiple of the pool's capacity, and
// returns the share of the capacity that completed prompts in the last forty seconds. The
// throttle gets only a few outcomes, a second late, as in a fleet whose daemons handle few
// requests each.
func simulateGoodput(t *testing.T, load float64, throttled bool) float64 {
	t.Helper()
	const (
		step              = 10 * time.Millisecond
		delay             = time.Second
		outcomesPerSecond = 6 // that reach the throttle
	)
	p := &sharedPrefillPool{engines: make([][]*activePrompt, 22), promptsPerSecond: 1 / 0.355, timeout: 1200 * time.Millisecond, slotsPerEngine: 14}
	capacity := float64(len(p.engines)) * p.promptsPerSecond
	rng := rand.New(rand.NewPCG(1, uint64(load*100)))
	var throttle Throttle
	type delayedOutcome struct {
		at        time.Time
		abandoned bool
	}
	var pending []delayedOutcome
	completed := 0
	for at := time.Duration(0); at < time.Minute; at += step {
		now := t0.Add(at)
		finished, abandoned := p.advance(now, step)
		if at >= 20*time.Second {
			completed += finished
		}
		for i := range finished + abandoned {
			if rng.Float64() < outcomesPerSecond/capacity {
				pending = append(pending, delayedOutcome{now.Add(delay), i >= finished})
			}
		}
		for len(pending) > 0 && !pending[0].at.After(now) {
			throttle.RecordOutcome(now, pending[0].abandoned)
			pending = pending[1:]
		}
		for arrivals := load * capacity * step.Seconds(); arrivals > 0; arrivals-- {
			if (arrivals >= 1 || rng.Float64() < arrivals) && (!throttled || throttle.Admit(now, rng.Float64())) {
				p.start(now, rng)
			}
		}
	}
	return float64(completed) / (40 * capacity)
}

// TestThrottleKeepsGoodputUnderOverload guards against prefill engines that are always busy
// while hardly any of their results are used. At twice their capacity, all prompts share an
// engine's time and each exceeds its timeout, after which the next prompt starts.
func TestThrottleKeepsGoodputUnderOverload(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 1, 1.5, 2, 4} {
		with, without := simulateGoodput(t, load, true), simulateGoodput(t, load, false)
		t.Logf("load %.1f: goodput %.2f of the capacity, %.2f without throttling", load, with, without)
		// Random dispatch puts several prompts on one engine, so that even the best fixed
		// share of any load uses only 0.53 of the capacity.
		if want := 0.7 * 0.53 * min(1, load/0.8); with < want {
			t.Errorf("load %.1f: goodput %.2f, want at least %.2f", load, with, want)
		}
		if load >= 2 && without > 0.2 {
			t.Errorf("load %.1f: goodput %.2f without throttling; the simulation does not reproduce the overload", load, without)
		}
	}
}

// TestThrottleIgnoresOccasionalLosses verifies that a healthy pool in which a few calls are
// abandoned is not throttled.
func TestThrottleIgnoresOccasionalLosses(t *testing.T) {
	var throttle Throttle
	for i := range 1000 {
		now := t0.Add(time.Duration(i) * 20 * time.Millisecond)
		throttle.RecordOutcome(now, i%8 == 0)
		if !throttle.Admit(now, 0.999) {
			t.Fatalf("throttled after %d calls", i)
		}
	}
}

// TestThrottleRecovers guards against refusing requests after an overload has ended and the
// engines are idle. The share must grow again, also without further calls.
func TestThrottleRecovers(t *testing.T) {
	var throttle Throttle
	now := t0
	for range 400 {
		now = now.Add(25 * time.Millisecond)
		throttle.RecordOutcome(now, true)
	}
	if throttle.Share() > 0.2 {
		t.Fatalf("share is %.2f in an overload", throttle.Share())
	}
	for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(500 * time.Millisecond) {
		throttle.Admit(now, 1)
	}
	if throttle.Share() < 1 {
		t.Errorf("share is %.2f after twenty seconds without calls", throttle.Share())
	}
}

func TestThrottleNeedsMinimumOutcomes(t *testing.T) {
	var throttle Throttle
	for i := range minOutcomes - 1 {
		throttle.RecordOutcome(t0.Add(time.Duration(i)*time.Millisecond), true)
	}
	if throttle.Share() < 1 {
		t.Errorf("share is %.2f after too few outcomes", throttle.Share())
	}
}
