// Package fleet combines the current configuration with the registered upstreams into
// the view by which requests are routed: a table of routes, and a bundle (the form of
// configuration that packages board and policy read).
//
// An upstream is a back end: a model engine or a replica of a plain service. It registers
// itself in the platform's store under a lease. Its registration ends when the upstream
// withdraws it, or expires when the lease is not renewed. A caller is a client that sends
// requests to a daemon.
//
// Registry does no I/O: it consumes events with their time and produces immutable
// Views. Watcher reads the events from a Store and is the only writer of its Registry.
package fleet

import (
	"time"

	"github.com/corianderturn/corianderturn/quota"
	"github.com/corianderturn/corianderturn/teams"
)

// Config is one complete version of the configuration. It is immutable.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   CallerLimits
	// Teams are the customers with API keys. If there are none, requests need no key.
	Teams []Team
}

// Team is a customer, with its API keys, priority and rate limit.
type Team struct {
	Name string
	// Keys are the digests of the team's API keys.
	Keys []teams.Digest
	// Priority overrides the priority of the route; nil keeps the route's priority.
	Priority *int
	// Limit is the team's rate limit, in tokens if Tokens is set, else in requests.
	// PlainTokens is the number of tokens charged for a request without a token count.
	Limit       quota.Limit
	Tokens      bool
	PlainTokens int
}

// Kind is the kind of a route's requests: whether a request may be executed more than once,
// and whether the response is a stream.
type Kind uint8

// The kinds. The zero value is the most restrictive one.
const (
	// Once means that a request may be executed at most once.
	Once Kind = iota
	// Idempotent means that a request may be executed more than once.
	Idempotent
	// Stream means that the response is a stream of events. A request may be executed
	// at most once unless the route is resumable.
	Stream
)

// Route defines how requests to a host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout bounds the time from the request to the end of its response. FirstTarget is
	// the latency target of the first byte or event, and GapTarget is the target of the
	// interval between two events; a target of 0 means none.
	Timeout, FirstTarget, GapTarget time.Duration
	// Priority orders requests; 0 is the highest.
	Priority int
	// Targets are the services of the route. Each request goes to one of them, selected
	// at random by weight.
	Targets []Target
	// MaxSends is the maximum number of upstreams that one request is sent to; at least 1.
	MaxSends int
	// Resumable means that a broken stream may be continued on another engine.
	Resumable bool
	// Public means that requests need no API key.
	Public bool
}

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable upstreams.
type Service struct {
	HealthPath string
	// MaxConns is the number of connections that one upstream accepts from all daemons
	// together; 0 means unknown.
	MaxConns int
	// Engine describes the model engines; nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of one service, which are all alike.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// MemoryTokens is the KV cache capacity of an engine in tokens.
	MemoryTokens int
	// TokenBytes is the size of the KV cache for one token.
	TokenBytes int64
	// LinkBytesPerSecond is the bandwidth of an engine's KV transfer link; 0 means
	// unlimited.
	LinkBytesPerSecond int64
	// HandleLife is how long an engine keeps the KV cache of a finished prefill.
	// MaxHold is the longest time for which a slot may be reserved.
	HandleLife, MaxHold time.Duration
	// RoleSwitch is how long an engine is unavailable while it changes its role.
	RoleSwitch time.Duration
	// EventTokens is the number of tokens in one event of a stream; at least 1.
	EventTokens int
}

// CallerLimits bounds the size of requests and the time that callers may take to send them.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Role is the current role of an upstream.
type Role uint8

// The roles.
const (
	RolePlain Role = iota // upstream of a plain service, not an engine
	RolePrefill
	RoleDecode
)

// Registration is the record by which an upstream announces itself. It is comparable.
type Registration struct {
	// Name stays the same when the upstream restarts. Born identifies the incarnation, that
	// is, one run of the upstream's process: it is the start time by the upstream's own wall
	// clock in Unix milliseconds, or 0 if the upstream does not report it.
	Name string
	Born int64
	// Version is the version of the upstream's software. What two versions generate does not fit
	// together.
	Version    string
	Service    string
	Address    string
	DataCentre string
	Role       Role
	Slots      int
	Draining   bool
	// Sequence counts what the incarnation has written to the store. Most of it only renews the
	// registration, and is not seen here.
	Sequence uint64
}

// SameState reports whether two registrations of an upstream differ in their sequences at most.
func (r *Registration) SameState(o *Registration) bool {
	renewed := *o
	renewed.Sequence = r.Sequence
	return *r == renewed
}

// olderThan reports whether the upstream wrote r before o.
func (r *Registration) olderThan(o *Registration) bool {
	if r.Born != o.Born && r.Born != 0 && o.Born != 0 {
		return r.Born < o.Born
	}
	return r.Sequence < o.Sequence
}

// String returns the name used in logs.
func (r Role) String() string { return [...]string{"plain", "prefill", "decode"}[r] }
