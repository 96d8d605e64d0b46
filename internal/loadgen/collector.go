package loadgen

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/corianderturn/corianderturn/bundle"
)

const (
	histogramMax    = 10 * time.Minute
	histogramDigits = 3
	// maxFaults bounds the faults that a report describes one by one.
	maxFaults = 50
)

// collector adds up results. It is safe for concurrent use.
type collector struct {
	targets Targets
	warmup  time.Duration

	mu        sync.Mutex
	all       *tally
	steady    *tally
	classes   map[bundle.Class]*tally
	kinds     map[Kind]*tally
	refusals  map[KindCount]int
	faults    []Fault
	replays   int
	tokens    int64
	answered  int
	cancelled int
	calls     []Result
}

func newCollector(targets Targets, warmup time.Duration) *collector {
	c := &collector{
		targets:  targets,
		warmup:   warmup,
		all:      newTally("all"),
		steady:   newTally("steady"),
		classes:  map[bundle.Class]*tally{},
		kinds:    map[Kind]*tally{},
		refusals: map[KindCount]int{},
	}
	for _, k := range Kinds() {
		c.kinds[k] = newTally(string(k))
		c.classes[k.Class()] = newTally(string(k.Class()))
	}
	return c
}

func (c *collector) add(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all.add(r, c.targets)
	if r.Spec.At >= c.warmup {
		c.steady.add(r, c.targets)
		c.classes[r.Spec.Kind.Class()].add(r, c.targets)
		c.kinds[r.Spec.Kind].add(r, c.targets)
	}
	if r.Kind != "" {
		c.refusals[KindCount{Kind: r.Kind, Run: r.Run}]++
	}
	if r.Outcome.Fault() && len(c.faults) < maxFaults {
		c.faults = append(c.faults, Fault{r.Outcome, r.Spec.Kind, r.Spec.Key, r.Target, r.Detail})
	}
	c.replays += r.Replays
	if r.Spec.Kind == KindSubmit {
		c.calls = append(c.calls, r)
	}
	if !r.Spec.Kind.Completion() {
		return
	}
	switch r.Outcome {
	case Answered:
		c.answered++
	case Cancelled:
		c.cancelled++
	}
	if r.Outcome != Refused && r.Outcome != Dropped {
		c.tokens += int64(r.Tokens)
	}
}

// report fills in everything but the run's own description.
func (c *collector) report(measured time.Duration) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	rep := &Report{
		Targets: c.targets, Measured: measured, Replays: c.replays, TokensSeen: c.tokens,
		All: c.all.section(measured + c.warmup), Steady: c.steady.section(measured),
		Faults: c.faults, AnsweredCompletions: c.answered, CancelledCompletions: c.cancelled,
	}
	for _, class := range []bundle.Class{bundle.Urgent, bundle.Draft} {
		rep.Classes = append(rep.Classes, c.classes[class].section(measured))
	}
	for _, k := range Kinds() {
		rep.Kinds = append(rep.Kinds, c.kinds[k].section(measured))
	}
	for k, n := range c.refusals {
		k.Count = n
		rep.Refusals = append(rep.Refusals, k)
	}
	slices.SortFunc(rep.Refusals, func(a, b KindCount) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Run, b.Run))
	})
	return rep
}

// tally adds up one group of requests.
type tally struct {
	name             string
	offered          int
	outcomes         map[Outcome]int
	good, goodStrict int
	first            *hdrhistogram.Histogram
	between          *hdrhistogram.Histogram
	total            *hdrhistogram.Histogram
}

func newTally(name string) *tally {
	return &tally{
		name:     name,
		outcomes: map[Outcome]int{},
		first:    newHistogram(),
		between:  newHistogram(),
		total:    newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits)
}

func (t *tally) add(r Result, targets Targets) {
	t.offered++
	t.outcomes[r.Outcome]++
	if targets.Met(r, false) {
		t.good++
	}
	if targets.Met(r, true) {
		t.goodStrict++
	}
	if r.Outcome != Answered {
		return
	}
	record(t.total, r.Total)
	if !r.Seen {
		return
	}
	record(t.first, r.First)
	for _, g := range r.gaps {
		record(t.between, g)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax.Microseconds()))
}

func (t *tally) section(measured time.Duration) Section {
	s := Section{
		Name: t.name, Offered: t.offered, Good: t.good, GoodStrict: t.goodStrict,
		FirstToken: quantiles(t.first), BetweenTokens: quantiles(t.between), Total: quantiles(t.total),
	}
	if measured > 0 {
		s.Goodput = float64(t.good) / measured.Seconds()
	}
	for _, o := range Outcomes() {
		if n := t.outcomes[o]; n > 0 {
			s.Outcomes = append(s.Outcomes, OutcomeCount{o, n})
		}
	}
	return s
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(us int64) float64 { return float64(us) / float64(time.Millisecond/time.Microsecond) }
	return Quantiles{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)),
		P95:   ms(h.ValueAtQuantile(95)),
		P99:   ms(h.ValueAtQuantile(99)),
		Max:   ms(h.Max()),
	}
}

// Timer collects latencies outside of a run. It is not safe for concurrent use.
type Timer struct{ h *hdrhistogram.Histogram }

// NewTimer returns an empty timer.
func NewTimer() *Timer { return &Timer{newHistogram()} }

// Record adds one latency.
func (t *Timer) Record(d time.Duration) { record(t.h, d) }

// Quantiles sums up the latencies.
func (t *Timer) Quantiles() Quantiles { return quantiles(t.h) }
