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
	modelDaemons  = 89
	modelRequests = 12_000 // in about 60 s
	modelLookUps  = 0.286  // share of the requests that may be sent twice
	modelDelay    = 1400 * time.Microsecond
	modelTarget   = 150 * time.Millisecond
	warmUp        = 20 * time.Second
)

// model simulates, in virtual time, daemons in front of three replicas that queue.
type model struct {
	rng      *rand.Rand
	now      time.Duration
	events   []event
	share    float64
	pace     func(replica int, at time.Duration) float64
	daemons  [modelDaemons]modelDaemon
	replicas [3][]*modelCall // the calls at each, those in its slots first
	requests int
	took     []time.Duration // by the look-ups
	hedgedAt []time.Duration
}

type modelDaemon struct {
	service *Service
	budget  *retry.Budgets
	queued  [3]bool // as stated with the latest answer
}

type modelCall struct {
	replica        int
	sentAt         time.Duration
	started, ended bool
	done           func(*modelCall)
}

type event struct {
	at time.Duration
	do func()
}

// after schedules an event.
func (m *model) after(d time.Duration, do func()) {
	at := m.now + d
	i, _ := slices.BinarySearchFunc(m.events, at, func(e event, at time.Duration) int { return 2*int(min(1, max(-1, e.at-at))) - 1 })
	m.events = slices.Insert(m.events, i, event{at, do})
}

func (m *model) time() time.Time { return time.Unix(1000, 0).Add(m.now) }

// playLoad plays modelRequests. All daemons are restarted, with nothing learned and empty budgets, each time
// that restart has passed.
func playLoad(share float64, restart time.Duration, pace func(int, time.Duration) float64) *model {
	m := &model{rng: rand.New(rand.NewPCG(1, 2)), share: share, pace: pace}
	var start, tick, request func()
	start = func() {
		for i := range m.daemons {
			m.daemons[i] = modelDaemon{service: NewService(), budget: retry.NewBudgets(m.time(), retry.Bounds{Ratio: share, Window: 10 * time.Second, MinDaemons: 1})}
		}
		m.after(restart, start)
	}
	tick = func() {
		for i := range m.daemons {
			m.daemons[i].budget.UpdateDaemons(m.time(), modelDaemons)
		}
		m.after(retry.TickInterval, tick)
	}
	request = func() {
		m.requests++
		m.request(&m.daemons[m.rng.IntN(modelDaemons)], m.rng.Float64() < modelLookUps)
		m.after(time.Duration(m.rng.ExpFloat64()*float64(5*time.Millisecond)), request)
	}
	start()
	tick()
	request()
	for m.requests < modelRequests {
		e := m.events[0]
		m.events, m.now = m.events[1:], e.at
		e.do()
	}
	slices.Sort(m.took)
	return m
}

// request serves one request as package request does.
func (m *model) request(d *modelDaemon, lookUp bool) {
	accepted, service, budget := m.now, d.service, d.budget.Of("service")
	budget.OnFirstAttempt(m.time())
	c := &Call{MaxAttempts: 1}
	if lookUp {
		c.MaxAttempts, c.Silence = 3, 3*modelTarget/2
		if m.share > 0 {
			c.SlowAfter = service.SlowAfter(m.time(), modelTarget)
		}
	}
	var calls []*modelCall
	answered := func(first *modelCall) {
		if c.MaxAttempts == 0 {
			return // another replica has answered
		}
		c.MaxAttempts = 0
		for _, k := range calls {
			if k == first {
				service.Answered(m.time(), fmt.Sprint(k.replica), m.now-k.sentAt)
			} else if !k.ended {
				m.after(modelDelay, func() { m.end(k) })
				service.Unanswered(m.time(), fmt.Sprint(k.replica), m.now-k.sentAt)
			}
		}
		d.queued[first.replica] = len(m.replicas[first.replica]) > 6
		if lookUp && accepted > warmUp {
			m.took = append(m.took, m.now-accepted)
		}
	}
	send := func(allowed func(int) bool) bool {
		for _, i := range m.rng.Perm(len(m.replicas)) {
			if allowed(i) && !slices.ContainsFunc(calls, func(k *modelCall) bool { return k.replica == i }) {
				k := &modelCall{replica: i, sentAt: m.now, done: answered}
				calls = append(calls, k)
				m.after(modelDelay, func() { m.replicas[i] = append(m.replicas[i], k); m.run(i) })
				return true
			}
		}
		return false
	}
	var next func()
	next = func() {
		wait, why, ok := c.Next(m.time(), Progress{Attempts: len(calls), InProgress: len(calls)})
		if !ok {
			return
		}
		idle := func(i int) bool { return !d.queued[i] && service.Prompt(m.time(), fmt.Sprint(i)) }
		switch {
		case wait > 0:
			m.after(wait, next)
			return
		case why == Silent:
			send(func(int) bool { return true })
			c.Sent(m.time())
		case !service.MostlySlow(m.time()) && budget.Remaining(m.time()) >= 1 && send(idle) && budget.Allow(m.time(), 1):
			c.Hedged()
			m.hedgedAt = append(m.hedgedAt, m.now)
		default:
			c.NotHedged()
		}
		next()
	}
	send(func(int) bool { return true })
	c.Sent(m.time())
	next()
}

