package request

import (
	"sync"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// pauseEventBuffer has room for one pause and one unpause: a draft is removed from the list when
// it is paused, so it gets no second pause.
const pauseEventBuffer = 2

// pausableDraft is a request of class bundle.Draft whose answer is streaming and that an urgent
// request may pause.
type pausableDraft struct {
	target Target
	work   engineapi.WorkID
	events chan<- Event
}

// signal sends an event to the draft's driver. It never blocks: if the buffer is full, the
// driver has ended.
func (p *pausableDraft) signal(kind EventKind) {
	select {
	case p.events <- Event{Kind: kind, Attempt: p.work.Attempt}:
	default:
	}
}

// pausableDrafts lists this daemon's drafts that may be paused, by decode engine. It is safe
// for concurrent use.
type pausableDrafts struct {
	mu     sync.Mutex
	byName map[string][]*pausableDraft
	count  func(upstream string, delta int)
}

func newPausableDrafts(count func(upstream string, delta int)) *pausableDrafts {
	return &pausableDrafts{byName: map[string][]*pausableDraft{}, count: count}
}

func (l *pausableDrafts) add(p *pausableDraft) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byName[p.target.Name] = append(l.byName[p.target.Name], p)
	l.count(p.target.Name, 1)
}

// takeNewest removes and returns the draft on the named engine that started to stream last, or
// nil.
func (l *pausableDrafts) takeNewest(name string) *pausableDraft {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.byName[name]
	if len(list) == 0 {
		return nil
	}
	p := list[len(list)-1]
	l.removeAt(name, len(list)-1)
	return p
}

// remove removes p if it is still listed.
func (l *pausableDrafts) remove(p *pausableDraft) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, o := range l.byName[p.target.Name] {
		if o == p {
			l.removeAt(p.target.Name, i)
			return
		}
	}
}

// removeAt removes entry i; l.mu must be held.
func (l *pausableDrafts) removeAt(name string, i int) {
	list := l.byName[name]
	l.byName[name] = append(list[:i:i], list[i+1:]...)
	if len(l.byName[name]) == 0 {
		delete(l.byName, name)
	}
	l.count(name, -1)
}

// addToPausable adds this request to the drafts that may be paused, if it is a draft and
// its attempt has not been added before. It is called for each token that the attempt delivers.
func (d *driver) addToPausable(a Action) {
	if d.pausableEntry != nil || d.c.Class != bundle.Draft {
		return
	}
	d.pausableEntry = &pausableDraft{target: d.decodeTarget, work: d.workID(a), events: d.pauseEvents}
	d.r.pausableDrafts.add(d.pausableEntry)
}

// removeFromPausable removes this request from the drafts that may be paused.
func (d *driver) removeFromPausable() {
	if d.pausableEntry != nil {
		d.r.pausableDrafts.remove(d.pausableEntry)
		d.pausableEntry = nil
	}
}

// pauseDraft pauses a draft on the planned decode engine; it returns false if none is left.
func (d *driver) pauseDraft(a Action) bool {
	d.pausedDraft = d.r.pausableDrafts.takeNewest(a.Target.Name)
	if d.pausedDraft == nil {
		return false
	}
	d.pausedDraft.signal(EventPaused)
	d.logDecision("pause", a.Target.Name, d.pausedDraft.work.RequestID)
	return true
}

// unpauseDraft lets the paused draft continue. The unpause call is repeated until the engine
// acknowledges it: if it were lost, the draft would stay paused until its deadline.
func (d *driver) unpauseDraft() {
	if d.pausedDraft == nil {
		return
	}
	d.r.canceller.add(d.pausedDraft.target.Address, cancelTask{work: engineapi.CancelRequest{WorkID: d.pausedDraft.work, Upstream: d.pausedDraft.target.Name}, unpause: true})
	d.pausedDraft.signal(EventUnpaused)
	d.pausedDraft = nil
}
