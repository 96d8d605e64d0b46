package policy

import (
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
)

// TestLimitRank guards against a request's own priority being ignored under a rate
// limit.
func TestLimitRank(t *testing.T) {
	one, seven := 1, 7
	b := &bundle.Bundle{Classes: map[bundle.Class]bundle.ClassTarget{"route": {Priority: 3}, bundle.Urgent: {Priority: 9}}}
	for _, c := range []struct {
		class    bundle.Class
		priority *int
		want     int
	}{
		{"route", nil, 3}, {"route", &one, 1}, {bundle.Draft, &seven, 7}, {bundle.Urgent, nil, 0}, {bundle.Draft, nil, 1}, {"unknown", nil, 0},
	} {
		if got := Rank(b, c.class, c.priority); got != c.want {
			t.Errorf("%s: %d, want %d", c.class, got, c.want)
		}
	}
}

// rankedQuery returns a query of one of two classes, urgent with a target of 800 ms and ordinary
// with one of 2 s, whose model has requests of both ranks.
func rankedQuery(f *testFleet, class bundle.Class) Query {
	f.bundle.Classes["urgent-route"] = bundle.ClassTarget{FirstTokenMillis: 800, Priority: 0}
	f.bundle.Classes["ordinary-route"] = bundle.ClassTarget{FirstTokenMillis: 2000, Priority: 2}
	f.bundle.Policy.QueueShare = 0.4
	m := f.bundle.Models["m"]
	m.Ranks = []int{0, 2}
	f.bundle.Models["m"] = m
	q := query(class)
	fillPoolAndAllowWait(f, &q)
	f.inflight.teams = map[string]int{"a": 1} // the fair share of a team is not at issue
	return q
}

// TestUrgentRequestsWaitLongest guards against urgent requests that give up before ordinary ones
// because their targets are shorter, while engines are full for seconds.
func TestUrgentRequestsWaitLongest(t *testing.T) {
	waited := func(class bundle.Class, ranked bool) time.Duration {
		f := newFleet(3)
		q := rankedQuery(f, class)
		if !ranked {
			m := f.bundle.Models["m"]
			m.Ranks = nil
			f.bundle.Models["m"] = m
		}
		q.Accepted = q.Now
		for {
			p, err := f.plan(NameReserve, q, 1)
			if err != nil {
				return q.Now.Sub(q.Accepted)
			}
			if p.Wait <= 0 {
				t.Fatalf("planned on %q although all slots are taken", p.Decode.Name)
			}
			q.Now = q.Now.Add(p.Wait)
		}
	}
	if got := waited("urgent-route", true); got < maxLongWait || got > maxLongWait+headRecheckInterval {
		t.Errorf("an urgent request waits for %s, want about %s", got, maxLongWait)
	}
	for _, c := range []struct {
		class  bundle.Class
		ranked bool
		limit  time.Duration
	}{{"ordinary-route", true, 800 * time.Millisecond}, {"ordinary-route", false, 800 * time.Millisecond}, {"urgent-route", false, 320 * time.Millisecond}} {
		if got := waited(c.class, c.ranked); got > c.limit+refusedRecheckInterval {
			t.Errorf("%s, ranked %v: waits for %s, want at most %s", c.class, c.ranked, got, c.limit)
		}
	}
}

// TestUrgentRequestsAskMostOften guards against freed slots that go to ordinary requests because
// those ask for one more often than urgent ones that engines have refused.
func TestUrgentRequestsAskMostOften(t *testing.T) {
	for class, want := range map[bundle.Class]time.Duration{"urgent-route": headRecheckInterval, "ordinary-route": refusedRecheckInterval} {
		f := newFleet(3)
		q := rankedQuery(f, class)
		q.Accepted, q.RefusalStreak = q.Now, 1
		if p, err := f.plan(NameReserve, q, 1); err != nil || p.Wait != want {
			t.Errorf("%s: asks again after %s, error %v; want %s", class, p.Wait, err, want)
		}
	}
}

// TestUrgentRequestsDoNotWaitForNothing guards against urgent requests that are held for seconds
// after the last engine of their pool is gone, instead of being refused at once.
func TestUrgentRequestsDoNotWaitForNothing(t *testing.T) {
	f := newFleet(3)
	q := rankedQuery(f, "urgent-route")
	if p, err := f.plan(NameReserve, q, 1); err != nil || p.Wait <= 0 {
		t.Fatalf("before: wait %s, error %v", p.Wait, err)
	}
	f.updatePool("d", func(r *Replica) { r.EjectedUntil = q.Now.Add(time.Minute) })
	if p, err := f.plan(NameReserve, q, 1); err == nil || err.Kind != errkind.NoUpstream {
		t.Errorf("with all engines gone: wait %s, error %v", p.Wait, err)
	}
}
