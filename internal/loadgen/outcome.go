package loadgen

import (
	"time"

	"github.com/corianderturn/corianderturn/errkind"
)

// Outcome is how one request ended, as its caller saw it.
type Outcome string

// The outcomes. Lost, Wrong, Truncated and Doubled are faults of the system.
const (
	// Answered is a whole, right answer.
	Answered Outcome = "answered"
	// Refused is an error of a known kind before any of the answer.
	Refused Outcome = "refused"
	// Broken is an answer that began and ended in an error of a known kind.
	Broken Outcome = "broken"
	// Cancelled is a request whose caller went away on purpose.
	Cancelled Outcome = "cancelled"
	// Severed is a connection cut by a daemon that the run itself killed.
	Severed Outcome = "severed"
	// Lost is neither an answer nor an honest error.
	Lost Outcome = "lost"
	// Wrong is a whole answer with other contents than the request's own.
	Wrong Outcome = "wrong"
	// Truncated is an answer that ended cleanly but too early.
	Truncated Outcome = "truncated"
	// Doubled is more than one terminal, or more than one run of a key.
	Doubled Outcome = "doubled"
	// Dropped never left the load generator: its bound of requests in flight was reached.
	Dropped Outcome = "dropped"
)

// Outcomes lists the outcomes in the order of reports.
func Outcomes() []Outcome {
	return []Outcome{Answered, Refused, Broken, Cancelled, Severed, Lost, Wrong, Truncated, Doubled, Dropped}
}

// Fault says whether the outcome breaks a promise of the system.
func (o Outcome) Fault() bool {
	return o == Lost || o == Wrong || o == Truncated || o == Doubled
}

// Problem is the part of a problem JSON body that is checked.
type Problem struct {
	Kind   errkind.Kind     `json:"kind"`
	Run    errkind.RunState `json:"run"`
	Detail string           `json:"detail"`
}

// Honest says whether the problem has a kind of the closed list and a run state.
func (p *Problem) Honest() bool {
	if p == nil {
		return false
	}
	_, known := errkind.Lookup(p.Kind)
	return known && (p.Run == errkind.NotRun || p.Run == errkind.Unknown || p.Run == errkind.Ran)
}

// Transcript is what a caller saw of one request.
type Transcript struct {
	// Status is the HTTP status, 0 when no response came.
	Status int
	// Text is the text of the answer, Tokens the number of chunks it came in.
	Text   string
	Tokens int
	// Terminals counts ends of the answer: [DONE] marks, error events, whole bodies.
	Terminals int
	// Finish is the finish reason, Usage the completion tokens that were reported
	// (-1 when none were).
	Finish string
	Usage  int
	// Problem is the error body or event.
	Problem *Problem
	// RetryAfter says whether a Retry-After header came.
	RetryAfter bool
	// Err is the transport's error.
	Err error
	// Gone is set when the caller went away on purpose.
	Gone bool
}

// Result is one finished request.
type Result struct {
	Spec    Spec
	Target  string
	Outcome Outcome
	// Detail says what was wrong.
	Detail string
	Kind   errkind.Kind
	Run    errkind.RunState
	// First, Gap95 and MeanGap are the time to the first token from the scheduled
	// arrival and the gaps between tokens; Total is the time to the end.
	First   time.Duration
	MeanGap time.Duration
	Gap95   time.Duration
	Total   time.Duration
	// Seen says whether First and the gaps were observed token by token.
	Seen   bool
	Tokens int
	// Replays counts how often the balancer sent it again.
	Replays int

	gaps []time.Duration
}
