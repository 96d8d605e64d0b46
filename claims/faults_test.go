package claims

import (
	"context"
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

func quick(o *Options) { o.DecideWithin = 100 * time.Millisecond }

// Symptom: a request is refused as "not run" while the log is down, and runs.
// Sequence: the log is down or slow, the claim may or may not be on it, the
// caller is refused; or the balancer had sent the request elsewhere before.
// Cause: nobody can know the key's state, so that only "unknown" is true. Bound
// tokens need no log, and after the outage the same key works.
func TestLogDown(t *testing.T) {
	service, l := startLog(t, nil)
	g := testGate(t, "a", l, quick)
	service.SetFaults(logsvc.Faults{Cut: true}, 0)
	_, err := g.Claim(t.Context(), claimKey("k", 1))
	if got := verdict(nil, err); got != "claim-unavailable unknown" || errkind.Answer(err).RetryAfter <= 0 {
		t.Errorf("log down: %s, retry after %s", got, errkind.Answer(err).RetryAfter)
	}
	check(t, "run", g, claimKey(g.Minter().Mint("team"), 1))
	service.SetFaults(logsvc.Faults{}, 0)
	g.shards[0].opts.DecideWithin = time.Minute
	check(t, "run", g, claimKey("k", 1))
}

// Symptom: a key stays in progress for good although nobody runs it.
// Sequence: the append takes effect, its reply is lost, the log cannot be read,
// and the caller is refused; later the claim shows up as the key's holder.
// Cause: the holder must release what it will never run. A repeat that arrives
// after the release was read runs; the refused attempt never does.
func TestClaimThatShowsUpLateIsReleased(t *testing.T) {
	service, l := startLog(t, nil)
	service.SetFaults(logsvc.Faults{LoseReply: true, CutReads: true}, 0)
	a := testGate(t, "a", l, quick)
	b := testGate(t, "b", l, nil)
	check(t, "claim-unavailable unknown", a, claimKey("k", 1))
	service.SetFaults(logsvc.Faults{}, 0)
	awaitStatus(t, b, claimKey("k", 1), Released)
	check(t, "run", b, claimKey("k", 1))
}

// Symptom: a daemon that does not follow a shard runs a key that is held.
// Sequence: it appends its claim, with the reply lost, and asks the shard's home.
// Cause: the home must have read through the claim before it answers.
func TestUnfollowedShardAsksItsHome(t *testing.T) {
	service, l := startLog(t, nil)
	home := testGate(t, "home", l, nil)
	var asked atomic.Int32
	far := func(o *Options) {
		o.Follow = func(int) bool { return false }
		o.Ask = func(ctx context.Context, _ int, get wire.ClaimGet) (wire.ClaimState, error) {
			if asked.Add(1) == 1 {
				return wire.ClaimState{}, errors.New("connection cut")
			}
			time.AfterFunc(askPause, func() { service.SetFaults(logsvc.Faults{}, 0) })
			return home.ServeGet(ctx, get)
		}
	}
	a, b := testGate(t, "a", l, far), testGate(t, "b", l, far)
	service.SetFaults(logsvc.Faults{LoseReply: true}, 1)
	g, err := a.Claim(t.Context(), claimKey("k", 1))
	if got := verdict(g, err); got != "run" {
		t.Fatalf("first claim: %s", got)
	}
	check(t, "key-in-progress unknown", b, claimKey("k", 1))
	check(t, "key-reused not-run", b, claimKey("k", 2))
	service.SetFaults(logsvc.Faults{CutReads: true}, 0) // until b has asked
	check(t, "run", b, claimKey("not read yet", 1))
	g.Finish(request.Outcome{Run: errkind.Ran, Answer: &request.CallAnswer{Status: 200, Body: []byte("ok")}})
	awaitStatus(t, home, claimKey("k", 1), Ran)
	check(t, "answer ok", b, claimKey("k", 1))
	if _, err := a.ServeGet(t.Context(), wire.ClaimGet{Stream: a.shards[0].stream, Key: make([]byte, 3)}); err == nil {
		t.Error("a malformed question was answered")
	}
	key := NewKey("team", "k")
	if _, err := a.ServeGet(t.Context(), wire.ClaimGet{Stream: Stream(key.Shard(4)), Key: key[:]}); !errors.Is(err, errNotHome) {
		t.Errorf("a daemon that does not follow the shard answered: %v", err)
	}
}

// Symptom: claims relayed by one home are granted twice, or make the stream unreadable.
// Sequence: two daemons hand the same key to a home, whose append loses its
// reply; another hands over bytes that are no claims.
// Cause: the home only carries records; ids and the log's order must decide.
func TestHomeAppendsForOthers(t *testing.T) {
	service, l := startLog(t, nil)
	home := testGate(t, "home", l, nil)
	far := func(o *Options) {
		o.Follow = func(int) bool { return false }
		o.Ask = func(ctx context.Context, _ int, get wire.ClaimGet) (wire.ClaimState, error) {
			return home.ServeGet(ctx, get)
		}
		o.Relay = func(ctx context.Context, _ int, put wire.ClaimAppend) (wire.ClaimAppended, error) {
			return home.ServeAppend(ctx, put)
		}
		o.Log = struct{ Log }{} // panics when used
	}
	gates := []*Gate{testGate(t, "a", l, far), testGate(t, "b", l, far), home}
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
	check(t, "answer ok", gates[0], claimKey("k", 1))
	good, _ := benchBatch(1).Encode()
	for _, put := range []wire.ClaimAppend{
		{Stream: Stream(0), Record: []byte("garbled")},
		{Stream: "claims-99", Record: good},
		{Stream: Stream((benchKey(0).Shard(4) + 1) % 4), Record: good},
		{Stream: Stream(0), Record: make([]byte, maxRelayBytes+1)},
	} {
		if _, err := home.ServeAppend(t.Context(), put); err == nil {
			t.Errorf("a record of %d bytes for %s was taken", len(put.Record), put.Stream)
		}
	}
}

// Symptom: a repeat is told "unknown" after a graceful restart, though the
// first caller had its answer.
// Sequence: a result lingers to be appended with a claim; the daemon stops.
// Cause: what waits must be appended at shutdown.
func TestResultsAreAppendedAtShutdown(t *testing.T) {
	_, l := startLog(t, nil)
	t.Run("stopped", func(t *testing.T) {
		a := testGate(t, "a", l, nil)
		g, _ := a.Claim(t.Context(), claimKey("k", 1))
		g.Finish(request.Outcome{Run: errkind.Ran, Answer: &request.CallAnswer{Body: []byte("ok")}})
	})
	b := testGate(t, "b", l, nil)
	check(t, "answer ok", b, claimKey("k", 1))
}

// Symptom: a key runs twice after the log dropped records early.
// Sequence: the log trims records that are younger than a key's lifetime; a
// daemon starts and finds no trace of the first claim.
// Cause: a fresh reader cannot be sure of any key until a lifetime has passed.
func TestLogTrimmedTooEarly(t *testing.T) {
	var ahead atomic.Int64
	service, l := startLog(t, func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) })
	one := func(o *Options) { o.Shards = 1 }
	a := testGate(t, "a", l, one)
	check(t, "run", a, claimKey("k", 1))
	service.Trim(Stream(0), 0)
	b := testGate(t, "b", l, one)
	check(t, "claim-unavailable unknown", b, claimKey("k", 1))
	check(t, "claim-unavailable unknown", b, claimKey("fresh", 1))
	awaitStatus(t, a, claimKey("fresh", 1), Released) // a is sure, and b held it
	ahead.Store(int64(2 * time.Hour))
	check(t, "run", b, claimKey("another", 1)) // its record tells b the log's time
	check(t, "run", b, claimKey("k", 1))
}

