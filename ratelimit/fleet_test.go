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

// modelSeeds is how many plays of each load are made; many more are run by hand.
var modelSeeds = flag.Int("ratelimit.seeds", 1, "plays of each load; with more than one, of each fleet and limit too")

const (
	modelStep   = 10 * time.Millisecond
	modelLength = 40 * time.Second
	// modelLead is how long before the first caller the daemons start.
	modelLead  = 5 * time.Second
	modelZones = 3
	// callEvery is how often a follower calls its reader at most, and readers each other.
	callEvery = 700 * time.Millisecond
	// answerTime is from a request to its answer, either way.
	answerTime = 20 * time.Millisecond
	// namesAfter and contact are when upstreams begin to name limits, and from when on after
	// that the users count.
	namesAfter = 5 * time.Second
	contact    = 3 * time.Second
	toldBefore = 500 * time.Millisecond
)

// way is how daemons hold the limits.
type way int

const (
	accrual way = iota // accrued, handed over and lent: package quota
	equal              // an equal part each
	few                // a few senders for each upstream, by rendezvous
	alone              // each daemon takes the limit as its own
)

var wayNames = map[way]string{accrual: "accrual", equal: "equal parts", few: "few senders", alone: "each alone"}

// modelDaemon is one place in the fleet; its life ends with a kill.
type modelDaemon struct {
	index, zone int
	ledger      *quota.Ledger
	book        *Book
	gate        *Gate
	up, began   time.Time
	serves      bool      // it has its first view
	frozen      time.Time // until when it stands still
	stamp       quota.Stamp
	got         time.Time
	of          *modelDaemon
	called      time.Time
	rests       map[string]*quota.Rest // by upstream
	buckets     map[string]*bucket
}

// bucket is what a daemon may send by the ways that do not lend.
type bucket struct {
	left float64
	at   time.Time
}

// modelUpstream takes requests and, while it is in need, names a limit.
type modelUpstream struct {
	name  string
	limit func(at time.Duration) float64 // None while it names none
	first time.Time                      // when it first named one
	named []time.Time                    // when each daemon first got an answer that does
	sent  []arrival
}

// arrival is one request; counted says that its daemon had been told.
type arrival struct {
	at      time.Time
	counted bool
	limit   float64
}

// answer is an answer on its way.
type answer struct {
	at, sent time.Time
	d        *modelDaemon
	u        *modelUpstream
	limit    float64
}

type modelFleet struct {
	rng       *rand.Rand
	way       way
	now       time.Time
	daemons   []*modelDaemon
	upstreams []*modelUpstream
	answers   []answer
	weights   []float64 // of callers, by daemon
	perSecond float64
	urgent    float64 // the share of the requests that go before the others
	cut       int     // a zone that is apart; -1 for none
	calls     int
	// what came of the requests since the limits were named
	asked, refused map[Seeker]int
}

// The requests: the usual ones, and those that go before them.
var (
	usual  = Seeker{Pool: "p", Rank: 5}
	urgent = Seeker{Pool: "p", Rank: 1}
)

// seeker draws what kind the next request is.
func (f *modelFleet) seeker() Seeker {
	if f.urgent > 0 && f.rng.Float64() < f.urgent {
		return urgent
	}
	return usual
}

func newModelFleet(seed uint64, w way, daemons int, upstreams []*modelUpstream, perSecond float64) *modelFleet {
	f := &modelFleet{rng: rand.New(rand.NewPCG(seed, uint64(daemons))), way: w, now: t0, upstreams: upstreams, perSecond: perSecond, cut: -1, asked: map[Seeker]int{}, refused: map[Seeker]int{}}
	for i := range daemons {
		d := &modelDaemon{index: i, zone: i % modelZones}
		f.daemons = append(f.daemons, d)
		f.start(d, 0, true)
		f.weights = append(f.weights, 0.2+f.rng.Float64()*f.rng.Float64()*5)
	}
	for _, u := range upstreams {
		u.named = make([]time.Time, daemons)
	}
	return f
}

