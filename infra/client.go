package infra

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/httpsem"
)

// MaxReply is the maximum size of a JSON response, in bytes, so that an endless
// response cannot exhaust the memory. The response to a read of 256 log records that
// each hold a bundle chunk of the maximum size is smaller.
const MaxReply = 64 << 20

// maxErrorBodyBytes is the maximum length of the part of an error response's body that
// is included in the error message.
const maxErrorBodyBytes = 512

// maxDrainBytes is the maximum number of bytes of a response body that are read and
// discarded so that the connection can be reused.
const maxDrainBytes = 64 << 10

// client sends requests to one service. The exported clients are built on it.
type client struct {
	baseURL    string
	httpClient *http.Client
}

func newClient(baseURL string, hc *http.Client) client {
	if hc == nil {
		hc = http.DefaultClient
	}
	return client{baseURL: strings.TrimRight(baseURL, "/"), httpClient: hc}
}

// response is the HTTP status and body of a response. The body has at most MaxReply
// bytes.
type response struct {
	status int
	body   []byte
}

// do sends a request and reads the whole response. An error is of type *Error.
func (c client) do(ctx context.Context, op, method, path string, body any) (response, error) {
	req, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return response{}, &Error{Op: op, Effect: EffectNone, cause: err}
	}
	// net/http retries a POST on its own only if no byte of it was written, so that
	// a call appends at most once. The request must not have an Idempotency-Key
	// header: net/http would then also retry after bytes were written, and records
	// could be appended to the log twice although no caller repeated the append.
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return response{}, &Error{Op: op, Effect: transportEffect(err), cause: err}
	}
	defer drainAndClose(resp.Body)
	if err := httpsem.CheckResponse(resp); err != nil {
		return response{}, &Error{Op: op, Effect: EffectUnknown, cause: err}
	}
	respBody, err := readLimited(resp.Body, MaxReply)
	if err != nil {
		return response{}, &Error{Op: op, Effect: bodyErrorEffect(resp.StatusCode), Status: resp.StatusCode, cause: err}
	}
	return response{status: resp.StatusCode, body: respBody}, nil
}

// bodyErrorEffect returns the effect of a call whose response status was received but
// whose body could not be read.
func bodyErrorEffect(status int) Effect {
	if status < http.StatusBadRequest {
		return EffectUnknown
	}
	return statusEffect(status)
}

// newRequest returns a request with body encoded as JSON, or without a body if it is
// nil.
func (c client) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("Accept", "application/json")
	return req, nil
}

// refusalError returns the error for a response whose status is not a success.
func refusalError(op string, resp response) error {
	text := resp.body
	if len(text) > maxErrorBodyBytes {
		text = text[:maxErrorBodyBytes]
	}
	return &Error{Op: op, Effect: statusEffect(resp.status), Status: resp.status, cause: errors.Errorf("refused: %q", text)}
}

// decodeResponse decodes the JSON body of a successful response into out.
func decodeResponse(op string, resp response, out any) error {
	if err := json.Unmarshal(resp.body, out); err != nil {
		return &Error{Op: op, Effect: EffectUnknown, Status: resp.status, cause: errors.Wrap(err, "decode response")}
	}
	return nil
}

// readLimited reads r to its end and fails if it has more than limit bytes.
func readLimited(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if int64(len(data)) > limit {
		return nil, errors.Errorf("response exceeds %d bytes", limit)
	}
	return data, nil
}

// drainAndClose discards up to maxDrainBytes of the unread body, so that the connection
// can be reused, and closes the body.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	_ = body.Close()
}
