package failure

import (
	"context"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
	"github.com/corianderturn/corianderturn/internal/standin/service"
	"github.com/corianderturn/corianderturn/internal/testbed"
)

// claimStreamPrefix is the prefix of the names of the log streams that hold claims of
// idempotency keys.
const claimStreamPrefix = "claims-"

// onClaimStreams limits faults of the log to the streams of claims.
func onClaimStreams(f logsvc.Faults) logsvc.Faults {
	f.Stream = claimStreamPrefix
	return f
}

// slowOrders makes the execution of an order take long enough that a test can inject a
// fault during it.
func slowOrders(l *testbed.Layout) { l.ServiceFlags = []string{"--work=700ms"} }

// shortOrders makes the execution of an order last until the claims of concurrent orders
// with the same key are decided.
func shortOrders(l *testbed.Layout) { l.ServiceFlags = []string{"--work=200ms"} }

// submitConcurrently submits orders with the same key through all daemons at once, two
// through each.
func (r *harness) submitConcurrently(key string) []reply {
	return concurrently(2*len(r.Daemons), func(i int) reply { return r.submitOrder(r.Daemons[i%len(r.Daemons)], key) })
}

// checkAtMostOnce checks that an order was executed at most once, that the run state in
// each reply is correct, and that all confirmations are the same. It returns the number
// of executions.
func (r *harness) checkAtMostOnce(key string, answers ...reply) int {
	r.t.Helper()
	results := map[string]int{}
	for _, g := range answers {
		if g.err == nil {
			r.checkRunState(g)
		}
		if g.status == http.StatusOK {
			results[r.confirmation(g)]++
		}
	}
	n := r.executions(withKey(key))
	if n > 1 || len(results) > 1 || len(results) > n {
		r.t.Errorf("executed %d times, results %v", n, results)
	}
	return n
}

// resubmitUntilResult submits an order with the key until the reply is a result, and checks
// that the order was executed exactly once. answers are earlier replies for the key.
func (r *harness) resubmitUntilResult(key string, answers ...reply) {
	r.t.Helper()
	r.eventually("the key has a result", func() error {
		g := r.submitOrder(r.Daemons[1], key)
		if g.status != http.StatusOK {
			return replyError(g)
		}
		answers = append(answers, g)
		return nil
	})
	if n := r.checkAtMostOnce(key, answers...); n != 1 {
		r.t.Errorf("executed %d times, want once", n)
	}
}

// replyError is an error that describes an unexpected reply.
type replyError reply

func (e replyError) Error() string { return reply(e).String() }

// logFault is a fault of the log while orders with one key are submitted through all
// daemons at once.
type logFault struct {
	name    string // subtest name, STEP/FAULT
	faults  logsvc.Faults
	times   int  // number of affected calls; 0 means no limit
	mustRun bool // whether the order must be executed despite the fault
}

var logFaults = []logFault{
	{"claim/log-reply-lost", logsvc.Faults{LoseReply: true}, 4, true},
	{"claim/log-record-repeated", logsvc.Faults{Duplicate: true}, 0, true},
	{"claim/log-reply-lost+log-record-repeated", logsvc.Faults{LoseReply: true, Duplicate: true}, 4, true},
	{"claim/log-slow", logsvc.Faults{DelayMS: 400}, 0, true},
	{"claim/log-slow+log-reply-lost", logsvc.Faults{DelayMS: 300, LoseReply: true}, 4, true},
	{"claim/connection-stalled", logsvc.Faults{StallReply: true}, 2, false},
	{"claim/connection-cut", logsvc.Faults{Cut: true}, 0, false},
	{"claim/log-down", logsvc.Faults{Down: true}, 0, false},
}

// Guards against a claim that is considered granted before it has been read back from the
// log as the first for its key, so that an order is executed twice or callers get
// different confirmations. One key is submitted through all daemons at once while the log
// is down, slow, loses replies of appends that took effect or stores records twice; then
// the log recovers and the key is submitted again.
func TestOnce(t *testing.T) {
	t.Parallel()
	r := startFleet(t, shortOrders)
	if n := r.checkAtMostOnce("healthy", r.submitConcurrently("healthy")...); n != 1 {
		t.Fatalf("executed %d times without faults", n)
	}
	r.resubmitUntilResult("healthy")
	for _, f := range logFaults {
		t.Run(f.name, func(t *testing.T) {
			r := r.forSubtest(t)
			key := "race-" + t.Name()[len("TestOnce/claim/"):]
			r.setLogFaults(onClaimStreams(f.faults), f.times)
			answers := r.submitConcurrently(key)
			n := r.checkAtMostOnce(key, answers...)
			if f.mustRun && n != 1 {
				t.Errorf("executed %d times, want once: %v", n, answers)
			}
			r.setLogFaults(logsvc.Faults{}, 0)
			r.resubmitUntilResult(key, answers...)
		})
	}
}