// testMachine returns a machine that follows its stream, and the time.
func testMachine(maxWaiting int) (*Machine, time.Time) {
	cfg := (&Options{GrantTTL: time.Minute, Lifetime: time.Hour, MaxWaiting: maxWaiting, MaxKeys: 99}).machine()
	now := time.Unix(1000, 0)
	m := newMachine(cfg, wire.NodeID{Instance: "a", Incarnation: 1}, func(wire.NodeID) bool { return false }, now)
	m.Follow(true)
	return m, now
}

// record is the log's reply that ends with a batch at an offset.
func record(t *testing.T, offset uint64, b *Batch, at time.Time) infraapi.ReadReply {
	data, err := b.Encode()
	if err != nil {
		t.Fatal(err)
	}
	r := infraapi.Record{Offset: offset, Data: data, TimeMS: at.UnixMilli()}
	return infraapi.ReadReply{Records: []infraapi.Record{r}, Next: offset + 1}
}

// Symptom: a daemon dispatches under a claim whose key was forgotten meanwhile.
// Sequence: it is frozen between its append and its reading of the claim.
// Cause: the wall clock, not the number of steps, decides whether a grant still holds.
func TestThawedClaimIsNotGranted(t *testing.T) {
	m, now := testMachine(1)
	seq, _, _ := m.Claim(now, Key{1}, Body{1}, "")
	if _, d, decided := m.Claim(now, Key{2}, Body{1}, ""); !decided || d.Err.Kind != errkind.Overloaded {
		t.Errorf("a claim over MaxWaiting: %+v", d)
	}
	reply := record(t, 0, m.Batch(now), now)
	m.Appended()
	got := m.Read(now.Add(2*time.Minute), reply)
	if len(got) != 1 || got[0].Seq != seq || got[0].Decision.Run {
		t.Fatalf("decided %+v", got)
	}
	if b := m.Batch(now.Add(3 * time.Minute)); b == nil || len(b.Results) != 1 || b.Results[0].Status != Released {
		t.Errorf("the key was not released: %+v", b)
	}
}

