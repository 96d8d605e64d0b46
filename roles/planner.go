package roles

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/fleet"
)

// Member is one engine as it is registered.
type Member struct {
	Name       string
	Address    string
	DataCentre string
	Role       fleet.Role
	Born       int64 // tells the lives of one name apart
}

// Order moves one engine to a role.
type Order struct {
	Member Member
	To     fleet.Role
}

const (
	// giveSlack is how far under the exact number, which has room to spare, the prefill
	// engines may be left by an order that takes one away: one of three is much. With 0.1 a
	// fleet of 14 kept four, with decode engines missing, and served 0.63 of the worth instead
	// of 0.68; with more it goes down to two, of which a crash leaves none.
	giveSlack = 0.35
	// takeSlack is how far under the exact number they must be before one is brought
	// back, for takeAfter: an engine that changes serves neither pool for seconds, and
	// most that crash are back within that time.
	takeSlack = 0.8
	takeAfter = 4 * time.Second
	// tolerance is how far off the exact number they must be besides, as a part of it and in
	// whole engines, before orders begin once callers have come; from then on they go on to
	// the exact number. A burst makes prompts look half as dear again as they are. Without it
	// 128 engines took eleven orders more on quiet days, in bursts that were over before the
	// engines were back, and served 0.66 to 0.70 of the worth instead of 0.74 to 0.78.
	tolerance = 0.5
	// settleTime is how long an order is counted as carried out although the
	// registration does not show it yet, besides the time of the change itself.
	settleTime = 4 * time.Second
	// steady is the time in which the wanted share moves most of the way to a new one: an
	// engine that changes serves nobody for seconds, and a burst is over in as many.
	steady = 10 * time.Second
	// memory is how long the largest number of engines is remembered.
	memory = 30 * time.Second
	// underWay bounds the orders that are not carried out yet, as a share of the
	// engines, and at least one; earlyUnderWay does so before callers come, when an
	// engine that is away is missed by nobody.
	underWay      = 0.15
	earlyUnderWay = 0.25
)

// Planner decides on orders for the engines of one service. It is not safe for
// concurrent use.
type Planner struct {
	change  time.Duration
	pending map[string]pending
	avoid   map[string]time.Time // engines that did not answer, until when
	// share is the smoothed share of the engines that should prefill, as of shareAt.
	share   float64
	shareAt time.Time
	short   time.Time // since when prefill has been short; zero when it is not
	// giving and taking say that orders go on to the exact number.
	giving, taking bool
	// most is the largest number of engines seen of late, at mostAt.
	most   int
	mostAt time.Time
}

type pending struct {
	to    fleet.Role
	born  int64
	until time.Time
}

// NewPlanner returns a planner for engines that take change to turn.
func NewPlanner(change time.Duration) *Planner {
	return &Planner{change: change, pending: map[string]pending{}, avoid: map[string]time.Time{}}
}

// Given notes that an order was sent, whatever became of it.
func (p *Planner) Given(now time.Time, o Order) {
	p.pending[o.Member.Name] = pending{to: o.To, born: o.Member.Born, until: now.Add(p.change + settleTime)}
}

// Unreachable notes that an engine did not answer, so that another one is picked
// until it may have come back.
func (p *Planner) Unreachable(now time.Time, m Member) {
	p.avoid[m.Name] = now.Add(settleTime)
}

// Next returns the next order, if one is due. share is the part of the engines that
// should prefill; early says that no callers have come yet.
func (p *Planner) Next(now time.Time, members []Member, share float64, early bool) (Order, bool) {
	p.expire(now, members)
	prefill, decode := p.split(members)
	n := len(prefill) + len(decode)
	if n < 2 {
		return Order{}, false
	}
	want := max(1, p.smooth(now, share)*float64(n))
	if n >= p.most || !now.Before(p.mostAt.Add(memory)) {
		p.most, p.mostAt = n, now
	}
	have := float64(len(prefill))
	limit := underWay
	if early {
		limit = earlyUnderWay
	}
	p.noteShort(now, have < want-max(takeSlack, p.off(want, early, p.taking)) || len(prefill) == 0)
	if len(p.pending) >= max(1, int(math.Floor(limit*float64(n)))) {
		return Order{}, false
	}
	give := n == p.most && len(prefill) > 1 && have-1 >= want-giveSlack+p.off(want, early, p.giving)
	take := !p.short.IsZero() && now.Sub(p.short) >= takeAfter && len(decode) > 1
	p.giving, p.taking = give, take
	switch {
	case give:
		// While engines are missing none is moved away from prefill: the next one that
		// is lost may be one of the few that are left there.
		return p.choose(now, prefill, fleet.RoleDecode)
	case take:
		return p.choose(now, decode, fleet.RolePrefill)
	}
	return Order{}, false
}

// off returns how many engines more than the slack the pools must be off for an order;
// under says that orders of this kind are under way.
func (p *Planner) off(want float64, early, under bool) float64 {
	if early || under {
		return 0
	}
	return math.Floor(tolerance * want)
}

// smooth follows the wanted share slowly.
func (p *Planner) smooth(now time.Time, share float64) float64 {
	part := 1.0
	if !p.shareAt.IsZero() {
		part = 1 - math.Exp(-now.Sub(p.shareAt).Seconds()/steady.Seconds())
	}
	p.share += part * (share - p.share)
	p.shareAt = now
	return p.share
}

// expire forgets orders that are carried out, that took too long, or whose engine
// is gone or was started again, which ends the order with its former life.
func (p *Planner) expire(now time.Time, members []Member) {
	byName := map[string]Member{}
	for _, m := range members {
		byName[m.Name] = m
	}
	for name, until := range p.avoid {
		if !now.Before(until) {
			delete(p.avoid, name)
		}
	}
	for name, o := range p.pending {
		if m, ok := byName[name]; !ok || m.Role == o.to || m.Born != o.born || !now.Before(o.until) {
			delete(p.pending, name)
		}
	}
}

// split sorts the engines by the role that they have or were ordered to.
func (p *Planner) split(members []Member) (prefill, decode []Member) {
	for _, m := range members {
		role := m.Role
		if o, ok := p.pending[m.Name]; ok {
			role = o.to
		}
		if role == fleet.RolePrefill {
			prefill = append(prefill, m)
		} else {
			decode = append(decode, m)
		}
	}
	return prefill, decode
}

func (p *Planner) noteShort(now time.Time, short bool) {
	switch {
	case !short:
		p.short = time.Time{}
	case p.short.IsZero():
		p.short = now
	}
}

// choose returns the order for one of the engines that answer.
func (p *Planner) choose(now time.Time, list []Member, to fleet.Role) (Order, bool) {
	list = slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return now.Before(p.avoid[m.Name]) })
	if len(list) == 0 {
		return Order{}, false
	}
	return Order{Member: pick(list), To: to}, true
}

// pick returns an engine of the data centre that has most of them, so that each
// keeps some of both.
func pick(list []Member) Member {
	count := map[string]int{}
	for _, m := range list {
		count[m.DataCentre]++
	}
	return slices.MinFunc(list, func(a, b Member) int {
		return cmp.Or(count[b.DataCentre]-count[a.DataCentre], cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})
}
