// Package matrix generates the fault matrix from the results of the tests. The matrix has a cell
// for each step and each fault, with the tests that inject the fault at the step and their
// results. A test covers a cell by its name: the last two elements of the name, separated by
// "/", are a step and a fault, or a step and two faults joined by "+". The matrix therefore
// contains only tests that were run.
package matrix

// Step is a point in the processing of a request, a bundle or an order, or in the lifecycle of a
// daemon or an upstream.
type Step string

// Fault is a type of failure that tests inject.
type Fault string

// Steps lists the steps in the order of the matrix.
func Steps() []Step {
	return []Step{
		"accept", "classify", "claim", "call", "reserve", "prefill", "export", "transfer", "import",
		"decode-first-token", "mid-stream", "last-chunk", "answer", "cancel", "sweep",
		"draft", "sign", "publish", "adopt", "restart-adopt", "re-append",
		"order-sent", "order-read-back", "leave", "drain",
	}
}

// Faults lists the faults in the order of the matrix.
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
