package ratelimit

import (
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/quota"
)

// simSeeds is the number of random seeds that each scenario is simulated with. Longer manual runs
// set it higher.
var simSeeds = flag.Int("ratelimit.seeds", 1, "number of seeds for each scenario; with more than one, all fleet sizes and limits are simulated")

const (
	simStep     = 10 * time.Millisecond
	simDuration = 40 * time.Second
	// simWarmUp is how long the daemons run before the first request.
	simWarmUp   = 5 * time.Second
	dataCentres = 3 // number of data centres
	// callInterval is the least time between two calls of a follower to its reader, and of a
	// reader to the other readers.
	callInterval = 700 * time.Millisecond
	// responseDelay is the time from a request to its response.
	responseDelay = 20 * time.Millisecond
	// limitsStart is when upstreams begin to report limits. The bound (see allowedExcess)
	// applies to an upstream from countingDelay after its first response with a limit, and only
	// to requests of daemons that received such a response at least noticeDelay before.
	limitsStart   = 5 * time.Second
	countingDelay = 3 * time.Second
	noticeDelay   = 500 * time.Millisecond
)

// strategy is a way for the daemons to enforce limits. All but accrual serve for comparison.
type strategy int

const (
	accrual     strategy = iota // accrues, hands over and lends units: package quota
	equalShares                 // each daemon has an equal share of the limit
	fewSenders                  // a few daemons share the limit, selected by rendezvous hashing
	independent                 // each daemon applies the whole limit to its own requests
)

var strategyNames = map[strategy]string{accrual: "accrual", equalShares: "equal shares", fewSenders: "few senders", independent: "whole limit each"}

// simDaemon is a simulated daemon. A restart replaces its ledger and table.
type simDaemon struct {
	index, dataCentre int
	ledger            *quota.Ledger
	table             *Table
	limiter           *Limiter
	upAt, startedAt   time.Time
	hasView           bool // it has received the limits in force once
	frozenUntil       time.Time
	stamp             quota.Stamp
	stampReceived     time.Time
	stampIssuer       *simDaemon
	lastCall          time.Time
	backoffs          map[string]*quota.Backoff // by upstream
	buckets           map[string]*bucket
}

// bucket is the token bucket of a daemon with a strategy that does not lend.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// simUpstream is a simulated upstream, which reports a limit while it is overloaded.
type simUpstream struct {
	name         string
	limit        func(at time.Duration) float64 // by time since the start; NoLimit while it reports none
	firstLimited time.Time                      // when the first response with a limit arrived
	limitKnownAt []time.Time                    // by daemon, when its first response with a limit arrived
	sent         []arrival
}

// arrival is one request received by an upstream. counted is set if its daemon had received a
// limit from the upstream at least noticeDelay before.
type arrival struct {
	at      time.Time
	counted bool
	limit   float64 // as reported in the response
}

// response is a response in transit, which arrives at the time at.
type response struct {
	at, sent time.Time
	daemon   *simDaemon
	upstream *simUpstream
	limit    float64
}

// simFleet simulates daemons and upstreams in virtual time.
type simFleet struct {
	rng            *rand.Rand
	strategy       strategy
	now            time.Time
	daemons        []*simDaemon
	upstreams      []*simUpstream
	responses      []response
	weights        []float64 // relative request rates, by daemon
	requestRate    float64   // requests a second of the whole fleet
	urgentFraction float64   // fraction of the requests that are urgent
	partitioned    int       // the data centre that is cut off from the others, -1 for none
	loanCalls      int
	// numbers of requests, and of refused ones, from countingDelay after limitsStart
	asked, refused map[Request]int
}

// The two kinds of requests. Urgent ones take precedence.
var (
	normalRequest = Request{Pool: "p", Rank: 5}
	urgentRequest = Request{Pool: "p", Rank: 1}
)

// nextRequest returns a random kind for the next request.
func (f *simFleet) nextRequest() Request {
	if f.urgentFraction > 0 && f.rng.Float64() < f.urgentFraction {
		return urgentRequest
	}
	return normalRequest
}

