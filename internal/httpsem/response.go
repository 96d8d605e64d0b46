package httpsem

import (
	"bytes"
	"fmt"
	"net/http"
	"regexp"

	"golang.org/x/net/http/httpguts"
)

// MalformedHeadError means that the head of a response is not valid in HTTP/1 (RFC 9112), although net/http accepts it.
type MalformedHeadError struct{ Detail string }

// Error implements error.
func (e *MalformedHeadError) Error() string { return "the response is malformed: " + e.Detail }

// The statuses of final responses (RFC 9110, 15). 101 is not one of them: no daemon asks for another protocol.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// CheckResponse returns a *MalformedHeadError if net/http has accepted a final response that is not valid: with a status
// outside of 200 to 599, a version that its connection does not speak, or a field name that is not a token.
func CheckResponse(resp *http.Response) error {
	if !hasSpokenVersion(resp) {
		return &MalformedHeadError{fmt.Sprintf("version %q", resp.Proto)}
	}
	if resp.StatusCode < minFinalStatus || resp.StatusCode > maxFinalStatus {
		return &MalformedHeadError{fmt.Sprintf("status %q", resp.Status)}
	}
	return CheckFieldNames(resp.Header)
}

// hasSpokenVersion reports whether a response has the major version that its connection speaks: HTTP/1, or HTTP/2 if TLS
// has negotiated it. A response without a version was not read from a connection.
func hasSpokenVersion(resp *http.Response) bool {
	if resp.TLS != nil && resp.TLS.NegotiatedProtocol == "h2" {
		return resp.ProtoMajor == 2
	}
	return resp.ProtoMajor == 1 || resp.Proto == ""
}

// CheckFieldNames returns a *MalformedHeadError if the name of a field is not a token. net/http accepts names with spaces: a
// length or encoding with a space before its colon is then a field like any other, and the body is framed wrongly.
func CheckFieldNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &MalformedHeadError{fmt.Sprintf("field name %q", name)}
		}
	}
	return nil
}

var (
	headEnd          = regexp.MustCompile(`\n\r?\n`)
	transferEncoding = regexp.MustCompile(`(?im)^transfer-encoding[ \t]*:`)
)

// EndsHead reports whether bytes of a head contain the empty line that ends it.
func EndsHead(raw []byte) bool { return headEnd.Match(raw) }

// CheckHTTP10 returns a *MalformedHeadError if a response in HTTP/1.0 has a Transfer-Encoding. net/http drops the field and
// takes the chunks for the body, so that only the bytes of the head show it. What follows the head is ignored.
func CheckHTTP10(raw []byte) error {
	if end := headEnd.FindIndex(raw); end != nil {
		raw = raw[:end[0]]
	}
	if bytes.HasPrefix(raw, []byte("HTTP/1.0 ")) && transferEncoding.Match(raw) {
		return &MalformedHeadError{"Transfer-Encoding in HTTP/1.0"}
	}
	return nil
}
