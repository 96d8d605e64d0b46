package policy

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
)

const ms = time.Millisecond

// serviceModel is a model of daemons in front of the replicas of a plain service. Time is virtual.
type serviceModel struct {
	rng      *rand.Rand
	now      time.Duration
	agenda   []event
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
	// forecast selects the forecast for the picks.
	forecast bool
	counts   callCounts
}

// callCounts counts calls by what became of them: "arrived"; "answered", of which "late" ones after their
// target; "failed", which were not answered; "rejected", for each arrival that a replica rejected;
// "unstated", for answers of the replica that states no load. Those of bursts count again with "burst ".
type callCounts map[string]int

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

// event is something that happens at a time. The agenda is sorted, the next event last.
type event struct {
	at time.Duration
	do func()
}

func (m *serviceModel) after(d time.Duration, do func()) {
	at := m.now + d
	i, _ := slices.BinarySearchFunc(m.agenda, at, func(e event, at time.Duration) int { return cmp.Compare(at, e.at) })
	m.agenda = slices.Insert(m.agenda, i, event{at, do})
}

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
	m := &serviceModel{rng: seededRand(seed), withPace: true, burst: 2, counts: callCounts{}}
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
func (m *serviceModel) count(c *modelCall, what string) {
	m.counts[what]++
	if inBurst(c.accepted) {
		m.counts["burst "+what]++
	}
}

// fail refuses a call. Its caller returns once, within a third of the time that it has left.
func (m *serviceModel) fail(c *modelCall, after time.Duration) {
	if c.returned {
		m.count(c, "failed")
		return
	}
	c.returned, c.exclude, c.attempt = true, nil, 0
	d := m.daemons[m.rng.IntN(len(m.daemons))]
	m.after(min(after, (c.accepted+modelDeadline-m.now)/3), func() {
		c.tried = m.now
		d.try(c)
	})
}

// run plays the model.
func (m *serviceModel) run() {
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
		m.count(c, "arrived")
		d.try(c)
		m.after(time.Duration(m.rng.ExpFloat64()/m.rate()*float64(time.Second)), arrive)
	}
	change = func() {
		m.replicas[0].pace = 350 - m.replicas[0].pace
		m.after(time.Duration(200+m.rng.IntN(600))*ms, change)
	}
	m.after(0, arrive)
	m.after(0, change)
	for m.now < modelRun {
		e := m.agenda[len(m.agenda)-1]
		m.agenda = m.agenda[:len(m.agenda)-1]
		m.now = e.at
		e.do()
	}
}

// try plans a call and sends it, waits with it or refuses it.
func (d *modelDaemon) try(c *modelCall) {
	m, now := d.m, t0.Add(d.m.now)
	q := Query{Class: c.class, Now: now, Accepted: t0.Add(c.tried), Deadline: t0.Add(c.accepted + modelDeadline), Attempt: c.attempt + 1, Exclude: c.exclude, MayWait: true, QueuedAhead: len(d.waiting)}
	if i := slices.Index(d.waiting, c); i >= 0 {
		q.QueuedAhead = i
	}
	if m.forecast {
		q.Forecast = &d.forecast
	}
	plan, err := reserve{}.PickService(d.fleet.snapshot(), d, "s", q, m.rng)
	if err == nil && plan.Wait > 0 {
		if !slices.Contains(d.waiting, c) {
			d.waiting = append(d.waiting, c)
		}
		m.after(plan.Wait, func() {
			if slices.Contains(d.waiting, c) {
				d.try(c)
			}
		})
		return
	}
	d.waiting = slices.DeleteFunc(d.waiting, func(o *modelCall) bool { return o == c })
	if err != nil {
		m.fail(c, err.RetryAfter)
		return
	}
	c.attempt++
	c.exclude, c.sent = append(c.exclude, plan.Replica.Name), m.now
	d.sent[plan.Replica.Name] = append(d.sent[plan.Replica.Name], m.now)
	r := m.replicas[plan.Replica.Name[1]-'0']
	m.after(modelDelay, func() { r.take(d, c) })
}

// take runs, queues or rejects a call.
func (r *modelReplica) take(d *modelDaemon, c *modelCall) {
	m := d.m
	start := func() {
		r.running++
		m.after(c.work*time.Duration(r.pace)/100, func() {
			r.running--
			if len(r.queue) > 0 {
				next := r.queue[0]
				r.queue = r.queue[1:]
				next()
			}
			r.answer(d, c, false)
		})
	}
	switch {
	case r.running < replicaSlots:
		start()
	case len(r.queue) < replicaQueue:
		r.queue = append(r.queue, start)
	default:
		m.count(c, "rejected")
		r.answer(d, c, true)
	}
}

// answer brings the daemon an answer or a refusal, with the replica's load.
func (r *modelReplica) answer(d *modelDaemon, c *modelCall, refused bool) {
	m := d.m
	if m.deadFrom > 0 && m.now > m.deadFrom && r.name == "s2" {
		m.after(modelSilence, func() {
			d.fleet.replica("s2").EjectedUntil = t0.Add(modelRun)
			d.forecast.Report(t0.Add(m.now), "s2", ServiceLoad{})
			m.count(c, "failed")
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
			m.count(c, "unstated")
		} else {
			known := d.fleet.replica(r.name)
			known.Active, known.Queued, known.LoadAt = l.Running, l.Waiting, now.Add(-100*ms)
			d.forecast.Report(now, r.name, l)
			if !refused {
				d.forecast.Answered(now, l, m.now-c.sent)
			}
		}
		if !refused {
			m.count(c, "answered")
		}
		switch {
		case !refused && m.now-c.accepted > d.fleet.bundle.Classes[c.class].FirstToken():
			m.count(c, "late")
		case refused && len(c.exclude) < len(m.replicas):
			d.try(c)
		case refused:
			m.fail(c, time.Second)
		}
		if len(d.waiting) > 0 {
			d.try(d.waiting[0])
		}
	})
}

