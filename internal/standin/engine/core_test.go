package engine

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/internal/standin/answer"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

var (
	start  = time.Unix(1_000_000, 0)
	owner  = engineapi.Owner{Instance: "e1", Incarnation: 7}
	prompt = strings.Repeat("the north gate is closed after nine ", 40)
)

func newTestCore(change func(*Config)) *core {
	cfg := DefaultConfig()
	cfg.EventDrop = 0
	if change != nil {
		change(&cfg)
	}
	return newCore(start, &cfg, rand.New(rand.NewPCG(1, 2)), 9)
}

func workID(n int) engineapi.WorkID {
	return engineapi.WorkID{RequestID: fmt.Sprintf("r%d", n), Attempt: 1}
}

func reserveRequest(n int) engineapi.ReserveRequest {
	return engineapi.ReserveRequest{WorkID: workID(n), Owner: owner, Model: "m", KVBytes: 1000, HoldMS: 200}
}

func decodeRequest(n int) engineapi.DecodeRequest {
	return engineapi.DecodeRequest{WorkID: workID(n), Owner: owner, Model: "m", MaxTokens: 1000}
}

func prefillRequest(n, priority int) engineapi.PrefillRequest {
	return engineapi.PrefillRequest{WorkID: workID(n), Owner: owner, Model: "m", Prompt: fmt.Sprint(n, prompt), Priority: priority}
}

// startDecoding starts a decode and finishes the import of its KV cache.
func startDecoding(t *testing.T, c *core, now time.Time, req engineapi.DecodeRequest) *decode {
	t.Helper()
	d, ref := c.startDecode(now, req)
	if ref != nil {
		t.Fatalf("decode refused: %+v", ref)
	}
	c.finishImport(now, d, kvDescriptor{WorkID: d.WorkID, PromptHash: answer.HashPrompt(prompt), KVBytes: 2000})
	return d
}

// advanceUntil advances the core at each of its deadlines until end, and at end.
func advanceUntil(c *core, end time.Time) {
	for next := c.nextDeadline(); !next.After(end); next = c.nextDeadline() {
		c.advance(next)
	}
	c.advance(end)
}

func TestBatching(t *testing.T) {
	cases := []struct {
		active int
		step   time.Duration
	}{
		{1, 30750 * time.Microsecond},
		{10, 37500 * time.Microsecond},
		{20, 45 * time.Millisecond},
	}
	for _, tc := range cases {
		c := newTestCore(nil)
		var all []*decode
		for n := range tc.active {
			all = append(all, startDecoding(t, c, start, decodeRequest(n)))
		}
		// Only the first decode is in the first step; the others join the second.
		end := start.Add(30750 * time.Microsecond).Add(10 * tc.step)
		advanceUntil(c, end.Add(-1))
		before := len(all[0].tokens)
		advanceUntil(c, end)
		first, last := len(all[0].tokens), len(all[tc.active-1].tokens)
		if tc.active == 1 {
			last--
		}
		if before != 10 || first != 11 || last != 10 {
			t.Errorf("%d active, 10 steps of %v: first decode has %d tokens just before the end and %d at the end, last decode has %d; want 10, 11, 10",
				tc.active, tc.step, before, first, last)
		}
		if want := tc.active; c.stats.MaxActive != want {
			t.Errorf("largest batch %d, want %d", c.stats.MaxActive, want)
		}
	}
}

