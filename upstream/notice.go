package upstream

import "time"

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
	// Request says that the call bore a request, or its prompt; other calls count for no limit.
	Request bool
	// Ran says that the upstream worked on the request, so that a limit that is not named is
	// not in force. Refusals may come from something in front of it.
	Ran bool
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
