package site

import "time"

// RepeatedAnswers returns faults by which an upstream refuses a share of its requests and sends a share of
// its answers twice: the second time at once, or late, where the next answer is expected.
func RepeatedAnswers(share float64, late bool, refused float64) Faults {
	return Faults{answerFaults: answerFaults{RepeatShare: share, RepeatLate: late}, ShedShare: refused}
}

// CutAnswers returns the fault by which a share of an upstream's answers stop at a random byte.
func CutAnswers(share float64) Faults { return Faults{answerFaults: answerFaults{CutShare: share}} }

// Faults are the faults of one upstream. The zero value sets none.
type Faults struct {
	answerFaults
	// Dark accepts every call and never replies.
	Dark bool
	// Shed refuses requests with 503 and the header Not-Executed. They are not
	// executed.
	Shed bool
	// ShedShare is the share of requests that are refused like that.
	ShedShare float64
	// Load is the value of Server-Load in responses; empty for none.
	Load string
	// Reset executes a request and closes the connection without a response.
	Reset bool
	// Status, if not 0, is the status of the response to executed requests.
	Status int
	// Cut closes the connection of a stream after this number of events; 0 means
	// never.
	Cut int
	// Unframed sends answers and streams with neither a length nor chunks; they end with their
	// connection. With CrashAt, the upstream crashes in an unframed answer: in the middle of a plain
	// one, and after that number of events of a stream that its client has nothing of yet.
	Unframed bool
	CrashAt  int
	// Endless sends bytes without end, or slowly, until the daemon closes the connection.
	Endless Endless
	// EndlessAfter is the number of events of a stream that come before EndlessLine.
	EndlessAfter int
	// Misplaced rejects every call with 421, as if another upstream now had the
	// address.
	Misplaced bool
	// LapsedHandles refuses requests that refer to a prefill result, as if the result
	// had expired.
	LapsedHandles bool
	// Full refuses reservations.
	Full bool
	// FirstEventAfter is the time between the head of a stream, which is sent at once, and its first
	// event; 0 sends both together.
	FirstEventAfter time.Duration
	// ReportAfter is how long report calls wait for their answer.
	ReportAfter time.Duration
	// CutReports closes the connection of three in four report calls, the first ones among them, without
	// a response, as in the middle of a restart.
	CutReports bool
}