func TestRefusals(t *testing.T) {
	fill := func(c *core) {
		for n := range DefaultSlots {
			c.reserve(start, reserveRequest(100+n))
		}
	}
	cases := []struct {
		name    string
		config  func(*Config)
		prepare func(*core)
		status  int // 0: accepted
	}{
		{name: "free", status: 0},
		{name: "repeated", prepare: func(c *core) { c.reserve(start, reserveRequest(1)) }, status: 0},
		{name: "full", prepare: fill, status: http.StatusServiceUnavailable},
		{name: "memory", config: func(c *Config) { c.MemoryBytes = 999 }, status: http.StatusServiceUnavailable},
		{name: "leaving", prepare: func(c *core) { c.faults.Leaving = true }, status: http.StatusServiceUnavailable},
		{name: "role", config: func(c *Config) { c.Role = RolePrefill }, status: http.StatusConflict},
		{name: "model", config: func(c *Config) { c.Models = map[string]string{"other": "1"} }, status: http.StatusConflict},
		{name: "cancelled", prepare: func(c *core) { c.cancel(start, workID(1)) }, status: http.StatusConflict},
		{name: "decoding", prepare: func(c *core) { startDecoding(t, c, start, decodeRequest(1)) }, status: http.StatusConflict},
	}
	for _, tc := range cases {
		c := newTestCore(tc.config)
		if tc.prepare != nil {
			tc.prepare(c)
		}
		before := len(c.decodes)
		ref := c.reserve(start, reserveRequest(1))
		status := 0
		if ref != nil {
			status = ref.status
		}
		if status != tc.status {
			t.Errorf("%s: status %d, want %d", tc.name, status, tc.status)
		}
		if ref != nil && len(c.decodes) != before {
			t.Errorf("%s: refused, but KV memory is reserved", tc.name)
		}
	}
}

func TestReservationExpiry(t *testing.T) {
	for _, honour := range []bool{false, true} {
		c := newTestCore(func(cfg *Config) { cfg.HonourHold = honour })
		c.reserve(start, reserveRequest(1))
		advanceUntil(c, start.Add(time.Hour))
		held := c.held(start.Add(time.Hour)).Held
		want := []engineapi.Held{{WorkID: workID(1), Owner: owner, Kind: engineapi.HeldReservation, Bytes: 1000, AgeMS: 3_600_000}}
		if honour {
			want = []engineapi.Held{}
		}
		if diff := cmp.Diff(want, held); diff != "" {
			t.Errorf("HonourHold %t: held memory (-want +got):\n%s", honour, diff)
		}
	}
}

// Guards against KV memory that stays in use for a cancelled request. This
// happens if the cancel arrives before the attempt's own call, and the engine
// does not record a cancel of work that it does not have yet.
func TestCancelBeforeArrival(t *testing.T) {
	for _, attempt := range []int{1, allAttempts} {
		for _, role := range []string{RolePrefill, RoleDecode} {
			c := newTestCore(func(cfg *Config) { cfg.Role = role })
			reply := c.cancel(start, engineapi.WorkID{RequestID: "r1", Attempt: attempt})
			if want := (engineapi.CancelReply{Incarnation: c.incarnation}); reply != want {
				t.Errorf("cancel of unknown work: %+v, want %+v", reply, want)
			}
			reserve := c.reserve(start, reserveRequest(1))
			_, prefill := c.addPrefill(start, prefillRequest(1, 0))
			_, decode := c.startDecode(start, decodeRequest(1))
			if reserve == nil || prefill == nil || decode == nil || c.usedBytes() != 0 {
				t.Errorf("attempt %d, %s: a late call of a cancelled attempt was accepted", attempt, role)
			}
		}
	}
}

func TestCancelFreesMemoryInEveryState(t *testing.T) {
	c := newTestCore(nil)
	c.reserve(start, reserveRequest(1))
	if _, ref := c.startDecode(start, decodeRequest(2)); ref != nil {
		t.Fatal(ref)
	}
	finished := startDecoding(t, c, start, engineapi.DecodeRequest{WorkID: workID(3), Owner: owner, Model: "m", MaxTokens: 1})
	paused := startDecoding(t, c, start, decodeRequest(4))
	c.pause(workID(4))
	advanceUntil(c, start.Add(100*time.Millisecond))
	p := newTestCore(func(cfg *Config) { cfg.Role = RolePrefill })
	for n := range 3 {
		p.addPrefill(start, prefillRequest(n, 0))
	}
	advanceUntil(p, p.runningPrefill.finishAt) // r0 is ready, r1 is running, r2 is queued
	if finished.state != decodeFinished || paused.state != decodePaused || len(c.held(start).Held) != 4 || len(p.held(start).Held) != 3 {
		t.Fatal("the engines do not hold memory in every state")
	}
	for n := range 5 {
		c.cancel(start, workID(n))
		p.cancel(start, workID(n))
	}
	if c.usedBytes() != 0 || len(c.decodes) != 0 || p.usedBytes() != 0 || len(p.prefillQueue) != 0 || p.runningPrefill != nil {
		t.Error("memory is still held after every request was cancelled")
	}
}

