package policy

import (
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

// queued makes all slots taken, of which this daemon holds 20, and lets the request wait.
func queued(f *fleet, q *Query) {
	f.fill(20)
	f.in.teams = map[string]int{"a": 20}
	q.MayWait = true
}

// TestWaitEndsWithTheTarget pins that a request in the queue asks again no later
// than its target gets out of reach, and is refused then.
func TestWaitEndsWithTheTarget(t *testing.T) {
	f, q := newFleet(3), query(bundle.Draft)
	queued(f, &q)
	q.Ahead = 1
	p, err := f.plan(NameReserve, q, 1)
	if err != nil || p.Wait != laterRecheck {
		t.Fatalf("with the whole target left: waits %s, %v", p.Wait, err)
	}
	const left = 20 * time.Millisecond
	q.Accepted = q.Now.Add(p.FirstToken + left - f.bundle.Classes[q.Class].FirstToken())
	if p, err = f.plan(NameReserve, q, 1); err != nil || p.Wait != left {
		t.Fatalf("with %s left: waits %s, %v", left, p.Wait, err)
	}
	q.Now = q.Now.Add(left + time.Millisecond)
	if p, err = f.plan(NameReserve, q, 1); err == nil || err.Kind != errkind.Overloaded {
		t.Fatalf("with nothing left: waits %s, %v", p.Wait, err)
	}
}
