package claims

import "github.com/corianderturn/corianderturn/request"

// answerOverhead is counted for each kept answer on top of its body, for its
// headers and bookkeeping, in bytes.
const answerOverhead = 512

// slot holds one kept answer, decoded or encoded. The zero slot holds none.
type slot struct {
	answer  *request.CallAnswer
	encoded []byte
	size    int
}

// answerStore bounds the answers kept in slots; the oldest go first.
type answerStore struct {
	order queue[*slot]
	bytes int
	limit int
}

// keep puts an answer of bodyBytes into an empty slot, if it fits.
func (s *answerStore) keep(at *slot, v slot, bodyBytes int) {
	v.size = bodyBytes + answerOverhead
	if v.size > s.limit {
		return
	}
	*at = v
	s.bytes += v.size
	s.order.push(at)
	for s.bytes > s.limit {
		oldest, ok := s.order.peek()
		if !ok {
			return
		}
		s.forget(oldest)
	}
}

// forget empties a slot; an empty one stays so.
func (s *answerStore) forget(at *slot) {
	s.bytes -= at.size
	*at = slot{}
	for {
		head, ok := s.order.peek()
		if !ok || head.size > 0 {
			return
		}
		s.order.pop()
	}
}
