package hedging

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/retry"
)

const (
	modelRequests = 12_000 // of 89 daemons in about 60 s
	modelTarget   = 150 * time.Millisecond
)

// modelDaemon sends calls to three replicas.
type modelDaemon struct {
	service *Service
	budget  *retry.Budgets
}

// modelReplica holds when each of its slots is free.
type modelReplica [6]time.Duration

// run runs a call that arrives at a time in the slot that is free first. It returns when the call ends, and a
// function that cancels it.
func (r *modelReplica) run(at, work time.Duration) (end time.Duration, cancel func(at time.Duration)) {
	slot := slices.Index(r[:], slices.Min(r[:]))
	begin := max(at, r[slot])
	r[slot] = begin + work
	return r[slot], func(at time.Duration) { r[slot] -= begin + work - min(begin+work, max(begin, at)) }
}

// playLoad simulates daemons in virtual time, of which all are restarted each time that restart has passed. pace
// is how much slower a replica is than usual. It returns the times that look-ups took after a warm-up, and when
// hedges were sent.
func playLoad(share float64, restart time.Duration, pace func(replica int, at time.Duration) float64) (took, hedgedAt []time.Duration) {
	rng, start := rand.New(rand.NewPCG(1, 2)), time.Unix(1000, 0)
	var daemons [89]modelDaemon
	var replicas [3]modelReplica
	var at, nextStart, nextTick time.Duration
	for range modelRequests {
		at += time.Duration(rng.ExpFloat64() * float64(5*time.Millisecond))
		if at >= nextStart {
			nextStart += restart
			for i := range daemons {
				daemons[i] = modelDaemon{NewService(), retry.NewBudgets(start.Add(at), retry.Bounds{Ratio: share, Window: 10 * time.Second, MinDaemons: 1})}
			}
		}
		for ; at >= nextTick; nextTick += retry.TickInterval {
			for i := range daemons {
				daemons[i].budget.UpdateDaemons(start.Add(at), len(daemons))
			}
		}
		d, lookUp := &daemons[rng.IntN(len(daemons))], rng.Float64() < 0.286
		send := func(replica int, after time.Duration) (time.Duration, func(time.Duration)) {
			work := time.Duration(33e6 * math.Exp(0.3*rng.NormFloat64()) * pace(replica, at))
			end, cancel := replicas[replica].run(at+after, work)
			return end - at, func(after time.Duration) { cancel(at + after) }
		}
		t, hedges := d.request(start.Add(at), lookUp, share, rng.Perm(len(replicas)), send)
		if lookUp && at > 20*time.Second {
			took = append(took, t)
		}
		hedgedAt = append(hedgedAt, slices.Repeat([]time.Duration{at}, hedges)...)
	}
	slices.Sort(took)
	return took, hedgedAt
}

// modelSend sends a request to a replica a time after its arrival. It returns after which time the replica
// answers, and a function that cancels the request after a time.
type modelSend func(replica int, after time.Duration) (end time.Duration, cancel func(time.Duration))

// request serves one request as package request does, at replicas in the given order.
func (d *modelDaemon) request(now time.Time, lookUp bool, share float64, order []int, send modelSend) (took time.Duration, hedges int) {
	budget, c := d.budget.Of("service"), &Call{MaxAttempts: 1}
	budget.OnFirstAttempt(now)
	if lookUp {
		c.MaxAttempts, c.Silence = 3, 3*modelTarget/2
		if share > 0 {
			c.SlowAfter = d.service.SlowAfter(now, modelTarget)
		}
	}
	type dispatch struct {
		after, end time.Duration
		cancel     func(time.Duration)
	}
	end, cancel := send(order[0], 0)
	took, sent := end, []dispatch{{0, end, cancel}}
	c.Sent(now)
	for n := 1; ; n = len(sent) {
		wait, why, ok := c.Next(now, Progress{Attempts: n, InProgress: n})
		at := now.Add(wait)
		switch {
		case !ok || wait >= took:
			for i, s := range sent {
				if name := fmt.Sprint(order[i]); s.end == took {
					d.service.Answered(now.Add(took), name, took-s.after)
				} else {
					s.cancel(took)
					d.service.Unanswered(now.Add(took), name, took-s.after)
				}
			}
			return took, hedges
		case why == Silent:
			c.Sent(at)
		case !d.service.MostlySlow(at) && d.service.Prompt(at, fmt.Sprint(order[n])) && budget.Allow(at, 1):
			c.Hedged()
			hedges++
		default:
			c.NotHedged()
			continue
		}
		end, cancel := send(order[n], wait)
		sent = append(sent, dispatch{wait, end, cancel})
		took = min(took, end)
	}
}

// Guards against look-ups that wait for the one slow replica although others are prompt, and against hedges
// beyond the share, also if all daemons are restarted with budgets that know nothing of their predecessors.
func TestHedgesCutTheSlowestWithinTheShare(t *testing.T) {
	oneSlow := func(replica int, at time.Duration) float64 {
		if at%(15*time.Second) > 5*time.Second && int(at/(15*time.Second))%3 == replica {
			return 2.5
		}
		return 1
	}
	p99 := func(took []time.Duration) time.Duration { return took[len(took)*99/100] }
	before, _ := playLoad(0, time.Hour, oneSlow)
	for _, share := range []float64{0.01, 0.2} {
		for _, restart := range []time.Duration{time.Hour, 20 * time.Second} {
			after, hedgedAt := playLoad(share, restart, oneSlow)
			if n := float64(len(hedgedAt)); n == 0 && restart == time.Hour || n > share*modelRequests {
				t.Errorf("%g hedges of %d requests with a share of %g, restarts after %v", n, modelRequests, share, restart)
			}
			if restart == time.Hour && share == 0.2 && 10*p99(after) > 9*p99(before) {
				t.Errorf("the 99th percentile is %v with a share of %g and %v without hedges", p99(after), share, p99(before))
			}
		}
	}
}

// Guards against hedges that add to the load of a service all of whose replicas are slow. A daemon notices
// that after a few calls.
func TestNoHedgesWhileAllAreSlow(t *testing.T) {
	const from, notice = 25 * time.Second, 2 * time.Second
	_, hedgedAt := playLoad(1, time.Hour, func(_ int, at time.Duration) float64 {
		if at > from {
			return 2.5
		}
		return 1
	})
	n := len(slices.DeleteFunc(hedgedAt, func(at time.Duration) bool { return at < from+notice }))
	if n > 0.01*modelRequests/2 { // half of the requests come later
		t.Errorf("%d hedges while all are slow", n)
	}
}
