package relay

import "github.com/corianderturn/corianderturn/ratelimit"

// Limits supplies the rate limits that upstreams report in their responses to this daemon,
// and receives those that other daemons have learned. Implementations are safe for
// concurrent use and do not block.
//
// If daemons did not exchange these limits, a daemon that sends nothing to an upstream would
// not learn that the upstream's limit has changed or was removed, and a daemon that has just
// started would exceed the limit until it gets its first response.
type Limits interface {
	// Changes returns the limits that changed recently, or all limits in force if all is set.
	Changes(all bool) []ratelimit.Record
	// Update stores the limits that another daemon sent.
	Update(list []ratelimit.Record)
}

// noLimits is the Limits of a daemon that shares no rate limits.
type noLimits struct{}

func (noLimits) Changes(bool) []ratelimit.Record { return nil }

func (noLimits) Update([]ratelimit.Record) {}