// Guards against a key that is granted again because its holder is considered dead, so
// that an order is executed twice when a load balancer retries it. A daemon is killed or
// frozen after its claim has been appended and before it is decided, or while its call is
// in progress. The order is sent to another daemon at once, and to a third when the first
// is declared dead; a frozen daemon then resumes.
func TestReplay(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]struct {
		log    logsvc.Faults
		freeze bool
	}{
		"call/daemon-killed":                 {},
		"call/daemon-frozen":                 {freeze: true},
		"claim/daemon-killed":                {log: logsvc.Faults{DelayMS: 700}},
		"claim/daemon-frozen":                {log: logsvc.Faults{DelayMS: 700}, freeze: true},
		"claim/daemon-killed+log-reply-lost": {log: logsvc.Faults{StallReply: true}},
		"claim/daemon-frozen+log-reply-lost": {log: logsvc.Faults{StallReply: true}, freeze: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startFleet(t, slowOrders)
			r.setLogFaults(onClaimStreams(f.log), 0)
			first := r.interruptDaemon(f.log != logsvc.Faults{}, f.freeze)
			r.setLogFaults(logsvc.Faults{}, 0)
			answers := []reply{r.submitOrder(r.Daemons[1], "k")}
			r.awaitDeclaredDead(r.Daemons[0])
			answers = append(answers, r.submitOrder(r.Daemons[2], "k"))
			if f.freeze {
				r.must(r.Daemons[0].Thaw())
			}
			answers = append(answers, <-first, r.submitOrder(r.Daemons[1], "k"))
			r.awaitActiveCalls(0)
			r.checkAtMostOnce("k", answers...)
		})
	}
}

// Guards against a claim that is abandoned when its caller disconnects although its record
// is on the log, so that the key is blocked or the order is executed twice. The caller
// disconnects after the claim has been appended and before it is decided; then the key is
// submitted through another daemon.
func TestClaimCallerGone(t *testing.T) {
	t.Parallel()
	r := startFleet(t)
	t.Run("claim/caller-gone", func(t *testing.T) {
		r := r.forSubtest(t)
		r.setLogFaults(onClaimStreams(logsvc.Faults{DelayMS: 700}), 0)
		before := r.appendCount()
		ctx, cancel := context.WithCancel(r.ctx)
		gone := make(chan reply, 1)
		go func() {
			gone <- r.callWithContext(ctx, r.Daemons[0], http.MethodPost, pathOrders+"/k", "k", "an order")
		}()
		r.eventually("the claim is appended", func() error { return r.checkAppended(before) })
		cancel()
		<-gone
		second := r.submitOrder(r.Daemons[1], "k")
		r.setLogFaults(logsvc.Faults{}, 0)
		r.checkAtMostOnce("k", second, r.submitOrder(r.Daemons[2], "k"))
	})
}

// Guards against the conclusion that an order was not executed because the daemon that
// claimed its key has died. A service has executed the order, but its response is delayed;
// the daemon is killed and the order is submitted through another daemon.
func TestReplayAnswer(t *testing.T) {
	t.Parallel()
	r := startFleet(t)
	t.Run("answer/daemon-killed", func(t *testing.T) {
		r := r.forSubtest(t)
		r.setServiceFaults(service.Faults{StallAfter: true})
		first := make(chan reply, 1)
		go func() { first <- r.submitOrder(r.Daemons[0], "k") }()
		r.eventually("the order is executed", func() error {
			if r.executions(withKey("k")) == 0 {
				return errors.New("not yet")
			}
			return nil
		})
		r.Daemons[0].Kill()
		r.setServiceFaults(service.Faults{})
		second := r.submitOrder(r.Daemons[1], "k")
		if second.problem == nil || second.problem.Run == errkind.NotRun {
			t.Errorf("reply to an order that was executed: %s", second)
		}
		if n := r.checkAtMostOnce("k", <-first, second); n != 1 {
			t.Errorf("executed %d times", n)
		}
	})
}

