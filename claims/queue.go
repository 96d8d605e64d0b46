package claims

// minCompactHead is the least number of removed items at the head of a queue at which
// the remaining items are copied to free the memory of the removed ones.
const minCompactHead = 64

// queue is a first-in, first-out queue that frees memory as it shrinks.
type queue[T any] struct {
	items []T
	head  int // index of the first item
}

func (q *queue[T]) push(v T) { q.items = append(q.items, v) }

func (q *queue[T]) len() int { return len(q.items) - q.head }

func (q *queue[T]) peek() (v T, ok bool) {
	if q.len() == 0 {
		return v, false
	}
	return q.items[q.head], true
}

func (q *queue[T]) pop() (v T, ok bool) {
	v, ok = q.peek()
	if !ok {
		return v, false
	}
	var zero T
	q.items[q.head] = zero
	q.head++
	if q.head >= minCompactHead && q.head*2 >= len(q.items) {
		q.items = append([]T(nil), q.items[q.head:]...)
		q.head = 0
	}
	return v, true
}
