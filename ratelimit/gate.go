package ratelimit

import (
	"sync"
	"time"

	"github.com/corianderturn/corianderturn/quota"
)

// What the users allow an upstream that names a limit to get in any Window: allowedExcess
// times what the limit is for that time, and allowedSlack requests besides.
const (
	allowedExcess = 1.5
	allowedSlack  = 5.0
	// kept is the part of it that is used: requests that were sent apart may arrive together.
	kept = 0.9
	// lookRate is the least that is sent to an upstream, in requests a second, all daemons
	// together: one that takes nothing is looked at now and then, since nobody else says that
	// it has recovered.
	lookRate = 0.25
	// mostRate bounds a limit that is none in effect, in requests a second.
	mostRate = 1e6
)

// Terms returns how a limit is accrued by all daemons: no faster than it is named, and kept
// for as long as any window holds. Long lives matter for limits under a few requests a
// second: no daemon's part is a whole request for seconds.
func Terms(limit float64) quota.Terms {
	rate := min(max(limit, lookRate), mostRate)
	life := kept*(allowedExcess*Window.Seconds()+allowedSlack/rate) - Window.Seconds()
	return quota.Terms{Rate: rate, Life: min(time.Duration(life*float64(time.Second)), quota.MostLife)}
}

// Account returns the account under which an upstream's limit is held.
func (u Upstream) Account() quota.Account {
	return quota.Account{Upstream: u.Name, Life: u.Life}
}

// mostReserve is the most requests that are left for those that go first. Parts are small: a
// larger reserve would leave nothing for others in fleets of dozens.
const mostReserve = 1.0

// Gate says which upstreams with a limit may be sent another request. It is safe for
// concurrent use.
//
// Grounds: what a daemon may send was accrued, handed over or lent in a quota.Ledger, whose
// sums hold over all daemons, whoever knows of the limit first. A request that goes after
// others leaves one for them, where any came in the last second.
type Gate struct {
	book   *Book
	ledger *quota.Ledger

	mu    sync.Mutex
	pools map[string]*pool
}

// pool is what is known of the requests for one pool in which upstreams have limits.
type pool struct {
	// asked is what callers asked for, by rank.
	asked    map[int]*quota.Demand
	promised promises
}

// NewGate returns a gate by the limits of a book and the shares of a ledger.
func NewGate(book *Book, ledger *quota.Ledger) *Gate {
	return &Gate{book: book, ledger: ledger, pools: map[string]*pool{}}
}

// Seeker is a request that looks for an upstream.
type Seeker struct {
	Pool string
	// Rank is lower for what goes first.
	Rank int
}

// Asked notes a request that looks for an upstream of a pool in which any has a limit.
func (g *Gate) Asked(now time.Time, s Seeker) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pool(s.Pool)
	d := p.asked[s.Rank]
	if d == nil {
		d = &quota.Demand{}
		p.asked[s.Rank] = d
	}
	d.Add(now, 1)
}

// pool returns what is known of a pool; g.mu is held.
func (g *Gate) pool(name string) *pool {
	p := g.pools[name]
	if p == nil {
		p = &pool{asked: map[int]*quota.Demand{}}
		g.pools[name] = p
	}
	return p
}

// reserve returns what a request leaves for those that go first.
func (g *Gate) reserve(now time.Time, s Seeker) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := 0.0
	for rank, d := range g.pool(s.Pool).asked {
		if rank < s.Rank {
			first += d.Rate(now)
		}
	}
	return min(first, mostReserve)
}

// May says whether an upstream may be sent a request now.
func (g *Gate) May(now time.Time, u Upstream, s Seeker) bool {
	limit, ok := g.book.Limit(u)
	return !ok || g.ledger.Left(now, u.Account(), Terms(limit)) >= 1+g.reserve(now, s)
}

// Take takes what one request to an upstream needs. An upstream without a limit needs
// nothing: limited is false then, and there is nothing to return.
func (g *Gate) Take(now time.Time, u Upstream, s Seeker) (ticket quota.Ticket, limited, ok bool) {
	limit, limited := g.book.Limit(u)
	if !limited {
		return ticket, false, true
	}
	terms := Terms(limit)
	if ticket, ok = g.ledger.Spend(now, u.Account(), terms, 1, g.reserve(now, s)); ok {
		g.ledger.Asked(now, u.Account(), terms, 1)
		g.book.Sent(now, u)
	}
	return ticket, true, ok
}

// aheadTime is for how long a daemon borrows beyond the request that waits.
const aheadTime = 500 * time.Millisecond

// Lack is what a daemon needs of others for one more request to an upstream.
type Lack struct {
	Terms quota.Terms
	// Reserve is to stay for requests that go first, and Ahead is wanted for what is likely to
	// come.
	Reserve, Ahead float64
}

// Lack returns what is to be borrowed for a request to an upstream; ok is false where it has no
// limit.
func (g *Gate) Lack(now time.Time, u Upstream, s Seeker) (l Lack, ok bool) {
	limit, ok := g.book.Limit(u)
	if !ok {
		return l, false
	}
	return Lack{
		Terms:   Terms(limit),
		Reserve: g.reserve(now, s),
		Ahead:   g.ledger.Demand(now, u.Account()) * aheadTime.Seconds(),
	}, true
}

// Lend gives up what another daemon lacks of an upstream's limit, but for what is left here for
// requests that go before the other's: this daemon's own, and those for which others ask it.
func (g *Gate) Lend(now time.Time, u Upstream, s Seeker, needs, wants float64, whatever bool) quota.Loan {
	limit, ok := g.book.Limit(u)
	if !ok || !(needs > 0) {
		return quota.Loan{}
	}
	g.Asked(now, s)
	return g.ledger.Lend(now, u.Account(), Terms(limit), needs, wants, g.reserve(now, s), whatever)
}

// The times after which a refused caller is told to come back lie between these.
const (
	leastWait = 200 * time.Millisecond
	mostWait  = 10 * time.Second
)

// Wait returns when a request may come back that finds none of the upstreams of its pool: when
// this daemon's part of their limits bears it, and those that were told so before it and go no
// later.
func (g *Gate) Wait(now time.Time, s Seeker, upstreams []Upstream, part float64) time.Duration {
	rate := 0.0
	for _, u := range upstreams {
		if limit, ok := g.book.Limit(u); ok {
			rate += Terms(limit).Rate * part
		}
	}
	if rate <= 0 {
		return mostWait
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pool(s.Pool)
	p.promised.keep(now, rate)
	n := p.promised.add(s.Rank, rate*mostWait.Seconds())
	return max(leastWait, time.Duration(n/rate*float64(time.Second)))
}
