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
	histogramMax    = 10 * time.Minute // longer latencies are recorded as this
	histogramDigits = 3                // significant decimal digits that the histograms keep
	// maxReportedFaults bounds the faults, and the ledger discrepancies, that a report lists
	// individually.
	maxReportedFaults = 50
)

// collector aggregates the results of a run into a report. It is safe for concurrent use.
type collector struct {
	targets Targets
	warmup  time.Duration

	mu                   sync.Mutex
	allRequests          *groupStats
	steady               *groupStats
	classes              map[bundle.Class]*groupStats
	kinds                map[Kind]*groupStats
	refusals             map[KindCount]int
	faults               []Fault
	replays              int
	tokens               int64
	answeredCompletions  int
	cancelledCompletions int
	submits              []Result // the results of all submits, for the ledger
}

func newCollector(targets Targets, warmup time.Duration) *collector {
	c := &collector{
		targets:     targets,
		warmup:      warmup,
		allRequests: newGroupStats("all"),
		steady:      newGroupStats("steady"),
		classes:     map[bundle.Class]*groupStats{},
		kinds:       map[Kind]*groupStats{},
		refusals:    map[KindCount]int{},
	}
	for _, k := range Kinds() {
		c.kinds[k] = newGroupStats(string(k))
		c.classes[k.Class()] = newGroupStats(string(k.Class()))
	}
	return c
}

// record adds the result of one request.
func (c *collector) record(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allRequests.record(r, c.targets)
	if r.Spec.At >= c.warmup {
		c.steady.record(r, c.targets)
		c.classes[r.Spec.Kind.Class()].record(r, c.targets)
		c.kinds[r.Spec.Kind].record(r, c.targets)
	}
	if r.Kind != "" {
		c.refusals[KindCount{Kind: r.Kind, Run: r.Run}]++
	}
	if r.Outcome.IsFault() && len(c.faults) < maxReportedFaults {
		c.faults = append(c.faults, Fault{r.Outcome, r.Spec.Kind, r.Spec.Key, r.Target, r.Detail})
	}
	c.replays += r.Replays
	if r.Spec.Kind == KindSubmit {
		c.submits = append(c.submits, r)
	}
	if !r.Spec.Kind.IsCompletion() {
		return
	}
	switch r.Outcome {
	case Answered:
		c.answeredCompletions++
	case Cancelled:
		c.cancelledCompletions++
	}
	if r.Outcome != Refused && r.Outcome != Dropped {
		c.tokens += int64(r.Tokens)
	}
}

// report returns the report without the fields that describe the run: its name, seed,
// workload and ledger. measured is the duration of the run after the warm-up.
func (c *collector) report(measured time.Duration) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	rep := &Report{
		Targets: c.targets, Measured: measured, Replays: c.replays, TokensReceived: c.tokens,
		All: c.allRequests.section(measured + c.warmup), Steady: c.steady.section(measured),
		Faults: c.faults, AnsweredCompletions: c.answeredCompletions, CancelledCompletions: c.cancelledCompletions,
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

// groupStats counts the outcomes and records the latencies of one group of requests.
type groupStats struct {
	name             string
	offered          int
	outcomes         map[Outcome]int
	good, goodStrict int
	firstToken       *hdrhistogram.Histogram
	betweenTokens    *hdrhistogram.Histogram
	total            *hdrhistogram.Histogram
}

func newGroupStats(groupName string) *groupStats {
	return &groupStats{
		name:          groupName,
		outcomes:      map[Outcome]int{},
		firstToken:    newHistogram(),
		betweenTokens: newHistogram(),
		total:         newHistogram(),
	}
}

// newHistogram returns an empty histogram of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits)
}

// record adds the result of one request. Only answered requests count in the latencies.
func (t *groupStats) record(r Result, targets Targets) {
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
	recordLatency(t.total, r.Total)
	if !r.FirstMeasured {
		return
	}
	recordLatency(t.firstToken, r.First)
	for _, g := range r.gaps {
		recordLatency(t.betweenTokens, g)
	}
}

// recordLatency adds a latency to a histogram. Latencies outside of its range count as its limit.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax.Microseconds()))
}

// section returns the summary of the group. measured is the duration by which the goodput is
// divided.
func (t *groupStats) section(measured time.Duration) Section {
	s := Section{
		Name: t.name, Offered: t.offered, Good: t.good, GoodStrict: t.goodStrict,
		FirstToken: quantiles(t.firstToken), BetweenTokens: quantiles(t.betweenTokens), Total: quantiles(t.total),
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

// LatencyRecorder records latencies that are measured outside of a Run. It is not safe for
// concurrent use.
type LatencyRecorder struct{ h *hdrhistogram.Histogram }

// NewLatencyRecorder returns a recorder without any latencies.
func NewLatencyRecorder() *LatencyRecorder { return &LatencyRecorder{newHistogram()} }

// Record adds one latency.
func (t *LatencyRecorder) Record(d time.Duration) { recordLatency(t.h, d) }

// Quantiles returns the quantiles of the recorded latencies.
func (t *LatencyRecorder) Quantiles() Quantiles { return quantiles(t.h) }
