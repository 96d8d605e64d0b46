package roles

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/fleet"
)

// Engine is one registered engine.
type Engine struct {
	Name        string
	Address     string
	DataCentre  string
	Role        fleet.Role
	Version     string // of its software
	Incarnation int64  // identifies the incarnation; see fleet.Registration
}

// Order changes the role of one engine.
type Order struct {
	Member Engine
	To     fleet.Role
}

const (
	// toDecodeSlack is how far, in engines, an order to decode may bring the number of
	// prefill engines below the wanted number. The wanted number is not rounded and
	// includes prefillHeadroom. Without slack a small pool keeps one engine too many, which
	// is a large part of a pool of three. With a slack of 0.1, a fleet of 14 kept four prefill engines
	// while decode engines were missing, and its goodput was 0.63 instead of 0.68. With a
	// slack above 0.35 it goes down to two prefill engines, and crashes may leave none.
	toDecodeSlack = 0.35
	// toPrefillSlack is how far, in engines, the number of prefill engines must be below
	// the wanted number, for at least toPrefillDelay, before an engine is ordered to
	// prefill. An engine that changes its role serves neither pool for seconds, and most
	// crashed engines are back within that time.
	toPrefillSlack = 0.8
	toPrefillDelay = 4 * time.Second
	// undecodedDelay is how long a version may have prefill engines only. In an upgrade its decode
	// engines mostly follow within that time.
	undecodedDelay = 2 * time.Second
	// burstTolerance is the fraction of the wanted number of prefill engines, rounded down to
	// whole engines, by which the actual number must be off before orders begin once
	// clients have connected. Orders then continue until the wanted number is reached.
	// During a burst, prefill seems 1.5 times as expensive as it is. Without the
	// tolerance, 128 engines got eleven more orders on quiet days, for bursts that were
	// over before the engines had changed their roles, and the goodput was 0.66 to 0.70
	// instead of 0.74 to 0.78.
	burstTolerance = 0.5
	// settleTime is the time allowed, beyond the role change itself, until the engine's
	// registration shows the new role. Until then the engine counts in the new role.
	settleTime = 4 * time.Second
	// shareTimeConstant is the time constant of the exponential smoothing of the wanted
	// share: an engine that changes its role is unavailable for seconds, and a burst does
	// not last longer than that.
	shareTimeConstant = 10 * time.Second
	// peakWindow is how long the planner remembers the largest number of engines, to
	// detect that engines are missing.
	peakWindow = 30 * time.Second
	// maxPendingShare bounds the number of pending orders, as a share of the engines; one
	// is always allowed. earlyMaxPendingShare is the bound before clients connect, when
	// nothing is lost while an engine is unavailable.
	maxPendingShare      = 0.15
	earlyMaxPendingShare = 0.25
)

// Planner computes the orders that move the engines of one service between prefill and
// decode. It is not safe for concurrent use.
type Planner struct {
	switchTime time.Duration
	pending    map[string]pendingOrder
	avoidUntil map[string]time.Time // by engine that did not respond
	// share is the smoothed share of the engines that should prefill, as of shareUpdated.
	share        float64
	shareUpdated time.Time
	shortSince   time.Time // since when prefill engines have been missing; zero if none are
	// undecodedSince tells since when a version has several prefill engines and no decode engine.
	undecodedSince map[string]time.Time
	// movingToDecode and movingToPrefill mean that orders to decode or to prefill have
	// begun and continue without burstTolerance until the wanted number is reached.
	movingToDecode, movingToPrefill bool
	// peakEngines is the largest number of engines within peakWindow, last seen at peakAt.
	peakEngines int
	peakAt      time.Time
}

// pendingOrder is an order that was sent and that the engine's registration does not show
// yet.
type pendingOrder struct {
	to          fleet.Role
	incarnation int64
	until       time.Time
}

// NewPlanner returns a planner for engines that need switchTime to change their role.
func NewPlanner(switchTime time.Duration) *Planner {
	return &Planner{switchTime: switchTime, pending: map[string]pendingOrder{}, avoidUntil: map[string]time.Time{}, undecodedSince: map[string]time.Time{}}
}

