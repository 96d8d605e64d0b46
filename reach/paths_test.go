package reach

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against logs that do not tell a failed path from a failed upstream, or repeat a line for
// each failed connection.
func TestPathTransitions(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	p := NewPaths()
	p.RecordDial(at(0), "b", NoFailure)
	p.RecordHeard(at(100), "a")
	for _, tc := range []struct {
		ms      int
		address string
		failure Failure
		want    Transition
	}{
		{200, "a", NoFailure, Transition{Known: 2, SinceHeard: 100 * time.Millisecond}},
		{300, "a", Refused, Transition{Lost: true, Failing: 1, Known: 2, SinceHeard: 200 * time.Millisecond}},
		{400, "a", TimedOut, Transition{Failing: 1, Known: 2, SinceHeard: 300 * time.Millisecond}},
		{500, "b", Refused, Transition{Lost: true, Failing: 2, Known: 2, SinceHeard: neverHeard}},
		{900, "a", NoFailure, Transition{Regained: true, Failing: 1, Known: 2, SinceHeard: 800 * time.Millisecond, LostFor: 600 * time.Millisecond}},
	} {
		if diff := cmp.Diff(tc.want, p.RecordDial(at(tc.ms), tc.address, tc.failure)); diff != "" {
			t.Errorf("%s after %d ms: %s", tc.address, tc.ms, diff)
		}
	}
	if failing, known := p.Count(at(900).Add(pathTTL)); failing != 0 || known != 0 {
		t.Errorf("unused paths are remembered: %d of %d fail", failing, known)
	}
}
