package claims

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
)

// shortDecisionTimeout makes claims fail after 100 ms without a decision.
func shortDecisionTimeout(o *Options) { o.DecisionTimeout = 100 * time.Millisecond }

// TestLogDown checks that a request refused while the log is unavailable is told
// "unknown", never "not run". The claim may be on the log, or the balancer may have
// sent the request to another daemon before. Bound tokens work without the log, and
// the same key works again after the outage.
func TestLogDown(t *testing.T) {
	service, l := startLog(t, nil)
	g := testGate(t, "a", l, shortDecisionTimeout)
	service.SetFaults(logsvc.Faults{Cut: true}, 0)
	_, err := g.Claim(t.Context(), claimKey("k", 1))
	if got := claimResult(nil, err); got != "claim-unavailable unknown" || errkind.Answer(err).RetryAfter <= 0 {
		t.Errorf("log down: %s, retry after %s", got, errkind.Answer(err).RetryAfter)
	}
	checkClaim(t, "run", g, claimKey(g.Issuer().Issue("team"), 1))
	service.SetFaults(logsvc.Faults{}, 0)
	g.shards[0].opts.DecisionTimeout = time.Minute
	checkClaim(t, "run", g, claimKey("k", 1))
}

// TestClaimThatShowsUpLateIsReleased checks that a key does not stay in progress
// when nobody runs its request. An append takes effect, but its reply is lost and
// the log cannot be read, so the caller is refused before the claim becomes the
// key's holder. The daemon must then release the key. A repeat at a daemon that has
// read the release is allowed to run; the refused attempt never is.
func TestClaimThatShowsUpLateIsReleased(t *testing.T) {
	service, l := startLog(t, nil)
	service.SetFaults(logsvc.Faults{LoseReply: true, CutReads: true}, 0)
	a := testGate(t, "a", l, shortDecisionTimeout)
	b := testGate(t, "b", l, nil)
	checkClaim(t, "claim-unavailable unknown", a, claimKey("k", 1))
	service.SetFaults(logsvc.Faults{}, 0)
	awaitStatus(t, b, claimKey("k", 1), Released)
	checkClaim(t, "run", b, claimKey("k", 1))
}

// TestUnfollowedShardAsksItsHome checks that a daemon which does not follow a shard
// does not run a request whose key is held. It appends its claim, with the reply
// lost, and asks a home of the shard. The home may answer only after it has read the
// record with the claim.
func TestUnfollowedShardAsksItsHome(t *testing.T) {
	service, l := startLog(t, nil)
	home := testGate(t, "home", l, nil)
	var asked atomic.Int32
	notFollowing := func(o *Options) {
		o.Follow = func(int) bool { return false }
		o.LookupAtHome = func(ctx context.Context, _ int, get wire.ClaimGet) (wire.ClaimState, error) {
			if asked.Add(1) == 1 {
				return wire.ClaimState{}, errors.New("connection cut")
			}
			time.AfterFunc(homeRetryDelay, func() { service.SetFaults(logsvc.Faults{}, 0) })
			return home.ServeLookup(ctx, get)
		}
	}
	a, b := testGate(t, "a", l, notFollowing), testGate(t, "b", l, notFollowing)
	service.SetFaults(logsvc.Faults{LoseReply: true}, 1)
	g, err := a.Claim(t.Context(), claimKey("k", 1))
	if got := claimResult(g, err); got != "run" {
		t.Fatalf("first claim: %s", got)
	}
	checkClaim(t, "key-in-progress unknown", b, claimKey("k", 1))
	checkClaim(t, "key-reused not-run", b, claimKey("k", 2))
	service.SetFaults(logsvc.Faults{CutReads: true}, 0) // until b has asked
	checkClaim(t, "run", b, claimKey("not read yet", 1))
	g.Finish(request.Outcome{Run: errkind.Ran, Answer: &request.CallAnswer{Status: 200, Body: []byte("ok")}})
	awaitStatus(t, home, claimKey("k", 1), Ran)
	checkClaim(t, "answer ok", b, claimKey("k", 1))
	if _, err := a.ServeLookup(t.Context(), wire.ClaimGet{Stream: a.shards[0].stream, Key: make([]byte, 3)}); err == nil {
		t.Error("a malformed lookup was answered")
	}
	key := NewKey("team", "k")
	if _, err := a.ServeLookup(t.Context(), wire.ClaimGet{Stream: Stream(key.Shard(4)), Key: key[:]}); !errors.Is(err, errNotHome) {
		t.Errorf("a daemon that does not follow the shard answered: %v", err)
	}
}

