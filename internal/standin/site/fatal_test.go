package site

import (
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/internal/waittest"
)

// Guards against a second report of the same crash, which makes a soak test panic
// because the upstream that it is to replace no longer exists. It happens if two
// requests that crash their upstream run on one upstream at the same time.
func TestUpstreamEndsOnce(t *testing.T) {
	s, err := New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	u, err := s.Add("u", "dc1", "", 0, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan *Upstream, 2)
	for _, body := range []string{"a", "b"} {
		s.CrashOn(body, func(u *Upstream) { ended <- u })
	}
	for _, body := range []string{"a", "b"} {
		if !s.crashIfFatal(u, body) || len(s.Account.CrashTimes(body)) != 1 {
			t.Errorf("body %q did not crash the upstream once", body)
		}
	}
	waittest.Receive(t, "the crash is reported", ended)
	s.Close() // waits for the calls of the crash function
	if len(ended) > 0 {
		t.Error("the crash was reported twice")
	}
}
