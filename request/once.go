package request

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/corianderturn/corianderturn/errkind"
)

// keptCompletion is the body of the stored answer of a completion, so that a repeat of its
// idempotency key gets the same tokens.
type keptCompletion struct {
	Tokens []string `json:"tokens"`
	Reason string   `json:"reason"`
	Usage  Usage    `json:"usage"`
}

// completeOnce runs a non-idempotent completion after claiming its idempotency key. If the key
// was claimed before, it sends the stored answer of the earlier run, or an error.
func (r *Runner) completeOnce(ctx context.Context, c Completion, sink Sink, entry *Active) {
	grant, err := r.claim(ctx, completionKey(c))
	if err != nil {
		sink.Fail(err.WithRun(errkind.Answer(err).Run))
		return
	}
	if !grant.Run() {
		if err := ownedElsewhere(grant); err != nil {
			sink.Fail(err)
			return
		}
		replay(grant.Answer(), sink)
		return
	}
	out := Outcome{Run: errkind.Unknown} // recorded if a panic ends the run
	defer func() { grant.Finish(out) }()
	d := r.runMachine(ctx, c, sink, entry, grant.Deadline())
	out.Run = d.m.Run()
	if d.result.err == nil {
		out.Answer = d.keptAnswer()
	}
}

// ownedElsewhere returns an error if only another daemon may run the request. The
// frontend forwards such requests before they reach this package.
func ownedElsewhere(g Grant) *errkind.Error {
	if _, other := g.Owner(); !other {
		return nil
	}
	return errkind.New(errkind.ClaimUnavailable, "another instance alone may run this key").WithRun(errkind.Unknown)
}

// grantExpired reports whether a grant must no longer be used. If the process was stopped
// between the claim and the dispatch for longer than keys are stored, the key may have been
// granted again.
func grantExpired(deadline, now time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}

// reportedRun returns the run state that the caller gets for a request with run state run
// under a grant with the given deadline.
//
// After the deadline the key may have been forgotten and claimed again by a repeat of the same
// request, which may have run on another daemon. The run state that the caller gets describes
// the request and not only this attempt: a caller that is told "not run" although the repeat ran
// would submit the request again, and it would run a second time. The caller is therefore told
// "unknown".
func reportedRun(run errkind.RunState, deadline, now time.Time) errkind.RunState {
	if run == errkind.NotRun && grantExpired(deadline, now) {
		return errkind.Unknown
	}
	return run
}

// claim asks Options.Gate for the right to run the request with key k. Every
// non-idempotent request needs such a grant before its first dispatch.
func (r *Runner) claim(ctx context.Context, k ClaimKey) (Grant, *errkind.Error) {
	if k.Key == "" {
		return nil, errkind.New(errkind.KeyRequired, "send an Idempotency-Key")
	}
	if r.o.Gate == nil {
		return nil, errkind.New(errkind.ClaimUnavailable, "this instance claims no keys")
	}
	return r.o.Gate.Claim(ctx, k)
}

// completionKey returns a key with the digest of everything that shapes the answer. Each part
// is preceded by its length, so that different requests have different digests.
func completionKey(c Completion) ClaimKey {
	parts := []string{"completion", c.Model, c.Adapter, strconv.Itoa(c.MaxTokens), c.Prompt}
	return ClaimKey{Team: c.Team, Key: c.Key, RequestID: c.ID, Body: digest(parts...)}
}

func digest(parts ...string) [sha256.Size]byte {
	h := sha256.New()
	for _, p := range parts {
		h.Write(strconv.AppendInt(nil, int64(len(p)), 10))
		h.Write([]byte{':'})
		h.Write([]byte(p))
	}
	return [sha256.Size]byte(h.Sum(nil))
}

func (d *driver) keptAnswer() *CallAnswer {
	body, err := json.Marshal(keptCompletion{Tokens: d.m.Tokens(), Reason: d.result.reason, Usage: d.result.usage})
	if err != nil {
		return nil // a repeat then gets errkind.KeyAlreadyRan
	}
	return &CallAnswer{Status: http.StatusOK, Body: body}
}

// replay sends the stored answer of an earlier run of the same key.
func replay(kept *CallAnswer, sink Sink) {
	var k keptCompletion
	if kept == nil || json.Unmarshal(kept.Body, &k) != nil {
		sink.Fail(errkind.New(errkind.KeyAlreadyRan, "the answer is not kept").WithRun(errkind.Ran))
		return
	}
	for i, text := range k.Tokens {
		if sink.Token(i, text) != nil {
			sink.Fail(errkind.New(errkind.ClientGone, "the caller went away").WithRun(errkind.Ran))
			return
		}
	}
	sink.Finish(k.Reason, k.Usage)
}
