package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/standin/answer"
)

// The headers and content types of the daemons' caller API, and a bound on response bodies.
const (
	headerKey           = "Idempotency-Key"
	headerNonIdempotent = "X-Non-Idempotent"
	headerClass         = "X-Class"
	headerDeadline      = "X-Deadline-Ms"
	problemContentType  = "application/problem+json"
	streamContentType   = "text/event-stream"
	maxResponseBytes    = 8 << 20
)

// NewClient returns an HTTP client that keeps up to inflight idle connections to each daemon.
// The only requests that net/http resends on its own are GETs whose reused connection turned
// out to be closed.
func NewClient(inflight int) *http.Client {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: inflight,
		IdleConnTimeout:     30 * time.Second,
	}
	return &http.Client{Transport: t}
}

// sender simulates the callers and the platform's load balancer, which distributes requests over
// the daemons.
type sender struct {
	hc           *http.Client
	targets      []string
	replay       bool
	retry        bool
	timeout      time.Duration
	killed       func(target string) bool
	workload     Workload
	requestCount atomic.Uint64 // for round-robin over targets
}

// completionRequest is the JSON body of POST /v1/completions.
type completionRequest struct {
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
}

// submitRequest is the JSON body of a submit.
type submitRequest struct {
	Key string `json:"key"`
}

// send sends one request, with the caller's retry if Options.Retry is set, and returns its
// result. scheduled is the arrival time from which latencies are measured.
func (c *sender) send(ctx context.Context, s Spec, scheduled time.Time) Result {
	r := c.sendWithReplays(ctx, s, scheduled)
	if !c.retry || r.Outcome != Severed || !s.Kind.IsCompletion() {
		return r
	}
	replays := r.Replays + 1
	r = c.sendWithReplays(ctx, s, scheduled)
	r.Replays += replays
	return r
}

// sendWithReplays sends a request as a load balancer does: first to the next daemon in round-robin
// order and, while that fails and mayReplay allows it, to the others in turn.
func (c *sender) sendWithReplays(ctx context.Context, s Spec, scheduled time.Time) Result {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	callerCtx, cancelCaller := context.WithCancel(ctx)
	defer cancelCaller()
	if s.CancelAfter > 0 {
		timer := time.AfterFunc(s.CancelAfter, cancelCaller)
		defer timer.Stop()
	}
	firstTarget := c.requestCount.Add(1) - 1
	r := Result{Spec: s}
	var transcript Transcript
	for try := range c.targets {
		r.Target = c.targets[(firstTarget+uint64(try))%uint64(len(c.targets))]
		r.Replays = try
		transcript = c.attempt(callerCtx, s, r.Target, newTokenTimer(scheduled, &r))
		if transcript.Err == nil || callerCtx.Err() != nil || !c.mayReplay(transcript) {
			break
		}
	}
	transcript.Cancelled = callerCtx.Err() != nil && ctx.Err() == nil
	r.Total = time.Since(scheduled)
	r.setOutcome(transcript, c.killed)
	return r
}

// mayReplay reports whether the balancer sends a failed request to another daemon. It always does
// so if the connection was refused. If the connection broke before the response, it does so only
// with Options.Replay.
func (c *sender) mayReplay(t Transcript) bool {
	if errors.Is(t.Err, syscall.ECONNREFUSED) {
		return true
	}
	return c.replay && t.Status == 0
}

// setOutcome sets the outcome and the measurements of a request from its transcript.
func (r *Result) setOutcome(t Transcript, killed func(string) bool) {
	r.Outcome, r.Detail = Verify(r.Spec, t)
	if t.Problem != nil {
		r.Kind, r.Run = t.Problem.Kind, t.Problem.Run
	}
	if r.Outcome == Lost && t.Err != nil && t.Problem == nil && killed != nil && killed(r.Target) {
		r.Outcome = Severed
	}
	if !r.Spec.Kind.IsCompletion() {
		r.First, r.FirstMeasured = r.Total, true
		return
	}
	r.Tokens = t.Tokens
	if !r.Spec.Stream {
		r.Tokens = answer.AnswerLength(r.Spec.Prompt, r.Spec.MaxTokens)
	}
	r.measureGaps()
}