func newSimFleet(seed uint64, st strategy, daemons int, upstreams []*simUpstream, requestRate float64) *simFleet {
	f := &simFleet{rng: rand.New(rand.NewPCG(seed, uint64(daemons))), strategy: st, now: t0, upstreams: upstreams, requestRate: requestRate, partitioned: -1, asked: map[Request]int{}, refused: map[Request]int{}}
	for i := range daemons {
		d := &simDaemon{index: i, dataCentre: i % dataCentres}
		f.daemons = append(f.daemons, d)
		f.restart(d, 0, true)
		f.weights = append(f.weights, 0.2+f.rng.Float64()*f.rng.Float64()*5)
	}
	for _, u := range upstreams {
		u.limitKnownAt = make([]time.Time, daemons)
	}
	return f
}

// restart replaces a daemon by one without state that starts after the downtime.
func (f *simFleet) restart(d *simDaemon, downtime time.Duration, newFleet bool) {
	d.upAt, d.startedAt, d.frozenUntil, d.stampIssuer, d.hasView = f.now.Add(downtime), f.now.Add(downtime), time.Time{}, nil, false
	d.ledger, d.table = quota.NewLedger(d.startedAt, newFleet), NewTable()
	d.limiter = NewLimiter(d.table, d.ledger)
	d.backoffs, d.buckets = map[string]*quota.Backoff{}, map[string]*bucket{}
	for _, u := range f.upstreams {
		d.backoffs[u.name] = &quota.Backoff{}
		if u.limitKnownAt != nil {
			u.limitKnownAt[d.index] = time.Time{}
		}
	}
}

func (f *simFleet) isRunning(d *simDaemon) bool {
	return !f.now.Before(d.upAt) && !f.now.Before(d.frozenUntil)
}

// reachable reports whether a message between two daemons arrives.
func (f *simFleet) reachable(a, b *simDaemon) bool {
	return f.isRunning(a) && f.isRunning(b) && (f.partitioned < 0 || (a.dataCentre == f.partitioned) == (b.dataCentre == f.partitioned))
}

// reader returns the reader of a data centre: its first running daemon.
func (f *simFleet) reader(dataCentre int) *simDaemon {
	for _, d := range f.daemons {
		if d.dataCentre == dataCentre && f.isRunning(d) {
			return d
		}
	}
	return nil
}

// share returns a daemon's share of the rate: an equal part of its data centre's share, or 0
// until it has discovered other daemons.
func (f *simFleet) share(d *simDaemon) float64 {
	if f.now.Sub(d.startedAt) < 300*time.Millisecond {
		return 0
	}
	n := 0
	for _, other := range f.daemons {
		if other.dataCentre == d.dataCentre {
			n++
		}
	}
	return 1 / float64(dataCentres*n)
}

// step advances the simulation by simStep.
func (f *simFleet) step() {
	f.now = f.now.Add(simStep)
	f.deliverResponses()
	for _, d := range f.daemons {
		if !f.isRunning(d) {
			continue
		}
		reader := f.reader(d.dataCentre)
		if !d.hasView && reader != d && f.reachable(d, reader) {
			f.applyRecords(d, reader.table.RecentChanges(f.now, true))
		}
		d.hasView = true
		if f.now.Sub(t0)%quota.TickInterval < simStep {
			d.ledger.Tick(f.now, f.share(d), d == reader)
		}
		if f.now.Sub(d.lastCall) >= callInterval {
			f.exchange(d, reader)
		}
	}
	if f.now.Sub(t0) < simWarmUp {
		return
	}
	for expected := f.requestRate * simStep.Seconds(); f.rng.Float64() < expected; expected-- {
		f.request(f.pickDaemon(), f.nextRequest())
	}
}

// exchange simulates a call of a follower to its reader, or of a reader to the other readers.
// Both sides exchange recent limits, and a follower hands its time over.
func (f *simFleet) exchange(d, reader *simDaemon) {
	d.lastCall = f.now.Add(-time.Duration(f.rng.IntN(200)) * time.Millisecond)
	others := []*simDaemon{reader}
	if d == reader {
		others = nil
		for dataCentre := range dataCentres {
			if otherReader := f.reader(dataCentre); otherReader != nil && otherReader != d {
				others = append(others, otherReader)
			}
		}
	}
	for _, other := range others {
		if !f.reachable(d, other) {
			continue
		}
		f.applyRecords(other, d.table.RecentChanges(f.now, false))
		f.applyRecords(d, other.table.RecentChanges(f.now, false))
	}
	if d == reader {
		return
	}
	if d.stampIssuer == reader {
		span := d.ledger.HandOver(f.now, d.stamp, d.stampReceived, 1)
		reader.ledger.AcceptHandOver(f.now, span, f.share(d))
	}
	d.stampIssuer, d.stamp, d.stampReceived = reader, reader.ledger.Stamp(f.now), f.now
}

