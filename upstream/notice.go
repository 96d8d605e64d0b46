package upstream

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// RateLimitNotice is what one response of an upstream states about the upstream's rate limit.
type RateLimitNotice struct {
	// Upstream is the upstream's name.
	Upstream string
	// Sent is when the request was sent, and Received when its response began to arrive. The
	// upstream wrote the response between these two times.
	Sent, Received time.Time
	// HasLimit reports whether the response states a limit. Limit is that limit, in requests per
	// second from all daemons together.
	HasLimit bool
	Limit    float64
	// Invalid is the quoted value of a limit that cannot be parsed; empty if there is none.
	Invalid string
	// Executed reports whether the upstream itself ran the request. Only then does a response
	// without a limit mean that the upstream has none: a refusal may come from a proxy.
	Executed bool
}

// NewRateLimitNotice returns the RateLimitNotice of a response. values are the values of its
// rate limit header. There should be at most one; if there are several, the lowest applies.
func NewRateLimitNotice(name string, sent, received time.Time, values []string, ran bool) RateLimitNotice {
	n := RateLimitNotice{Upstream: name, Sent: sent, Received: received, Executed: ran}
	for _, text := range values {
		limit, ok := parseLimit(text)
		switch {
		case !ok:
			n.Invalid = strconv.Quote(text)
		case !n.HasLimit || limit < n.Limit:
			n.HasLimit, n.Limit = true, limit
		}
	}
	return n
}

// parseLimit parses a limit in requests per second.
func parseLimit(text string) (limit float64, ok bool) {
	limit, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return 0, false
	}
	return limit, true
}

// RateLimitObserver is notified of the rate limits that responses state. Implementations must be safe
// for concurrent use and must not block.
type RateLimitObserver interface {
	// ObserveRateLimit is called once for each response, whether or not it states a limit.
	ObserveRateLimit(n RateLimitNotice)
}

// NoRateLimitObserver is a RateLimitObserver that ignores all notices.
type NoRateLimitObserver struct{}

// ObserveRateLimit implements RateLimitObserver.
func (NoRateLimitObserver) ObserveRateLimit(RateLimitNotice) {}
