package steward

import (
	"math/rand/v2"
	"time"
)

// intervals holds the times between two polls of one upstream for its load, its
// cache events and its held memory.
type intervals struct {
	load, events, held time.Duration
}

// pollTask names an upstream to poll and what to request from it.
type pollTask struct {
	upstream           string
	load, events, held bool
}

// upstreamSchedule holds the times of the next polls of one upstream. inProgress is
// set while a poll runs; failures counts the failed polls since the last success.
type upstreamSchedule struct {
	nextLoad, nextEvents, nextHeld time.Time
	inProgress, isEngine           bool
	failures                       int
}

const (
	// maxFailureStretch limits the factor by which failed polls lengthen the
	// intervals of an upstream.
	maxFailureStretch = 4
	// fullRateUpstreams is the number of upstreams up to which each is polled at the
	// configured intervals. Above it the intervals grow in proportion to the number,
	// so that polling takes the same few KB/s. At the design size a steward has 32.
	fullRateUpstreams = 4
	// maxShareStretch limits the growth for a daemon that has to poll a whole data
	// centre alone: loads must be read at least about every ten seconds, even if
	// polling then takes more bandwidth.
	maxShareStretch = 20
)

// scheduler decides when to poll the upstreams that this daemon is steward of. It
// is not safe for concurrent use.
type scheduler struct {
	intervals intervals
	rng       *rand.Rand
	upstreams map[string]*upstreamSchedule
}

func newScheduler(pollIntervals intervals, rng *rand.Rand) *scheduler {
	return &scheduler{intervals: pollIntervals, rng: rng, upstreams: map[string]*upstreamSchedule{}}
}

// assign sets the upstreams to poll and whether each is an engine. It returns the
// names that were assigned before and no longer are. The held memory of a new
// engine is listed at once, because its previous steward may have died together
// with daemons that own work on the engine.
func (s *scheduler) assign(now time.Time, isEngine map[string]bool) (dropped []string) {
	for name := range s.upstreams {
		if _, ok := isEngine[name]; !ok {
			delete(s.upstreams, name)
			dropped = append(dropped, name)
		}
	}
	for name, engine := range isEngine {
		if u := s.upstreams[name]; u != nil {
			u.isEngine = engine
			continue
		}
		s.upstreams[name] = &upstreamSchedule{isEngine: engine, nextHeld: now, nextLoad: now, nextEvents: s.jitteredTime(now, s.intervals.events, 1)}
	}
	return dropped
}

// listAllNow makes listings of held memory due for all engines.
func (s *scheduler) listAllNow(now time.Time) {
	for _, u := range s.upstreams {
		u.nextHeld = now
	}
}

// due returns up to limit polls that are due and marks their upstreams as in
// progress until finish is called.
func (s *scheduler) due(now time.Time, limit int) []pollTask {
	var out []pollTask
	for name, u := range s.upstreams {
		if len(out) >= limit {
			break
		}
		task := pollTask{
			upstream: name,
			load:     !now.Before(u.nextLoad),
			events:   u.isEngine && !now.Before(u.nextEvents),
			held:     u.isEngine && !now.Before(u.nextHeld),
		}
		if u.inProgress || !task.load && !task.events && !task.held {
			continue
		}
		u.inProgress = true
		u.reschedule(now, task, s)
		out = append(out, task)
	}
	return out
}

// reschedule sets the next times of everything that task requests.
func (u *upstreamSchedule) reschedule(now time.Time, task pollTask, s *scheduler) {
	stretch := min(1+u.failures, maxFailureStretch) * s.shareStretch()
	if task.load {
		u.nextLoad = s.jitteredTime(now, s.intervals.load, stretch)
	}
	if task.events {
		u.nextEvents = s.jitteredTime(now, s.intervals.events, stretch)
	}
	if task.held {
		u.nextHeld = s.jitteredTime(now, s.intervals.held, stretch)
	}
}

// shareStretch returns the factor by which the number of upstreams lengthens the
// intervals.
func (s *scheduler) shareStretch() int {
	return min(max(1, len(s.upstreams)/fullRateUpstreams), maxShareStretch)
}

// finish records the end of a poll and whether it succeeded. If nextListing is not
// zero and before the scheduled listing of held memory, it replaces that time.
func (s *scheduler) finish(upstream string, ok bool, nextListing time.Time) {
	u := s.upstreams[upstream]
	if u == nil {
		return
	}
	u.inProgress = false
	u.failures++
	if ok {
		u.failures = 0
	}
	if !nextListing.IsZero() && nextListing.Before(u.nextHeld) {
		u.nextHeld = nextListing
	}
}

// jitteredTime returns now plus interval times stretch, with a random deviation of
// up to a tenth so that the polls of many stewards are spread over time.
func (s *scheduler) jitteredTime(now time.Time, interval time.Duration, stretch int) time.Time {
	d := interval * time.Duration(stretch)
	return now.Add(d - d/10 + time.Duration(s.rng.Int64N(int64(d/5)+1)))
}
