package engine

import "github.com/corianderturn/corianderturn/upstream/engineapi"

// allAttempts stands for every attempt of a request.
const allAttempts = -1

// idSet remembers a bounded number of attempts and forgets the oldest first.
type idSet struct {
	limit int
	has   map[engineapi.WorkID]bool
	order []engineapi.WorkID
}

func newIDSet(limit int) *idSet {
	return &idSet{limit: limit, has: make(map[engineapi.WorkID]bool)}
}

// add remembers id; a negative attempt stands for every attempt.
func (s *idSet) add(id engineapi.WorkID) {
	if id.Attempt < 0 {
		id.Attempt = allAttempts
	}
	if s.has[id] {
		return
	}
	if len(s.order) >= s.limit {
		delete(s.has, s.order[0])
		s.order = s.order[1:]
	}
	s.has[id] = true
	s.order = append(s.order, id)
}

// contains reports whether id or every attempt of its request is remembered.
func (s *idSet) contains(id engineapi.WorkID) bool {
	if s.has[id] {
		return true
	}
	id.Attempt = allAttempts
	return s.has[id]
}
