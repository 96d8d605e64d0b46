package site

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"
)

// Guards against unframed streams whose events name the default version, so that a run reports versions that were mixed
// although they were not.
func TestUnframedEventsNameTheVersion(t *testing.T) {
	s, err := New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	u, err := s.Add("u", "dc1", "decode", 2, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	u.SetVersion("v2")
	u.SetFaults(Faults{Unframed: true})
	resp, err := http.Get("http://" + u.Address() + PathDraft)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	events, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if got := EventVersions(string(events)); !slices.Equal(got, []string{"v2", "v2"}) {
		t.Errorf("events of versions %q, want two of v2", got)
	}
}
