package router

import (
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/reach"
)

// Guards against a daemon that is cut off and leaves out one engine after the other because calls
// through other daemons take long.
func TestCutOffDaemonLeavesOutNoEngine(t *testing.T) {
	f := newAttachedFleet(t, nil)
	now := time.Now()
	for _, u := range f.upstreams {
		f.daemon.paths.RecordDial(now, u.Address(), reach.TimedOut)
	}
	o := attachedObserver{observer{f.daemon.holder, f.daemon.inflight}, f.daemon}
	for _, name := range []string{"d0", "d1"} {
		o.Unanswered(now, name, false)
	}
	if n := f.daemon.holder.Snapshot().Pool("llm/decode").Len(); n != 2 {
		t.Errorf("%d decode engines are left, want 2", n)
	}
	f.daemon.paths.RecordDial(now, f.upstreams["d0"].Address(), reach.NoFailure)
	o.Unanswered(now, "d0", false)
	if n := f.daemon.holder.Snapshot().Pool("llm/decode").Len(); n != 1 {
		t.Errorf("%d decode engines are left after a direct call was not answered, want 1", n)
	}
}
