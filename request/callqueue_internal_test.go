package request

import (
	"testing"
	"time"
)

// Guards against calls that go ahead of more urgent ones or of those whose deadlines come first, and
// against a queue whose first call is not woken when the one before it has left.
func TestCallsWaitInOrder(t *testing.T) {
	q, now := newCallQueues(), time.Now()
	orders := []callOrder{{2, now}, {0, now.Add(time.Second)}, {0, now}, {1, now}, {0, now}}
	waiters := make([]*callWaiter, len(orders))
	for i, o := range orders {
		waiters[i] = q.join("a", o)
	}
	if n := q.place("b", nil, orders[0]); n != 0 || q.place("a", nil, orders[2]) != 2 || q.len() != len(orders) {
		t.Errorf("new calls: %d ahead in another queue, %d in this one of %d", n, q.place("a", nil, orders[2]), q.len())
	}
	for ahead, i := range []int{2, 4, 1, 3, 0} {
		if n := q.place("a", waiters[i], orders[i]); n != 0 {
			t.Fatalf("call %d has %d calls ahead after %d have left", i, n, ahead)
		}
		if ahead > 0 && len(waiters[i].ready) != 1 {
			t.Errorf("call %d was not woken", i)
		}
		q.leave(waiters[i])
	}
}
