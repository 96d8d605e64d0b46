package router

import (
	"net/http"
	"testing"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

// Guards against answers with neither a length nor chunks that are refused though they are whole, or
// passed on as whole though their upstream crashed in them, between two events of a stream too.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	for _, tc := range []struct {
		name, path string
		crashAt    int
		whole      bool
	}{
		{"letter", site.PathLetter, 0, true},
		{"draft", site.PathDraft, 0, true},
		{"look-up", site.PathLookUp, 0, true},
		{"order", site.PathOrder, 0, true},
		{"letter, engine crashes between events", site.PathLetter, 2, false},
		{"draft, engine crashes between events", site.PathDraft, 2, true},
		{"look-up, service crashes", site.PathLookUp, 1, false},
		{"order, service crashes", site.PathOrder, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newAttachedFleet(t, nil)
			for _, u := range f.upstreams {
				u.SetFaults(site.Faults{Unframed: true, CrashAt: tc.crashAt})
			}
			want := site.Stream("r", streamEvents)
			if tc.path == site.PathLookUp || tc.path == site.PathOrder {
				want = "answer to r"
			}
			got := f.ask(t.Context(), tc.path, "r")
			complete := got.err == nil && got.status == http.StatusOK
			if complete != tc.whole || tc.whole && got.body != want {
				t.Errorf("complete %t: %+v", complete, got)
			}
		})
	}
}