// measureGaps computes the mean and the 95th percentile of the gaps between tokens.
func (r *Result) measureGaps() {
	if len(r.gaps) == 0 {
		return
	}
	var sum time.Duration
	for _, g := range r.gaps {
		sum += g
	}
	r.MeanGap = sum / time.Duration(len(r.gaps))
	sorted := slices.Sorted(slices.Values(r.gaps))
	r.GapP95 = sorted[min(len(sorted)*95/100, len(sorted)-1)]
}

// tokenTimer records the arrival times of tokens in a Result.
type tokenTimer struct {
	result    *Result
	scheduled time.Time
	last      time.Time // arrival of the latest token
}

func newTokenTimer(scheduled time.Time, r *Result) *tokenTimer {
	r.gaps, r.FirstMeasured = nil, false
	return &tokenTimer{result: r, scheduled: scheduled}
}

func (t *tokenTimer) recordToken() {
	now := time.Now()
	if t.last.IsZero() {
		t.result.First, t.result.FirstMeasured = now.Sub(t.scheduled), true
	} else {
		t.result.gaps = append(t.result.gaps, now.Sub(t.last))
	}
	t.last = now
}

// attempt sends the request to one daemon and reads the response.
func (c *sender) attempt(ctx context.Context, s Spec, target string, timer *tokenTimer) Transcript {
	t := Transcript{Usage: -1}
	req, err := c.buildRequest(ctx, s, target)
	if err != nil {
		t.Err = err
		return t
	}
	resp, err := c.hc.Do(req)
	if err != nil {
		t.Err = err
		return t
	}
	defer resp.Body.Close()
	t.Status = resp.StatusCode
	t.RetryAfter = resp.Header.Get("Retry-After") != ""
	if strings.HasPrefix(resp.Header.Get("Content-Type"), streamContentType) {
		t.Err = readStream(resp.Body, &t, timer.recordToken)
		return t
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		t.Err = err
		return t
	}
	t.Err = readBody(s, resp, body, &t)
	return t
}

// readBody adds a response that is not streamed to t.
func readBody(s Spec, resp *http.Response, body []byte, t *Transcript) error {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), problemContentType) {
		t.TerminalEvents++
		t.Problem = &Problem{}
		return errors.Wrap(json.Unmarshal(body, t.Problem), "problem body")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d: %.100s", resp.StatusCode, body)
	}
	if !s.Kind.IsCompletion() {
		t.Text = string(body)
		t.TerminalEvents++
		return nil
	}
	var c completionBody
	if err := json.Unmarshal(body, &c); err != nil {
		return errors.Wrap(err, "completion body")
	}
	c.addTo(t)
	t.TerminalEvents++
	return nil
}

// buildRequest returns the HTTP request for s to the daemon with base URL target.
func (c *sender) buildRequest(ctx context.Context, s Spec, target string) (*http.Request, error) {
	method, path, body, err := c.requestContent(s)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, target+path, body)
	if err != nil {
		return nil, err
	}
	if method == http.MethodPost {
		// With GetBody set, net/http would resend a POST with an idempotency key on its own.
		req.GetBody = nil
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("Authorization", "Bearer "+s.Team.Key)
	req.Header.Set(headerClass, string(s.Kind.Class()))
	req.Header.Set(headerDeadline, strconv.FormatInt(c.timeout.Milliseconds(), 10))
	if s.Kind == KindSubmit {
		req.Header.Set(headerKey, s.Key)
		req.Header.Set(headerNonIdempotent, "true")
	}
	return req, nil
}

// requestContent returns the method, the path and the JSON body of the request for s.
func (c *sender) requestContent(s Spec) (method, path string, body io.Reader, err error) {
	service := "/services/" + c.workload.Service
	switch s.Kind {
	case KindLookup:
		return http.MethodGet, service + c.workload.LookupPath + "/" + s.Key, nil, nil
	case KindSubmit:
		body, err = encodeJSON(submitRequest{Key: s.Key})
		return http.MethodPost, service + c.workload.SubmitPath + "/" + s.Key, body, err
	}
	body, err = encodeJSON(completionRequest{
		Model: s.Model, Adapter: s.Adapter, Prompt: s.Prompt, MaxTokens: s.MaxTokens, Stream: s.Stream,
	})
	return http.MethodPost, "/v1/completions", body, err
}

func encodeJSON(v any) (io.Reader, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	return bytes.NewReader(b), nil
}
