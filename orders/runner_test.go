package orders

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// hookedEngine is an engine that records orders without carrying them out, and calls a
// hook after each read of its state and each order.
type hookedEngine struct {
	*fakeEngine
	afterState, afterOrder func()
	received               []engineapi.Order
}

func (h *hookedEngine) State(context.Context, string) (engineapi.State, error) {
	defer h.afterState()
	return h.fakeEngine.State, nil
}

func (h *hookedEngine) Order(_ context.Context, _ string, o engineapi.Order) (engineapi.OrderReply, error) {
	defer h.afterOrder()
	h.received = append(h.received, o)
	return engineapi.OrderReply{Accepted: true}, nil
}

// Guards against returning an upstream that ignores fencing numbers to an old version: a
// daemon that is suspended, or gets a newer bundle, between computing its orders and
// sending them must not send them.
func TestOrderSentDaemonFrozen(t *testing.T) {
	var frozen bool
	var current *bundle.Version
	nothing := func() {}
	stop := func() { frozen = true }
	adopt := func() { current = version(8, "v2") }
	for _, c := range []struct {
		name                   string
		afterState, afterOrder func()
		want                   int
	}{
		{"undisturbed", nothing, nothing, 2},
		{"stopped after the reading", stop, nothing, 0},
		{"stopped after the first order", nothing, stop, 1},
		{"newer version after the reading", adopt, nothing, 0},
		{"newer version after the first order", nothing, adopt, 1},
	} {
		frozen, current = false, version(7, "v1")
		h := &hookedEngine{fakeEngine: newFakeEngine("prefill"), afterState: c.afterState, afterOrder: c.afterOrder}
		r := NewRunner(Options{
			Config: DefaultConfig(), Engines: h, IsSteward: isStewardOfAll, Generation: func() uint64 { return 0 },
			Current: func() *bundle.Version { return current },
			Frozen:  func(time.Time) bool { return frozen },
			Logger:  &log.Logger{Handler: discard.New()},
		})
		due := r.dueReads(start)
		if len(due) != 1 {
			t.Fatalf("due: %v", due)
		}
		r.reconcile(t.Context(), due[0])
		if len(h.received) != c.want {
			t.Errorf("%s: %d orders sent, want %d", c.name, len(h.received), c.want)
		}
		frozen = true
		if again := r.dueReads(start.Add(time.Hour)); again != nil {
			t.Errorf("%s: a suspended daemon reads %v", c.name, again)
		}
	}
}
