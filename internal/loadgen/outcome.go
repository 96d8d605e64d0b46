package loadgen

import (
	"time"

	"github.com/corianderturn/corianderturn/errkind"
)

// Outcome is how one request ended, as observed by its caller.
type Outcome string

// The outcomes. Lost, Wrong, Truncated and Doubled are faults of the system under test.
const (
	// Answered is a complete and correct response.
	Answered Outcome = "answered"
	// Refused is an error response of a known kind, before any part of the answer.
	Refused Outcome = "refused"
	// Broken is a stream that delivered tokens and then ended with an error event of a known
	// kind.
	Broken Outcome = "broken"
	// Cancelled is a request that its caller cancelled as planned.
	Cancelled Outcome = "cancelled"
	// Severed is a request whose connection broke because the test killed the daemon. This is
	// expected, so IsFault does not include it.
	Severed Outcome = "severed"
	// Lost is a request without a complete response and without a valid error response.
	Lost Outcome = "lost"
	// Wrong is a complete response whose content does not belong to the request.
	Wrong Outcome = "wrong"
	// Truncated is a response that ended without an error before its last token.
	Truncated Outcome = "truncated"
	// Doubled is a response with more than one terminal event. Keys that were executed more than
	// once are counted as doubled too, in LedgerReport.
	Doubled Outcome = "doubled"
	// Dropped is a request that the load generator did not send, because MaxInFlight requests
	// were in flight.
	Dropped Outcome = "dropped"
)

// Outcomes lists the outcomes in the order in which reports print them.
func Outcomes() []Outcome {
	return []Outcome{Answered, Refused, Broken, Cancelled, Severed, Lost, Wrong, Truncated, Doubled, Dropped}
}

// IsFault reports whether the outcome violates a guarantee of the system.
func (o Outcome) IsFault() bool {
	return o == Lost || o == Wrong || o == Truncated || o == Doubled
}

// Problem holds the checked fields of an error response: an application/problem+json body or
// the error event of a stream.
type Problem struct {
	Kind   errkind.Kind     `json:"kind"`
	Run    errkind.RunState `json:"run"`
	Detail string           `json:"detail"`
}

// Valid reports whether the problem has a kind that errkind defines and a valid run state.
func (p *Problem) Valid() bool {
	if p == nil {
		return false
	}
	_, known := errkind.Lookup(p.Kind)
	return known && (p.Run == errkind.NotRun || p.Run == errkind.Unknown || p.Run == errkind.Ran)
}

// Transcript records the response that a caller received to one request.
type Transcript struct {
	// Status is the HTTP status code; 0 if there was no response.
	Status int
	// Text is the generated text, or the body of a service's response. Tokens is the number of
	// chunks that carried text.
	Text   string
	Tokens int
	// TerminalEvents counts the terminal events of the response: [DONE] events, error events,
	// complete bodies, and text after the end of a stream. A correct response has one.
	TerminalEvents int
	// Finish is the finish reason. Usage is the reported number of completion tokens, or -1 if
	// none was reported.
	Finish string
	Usage  int
	// Problem is the error body or error event; nil if there was none.
	Problem *Problem
	// RetryAfter is set if the response had a Retry-After header.
	RetryAfter bool
	// Err is the error of the transport or of parsing the response.
	Err error
	// Cancelled is set if the caller cancelled the request as planned.
	Cancelled bool
}

// Result holds the outcome and the measurements of one request.
type Result struct {
	Spec Spec
	// Target is the base URL of the daemon that the request was last sent to.
	Target  string
	Outcome Outcome
	// Detail describes why the outcome is not Answered.
	Detail string
	// Kind and Run are the kind and the run state of the error response; empty if there was
	// none.
	Kind errkind.Kind
	Run  errkind.RunState
	// First is the time from the scheduled arrival to the first token. MeanGap and GapP95 are
	// the mean and the 95th percentile of the gaps between tokens. Total is the time from the
	// scheduled arrival to the end of the response.
	First   time.Duration
	MeanGap time.Duration
	GapP95  time.Duration
	Total   time.Duration
	// FirstMeasured is set if First was measured: from the tokens of a stream, or as the
	// response time of a plain service.
	FirstMeasured bool
	// Tokens is the number of tokens of the completion.
	Tokens int
	// Replays counts how often the request was sent again, by the load balancer or by the caller.
	Replays int

	gaps []time.Duration
}
