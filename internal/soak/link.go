package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// link is the path from one daemon to all upstreams: a proxy for each upstream.
type link struct {
	source  net.IP // from which it connects to upstreams; nil for any
	mu      sync.Mutex
	byName  map[string]*proxy
	faults  map[int]linkMode // modes of the faults in progress, by the fault's number
	counter int
}

// linkMode is a fault of a link.
type linkMode uint8

const (
	linkSilent  linkMode = iota // nothing is forwarded, and new connections are not answered
	linkRefuses                 // open connections live on, new ones are refused
	linkResets                  // open connections are reset, new ones are refused
	linkOneWay                  // requests are forwarded, responses are not, and new connections are not answered
	linkModes
)

func newLink(source net.IP) *link {
	return &link{source: source, byName: map[string]*proxy{}, faults: map[int]linkMode{}}
}

// address returns the address of the link to an upstream, which it opens at its first use.
func (l *link) address(upstream, target string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.byName[upstream]
	if p == nil {
		var err error
		if p, err = newProxyFrom(l.source, target); err != nil {
			panic(err) // the run cannot continue without the link
		}
		l.byName[upstream] = p
		for _, m := range l.faults {
			p.applyLink(m)
		}
	}
	return p.address()
}

// inject applies a fault for a time. If several overlap, the link is repaired after the last.
func (l *link) inject(m linkMode, length time.Duration) {
	l.mu.Lock()
	l.counter++
	number := l.counter
	l.faults[number] = m
	for _, p := range l.byName {
		p.applyLink(m)
	}
	l.mu.Unlock()
	time.Sleep(length)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.faults, number)
	if len(l.faults) == 0 {
		l.repair()
	}
}

// clear ends all faults.
func (l *link) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = map[int]linkMode{}
	l.repair()
}

// repair makes all proxies forward again; l.mu must be held.
func (l *link) repair() {
	for _, p := range l.byName {
		p.setMode(transparent)
		p.setAccepting(acceptAll)
	}
}

func (l *link) close() {
	l.clear()
	for _, p := range l.byName {
		p.close()
	}
}

// applyLink applies the fault of a link to one of its proxies.
func (p *proxy) applyLink(m linkMode) {
	switch m {
	case linkSilent:
		p.setMode(stalled)
		p.setAccepting(acceptUnanswered)
	case linkOneWay:
		p.setMode(responsesStalled)
		p.setAccepting(acceptUnanswered)
	case linkRefuses:
		p.setAccepting(acceptNone)
	default:
		p.setAccepting(acceptNone)
		p.resetConnections()
	}
}

// linkFaults generates faults of the daemons' links at random: some, most or all daemons lose
// their links at the same moment, repeatedly and overlapping. The same seed gives the same
// faults.
func linkFaults(seed uint64, length time.Duration, daemons, _ int) []fault {
	const perSecond = 0.5
	rng := rand.New(rand.NewPCG(seed, 3))
	var out []fault
	for range int(length.Seconds() * perSecond) {
		at := time.Duration(rng.Int64N(int64(length)))
		lasts := time.Duration(800+rng.IntN(3200)) * time.Millisecond
		mode := linkMode(rng.IntN(int(linkModes)))
		for _, target := range rng.Perm(daemons)[:1+rng.IntN(daemons)] {
			out = append(out, fault{start: at, duration: lasts, action: actLink, target: target, linkMode: mode})
		}
	}
	return out
}
