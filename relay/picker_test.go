package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// fleetOf returns n daemons spread over three data centres, in the store's order.
func fleetOf(n int) []Peer {
	var out []Peer
	for i := range n {
		out = append(out, Peer{Instance: fmt.Sprintf("i%d", i), DataCentre: fmt.Sprintf("dc%d", i%3), Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	return out
}

func TestPickerPicks(t *testing.T) {
	list := fleetOf(12)
	for name, tc := range map[string]struct {
		list   []Peer
		self   Peer
		failed []int
		want   string
	}{
		"the first of the own data centre":   {list, Peer{DataCentre: "dc1", Address: "me"}, nil, "i1"},
		"the next when it failed":            {list, Peer{DataCentre: "dc1", Address: "me"}, []int{1}, "i4"},
		"itself, then the store":             {list, list[1], nil, ""},
		"itself once the first failed":       {list, list[4], []int{1}, ""},
		"another data centre's without own":  {list, Peer{DataCentre: "dc9", Address: "me"}, nil, "i0"},
		"none in a small fleet":              {fleetOf(7), Peer{DataCentre: "dc1", Address: "me"}, nil, ""},
		"none where few daemons have all":    {append(append(fleetOf(5), fleetOf(5)...), fleetOf(2)...), Peer{DataCentre: "dc1", Address: "me"}, nil, ""},
		"none before the readers were found": {nil, Peer{DataCentre: "dc1", Address: "me"}, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPicker(t0, tc.self)
			p.Listed(t0, tc.list)
			for _, i := range tc.failed {
				p.Failed(t0, tc.list[i])
			}
			got, ok := p.Pick(after(lostRest))
			if got := map[bool]string{true: got.Instance}[ok]; got != tc.want {
				t.Errorf("picked %q, want %q", got, tc.want)
			}
		})
	}
}

func TestPickerComesBackToAReader(t *testing.T) {
	p := NewPicker(t0, Peer{DataCentre: "dc1", Address: "me"})
	p.Listed(t0, fleetOf(12))
	p.Failed(t0, fleetOf(12)[1])
	if got, _ := p.Pick(after(avoidTime)); got.Instance != "i1" {
		t.Errorf("picked %q", got.Instance)
	}
}

// Symptom: a fleet of 300 that was killed at once serves nothing for half a minute.
// Sequence: all daemons start; the first reader has not read for others yet and says
// so; each daemon asks the next one, and the store itself for each.
// Cause: no pause between two readers. The store then refuses calls over its rate.
func TestPickerRestsAfterAReaderThatCannotSay(t *testing.T) {
	p := NewPicker(t0, Peer{DataCentre: "dc1", Address: "me"})
	p.Listed(t0, fleetOf(12))
	asked := map[string]int{}
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		if peer, ok := p.Pick(after(at)); ok {
			asked[peer.Instance]++
			p.Unfit(after(at), peer)
		}
	}
	if d := cmp.Diff(map[string]int{"i1": unfitTimes, "i4": 2}, asked); d != "" {
		t.Error(d)
	}
}

func TestPickerStaysWithAReaderThatCanSay(t *testing.T) {
	p := NewPicker(t0, Peer{DataCentre: "dc1", Address: "me"})
	p.Listed(t0, fleetOf(12))
	for i := range 2 * unfitTimes {
		at := after(time.Duration(i) * unfitRest)
		peer, ok := p.Pick(at)
		if !ok || peer.Instance != "i1" {
			t.Fatalf("picked %q, %t", peer.Instance, ok)
		}
		p.Unfit(at, peer)
		p.Answered()
	}
}

// Load: a fleet of a hundred that starts as one, in which the first daemon to join has
// all parts for seconds; a small one; and one whose readers all fail. Each look for
// readers is a call to the store.
func TestPickerLooksSeldom(t *testing.T) {
	for name, tc := range map[string]struct {
		list  func(at time.Duration) []Peer
		fails bool
		want  int // looks in two minutes
	}{
		"large, spread after 7 s": {func(at time.Duration) []Peer {
			if at < 7*time.Second {
				return fleetOf(1)
			}
			return fleetOf(12)
		}, false, 4},
		"small":         {func(time.Duration) []Peer { return fleetOf(7) }, false, 5},
		"store away":    {func(time.Duration) []Peer { return nil }, false, 5},
		"readers fail":  {func(time.Duration) []Peer { return fleetOf(12) }, true, 13},
		"large at once": {func(time.Duration) []Peer { return fleetOf(12) }, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPicker(t0, Peer{DataCentre: "dc1", Address: "me"})
			looks := 0
			for at := time.Duration(0); at < 2*time.Minute; at += 500 * time.Millisecond {
				if p.Due(after(at)) {
					looks++
					p.Listed(after(at), tc.list(at))
				}
				for peer, ok := p.Pick(after(at)); tc.fails && ok; peer, ok = p.Pick(after(at)) {
					p.Failed(after(at), peer)
				}
			}
			if looks != tc.want {
				t.Errorf("%d looks, want %d", looks, tc.want)
			}
		})
	}
}
