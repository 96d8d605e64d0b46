package httpsem

import (
	"fmt"
	"net/http"
)

// MalformedHeadError means that bytes that net/http takes for the head of a response are none in HTTP/1 (RFC 9112).
type MalformedHeadError struct{ Detail string }

// Error implements error.
func (e *MalformedHeadError) Error() string { return "the response is malformed: " + e.Detail }

// The final statuses (RFC 9110, 15). 101 is none: no daemon asks for another protocol.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// CheckResponse returns a *MalformedHeadError for the head of a final response in which net/http lets something through
// that no response in HTTP/1 has: a status beyond 200 to 599 or another major version.
func CheckResponse(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return &MalformedHeadError{fmt.Sprintf("version %q", resp.Proto)}
	}
	if resp.StatusCode < minFinalStatus || resp.StatusCode > maxFinalStatus {
		return &MalformedHeadError{fmt.Sprintf("status %q", resp.Status)}
	}
	return nil
}
