package request

import (
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/bundle"
)

// Verdict sets what was predicted for a completion beside what came of it. Zero is what
// was not predicted or not seen.
type Verdict struct {
	Request  string
	Class    bundle.Class
	Upstream string
	// FirstToken is from the plan, SeenFirst from the acceptance on, on the caller's side
	// of the daemon.
	FirstToken, SeenFirst time.Duration
	// Answer and SeenAnswer are tokens, Expected what the caller expected of them.
	Answer, SeenAnswer, Expected int
	// Step and SeenStep are the time between two tokens.
	Step, SeenStep time.Duration
	// Reserved and Held are the memory reserved and that held at the end, in tokens.
	Reserved, Held int
	// Samples is how many answers the prediction of this one's length rested on, and Age
	// how long ago the last of them was.
	Samples int
	Age     time.Duration
}

// Fields returns the line's fields.
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

// predicted notes what a plan predicts, for the verdict.
func (d *drive) predicted(now time.Time, first, step time.Duration) {
	samples, at := d.r.answers.of(d.c.Model).Samples()
	d.verdict = Verdict{
		Request: d.c.ID, Class: d.c.Class, Upstream: d.decodeTarget.Name,
		FirstToken: now.Sub(d.c.Accepted) + first, Step: step,
		Answer: d.answerTokens(), Expected: d.expectedTokens(), Reserved: d.holdTokens(), Samples: samples,
	}
	if samples > 0 {
		d.verdict.Age = now.Sub(at)
	}
}

// tellVerdict logs the verdict of a completion of which an engine has streamed anything.
func (d *drive) tellVerdict() {
	chunks := len(d.m.Tokens())
	if chunks == 0 || d.verdict.Request == "" {
		return
	}
	o := d.verdict
	o.SeenAnswer = chunks * d.r.o.ChunkTokens(d.c.Model)
	o.Held = d.c.PromptTokens + o.SeenAnswer
	o.SeenFirst = d.first.Sub(d.c.Accepted)
	o.SeenStep = d.perToken(chunks)
	d.r.o.Logger.WithFields(o.Fields()).Info("verdict")
}

// perToken is the mean time between two tokens of a stream that one attempt has made; 0
// where that cannot be told.
func (d *drive) perToken(chunks int) time.Duration {
	if chunks < 2 || d.firstOf != d.m.Attempt() {
		return 0
	}
	return d.last.Sub(d.first) / time.Duration((chunks-1)*d.r.o.ChunkTokens(d.c.Model))
}
