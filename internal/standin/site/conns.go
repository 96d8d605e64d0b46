package site

import (
	"net"
	"net/http"
	"sync"
)

// openConns holds the open connections of a server, so that they can be ended while the server
// goes on.
type openConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// track is an http.Server.ConnState function.
func (o *openConns) track(c net.Conn, state http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conns == nil {
		o.conns = map[net.Conn]bool{}
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(o.conns, c)
	default:
		o.conns[c] = true
	}
}

// closeAll ends all open connections.
func (o *openConns) closeAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.conns {
		_ = c.Close() // the other side sees the end in any case
	}
}
