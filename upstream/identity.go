package upstream

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
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

// ForeignResponseError means that a response was rejected because it may belong to another call.
type ForeignResponseError struct {
	// ID is the id in the response, several of them as a list, and Status its status.
	ID     string
	Status int
	// Ambiguous is set if the response has the id of the call, and its connection has carried another call with it.
	Ambiguous bool
	// Joined is set if the head contains the status line of another response, whose head goes on in it.
	Joined bool
	// Connection is the local address of the connection, and Reused whether it has carried other calls before.
	Connection string
	Reused     bool
}

// Error implements error.
func (e *ForeignResponseError) Error() string {
	return fmt.Sprintf("a response with status %d and the id %q may belong to another call (two calls with this id: %t, two heads: %t; connection %s, reused: %t)",
		e.Status, e.ID, e.Ambiguous, e.Joined, e.Connection, e.Reused)
}

// matches reports whether h is the header of a response to the call, and of no other one: a header with several
// ids may be made of those of two responses.
func (i Identity) matches(h http.Header) bool {
	ids := h.Values(i.Header)
	switch len(ids) {
	case 0:
		return i.ID == "" || i.Optional
	case 1:
		return ids[0] == i.ID || ids[0] == "" && i.Optional
	default:
		return false
	}
}

// statusLine matches the status line of a response. An address, as in the header Via, is none.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9]{2}( |$)`)

// isJoined reports whether the head of a response contains the status line of another one. If a response that is sent
// a second time breaks off in its head, the next response on the connection completes it.
func isJoined(resp *http.Response) bool {
	if statusLine.MatchString(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
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
