package loadgen

import (
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

// Target holds the latency targets of a class: for the time to the first token and for the
// gap between tokens.
type Target struct {
	FirstToken    time.Duration `json:"first_token_ns"`
	BetweenTokens time.Duration `json:"between_tokens_ns"`
}

// Targets holds the targets of both classes.
type Targets struct {
	Urgent Target `json:"urgent"`
	Draft  Target `json:"draft"`
}

// ForClass returns the targets of a class.
func (t Targets) ForClass(c bundle.Class) Target {
	if c == bundle.Draft {
		return t.Draft
	}
	return t.Urgent
}

// Met reports whether a request was answered within its targets. For a stream, these apply
// to the time to the first token and to the mean gap between tokens, or to the 95th
// percentile of the gaps if strict is set. A completion that was not streamed must end by the
// time at which a stream that just meets both targets would end. A response of a plain service
// must meet the first-token target.
func (t Targets) Met(r Result, strict bool) bool {
	if r.Outcome != Answered {
		return false
	}
	target := t.ForClass(r.Spec.Kind.Class())
	if !r.FirstMeasured {
		return r.Total <= target.FirstToken+time.Duration(max(r.Tokens-1, 0))*target.BetweenTokens
	}
	gap := r.MeanGap
	if strict {
		gap = r.GapP95
	}
	return r.First <= target.FirstToken && gap <= target.BetweenTokens
}

// Quantiles holds the number of recorded latencies and their quantiles in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// OutcomeCount is the number of requests with one outcome.
type OutcomeCount struct {
	Outcome Outcome `json:"outcome"`
	Count   int     `json:"count"`
}

// KindCount is the number of error responses with one kind and run state.
type KindCount struct {
	Kind  errkind.Kind     `json:"kind"`
	Run   errkind.RunState `json:"run"`
	Count int              `json:"count"`
}

// Fault describes a request whose outcome violates a guarantee of the system.
type Fault struct {
	Outcome Outcome `json:"outcome"`
	Kind    Kind    `json:"kind"`
	Key     string  `json:"key"`
	Target  string  `json:"target"`
	Detail  string  `json:"detail"`
}

// Section summarises one group of requests.
type Section struct {
	Name string `json:"name"`
	// Offered counts the requests of the group, including those that were dropped.
	Offered  int            `json:"offered"`
	Outcomes []OutcomeCount `json:"outcomes"`
	// Good and GoodStrict count the requests that met their targets; see Targets.Met. Goodput
	// is Good divided by the measured seconds of the run.
	Good       int     `json:"good"`
	GoodStrict int     `json:"good_strict"`
	Goodput    float64 `json:"goodput_per_s"`
	// The latencies are those of answered requests. FirstToken covers the requests with a
	// measured first token, BetweenTokens every gap between two tokens of a stream.
	FirstToken    Quantiles `json:"first_token"`
	BetweenTokens Quantiles `json:"between_tokens"`
	Total         Quantiles `json:"total"`
}

// Count returns the number of requests with an outcome.
func (s Section) Count(o Outcome) int {
	for _, c := range s.Outcomes {
		if c.Outcome == o {
			return c.Count
		}
	}
	return 0
}

// Report is the result of one run.
type Report struct {
	// Run is the name of the run.
	Run      string   `json:"run"`
	Seed     uint64   `json:"seed"`
	Workload Workload `json:"workload"`
	Targets  Targets  `json:"targets"`
	// Measured is the duration of the run after the warm-up.
	Measured time.Duration `json:"measured_ns"`
	// Replays counts how often requests were sent again, by the balancer or by their caller.
	// TokensReceived counts the tokens of completions that callers received.
	Replays        int   `json:"replays"`
	TokensReceived int64 `json:"tokens_seen"`
	// All covers every request of the run. Steady, Classes and Kinds cover only the requests
	// that arrived after the warm-up.
	All     Section   `json:"all"`
	Steady  Section   `json:"steady"`
	Classes []Section `json:"classes"`
	Kinds   []Section `json:"kinds"`
	// Refusals counts the error responses of the whole run.
	Refusals []KindCount `json:"refusals"`
	// AnsweredCompletions and CancelledCompletions count the completions of the whole run that
	// were answered and those that their callers cancelled.
	AnsweredCompletions  int     `json:"answered_completions"`
	CancelledCompletions int     `json:"cancelled_completions"`
	Faults               []Fault `json:"faults,omitempty"`
	// Ledger compares the submits with the services' executions; nil if Options.Executions is
	// nil.
	Ledger *LedgerReport `json:"ledger,omitempty"`
}

// Class returns the section of a request class.
func (r *Report) Class(c bundle.Class) Section { return findSection(r.Classes, string(c)) }

// Kind returns the section of a kind of request.
func (r *Report) Kind(k Kind) Section { return findSection(r.Kinds, string(k)) }

func findSection(list []Section, name string) Section {
	for _, s := range list {
		if s.Name == name {
			return s
		}
	}
	return Section{Name: name}
}

// Lost counts the requests that ended as Lost, Wrong or Truncated: without a correct response
// and without a valid error.
func (r *Report) Lost() int {
	return r.All.Count(Lost) + r.All.Count(Wrong) + r.All.Count(Truncated)
}

// Doubled counts the responses with more than one terminal event and the keys that were
// executed more than once.
func (r *Report) Doubled() int {
	n := r.All.Count(Doubled)
	if r.Ledger != nil {
		n += r.Ledger.Doubled
	}
	return n
}

// Passed reports whether the run found no violation of the guarantees that it checks.
func (r *Report) Passed() bool {
	return r.Lost() == 0 && r.Doubled() == 0 && (r.Ledger == nil || r.Ledger.ExecutedDespiteNotRun == 0 && r.Ledger.Missing == 0)
}
