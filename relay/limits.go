package relay

import "github.com/corianderturn/corianderturn/ratelimit"

// Limits provides the rate limits that upstreams report in their responses, and receives
// those that other daemons have learned. Implementations are safe for concurrent use and do
// not block.
//
// Without it, a daemon that sends nothing to an upstream does not learn that the upstream's
// limit has changed or was removed, and a daemon that has just started exceeds the limit
// until it gets its first response.
type Limits interface {
	// Changes returns the limits that changed recently, or all limits in force if all is set.
	Changes(all bool) []ratelimit.Record
	// Update stores limits received from another daemon.
	Update(list []ratelimit.Record)
}

// noLimits is the Limits of a daemon that shares no rate limits.
type noLimits struct{}

func (noLimits) Changes(bool) []ratelimit.Record { return nil }

func (noLimits) Update([]ratelimit.Record) {}
