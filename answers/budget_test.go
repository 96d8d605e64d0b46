package answers

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

const megabyte = 1 << 20

// Guards against an instance that runs out of memory, and against callers of sound upstreams that are refused,
// because a few upstreams send without end on all their connections.
func TestBudgetUnderEndlessAnswers(t *testing.T) {
	b := NewBudget(28 * megabyte)
	var leases []*Lease
	for i := range 60 { // 20 calls to each of three upstreams
		l, ok := b.Begin()
		if !ok {
			t.Fatalf("request %d is refused at %d bytes", i, b.Held())
		}
		leases = append(leases, l)
	}
	for range 100 {
		for i, l := range leases {
			err := l.Take(fmt.Sprint("endless-", i%3), 256<<10)
			if err != nil && !errors.Is(err, ErrUpstreamShare) {
				t.Fatalf("at %d bytes: %v", b.Held(), err)
			}
		}
	}
	if held := b.Held(); held < 3*minUpstreamBytes || held > 25*megabyte {
		t.Errorf("endless answers hold %d bytes", held)
	}
	sound, ok := b.Begin()
	if !ok || sound.Take("sound", 64<<10) != nil {
		t.Error("the answer of a sound upstream is refused")
	}
	for _, l := range leases {
		l.Release()
	}
	sound.Release()
	if b.Held() != 0 || len(b.byUpstream) != 0 {
		t.Errorf("%d bytes held by %d upstreams after the last request", b.Held(), len(b.byUpstream))
	}
}

// Guards against bytes that are counted twice or never given back: the budget would shrink until every request
// is refused. A request may end while its last call still reads.
func TestBudgetIsNeverExceededNorLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 40 * megabyte
		b := NewBudget(size)
		var open []*Lease
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(open) == 0 || rapid.Bool().Draw(t, "begin") {
				if l, ok := b.Begin(); ok {
					open = append(open, l)
				}
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "lease")
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "upstream")
			n := rapid.Int64Range(0, 9*megabyte).Draw(t, "bytes")
			switch rapid.IntRange(0, 2).Draw(t, "operation") {
			case 0:
				_ = open[i].Take(name, n)
			case 1:
				open[i].GiveBack(name, n)
			default:
				open[i].Release()
				if open[i].Take(name, 1) == nil {
					t.Fatal("bytes taken after the request's end")
				}
			}
			if b.Held() < 0 || b.Held() > size || b.byUpstream["a"] > b.perUpstream {
				t.Fatalf("%d bytes held, %d by one upstream", b.Held(), b.byUpstream["a"])
			}
		}
		for _, l := range open {
			l.Release()
		}
		if b.Held() != 0 || !b.total.TryAcquire(size) {
			t.Fatalf("%d bytes are held after all requests", b.Held())
		}
	})
}

// Guards against requests that are sent although no memory is left for their answers.
func TestBeginRefusesWhenUsedUp(t *testing.T) {
	b := NewBudget(2 * RequestBytes)
	l, _ := b.Begin()
	if err := l.Take("a", RequestBytes+1); !errors.Is(err, ErrUpstreamShare) && !errors.Is(err, ErrExhausted) {
		t.Errorf("more than the budget: %v", err)
	}
	if err := l.Take("a", RequestBytes); err != nil {
		t.Error(err)
	}
	if _, ok := b.Begin(); ok {
		t.Error("a request begins without memory for its answers")
	}
	l.Release()
	if _, ok := b.Begin(); !ok {
		t.Error("a request is refused although memory is free")
	}
}
