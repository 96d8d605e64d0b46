package request

import (
	"sync"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// signalBuffer holds a pause and an unpause, which is all that one offer leads to.
const signalBuffer = 2

// pausable is one streaming draft that an urgent request may pause.
type pausable struct {
	target Target
	work   engineapi.WorkID
	tell   chan<- Event
}

// signal tells the draft's own driver. It never blocks: a driver that has not
// read the signals of its one offer has ended.
func (p *pausable) signal(kind EventKind) {
	select {
	case p.tell <- Event{Kind: kind, Attempt: p.work.Attempt}:
	default:
	}
}

// drafts lists the drafts of this daemon that may be paused, by decode engine. It
// is safe for concurrent use.
type drafts struct {
	mu     sync.Mutex
	byName map[string][]*pausable
	count  func(upstream string, delta int)
}

func newDrafts(count func(upstream string, delta int)) *drafts {
	return &drafts{byName: map[string][]*pausable{}, count: count}
}

func (l *drafts) add(p *pausable) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byName[p.target.Name] = append(l.byName[p.target.Name], p)
	l.count(p.target.Name, 1)
}

// take removes and returns the draft that began to stream last, or nil.
func (l *drafts) take(name string) *pausable {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.byName[name]
	if len(list) == 0 {
		return nil
	}
	p := list[len(list)-1]
	l.remove(name, len(list)-1)
	return p
}

// drop removes p if it is still listed.
func (l *drafts) drop(p *pausable) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, o := range l.byName[p.target.Name] {
		if o == p {
			l.remove(p.target.Name, i)
			return
		}
	}
}

// remove drops entry i; l.mu is held.
func (l *drafts) remove(name string, i int) {
	list := l.byName[name]
	l.byName[name] = append(list[:i:i], list[i+1:]...)
	if len(l.byName[name]) == 0 {
		delete(l.byName, name)
	}
	l.count(name, -1)
}

// offerPause lists a draft as pausable at its first token of an attempt.
func (d *drive) offerPause(a Action) {
	if d.offer != nil || d.c.Class != bundle.Draft {
		return
	}
	d.offer = &pausable{target: d.decodeTarget, work: d.work(a), tell: d.signals}
	d.r.drafts.add(d.offer)
}

func (d *drive) withdrawPause() {
	if d.offer != nil {
		d.r.drafts.drop(d.offer)
		d.offer = nil
	}
}

// pauseVictim takes a draft on the planned decode engine, or says that none is left.
func (d *drive) pauseVictim(a Action) bool {
	d.victim = d.r.drafts.take(a.Target.Name)
	if d.victim == nil {
		return false
	}
	d.victim.signal(EventPaused)
	d.decide("pause", a.Target.Name, d.victim.work.RequestID)
	return true
}

// unpauseVictim lets the paused draft go on. The call is repeated until it is
// acknowledged: a lost one would hold the draft until its deadline.
func (d *drive) unpauseVictim() {
	if d.victim == nil {
		return
	}
	d.r.canceller.add(d.victim.target.Address, cancelTask{work: engineapi.CancelRequest{WorkID: d.victim.work}, resume: true})
	d.victim.signal(EventUnpaused)
	d.victim = nil
}
