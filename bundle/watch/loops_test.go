package watch

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/infra/infraapi"
)

// waitRecorder is an empty log that records the long-polling time of each read.
type waitRecorder struct {
	infra.Log
	list []time.Duration
}

func (l *waitRecorder) Read(_ context.Context, _ string, _ uint64, _ int, wait time.Duration) (infraapi.ReadReply, error) {
	l.list = append(l.list, wait)
	return infraapi.ReadReply{}, nil
}

// After a freeze, a daemon is not ready until a read of the log returns. If that
// read used the long-polling time of a ready daemon, the daemon would stay unready
// for five to ten seconds when nothing new is published.
func TestUnreadyWatcherReadsWithoutWaiting(t *testing.T) {
	l, now := &waitRecorder{}, time.Unix(1000, 0)
	w := must(New(Options{Log: l, Trust: trusted, Rand: rand.New(rand.NewPCG(1, 2)), PollWait: time.Minute,
		Logger: &log.Logger{Handler: discard.New()}, Clock: func() time.Time { return now }}))
	w.readOnce(t.Context(), 0)
	w.ready.Store(true)
	w.lastTick.Store(now.UnixNano())
	w.readOnce(t.Context(), 0)
	now = now.Add(freezeThreshold + time.Second)
	w.readOnce(t.Context(), 0)
	if d := cmp.Diff([]time.Duration{tickInterval, time.Minute, tickInterval}, l.list); d != "" {
		t.Error(d)
	}
}

// epochLog returns empty reads of the epochs that it holds, in their order.
type epochLog struct {
	infra.Log
	epochs []uint64
}

func (l *epochLog) Read(context.Context, string, uint64, int, time.Duration) (infraapi.ReadReply, error) {
	reply := infraapi.ReadReply{Next: 9, Epoch: l.epochs[0]}
	l.epochs = l.epochs[1:]
	return reply, nil
}

// Guards against a version that wins since the record which had won before it was lost with a restored
// log, whose end is where it was.
func TestRestoredLogIsRefused(t *testing.T) {
	w := must(New(Options{Log: &epochLog{epochs: []uint64{4, 4, 5, 5}}, Trust: trusted, Rand: rand.New(rand.NewPCG(1, 2)),
		Logger: &log.Logger{Handler: discard.New()}, Clock: time.Now}))
	for i, refused := range []bool{false, false, true, true} {
		if d := w.readOnce(t.Context(), 9); (d.err != nil) != refused {
			t.Errorf("read %d: %v", i, d.err)
		}
	}
}
