// Package bundle holds the versioned configuration that operators publish:
// its contents, its signed records, and the chain that decides which version
// is in force. Nothing in this package does I/O.
package bundle

import "time"

// Bundle is the full content of one version. It is immutable once adopted.
type Bundle struct {
	// Models maps a model name to its description.
	Models map[string]Model `json:"models,omitempty" yaml:"models"`
	// Pools maps a pool name to its description.
	Pools map[string]Pool `json:"pools,omitempty" yaml:"pools"`
	// Upstreams maps an upstream name to its description.
	Upstreams map[string]Upstream `json:"upstreams,omitempty" yaml:"upstreams"`
	// Services maps a plain service's name to its description.
	Services map[string]Service `json:"services,omitempty" yaml:"services"`
	// Teams maps a team name to its description.
	Teams map[string]Team `json:"teams,omitempty" yaml:"teams"`
	// Classes maps a class to its latency targets and priority.
	Classes map[Class]ClassTarget `json:"classes,omitempty" yaml:"classes"`
	// Policy holds the weights and limits of the routing policy.
	Policy PolicyConfig `json:"policy" yaml:"policy"`
}

// Class is the urgency of a request.
type Class string

// The classes.
const (
	Urgent Class = "urgent"
	Draft  Class = "draft"
)

// Model describes one model served by a pair of prefill and decode pools.
type Model struct {
	// Version is the weights' version in the weight store.
	Version string `json:"version" yaml:"version"`
	// Adapters lists the adapters that may be named with the model.
	Adapters []string `json:"adapters,omitempty" yaml:"adapters"`
	// PrefillPool and DecodePool name the pools that serve the model.
	PrefillPool string `json:"prefill_pool" yaml:"prefill_pool"`
	DecodePool  string `json:"decode_pool" yaml:"decode_pool"`
	// DecodeReads says that decode engines can read a prompt themselves, more slowly.
	DecodeReads bool `json:"decode_reads,omitempty" yaml:"decode_reads"`
	// KVBytesPerToken is the size of the KV cache for one prompt token, in bytes.
	KVBytesPerToken int64 `json:"kv_bytes_per_token" yaml:"kv_bytes_per_token"`
}

// PoolRole says what a pool's upstreams do.
type PoolRole string

// The pool roles.
const (
	RolePrefill PoolRole = "prefill"
	RoleDecode  PoolRole = "decode"
	RoleService PoolRole = "service"
)

// Pool is a set of interchangeable upstreams.
type Pool struct {
	Role PoolRole `json:"role" yaml:"role"`
	// Slots is how many requests one upstream of the pool holds at once.
	Slots int `json:"slots" yaml:"slots"`
	// Queues says that the upstreams queue what finds no slot and refuse by themselves
	// what finds no place in the queue.
	Queues bool `json:"queues,omitempty" yaml:"queues"`
	// LinkBytesPerSecond is the rate of one upstream's KV link; 0 means unlimited.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second,omitempty" yaml:"link_bytes_per_second"`
	// MemoryTokens is how many tokens of requests one decode engine holds; 0 means
	// that only Slots bound it.
	MemoryTokens int `json:"memory_tokens,omitempty" yaml:"memory_tokens"`
	// HoldMillis bounds a reservation on one decode engine; 0 means no bound.
	HoldMillis int64 `json:"hold_ms,omitempty" yaml:"hold_ms"`
	// StepMillis is the time between tokens to expect of an engine that has told none
	// yet, in milliseconds; 0 takes the policy's default.
	StepMillis float64 `json:"step_ms,omitempty" yaml:"step_ms"`
}

// UpstreamState is an upstream's place in the provider move.
type UpstreamState string

// The upstream states. A joining upstream gets orders but no requests; a
// leaving one finishes what it has and gets nothing new.
const (
	StateJoining UpstreamState = "joining"
	StateServing UpstreamState = "serving"
	StateLeaving UpstreamState = "leaving"
)

