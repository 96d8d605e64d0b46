// Package httpsem holds the rules of HTTP that hold on both sides of a daemon
// (RFC 9110): which methods only read, and which fields end at each connection.
package httpsem

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Safe says whether a method only reads (RFC 9110, 9.2.1). An unknown one does not.
func Safe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// Idempotent says whether a proxy may send a request of the method again when
// it does not know what became of the first (RFC 9110, 9.2.2). An unknown one
// does not.
func Idempotent(method string) bool {
	return Safe(method) || method == http.MethodPut || method == http.MethodDelete
}

// hopByHop lists the fields that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop takes the fields of the connection out of h, among them those
// that its Connection field names.
func RemoveHopByHop(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
