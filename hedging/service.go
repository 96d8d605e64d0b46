package hedging

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The response times of a service are kept for windowParts times partLength. A daemon that sees two
	// calls a second has 50 to 60 of them then.
	windowParts = 6
	partLength  = 5 * time.Second
	// minSamples is the number of response times from which quantiles are used: among fewer than 20, the
	// largest one is the 0.95 quantile.
	minSamples = 20
	// slowQuantile is the share of the calls that are faster than a slow call, and mostQuantile the least
	// share that is, if the target asks for an earlier hedge.
	slowQuantile, mostQuantile = 0.95, 0.75
	// A replica that is well answers within medianFactor times the median, and minUsual is the least time
	// that it is given: smaller differences are those of timers, collectors and the network.
	medianFactor = 2
	minUsual     = 20 * time.Millisecond
	// recentCalls and recentAge bound the calls by which a service is slow now, and promptAge those by
	// which a replica may get a hedge: with an older answer, a replica that has become slow together with
	// the first one would get some.
	recentCalls = 12
	recentAge   = 10 * time.Second
	promptAge   = 2 * time.Second
	// quantilesAge bounds how often quantiles are computed.
	quantilesAge = 250 * time.Millisecond
	// maxTime is the longest response time that the histograms tell apart from longer ones.
	maxTime = time.Minute
)

// Denial is why a slow call is not sent to a second replica.
type Denial string

// The reasons of a denial.
const (
	ServiceSlow   Denial = "service-slow"    // most recent calls of the service were slow or refused
	NoReplica     Denial = "no-replica"      // every other replica queues, rests, leaves, or was slow or refused itself
	ShareSpent    Denial = "share-spent"     // the share of the service's requests is spent
	NoRetryPermit Denial = "no-retry-permit" // the retry budget is spent
)

// Service learns from this daemon's calls to one plain service which calls are slow, and whether the
// service is. It is safe for concurrent use.
//
// The quantiles are those of all calls of the service: a daemon of a large fleet sees too few calls of
// a single replica. Calls that ended without an answer count with the time that they had, as the slow
// ones are those that are cancelled.
type Service struct {
	mu sync.Mutex
	// times holds the response times in milliseconds. partSince is when its current part began.
	times     *hdrhistogram.WindowedHistogram
	partSince time.Time
	cached    quantiles
	// recent is a ring buffer of the latest results, and latest has the latest one of each replica.
	recent [recentCalls]result
	next   int
	latest map[string]result
}

// result tells whether a call was answered in the usual time.
type result struct {
	at  time.Time
	bad bool
}

func (r result) counts(now time.Time) bool { return !r.at.IsZero() && now.Sub(r.at) < recentAge }

// quantiles are computed from the response times at a time; usual is 0 if there were too few.
type quantiles struct {
	at time.Time
	// usual is how long a replica that is well may need: a multiple of the median, which stays while fewer
	// than half of the calls are slower. most and slow are the quantiles of these names.
	usual, most, slow time.Duration
}

// NewService returns a Service that has learned nothing.
func NewService() *Service {
	const digits = 2
	return &Service{times: hdrhistogram.NewWindowed(windowParts, 1, maxTime.Milliseconds(), digits), latest: map[string]result{}}
}

// Answered records an answer of a replica after the given time.
func (s *Service) Answered(now time.Time, replica string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usual := s.quantiles(now).usual
	s.record(now, replica, took, usual > 0 && took > usual)
}

// Unanswered records a call that was cancelled, broke off or timed out after the given time.
func (s *Service) Unanswered(now time.Time, replica string, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if usual := s.quantiles(now).usual; usual > 0 && after > usual {
		s.record(now, replica, after, true)
	}
}

// Refused records that a replica refused a call or failed it.
func (s *Service) Refused(now time.Time, replica string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note(replica, result{now, true})
}

func (s *Service) record(now time.Time, replica string, took time.Duration, bad bool) {
	s.advance(now)
	_ = s.times.Current.RecordValue(min(took, maxTime).Milliseconds()) // the value is within the histogram's range
	s.note(replica, result{now, bad})
}

func (s *Service) note(replica string, r result) {
	s.recent[s.next] = r
	s.next = (s.next + 1) % recentCalls
	s.latest[replica] = r
}

// advance begins a new part of the window for each partLength that has passed, and forgets replicas that
// had no call lately.
func (s *Service) advance(now time.Time) {
	if s.partSince.IsZero() {
		s.partSince = now
	}
	parts := int(now.Sub(s.partSince) / partLength)
	if parts <= 0 {
		return
	}
	for range min(parts, windowParts) {
		s.times.Rotate()
	}
	s.partSince = s.partSince.Add(time.Duration(parts) * partLength)
	for name, r := range s.latest {
		if !r.counts(now) {
			delete(s.latest, name)
		}
	}
}

// quantiles returns the current quantiles; s.mu must be held.
func (s *Service) quantiles(now time.Time) quantiles {
	if !s.cached.at.IsZero() && now.Sub(s.cached.at) < quantilesAge {
		return s.cached
	}
	s.advance(now)
	s.cached = quantiles{at: now}
	if h := s.times.Merge(); h.TotalCount() >= minSamples {
		at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(100*q)) * time.Millisecond }
		s.cached.slow = at(slowQuantile)
		s.cached.usual, s.cached.most = max(minUsual, medianFactor*at(0.5)), at(mostQuantile)
	}
	return s.cached
}

// SlowAfter returns the time after which a call is slow: the 0.95 quantile, or earlier if a second
// replica that takes the usual time would otherwise miss the target, but never within the usual time. A
// target of 0 means that there is none. The result is 0, so that no call is hedged, while there are too few
// response times, and while the usual time exceeds the target: the whole service is slow then.
func (s *Service) SlowAfter(now time.Time, target time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.quantiles(now)
	if target > 0 {
		if q.usual > target {
			return 0
		}
		q.slow = min(q.slow, target-q.usual)
	}
	return max(q.slow, q.most, q.usual)
}

// MostlySlow reports whether most recent calls were slow, refused or failed. A second dispatch would only
// add to the load then.
func (s *Service) MostlySlow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, bad := 0, 0
	for _, r := range s.recent {
		if r.counts(now) {
			n++
			if r.bad {
				bad++
			}
		}
	}
	return 2*bad > n
}

// Prompt reports whether a replica answered its latest call within the usual time, a moment ago. One that
// has had no call for longer may have become slow together with the first one.
func (s *Service) Prompt(now time.Time, replica string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.latest[replica]
	return !r.bad && now.Sub(r.at) < promptAge
}

// used reports whether a call was recorded within the window.
func (s *Service) used(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.partSince) < (windowParts+1)*partLength
}

// Services holds a Service for each name. It is safe for concurrent use.
type Services struct {
	mu     sync.Mutex
	byName map[string]*Service
}

// Of returns the Service with a name, and creates it if needed. Services without calls within the window
// are removed then.
func (s *Services) Of(now time.Time, name string) *Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	got := s.byName[name]
	if got == nil {
		for other, service := range s.byName {
			if !service.used(now) {
				delete(s.byName, other)
			}
		}
		if s.byName == nil {
			s.byName = map[string]*Service{}
		}
		got = NewService()
		got.partSince = now
		s.byName[name] = got
	}
	return got
}