// Upstream is one engine or plain-service replica.
type Upstream struct {
	Pool       string        `json:"pool" yaml:"pool"`
	DataCentre string        `json:"data_centre" yaml:"data_centre"`
	Address    string        `json:"address" yaml:"address"`
	Provider   string        `json:"provider,omitempty" yaml:"provider"`
	State      UpstreamState `json:"state" yaml:"state"`
	// ChecksFence says whether the upstream refuses orders with an old fencing number.
	ChecksFence bool `json:"checks_fence,omitempty" yaml:"checks_fence"`
	// Life tells the lives of an upstream apart where its platform does; it is no part of
	// a bundle that is written or signed.
	Life int64 `json:"-" yaml:"-"`
}

// Service is a plain service beside the model engines.
type Service struct {
	Pool string `json:"pool" yaml:"pool"`
	// Class is the default class of calls to the service.
	Class Class `json:"class" yaml:"class"`
	// NonIdempotent lists path prefixes, below the service, whose POST, PUT, PATCH
	// and DELETE calls must run at most once.
	NonIdempotent []string `json:"non_idempotent,omitempty" yaml:"non_idempotent"`
	// TimeoutMillis bounds one call, in milliseconds.
	TimeoutMillis int64 `json:"timeout_ms" yaml:"timeout_ms"`
}

// Team is one caller.
type Team struct {
	// KeyDigests are the SHA-256 digests, in hex, of the team's bearer keys.
	KeyDigests []string `json:"key_digests,omitempty" yaml:"key_digests"`
	// Weight is the team's fair share relative to the others; at least 1.
	Weight int `json:"weight" yaml:"weight"`
	// MaxInFlight bounds the team's requests in flight on one daemon; 0 means no bound.
	MaxInFlight int `json:"max_in_flight,omitempty" yaml:"max_in_flight"`
	// Class is the default class of the team's completions.
	Class Class `json:"class" yaml:"class"`
}

// ClassTarget holds the latency targets of a class.
type ClassTarget struct {
	FirstTokenMillis    int64 `json:"first_token_ms" yaml:"first_token_ms"`
	BetweenTokensMillis int64 `json:"between_tokens_ms" yaml:"between_tokens_ms"`
	// DeadlineMillis is the default time for the whole answer.
	DeadlineMillis int64 `json:"deadline_ms" yaml:"deadline_ms"`
	// Priority is sent to engines; a larger one goes first.
	Priority int `json:"priority" yaml:"priority"`
}

// PolicyConfig holds the weights and limits of the routing policy.
type PolicyConfig struct {
	// GoodputWeight and WastedPrefillWeight say what a firm values more.
	GoodputWeight       float64 `json:"goodput_weight" yaml:"goodput_weight"`
	WastedPrefillWeight float64 `json:"wasted_prefill_weight" yaml:"wasted_prefill_weight"`
	// UrgentHeadroom is the share of decode slots, 0 to 1, kept for urgent requests.
	UrgentHeadroom float64 `json:"urgent_headroom" yaml:"urgent_headroom"`
	// RetryBudget is how many retries are allowed for each first attempt, 0 to 1.
	RetryBudget float64 `json:"retry_budget" yaml:"retry_budget"`
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int `json:"max_attempts" yaml:"max_attempts"`
	// QueueShare bounds a request's wait for a slot, as a share of its target for the
	// first token; 0 lets it wait for as long as the target is in reach.
	QueueShare float64 `json:"queue_share,omitempty" yaml:"queue_share"`
	// Name selects the policy: "reserve" (ours), "round-robin" or "least-loaded" (baselines).
	Name string `json:"name,omitempty" yaml:"name"`
	// Disable lists the parts that are switched off for ablation measurements:
	// "decode-first", "headroom", "prefix", "early-refusal", "queue".
	Disable []string `json:"disable,omitempty" yaml:"disable"`
}

// Timeout returns the bound of one call as a duration.
func (s Service) Timeout() time.Duration { return time.Duration(s.TimeoutMillis) * time.Millisecond }

// FirstToken returns the first-token target as a duration.
func (t ClassTarget) FirstToken() time.Duration {
	return time.Duration(t.FirstTokenMillis) * time.Millisecond
}

// BetweenTokens returns the between-tokens target as a duration.
func (t ClassTarget) BetweenTokens() time.Duration {
	return time.Duration(t.BetweenTokensMillis) * time.Millisecond
}

// Deadline returns the default time for the whole answer.
func (t ClassTarget) Deadline() time.Duration {
	return time.Duration(t.DeadlineMillis) * time.Millisecond
}