// applyRecords updates the table of a daemon with records from another one.
func (f *simFleet) applyRecords(d *simDaemon, list []Record) {
	for _, r := range list {
		d.table.Observe(f.now, r.Observation(f.now))
	}
}

// pickDaemon returns a random running daemon for the next request, by weight.
func (f *simFleet) pickDaemon() *simDaemon {
	sum := 0.0
	for i, d := range f.daemons {
		if f.isRunning(d) {
			sum += f.weights[i]
		}
	}
	at := f.rng.Float64() * sum
	for i, d := range f.daemons {
		if !f.isRunning(d) {
			continue
		}
		if at -= f.weights[i]; at < 0 {
			return d
		}
	}
	return nil
}

// request submits one request at a daemon. It tries the upstreams in random order, first without
// and then with borrowing.
func (f *simFleet) request(d *simDaemon, s Request) {
	if d == nil {
		return
	}
	counted := f.now.Sub(t0) >= limitsStart+countingDelay
	if counted {
		f.asked[s]++
	}
	d.limiter.RecordDemand(f.now, s)
	order := f.rng.Perm(len(f.upstreams))
	for n, i := range order {
		if !f.admit(d, f.upstreams[i], s) {
			continue
		}
		f.send(d, f.upstreams[i])
		for _, refusing := range order[:n] {
			f.borrow(d, f.upstreams[refusing], s) // for later requests
		}
		return
	}
	for _, i := range order {
		if f.borrow(d, f.upstreams[i], s) && f.admit(d, f.upstreams[i], s) {
			f.send(d, f.upstreams[i])
			return
		}
	}
	if counted {
		f.refused[s]++
	}
}

func (u *simUpstream) id() Upstream { return Upstream{Name: u.name} }

// admit reports whether a daemon may send a request to an upstream without borrowing, and spends
// the unit or token for it.
func (f *simFleet) admit(d *simDaemon, u *simUpstream, s Request) bool {
	limit, limited := d.table.Limit(u.id())
	if !limited {
		return true
	}
	switch f.strategy {
	case accrual:
		_, _, ok := d.limiter.Acquire(f.now, u.id(), s)
		return ok
	case equalShares:
		return f.takeToken(d, u, limit*f.share(d))
	case fewSenders:
		return f.takeToken(d, u, f.senderRate(d, u, limit))
	default:
		return f.takeToken(d, u, limit)
	}
}

