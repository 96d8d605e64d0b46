package matrix

import "slices"

// rule gives the reason why none of its faults can occur at any of its steps.
type rule struct {
	steps  []Step
	faults []Fault
	reason string
}

// Groups of steps and faults that rules share.
var (
	requestSteps = []Step{
		"accept", "classify", "claim", "call", "reserve", "prefill", "export", "transfer", "import",
		"decode-first-token", "mid-stream", "last-chunk", "answer",
	}
	engineSteps        = []Step{"reserve", "prefill", "export", "transfer", "import", "decode-first-token", "mid-stream", "last-chunk"}
	bundleSteps        = []Step{"draft", "sign", "publish", "adopt", "restart-adopt", "re-append"}
	orderSteps         = []Step{"order-sent", "order-read-back"}
	receiveSteps       = []Step{"accept", "classify"}
	operatorSteps      = []Step{"draft", "sign"}
	logFaults          = []Fault{"log-down", "log-slow", "log-reply-lost", "log-record-repeated"}
	responseFaults     = []Fault{"late-answer", "crossed-answer", "duplicated-answer", "truncated-answer"}
	upstreamFaults     = []Fault{"upstream-killed", "upstream-frozen"}
	routingStateFaults = []Fault{"load-stale", "cache-event-lost"}
)

func concat[T any](lists ...[]T) []T { return slices.Concat(lists...) }

// stepsWithoutBundles returns the steps that read no record of a bundle.
func stepsWithoutBundles() []Step {
	return slices.DeleteFunc(Steps(), func(s Step) bool { return slices.Contains(bundleSteps, s) })
}

// rules defines the cells that cannot occur. If a test covers such a cell nevertheless, the
// matrix shows the test instead of the reason.
var rules = []rule{
	{concat(engineSteps, []Step{"accept", "classify", "answer", "cancel", "sweep", "leave"}), logFaults, "the step does not use the log"},
	{concat(requestSteps, []Step{"cancel", "sweep", "leave", "drain"}), []Fault{"operators-race"}, "operators act on bundles only"},
	{concat(requestSteps, []Step{"cancel", "sweep", "leave", "drain"}, bundleSteps), []Fault{"late-order"}, "the step sends no order"},
	{concat(requestSteps, []Step{"cancel", "sweep", "leave", "drain"}, bundleSteps), []Fault{"weight-store-slow"}, "the step loads no weights"},
	{concat(receiveSteps, bundleSteps), upstreamFaults, "the step calls no upstream"},
	{concat(receiveSteps, []Step{"claim", "answer"}), responseFaults, "no upstream's answer is read at the step"},
	{concat([]Step{"reserve", "prefill", "export", "transfer", "cancel", "sweep", "leave"}, bundleSteps, orderSteps), responseFaults, "the step reads no stream of an answer"},
	{concat(receiveSteps, []Step{"claim", "answer", "cancel", "sweep", "export", "transfer", "import", "decode-first-token", "mid-stream", "last-chunk", "drain"}, bundleSteps, orderSteps), routingStateFaults, "the step decides nothing by load or cache"},
	{concat(bundleSteps, orderSteps, []Step{"sweep", "cancel", "leave"}), []Fault{"caller-gone"}, "no caller takes part"},
	{concat(bundleSteps, orderSteps, receiveSteps, []Step{"claim", "answer", "cancel", "sweep"}), []Fault{"leaving"}, "the step gives no new work to an upstream"},
	{operatorSteps, []Fault{"daemon-killed", "daemon-frozen", "data-centre-cut", "instance-list-stale"}, "done on the operator's machine"},
	{concat(bundleSteps, engineSteps, receiveSteps, []Step{"claim", "answer", "cancel", "sweep", "drain"}, orderSteps), []Fault{"instance-list-stale"}, "the list is a hint for seeds and leaving upstreams only"},
	{orderSteps, logFaults, "orders follow the version in force, which was read before"},
	{[]Step{"leave"}, []Fault{"leaving"}, "the step is the fault"},
	{[]Step{"drain"}, []Fault{"log-record-repeated", "log-reply-lost"}, "a drain appends nothing of its own"},
	{[]Step{"sign"}, concat(logFaults, []Fault{"connection-cut", "connection-stalled", "platform-cut"}), "signing reads files; the parent was read at the draft"},
	{concat(engineSteps, receiveSteps, []Step{"answer", "cancel", "sweep"}, orderSteps), []Fault{"platform-cut"}, "the step does not use the platform"},
	{concat(stepsWithoutBundles(), operatorSteps), []Fault{"forged-record"}, "the step reads no record of a bundle"},
	{[]Step{"call"}, []Fault{"instance-list-stale"}, "the list is a hint for seeds and leaving upstreams only"},
	{[]Step{"call"}, routingStateFaults, "the replica was picked before"},
	{[]Step{"classify"}, []Fault{"daemon-killed", "daemon-frozen", "connection-cut", "connection-stalled", "caller-gone"}, "computed at once from what accept has read; see accept and claim"},
	{[]Step{"export"}, []Fault{"connection-cut"}, "an export that is cut is a transfer that is cut; see transfer"},
	{[]Step{"claim"}, upstreamFaults, "the step calls no upstream"},
	{[]Step{"publish"}, []Fault{"daemon-killed", "daemon-frozen", "data-centre-cut"}, "the operator appends to the log; no daemon takes part"},
	{[]Step{"publish"}, []Fault{"forged-record"}, "records are judged where they are read; see adopt"},
	{[]Step{"publish"}, []Fault{"platform-cut", "connection-stalled"}, "for the operator the same as log-down or a lost reply"},
	{[]Step{"adopt", "restart-adopt"}, []Fault{"log-reply-lost"}, "the step appends nothing"},
	{concat([]Step{"adopt", "restart-adopt", "re-append"}, orderSteps, operatorSteps), []Fault{"operators-race"}, "the race is decided at publish, by the log's order"},
	{[]Step{"leave"}, []Fault{"cache-event-lost"}, "the step decides nothing by the cache"},
	{receiveSteps, []Fault{"data-centre-cut"}, "the step reaches no other data centre"},
}

// ImpossibleReason returns the reason why a cell cannot occur, or "" if it can.
func ImpossibleReason(c Cell) string {
	for _, r := range rules {
		if slices.Contains(r.steps, c.Step) && slices.Contains(r.faults, c.Fault) {
			return r.reason
		}
	}
	return ""
}
