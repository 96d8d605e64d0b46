package engine

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

func TestPrefillOrderAndExpiry(t *testing.T) {
	c := newTestCore(func(cfg *Config) { cfg.Role = RolePrefill })
	for n, priority := range []int{0, 1, 5, 5} {
		c.addPrefill(start, prefillRequest(n, priority))
	}
	var order []engineapi.WorkID
	now := start
	for c.runningPrefill != nil {
		order = append(order, c.runningPrefill.WorkID)
		now = c.runningPrefill.finishAt
		advanceUntil(c, now)
	}
	if diff := cmp.Diff([]engineapi.WorkID{workID(0), workID(2), workID(3), workID(1)}, order); diff != "" {
		t.Errorf("order of prefills (-want +got):\n%s", diff)
	}
	p, status := c.beginExport(workID(1))
	if status != http.StatusOK {
		t.Fatalf("export of a ready result: %d", status)
	}
	now = now.Add(DefaultPrefillTTL)
	advanceUntil(c, now)
	if c.prefills[workID(1)] == nil {
		t.Error("a result expired during its export")
	}
	for n, want := range map[int]int{0: http.StatusGone, 9: http.StatusNotFound} {
		if _, status := c.beginExport(workID(n)); status != want {
			t.Errorf("export of r%d: %d, want %d", n, status, want)
		}
	}
	c.endExport(now, p, 0, true)
	if c.usedBytes() != 0 || c.stats.Expired != 3 {
		t.Errorf("%d bytes held, %d expired; want 0 and 3", c.usedBytes(), c.stats.Expired)
	}
}

func TestPrefixCache(t *testing.T) {
	c := newTestCore(func(cfg *Config) { cfg.Role, cfg.CacheBlocks = RolePrefill, 12 })
	prefillOnce := func(now time.Time, n int, text string) *prefill {
		req := prefillRequest(n, 0)
		req.Prompt = text
		p, ref := c.addPrefill(now, req)
		if ref != nil {
			t.Fatal(ref)
		}
		advanceUntil(c, p.finishAt)
		return p
	}
	whole := prompt[:12*64]
	first := prefillOnce(start, 1, whole)
	again := prefillOnce(first.finishAt, 2, whole)
	other := prefillOnce(again.finishAt, 3, "x"+prompt[:4*64])
	tail := prefillOnce(other.finishAt, 4, whole)
	got := []int{first.cachedTokens, again.cachedTokens, other.cachedTokens, tail.cachedTokens}
	if diff := cmp.Diff([]int{0, 192, 0, 128}, got); diff != "" {
		t.Errorf("cached tokens (-want +got):\n%s", diff)
	}
	if d := again.finishAt.Sub(first.finishAt); d != 0 {
		t.Errorf("prefill of a cached prompt took %v, want 0", d)
	}
	early, _ := c.cache.read(start.Add(DefaultEventDelay-1), 0)
	late, next := c.cache.read(tail.finishAt.Add(DefaultEventDelay), 0)
	if len(early) != 0 || len(late) != 12+4+4+4+4 || next != uint64(len(late)+1) {
		t.Errorf("%d events before the delay, %d after it, next %d", len(early), len(late), next)
	}
}

func TestCacheEventGaps(t *testing.T) {
	c := newTestCore(func(cfg *Config) { cfg.EventDrop = 0.5 })
	for h := range uint64(100) {
		c.cache.store(start, "m", []uint64{h})
	}
	events, _ := c.cache.read(start.Add(time.Hour), 0)
	if n := len(events); n < 25 || n > 75 || events[n-1].Seq < uint64(n+20) {
		t.Errorf("%d of 100 events were published, the last with sequence number %d", n, events[n-1].Seq)
	}
}

func TestOrderFences(t *testing.T) {
	old := engineapi.Order{Fence: 3, Kind: engineapi.OrderLoadModel, Model: "m", Version: "old"}
	for _, check := range []bool{false, true} {
		c := newTestCore(func(cfg *Config) { cfg.CheckFence = check })
		c.deployment.acceptOrder(start, engineapi.Order{Fence: 5, Kind: engineapi.OrderLoadModel, Model: "m", Version: "new"})
		advanceUntil(c, start.Add(DefaultOrderTime))
		reply, _ := c.deployment.acceptOrder(start.Add(DefaultOrderTime), old)
		if len(c.deployment.state(0).Loading) == 0 != check {
			t.Errorf("CheckFence %t: pending loads %v", check, c.deployment.state(0).Loading)
		}
		advanceUntil(c, start.Add(2*DefaultOrderTime))
		want := map[bool]string{false: "old", true: "new"}[check]
		if got := c.deployment.state(0).Models["m"]; got != want || reply.Accepted == check {
			t.Errorf("CheckFence %t: version %q, outdated order accepted %t", check, got, reply.Accepted)
		}
		other := engineapi.Order{Fence: 1, Kind: engineapi.OrderSetRole, Role: RolePrefill}
		if reply, _ := c.deployment.acceptOrder(start, other); !reply.Accepted {
			t.Error("an order was refused because of the fencing number of another target")
		}
	}
}

func TestExportsReserveLink(t *testing.T) {
	c := newTestCore(func(cfg *Config) { cfg.Role, cfg.LinkRate, cfg.KVPerToken = RolePrefill, 1e6, 1000 })
	var all []*prefill
	for n := range 2 {
		p, _ := c.addPrefill(start, prefillRequest(n, 0))
		all = append(all, p)
	}
	now := start.Add(200 * time.Millisecond)
	advanceUntil(c, now)
	for n := range all {
		c.beginExport(workID(n))
	}
	want := int64(all[0].promptTokens + all[1].promptTokens)
	if got := c.load(now).LinkBusyMS; got != want {
		t.Errorf("link busy for %d ms, want %d", got, want)
	}
	c.endExport(now, all[0], all[0].kvBytes, false)
	c.pendingExportBytes -= all[1].kvBytes
	c.endExport(now, all[1], 0, true)
	if c.load(now).LinkBusyMS != 0 || c.prefills[workID(0)] == nil || c.prefills[workID(1)] != nil {
		t.Error("an incomplete export must keep its result, a complete one must free it, and both must release the link")
	}
}
