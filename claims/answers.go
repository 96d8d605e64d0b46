package claims

import "github.com/corianderturn/corianderturn/request"

// answerOverhead is added to the size of each cached answer's body, in bytes, to
// account for its headers and bookkeeping.
const answerOverhead = 512

// answerSlot holds one cached answer, decoded or encoded. The zero value is empty.
type answerSlot struct {
	answer  *request.CallAnswer
	encoded []byte
	size    int // bytes counted for the answer; 0 when the slot is empty
}

// answerCache limits the total size of the answers in a set of slots. Over the
// limit it empties the slots that were filled first.
type answerCache struct {
	order queue[*answerSlot] // filled slots, oldest first
	bytes int                // total size of the filled slots
	limit int                // largest total size, in bytes
}

// put stores v, whose body has bodyBytes bytes, in the empty slot dst. It stores
// nothing if the answer alone exceeds the limit.
func (c *answerCache) put(dst *answerSlot, v answerSlot, bodyBytes int) {
	v.size = bodyBytes + answerOverhead
	if v.size > c.limit {
		return
	}
	*dst = v
	c.bytes += v.size
	c.order.push(dst)
	for c.bytes > c.limit {
		oldest, ok := c.order.peek()
		if !ok {
			return
		}
		c.remove(oldest)
	}
}

// remove empties a slot, which may be empty already, and removes empty slots from
// the head of the queue.
func (c *answerCache) remove(dst *answerSlot) {
	c.bytes -= dst.size
	*dst = answerSlot{}
	for {
		head, ok := c.order.peek()
		if !ok || head.size > 0 {
			return
		}
		c.order.pop()
	}
}
