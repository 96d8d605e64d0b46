package upstream

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Notice is what one answer of an upstream says of its rate limit.
type Notice struct {
	// Upstream is its name.
	Upstream string
	// Sent is when the request was sent, and Came when its answer began to arrive. The upstream
	// wrote the answer at some moment between them.
	Sent, Came time.Time
	// Named says that the answer names a limit: Limit requests a second, from all daemons.
	Named bool
	Limit float64
	// Unreadable is a limit that is named in a way that cannot be read, quoted; empty where
	// there is none.
	Unreadable string
	// Ran says that the upstream worked on the request, so that a limit that is not named is
	// not in force. Refusals may come from something in front of it.
	Ran bool
}

// NoticeOf returns what the values of an answer's limit header say, of which there is none or
// one; of several the lowest holds.
func NoticeOf(name string, sent, came time.Time, values []string, ran bool) Notice {
	n := Notice{Upstream: name, Sent: sent, Came: came, Ran: ran}
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

// parseLimit reads a limit in requests a second.
func parseLimit(text string) (limit float64, ok bool) {
	limit, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return 0, false
	}
	return limit, true
}

// Notices hears what answers say of rate limits. Implementations are safe for concurrent use
// and do not block.
type Notices interface {
	Noticed(n Notice)
}

// NoNotices drops them.
type NoNotices struct{}

// Noticed implements Notices.
func (NoNotices) Noticed(Notice) {}
