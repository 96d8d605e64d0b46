package request

import (
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/bundle"
)

// Verdict is the log line that compares the predictions for a completion with the actual values.
// A field is zero if its value was not predicted or not measured.
type Verdict struct {
	Request  string
	Class    bundle.Class
	Upstream string
	// FirstToken is the predicted time to the first token, SeenFirst the actual one. Both run
	// from the request's acceptance until the daemon passes the token to the caller's sink.
	FirstToken, SeenFirst time.Duration
	// Answer and SeenAnswer are the predicted and the actual length of the answer in tokens;
	// Expected is the length that the caller expected.
	Answer, SeenAnswer, Expected int
	// Step and SeenStep are the predicted and the actual time between two tokens.
	Step, SeenStep time.Duration
	// Reserved is the reserved memory and Held the memory used at the end, in tokens.
	Reserved, Held int
	// Samples is the number of answers that the length prediction is based on, and Age the
	// time since the last of them.
	Samples int
	Age     time.Duration
}

// Fields returns the fields of the log line.
func (o Verdict) Fields() log.Fields {
	return log.Fields{
		"request":                  o.Request,
		"class":                    o.Class,
		"upstream":                 o.Upstream,
		"predicted_first_token_ms": o.FirstToken.Milliseconds(),
		"first_token_ms":           o.SeenFirst.Milliseconds(),
		"predicted_answer":         o.Answer,
		"answer":                   o.SeenAnswer,
		"expected_answer":          o.Expected,
		"predicted_step_us":        o.Step.Microseconds(),
		"step_us":                  o.SeenStep.Microseconds(),
		"reserved":                 o.Reserved,
		"held":                     o.Held,
		"samples":                  o.Samples,
		"samples_age_ms":           o.Age.Milliseconds(),
	}
}

// recordPrediction stores the predictions of a plan for the verdict: first is the predicted
// time to the first token, and step the predicted time between two tokens.
func (d *driver) recordPrediction(now time.Time, first, step time.Duration) {
	samples, at := d.r.answers.forModel(d.c.Model).Samples()
	d.verdict = Verdict{
		Request: d.c.ID, Class: d.c.Class, Upstream: d.decodeTarget.Name,
		FirstToken: now.Sub(d.c.Accepted) + first, Step: step,
		Answer: d.answerTokens(), Expected: d.expectedTokens(), Reserved: d.reservedTokens(), Samples: samples,
	}
	if samples > 0 {
		d.verdict.Age = now.Sub(at)
	}
}

// logVerdict logs the verdict of a completion for which at least one token was received.
func (d *driver) logVerdict() {
	chunks := len(d.m.Tokens())
	if chunks == 0 || d.verdict.Request == "" {
		return
	}
	o := d.verdict
	o.SeenAnswer = chunks * d.r.o.ChunkTokens(d.c.Model)
	o.Held = d.c.PromptTokens + o.SeenAnswer
	o.SeenFirst = d.firstTokenAt.Sub(d.c.Accepted)
	o.SeenStep = d.meanTokenInterval(chunks)
	d.r.o.Logger.WithFields(o.Fields()).Info("verdict")
}

// meanTokenInterval returns the mean time between two tokens; 0 if there are fewer than two
// chunks or they came from more than one attempt.
func (d *driver) meanTokenInterval(chunks int) time.Duration {
	if chunks < 2 || d.firstTokenAttempt != d.m.Attempt() {
		return 0
	}
	return d.lastTokenAt.Sub(d.firstTokenAt) / time.Duration((chunks-1)*d.r.o.ChunkTokens(d.c.Model))
}