// run starts the calls in the slots of a replica.
func (m *model) run(replica int) {
	for _, k := range m.replicas[replica][:min(6, len(m.replicas[replica]))] {
		if k.started {
			continue
		}
		k.started = true
		work := 0.030 * math.Exp(0.3*m.rng.NormFloat64()) * m.pace(replica, m.now)
		m.after(time.Duration(work*float64(time.Second)), func() {
			if !k.ended {
				m.end(k)
				m.after(modelDelay, func() { k.done(k) })
			}
		})
	}
}

// end removes a call from its replica.
func (m *model) end(k *modelCall) {
	k.ended = true
	m.replicas[k.replica] = slices.DeleteFunc(m.replicas[k.replica], func(o *modelCall) bool { return o == k })
	m.run(k.replica)
}

func (m *model) p99() time.Duration { return m.took[len(m.took)*99/100] }

// oneSlow makes one replica at a time 2.5 times slower, for ten seconds of each fifteen.
func oneSlow(replica int, at time.Duration) float64 {
	if at%(15*time.Second) > 5*time.Second && int(at/(15*time.Second))%3 == replica {
		return 2.5
	}
	return 1
}

// Guards against look-ups that wait for the one slow replica although others are idle, and against hedges
// beyond the share, also if all daemons are restarted with budgets that know nothing of their predecessors.
func TestHedgesCutTheSlowestWithinTheShare(t *testing.T) {
	before := playLoad(0, time.Hour, oneSlow).p99()
	for _, share := range []float64{0.05, 0.2} {
		for _, restart := range []time.Duration{time.Hour, 20 * time.Second} {
			m := playLoad(share, restart, oneSlow)
			if n := len(m.hedgedAt); n == 0 || float64(n) > share*float64(m.requests) {
				t.Errorf("%d hedges of %d requests with a share of %g, restarts after %v", n, m.requests, share, restart)
			}
			if restart == time.Hour && 10*m.p99() > 9*before {
				t.Errorf("the 99th percentile is %v with a share of %g and %v without hedges", m.p99(), share, before)
			}
		}
	}
}

// Guards against hedges that add to the load of a service all of whose replicas are slow. A daemon notices
// that after a few calls.
func TestNoHedgesWhileAllAreSlow(t *testing.T) {
	const from, until, notice = 25 * time.Second, 55 * time.Second, 2 * time.Second
	m := playLoad(1, time.Hour, func(_ int, at time.Duration) float64 {
		if at > from && at < until {
			return 2.5
		}
		return 1
	})
	n := 0
	for _, at := range m.hedgedAt {
		if at > from+notice && at < until {
			n++
		}
	}
	if share := float64(n) / float64(m.requests) * float64(m.now) / float64(until-from-notice); share > 0.01 {
		t.Errorf("a share of %.3f of the requests is hedged", share)
	}
}
