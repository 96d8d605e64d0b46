// Package bundle implements the versioned configuration that operators publish:
// its content, the signed records that carry it, and the chain that decides
// which version is in force. Operators append the records to a shared log, which
// every daemon reads. The package does no I/O.
package bundle

import "time"

// Bundle is the complete configuration of one version. It is immutable once adopted.
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

// Class is the latency class of a request.
type Class string

// The latency classes.
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
	// DecodePrefills is set if decode engines can prefill a prompt themselves, more
	// slowly than a prefill engine.
	DecodePrefills bool `json:"decode_reads,omitempty" yaml:"decode_reads"`
	// KVBytesPerToken is the size of the KV cache for one prompt token, in bytes.
	KVBytesPerToken int64 `json:"kv_bytes_per_token" yaml:"kv_bytes_per_token"`
	// Ranks lists the distinct ranks (see policy.ClassRank) of the classes of requests for the
	// model in ascending order, if the platform's configuration gives them different
	// priorities. It is not part of an encoded or signed bundle.
	Ranks []int `json:"-" yaml:"-"`
}

// PoolRole is the kind of work that a pool's upstreams do.
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
	// Slots is the maximum number of concurrent requests on one upstream.
	Slots int `json:"slots" yaml:"slots"`
	// Queues is set if the upstreams queue requests that find no free slot, and
	// reject requests themselves when their queue is full.
	Queues bool `json:"queues,omitempty" yaml:"queues"`
	// LinkBytesPerSecond is the bandwidth of one upstream's KV cache transfers, in
	// bytes per second; 0 means unlimited.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second,omitempty" yaml:"link_bytes_per_second"`
	// MemoryTokens is the KV cache capacity of one decode engine, in tokens over all
	// its requests; 0 means that only Slots limits it.
	MemoryTokens int `json:"memory_tokens,omitempty" yaml:"memory_tokens"`
	// HoldMillis is the maximum duration of a reservation on one decode engine, in
	// milliseconds; 0 means no maximum.
	HoldMillis int64 `json:"hold_ms,omitempty" yaml:"hold_ms"`
	// StepMillis is the expected time between tokens of an engine that has not
	// reported one yet, in milliseconds; 0 means the policy's default.
	StepMillis float64 `json:"step_ms,omitempty" yaml:"step_ms"`
}

// UpstreamState is the stage of an upstream between joining and leaving the
// service, such as during a move to another provider.
type UpstreamState string

// The upstream states. A joining upstream receives role-change orders but no
// requests; a leaving one finishes its requests and receives no new ones.
const (
	StateJoining UpstreamState = "joining"
	StateServing UpstreamState = "serving"
	StateLeaving UpstreamState = "leaving"
)

// Upstream is one model engine or one replica of a plain service.
type Upstream struct {
	Pool       string        `json:"pool" yaml:"pool"`
	DataCentre string        `json:"data_centre" yaml:"data_centre"`
	Address    string        `json:"address" yaml:"address"`
	Provider   string        `json:"provider,omitempty" yaml:"provider"`
	State      UpstreamState `json:"state" yaml:"state"`
	// ChecksFence is set if the upstream rejects orders with an outdated fencing number.
	ChecksFence bool `json:"checks_fence,omitempty" yaml:"checks_fence"`
	// Incarnation distinguishes successive runs of an upstream if the platform reports
	// them. It is not part of an encoded or signed bundle.
	Incarnation int64 `json:"-" yaml:"-"`
	// Version is the version of the upstream's software if the platform reports it. It is not
	// part of an encoded or signed bundle.
	Version string `json:"-" yaml:"-"`
}

// Service is a plain service: an HTTP service that runs no model engine.
type Service struct {
	Pool string `json:"pool" yaml:"pool"`
	// Class is the default class of calls to the service.
	Class Class `json:"class" yaml:"class"`
	// NonIdempotent lists path prefixes, below the service, whose POST, PUT, PATCH
	// and DELETE calls must run at most once.
	NonIdempotent []string `json:"non_idempotent,omitempty" yaml:"non_idempotent"`
	// TimeoutMillis is the timeout of one call, in milliseconds.
	TimeoutMillis int64 `json:"timeout_ms" yaml:"timeout_ms"`
}

