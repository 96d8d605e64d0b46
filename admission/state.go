package admission

import "time"

// RankState is the state of the requests of one rank.
type RankState struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the encoder

	Rank, Waiting int
	// ExpectedWait is the time until a request of the rank that joins now is admitted; 0 if unknown.
	ExpectedWait time.Duration
}

// Stats counts what a queue has done since it was created.
type Stats struct {
	// GivenRoom are turns for released room, GivenSearch those that search.
	GivenRoom, GivenSearch, Lapsed, Admitted uint64
	// Refused counts the reservations that engines refused.
	Refused uint64
	// Unknown counts results of requests that do not wait, and Duplicate joins of those that do.
	Unknown, Duplicate uint64
}

// State returns the state of each rank of which requests wait, the most urgent first. Requests that
// have only just joined are not counted: in a pool with room they get a turn at once, and if they
// counted, every daemon would let its next requests join too, and the queue would never end.
func (q *Queue) State(now time.Time) []RankState {
	var out []RankState
	// precedes counts the requests that one of the rank that joins now has ahead of it, and all those
	// of the ranks up to this one.
	precedes, all, perSecond := 0, 0, q.admitted.perSecond(now)
	for i, e := range q.order {
		if i > 0 && q.order[i-1].Rank != e.Rank {
			precedes = all
		}
		all++
		if !e.isLate(now) {
			precedes++
		}
		if now.Sub(e.joinedAt) < settleTime {
			continue
		}
		if len(out) == 0 || out[len(out)-1].Rank != e.Rank {
			out = append(out, RankState{Rank: e.Rank})
		}
		s := &out[len(out)-1]
		s.Waiting++
		if perSecond > 0 {
			s.ExpectedWait = time.Duration(float64(precedes) / perSecond * float64(time.Second))
		}
	}
	return out
}
