package infra

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// MaxReply bounds a JSON answer, in bytes. A log read of 256 records of a full
// bundle chunk stays below it; an endless answer must not fill the memory.
const MaxReply = 64 << 20

// maxErrorBody bounds how much of a refusal's body is kept for the error text, in bytes.
const maxErrorBody = 512

// maxDrain bounds how much of an unread body is read so that the connection
// can be used again, in bytes.
const maxDrain = 64 << 10

// client is what the clients share: the base URL and the HTTP client.
type client struct {
	base string
	http *http.Client
}

func newClient(baseURL string, hc *http.Client) client {
	if hc == nil {
		hc = http.DefaultClient
	}
	return client{base: strings.TrimRight(baseURL, "/"), http: hc}
}

// answer is a status and a body of bounded size.
type answer struct {
	status int
	body   []byte
}

// do sends one call and reads its whole answer. Its error is a *Error.
func (c client) do(ctx context.Context, op, method, path string, body any) (answer, error) {
	req, err := c.request(ctx, method, path, body)
	if err != nil {
		return answer{}, &Error{Op: op, Effect: EffectNone, cause: err}
	}
	// net/http sends a POST again by itself only when not a byte of it was
	// written, so that one call is one append at most. No Idempotency-Key header
	// may be set here: it would allow net/http more, and one would notice records
	// that stand twice on the log though nobody repeated an append.
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, &Error{Op: op, Effect: transportEffect(err), cause: err}
	}
	defer closeBody(resp.Body)
	data, err := readBounded(resp.Body, MaxReply)
	if err != nil {
		return answer{}, &Error{Op: op, Effect: lostBodyEffect(resp.StatusCode), Status: resp.StatusCode, cause: err}
	}
	return answer{status: resp.StatusCode, body: data}, nil
}

// lostBodyEffect classifies an answer whose status came but whose body did not.
func lostBodyEffect(status int) Effect {
	if status < http.StatusBadRequest {
		return EffectUnknown
	}
	return statusEffect(status)
}

func (c client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("Accept", "application/json")
	return req, nil
}

// refused turns an answer that is not a success into an error.
func refused(op string, a answer) error {
	text := a.body
	if len(text) > maxErrorBody {
		text = text[:maxErrorBody]
	}
	return &Error{Op: op, Effect: statusEffect(a.status), Status: a.status, cause: errors.Errorf("refused: %q", text)}
}

// decode reads a success answer into out.
func decode(op string, a answer, out any) error {
	if err := json.Unmarshal(a.body, out); err != nil {
		return &Error{Op: op, Effect: EffectUnknown, Status: a.status, cause: errors.Wrap(err, "decode answer")}
	}
	return nil
}

func readBounded(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if int64(len(data)) > limit {
		return nil, errors.Errorf("answer exceeds %d bytes", limit)
	}
	return data, nil
}

// closeBody reads a little of what is left, so that the connection can be
// used again, and closes the body.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrain)
	_ = body.Close()
}