// playModel returns the counts over a few seeds.
func playModel(forecast bool, change func(*serviceModel)) callCounts {
	sum := callCounts{}
	for seed := range uint64(4) {
		m := newServiceModel(seed)
		m.forecast = forecast
		change(m)
		m.run()
		for what, n := range m.counts {
			sum[what] += n
		}
	}
	return sum
}

// share returns the calls of some counts, all of bursts or none, as a share of those that arrived.
func (c callCounts) share(whats ...string) float64 {
	n, arrived := 0, "arrived"
	for _, what := range whats {
		n += c[what]
		if strings.HasPrefix(what, "burst ") {
			arrived = "burst arrived"
		}
	}
	return float64(n) / float64(c[arrived])
}

// Guards against calls that are sent to replicas whose queues are full or whose machines are slow, since
// what a daemon knows of them is a second old. In the crest of a wave, a burst of 2 is more than the
// replicas can do: many calls are late either way, but 1 in 5 is rejected by a replica without the
// forecast. A burst of 1.8 is about what they can do.
func TestForecastUnderBursts(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ burst, lateBefore, lateAfter, rejectedBefore, rejectedAfter float64 }{
		{burst: 1.5, lateBefore: 0.02, lateAfter: 0.015, rejectedAfter: 0.01},
		{burst: 1.8, lateBefore: 0.08, lateAfter: 0.08, rejectedBefore: 0.03, rejectedAfter: 0.025},
		{burst: 2, lateBefore: 0.14, lateAfter: 0.16, rejectedBefore: 0.18, rejectedAfter: 0.05},
	} {
		change := func(m *serviceModel) { m.burst = c.burst }
		before, after := playModel(false, change), playModel(true, change)
		for _, n := range []callCounts{before, after} {
			t.Logf("bursts of %.1f: late in bursts %.3f failed %.3f, late %.3f rejected %.3f",
				c.burst, n.share("burst late"), n.share("burst failed"), n.share("late"), n.share("rejected"))
		}
		if before.share("burst late") < c.lateBefore || before.share("rejected") < c.rejectedBefore {
			t.Errorf("bursts of %.1f: the model does not show the load", c.burst)
		}
		if after.share("burst late") > c.lateAfter || after.share("rejected") > c.rejectedAfter {
			t.Errorf("bursts of %.1f: more late or rejected calls than allowed", c.burst)
		}
	}
}

// Guards against a changed choice for services whose replicas state no pace.
func TestServicesWithoutPaceArePickedAsBefore(t *testing.T) {
	t.Parallel()
	noPace := func(m *serviceModel) { m.withPace = false }
	if before, after := playModel(false, noPace), playModel(true, noPace); !maps.Equal(before, after) {
		t.Errorf("before %v, after %v", before, after)
	}
}

// Guards against calls that wait without end or all go to one replica after a replica has stopped
// stating its load, or has died with calls.
func TestForecastWhenAReplicaFailsHalfway(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*serviceModel){
		"states no load": func(m *serviceModel) { m.silentFrom = modelRun / 3 },
		"dies":           func(m *serviceModel) { m.deadFrom = 4 * time.Second },
	} {
		before, after := playModel(false, change), playModel(true, change)
		t.Logf("%s: before %v, after %v", name, before, after)
		if after["answered"]+after["failed"] != after["arrived"] {
			t.Errorf("%s: some calls were neither answered nor failed", name)
		}
		if after.share("late", "failed") > 1.05*before.share("late", "failed") {
			t.Errorf("%s: more calls are late or fail than before", name)
		}
		if after.share("unstated") < before.share("unstated")/3 {
			t.Errorf("%s: the replica gets too few calls", name)
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

// Guards against replicas in slow start that count as too slow for every deadline, and against a slow
// start that the forecast ignores.
func TestForecastAndSlowStart(t *testing.T) {
	f, q := newFleet(2), query(bundle.Urgent)
	f.updatePool("s", func(r *Replica) { r.Queues, r.Weight = true, 0.02 })
	f.replica("s1").Weight = 0.1
	q.Deadline, q.Forecast = t0.Add(time.Second), &Forecast{}
	for range 3 {
		q.Forecast.Report(t0, "s0", ServiceLoad{Slots: 6, Pace: 100})
		q.Forecast.Answered(t0, ServiceLoad{Slots: 6, Pace: 100}, 30*ms)
	}
	for seed := range uint64(20) {
		p, err := reserve{}.PickService(f.snapshot(), f.inflight, "s", q, seededRand(seed))
		if err != nil || p.Replica.Name != "s1" || p.Predicted.End != 30*ms {
			t.Fatalf("got %s, %+v, %v", p.Replica.Name, p.Predicted, err)
		}
	}
}