func (f *modelFleet) start(d *modelDaemon, after time.Duration, first bool) {
	d.up, d.began, d.frozen, d.of, d.serves = f.now.Add(after), f.now.Add(after), time.Time{}, nil, false
	d.ledger, d.book = quota.NewLedger(d.began, first), NewBook()
	d.gate = NewGate(d.book, d.ledger)
	d.rests, d.buckets = map[string]*quota.Rest{}, map[string]*bucket{}
	for _, u := range f.upstreams {
		d.rests[u.name] = &quota.Rest{}
		if u.named != nil {
			u.named[d.index] = time.Time{}
		}
	}
}

func (f *modelFleet) runs(d *modelDaemon) bool { return !f.now.Before(d.up) && !f.now.Before(d.frozen) }

func (f *modelFleet) hears(a, b *modelDaemon) bool {
	return f.runs(a) && f.runs(b) && (f.cut < 0 || (a.zone == f.cut) == (b.zone == f.cut))
}

func (f *modelFleet) reader(zone int) *modelDaemon {
	for _, d := range f.daemons {
		if d.zone == zone && f.runs(d) {
			return d
		}
	}
	return nil
}

func (f *modelFleet) part(d *modelDaemon) float64 {
	if f.now.Sub(d.began) < 300*time.Millisecond {
		return 0
	}
	n := 0
	for _, other := range f.daemons {
		if other.zone == d.zone {
			n++
		}
	}
	return 1 / float64(modelZones*n)
}

func (f *modelFleet) step() {
	f.now = f.now.Add(modelStep)
	f.deliver()
	for _, d := range f.daemons {
		if !f.runs(d) {
			continue
		}
		reader := f.reader(d.zone)
		if !d.serves && reader != d && f.hears(d, reader) {
			f.told(d, reader.book.News(f.now, true)) // with its first view
		}
		d.serves = true
		if f.now.Sub(t0)%quota.TickEvery < modelStep {
			d.ledger.Tick(f.now, f.part(d), d == reader)
		}
		if f.now.Sub(d.called) >= callEvery {
			f.call(d, reader)
		}
	}
	if f.now.Sub(t0) < modelLead {
		return
	}
	for expected := f.perSecond * modelStep.Seconds(); f.rng.Float64() < expected; expected-- {
		f.ask(f.caller(), f.seeker())
	}
}

// call lets a follower call its reader, or a reader the others: time and news go along.
func (f *modelFleet) call(d, reader *modelDaemon) {
	d.called = f.now.Add(-time.Duration(f.rng.IntN(200)) * time.Millisecond)
	others := []*modelDaemon{reader}
	if d == reader {
		others = nil
		for zone := range modelZones {
			if r := f.reader(zone); r != nil && r != d {
				others = append(others, r)
			}
		}
	}
	for _, other := range others {
		if !f.hears(d, other) {
			continue
		}
		f.told(other, d.book.News(f.now, false))
		f.told(d, other.book.News(f.now, false))
	}
	if d == reader {
		return
	}
	if d.of == reader {
		span := d.ledger.HandOver(f.now, d.stamp, d.got, 1)
		reader.ledger.Take(f.now, span, f.part(d))
	}
	d.of, d.stamp, d.got = reader, reader.ledger.Stamp(f.now), f.now
}

func (f *modelFleet) told(d *modelDaemon, list []Record) {
	for _, r := range list {
		d.book.Hear(f.now, r.Word(f.now))
	}
}

// caller returns the daemon at which the next caller asks.
func (f *modelFleet) caller() *modelDaemon {
	sum := 0.0
	for i, d := range f.daemons {
		if f.runs(d) {
			sum += f.weights[i]
		}
	}
	at := f.rng.Float64() * sum
	for i, d := range f.daemons {
		if !f.runs(d) {
			continue
		}
		if at -= f.weights[i]; at < 0 {
			return d
		}
	}
	return nil
}

// ask sends one request to an upstream that may have it, in a random order.
func (f *modelFleet) ask(d *modelDaemon, s Seeker) {
	if d == nil {
		return
	}
	counts := f.now.Sub(t0) >= namesAfter+contact
	if counts {
		f.asked[s]++
	}
	d.gate.Asked(f.now, s)
	order := f.rng.Perm(len(f.upstreams))
	for n, i := range order {
		if !f.may(d, f.upstreams[i], s) {
			continue
		}
		f.send(d, f.upstreams[i])
		for _, out := range order[:n] {
			f.borrow(d, f.upstreams[out], s) // for the next one
		}
		return
	}
	for _, i := range order {
		if f.borrow(d, f.upstreams[i], s) && f.may(d, f.upstreams[i], s) {
			f.send(d, f.upstreams[i])
			return
		}
	}
	if counts {
		f.refused[s]++
	}
}