// Symptom: with the log down every caller waits for seconds to be refused.
// Sequence: appends, or reads, have failed for a while.
// Cause: one claim is enough to find out when the log works again.
func TestOutageRefusesAtOnce(t *testing.T) {
	tests := []struct {
		name string
		fail func(m *Machine, now time.Time)
		mend func(m *Machine, now time.Time)
	}{
		{"appends", func(m *Machine, now time.Time) { m.Batch(now); m.AppendFailed(now) },
			func(m *Machine, now time.Time) { m.Batch(now); m.Appended() }},
		{"reads", (*Machine).ReadFailed,
			func(m *Machine, now time.Time) { m.Read(now, infraapi.ReadReply{}) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m, now := testMachine(9)
			var waits []bool
			for i, step := range []func(*Machine, time.Time){nil, tt.fail, nil, tt.mend} {
				if step != nil {
					step(m, now)
				}
				_, _, decided := m.Claim(now, Key{byte(i)}, Body{}, "")
				waits = append(waits, !decided)
				now = now.Add(outageAfter)
			}
			if diff := cmp.Diff([]bool{true, true, false, true}, waits); diff != "" {
				t.Errorf("claims that wait (-want +got):\n%s", diff)
			}
		})
	}
}

// Symptom: a key runs twice after the log came back without its newest records.
// Sequence: a claim is read and granted; the log then ends before it.
// Cause: nothing that was read is certain any more, nor is what went missing,
// until a lifetime has passed.
func TestLogLosesItsEnd(t *testing.T) {
	m, now := testMachine(9)
	claim := func(key byte, offset uint64) (granted bool) {
		m.Claim(now, Key{key}, Body{}, "")
		now = now.Add(time.Second)
		b := m.Batch(now)
		m.Appended()
		if len(b.Claims) != 1 || b.Claims[0].Seen != offset {
			t.Fatalf("at offset %d appended %+v", offset, b)
		}
		got := m.Read(now, record(t, offset, b, now))
		return len(got) == 1 && got[0].Decision.Run
	}
	granted := []bool{claim(1, 0), claim(2, 1)}
	m.Read(now, infraapi.ReadReply{})
	granted = append(granted, claim(3, 0))
	now = now.Add(2 * time.Hour)
	granted = append(granted, claim(4, 1))
	if diff := cmp.Diff([]bool{true, true, false, true}, granted); diff != "" {
		t.Errorf("grants (-want +got):\n%s", diff)
	}
}

// Symptom: a request that ran is released, claimed again, and runs twice.
// Sequence: the result of a run is dropped because too many wait, the ledger
// forgets the claim, and its record turns up on the log once more.
// Cause: a claim that is not in the ledger may have run; it is never released.
func TestForgottenClaimIsNotReleased(t *testing.T) {
	m, now := testMachine(9)
	m.cfg.MaxResults = 0 // until the record turns up again
	seq, _, _ := m.Claim(now, Key{1}, Body{1}, "")
	b, appended := m.Batch(now), now
	m.Appended()
	m.Read(now, record(t, 0, b, appended))
	m.Finish(now, seq, request.Outcome{Run: errkind.Ran})
	now = now.Add(2 * time.Hour)
	m.Claim(now, Key{2}, Body{1}, "")
	m.cfg.MaxResults = 9
	m.Read(now, record(t, 1, b, appended))
	if b := m.Batch(now); len(b.Results) != 0 {
		t.Errorf("released: %+v", b.Results)
	}
}

// Symptom: after a quiet time a restarted daemon refuses every key for a lifetime.
// Sequence: the log trims all records of a stream that nobody has used.
// Cause: a reader needs a record older than a lifetime to know that it misses
// nothing; its readers must keep a quiet stream supplied with records.
func TestQuietStreamIsMarked(t *testing.T) {
	for _, follows := range []bool{true, false} {
		m, now := testMachine(9)
		m.Follow(follows)
		var marked []bool
		for _, after := range []time.Duration{14 * time.Minute, 15 * time.Minute, 16 * time.Minute, 30 * time.Minute} {
			b := m.Batch(now.Add(after))
			marked = append(marked, b != nil)
			m.Appended()
		}
		if diff := cmp.Diff([]bool{false, follows, false, follows}, marked); diff != "" {
			t.Errorf("follows %v: markers (-want +got):\n%s", follows, diff)
		}
	}
}
