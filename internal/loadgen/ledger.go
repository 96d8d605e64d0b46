package loadgen

import (
	"fmt"
	"slices"

	"github.com/corianderturn/corianderturn/errkind"
)

// Execution is the number of times that a service executed the submit with one idempotency
// key, as the service counted it.
type Execution struct {
	Key   string
	Count int
}

// LedgerReport is the result of comparing the responses to submits that callers received with
// the executions of submits that the services counted.
type LedgerReport struct {
	// Keys counts the idempotency keys that were sent.
	Keys int `json:"keys"`
	// Doubled counts keys that were executed more than once.
	Doubled int `json:"doubled"`
	// ExecutedDespiteNotRun counts keys that were executed once although every response had the
	// run state "not-run", which states that the request was not executed.
	ExecutedDespiteNotRun int `json:"false_not_run"`
	// Missing counts keys with a successful response that were never executed.
	Missing int `json:"missing"`
	// Details describes the discrepancies, at most maxReportedFaults of them.
	Details []string `json:"details,omitempty"`
}

// reconcileLedger compares the results of submits with the executions that the services
// counted. A key has two results if its submit was sent twice.
func reconcileLedger(results []Result, executions []Execution) LedgerReport {
	runs := map[string]int{}
	for _, e := range executions {
		runs[e.Key] += e.Count
	}
	resultsByKey := map[string][]Result{}
	for _, r := range results {
		if r.Outcome != Dropped {
			resultsByKey[r.Spec.Key] = append(resultsByKey[r.Spec.Key], r)
		}
	}
	rep := LedgerReport{Keys: len(resultsByKey)}
	for key, keyResults := range resultsByKey {
		rep.checkKey(key, runs[key], keyResults)
	}
	slices.Sort(rep.Details)
	return rep
}

// checkKey compares the results of one key with its number of executions. A response of kind
// KeyInProgress says nothing about the execution that another request with the key started,
// so its run state is not counted as a statement that the key was not executed.
func (l *LedgerReport) checkKey(key string, runs int, results []Result) {
	answered := slices.ContainsFunc(results, func(r Result) bool { return r.Outcome == Answered })
	allNotRun := !slices.ContainsFunc(results, func(r Result) bool {
		return r.Outcome != Refused || r.Run != errkind.NotRun || r.Kind == errkind.KeyInProgress
	})
	switch {
	case runs > 1:
		l.Doubled++
		l.addDetail("%s ran %d times", key, runs)
	case runs == 1 && allNotRun:
		l.ExecutedDespiteNotRun++
		l.addDetail("%s ran, and its callers were told it did not", key)
	case runs == 0 && answered:
		l.Missing++
		l.addDetail("%s was answered and never ran", key)
	}
}

func (l *LedgerReport) addDetail(format string, args ...any) {
	if len(l.Details) < maxReportedFaults {
		l.Details = append(l.Details, fmt.Sprintf(format, args...))
	}
}
