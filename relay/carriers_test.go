package relay

import (
	"slices"
	"testing"
	"time"
)

// Guards against daemons that are named as carriers although they are in another data centre, did
// not answer or are the caller itself, and against cut off ones that come before others.
func TestCarriers(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRoster(peer("me", "a", 192), []string{"a", "b"})
	cutOff := peer("cut", "a", 500)
	cutOff.CutOff = true
	gone := peer("gone", "a", 192)
	for _, p := range []Peer{cutOff, gone, peer("caller", "a", 192), peer("x", "a", 192), peer("remote", "b", 192)} {
		r.RecordCall(now, p)
	}
	r.MarkUnreachable(now, gone)
	got := r.Carriers(now, peer("caller", "a", 192).Address)
	if len(got) != 3 || got[2].Instance != "cut" {
		t.Errorf("got %+v, want me and x, then cut", got)
	}
	r.SetCutOff(true)
	if got = r.Carriers(now, ""); got[0].CutOff || !got[len(got)-1].CutOff {
		t.Errorf("cut off itself: %+v", got)
	}
	sound := cutOff
	sound.CutOff = false
	r.RecordCall(now, sound)
	if got = r.Carriers(now, ""); slices.Contains(got, cutOff) {
		t.Errorf("its path works again, as it told: %+v", got)
	}
}

// Guards against a large data centre whose cut off daemons all go through the same few others.
func TestCarriersSpreadByWeight(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRoster(peer("me", "a", 100), nil)
	for i := range 99 {
		r.RecordCall(now, peer(string(rune('A'+i)), "a", 100))
	}
	r.RecordCall(now, peer("large", "a", 800))
	named := map[string]int{}
	const calls = 2000
	for range calls {
		got := r.Carriers(now, "")
		if len(got) != maxCarriers {
			t.Fatalf("%d named", len(got))
		}
		for _, p := range got {
			named[p.Instance]++
		}
	}
	for name, n := range named {
		if share := float64(n) / calls; name != "large" && (share < 0.03 || share > 0.15) {
			t.Errorf("%s is named in %.3f of the calls", name, share)
		}
	}
	if len(named) != 101 || named["large"] < calls/3 {
		t.Errorf("%d named, the large one %d times of %d", len(named), named["large"], calls)
	}
}
