package upstream

import (
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Identity tells the response to a call from responses to other calls. A faulty upstream may send a response
// twice, and the second one arrives where the response to a later call is expected. Whatever it says, be it
// that the call was not run, says nothing of the later call.
type Identity struct {
	// Header is the response header in which an upstream returns the id of the call.
	Header string
	// ID is the id of the call; empty if it has none, and its response must have none.
	ID string
	// Optional states that upstreams may leave the header out.
	Optional bool
	// NotRun reports whether a response states that the upstream did not run the call; nil if none does. Such a
	// response is not believed if its connection has carried another call with the id, whose refusal it may be.
	NotRun func(*http.Response) bool
}

// errForeignResponse means that a response may belong to another call.
var errForeignResponse = errors.New("the response may belong to another call")

// check returns an error unless h is the header of a response to the call, and of no other one: a header with several
// ids may be made of those of two responses.
func (i Identity) check(h http.Header) error {
	ids := h.Values(i.Header)
	if len(ids) == 0 && (i.ID == "" || i.Optional) {
		return nil
	}
	if len(ids) == 1 && (ids[0] == i.ID || ids[0] == "" && i.Optional) {
		return nil
	}
	return errors.WithMessagef(errForeignResponse, "it has the ids %q", ids)
}

// rememberedCalls is the number of calls whose ids a connection remembers. A response that is sent twice
// arrives with the next ones.
const rememberedCalls = 32

// callIDs remembers the ids of the latest calls on a connection, as hashes. It is safe for concurrent use.
type callIDs struct {
	mu     sync.Mutex
	hashes [rememberedCalls]uint64
	added  int
}

// add adds the id of a call and reports whether an earlier call had the same one.
func (c *callIDs) add(id string) (again bool) {
	hash := xxhash.Sum64String(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hashes[:min(c.added, rememberedCalls)] {
		again = again || h == hash
	}
	c.hashes[c.added%rememberedCalls] = hash
	c.added++
	return again
}
