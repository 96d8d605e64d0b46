package site

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The bound on the requests that daemons send to an upstream that reports a rate limit,
// as the users require it. Once LimitGracePeriod has passed since the upstream first
// reported the limit, it may receive in any period of LimitWindow at most limitTolerance
// times the requests that the limit allows, plus limitBurst. See AllowedRequests.
const (
	LimitWindow      = 4 * time.Second
	LimitGracePeriod = 3 * time.Second
	limitTolerance   = 1.5
	limitBurst       = 5.0 // requests
)

// rateLimit is the rate limit that an upstream reports, and the requests that have
// reached the upstream. It is safe for concurrent use.
type rateLimit struct {
	mu          sync.Mutex
	headerValue string // value of the Server-Limit header; empty if no limit is reported
	// arrivals has all requests and prefills that arrived, including rejected ones.
	arrivals []Arrival
}

// SetLimit makes the upstream report a limit in all its responses from now on, in
// requests per second.
func (u *Upstream) SetLimit(perSecond float64) {
	u.SetLimitHeader(strconv.FormatFloat(perSecond, 'g', -1, 64))
}

// SetLimitHeader is like SetLimit, but with any text as the value of the header, valid
// or not. With an empty text the upstream reports no limit.
func (u *Upstream) SetLimitHeader(text string) {
	u.limit.mu.Lock()
	defer u.limit.mu.Unlock()
	u.limit.headerValue = text
}

// recordArrival records the arrival of a request or a prefill, and adds the limit to
// the headers of every response.
func (l *rateLimit) recordArrival(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.headerValue != "" {
		w.Header().Set("Server-Limit", l.headerValue)
	}
	if r.Header.Get("Attempt-Id") != "" {
		l.arrivals = append(l.arrivals, Arrival{ID: r.Header.Get("Attempt-Id"), At: time.Now()})
	}
}

// Arrival is the arrival of a request or of its prefill at an upstream.
type Arrival struct {
	ID string
	At time.Time
}

// AllowedRequests returns the largest number of requests that an upstream may receive in
// any LimitWindow while it reports the limit perSecond.
func AllowedRequests(perSecond float64) float64 {
	return limitTolerance*perSecond*LimitWindow.Seconds() + limitBurst
}

// Requests returns the requests and prefills that reached the upstream, in order of
// time.
func (u *Upstream) Requests() []Arrival {
	u.limit.mu.Lock()
	defer u.limit.mu.Unlock()
	return slices.Clone(u.limit.arrivals)
}

// MaxRequests returns the largest number of requests that arrived in any LimitWindow that
// begins no earlier than after, and the number that AllowedRequests returns for the limit.
func (u *Upstream) MaxRequests(after time.Time, perSecond float64) (most int, allowed float64) {
	list := u.Requests()
	allowed = AllowedRequests(perSecond)
	for i, from := range list {
		if from.At.Before(after) {
			continue
		}
		n := 0
		for _, at := range list[i:] {
			if at.At.Sub(from.At) < LimitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most, allowed
}
