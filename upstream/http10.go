package upstream

import (
	"sync"

	"github.com/corianderturn/corianderturn/internal/httpsem"
)

const http10 = "HTTP/1.0 "

// http10Head keeps the head of a response in HTTP/1.0 while it is read, for httpsem.CheckHTTP10. It is safe for
// concurrent use.
type http10Head struct {
	mu   sync.Mutex
	raw  []byte
	done bool // the head is complete or too long, or of another version
}

// begin forgets the head of the response before.
func (h *http10Head) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.raw, h.done = nil, false
}

// add adds bytes that were read.
func (h *http10Head) add(p []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.done {
		return
	}
	if len(h.raw) == 0 && !isPrefix(p, http10) { // as for most responses
		h.done = true
		return
	}
	const overlap = 2 // bytes of an empty line that may have come before p
	searched := max(0, len(h.raw)-overlap)
	h.raw = append(h.raw, p...)
	if !isPrefix(h.raw, http10) {
		h.raw, h.done = nil, true
		return
	}
	h.done = len(h.raw) > maxHeaderBytes || httpsem.EndsHead(h.raw[searched:])
}

// isPrefix reports whether as many bytes as both have are the same.
func isPrefix(p []byte, text string) bool {
	n := min(len(p), len(text))
	return string(p[:n]) == text[:n]
}

// check returns an error unless the latest response is known to have no Transfer-Encoding. It may be unknown if bytes were
// read before the request was sent.
func (h *http10Head) check() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !h.done || len(h.raw) == 0:
		return &httpsem.MalformedHeadError{Detail: "a response in HTTP/1.0 that no request awaited"}
	default:
		return httpsem.CheckHTTP10(h.raw)
	}
}
