package policy

import (
	"math"
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/estimate"
)

const (
	// forecastHalfLife is the age at which half of a stated load counts, and the other half is the mean
	// of what the replicas have stated lately. Queues fill and empty within tenths of a second, so that
	// an older load says little of the replica.
	forecastHalfLife = 500 * time.Millisecond
	// forecastLifetime is the age at which a stated load is dropped. A service none of whose replicas
	// has stated a pace for as long is served as one that states none.
	forecastLifetime = 10 * time.Second
	// meanHalfLife is the age at which the latest loads of all replicas count for half of their mean.
	meanHalfLife = time.Second
	// paceHalfLife is the age at which later paces of a replica count as much as earlier ones in its mean.
	paceHalfLife = 5 * time.Second
	// usualPace is the pace of a machine on which work takes the usual time, in percent.
	usualPace = 100
	// maxPace bounds the paces that are believed. A misread or hostile figure would otherwise keep all
	// calls away, and the mean time of work would be estimated as nothing.
	maxPace = 10_000
)

// ServiceLoad is the load that a replica of a plain service states with a response.
type ServiceLoad struct {
	Running, Waiting, Slots int
	// Pace is the duration of work on the replica's machine, in percent of the usual one; 0 if the
	// replica does not state it.
	Pace int
	// Refused is set if the response rejected a call.
	Refused bool
}

// Forecast predicts when calls to the replicas of one plain service would begin and end, from the loads
// that the replicas have stated with their responses and from this daemon's own calls since. It reads no
// clock and does no I/O. The zero value knows nothing. It is safe for concurrent use.
//
// Load pattern: tens of daemons before three replicas with a few slots each. A replica gets some 70 to
// 200 calls a second, but each daemon hears of it about once a second, with its own calls, while a queue
// of 24 calls fills and empties within tenths of a second. Therefore a stated load fades with its age
// into means: the queue into that of all replicas, the pace first into the replica's own. The means fade
// into nothing; replicas of which nothing is known are equal.
type Forecast struct {
	mu       sync.Mutex
	replicas map[string]*statedLoad
	// work is the mean time of a call at the usual pace, in nanoseconds.
	work estimate.Mean
	// backlog and pace are the means over the latest loads of all replicas: the calls that run or wait,
	// and the pace. slots is the last stated number of slots.
	backlog, pace float64
	slots         int
	meanAt        time.Time
	paceAt        time.Time // the last load with a pace
}

// statedLoad is the last load that a replica stated.
type statedLoad struct {
	ServiceLoad
	at time.Time
	// meanPace is the moving mean of the paces that the replica has stated. A machine that is often slow
	// stays recognizable although its pace changes faster than a daemon hears of it.
	meanPace float64
	// queueLimit is the number of calls that may wait there, as far as refusals have shown; 0 if none
	// has. mostWaiting is the largest number that has waited, and limitAt the time of the last refusal.
	queueLimit, mostWaiting int
	limitAt                 time.Time
}

// Prediction is what a Forecast expects of one call to a replica.
type Prediction struct {
	// Begin and End are the times until the call would begin and end.
	Begin, End time.Duration
	// Age is the age of the replica's stated load; 0 if there is none.
	Age time.Duration
	// Full is set if the replica's queue is expected to have no room.
	Full bool
}

// Report records the load that a replica stated with a response.
func (f *Forecast) Report(now time.Time, replica string, l ServiceLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.Slots <= 0 || l.Pace <= 0 || l.Pace > maxPace || l.Running < 0 || l.Waiting < 0 {
		delete(f.replicas, replica)
		return
	}
	f.dropOld(now)
	s := f.replicas[replica]
	if s == nil {
		s = &statedLoad{}
		f.replicas[replica] = s
	}
	if s.at.IsZero() {
		s.meanPace = float64(l.Pace)
	}
	s.meanPace += (1 - fade(now.Sub(s.at), paceHalfLife)) * (float64(l.Pace) - s.meanPace)
	s.ServiceLoad, s.at = l, now
	s.learnLimit(now)
	weight := 1 - fade(now.Sub(f.meanAt), meanHalfLife)
	f.backlog += weight * (float64(l.Running+l.Waiting) - f.backlog)
	f.pace += weight * (float64(l.Pace) - f.pace)
	f.slots, f.meanAt, f.paceAt = l.Slots, now, now
}