// TestHomeAppendsForOthers checks that claims appended by a home are granted once
// and keep the stream readable. Two daemons send claims for the same key to a home
// whose append loses its reply, and invalid records are sent to it. The home only
// appends records; the claims' IDs and the order of the log decide.
func TestHomeAppendsForOthers(t *testing.T) {
	service, l := startLog(t, nil)
	home := testGate(t, "home", l, nil)
	notFollowing := func(o *Options) {
		o.Follow = func(int) bool { return false }
		o.LookupAtHome = func(ctx context.Context, _ int, get wire.ClaimGet) (wire.ClaimState, error) {
			return home.ServeLookup(ctx, get)
		}
		o.AppendAtHome = func(ctx context.Context, _ int, put wire.ClaimAppend) (wire.ClaimAppended, error) {
			return home.ServeAppend(ctx, put)
		}
		o.Log = struct{ Log }{} // panics when used
	}
	gates := []*Gate{testGate(t, "a", l, notFollowing), testGate(t, "b", l, notFollowing), home}
	service.SetFaults(logsvc.Faults{LoseReply: true}, 2)
	var runs atomic.Int32
	var wg conc.WaitGroup
	for _, g := range gates {
		wg.Go(func() {
			if gr, err := g.Claim(t.Context(), claimKey("k", 1)); err == nil && gr.Run() {
				runs.Add(1)
				gr.Finish(request.Outcome{Run: errkind.Ran, Answer: &request.CallAnswer{Body: []byte("ok")}})
			}
		})
	}
	wg.Wait()
	if n := runs.Load(); n != 1 {
		t.Errorf("granted %d times", n)
	}
	awaitStatus(t, home, claimKey("k", 1), Ran)
	checkClaim(t, "answer ok", gates[0], claimKey("k", 1))
	good, _ := benchBatch(1).Encode()
	for _, put := range []wire.ClaimAppend{
		{Stream: Stream(0), Record: []byte("garbled")},
		{Stream: "claims-99", Record: good},
		{Stream: Stream((benchKey(0).Shard(4) + 1) % 4), Record: good},
		{Stream: Stream(0), Record: make([]byte, maxForwardedBytes+1)},
	} {
		if _, err := home.ServeAppend(t.Context(), put); err == nil {
			t.Errorf("a record of %d bytes for %s was taken", len(put.Record), put.Stream)
		}
	}
}

// TestResultsAreAppendedAtShutdown checks that a repeat after a graceful restart
// gets the first caller's answer instead of "unknown". A result that waits to share
// a record with a claim must be appended at shutdown.
func TestResultsAreAppendedAtShutdown(t *testing.T) {
	_, l := startLog(t, nil)
	t.Run("stopped", func(t *testing.T) {
		a := testGate(t, "a", l, nil)
		g, _ := a.Claim(t.Context(), claimKey("k", 1))
		g.Finish(request.Outcome{Run: errkind.Ran, Answer: &request.CallAnswer{Body: []byte("ok")}})
	})
	b := testGate(t, "b", l, nil)
	checkClaim(t, "answer ok", b, claimKey("k", 1))
}

