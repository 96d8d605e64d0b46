package request

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/quarantine"
	"github.com/corianderturn/corianderturn/upstream"
)

// Quarantine records failed runs and identifies requests that must not be sent because
// upstreams crashed while running them. quarantine.Keeper implements it. Implementations are
// safe for concurrent use and do not block.
type Quarantine interface {
	// ReportLostRun records a run that failed in a way that a crash of its upstream would explain.
	ReportLostRun(b quarantine.LostRun)
	// RecordCompletion records that a request ran to completion.
	RecordCompletion(now time.Time, s quarantine.Subject)
	// Refuses reports whether the request must not be sent, and why.
	Refuses(now time.Time, s quarantine.Subject) quarantine.Verdict
}

type noQuarantine struct{}

func (noQuarantine) ReportLostRun(quarantine.LostRun) {}

func (noQuarantine) RecordCompletion(time.Time, quarantine.Subject) {}

func (noQuarantine) Refuses(time.Time, quarantine.Subject) quarantine.Verdict {
	return quarantine.Verdict{}
}

// quarantined reports whether a request must not be sent. The quarantine applies to the
// request's content and so covers repeats by its caller.
//
// Without the quarantine, a request that crashes every upstream running it and is repeated by
// its caller could take down all of them together with their other work. The check is made
// right before each call, because another daemon may report a further crash at any time.
func (r *Runner) quarantined(id string, s quarantine.Subject) bool {
	v := r.o.Quarantine.Refuses(r.o.Now(), s)
	if v.Refused {
		r.o.Logger.WithFields(log.Fields{"request": id, "digest": v.Cause.String(), "part": v.Cause.PartID(), "ends": v.Crashes}).Info("request quarantined")
	}
	return v.Refused
}

// errQuarantined returns the error that tells the caller not to repeat the request.
func errQuarantined() *errkind.Error {
	return errkind.New(errkind.CrashesUpstreams, "upstreams ended while they ran this request")
}

// callerRun returns the run state that the caller gets for a request that ended with kind and
// run state run. A quarantined request has been run by upstreams under the ids of earlier
// requests with the same content, so it is never reported as not run.
func callerRun(kind errkind.Kind, run errkind.RunState) errkind.RunState {
	if kind == errkind.CrashesUpstreams && run == errkind.NotRun {
		return errkind.Unknown
	}
	return run
}

// subject identifies the content of a completion, and the parts of its prompt, in the quarantine.
func (c *Completion) subject() quarantine.Subject {
	return quarantine.NewSubject(c.contentDigest, c.partDigests)
}

func (c *Completion) contentDigest() quarantine.Digest {
	if o := c.Original; o != nil {
		return quarantine.DigestOf(c.Team, c.CallerTeam, o.Header.Get("Host"), o.Method, o.Path, string(o.Body))
	}
	return quarantine.DigestOf(c.Team, c.CallerTeam, c.Model, c.Adapter, strconv.Itoa(c.MaxTokens), c.Prompt)
}

// partDigests returns the digests of the prompt's parts, each once.
func (c *Completion) partDigests() []quarantine.Digest {
	scope, ids := strings.Join([]string{c.Team, c.CallerTeam}, "\x00"), c.Parts
	if c.Original == nil {
		scope, ids = strings.Join([]string{scope, c.Model, c.Adapter}, "\x00"), sharedLines(c.Prompt)
	}
	out := make([]quarantine.Digest, 0, len(ids))
	seen := make(map[string]bool, len(ids))
	for _, id := range ids {
		if !seen[id] {
			seen[id] = true
			out = append(out, quarantine.PartDigest(scope, id))
		}
	}
	return out
}

// minSharedLine is the length in bytes from which on a line of a prompt counts as a part. Shorter
// ones, such as greetings, say nothing about what a prompt holds.
const minSharedLine = 16

// sharedLines returns the lines of a prompt that it may share with other prompts: all but the last,
// which is the request's own. The messages of a chat are lines as well.
func sharedLines(prompt string) (out []string) {
	prompt = strings.TrimSuffix(strings.TrimSpace(prompt), "\nassistant:")
	lines := strings.Split(strings.TrimSpace(prompt), "\n")
	for _, line := range lines[:len(lines)-1] {
		if line = strings.TrimSpace(line); len(line) >= minSharedLine {
			out = append(out, line)
		}
	}
	return out
}

// subject identifies the content of a plain-service call in the quarantine. If the
// caller sent a Host header, that header selects the service, and a repeat may be routed to
// another service, so it is used in place of the service's name.
func (c *Call) subject() quarantine.Subject {
	target := c.Header.Get("Host")
	if target == "" {
		target = c.Service
	}
	return quarantine.NewSubject(func() quarantine.Digest {
		return quarantine.DigestOf(c.Team, c.CallerTeam, target, c.Method, c.Path, string(c.Body))
	}, func() []quarantine.Digest { return nil })
}

// mayHaveCrashed reports whether a call may have failed because the upstream crashed while it
// had the request: its delivery is unknown, it got no answer, and it was not cancelled here.
func mayHaveCrashed(ctx context.Context, s Step, err error) bool {
	return s != StepReserve && ctx.Err() == nil && upstream.DeliveryOf(err) == upstream.Maybe && upstream.ResponseOf(err) == nil
}

// reportLostRun reports a call that was sent at the given time and failed. answering is
// set if a part of the answer was received.
func (d *driver) reportLostRun(a Action, sent time.Time, answering bool) {
	d.r.o.Quarantine.ReportLostRun(quarantine.LostRun{
		Request: d.c.ID, Subject: d.subject, Upstream: a.Target.Name, Address: a.Target.Address, Step: a.Step.String(),
		Answering: answering, Ran: d.r.o.Now().Sub(sent),
	})
}

func (k *serviceCall) reportLostRun(rep policy.Replica, sent time.Time) {
	k.r.o.Quarantine.ReportLostRun(quarantine.LostRun{
		Request: k.c.ID, Subject: k.subject, Upstream: rep.Name, Address: rep.Address, Step: StepCall.String(),
		Ran: k.r.o.Now().Sub(sent),
	})
}
