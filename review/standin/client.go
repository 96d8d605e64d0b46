package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// result is what a client saw of one client attempt. status is 0 if no answer came.
type result struct {
	id       string
	status   int
	complete bool
	body     string
	header   http.Header
}

// channel is a client with channels of its own that are kept open.
type channel struct{ hc *http.Client }

func newChannel() *channel {
	return &channel{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}}}
}

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// send sends one client attempt and reads its answer.
func (c *channel) send(d *daemon, method, path, body string, deadline time.Duration, header map[string]string) result {
	return c.do(d, method, path, strings.NewReader(body), int64(len(body)), deadline, header)
}

// sendSlowly is send for a body that takes some time to arrive.
func (c *channel) sendSlowly(d *daemon, path, body string, deadline, takes time.Duration, header map[string]string) result {
	return c.do(d, "POST", path, &slowReader{rest: body, pause: takes / 50, piece: len(body)/50 + 1}, int64(len(body)), deadline, header)
}

// slowReader returns a text piece by piece.
type slowReader struct {
	rest  string
	pause time.Duration
	piece int
}

// Read implements io.Reader.
func (r *slowReader) Read(p []byte) (int, error) {
	if r.rest == "" {
		return 0, io.EOF
	}
	time.Sleep(r.pause)
	n := copy(p, r.rest[:min(r.piece, len(r.rest))])
	r.rest = r.rest[n:]
	return n, nil
}

func (c *channel) do(d *daemon, method, path string, body io.Reader, length int64, deadline time.Duration, header map[string]string) result {
	out := result{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers, body)
	if err != nil {
		skip("%v", err)
	}
	req.GetBody = nil
	req.ContentLength = length
	req.URL = target(d.callers, path)
	req.Host = host
	req.Header.Set("Attempt-Id", out.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	note("send     %s %s %s to %s", out.id, method, path, d.name)
	resp, err := c.hc.Do(req)
	if err != nil {
		note("failed   %s: %v", out.id, err)
		return out
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	out.status, out.complete, out.body, out.header = resp.StatusCode, err == nil, string(raw), resp.Header
	note("answer   %s %d complete=%t seal=%q %d bytes", out.id, out.status, out.complete, resp.Header.Get("Server-Seal"), len(raw))
	return out
}

// promises reports whether a status promises that the request has not run and never will.
func promises(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// target returns the URL of a request with a path, which is sent as it is written.
func target(address, path string) *url.URL {
	plain, escaped := path, path
	if p, err := url.PathUnescape(path); err == nil {
		plain = p
	}
	return &url.URL{Scheme: "http", Host: address, Path: plain, RawPath: escaped}
}
