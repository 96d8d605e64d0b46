package failure

import (
	"fmt"
	"strings"
	"testing"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/testbed"
)

// Guards against a passage in prompts that crashes decode engines one after the other, until none is
// left, since no two prompts with it are alike. Other prompts begin in the same way.
func TestPassageThatCrashesEngines(t *testing.T) {
	const (
		passage = "The bell of the chapel fell in 1911."
		engines = 16
		// Until the daemons have told each other, each of them may lose as many engines as a request
		// is sent to, and one more.
		maxCrashed = 3 * (3 + 1)
	)
	flag := "--crash-text=" + passage
	r := startFleet(t, func(l *testbed.Layout) {
		l.Decode, l.PrefillFlags = engines, append(l.PrefillFlags, flag)
	})
	r.publishAndWait(fullRetryBudget)
	n := 0
	ask := func(d *testbed.Daemon, parts ...string) *reply {
		n++
		lines := append([]string{"You draft nominations for a heritage council."}, parts...)
		got := r.startStream(d, completion{strings.Join(append(lines, fmt.Sprint("Draft letter ", n)), "\n"), shortAnswer}).result()
		return &got
	}
	sound := func() {
		t.Helper()
		for _, d := range r.Daemons {
			r.eventually("a sound prompt is answered", func() error { // some engines that crashed are not known as such yet
				if got := ask(d); got.status != 200 || got.finish == "" {
					return fmt.Errorf("%v", got)
				}
				return nil
			})
		}
	}
	sound()
	r.eventually("all daemons refuse prompts with the passage", func() error {
		for _, d := range r.Daemons {
			got := ask(d, passage)
			if got.problem == nil || got.problem.Kind != errkind.CrashesUpstreams {
				return fmt.Errorf("the prompt was not refused: %v", got)
			}
		}
		return nil
	})
	sound()
	crashed := 0
	for _, u := range r.PoolUpstreams(testbed.PoolDecode) {
		if !u.Running() {
			crashed++
		}
	}
	if crashed > maxCrashed {
		t.Errorf("%d of %d engines crashed", crashed, engines)
	}
}
