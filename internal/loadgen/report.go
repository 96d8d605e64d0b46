package loadgen

import (
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

// Target holds the two latency targets of a class.
type Target struct {
	FirstToken    time.Duration `json:"first_token_ns"`
	BetweenTokens time.Duration `json:"between_tokens_ns"`
}

// Targets holds the targets of both classes.
type Targets struct {
	Urgent Target `json:"urgent"`
	Draft  Target `json:"draft"`
}

// Of returns the target of a class.
func (t Targets) Of(c bundle.Class) Target {
	if c == bundle.Draft {
		return t.Draft
	}
	return t.Urgent
}

// Met says whether a result is whole and within both targets. Streams are
// judged by their first token and the mean gap between tokens; strict judges
// by the 95th percentile of the gaps instead. An answer that was not streamed
// is judged by when a stream exactly on target would have ended, and a plain
// service's answer by the first-token target.
func (t Targets) Met(r Result, strict bool) bool {
	if r.Outcome != Answered {
		return false
	}
	target := t.Of(r.Spec.Kind.Class())
	if !r.Seen {
		return r.Total <= target.FirstToken+time.Duration(max(r.Tokens-1, 0))*target.BetweenTokens
	}
	gap := r.MeanGap
	if strict {
		gap = r.Gap95
	}
	return r.First <= target.FirstToken && gap <= target.BetweenTokens
}

// Quantiles of a latency, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// OutcomeCount is how many requests had one outcome.
type OutcomeCount struct {
	Outcome Outcome `json:"outcome"`
	Count   int     `json:"count"`
}

// KindCount is how many errors of one kind and run state callers got.
type KindCount struct {
	Kind  errkind.Kind     `json:"kind"`
	Run   errkind.RunState `json:"run"`
	Count int              `json:"count"`
}

// Fault is one broken promise, kept for the report.
type Fault struct {
	Outcome Outcome `json:"outcome"`
	Kind    Kind    `json:"kind"`
	Key     string  `json:"key"`
	Target  string  `json:"target"`
	Detail  string  `json:"detail"`
}

// Section is the account of one group of requests.
type Section struct {
	Name     string         `json:"name"`
	Offered  int            `json:"offered"`
	Outcomes []OutcomeCount `json:"outcomes"`
	// Good and GoodStrict count answers within both targets; Goodput is Good a
	// second of the measured part of the run.
	Good       int     `json:"good"`
	GoodStrict int     `json:"good_strict"`
	Goodput    float64 `json:"goodput_per_s"`
	// FirstToken and BetweenTokens are over answered requests: the first over
	// those whose first token was seen, the second over every gap seen.
	FirstToken    Quantiles `json:"first_token"`
	BetweenTokens Quantiles `json:"between_tokens"`
	Total         Quantiles `json:"total"`
}

// Count returns how many requests had an outcome.
func (s Section) Count(o Outcome) int {
	for _, c := range s.Outcomes {
		if c.Outcome == o {
			return c.Count
		}
	}
	return 0
}

// Report is the account of one run.
type Report struct {
	Run      string        `json:"run"`
	Seed     uint64        `json:"seed"`
	Workload Workload      `json:"workload"`
	Targets  Targets       `json:"targets"`
	Measured time.Duration `json:"measured_ns"`
	// Replays counts requests sent again by the balancer; TokensSeen the tokens delivered.
	Replays    int   `json:"replays"`
	TokensSeen int64 `json:"tokens_seen"`
	// All covers every request of the run; the others only those that arrived
	// after the warm-up.
	All      Section     `json:"all"`
	Steady   Section     `json:"steady"`
	Classes  []Section   `json:"classes"`
	Kinds    []Section   `json:"kinds"`
	Refusals []KindCount `json:"refusals"`
	// AnsweredCompletions and CancelledCompletions count, over the whole run, the
	// completions with a whole answer and those whose caller went away.
	AnsweredCompletions  int     `json:"answered_completions"`
	CancelledCompletions int     `json:"cancelled_completions"`
	Faults               []Fault `json:"faults,omitempty"`
	// Ledger is the comparison with the services' own counts; nil when not made.
	Ledger *LedgerReport `json:"ledger,omitempty"`
}

// Class returns the section of a class.
func (r *Report) Class(c bundle.Class) Section { return section(r.Classes, string(c)) }

// Kind returns the section of a kind of request.
func (r *Report) Kind(k Kind) Section { return section(r.Kinds, string(k)) }

func section(list []Section, name string) Section {
	for _, s := range list {
		if s.Name == name {
			return s
		}
	}
	return Section{Name: name}
}

// Lost counts requests with neither a right answer nor an honest error.
func (r *Report) Lost() int {
	return r.All.Count(Lost) + r.All.Count(Wrong) + r.All.Count(Truncated)
}

// Doubled counts answers with two ends and keys that ran more than once.
func (r *Report) Doubled() int {
	n := r.All.Count(Doubled)
	if r.Ledger != nil {
		n += r.Ledger.Doubled
	}
	return n
}

// Held says whether every promise that the run checks was kept.
func (r *Report) Held() bool {
	return r.Lost() == 0 && r.Doubled() == 0 && (r.Ledger == nil || r.Ledger.FalseNotRun == 0 && r.Ledger.Missing == 0)
}
