package site

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// NewRequest returns a client's request to a daemon, with the headers of the
// platform's protocol. Its body cannot be rewound, so that net/http does not retry
// the request by itself.
func NewRequest(ctx context.Context, daemon, path, id string, deadline time.Duration) (*http.Request, error) {
	body := "body of " + id
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Host = Host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Token-Count", "100,50")
	return req, nil
}

// Seal returns the Server-Seal header of a response, by which the upstream
// identifies itself; it is empty if there is none.
func Seal(h http.Header) string { return h.Get("Server-Seal") }

// Ready reports whether a daemon passes the readiness check of the platform's load
// balancer.
func Ready(hc *http.Client, daemon string) bool {
	resp, err := hc.Get("http://" + daemon + "/corianderturn/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // so that the connection is reused; the body is empty
	return resp.StatusCode == http.StatusOK
}
