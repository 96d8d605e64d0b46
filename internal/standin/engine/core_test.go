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

func testCore(change func(*Config)) *core {
	cfg := DefaultConfig()
	cfg.EventDrop = 0
	if change != nil {
		change(&cfg)
	}
	return newCore(start, &cfg, rand.New(rand.NewPCG(1, 2)), 9)
}

func id(n int) engineapi.WorkID {
	return engineapi.WorkID{RequestID: fmt.Sprintf("r%d", n), Attempt: 1}
}

func reserveOf(n int) engineapi.ReserveRequest {
	return engineapi.ReserveRequest{WorkID: id(n), Owner: owner, Model: "m", KVBytes: 1000, HoldMS: 200}
}

func decodeOf(n int) engineapi.DecodeRequest {
	return engineapi.DecodeRequest{WorkID: id(n), Owner: owner, Model: "m", MaxTokens: 1000}
}

func prefillOf(n, priority int) engineapi.PrefillRequest {
	return engineapi.PrefillRequest{WorkID: id(n), Owner: owner, Model: "m", Prompt: fmt.Sprint(n, prompt), Priority: priority}
}

// run starts a decode whose KV cache has arrived.
func run(t *testing.T, c *core, now time.Time, req engineapi.DecodeRequest) *decode {
	t.Helper()
	d, ref := c.startDecode(now, req)
	if ref != nil {
		t.Fatalf("decode refused: %+v", ref)
	}
	c.imported(now, d, export{WorkID: d.WorkID, PromptHash: answer.HashPrompt(prompt), KVBytes: 2000})
	return d
}