// learnLimit learns from the latest load how many calls may wait. A refusal proves a full queue only if
// every slot is taken and as many calls wait: replicas also refuse for other reasons, and a limit that
// is too low would keep calls away which the replica would take. A limit therefore also expires.
func (s *statedLoad) learnLimit(now time.Time) {
	s.mostWaiting = max(s.mostWaiting, s.Waiting)
	switch {
	case s.Refused && s.Running >= s.Slots && s.Waiting >= s.Slots:
		s.queueLimit, s.limitAt = s.mostWaiting, now
	case now.Sub(s.limitAt) >= forecastLifetime:
		s.queueLimit = 0
	case s.queueLimit > 0:
		s.queueLimit = s.mostWaiting
	}
}

// dropOld drops loads that are too old to say anything; f.mu must be held.
func (f *Forecast) dropOld(now time.Time) {
	if f.replicas == nil {
		f.replicas = map[string]*statedLoad{}
	}
	if f.meanAt.IsZero() || now.Sub(f.meanAt) >= forecastLifetime {
		clear(f.replicas)
		f.backlog, f.pace = 0, usualPace
	}
}

// Answered records how long a replica took for a call, from when it was sent. The load is that of the
// answer. Only calls that did not wait at the replica count: while others wait, the time is not that of
// the work.
func (f *Forecast) Answered(now time.Time, l ServiceLoad, took time.Duration) {
	if l.Pace <= 0 || l.Pace > maxPace || l.Waiting > 0 || l.Running >= l.Slots {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.work.Add(now, float64(took)*usualPace/float64(l.Pace))
}

// Ready reports whether the service's replicas have lately stated a pace and the time of their work is
// known, so that predictions may be used. It returns false for nil.
func (f *Forecast) Ready(now time.Time) bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.work.Value(now)
	return known && !f.paceAt.IsZero() && now.Sub(f.paceAt) < forecastLifetime
}

// LoadAt returns when the replica stated its last load; zero if it is not known.
func (f *Forecast) LoadAt(now time.Time, replica string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.known(now, replica); s != nil {
		return s.at
	}
	return time.Time{}
}

// known returns the last load of a replica unless it is too old; f.mu must be held.
func (f *Forecast) known(now time.Time, replica string) *statedLoad {
	s := f.replicas[replica]
	if s == nil || now.Sub(s.at) >= forecastLifetime {
		return nil
	}
	return s
}

// Predict predicts a call to a replica. own is the number of this daemon's calls that would be ahead of
// it and are not part of the replica's stated load.
func (f *Forecast) Predict(now time.Time, replica string, own int) Prediction {
	f.mu.Lock()
	defer f.mu.Unlock()
	remains := fade(now.Sub(f.meanAt), forecastLifetime/4)
	backlog, pace, slots := f.backlog*remains, usualPace+(f.pace-usualPace)*remains, max(f.slots, 1)
	var p Prediction
	limit := 0
	if s := f.known(now, replica); s != nil {
		p.Age = now.Sub(s.at)
		share := fade(p.Age, forecastHalfLife)
		backlog += share * (float64(s.Running+s.Waiting) - backlog)
		pace += fade(p.Age, forecastLifetime/4) * (s.meanPace - pace)
		pace += share * (float64(s.Pace) - pace)
		slots, limit = s.Slots, s.queueLimit
	}
	work, _ := f.work.Value(now)
	work *= pace / usualPace
	waiting := backlog + float64(own) - float64(slots)
	p.Begin = time.Duration(max(0, waiting+1) / float64(slots) * work)
	p.End = p.Begin + time.Duration(work)
	p.Full = limit > 0 && waiting >= fullShare*float64(limit)
	return p
}

// fullShare is the share of a replica's queue from which on it is taken to be full. Other daemons'
// calls are on their way to it too, so that a higher share has more calls rejected, while a lower one
// refuses calls that would be in time.
const fullShare = 0.7

// fade returns the share of a value that remains at an age; it halves with each half-life.
func fade(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, age.Seconds()) / halfLife.Seconds())
}