// Team is a customer whose requests are authenticated, weighted and limited together.
type Team struct {
	// KeyDigests are the SHA-256 digests, in hex, of the team's bearer keys.
	KeyDigests []string `json:"key_digests,omitempty" yaml:"key_digests"`
	// Weight is the team's weight in fair sharing; at least 1.
	Weight int `json:"weight" yaml:"weight"`
	// MaxInFlight is the maximum number of the team's requests in flight on one
	// daemon; 0 means no maximum.
	MaxInFlight int `json:"max_in_flight,omitempty" yaml:"max_in_flight"`
	// Class is the default class of the team's completions.
	Class Class `json:"class" yaml:"class"`
}

// ClassTarget holds the latency targets, the deadline and the priority of a class.
type ClassTarget struct {
	FirstTokenMillis    int64 `json:"first_token_ms" yaml:"first_token_ms"`
	BetweenTokensMillis int64 `json:"between_tokens_ms" yaml:"between_tokens_ms"`
	// DeadlineMillis is the default time limit for the complete response, in milliseconds.
	DeadlineMillis int64 `json:"deadline_ms" yaml:"deadline_ms"`
	// Priority is sent to engines. Their interface defines its order: engines of the own
	// interface schedule a higher priority first, those of the users' platform a lower one.
	// policy.Rank gives the order in the router.
	Priority int `json:"priority" yaml:"priority"`
}

// PolicyConfig holds the weights and limits of the routing policy.
type PolicyConfig struct {
	// GoodputWeight and WastedPrefillWeight set how strictly requests are admitted.
	// A higher GoodputWeight admits requests whose predicted latency exceeds the
	// target by a margin; a higher WastedPrefillWeight requires a margin below it.
	GoodputWeight       float64 `json:"goodput_weight" yaml:"goodput_weight"`
	WastedPrefillWeight float64 `json:"wasted_prefill_weight" yaml:"wasted_prefill_weight"`
	// UrgentHeadroom is the share of decode slots, 0 to 1, kept for urgent requests.
	UrgentHeadroom float64 `json:"urgent_headroom" yaml:"urgent_headroom"`
	// RetryBudget is the number of retries allowed per first attempt, 0 to 1.
	RetryBudget float64 `json:"retry_budget" yaml:"retry_budget"`
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts int `json:"max_attempts" yaml:"max_attempts"`
	// QueueShare is the maximum time that a new request waits for a slot, as a
	// fraction of its first-token target; with 0 it waits while the target can
	// still be met.
	QueueShare float64 `json:"queue_share,omitempty" yaml:"queue_share"`
	// Name selects the policy: "reserve", or one of the baselines "round-robin" and
	// "least-loaded"; empty means "reserve".
	Name string `json:"name,omitempty" yaml:"name"`
	// Disable lists the parts of the policy to switch off in ablation experiments:
	// "decode-first", "headroom", "prefix", "early-refusal", "queue".
	Disable []string `json:"disable,omitempty" yaml:"disable"`
}

// Timeout returns TimeoutMillis as a duration.
func (s Service) Timeout() time.Duration { return time.Duration(s.TimeoutMillis) * time.Millisecond }

// FirstToken returns FirstTokenMillis as a duration.
func (t ClassTarget) FirstToken() time.Duration {
	return time.Duration(t.FirstTokenMillis) * time.Millisecond
}

// BetweenTokens returns BetweenTokensMillis as a duration.
func (t ClassTarget) BetweenTokens() time.Duration {
	return time.Duration(t.BetweenTokensMillis) * time.Millisecond
}

// Deadline returns DeadlineMillis as a duration.
func (t ClassTarget) Deadline() time.Duration {
	return time.Duration(t.DeadlineMillis) * time.Millisecond
}