// takeToken takes one token from a daemon's bucket, which holds at most one.
func (f *simFleet) takeToken(d *simDaemon, u *simUpstream, rate float64) bool {
	b := d.buckets[u.name]
	if b == nil {
		b = &bucket{updatedAt: f.now}
		d.buckets[u.name] = b
	}
	b.tokens = min(1, b.tokens+rate*f.now.Sub(b.updatedAt).Seconds())
	b.updatedAt = f.now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// senderRate returns the share of a limit for a daemon with the strategy fewSenders. The running
// daemons with the lowest hashes for the upstream share the limit equally: one daemon for each
// two requests a second, at least one. Other daemons have no share.
func (f *simFleet) senderRate(d *simDaemon, u *simUpstream, limit float64) float64 {
	senders := max(1, int(limit/2))
	type ranked struct {
		d *simDaemon
		h uint64
	}
	var all []ranked
	for _, other := range f.daemons {
		if f.isRunning(other) && (f.partitioned < 0 || (other.dataCentre == f.partitioned) == (d.dataCentre == f.partitioned)) {
			h := fnv.New64a()
			fmt.Fprint(h, u.name, other.index)
			all = append(all, ranked{other, h.Sum64()})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.h < b.h {
			return -1
		}
		return 1
	})
	for _, r := range all[:min(senders, len(all))] {
		if r.d == d {
			return limit / float64(min(senders, len(all)))
		}
	}
	return 0
}

// maxBackoff bounds the backoff after a failed attempt to borrow.
const maxBackoff = time.Second

// borrow borrows one unit from readers, unless a backoff applies. It reports whether the daemon
// then has enough units for the request.
func (f *simFleet) borrow(d *simDaemon, u *simUpstream, s Request) bool {
	if f.strategy != accrual || d.backoffs[u.name].Active(f.now, 1, s.Rank) {
		return false
	}
	lack, ok := d.limiter.LoanRequest(f.now, u.id(), s)
	if !ok {
		return true
	}
	needs, remaining, wait := 1+lack.Reserve-d.ledger.Available(f.now, u.id().Account(), lack.Terms), 0.0, maxBackoff
	for _, partial := range []bool{false, true} {
		if partial && remaining < needs {
			break
		}
		for i := range dataCentres {
			lender := f.reader((d.dataCentre + i) % dataCentres)
			if lender == nil || lender == d || !f.reachable(d, lender) {
				continue
			}
			f.loanCalls++
			if r, ok := d.table.Record(f.now, u.id()); ok {
				f.applyRecords(lender, []Record{r})
			}
			loan := lender.limiter.Lend(f.now, u.id(), s, needs, needs+lack.Ahead, partial)
			d.ledger.AddLoan(f.now, u.id().Account(), lack.Terms, f.now, loan)
			needs, remaining, wait = needs-loan.Units, remaining+loan.Remaining, min(wait, loan.Wait)
			if d.limiter.Allows(f.now, u.id(), s) {
				return true
			}
		}
	}
	d.backoffs[u.name].Start(f.now, 1, s.Rank, wait, maxBackoff)
	return false
}

// send sends a request to an upstream and schedules the response.
func (f *simFleet) send(d *simDaemon, u *simUpstream) {
	limit := u.limit(f.now.Sub(t0))
	knownAt := u.limitKnownAt[d.index]
	u.sent = append(u.sent, arrival{f.now, !knownAt.IsZero() && f.now.Sub(knownAt) >= noticeDelay, limit})
	f.responses = append(f.responses, response{f.now.Add(responseDelay), f.now, d, u, limit})
}

// deliverResponses processes the responses that are due. Those to a frozen daemon wait.
func (f *simFleet) deliverResponses() {
	inTransit := f.responses[:0]
	for _, r := range f.responses {
		if f.now.Before(r.at) || !f.isRunning(r.daemon) && f.now.Before(r.daemon.frozenUntil) {
			inTransit = append(inTransit, r)
			continue
		}
		if r.sent.Before(r.daemon.startedAt) {
			continue // the daemon was restarted since
		}
		if r.limit == NoLimit {
			r.daemon.table.Observe(f.now, Observation{Upstream: r.upstream.id(), At: r.sent})
			continue
		}
		r.daemon.table.Observe(f.now, Observation{Upstream: r.upstream.id(), HasLimit: true, Limit: r.limit, At: f.now})
		if r.upstream.firstLimited.IsZero() {
			r.upstream.firstLimited = f.now
		}
		if r.upstream.limitKnownAt[r.daemon.index].IsZero() {
			r.upstream.limitKnownAt[r.daemon.index] = f.now
		}
	}
	f.responses = inTransit
}

// worstWindow returns the most requests that any upstream received in a window, as a fraction of
// the number allowed: first of the counted requests, then of all. It considers only windows
// during which the upstream reported a limit throughout, and that begin at least countingDelay
// after it began to report limits, for the first time or again.
func (f *simFleet) worstWindow() (counted, all float64) {
	for _, u := range f.upstreams {
		since := u.firstLimited
		for i, from := range u.sent {
			if from.limit == NoLimit && !u.firstLimited.IsZero() {
				since = from.at
			}
			if u.firstLimited.IsZero() || from.at.Before(since.Add(countingDelay)) {
				continue
			}
			countedRequests, requests, highest := 0, 0, from.limit
			for _, a := range u.sent[i:] {
				if a.at.Sub(from.at) >= Window {
					break
				}
				if a.limit == NoLimit {
					highest = NoLimit
					break
				}
				highest = max(highest, a.limit)
				if requests++; a.counted {
					countedRequests++
				}
			}
			if highest == NoLimit {
				continue
			}
			allowed := allowedExcess*highest*Window.Seconds() + allowedSlack
			counted, all = max(counted, float64(countedRequests)/allowed), max(all, float64(requests)/allowed)
		}
	}
	return counted, all
}

// utilization returns the fraction of the limits that was used, from countingDelay after
// limitsStart.
func (f *simFleet) utilization() float64 {
	sent, allowed := 0.0, 0.0
	for _, u := range f.upstreams {
		for at := limitsStart + countingDelay; at < simDuration; at += time.Second {
			if limit := u.limit(at); limit != NoLimit {
				allowed += limit
			}
		}
		for _, a := range u.sent {
			if a.limit != NoLimit && a.at.Sub(t0) >= limitsStart+countingDelay {
				sent++
			}
		}
	}
	return sent / allowed
}

// limitScenarios are the limits that overloaded upstreams report, by the time since the start.
var limitScenarios = map[string]func(at time.Duration) float64{
	"0":       func(time.Duration) float64 { return 0 },
	"0.5":     func(time.Duration) float64 { return 0.5 },
	"5.4":     func(time.Duration) float64 { return 5.4 },
	"200":     func(time.Duration) float64 { return 200 },
	"changes": func(at time.Duration) float64 { return []float64{2, 9, 0.5, 30, 5}[int(at.Seconds())%5] },
	"ends": func(at time.Duration) float64 {
		if at > 20*time.Second && at < 28*time.Second {
			return NoLimit
		}
		return 4
	},
}

// newSimUpstreams returns three upstreams, of which the first limited ones report a limit from
// limitsStart on.
func newSimUpstreams(limited int, limit func(time.Duration) float64) []*simUpstream {
	var out []*simUpstream
	for i := range 3 {
		u := &simUpstream{name: fmt.Sprint("u", i), limit: func(time.Duration) float64 { return NoLimit }}
		if i < limited {
			u.limit = func(at time.Duration) float64 {
				if at < limitsStart {
					return NoLimit
				}
				return limit(at)
			}
		}
		out = append(out, u)
	}
	return out
}

// scenarios change the state of the fleet at the start of each simulated second.
var scenarios = map[string]func(f *simFleet, second int){
	"calm": func(*simFleet, int) {},
	"kill of all": func(f *simFleet, second int) {
		if second == 16 || second == 22 {
			for _, d := range f.daemons {
				f.restart(d, time.Second, false)
			}
		}
	},
	"rolling restart": func(f *simFleet, second int) {
		if n := len(f.daemons); second >= 10 {
			for i := range max(1, n/20) {
				f.restart(f.daemons[(second*max(1, n/20)+i)%n], 900*time.Millisecond, false)
			}
		}
	},
	"readers killed": func(f *simFleet, second int) {
		if second%6 == 5 {
			f.restart(f.reader(second/6%dataCentres), 700*time.Millisecond, false)
		}
	},
	"freezes": func(f *simFleet, second int) {
		if second%7 != 6 {
			return
		}
		for _, d := range f.daemons {
			if f.rng.Float64() < 0.3 {
				d.frozenUntil = f.now.Add(time.Duration(1+f.rng.IntN(3)) * time.Second)
			}
		}
	},
	"cut zone": func(f *simFleet, second int) {
		f.partitioned = -1
		if second >= 12 && second < 30 {
			f.partitioned = second / 9 % dataCentres
		}
	},
	"callers that move": func(f *simFleet, second int) {
		if second%5 == 4 {
			f.rng.Shuffle(len(f.weights), func(i, j int) { f.weights[i], f.weights[j] = f.weights[j], f.weights[i] })
		}
	},
}

// simulate runs a scenario to its end and returns the fleet.
func simulate(seed uint64, st strategy, daemons, limited int, limit, scenario string) *simFleet {
	f := newSimFleet(seed, st, daemons, newSimUpstreams(limited, limitScenarios[limit]), 60)
	f.run(scenario)
	return f
}

func (f *simFleet) run(scenario string) {
	for last := -1; f.now.Sub(t0) < simDuration; f.step() {
		if second := int(f.now.Sub(t0).Seconds()); second != last {
			scenarios[scenario](f, second)
			last = second
		}
	}
}

// Guards against an upstream that receives more than its limit allows because daemons send
// requests without a call to each other, in all failure scenarios and while the limit changes.
func TestFleetStaysWithinTheLimits(t *testing.T) {
	sizes, named := []int{7, 73}, []string{"0.5", "5.4", "changes"}
	if *simSeeds > 1 {
		sizes, named = []int{7, 73, 300}, slices.Sorted(maps.Keys(limitScenarios))
	}
	for _, size := range sizes {
		for _, limit := range named {
			for _, scenario := range slices.Sorted(maps.Keys(scenarios)) {
				for seed := range uint64(*simSeeds) {
					limited := 1 + int(seed+uint64(len(scenario)))%3
					t.Run(fmt.Sprintf("%d/%s/%s/%d/%d", size, limit, scenario, limited, seed), func(t *testing.T) {
						f := simulate(seed, accrual, size, limited, limit, scenario)
						counted, all := f.worstWindow()
						t.Logf("worst window %.2f of the bound, with uncounted requests %.2f; used %.2f of the limits, %d of %d refused, %.1f loans a second",
							counted, all, f.utilization(), f.refused[normalRequest], f.asked[normalRequest], float64(f.loanCalls)/simDuration.Seconds())
						if counted > 1 {
							t.Errorf("worst window is %.2f of what is allowed, want at most 1", counted)
						}
					})
				}
			}
		}
	}
}

// Guards against a simulation that never exceeds a limit, whatever the daemons do. Two
// strategies without coordination must exceed it: independent, in which each daemon applies the
// whole limit, and equalShares, in which each daemon saves up one request.
func TestSimulationTellsStrategiesApart(t *testing.T) {
	for _, c := range []struct {
		way     strategy
		daemons int
		limit   string
		over    bool
	}{
		{independent, 7, "5.4", true}, {independent, 73, "0.5", true}, {equalShares, 73, "5.4", true},
		{fewSenders, 73, "5.4", false}, {accrual, 73, "0.5", false}, {accrual, 73, "5.4", false},
	} {
		f := simulate(1, c.way, c.daemons, 3, c.limit, "calm")
		counted, all := f.worstWindow()
		t.Logf("%d daemons, %s a second, %s: worst window %.2f of the bound, with uncounted requests %.2f; used %.2f of the limits, %d of %d refused, %.1f loans a second",
			c.daemons, c.limit, strategyNames[c.way], counted, all, f.utilization(), f.refused[normalRequest], f.asked[normalRequest], float64(f.loanCalls)/simDuration.Seconds())
		if (all > 1) != c.over {
			t.Errorf("%s with %d daemons and a limit of %s a second: worst window with all requests is %.2f of what is allowed", strategyNames[c.way], c.daemons, c.limit, all)
		}
	}
}

// Guards against urgent requests that are refused while less urgent ones are served, if all
// upstreams have limits.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	const urgentShare = 1.0 / 12
	for _, size := range []int{7, 73, 300} {
		for seed := range uint64(*simSeeds) {
			f := newSimFleet(seed, accrual, size, newSimUpstreams(3, limitScenarios["5.4"]), 60)
			f.urgentFraction = urgentShare
			f.run("calm")
			refused := float64(f.refused[urgentRequest]) / float64(f.asked[urgentRequest])
			counted, _ := f.worstWindow()
			t.Logf("%d daemons: %d of %d urgent and %d of %d others refused; worst window %.2f of the bound, used %.2f of the limits, %.1f loans a second",
				size, f.refused[urgentRequest], f.asked[urgentRequest], f.refused[normalRequest], f.asked[normalRequest], counted, f.utilization(), float64(f.loanCalls)/simDuration.Seconds())
			if refused > 0.1 || counted > 1 {
				t.Errorf("%d daemons: %.2f of the urgent requests refused, want at most 0.1; worst window %.2f of what is allowed, want at most 1", size, refused, counted)
			}
		}
	}
}
