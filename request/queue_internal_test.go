package request

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestWaitersOrder checks the order of the queue (urgent requests before drafts, oldest first,
// each pool separately) and that the first request is always woken.
func TestWaitersOrder(t *testing.T) {
	l := newWaiters()
	names := map[*waiter]string{}
	add := func(name, pool string, rank rank) *waiter {
		want := l.ahead(nil, pool, rank)
		w := l.add(pool, rank)
		if got := l.ahead(w, pool, rank); got != want {
			t.Errorf("%s: %d ahead before it was added, %d after", name, want, got)
		}
		names[w] = name
		return w
	}
	add("draft 1", "a", rank{level: 1})
	add("draft 2", "a", rank{level: 1})
	add("urgent 1", "a", rank{})
	add("urgent 2", "a", rank{})
	other := add("other", "b", rank{level: 1})
	l.wake("a")
	l.wake("a") // already woken: must not block
	var got []string
	for len(l.byPool["a"]) > 0 {
		w := l.byPool["a"][0]
		<-w.readyChan()
		got = append(got, names[w])
		l.remove(w)
	}
	if d := cmp.Diff([]string{"urgent 1", "urgent 2", "draft 1", "draft 2"}, got); d != "" {
		t.Error(d)
	}
	if l.ahead(other, "b", rank{level: 1}) != 0 || len(other.ready) != 0 {
		t.Error("the other pool's request was woken")
	}
}