// interruptDaemon sends an order to the first daemon and kills or freezes the daemon: once
// its claim is appended if claiming is set, else while its call to the service is in
// progress. The channel receives the reply.
func (r *harness) interruptDaemon(claiming, freeze bool) <-chan reply {
	r.t.Helper()
	before := r.appendCount()
	answer := make(chan reply, 1)
	go func() { answer <- r.submitOrder(r.Daemons[0], "k") }()
	if claiming {
		r.eventually("the claim is appended", func() error { return r.checkAppended(before) })
	} else {
		r.awaitActiveCalls(1)
	}
	if freeze {
		r.must(r.Daemons[0].Freeze(r.ctx))
	} else {
		r.Daemons[0].Kill()
	}
	return answer
}

// Guards against claims that the daemons on one side of a partition decide by themselves,
// so that an order is executed on both sides. A data centre is cut from the platform, from
// the other data centre or from both; one key is submitted through all daemons at once;
// then the partition ends.
func TestOnceCut(t *testing.T) {
	t.Parallel()
	r := startFleet(t, shortOrders)
	for name, mode := range map[string]struct{ platform, peers testbed.Mode }{
		"claim/platform-cut":                    {testbed.Cut, testbed.Open},
		"claim/platform-cut+connection-stalled": {testbed.Stalled, testbed.Open},
		"claim/data-centre-cut":                 {testbed.Open, testbed.Cut},
		"claim/data-centre-cut+platform-cut":    {testbed.Cut, testbed.Cut},
	} {
		t.Run(name, func(t *testing.T) {
			r := r.forSubtest(t)
			key := "cut-" + name[len("claim/"):]
			r.SetPlatformMode("dc1", mode.platform)
			r.SetPeerMode("dc1", "dc2", mode.peers)
			answers := r.submitConcurrently(key)
			if n := r.checkAtMostOnce(key, answers...); n != 1 {
				t.Errorf("executed %d times, want once through the data centre that reaches the log: %v", n, answers)
			}
			r.SetPlatformMode("dc1", testbed.Open)
			r.SetPeerMode("dc1", "dc2", testbed.Open)
			r.resubmitUntilResult(key, answers...)
			r.awaitPeers()
		})
	}
}

// Guards against an order that is executed again because its outcome is not on the log, or
// because its claim was abandoned when the caller disconnected. While an order is in
// progress, the log fails, is slow, loses replies or repeats records, connections are cut,
// or the caller disconnects. The key is submitted through another daemon before and after
// the faults end.
func TestOnceDuring(t *testing.T) {
	t.Parallel()
	r := startFleet(t, slowOrders)
	for name, fault := range map[string]func(leave func()){
		"call/caller-gone":         func(leave func()) { leave() },
		"call/log-down":            func(func()) { r.setLogFaults(onClaimStreams(logDown), 0) },
		"call/log-slow":            func(func()) { r.setLogFaults(onClaimStreams(logsvc.Faults{DelayMS: 1000}), 0) },
		"call/log-reply-lost":      func(func()) { r.setLogFaults(onClaimStreams(logsvc.Faults{LoseReply: true}), 2) },
		"call/log-record-repeated": func(func()) { r.setLogFaults(onClaimStreams(logsvc.Faults{Duplicate: true}), 0) },
		"call/platform-cut":        func(func()) { r.SetPlatformMode("dc1", testbed.Cut) },
		"call/data-centre-cut":     func(func()) { r.SetPeerMode("dc1", "dc2", testbed.Cut) },
		"call/log-down+caller-gone": func(leave func()) {
			r.setLogFaults(onClaimStreams(logDown), 0)
			leave()
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := r.forSubtest(t)
			key := "during-" + name[len("call/"):]
			ctx, cancel := context.WithCancel(r.ctx)
			defer cancel()
			first := make(chan reply, 1)
			go func() {
				first <- r.callWithContext(ctx, r.Daemons[0], http.MethodPost, pathOrders+"/"+key, key, "an order")
			}()
			r.awaitActiveCalls(1)
			fault(cancel)
			answers := []reply{r.submitOrder(r.Daemons[1], key), <-first}
			if answers[1].err == nil {
				r.confirmation(answers[1])
			}
			r.setLogFaults(logsvc.Faults{}, 0)
			r.SetPlatformMode("dc1", testbed.Open)
			r.SetPeerMode("dc1", "dc2", testbed.Open)
			r.resubmitUntilResult(key, answers...)
			r.awaitPeers()
		})
	}
}

// appendCount returns the number of appends that the log has accepted.
func (r *harness) appendCount() int {
	r.t.Helper()
	var s logsvc.Stats
	r.must(r.Log.Stats(r.ctx, &s))
	return s.Appends
}

// checkAppended returns nil once the log has accepted more than before appends.
func (r *harness) checkAppended(before int) error {
	if r.appendCount() <= before {
		return errors.New("no new append")
	}
	return nil
}
