package request

import (
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/bundle"
)

// Decision is the log line of one routing or placement decision. All lines have the same
// fields, so that a request can be followed by its id.
type Decision struct {
	Request string
	Team    string
	Class   bundle.Class
	Attempt int
	// Step is what was decided: plan, reserve, prefill, decode, resume, call, cancel, finish
	// or fail.
	Step       string
	Candidates int
	// Limited is the number of upstreams excluded because their rate limits are used up.
	Limited int
	// Upstream is the decode engine or service replica; Prefill the prefill engine.
	Upstream string
	Prefill  string
	// Version is the software version of the decode engine. From is the number of events that the
	// caller had before this step, of earlier tries too, and Resumes the try that began the stream
	// according to the caller.
	Version string
	From    int
	Resumes string
	// Reason is a short machine-readable identifier.
	Reason string
	// Bundle is the number of the configuration bundle that the decision used.
	Bundle uint64
	// ViewAge is the age of the load data that the decision used.
	ViewAge time.Duration
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
}

// Fields returns the fields of the log line.
func (d Decision) Fields() log.Fields {
	return log.Fields{
		"request":                  d.Request,
		"team":                     d.Team,
		"class":                    d.Class,
		"attempt":                  d.Attempt,
		"step":                     d.Step,
		"candidates":               d.Candidates,
		"limited":                  d.Limited,
		"upstream":                 d.Upstream,
		"prefill":                  d.Prefill,
		"version":                  d.Version,
		"from":                     d.From,
		"resumes":                  d.Resumes,
		"reason":                   d.Reason,
		"bundle":                   d.Bundle,
		"view_age_ms":              d.ViewAge.Milliseconds(),
		"predicted_first_token_ms": d.FirstToken.Milliseconds(),
	}
}

func (r *Runner) logDecision(d Decision) {
	r.o.Metrics.Decided(d.Step)
	r.o.Logger.WithFields(d.Fields()).Info("decision")
}