// RecordOrder records an order as pending, whether or not the engine accepted it.
func (p *Planner) RecordOrder(now time.Time, o Order) {
	p.pending[o.Member.Name] = pendingOrder{to: o.To, incarnation: o.Member.Incarnation, until: now.Add(p.switchTime + settleTime)}
}

// RecordUnreachable records that an engine did not respond. No orders are planned for it during
// settleTime.
func (p *Planner) RecordUnreachable(now time.Time, m Engine) {
	p.avoidUntil[m.Name] = now.Add(settleTime)
}

// Orders returns the orders that are due, at most the given number. share is the share of the
// engines that should prefill; early means that no clients have connected yet. The work grows
// with the engines and the orders, not with their product.
func (p *Planner) Orders(now time.Time, members []Engine, share float64, early bool, most int) []Order {
	p.removeFinished(now, members)
	prefill, decode := p.splitByRole(members)
	engines := len(prefill) + len(decode)
	if engines < 2 {
		return nil
	}
	wantPrefill := max(1, p.smoothShare(now, share)*float64(engines))
	if engines >= p.peakEngines || !now.Before(p.peakAt.Add(peakWindow)) {
		p.peakEngines, p.peakAt = engines, now
	}
	limit := maxPendingShare
	if early {
		limit = earlyMaxPendingShare
	}
	maxPending := max(1, int(math.Floor(limit*float64(engines))))
	counts := roleCounts{prefill: len(prefill), decode: len(decode), want: wantPrefill, early: early}
	var out []Order
	var source *engineSource
	for len(out) < most {
		to, due := p.direction(now, counts)
		if !due || len(p.pending)+len(out) >= maxPending {
			break
		}
		if source == nil || source.to != to {
			source = p.newSource(now, prefill, decode, to)
		}
		m, ok := source.take()
		if !ok {
			break
		}
		out = append(out, Order{Member: m, To: to})
		counts.move(to)
	}
	if o, ok := p.orderForVersion(now, prefill, decode); ok && len(out) == 0 && len(p.pending) < maxPending {
		out = append(out, o)
	}
	return out
}

// orderForVersion returns an order that gives a version its first decode engine, if it has had
// several prefill engines only for undecodedDelay. Streams that began at a version go on there only,
// at a decode engine.
func (p *Planner) orderForVersion(now time.Time, prefill, decode []Engine) (o Order, ok bool) {
	decoding, reading := countVersions(decode), countVersions(prefill)
	for version := range p.undecodedSince {
		if decoding[version] > 0 || reading[version] < 2 {
			delete(p.undecodedSince, version)
		}
	}
	for _, m := range prefill {
		if decoding[m.Version] > 0 || reading[m.Version] < 2 || len(decoding) == 0 {
			continue
		}
		since, known := p.undecodedSince[m.Version]
		if !known {
			p.undecodedSince[m.Version], since = now, now
		}
		if now.Sub(since) >= undecodedDelay && !now.Before(p.avoidUntil[m.Name]) && (!ok || m.Name < o.Member.Name) {
			o, ok = Order{Member: m, To: fleet.RoleDecode}, true
		}
	}
	return o, ok
}

// countVersions counts engines by version.
func countVersions(list []Engine) map[string]int {
	out := map[string]int{}
	for _, m := range list {
		out[m.Version]++
	}
	return out
}

// roleCounts holds the numbers of engines by role, including the orders that are planned, and
// the wanted number of prefill engines.
type roleCounts struct {
	prefill, decode int
	want            float64
	early           bool
}

// move counts one engine that is to change its role.
func (c *roleCounts) move(to fleet.Role) {
	step := 1
	if to == fleet.RoleDecode {
		step = -1
	}
	c.prefill += step
	c.decode -= step
}

