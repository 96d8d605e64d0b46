package upstream

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Notice is what one response of an upstream states about the upstream's rate limit.
type Notice struct {
	// Upstream is the upstream's name.
	Upstream string
	// Sent is when the request was sent, and Came when its response began to arrive. The
	// upstream wrote the response between these two times.
	Sent, Came time.Time
	// Named reports whether the response states a limit. Limit is that limit, in requests per
	// second from all daemons together.
	Named bool
	Limit float64
	// Unreadable is the quoted value of a limit that cannot be parsed; empty if there is none.
	Unreadable string
	// Ran reports whether the upstream itself ran the request. Only then does a response
	// without a limit mean that the upstream has none: a refusal may come from a proxy.
	Ran bool
}

// NoticeOf returns the Notice of a response. values are the values of its rate limit header.
// There should be at most one; if there are several, the lowest applies.
func NoticeOf(name string, sent, received time.Time, values []string, ran bool) Notice {
	n := Notice{Upstream: name, Sent: sent, Came: received, Ran: ran}
	for _, text := range values {
		limit, ok := parseLimit(text)
		switch {
		case !ok:
			n.Unreadable = strconv.Quote(text)
		case !n.Named || limit < n.Limit:
			n.Named, n.Limit = true, limit
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

// Notices is notified of the rate limits that responses state. Implementations must be safe
// for concurrent use and must not block.
type Notices interface {
	// Noticed is called once for each response, whether or not it states a limit.
	Noticed(n Notice)
}

// NoNotices is a Notices that ignores all notices.
type NoNotices struct{}

// Noticed implements Notices.
func (NoNotices) Noticed(Notice) {}
