package reach

import "bytes"

// maxHeadBytes is the most that is kept of the header of a response.
const maxHeadBytes = 16 << 10

// headReader collects the header of the response on a carried connection, which carries one request.
type headReader struct {
	upstream string
	observe  func(upstream string, head []byte)
	head     []byte
	done     bool
}

func newHeadReader(upstream string, observe func(upstream string, head []byte)) *headReader {
	return &headReader{upstream: upstream, observe: observe}
}

// add adds bytes that the upstream sent. Once the header is complete, it passes the header on.
func (h *headReader) add(p []byte) {
	if h.done {
		return
	}
	h.head = append(h.head, p[:min(len(p), maxHeadBytes-len(h.head))]...)
	end := bytes.Index(h.head, []byte("\r\n\r\n"))
	if end < 0 && len(h.head) < maxHeadBytes {
		return
	}
	h.done = true
	h.observe(h.upstream, h.head)
	h.head = nil
}
