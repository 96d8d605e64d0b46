package engine

import "github.com/corianderturn/corianderturn/upstream/engineapi"

// allAttempts is the attempt number that stands for every attempt of a request.
const allAttempts = -1

// idSet is a set of attempts of limited size that evicts the oldest entry first.
type idSet struct {
	limit          int
	members        map[engineapi.WorkID]bool
	insertionOrder []engineapi.WorkID
}

func newIDSet(limit int) *idSet {
	return &idSet{limit: limit, members: make(map[engineapi.WorkID]bool)}
}

// add inserts id. A negative attempt stands for every attempt of the request.
func (s *idSet) add(id engineapi.WorkID) {
	if id.Attempt < 0 {
		id.Attempt = allAttempts
	}
	if s.members[id] {
		return
	}
	if len(s.insertionOrder) >= s.limit {
		delete(s.members, s.insertionOrder[0])
		s.insertionOrder = s.insertionOrder[1:]
	}
	s.members[id] = true
	s.insertionOrder = append(s.insertionOrder, id)
}

// contains reports whether the set has id, or the entry that stands for every attempt
// of its request.
func (s *idSet) contains(id engineapi.WorkID) bool {
	if s.members[id] {
		return true
	}
	id.Attempt = allAttempts
	return s.members[id]
}