// TestLogTrimmedTooEarly checks that a key does not run twice if the log trims
// records younger than a key's lifetime. A daemon that starts after the trim does
// not find the first claim, so it must grant no key until a lifetime has passed.
func TestLogTrimmedTooEarly(t *testing.T) {
	var clockOffset atomic.Int64
	service, l := startLog(t, func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) })
	oneShard := func(o *Options) { o.Shards = 1 }
	a := testGate(t, "a", l, oneShard)
	checkClaim(t, "run", a, claimKey("k", 1))
	service.Trim(Stream(0), 0)
	b := testGate(t, "b", l, oneShard)
	checkClaim(t, "claim-unavailable unknown", b, claimKey("k", 1))
	checkClaim(t, "claim-unavailable unknown", b, claimKey("fresh", 1))
	awaitStatus(t, a, claimKey("fresh", 1), Released) // a has read the whole stream: b's claim was the holder, and b released the key
	clockOffset.Store(int64(2 * time.Hour))
	checkClaim(t, "run", b, claimKey("another", 1)) // b reads the log's current time from this record
	checkClaim(t, "run", b, claimKey("k", 1))
}

// Guards against a key that runs twice, since the log was restored from a copy without the claim of the
// first run and ends where it ended before.
func TestRestoredLogGrantsNothing(t *testing.T) {
	service, l := startLog(t, time.Now)
	oneShard := func(o *Options) { o.Shards = 1 }
	a := testGate(t, "a", l, oneShard)
	checkClaim(t, "run", a, claimKey("known", 1))
	end := service.Stats().PerStream[0].Next
	checkClaim(t, "run", a, claimKey("lost", 1))
	service.Restore(map[string]uint64{Stream(0): end})
	empty, err := (&Batch{}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := l.Append(t.Context(), Stream(0), slices.Repeat([][]byte{empty}, 9)...); err != nil {
		t.Fatal(err)
	}
	checkClaim(t, "claim-unavailable unknown", a, claimKey("lost by another daemon", 1))
}

// testMachine returns a Machine that follows its stream, and the time at which it was
// created.
func testMachine(maxWaiting int) (*Machine, time.Time) {
	cfg := (&Options{GrantTTL: time.Minute, Lifetime: time.Hour, MaxWaiting: maxWaiting, MaxKeys: 99}).machineConfig()
	now := time.Unix(1000, 0)
	m := newMachine(cfg, wire.NodeID{Instance: "a", Incarnation: 1}, func(wire.NodeID) bool { return false }, now)
	m.Follow(true)
	return m, now
}

// record returns the log's reply to a read that contains one batch, at the given
// offset.
func record(t *testing.T, offset uint64, b *Batch, at time.Time) infraapi.ReadReply {
	data, err := b.Encode()
	if err != nil {
		t.Fatal(err)
	}
	r := infraapi.Record{Offset: offset, Data: data, TimeMS: at.UnixMilli()}
	return infraapi.ReadReply{Records: []infraapi.Record{r}, Next: offset + 1}
}

// TestThawedClaimIsNotGranted checks that a daemon which was frozen between the
// append and the read of its claim does not run the request: the key may have
// expired in the meantime. The wall clock decides whether the grant is still valid.
func TestThawedClaimIsNotGranted(t *testing.T) {
	m, now := testMachine(1)
	seq, _, _ := m.Claim(now, Key{1}, BodyDigest{1}, "")
	if _, d, decided := m.Claim(now, Key{2}, BodyDigest{1}, ""); !decided || d.Err.Kind != errkind.Overloaded {
		t.Errorf("a claim over MaxWaiting: %+v", d)
	}
	reply := record(t, 0, m.NextBatch(now), now)
	m.AppendSucceeded()
	got := m.ApplyRead(now.Add(2*time.Minute), reply)
	if len(got) != 1 || got[0].Seq != seq || got[0].Decision.Run {
		t.Fatalf("decided %+v", got)
	}
	if b := m.NextBatch(now.Add(3 * time.Minute)); b == nil || len(b.Results) != 1 || b.Results[0].Status != Released {
		t.Errorf("the key was not released: %+v", b)
	}
}

// TestOutageRefusesAtOnce checks that during an outage of the log callers are
// refused at once instead of after DecisionTimeout. One waiting claim is enough to
// detect that the log works again.
func TestOutageRefusesAtOnce(t *testing.T) {
	tests := []struct {
		name string
		fail func(m *Machine, now time.Time)
		mend func(m *Machine, now time.Time) // ends the outage that fail began
	}{
		{"appends", func(m *Machine, now time.Time) { m.NextBatch(now); m.AppendFailed(now) },
			func(m *Machine, now time.Time) { m.NextBatch(now); m.AppendSucceeded() }},
		{"reads", (*Machine).ReadFailed,
			func(m *Machine, now time.Time) { m.ApplyRead(now, infraapi.ReadReply{}) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m, now := testMachine(9)
			var waits []bool
			for i, step := range []func(*Machine, time.Time){nil, tt.fail, nil, tt.mend} {
				if step != nil {
					step(m, now)
				}
				_, _, decided := m.Claim(now, Key{byte(i)}, BodyDigest{}, "")
				waits = append(waits, !decided)
				now = now.Add(outageAfter)
			}
			if diff := cmp.Diff([]bool{true, true, false, true}, waits); diff != "" {
				t.Errorf("claims that wait (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLogLosesItsEnd checks that a key does not run twice after the log came back
// without its newest records. A claim is read and granted, and the log then ends
// before it. Which records were lost is not known, so no key may be granted until a
// lifetime has passed.
func TestLogLosesItsEnd(t *testing.T) {
	m, now := testMachine(9)
	claim := func(key byte, offset uint64) (granted bool) {
		m.Claim(now, Key{key}, BodyDigest{}, "")
		now = now.Add(time.Second)
		b := m.NextBatch(now)
		m.AppendSucceeded()
		if len(b.Claims) != 1 || b.Claims[0].SeenOffset != offset {
			t.Fatalf("at offset %d appended %+v", offset, b)
		}
		got := m.ApplyRead(now, record(t, offset, b, now))
		return len(got) == 1 && got[0].Decision.Run
	}
	granted := []bool{claim(1, 0), claim(2, 1)}
	m.ApplyRead(now, infraapi.ReadReply{})
	granted = append(granted, claim(3, 0))
	now = now.Add(2 * time.Hour)
	granted = append(granted, claim(4, 1))
	if diff := cmp.Diff([]bool{true, true, false, true}, granted); diff != "" {
		t.Errorf("grants (-want +got):\n%s", diff)
	}
}

// TestForgottenClaimIsNotReleased checks that a request that ran is not released,
// claimed again and run twice. The result of the run is dropped because too many
// wait, the claim is removed from the claim table, and its record is logged a
// second time. A claim that is not in the table may have run, so it must not be
// released.
func TestForgottenClaimIsNotReleased(t *testing.T) {
	m, now := testMachine(9)
	m.cfg.MaxResults = 0 // drops the result of the run
	seq, _, _ := m.Claim(now, Key{1}, BodyDigest{1}, "")
	b, appended := m.NextBatch(now), now
	m.AppendSucceeded()
	m.ApplyRead(now, record(t, 0, b, appended))
	m.Finish(now, seq, request.Outcome{Run: errkind.Ran})
	now = now.Add(2 * time.Hour)
	m.Claim(now, Key{2}, BodyDigest{1}, "")
	m.cfg.MaxResults = 9
	m.ApplyRead(now, record(t, 1, b, appended))
	if b := m.NextBatch(now); len(b.Results) != 0 {
		t.Errorf("released: %+v", b.Results)
	}
}

// TestQuietStreamIsMarked checks that a restarted daemon does not refuse every key
// for a lifetime because the log trimmed all records of an unused stream. A reader
// needs a record older than a lifetime to be certain that it misses no claim, so
// the daemons that follow a quiet stream must append markers.
func TestQuietStreamIsMarked(t *testing.T) {
	for _, follows := range []bool{true, false} {
		m, now := testMachine(9)
		m.Follow(follows)
		var marked []bool
		for _, after := range []time.Duration{14 * time.Minute, 15 * time.Minute, 16 * time.Minute, 30 * time.Minute} {
			b := m.NextBatch(now.Add(after))
			marked = append(marked, b != nil)
			m.AppendSucceeded()
		}
		if diff := cmp.Diff([]bool{false, follows, false, follows}, marked); diff != "" {
			t.Errorf("follows %v: markers (-want +got):\n%s", follows, diff)
		}
	}
}
