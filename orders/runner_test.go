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

// hooked is an engine that needs all its items, and calls what happens right
// after a reading or an order.
type hooked struct {
	*engine
	afterState, afterOrder func()
	got                    []engineapi.Order
}

func (h *hooked) State(context.Context, string) (engineapi.State, error) {
	defer h.afterState()
	return h.engine.State, nil
}

func (h *hooked) Order(_ context.Context, _ string, o engineapi.Order) (engineapi.OrderReply, error) {
	defer h.afterOrder()
	h.got = append(h.got, o)
	return engineapi.OrderReply{Accepted: true}, nil
}

// Symptom: an upstream that ignores fencing numbers goes back to an old version.
// Sequence: a daemon reads an upstream's state and decides on orders; before it
// sends them it is stopped and goes on, or hears of a newer version.
// Cause: orders sent because they were right when they were decided.
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
		h := &hooked{engine: newEngine("prefill"), afterState: c.afterState, afterOrder: c.afterOrder}
		r := NewRunner(Options{
			Config: DefaultConfig(), Engines: h, Mine: all, Generation: func() uint64 { return 0 },
			Current: func() *bundle.Version { return current },
			Frozen:  func(time.Time) bool { return frozen },
			Logger:  &log.Logger{Handler: discard.New()},
		})
		due := r.due(start)
		if len(due) != 1 {
			t.Fatalf("due: %v", due)
		}
		r.reconcile(t.Context(), due[0])
		if len(h.got) != c.want {
			t.Errorf("%s: %d orders sent, want %d", c.name, len(h.got), c.want)
		}
		frozen = true
		if again := r.due(start.Add(time.Hour)); again != nil {
			t.Errorf("%s: a stopped daemon reads %v", c.name, again)
		}
	}
}
