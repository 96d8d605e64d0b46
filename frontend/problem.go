package frontend

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/corianderturn/corianderturn/errkind"
)

// Problem is the body of all error responses, a problem document of RFC 9457.
type Problem struct {
	// Type is the URN urn:corianderturn:error:KIND.
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Kind is one of the kinds of package errkind.
	Kind errkind.Kind `json:"kind"`
	// Run says whether the request ran on an upstream.
	Run errkind.RunState `json:"run"`
	// Retryable says whether the same request can succeed later. RetryAfterMS is
	// the delay before a retry in milliseconds; 0 means that none is known.
	Retryable    bool   `json:"retryable"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id"`
}

// problemURN is the prefix of Problem.Type; the kind follows.
const problemURN = "urn:corianderturn:error:"

// Content types of responses.
const (
	typeProblem = "application/problem+json"
	typeJSON    = "application/json"
	typeEvents  = "text/event-stream"
)

// newProblem returns the problem document of an error. A kind outside the list of
// package errkind is reported as internal.
func newProblem(id string, err *errkind.Error) Problem {
	kind := err.Kind
	if _, ok := errkind.Lookup(kind); !ok {
		kind = errkind.Internal
	}
	row := errkind.Answer(err)
	return Problem{
		Type:         problemURN + string(kind),
		Title:        row.Title,
		Status:       row.Status,
		Detail:       err.Detail,
		Kind:         kind,
		Run:          row.Run,
		Retryable:    row.Retryable,
		RetryAfterMS: row.RetryAfter.Milliseconds(),
		RequestID:    id,
	}
}

// writeProblem writes err as an error response.
func (x *exchange) writeProblem(err *errkind.Error) {
	p := newProblem(x.id, err)
	h := x.w.Header()
	h.Set("Content-Type", typeProblem)
	h.Set("Cache-Control", "no-store")
	if after := errkind.Answer(err).RetryAfter; after > 0 {
		h.Set("Retry-After", strconv.FormatInt(ceilSeconds(after), 10))
	}
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if x.bodyUnread {
		// Otherwise net/http would read the rest of the body before it sends the
		// response, which delays the response to a caller that sends slowly. It
		// still reads the rest before it closes the connection.
		h.Set("Connection", "close")
		_ = x.rc.SetReadDeadline(now().Add(x.s.opts.Callers.BodyTimeout))
	}
	x.writeJSON(p.Status, p)
	if x.bodyUnread {
		endConn(x.r)
	}
}

// ceilSeconds rounds d up to whole seconds, since an early retry would be rejected
// again.
func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// writeJSON writes v as the response. The content type is application/json unless
// one is set already.
func (x *exchange) writeJSON(status int, v any) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		status = http.StatusInternalServerError // unreachable: v is always a plain struct
	}
	if x.w.Header().Get("Content-Type") == "" {
		x.w.Header().Set("Content-Type", typeJSON)
	}
	x.write(status, buf.Bytes())
}

// write sends the status and the body. It ignores write errors, since they mean
// that the caller's connection is closed.
func (x *exchange) write(status int, body []byte) {
	x.responded, x.status = true, status
	x.extendWriteDeadline()
	if x.r.Method != http.MethodHead && statusAllowsBody(status) {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.w.WriteHeader(status)
	if x.r.Method != http.MethodHead && statusAllowsBody(status) {
		_, _ = x.w.Write(body)
	}
	_ = x.rc.Flush()
}

// statusAllowsBody reports whether a response with this status has a body.
func statusAllowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
