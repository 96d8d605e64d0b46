package clients

import (
	"net/http"
	"testing"
)

// largeDescriptors are the descriptors of the smallest instance, which leave its callers 1,858 connections, and
// allConns is a crowd that takes all of these.
const (
	largeDescriptors = 4100
	allConns         = 2500
)

// Guards against an attached daemon that runs out of memory because each of its connections holds a little: a request
// in flight, an answer that is not read, a body or head that is not whole.
func TestAttachedWithAllConnections(t *testing.T) {
	start := func(t *testing.T) *process { return startAttachedWith(t, largeDescriptors) }
	for _, c := range choose("answers not read", "requests sent ahead", "chunked body stops short", "small body stops short", "legal short fields stop short", "silent") {
		c.conns = allConns
		t.Run(c.name, func(t *testing.T) { c.test(t, start, target{"route", callers, http.MethodPost, "/slot/x"}) })
	}
}
