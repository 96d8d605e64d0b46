package engine

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

func TestPrefillOrderAndLife(t *testing.T) {
	c := testCore(func(cfg *Config) { cfg.Role = RolePrefill })
	for n, priority := range []int{0, 1, 5, 5} {
		c.addPrefill(start, prefillOf(n, priority))
	}
	var order []engineapi.WorkID
	now := start
	for c.running != nil {
		order = append(order, c.running.WorkID)
		now = c.running.finishAt
		playUntil(c, now)
	}
	if diff := cmp.Diff([]engineapi.WorkID{id(0), id(2), id(3), id(1)}, order); diff != "" {
		t.Errorf("order of prefills: %s", diff)
	}
	p, status := c.beginExport(id(1))
	if status != http.StatusOK {
		t.Fatalf("export of a ready result: %d", status)
	}
	now = now.Add(DefaultPrefillTTL)
	playUntil(c, now)
	if c.prefills[id(1)] == nil {
		t.Error("a result expired while it was sent")
	}
	for n, want := range map[int]int{0: http.StatusGone, 9: http.StatusNotFound} {
		if _, status := c.beginExport(id(n)); status != want {
			t.Errorf("export of r%d: %d, want %d", n, status, want)
		}
	}
	c.endExport(now, p, 0, true)
	if c.usedBytes() != 0 || c.stats.Expired != 3 {
		t.Errorf("%d bytes held, %d expired; want 0 and 3", c.usedBytes(), c.stats.Expired)
	}
}

func TestPrefixCache(t *testing.T) {
	c := testCore(func(cfg *Config) { cfg.Role, cfg.CacheBlocks = RolePrefill, 12 })
	prefillOnce := func(now time.Time, n int, text string) *prefill {
		req := prefillOf(n, 0)
		req.Prompt = text
		p, ref := c.addPrefill(now, req)
		if ref != nil {
			t.Fatal(ref)
		}
		playUntil(c, p.finishAt)
		return p
	}
	whole := prompt[:12*64]
	first := prefillOnce(start, 1, whole)
	again := prefillOnce(first.finishAt, 2, whole)
	other := prefillOnce(again.finishAt, 3, "x"+prompt[:4*64])
	tail := prefillOnce(other.finishAt, 4, whole)
	got := []int{first.cached, again.cached, other.cached, tail.cached}
	if diff := cmp.Diff([]int{0, 192, 0, 128}, got); diff != "" {
		t.Errorf("cached tokens: %s", diff)
	}
	if d := again.finishAt.Sub(first.finishAt); d != 0 {
		t.Errorf("a cached prompt cost %v", d)
	}
	early, _ := c.cache.read(start.Add(DefaultEventDelay-1), 0)
	late, next := c.cache.read(tail.finishAt.Add(DefaultEventDelay), 0)
	if len(early) != 0 || len(late) != 12+4+4+4+4 || next != uint64(len(late)+1) {
		t.Errorf("events: %d early, %d late, next %d", len(early), len(late), next)
	}
}

func TestCacheEventGaps(t *testing.T) {
	c := testCore(func(cfg *Config) { cfg.EventDrop = 0.5 })
	for h := range uint64(100) {
		c.cache.store(start, "m", []uint64{h})
	}
	events, _ := c.cache.read(start.Add(time.Hour), 0)
	if n := len(events); n < 25 || n > 75 || events[n-1].Seq < uint64(n+20) {
		t.Errorf("%d of 100 events were published, the last with number %d", n, events[n-1].Seq)
	}
}

func TestOrderFences(t *testing.T) {
	old := engineapi.Order{Fence: 3, Kind: engineapi.OrderLoadModel, Model: "m", Version: "old"}
	for _, check := range []bool{false, true} {
		c := testCore(func(cfg *Config) { cfg.CheckFence = check })
		c.config.give(start, engineapi.Order{Fence: 5, Kind: engineapi.OrderLoadModel, Model: "m", Version: "new"})
		playUntil(c, start.Add(DefaultOrderTime))
		reply, _ := c.config.give(start.Add(DefaultOrderTime), old)
		if len(c.config.state(0).Loading) == 0 != check {
			t.Errorf("check %t: loading %v", check, c.config.state(0).Loading)
		}
		playUntil(c, start.Add(2*DefaultOrderTime))
		want := map[bool]string{false: "old", true: "new"}[check]
		if got := c.config.state(0).Models["m"]; got != want || reply.Accepted == check {
			t.Errorf("check %t: version %q, accepted %t", check, got, reply.Accepted)
		}
		other := engineapi.Order{Fence: 1, Kind: engineapi.OrderSetRole, Role: RolePrefill}
		if reply, _ := c.config.give(start, other); !reply.Accepted {
			t.Error("the fence of one item refused another's order")
		}
	}
}

func TestLinkIsBookedWhileExporting(t *testing.T) {
	c := testCore(func(cfg *Config) { cfg.Role, cfg.LinkRate, cfg.KVPerToken = RolePrefill, 1e6, 1000 })
	var all []*prefill
	for n := range 2 {
		p, _ := c.addPrefill(start, prefillOf(n, 0))
		all = append(all, p)
	}
	now := start.Add(200 * time.Millisecond)
	playUntil(c, now)
	for n := range all {
		c.beginExport(id(n))
	}
	want := int64(all[0].tokens + all[1].tokens)
	if got := c.load(now).LinkBusyMS; got != want {
		t.Errorf("link booked for %d ms, want %d", got, want)
	}
	c.endExport(now, all[0], all[0].kvBytes, false)
	c.linkBytes -= all[1].kvBytes
	c.endExport(now, all[1], 0, true)
	if c.load(now).LinkBusyMS != 0 || c.prefills[id(0)] == nil || c.prefills[id(1)] != nil {
		t.Error("a transfer that was cut must keep its result, a whole one free it, and both the link")
	}
}
