package reach

import (
	"math/rand/v2"
	"testing"
	"time"
)

func candidatesAt(addresses []string) []Candidate {
	var out []Candidate
	for _, a := range addresses {
		out = append(out, Candidate{Address: a})
	}
	return out
}

func newTestCarriers(now time.Time, local ...string) *Carriers {
	c := NewCarriers(rand.New(rand.NewPCG(1, 1)))
	c.Set(now, Local, candidatesAt(local))
	return c
}

// Guards against daemons that are cut off and all send their requests through the same daemon.
func TestCarriersSpread(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestCarriers(now, "a", "b", "c", "d")
	picked := map[string]int{}
	for range 400 {
		daemon, ok := c.Pick(now, Local, "u", nil)
		if !ok {
			t.Fatal("none")
		}
		picked[daemon]++
	}
	for _, daemon := range []string{"a", "b", "c", "d"} {
		if picked[daemon] < 60 {
			t.Errorf("%s was picked %d times in 400", daemon, picked[daemon])
		}
	}
}

// Guards against asking daemons again and again that do not reach the upstream themselves, and
// against leaving out those that do not reach another one only.
func TestCarriersThatFail(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestCarriers(now, "a", "b")
	c.RecordResult(now, "a", "u", false)
	for range 20 {
		if daemon, _ := c.Pick(now, Local, "u", nil); daemon != "b" {
			t.Errorf("picked %q, which does not reach u", daemon)
		}
	}
	c.RecordResult(now, "a", "v", true)
	for range 20 {
		if daemon, _ := c.Pick(now, Local, "v", nil); daemon != "a" {
			t.Errorf("picked %q, not the one that carried the last connection to v", daemon)
		}
	}
	if _, ok := c.Pick(now, Local, "u", []string{"b"}); ok {
		t.Error("picked a daemon that was asked")
	}
	c.Avoid(now, "b")
	if _, ok := c.Pick(now, Local, "u", nil); ok || !c.Stale(now.Add(emptyTTL), Local, "u") {
		t.Error("picked a daemon that is avoided, or the list is not looked up again")
	}
	if daemon, _ := c.PickLast(now, "u", nil); daemon != "b" {
		t.Errorf("picked %q as the last resort", daemon)
	}
	if daemon, ok := c.Pick(now.Add(avoidFor), Local, "u", nil); !ok {
		t.Errorf("none after the time: %q", daemon)
	}
}

// Guards against upstreams that nobody is asked for because the daemons that reach them have lost
// most others.
func TestCarriersThatAreCutOff(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestCarriers(now)
	c.Set(now, Local, []Candidate{{Address: "a", CutOff: true}, {Address: "b"}})
	if daemon, _ := c.Pick(now, Local, "u", nil); daemon != "b" {
		t.Errorf("picked %q before a daemon that is not cut off", daemon)
	}
	if daemon, _ := c.PickLast(now, "u", []string{"b"}); daemon != "a" {
		t.Errorf("picked %q when no other is left", daemon)
	}
}
