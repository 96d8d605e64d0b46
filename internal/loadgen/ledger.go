package loadgen

import (
	"fmt"
	"slices"

	"github.com/corianderturn/corianderturn/errkind"
)

// Execution is how often a service ran one key, by its own count.
type Execution struct {
	Key  string
	Runs int
}

// LedgerReport compares what callers were told with what services ran.
type LedgerReport struct {
	Keys int `json:"keys"`
	// Doubled counts keys that ran more than once.
	Doubled int `json:"doubled"`
	// FalseNotRun counts keys of which every caller was told "not-run" and that ran.
	FalseNotRun int `json:"false_not_run"`
	// Missing counts keys that were answered and that never ran.
	Missing int      `json:"missing"`
	Details []string `json:"details,omitempty"`
}

// reconcileLedger checks the results of submits against the services' counts. A key
// may have several results, since some are sent twice.
func reconcileLedger(results []Result, ran []Execution) LedgerReport {
	runs := map[string]int{}
	for _, e := range ran {
		runs[e.Key] += e.Runs
	}
	told := map[string][]Result{}
	for _, r := range results {
		if r.Outcome != Dropped {
			told[r.Spec.Key] = append(told[r.Spec.Key], r)
		}
	}
	rep := LedgerReport{Keys: len(told)}
	for key, list := range told {
		rep.check(key, runs[key], list)
	}
	slices.Sort(rep.Details)
	return rep
}

func (l *LedgerReport) check(key string, runs int, told []Result) {
	answered := slices.ContainsFunc(told, func(r Result) bool { return r.Outcome == Answered })
	allNotRun := !slices.ContainsFunc(told, func(r Result) bool {
		return r.Outcome != Refused || r.Run != errkind.NotRun || r.Kind == errkind.KeyInProgress
	})
	switch {
	case runs > 1:
		l.Doubled++
		l.note("%s ran %d times", key, runs)
	case runs == 1 && allNotRun:
		l.FalseNotRun++
		l.note("%s ran, and its callers were told it did not", key)
	case runs == 0 && answered:
		l.Missing++
		l.note("%s was answered and never ran", key)
	}
}

func (l *LedgerReport) note(format string, args ...any) {
	if len(l.Details) < maxFaults {
		l.Details = append(l.Details, fmt.Sprintf(format, args...))
	}
}
