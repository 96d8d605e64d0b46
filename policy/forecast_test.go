package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
)

const ms = time.Millisecond

// serviceModel is a model of daemons in front of the replicas of a plain service. Time is virtual.
type serviceModel struct {
	rng      *rand.Rand
	now      time.Duration
	agenda   agenda
	daemons  []*modelDaemon
	replicas []*modelReplica
	// withPace is unset if the replicas state no pace, and silentFrom is when replica s1 stops
	// stating its load; 0 for never.
	withPace   bool
	silentFrom time.Duration
	// deadFrom is when replica s2 stops answering, with the calls that it has.
	deadFrom time.Duration
	// all and bursts count calls, those of bursts again.
	all, bursts callCounts
}

// callCounts counts calls by what became of them: late ones were answered after their target, failed
// ones not at all. rejected counts arrivals at replicas that were rejected.
type callCounts struct{ arrived, late, failed, rejected int }

type modelDaemon struct {
	fakeInflight
	m        *serviceModel
	fleet    *testFleet
	forecast Forecast
	sent     map[string][]time.Duration
	waiting  []*modelCall
}

type modelCall struct {
	accepted, work, sent time.Duration
	class                bundle.Class
	exclude              []string
	attempt              int
	returned             bool
}

type modelReplica struct {
	name    string
	running int
	queue   []func()
	pace    int
	dead    bool
}

// agenda is a heap of events in the order of their times.
type agenda []event
type event struct {
	at time.Duration
	do func()
}

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func (m *serviceModel) after(d time.Duration, do func()) { heap.Push(&m.agenda, event{m.now + d, do}) }

const (
	replicaSlots, replicaQueue = 6, 24
	modelDelay                 = ms
	modelWork                  = 30 * ms
	modelRun                   = 45 * time.Second
	modelDeadline              = 1500 * ms
	modelRate                  = 203.0 // calls/s
)

func newServiceModel(seed uint64) *serviceModel {
	m := &serviceModel{rng: seededRand(seed), withPace: true}
	for range 89 {
		d := &modelDaemon{m: m, fleet: newFleet(3), sent: map[string][]time.Duration{}}
		d.fleet.bundle.Classes["look-up"] = bundle.ClassTarget{FirstTokenMillis: 150}
		d.fleet.bundle.Classes["booking"] = bundle.ClassTarget{FirstTokenMillis: 200}
		d.fleet.updatePool("s", func(r *Replica) { r.Queues, r.Slots = true, replicaSlots })
		m.daemons = append(m.daemons, d)
	}
	for _, name := range []string{"s0", "s1", "s2"} {
		m.replicas = append(m.replicas, &modelReplica{name: name, pace: 100})
	}
	return m
}

// Upstream implements Inflight.
func (d *modelDaemon) Upstream(name string, since time.Time) (n, tokens int) {
	for _, at := range d.sent[name] {
		if t0.Add(at).After(since) {
			n++
		}
	}
	return n, 0
}

// inBurst reports whether a time is in a burst of 5 s, of which one comes every 20 s.
func inBurst(at time.Duration) bool { return int(at.Seconds())%20 >= 3 && int(at.Seconds())%20 < 8 }

// rate returns the arrivals a second: waves of 0.55 around the mean every 15 s, and bursts of 2.
func (m *serviceModel) rate() float64 {
	r := modelRate * (1 + 0.55*math.Sin(2*math.Pi*m.now.Seconds()/15))
	if inBurst(m.now) {
		r *= 2
	}
	return r
}

// count adds one to a count of a call.
func (m *serviceModel) count(c *modelCall, field func(*callCounts) *int) {
	*field(&m.all)++
	if inBurst(c.accepted) {
		*field(&m.bursts)++
	}
}

func arrived(c *callCounts) *int  { return &c.arrived }
func late(c *callCounts) *int     { return &c.late }
func failed(c *callCounts) *int   { return &c.failed }
func rejected(c *callCounts) *int { return &c.rejected }

// fail refuses a call. Its caller returns once, within a third of the time that it has left.
func (m *serviceModel) fail(c *modelCall, after time.Duration, use bool) {
	if c.returned {
		m.count(c, failed)
		return
	}
	c.returned, c.exclude, c.attempt = true, nil, 0
	d := m.daemons[m.rng.IntN(len(m.daemons))]
	m.after(min(after, (c.accepted+modelDeadline-m.now)/3), func() { d.try(c, use) })
}

// run plays the model. use selects the forecast for the picks.
func (m *serviceModel) run(use bool) {
	var arrive, change func()
	arrive = func() {
		d := m.daemons[m.rng.IntN(len(m.daemons))]
		c := &modelCall{accepted: m.now, class: "booking", work: time.Duration((0.4 + 0.6*m.rng.ExpFloat64()) * float64(modelWork))}
		if m.rng.Float64() < 0.29 {
			c.class = "look-up"
		}
		m.count(c, arrived)
		d.try(c, use)
		m.after(time.Duration(m.rng.ExpFloat64()/m.rate()*float64(time.Second)), arrive)
	}
	change = func() {
		m.replicas[0].pace = 350 - m.replicas[0].pace
		m.after(time.Duration(200+m.rng.IntN(600))*ms, change)
	}
	m.after(0, arrive)
	m.after(0, change)
	for m.now < modelRun {
		e := heap.Pop(&m.agenda).(event)
		m.now = e.at
		e.do()
	}
}

