package admission

import (
	"slices"
	"time"
)

// room is what ended requests have released at an engine.
type room struct {
	slots, tokens int
	at            time.Time
}

// returnRoom offers the room again that the turn of an entry was given for.
func (q *Queue) returnRoom(now time.Time, e *entry) {
	if e.turn != 0 && e.engine != "" {
		q.Release(now, e.engine, e.Tokens)
	}
}

// Release records that a request has ended at an engine, where it held memory for a number of tokens.
func (q *Queue) Release(now time.Time, engine string, tokens int) {
	r := q.rooms[engine]
	if r == nil {
		if len(q.rooms) >= maxRooms {
			return
		}
		r = &room{}
		q.rooms[engine] = r
		q.released = append(q.released, engine)
	}
	r.slots++
	r.tokens += max(tokens, 0)
	r.at = now
}

// forgetRoom removes what is known of an engine's room.
func (q *Queue) forgetRoom(engine string) {
	if q.rooms[engine] == nil {
		return
	}
	delete(q.rooms, engine)
	if i := slices.Index(q.released, engine); i >= 0 {
		q.released = slices.Delete(q.released, i, i+1)
	}
}