func (u *modelUpstream) id() Upstream { return Upstream{Name: u.name} }

// may takes what is left here.
func (f *modelFleet) may(d *modelDaemon, u *modelUpstream, s Seeker) bool {
	limit, limited := d.book.Limit(u.id())
	if !limited {
		return true
	}
	switch f.way {
	case accrual:
		_, _, ok := d.gate.Take(f.now, u.id(), s)
		return ok
	case equal:
		return f.take(d, u, limit*f.part(d))
	case few:
		return f.take(d, u, f.senderRate(d, u, limit))
	default:
		return f.take(d, u, limit)
	}
}

// take takes one request from a bucket that holds one.
func (f *modelFleet) take(d *modelDaemon, u *modelUpstream, rate float64) bool {
	b := d.buckets[u.name]
	if b == nil {
		b = &bucket{at: f.now}
		d.buckets[u.name] = b
	}
	b.left = min(1, b.left+rate*f.now.Sub(b.at).Seconds())
	b.at = f.now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// senderRate is an equal part of the limit for the few daemons that come first for an upstream
// among those that run: one for each two requests a second, one at least.
func (f *modelFleet) senderRate(d *modelDaemon, u *modelUpstream, limit float64) float64 {
	k := max(1, int(limit/2))
	type ranked struct {
		d *modelDaemon
		h uint64
	}
	var all []ranked
	for _, other := range f.daemons {
		if f.runs(other) && (f.cut < 0 || (other.zone == f.cut) == (d.zone == f.cut)) {
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
	for _, r := range all[:min(k, len(all))] {
		if r.d == d {
			return limit / float64(min(k, len(all)))
		}
	}
	return 0
}

// mostRest bounds how long nobody is asked for a loan after all had too little.
const mostRest = time.Second

// borrow borrows from readers, unless that was of no use a moment ago.
func (f *modelFleet) borrow(d *modelDaemon, u *modelUpstream, s Seeker) bool {
	if f.way != accrual || d.rests[u.name].Holds(f.now, 1, s.Rank) {
		return false
	}
	lack, ok := d.gate.Lack(f.now, u.id(), s)
	if !ok {
		return true
	}
	needs, left, wait := 1+lack.Reserve-d.ledger.Left(f.now, u.id().Account(), lack.Terms), 0.0, mostRest
	for _, whatever := range []bool{false, true} {
		if whatever && left < needs {
			break
		}
		for i := range modelZones {
			lender := f.reader((d.zone + i) % modelZones)
			if lender == nil || lender == d || !f.hears(d, lender) {
				continue
			}
			f.calls++
			if r, ok := d.book.Record(f.now, u.id()); ok {
				f.told(lender, []Record{r})
			}
			loan := lender.gate.Lend(f.now, u.id(), s, needs, needs+lack.Ahead, whatever)
			d.ledger.Borrowed(f.now, u.id().Account(), lack.Terms, f.now, loan)
			needs, left, wait = needs-loan.Units, left+loan.Left, min(wait, loan.Wait)
			if d.gate.May(f.now, u.id(), s) {
				return true
			}
		}
	}
	d.rests[u.name].Set(f.now, 1, s.Rank, wait, mostRest)
	return false
}

func (f *modelFleet) send(d *modelDaemon, u *modelUpstream) {
	limit := u.limit(f.now.Sub(t0))
	told := u.named[d.index]
	u.sent = append(u.sent, arrival{f.now, !told.IsZero() && f.now.Sub(told) >= toldBefore, limit})
	f.answers = append(f.answers, answer{f.now.Add(answerTime), f.now, d, u, limit})
}

// deliver hands out the answers that are due.
func (f *modelFleet) deliver() {
	rest := f.answers[:0]
	for _, a := range f.answers {
		if f.now.Before(a.at) || !f.runs(a.d) && f.now.Before(a.d.frozen) {
			rest = append(rest, a)
			continue
		}
		if a.sent.Before(a.d.began) {
			continue // the daemon that asked is gone
		}
		if a.limit == None {
			a.d.book.Hear(f.now, Word{Upstream: a.u.id(), At: a.sent})
			continue
		}
		a.d.book.Hear(f.now, Word{Upstream: a.u.id(), Named: true, Limit: a.limit, At: f.now})
		if a.u.first.IsZero() {
			a.u.first = f.now
		}
		if a.u.named[a.d.index].IsZero() {
			a.u.named[a.d.index] = f.now
		}
	}
	f.answers = rest
}

// worst returns the largest part of what is allowed that any upstream got in a window, from
// those that the users count and from all, where it named a limit all the while. It counts from
// contact after the upstream first named one, and after it named one again.
func (f *modelFleet) worst() (counted, all float64) {
	for _, u := range f.upstreams {
		since := u.first
		for i, from := range u.sent {
			if from.limit == None && !u.first.IsZero() {
				since = from.at
			}
			if u.first.IsZero() || from.at.Before(since.Add(contact)) {
				continue
			}
			n, m, highest := 0, 0, from.limit
			for _, a := range u.sent[i:] {
				if a.at.Sub(from.at) >= Window {
					break
				}
				if a.limit == None {
					highest = None
					break
				}
				highest = max(highest, a.limit)
				if m++; a.counted {
					n++
				}
			}
			if highest == None {
				continue
			}
			allowed := allowedExcess*highest*Window.Seconds() + allowedSlack
			counted, all = max(counted, float64(n)/allowed), max(all, float64(m)/allowed)
		}
	}
	return counted, all
}

// used returns the part of the limits that was used since the users count.
func (f *modelFleet) used() float64 {
	got, had := 0.0, 0.0
	for _, u := range f.upstreams {
		for at := namesAfter + contact; at < modelLength; at += time.Second {
			if limit := u.limit(at); limit != None {
				had += limit
			}
		}
		for _, a := range u.sent {
			if a.limit != None && a.at.Sub(t0) >= namesAfter+contact {
				got++
			}
		}
	}
	return got / had
}

// limits are what upstreams in need name, by the time since the start.
var limits = map[string]func(at time.Duration) float64{
	"0":       func(time.Duration) float64 { return 0 },
	"0.5":     func(time.Duration) float64 { return 0.5 },
	"5.4":     func(time.Duration) float64 { return 5.4 },
	"200":     func(time.Duration) float64 { return 200 },
	"changes": func(at time.Duration) float64 { return []float64{2, 9, 0.5, 30, 5}[int(at.Seconds())%5] },
	"ends": func(at time.Duration) float64 {
		if at > 20*time.Second && at < 28*time.Second {
			return None
		}
		return 4
	},
}

// upstreamsOf returns three upstreams, of which n come to name a limit.
func upstreamsOf(n int, limit func(time.Duration) float64) []*modelUpstream {
	var out []*modelUpstream
	for i := range 3 {
		u := &modelUpstream{name: fmt.Sprint("u", i), limit: func(time.Duration) float64 { return None }}
		if i < n {
			u.limit = func(at time.Duration) float64 {
				if at < namesAfter {
					return None
				}
				return limit(at)
			}
		}
		out = append(out, u)
	}
	return out
}

// loads are what happens to the fleet, by the second.
var loads = map[string]func(f *modelFleet, second int){
	"calm": func(*modelFleet, int) {},
	"kill of all": func(f *modelFleet, second int) {
		if second == 16 || second == 22 {
			for _, d := range f.daemons {
				f.start(d, time.Second, false)
			}
		}
	},
	"rolling restart": func(f *modelFleet, second int) {
		if n := len(f.daemons); second >= 10 {
			for i := range max(1, n/20) {
				f.start(f.daemons[(second*max(1, n/20)+i)%n], 900*time.Millisecond, false)
			}
		}
	},
	"readers killed": func(f *modelFleet, second int) {
		if second%6 == 5 {
			f.start(f.reader(second/6%modelZones), 700*time.Millisecond, false)
		}
	},
	"freezes": func(f *modelFleet, second int) {
		if second%7 != 6 {
			return
		}
		for _, d := range f.daemons {
			if f.rng.Float64() < 0.3 {
				d.frozen = f.now.Add(time.Duration(1+f.rng.IntN(3)) * time.Second)
			}
		}
	},
	"cut zone": func(f *modelFleet, second int) {
		f.cut = -1
		if second >= 12 && second < 30 {
			f.cut = second / 9 % modelZones
		}
	},
	"callers that move": func(f *modelFleet, second int) {
		if second%5 == 4 {
			f.rng.Shuffle(len(f.weights), func(i, j int) { f.weights[i], f.weights[j] = f.weights[j], f.weights[i] })
		}
	},
}

func play(seed uint64, w way, daemons, needy int, limit, load string) *modelFleet {
	f := newModelFleet(seed, w, daemons, upstreamsOf(needy, limits[limit]), 60)
	f.play(load)
	return f
}

func (f *modelFleet) play(load string) {
	for last := -1; f.now.Sub(t0) < modelLength; f.step() {
		if second := int(f.now.Sub(t0).Seconds()); second != last {
			loads[load](f, second)
			last = second
		}
	}
}

// Guards against an upstream that gets more than it takes from daemons which do not know of
// each other's sends, whatever happens to them and to the limit.
func TestFleetStaysWithinTheLimits(t *testing.T) {
	sizes, named := []int{7, 73}, []string{"0.5", "5.4", "changes"}
	if *modelSeeds > 1 {
		sizes, named = []int{7, 73, 300}, slices.Sorted(maps.Keys(limits))
	}
	for _, size := range sizes {
		for _, limit := range named {
			for _, load := range slices.Sorted(maps.Keys(loads)) {
				for seed := range uint64(*modelSeeds) {
					needy := 1 + int(seed+uint64(len(load)))%3
					t.Run(fmt.Sprintf("%d/%s/%s/%d/%d", size, limit, load, needy, seed), func(t *testing.T) {
						f := play(seed, accrual, size, needy, limit, load)
						counted, all := f.worst()
						t.Logf("worst window %.2f, of all daemons %.2f; used %.2f of the limits, %d of %d refused, %.1f loans a second",
							counted, all, f.used(), f.refused[usual], f.asked[usual], float64(f.calls)/modelLength.Seconds())
						if counted > 1 {
							t.Errorf("%.2f of what is allowed", counted)
						}
					})
				}
			}
		}
	}
}

// Guards against a model that breaks no rule whatever daemons do: a limit that each takes as
// its own, and equal parts of which each saves one request up, are over it.
func TestModelTellsWaysApart(t *testing.T) {
	for _, c := range []struct {
		way     way
		daemons int
		limit   string
		over    bool
	}{
		{alone, 7, "5.4", true}, {alone, 73, "0.5", true}, {equal, 73, "5.4", true},
		{few, 73, "5.4", false}, {accrual, 73, "0.5", false}, {accrual, 73, "5.4", false},
	} {
		f := play(1, c.way, c.daemons, 3, c.limit, "calm")
		counted, all := f.worst()
		t.Logf("%d daemons, %s a second, %s: worst window %.2f, of all daemons %.2f; used %.2f of the limits, %d of %d refused, %.1f loans a second",
			c.daemons, c.limit, wayNames[c.way], counted, all, f.used(), f.refused[usual], f.asked[usual], float64(f.calls)/modelLength.Seconds())
		if (all > 1) != c.over {
			t.Errorf("%s with %d daemons and %s a second: %.2f of what is allowed", wayNames[c.way], c.daemons, c.limit, all)
		}
	}
}

// Guards against urgent requests that are refused beside less urgent ones that are served,
// where all upstreams are in need.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	const urgentShare = 1.0 / 12
	for _, size := range []int{7, 73, 300} {
		for seed := range uint64(*modelSeeds) {
			f := newModelFleet(seed, accrual, size, upstreamsOf(3, limits["5.4"]), 60)
			f.urgent = urgentShare
			f.play("calm")
			refused := float64(f.refused[urgent]) / float64(f.asked[urgent])
			counted, _ := f.worst()
			t.Logf("%d daemons: %d of %d urgent and %d of %d others refused; worst window %.2f, used %.2f of the limits, %.1f loans a second",
				size, f.refused[urgent], f.asked[urgent], f.refused[usual], f.asked[usual], counted, f.used(), float64(f.calls)/modelLength.Seconds())
			if refused > 0.1 || counted > 1 {
				t.Errorf("%d daemons: %.2f of the urgent requests refused, %.2f of what is allowed", size, refused, counted)
			}
		}
	}
}
