package site

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The rule by which users judge what an upstream that names a limit gets: in any LimitWindow,
// limitExcess times what the limit allows and limitSlack requests besides, from LimitContact
// after it first named it.
const (
	LimitWindow  = 4 * time.Second
	LimitContact = 3 * time.Second
	limitExcess  = 1.5
	limitSlack   = 5.0
)

// rateLimit is what an upstream says of its limit, and what reached it. It is safe for
// concurrent use.
type rateLimit struct {
	mu   sync.Mutex
	text string // empty for none
	// arrivals are those of requests and prompts, whatever became of them.
	arrivals []Arrival
}

// NameLimit makes the upstream name a limit in all its answers from now on, in requests a
// second.
func (u *Upstream) NameLimit(perSecond float64) {
	u.NameLimitAs(strconv.FormatFloat(perSecond, 'g', -1, 64))
}

// NameLimitAs is NameLimit with any text; an empty one ends the limit.
func (u *Upstream) NameLimitAs(text string) {
	u.limit.mu.Lock()
	defer u.limit.mu.Unlock()
	u.limit.text = text
}

// arrived counts a request and lets its answer name the limit.
func (l *rateLimit) arrived(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.text != "" {
		w.Header().Set("Server-Limit", l.text)
	}
	if r.Header.Get("Attempt-Id") != "" {
		l.arrivals = append(l.arrivals, Arrival{ID: r.Header.Get("Attempt-Id"), At: time.Now()})
	}
}

// Arrival is a request that reached an upstream, or its prompt.
type Arrival struct {
	ID string
	At time.Time
}

// LimitAllows returns how many requests a limit allows in any LimitWindow.
func LimitAllows(perSecond float64) float64 {
	return limitExcess*perSecond*LimitWindow.Seconds() + limitSlack
}

// Requests returns the requests and prompts that reached the upstream, in their order.
func (u *Upstream) Requests() []Arrival {
	u.limit.mu.Lock()
	defer u.limit.mu.Unlock()
	return slices.Clone(u.limit.arrivals)
}

// Overrun returns the most requests of any LimitWindow that begins after a time, and how many
// a limit allows in one.
func (u *Upstream) Overrun(after time.Time, perSecond float64) (most int, allowed float64) {
	list := u.Requests()
	allowed = LimitAllows(perSecond)
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