func TestPauseFreesTheSlotAndKeepsTheMemory(t *testing.T) {
	c := newTestCore(func(cfg *Config) { cfg.Slots = 1 })
	draft := startDecoding(t, c, start, decodeRequest(1))
	now := start.Add(time.Second)
	advanceUntil(c, now)
	at := len(draft.tokens)
	if at == 0 || c.reserve(now, reserveRequest(2)) == nil {
		t.Fatal("the draft does not use the only slot")
	}
	c.pause(workID(1))
	if ref := c.reserve(now, reserveRequest(2)); ref != nil {
		t.Fatalf("reservation refused after the pause: %+v", ref)
	}
	c.resume(now, workID(1))
	advanceUntil(c, now.Add(time.Second))
	if len(draft.tokens) != at || draft.state != decodeWaiting || c.usedBytes() != 3000 {
		t.Errorf("resumed without a free slot: %d tokens, %d before", len(draft.tokens), at)
	}
	c.cancel(now, workID(2))
	advanceUntil(c, now.Add(2*time.Second))
	if len(draft.tokens) <= at {
		t.Error("the draft did not continue when a slot was free")
	}
}

func TestLoadReportLag(t *testing.T) {
	c := newTestCore(nil)
	c.reserve(start, reserveRequest(1))
	c.advance(start.Add(DefaultLoadLag - 1))
	if got := c.loadSnapshot.Active; got != 0 || c.load(start).Active != 1 {
		t.Errorf("polled load has %d active before the lag, current load has %d; want 0 and 1", got, c.load(start).Active)
	}
	c.advance(start.Add(DefaultLoadLag))
	if c.loadSnapshot.Active != 1 {
		t.Error("polled load was not updated after the lag")
	}
	c.faults.FreezeLoad = true
	c.cancel(start, workID(1))
	c.advance(start.Add(time.Hour))
	if c.loadSnapshot.Active != 1 {
		t.Error("polled load changed while frozen")
	}
}

// Guards against a burst of tokens after the process was suspended. It happens if
// the engine runs all decode steps that were due meanwhile, here for one hour.
func TestMissedStepsAreSkippedAfterSuspension(t *testing.T) {
	c := newTestCore(nil)
	d := startDecoding(t, c, start, decodeRequest(1))
	c.advance(start.Add(time.Hour))
	if n := len(d.tokens); n != 1 {
		t.Errorf("%d tokens after the suspension, want 1", n)
	}
}

func TestFinishedStreamLingers(t *testing.T) {
	c := newTestCore(nil)
	req := decodeRequest(1)
	req.MaxTokens = 1
	d := startDecoding(t, c, start, req)
	advanceUntil(c, start.Add(c.cfg.step(1)))
	ended := d.finishedAt
	advanceUntil(c, ended.Add(DefaultLinger-1))
	if len(c.decodes) != 1 || c.slotsUsed() != 0 || c.usedBytes() == 0 {
		t.Error("a finished stream must keep its KV memory and free its slot")
	}
	advanceUntil(c, ended.Add(DefaultLinger))
	if len(c.decodes) != 0 {
		t.Error("a finished stream was not freed after the linger time")
	}
}

func TestSlowStep(t *testing.T) {
	c := newTestCore(nil)
	c.faults.SlowStep = 10
	d := startDecoding(t, c, start, decodeRequest(1))
	advanceUntil(c, start.Add(307500*time.Microsecond))
	if n, step := len(d.tokens), c.load(start).StepMS; n != 1 || step != 307.5 {
		t.Errorf("%d tokens in steps of %v ms, want 1 and 307.5", n, step)
	}
}

func TestImportNeedsMemory(t *testing.T) {
	for reserved, want := range map[int64]string{0: "import: memory is full", 2000: ""} {
		c := newTestCore(func(cfg *Config) { cfg.MemoryBytes = 2500 })
		req := reserveRequest(1)
		req.KVBytes = reserved
		c.reserve(start, req)
		req = reserveRequest(2)
		req.KVBytes = 600 // does not fit beside a reservation of 2000 bytes
		c.reserve(start, req)
		if d := startDecoding(t, c, start, decodeRequest(1)); d.failure != want {
			t.Errorf("%d bytes reserved: failure %q, want %q", reserved, d.failure, want)
		}
	}
}
