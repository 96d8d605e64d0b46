package request

import (
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// planAttempt asks the policy for the attempt's engines.
func (d *driver) planAttempt(a Action) {
	now := d.r.o.Now()
	d.endAttempt()
	if d.r.quarantined(d.c.ID, d.subject) {
		d.pendingEvents = append(d.pendingEvents, Event{Kind: EventPlanFailed, Err: errQuarantined()})
		return
	}
	if err := d.checkOrigin(a); err != nil {
		d.pendingEvents = append(d.pendingEvents, Event{Kind: EventPlanFailed, Err: err})
		return
	}
	s, p, err := d.r.snapshotAndPolicy()
	if err != nil {
		d.pendingEvents = append(d.pendingEvents, Event{Kind: EventPlanFailed, Err: err})
		return
	}
	d.bundleNumber = s.Number
	pool := s.Bundle.Models[d.c.Model].DecodePool
	plan, err := d.chooseInTurn(now, a, s, p)
	plan = *d.m.withReoffered(&plan)
	if err == nil && plan.Wait > 0 {
		if permits, ok := d.takePermits(a, &plan); ok {
			d.enqueue(a, plan, pool, d.rank(s.Bundle), permits)
		}
		return
	}
	if err == nil {
		err = d.checkThrottle(now, plan)
	}
	d.aheadTokens = plan.TokensAhead
	d.decodeTarget = Target{Name: plan.Decode.Name, Address: plan.Decode.Address}
	d.decodeReplica, d.prefillName = plan.Decode, plan.Prefill.Name
	d.showAttempt(a.Attempt, StatePlanning)
	if err != nil {
		d.logDecision("plan", "", string(err.Kind))
		d.pendingEvents = append(d.pendingEvents, Event{Kind: EventPlanFailed, Err: err})
		return
	}
	permits, ok := d.takePermits(a, &plan)
	if !ok {
		return
	}
	if a.Attempt > 1 {
		d.r.o.Metrics.Retried(d.c.Class)
	}
	if d.teamDone == nil {
		d.teamDone = d.r.o.Inflight.BeginTeam(d.c.Team)
	}
	plan.Connect = max(d.r.o.ConnectTime(plan.Decode.Address), d.r.o.ConnectTime(plan.Prefill.Address))
	plan.ReplyDelay = d.r.replyDelay(now)
	d.recordPrediction(now, plan.FirstToken, plan.BetweenTokens)
	d.logPlan(a, plan)
	d.pendingEvents = append(d.pendingEvents, Event{Kind: EventPlanned, Plan: &plan, Permits: permits})
}

// showAttempt publishes an attempt, its engines and its state for administrators.
func (d *driver) showAttempt(attempt int, state State) {
	d.r.updateEntry(func() {
		d.entry.Attempt = attempt
		d.shownState, d.entry.State = state, state.String()
		d.entry.Upstream, d.entry.Prefill = d.decodeTarget.Name, d.prefillName
	})
}

// takePermits takes the retry permits that a plan needs and returns their number. If the plan
// has a prompt read, the permits that its decode call is expected to need must be left. If it
// is to wait for a slot, the permits are taken before the wait, so that a request whose retry
// is denied fails at once.
func (d *driver) takePermits(a Action, p *policy.Plan) (permits int, ok bool) {
	needs := d.m.permitsNeeded(a, p)
	if needs == 0 {
		return 0, true
	}
	keep := 0
	if !p.SkipPrefill && d.m.reoffered == nil {
		keep = d.r.handoffs.forModel(d.c.Model).RetriesToKeep(d.r.o.Now())
	}
	if !d.r.requestPermits(permitRequest{request: d.c.ID, class: d.c.Class, attempt: a.Attempt, target: d.c.Model, needs: needs, keep: keep}) {
		d.pendingEvents = append(d.pendingEvents, Event{Kind: EventRetryDenied})
		return 0, false
	}
	return needs, true
}

// checkThrottle refuses a share of the requests that need a prefill while many prefills of
// their model are wasted. All attempts of a request use the same random number, so that
// repeated planning does not improve its chance of admission.
func (d *driver) checkThrottle(now time.Time, plan policy.Plan) *errkind.Error {
	if plan.SkipPrefill || plan.Prefill.Name == "" || d.m.reoffered != nil || d.r.throttles.forModel(d.c.Model).Admit(now, d.throttleDraw) {
		return nil
	}
	return errkind.New(errkind.Overloaded, "the prefill engines read more prompts than are of use")
}

func (d *driver) planQuery(now time.Time, a Action, b *bundle.Bundle) policy.Query {
	accepted := d.waitingSince(now, a) // sets currentTry, which is part of the rank
	return policy.Query{
		RequestID:     d.c.ID,
		Team:          d.c.Team,
		Class:         d.c.Class,
		Model:         d.c.Model,
		Adapter:       d.c.Adapter,
		PromptTokens:  d.promptTokens(),
		MaxTokens:     d.c.MaxTokens,
		MemoryTokens:  d.reservedTokens(),
		AnswerTokens:  d.answerTokens(),
		Prefix:        d.prefix,
		Now:           now,
		Deadline:      d.c.Deadline,
		Version:       a.Version,
		Attempt:       a.Tries,
		Exclude:       a.Exclude,
		NoReply:       a.NoReply,
		DataCentre:    d.r.o.DataCentre,
		Priority:      d.c.Priority,
		Accepted:      accepted,
		Retried:       d.c.PreviousWait > 0 || d.c.TakesUp() || a.Tries > 1,
		RefusalStreak: a.RefusalStreak,
		MayWait:       true,
		QueuedAhead:   d.r.waiters.ahead(d.waiter, b.Models[d.c.Model].DecodePool, d.rank(b)),
	}
}

func (d *driver) promptTokens() int {
	prompt := d.c.PromptTokens
	if prompt == 0 {
		prompt = engineapi.CountTokens(d.c.Prompt)
	}
	return prompt + len(d.m.Tokens())
}

// waitingSince returns the time from which the attempt's wait for a slot is measured: for the
// first attempt, the caller's first try; for a later one, its own start.
//
// If a later attempt's wait were measured from the first try, a request whose stream breaks
// after some seconds would have used up its waiting time before it asks for another slot, and
// would fail although engines have room.
func (d *driver) waitingSince(now time.Time, a Action) time.Time {
	if a.Tries != d.currentTry {
		d.currentTry, d.tryStartedAt = a.Tries, now
	}
	if a.Tries <= 1 {
		return d.c.Accepted.Add(-d.c.PreviousWait)
	}
	return d.tryStartedAt
}

// rank returns the request's rank in the queue. A request counts as retried if its caller tries
// again after a refusal or takes a stream up, or if its earlier attempt failed.
func (d *driver) rank(b *bundle.Bundle) rank {
	return rank{
		level:   policy.QueueRank(b, d.c.Model, d.c.Class),
		retried: d.c.PreviousWait > 0 || d.c.TakesUp() || d.currentTry > 1,
	}
}

// reservedTokens returns the memory to reserve for the request, in tokens.
func (d *driver) reservedTokens() int {
	reserve, _ := d.reservation()
	return reserve
}

// reservation returns the memory to reserve and the additional memory that must be free, in
// tokens.
func (d *driver) reservation() (reserve, headroom int) {
	reserve, headroom = policy.Reservation(d.promptTokens(), d.medianAnswerTokens(), d.r.sizes.mean(d.r.o.Now(), d.c.Model))
	if s := d.r.o.Snapshot(); s != nil && policy.PrecedesOthers(s.Bundle, d.c.Model, d.c.Class) {
		headroom = 0
	}
	return reserve, headroom
}

// medianAnswerTokens returns the estimated median length of the answer in tokens, or the
// length that the caller expects if there is no estimate.
func (d *driver) medianAnswerTokens() int {
	expected := d.expectedTokens()
	if n, ok := d.r.answers.forModel(d.c.Model).Quantile(0.5, expected); ok {
		return n
	}
	return expected
}

// expectedTokens returns the answer length in tokens that the caller expects: its estimate if
// it stated one, and otherwise its limit.
func (d *driver) expectedTokens() int {
	if d.c.AnswerTokens > 0 {
		return d.c.AnswerTokens
	}
	return d.c.MaxTokens
}

// answerTokens returns the mean length in tokens of answers with a similar expected length; 0
// while it is unknown.
func (d *driver) answerTokens() int {
	mean, ok := d.r.answers.forModel(d.c.Model).Mean(d.expectedTokens())
	if !ok {
		return 0
	}
	return max(1, int(mean))
}

// prefixOf returns the chained block hashes of the prompt.
func prefixOf(c Completion) []uint64 {
	if c.Prompt == "" {
		return c.Prefix
	}
	return engineapi.PrefixBlocks(c.Model, c.Prompt)
}

func (d *driver) logPlan(a Action, p policy.Plan) {
	d.r.logDecision(Decision{
		Request: d.c.ID, Team: d.c.Team, Class: d.c.Class, Attempt: a.Attempt, Step: "plan",
		Candidates: p.Candidates, Limited: d.limitedCount, Upstream: p.Decode.Name, Prefill: p.Prefill.Name,
		Version: p.Decode.Version, From: d.eventsHeld(), Resumes: d.c.Resumes, Reason: p.Reason,
		Bundle: d.bundleNumber, ViewAge: p.LoadAge, FirstToken: p.FirstToken,
	})
}