// direction returns the role to which one more engine should move; due is false if none should.
func (p *Planner) direction(now time.Time, c roleCounts) (to fleet.Role, due bool) {
	prefill, engines := float64(c.prefill), c.prefill+c.decode
	p.updateShortSince(now, prefill < c.want-max(toPrefillSlack, p.burstMargin(c.want, c.early, p.movingToPrefill)) || c.prefill == 0)
	// While engines are missing (engines < p.peakEngines), none is moved away from prefill: the
	// next crash may hit one of the few prefill engines.
	toDecode := engines == p.peakEngines && c.prefill > 1 && prefill-1 >= c.want-toDecodeSlack+p.burstMargin(c.want, c.early, p.movingToDecode)
	toPrefill := !p.shortSince.IsZero() && now.Sub(p.shortSince) >= toPrefillDelay && c.decode > 1
	p.movingToDecode, p.movingToPrefill = toDecode, toPrefill
	switch {
	case toDecode:
		return fleet.RoleDecode, true
	case toPrefill:
		return fleet.RolePrefill, true
	}
	return fleet.RolePlain, false
}

// burstMargin returns the number of engines by which the number of prefill engines must be
// off before orders in one direction begin. moving means that such orders have begun already.
func (p *Planner) burstMargin(want float64, early, moving bool) float64 {
	if early || moving {
		return 0
	}
	return math.Floor(burstTolerance * want)
}

// smoothShare adds a value of the wanted share to its exponential moving average and
// returns the average.
func (p *Planner) smoothShare(now time.Time, share float64) float64 {
	weight := 1.0
	if !p.shareUpdated.IsZero() {
		weight = 1 - math.Exp(-now.Sub(p.shareUpdated).Seconds()/shareTimeConstant.Seconds())
	}
	p.share += weight * (share - p.share)
	p.shareUpdated = now
	return p.share
}

// removeFinished removes pending orders that were carried out, that took too long, or
// whose engine is gone or has restarted, since a restart cancels the order. It also
// removes engines from avoidUntil whose time is over.
func (p *Planner) removeFinished(now time.Time, members []Engine) {
	byName := map[string]Engine{}
	for _, m := range members {
		byName[m.Name] = m
	}
	for name, until := range p.avoidUntil {
		if !now.Before(until) {
			delete(p.avoidUntil, name)
		}
	}
	for name, o := range p.pending {
		if m, ok := byName[name]; !ok || m.Role == o.to || m.Incarnation != o.incarnation || !now.Before(o.until) {
			delete(p.pending, name)
		}
	}
}

// splitByRole splits the engines by role. An engine with a pending order counts in the
// role that it was ordered to take.
func (p *Planner) splitByRole(members []Engine) (prefill, decode []Engine) {
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

func (p *Planner) updateShortSince(now time.Time, short bool) {
	switch {
	case !short:
		p.shortSince = time.Time{}
	case p.shortSince.IsZero():
		p.shortSince = now
	}
}

// engineSource yields the engines that are to change their role, one after the other from the
// data centre that has the most of them, so that engines of both roles stay spread over the data
// centres.
type engineSource struct {
	to           fleet.Role
	byDataCentre map[string][]Engine
}

// newSource returns a source of the engines that may move to a role. Engines that did not respond
// lately are left out, and the last decode engine of one of several versions.
func (p *Planner) newSource(now time.Time, prefill, decode []Engine, to fleet.Role) *engineSource {
	list := prefill
	if to == fleet.RolePrefill {
		list = decode
	}
	s := &engineSource{to: to, byDataCentre: map[string][]Engine{}}
	versions := countVersions(list)
	for _, m := range list {
		last := to == fleet.RolePrefill && len(versions) > 1 && versions[m.Version] == 1
		if !last && !now.Before(p.avoidUntil[m.Name]) {
			s.byDataCentre[m.DataCentre] = append(s.byDataCentre[m.DataCentre], m)
		}
	}
	for _, engines := range s.byDataCentre {
		slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	}
	return s
}

// take removes and returns the next engine; ok is false if none is left.
func (s *engineSource) take() (m Engine, ok bool) {
	var most string
	for name, engines := range s.byDataCentre {
		if n := len(s.byDataCentre[most]); len(engines) > n || len(engines) == n && name < most {
			most = name
		}
	}
	engines := s.byDataCentre[most]
	if len(engines) == 0 {
		return m, false
	}
	s.byDataCentre[most] = engines[1:]
	return engines[0], true
}