// playUntil advances the core at each of its deadlines up to end.
func playUntil(c *core, end time.Time) {
	for next := c.deadline(); !next.After(end); next = c.deadline() {
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
		c := testCore(nil)
		var all []*decode
		for n := range tc.active {
			all = append(all, run(t, c, start, decodeOf(n)))
		}
		// The first step began with the first decode alone; the others join the second.
		end := start.Add(30750 * time.Microsecond).Add(10 * tc.step)
		playUntil(c, end.Add(-1))
		before := len(all[0].tokens)
		playUntil(c, end)
		first, last := len(all[0].tokens), len(all[tc.active-1].tokens)
		if tc.active == 1 {
			last--
		}
		if before != 10 || first != 11 || last != 10 {
			t.Errorf("%d active, 10 steps of %v: %d tokens just before the end, %d at it, %d for the last to join; want 10, 11, 10",
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
			c.reserve(start, reserveOf(100+n))
		}
	}
	cases := []struct {
		name    string
		config  func(*Config)
		prepare func(*core)
		status  int // 0: accepted
	}{
		{name: "free", status: 0},
		{name: "repeated", prepare: func(c *core) { c.reserve(start, reserveOf(1)) }, status: 0},
		{name: "full", prepare: fill, status: http.StatusServiceUnavailable},
		{name: "memory", config: func(c *Config) { c.MemoryBytes = 999 }, status: http.StatusServiceUnavailable},
		{name: "leaving", prepare: func(c *core) { c.faults.Leaving = true }, status: http.StatusServiceUnavailable},
		{name: "role", config: func(c *Config) { c.Role = RolePrefill }, status: http.StatusConflict},
		{name: "model", config: func(c *Config) { c.Models = map[string]string{"other": "1"} }, status: http.StatusConflict},
		{name: "cancelled", prepare: func(c *core) { c.cancel(start, id(1)) }, status: http.StatusConflict},
		{name: "decoding", prepare: func(c *core) { run(t, c, start, decodeOf(1)) }, status: http.StatusConflict},
	}
	for _, tc := range cases {
		c := testCore(tc.config)
		if tc.prepare != nil {
			tc.prepare(c)
		}
		before := len(c.decodes)
		ref := c.reserve(start, reserveOf(1))
		status := 0
		if ref != nil {
			status = ref.status
		}
		if status != tc.status {
			t.Errorf("%s: status %d, want %d", tc.name, status, tc.status)
		}
		if ref != nil && len(c.decodes) != before {
			t.Errorf("%s: refused, but memory is held", tc.name)
		}
	}
}

func TestHoldTime(t *testing.T) {
	for _, honour := range []bool{false, true} {
		c := testCore(func(cfg *Config) { cfg.HonourHold = honour })
		c.reserve(start, reserveOf(1))
		playUntil(c, start.Add(time.Hour))
		held := c.held(start.Add(time.Hour)).Held
		want := []engineapi.Held{{WorkID: id(1), Owner: owner, Kind: engineapi.HeldReservation, Bytes: 1000, AgeMS: 3_600_000}}
		if honour {
			want = []engineapi.Held{}
		}
		if diff := cmp.Diff(want, held); diff != "" {
			t.Errorf("honour %t: %s", honour, diff)
		}
	}
}

// Symptom: an engine holds memory for a request that was cancelled.
// Sequence: the cancel overtakes the attempt's own call, which arrives after it.
// Cause: the engine forgot the cancel, because it held nothing to cancel.
func TestCancelBeforeArrival(t *testing.T) {
	for _, attempt := range []int{1, allAttempts} {
		for _, role := range []string{RolePrefill, RoleDecode} {
			c := testCore(func(cfg *Config) { cfg.Role = role })
			reply := c.cancel(start, engineapi.WorkID{RequestID: "r1", Attempt: attempt})
			if want := (engineapi.CancelReply{Incarnation: c.incarnation}); reply != want {
				t.Errorf("cancel of unknown work: %+v, want %+v", reply, want)
			}
			reserve := c.reserve(start, reserveOf(1))
			_, prefill := c.addPrefill(start, prefillOf(1, 0))
			_, decode := c.startDecode(start, decodeOf(1))
			if reserve == nil || prefill == nil || decode == nil || c.usedBytes() != 0 {
				t.Errorf("attempt %d, %s: a late call of a cancelled attempt was taken", attempt, role)
			}
		}
	}
}

func TestCancelFreesEveryForm(t *testing.T) {
	c := testCore(nil)
	c.reserve(start, reserveOf(1))
	if _, ref := c.startDecode(start, decodeOf(2)); ref != nil {
		t.Fatal(ref)
	}
	finished := run(t, c, start, engineapi.DecodeRequest{WorkID: id(3), Owner: owner, Model: "m", MaxTokens: 1})
	paused := run(t, c, start, decodeOf(4))
	c.pause(id(4))
	playUntil(c, start.Add(100*time.Millisecond))
	p := testCore(func(cfg *Config) { cfg.Role = RolePrefill })
	for n := range 3 {
		p.addPrefill(start, prefillOf(n, 0))
	}
	playUntil(p, p.running.finishAt) // r0 is ready, r1 runs, r2 waits
	if finished.state != decodeFinished || paused.state != decodePaused || len(c.held(start).Held) != 4 || len(p.held(start).Held) != 3 {
		t.Fatal("the forms of held memory are not there")
	}
	for n := range 5 {
		c.cancel(start, id(n))
		p.cancel(start, id(n))
	}
	if c.usedBytes() != 0 || len(c.decodes) != 0 || p.usedBytes() != 0 || len(p.queue) != 0 || p.running != nil {
		t.Error("memory is held after cancelling everything")
	}
}

func TestPauseFreesTheSlotAndKeepsTheMemory(t *testing.T) {
	c := testCore(func(cfg *Config) { cfg.Slots = 1 })
	draft := run(t, c, start, decodeOf(1))
	now := start.Add(time.Second)
	playUntil(c, now)
	at := len(draft.tokens)
	if at == 0 || c.reserve(now, reserveOf(2)) == nil {
		t.Fatal("the draft does not fill the batch")
	}
	c.pause(id(1))
	if ref := c.reserve(now, reserveOf(2)); ref != nil {
		t.Fatalf("no slot after the pause: %+v", ref)
	}
	c.resume(now, id(1))
	playUntil(c, now.Add(time.Second))
	if len(draft.tokens) != at || draft.state != decodeWaiting || c.usedBytes() != 3000 {
		t.Errorf("resumed without a slot: %d tokens, were %d", len(draft.tokens), at)
	}
	c.cancel(now, id(2))
	playUntil(c, now.Add(2*time.Second))
	if len(draft.tokens) <= at {
		t.Error("the draft did not go on when the slot was free")
	}
}

func TestLoadLags(t *testing.T) {
	c := testCore(nil)
	c.reserve(start, reserveOf(1))
	c.advance(start.Add(DefaultLoadLag - 1))
	if got := c.snapshot.Active; got != 0 || c.load(start).Active != 1 {
		t.Errorf("polled load shows %d at once; the current one shows %d", got, c.load(start).Active)
	}
	c.advance(start.Add(DefaultLoadLag))
	if c.snapshot.Active != 1 {
		t.Error("polled load did not catch up after the lag")
	}
	c.faults.FreezeLoad = true
	c.cancel(start, id(1))
	c.advance(start.Add(time.Hour))
	if c.snapshot.Active != 1 {
		t.Error("a frozen report changed")
	}
}

// Symptom: an engine that was stopped floods its streams when it runs again.
// Sequence: a batch runs, the process stands still for an hour, and goes on.
// Cause: steps that were due meanwhile are all made up for.
func TestStopIsNotMadeUpFor(t *testing.T) {
	c := testCore(nil)
	d := run(t, c, start, decodeOf(1))
	c.advance(start.Add(time.Hour))
	if n := len(d.tokens); n != 1 {
		t.Errorf("%d tokens after a stop, want 1", n)
	}
}

func TestFinishedStreamLingers(t *testing.T) {
	c := testCore(nil)
	req := decodeOf(1)
	req.MaxTokens = 1
	d := run(t, c, start, req)
	playUntil(c, start.Add(c.cfg.step(1)))
	ended := d.finishedAt
	playUntil(c, ended.Add(DefaultLinger-1))
	if len(c.decodes) != 1 || c.slotsUsed() != 0 || c.usedBytes() == 0 {
		t.Error("a finished stream must keep its memory and no slot")
	}
	playUntil(c, ended.Add(DefaultLinger))
	if len(c.decodes) != 0 {
		t.Error("a finished stream is held for ever")
	}
}

func TestSlowStep(t *testing.T) {
	c := testCore(nil)
	c.faults.SlowStep = 10
	d := run(t, c, start, decodeOf(1))
	playUntil(c, start.Add(307500*time.Microsecond))
	if n, step := len(d.tokens), c.load(start).StepMS; n != 1 || step != 307.5 {
		t.Errorf("%d tokens in steps of %v ms, want 1 and 307.5", n, step)
	}
}

func TestImportNeedsMemory(t *testing.T) {
	for reserved, want := range map[int64]string{0: "import: memory is full", 2000: ""} {
		c := testCore(func(cfg *Config) { cfg.MemoryBytes = 2500 })
		req := reserveOf(1)
		req.KVBytes = reserved
		c.reserve(start, req)
		req = reserveOf(2)
		req.KVBytes = 600 // refused when the first has reserved
		c.reserve(start, req)
		if d := run(t, c, start, decodeOf(1)); d.failure != want {
			t.Errorf("%d bytes reserved: failure %q, want %q", reserved, d.failure, want)
		}
	}
}
