// Package matrix turns the results of the tests into the fault matrix: a row a
// step, a column a fault, in each cell the tests that cause the fault at the
// step and their verdicts. A test belongs to a cell by its own name: two
// neighbouring parts of the name are a step and a fault, or a step and two
// faults joined by "+". So the matrix cannot claim what did not run.
package matrix

// Step is a point in the life of a request, a bundle, an order or a daemon.
type Step string

// Fault is one thing that goes wrong.
type Fault string

// Steps lists the rows in order.
func Steps() []Step {
	return []Step{
		"accept", "classify", "claim", "call", "reserve", "prefill", "export", "transfer", "import",
		"decode-first-token", "mid-stream", "last-chunk", "answer", "cancel", "sweep",
		"draft", "sign", "publish", "adopt", "restart-adopt", "re-append",
		"order-sent", "order-read-back", "leave", "drain",
	}
}

// Faults lists the columns in order.
func Faults() []Fault {
	return []Fault{
		"daemon-killed", "daemon-frozen", "upstream-killed", "upstream-frozen",
		"connection-cut", "connection-stalled", "caller-gone",
		"late-answer", "crossed-answer", "duplicated-answer", "truncated-answer",
		"log-down", "log-slow", "log-reply-lost", "log-record-repeated", "forged-record",
		"instance-list-stale", "weight-store-slow",
		"data-centre-cut", "platform-cut", "operators-race", "late-order",
		"load-stale", "cache-event-lost", "leaving",
	}
}
