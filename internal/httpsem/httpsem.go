// Package httpsem implements rules of HTTP semantics (RFC 9110) that a daemon applies both to its
// callers and to its upstreams: which methods are safe or idempotent, and which header fields a
// proxy must not forward.
package httpsem

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Safe reports whether a method is safe, that is read-only (RFC 9110, 9.2.1). Unknown methods are
// not.
func Safe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

// Idempotent reports whether a method is idempotent, so that a proxy may retry a request without
// knowing whether the first attempt ran (RFC 9110, 9.2.2). Unknown methods are not.
func Idempotent(method string) bool {
	return Safe(method) || method == http.MethodPut || method == http.MethodDelete
}

// hopByHop lists the header fields that apply to a single connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop deletes the hop-by-hop fields from h, including those that its Connection field
// lists.
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
