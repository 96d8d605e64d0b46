// Package configcheck finds faults in a configuration before it is sent to the daemons: entries
// that cannot be used, and limits and times that contradict each other. It also compares two
// configurations. It uses neither network nor files.
//
// What the daemons refuse is decided by their own code: bundle.Validate and
// fleet.Registry.SetConfig.
package configcheck

import (
	"fmt"
	"time"
)

// Severity is how serious a finding is.
type Severity string

// The severities. Error means that the daemons refuse or ignore the configuration, or that all
// requests of an entry fail. Warning means that an entry has no effect, or another one than
// its author probably intended.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Code identifies the kind of fault. Scripts may depend on it.
	Code string `json:"code"`
	// Path is the path of the field, and Line its line in the file, 0 if unknown. The paths of
	// a fleet.Config consist of the names of its fields.
	Path string `json:"path"`
	Line int    `json:"line,omitempty"`
	// Text says what is wrong and what follows from it.
	Text string `json:"text"`
}

// findings collects findings.
type findings struct{ list []Finding }

// warn adds a warning if wrong is set.
func (f *findings) warn(wrong bool, code, path, format string, args ...any) {
	f.add(wrong, Warning, code, path, format, args)
}

// fail adds an error if wrong is set.
func (f *findings) fail(wrong bool, code, path, format string, args ...any) {
	f.add(wrong, Error, code, path, format, args)
}

func (f *findings) add(wrong bool, s Severity, code, path, format string, args []any) {
	if wrong {
		f.list = append(f.list, Finding{Severity: s, Code: code, Path: path, Text: fmt.Sprintf(format, args...)})
	}
}

// checkTarget warns of a latency target that no answer within the timeout can miss.
func (f *findings) checkTarget(code, path string, target, timeout time.Duration) {
	f.warn(timeout > 0 && target > timeout, code, path, "the target of %s is above the timeout of %s: a request fails before it can miss the target", target, timeout)
}

// Count returns the number of errors and of warnings.
func Count(list []Finding) (failures, warnings int) {
	for _, f := range list {
		if f.Severity == Error {
			failures++
		}
	}
	return failures, len(list) - failures
}