// try plans a call and sends it, waits with it or refuses it.
func (d *modelDaemon) try(c *modelCall, use bool) {
	m, now := d.m, t0.Add(d.m.now)
	q := Query{Class: c.class, Now: now, Accepted: t0.Add(c.accepted), Deadline: t0.Add(c.accepted + modelDeadline), Attempt: c.attempt + 1, Exclude: c.exclude, MayWait: true, QueuedAhead: len(d.waiting)}
	if i := slices.Index(d.waiting, c); i >= 0 {
		q.QueuedAhead = i
	}
	if use {
		q.Forecast = &d.forecast
	}
	plan, err := reserve{}.PickService(d.fleet.snapshot(), d, "s", q, m.rng)
	if err == nil && plan.Wait > 0 {
		if !slices.Contains(d.waiting, c) {
			d.waiting = append(d.waiting, c)
		}
		m.after(plan.Wait, func() {
			if slices.Contains(d.waiting, c) {
				d.try(c, use)
			}
		})
		return
	}
	d.waiting = slices.DeleteFunc(d.waiting, func(o *modelCall) bool { return o == c })
	if err != nil {
		m.fail(c, err.RetryAfter, use)
		return
	}
	c.attempt++
	c.exclude, c.sent = append(c.exclude, plan.Replica.Name), m.now
	d.sent[plan.Replica.Name] = append(d.sent[plan.Replica.Name], m.now)
	r := m.replicas[plan.Replica.Name[1]-'0']
	m.after(modelDelay, func() { r.take(d, c, use) })
}

// take runs, queues or rejects a call.
func (r *modelReplica) take(d *modelDaemon, c *modelCall, use bool) {
	m := d.m
	var start func()
	start = func() {
		r.running++
		m.after(c.work*time.Duration(r.pace)/100, func() {
			r.running--
			if len(r.queue) > 0 {
				next := r.queue[0]
				r.queue = r.queue[1:]
				next()
			}
			r.answer(d, c, false, use)
		})
	}
	switch {
	case r.running < replicaSlots:
		start()
	case len(r.queue) < replicaQueue:
		r.queue = append(r.queue, start)
	default:
		m.count(c, rejected)
		r.answer(d, c, true, use)
	}
}

// answer brings the daemon an answer or a refusal, with the replica's load.
func (r *modelReplica) answer(d *modelDaemon, c *modelCall, refused, use bool) {
	m := d.m
	if m.deadFrom > 0 && m.now > m.deadFrom && r.name == "s2" {
		return
	}
	l := ServiceLoad{Running: r.running, Waiting: len(r.queue), Slots: replicaSlots, Pace: r.pace, Refused: refused}
	m.after(modelDelay, func() {
		now := t0.Add(m.now)
		d.sent[r.name] = slices.DeleteFunc(d.sent[r.name], func(at time.Duration) bool { return at == c.sent })
		if !m.withPace {
			l.Pace = 0
		}
		if m.silentFrom == 0 || m.now < m.silentFrom || r.name != "s1" {
			known := d.fleet.replica(r.name)
			known.Active, known.Queued, known.LoadAt = l.Running, l.Waiting, now.Add(-100*ms)
			d.forecast.Report(now, r.name, l)
			if !refused {
				d.forecast.Answered(now, l, m.now-c.sent)
			}
		}
		switch {
		case !refused && m.now-c.accepted > d.fleet.bundle.Classes[c.class].FirstToken():
			m.count(c, late)
		case refused && len(c.exclude) < len(m.replicas):
			d.try(c, use)
		case refused:
			m.fail(c, time.Second, use)
		}
		if len(d.waiting) > 0 {
			d.try(d.waiting[0], use)
		}
	})
}

// playModel returns the counts over a few seeds.
func playModel(use bool, change func(*serviceModel)) (all, bursts callCounts) {
	for seed := range uint64(4) {
		m := newServiceModel(seed)
		change(m)
		m.run(use)
		for sum, c := range map[*callCounts]callCounts{&all: m.all, &bursts: m.bursts} {
			sum.arrived += c.arrived
			sum.late += c.late
			sum.failed += c.failed
			sum.rejected += c.rejected
		}
	}
	return all, bursts
}

// share returns n as a share of the calls.
func (c callCounts) share(n int) float64 { return float64(n) / float64(c.arrived) }

// Guards against calls that are sent to replicas whose queues are full or which are slow, because what a
// daemon knows of them is a second old: 1 in 5 is rejected without the forecast.
func TestForecastUnderBursts(t *testing.T) {
	before, burstsBefore := playModel(false, func(*serviceModel) {})
	after, burstsAfter := playModel(true, func(*serviceModel) {})
	for name, c := range map[string]callCounts{"before": before, "bursts before": burstsBefore, "after": after, "bursts after": burstsAfter} {
		t.Logf("%s: late %.3f failed %.3f rejected %.3f", name, c.share(c.late), c.share(c.failed), c.share(c.rejected))
	}
	if before.share(before.rejected) < 0.15 {
		t.Error("the model does not show the load")
	}
	if after.share(after.rejected) > 0.05 {
		t.Error("more than 1 in 20 calls are rejected by replicas")
	}
	if burstsAfter.share(burstsAfter.late+burstsAfter.failed) > 0.95*burstsBefore.share(burstsBefore.late+burstsBefore.failed) {
		t.Error("no fewer calls of bursts are late or fail")
	}
}
