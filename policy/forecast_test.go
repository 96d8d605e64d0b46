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
	withPace bool
	// burst is the factor of the load in bursts.
	burst      float64
	silentFrom time.Duration
	// deadFrom is when replica s2 stops answering, with the calls that it has; 0 for never. Daemons
	// eject it when it has been silent for modelSilence.
	deadFrom time.Duration
	// all and bursts count calls, those of bursts again.
	all, bursts callCounts
}

// callCounts counts calls by what became of them: late ones were answered after their target, failed
// ones not at all. rejected counts arrivals at replicas that were rejected, and silent the answers of
// the replica that states no load.
type callCounts struct{ arrived, late, failed, rejected, answered, silent int }

type modelDaemon struct {
	fakeInflight
	m        *serviceModel
	fleet    *testFleet
	forecast Forecast
	sent     map[string][]time.Duration
	waiting  []*modelCall
}

type modelCall struct {
	accepted, tried, work, sent time.Duration
	class                       bundle.Class
	exclude                     []string
	attempt                     int
	returned                    bool
}

type modelReplica struct {
	name    string
	running int
	queue   []func()
	pace    int
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
	modelSilence               = 300 * ms
	modelDeadline              = 1500 * ms
	modelRate                  = 203.0 // calls/s
)

func newServiceModel(seed uint64) *serviceModel {
	m := &serviceModel{rng: seededRand(seed), withPace: true, burst: 2}
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

// rate returns the arrivals a second: waves of 0.55 around the mean every 15 s, and bursts.
func (m *serviceModel) rate() float64 {
	r := modelRate * (1 + 0.55*math.Sin(2*math.Pi*m.now.Seconds()/15))
	if inBurst(m.now) {
		r *= m.burst
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
func answered(c *callCounts) *int { return &c.answered }
func silent(c *callCounts) *int   { return &c.silent }

// fail refuses a call. Its caller returns once, within a third of the time that it has left.
func (m *serviceModel) fail(c *modelCall, after time.Duration, use bool) {
	if c.returned {
		m.count(c, failed)
		return
	}
	c.returned, c.exclude, c.attempt = true, nil, 0
	d := m.daemons[m.rng.IntN(len(m.daemons))]
	m.after(min(after, (c.accepted+modelDeadline-m.now)/3), func() {
		c.tried = m.now
		d.try(c, use)
	})
}

// run plays the model. use selects the forecast for the picks.
func (m *serviceModel) run(use bool) {
	var arrive, change func()
	arrive = func() {
		if m.now > modelRun-2*modelDeadline {
			return // so that every call has ended when the model does
		}
		d := m.daemons[m.rng.IntN(len(m.daemons))]
		c := &modelCall{accepted: m.now, tried: m.now, class: "booking", work: time.Duration((0.4 + 0.6*m.rng.ExpFloat64()) * float64(modelWork))}
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
	q := Query{Class: c.class, Now: now, Accepted: t0.Add(c.tried), Deadline: t0.Add(c.accepted + modelDeadline), Attempt: c.attempt + 1, Exclude: c.exclude, MayWait: true, QueuedAhead: len(d.waiting)}
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
		m.after(modelSilence, func() {
			d.fleet.replica("s2").EjectedUntil = t0.Add(modelRun)
			d.forecast.Report(t0.Add(m.now), "s2", ServiceLoad{})
			m.count(c, failed)
		})
		return
	}
	l := ServiceLoad{Running: r.running, Waiting: len(r.queue), Slots: replicaSlots, Pace: r.pace, Refused: refused}
	m.after(modelDelay, func() {
		now := t0.Add(m.now)
		d.sent[r.name] = slices.DeleteFunc(d.sent[r.name], func(at time.Duration) bool { return at == c.sent })
		if !m.withPace {
			l.Pace = 0
		}
		if m.silentFrom > 0 && m.now > m.silentFrom && r.name == "s1" {
			d.forecast.Report(now, r.name, ServiceLoad{})
			m.count(c, silent)
		} else {
			known := d.fleet.replica(r.name)
			known.Active, known.Queued, known.LoadAt = l.Running, l.Waiting, now.Add(-100*ms)
			d.forecast.Report(now, r.name, l)
			if !refused {
				d.forecast.Answered(now, l, m.now-c.sent)
			}
		}
		if !refused {
			m.count(c, answered)
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
			sum.answered += c.answered
			sum.silent += c.silent
		}
	}
	return all, bursts
}

// share returns n as a share of the calls.
func (c callCounts) share(n int) float64 { return float64(n) / float64(c.arrived) }

// Guards against calls that are sent to replicas whose queues are full or whose machines are slow, since
// what a daemon knows of them is a second old. In the crest of a wave, a burst of 2 is more than the
// replicas can do: many calls are late either way, but 1 in 5 is rejected by a replica without the
// forecast. A burst of 1.8 is about what they can do.
func TestForecastUnderBursts(t *testing.T) {
	for _, c := range []struct{ burst, lateBefore, lateAfter, rejectedBefore, rejectedAfter float64 }{
		{burst: 1.5, lateBefore: 0.02, lateAfter: 0.015, rejectedAfter: 0.01},
		{burst: 1.8, lateBefore: 0.08, lateAfter: 0.08, rejectedBefore: 0.03, rejectedAfter: 0.025},
		{burst: 2, lateBefore: 0.14, lateAfter: 0.16, rejectedBefore: 0.18, rejectedAfter: 0.05},
	} {
		change := func(m *serviceModel) { m.burst = c.burst }
		before, burstsBefore := playModel(false, change)
		after, burstsAfter := playModel(true, change)
		for name, n := range map[string]callCounts{"before": before, "bursts before": burstsBefore, "after": after, "bursts after": burstsAfter} {
			t.Logf("bursts of %.1f, %s: late %.3f failed %.3f rejected %.3f", c.burst, name, n.share(n.late), n.share(n.failed), n.share(n.rejected))
		}
		if burstsBefore.share(burstsBefore.late) < c.lateBefore || before.share(before.rejected) < c.rejectedBefore {
			t.Errorf("bursts of %.1f: the model does not show the load", c.burst)
		}
		if burstsAfter.share(burstsAfter.late) > c.lateAfter {
			t.Errorf("bursts of %.1f: %.3f of their calls are late", c.burst, burstsAfter.share(burstsAfter.late))
		}
		if after.share(after.rejected) > c.rejectedAfter {
			t.Errorf("bursts of %.1f: %.3f of all calls are rejected by replicas", c.burst, after.share(after.rejected))
		}
	}
}

// Guards against a changed choice for services whose replicas state no pace.
func TestServicesWithoutPaceArePickedAsBefore(t *testing.T) {
	noPace := func(m *serviceModel) { m.withPace = false }
	before, _ := playModel(false, noPace)
	if after, _ := playModel(true, noPace); after != before {
		t.Errorf("before %+v, after %+v", before, after)
	}
}

// Guards against calls that wait without end or all go to one replica after a replica has stopped
// stating its load, or has died with calls.
func TestForecastWhenAReplicaFailsHalfway(t *testing.T) {
	for name, change := range map[string]func(*serviceModel){
		"states no load": func(m *serviceModel) { m.silentFrom = modelRun / 3 },
		"dies":           func(m *serviceModel) { m.deadFrom = 24 * time.Second },
	} {
		before, _ := playModel(false, change)
		after, _ := playModel(true, change)
		t.Logf("%s: before %+v, after %+v", name, before, after)
		if after.answered+after.failed != after.arrived {
			t.Errorf("%s: %d calls arrived, %d were answered and %d failed", name, after.arrived, after.answered, after.failed)
		}
		if after.share(after.late+after.failed) > 1.05*before.share(before.late+before.failed) {
			t.Errorf("%s: more calls are late or fail than before", name)
		}
		if after.share(after.silent) < before.share(before.silent)/3 {
			t.Errorf("%s: the replica gets %d calls, before %d", name, after.silent, before.silent)
		}
	}
}

// Guards against replicas that get no calls because they refused one for another reason than a full
// queue, and against limits and loads that are believed for ever.
func TestForecastBelievesNoMoreThanItIsTold(t *testing.T) {
	full := ServiceLoad{Running: 6, Waiting: 12, Slots: 6, Pace: 100, Refused: true}
	shed, more, unpaced := full, full, full
	shed.Waiting, more.Waiting, more.Refused, unpaced.Pace = 3, 20, false, 0
	for name, c := range map[string]struct {
		loads []ServiceLoad
		after time.Duration
		full  bool
	}{
		"refused with a full queue":       {[]ServiceLoad{full}, 0, true},
		"refused with a short queue":      {[]ServiceLoad{shed}, 0, false},
		"more have waited":                {[]ServiceLoad{more, full}, 0, false},
		"long ago":                        {[]ServiceLoad{full}, forecastLifetime, false},
		"states no pace any more":         {[]ServiceLoad{full, unpaced}, 0, false},
		"half a second of other daemons'": {[]ServiceLoad{full}, forecastHalfLife, true},
	} {
		var f Forecast
		for _, l := range c.loads {
			f.Report(t0, "a", l)
		}
		for range 3 {
			f.Answered(t0, ServiceLoad{Slots: 6, Pace: 200}, 60*ms)
		}
		if p := f.Predict(t0.Add(c.after), "a", 0); p.Full != c.full {
			t.Errorf("%s: %+v", name, p)
		}
		if p := f.Predict(t0, "b", 0); len(c.loads) == 1 && c.loads[0] == full && (p.Begin.Round(ms) != 65*ms || p.End.Round(ms) != 95*ms) {
			t.Errorf("%s: an unknown replica counts as the mean of the others, got %+v", name, p)
		}
		if ready := f.Ready(t0.Add(c.after)); ready != (c.after < forecastLifetime) {
			t.Errorf("%s: ready %v", name, ready)
		}
	}
}
