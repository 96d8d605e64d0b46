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

// keptCompletion is the body of the answer that the gate keeps for a
// completion, so that a repeat of its key gets the same tokens.
type keptCompletion struct {
	Tokens []string `json:"tokens"`
	Reason string   `json:"reason"`
	Usage  Usage    `json:"usage"`
}

// completeOnce runs a non-idempotent completion under a grant of the gate.
func (r *Runner) completeOnce(ctx context.Context, c Completion, sink Sink, entry *Active) {
	grant, err := r.claim(ctx, completionKey(c))
	if err != nil {
		sink.Fail(err.WithRun(errkind.Answer(err).Run))
		return
	}
	if !grant.Run() {
		if err := notHere(grant); err != nil {
			sink.Fail(err)
			return
		}
		replay(grant.Answer(), sink)
		return
	}
	out := Outcome{Run: errkind.Unknown} // what a panic below would leave
	defer func() { grant.Finish(out) }()
	d := r.drive(ctx, c, sink, entry, grant.Deadline())
	out.Run = d.m.Run()
	if d.result.err == nil {
		out.Answer = d.kept()
	}
}

// notHere returns an error when another daemon alone may run the request. The
// frontend forwards such requests before they get here.
func notHere(g Grant) *errkind.Error {
	if _, other := g.Owner(); !other {
		return nil
	}
	return errkind.New(errkind.ClaimUnavailable, "another instance alone may run this key").WithRun(errkind.Unknown)
}

// lapsed says that a grant must not be used any more: the process may have been
// stopped between the claim and the dispatch for longer than keys are kept, and
// somebody else may have been granted the key since.
func lapsed(deadline, now time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}

// toldRun returns the run state that the caller is told of a request whose own
// is run, under a grant with the given deadline.
//
// What goes wrong: past the deadline the key may have been forgotten, claimed
// again and run by a replay of the same request. One would notice a caller that
// was told "not run" and an order that was placed. The caller cares for the
// request, not for this attempt at it, so it is told that the run is unknown.
func toldRun(run errkind.Run, deadline, now time.Time) errkind.Run {
	if run == errkind.NotRun && lapsed(deadline, now) {
		return errkind.Unknown
	}
	return run
}

// claim asks the gate. Every request that must not run twice passes here.
func (r *Runner) claim(ctx context.Context, k ClaimKey) (Grant, *errkind.Error) {
	if k.Key == "" {
		return nil, errkind.New(errkind.KeyRequired, "send an Idempotency-Key")
	}
	if r.o.Gate == nil {
		return nil, errkind.New(errkind.ClaimUnavailable, "this instance claims no keys")
	}
	return r.o.Gate.Claim(ctx, k)
}

// completionKey digests everything that shapes the answer, each part with its
// length, so that two different requests cannot have the same digest.
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

func (d *drive) kept() *CallAnswer {
	body, err := json.Marshal(keptCompletion{Tokens: d.m.Tokens(), Reason: d.result.reason, Usage: d.result.usage})
	if err != nil {
		return nil // the gate then says that the key ran and its answer is not kept
	}
	return &CallAnswer{Status: http.StatusOK, Body: body}
}

// replay answers with the kept answer of the earlier run of the same key.
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
