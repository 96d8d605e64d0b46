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

// waits is an empty log that notes how long its readers want to wait.
type waits struct {
	infra.Log
	list []time.Duration
}

func (l *waits) Read(_ context.Context, _ string, _ uint64, _ int, wait time.Duration) (infraapi.ReadReply, error) {
	l.list = append(l.list, wait)
	return infraapi.ReadReply{}, nil
}

// Symptom: a thawed daemon serves nothing for five to ten seconds though the log
// has nothing new.
// Sequence: the process thaws; its next read waits for a record that does not come.
// Cause: what a read shows counts only when it is answered, and it is long.
func TestUnreadyWatcherReadsWithoutWaiting(t *testing.T) {
	l, now := &waits{}, time.Unix(1000, 0)
	w := must(New(Options{Log: l, Trust: trusted, Rand: rand.New(rand.NewPCG(1, 2)), PollWait: time.Minute,
		Logger: &log.Logger{Handler: discard.New()}, Clock: func() time.Time { return now }}))
	w.readOnce(t.Context(), 0)
	w.ready.Store(true)
	w.lastTick.Store(now.UnixNano())
	w.readOnce(t.Context(), 0)
	now = now.Add(frozenAfter + time.Second)
	w.readOnce(t.Context(), 0)
	if d := cmp.Diff([]time.Duration{tickEvery, time.Minute, tickEvery}, l.list); d != "" {
		t.Error(d)
	}
}
