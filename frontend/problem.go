package frontend

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/corianderturn/corianderturn/errkind"
)

// Problem is the body of every answer that is not a result, as RFC 9457 has it.
type Problem struct {
	// Type is a URN that ends in the kind.
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Kind is from the closed list of package errkind.
	Kind errkind.Kind `json:"kind"`
	// Run says whether the request ran upstream.
	Run errkind.Run `json:"run"`
	// Retryable says whether the same request can succeed later, and
	// RetryAfterMS when to come back; 0 means unknown.
	Retryable    bool   `json:"retryable"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id"`
}

const problemURN = "urn:corianderturn:error:"

const (
	typeProblem = "application/problem+json"
	typeJSON    = "application/json"
	typeEvents  = "text/event-stream"
)

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

// writeProblem answers with a problem document.
func (x *exchange) writeProblem(err *errkind.Error) {
	p := newProblem(x.id, err)
	h := x.w.Header()
	h.Set("Content-Type", typeProblem)
	h.Set("Cache-Control", "no-store")
	if after := errkind.Answer(err).RetryAfter; after > 0 {
		h.Set("Retry-After", strconv.FormatInt(wholeSeconds(after), 10))
	}
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if x.unread {
		// Without this net/http would first read the rest of the body, and a caller
		// that sends slowly would wait for its refusal.
		h.Set("Connection", "close")
	}
	x.writeJSON(p.Status, p)
}

// wholeSeconds rounds up: coming back early would only be refused again.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// writeJSON answers with a document; the content type may be set before.
func (x *exchange) writeJSON(status int, v any) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		status = http.StatusInternalServerError // documents are plain structs; this cannot happen
	}
	if x.w.Header().Get("Content-Type") == "" {
		x.w.Header().Set("Content-Type", typeJSON)
	}
	x.write(status, buf.Bytes())
}

// write sends the whole answer. A failed write means that the caller is gone;
// there is nobody left to tell.
func (x *exchange) write(status int, body []byte) {
	x.answered, x.status = true, status
	x.writeSoon()
	if x.r.Method != http.MethodHead && bodyAllowed(status) {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.w.WriteHeader(status)
	if x.r.Method != http.MethodHead && bodyAllowed(status) {
		_, _ = x.w.Write(body)
	}
	_ = x.rc.Flush()
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
