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

// The headers of the callers' interface.
const (
	headerKey           = "Idempotency-Key"
	headerNonIdempotent = "X-Non-Idempotent"
	headerClass         = "X-Class"
	headerDeadline      = "X-Deadline-Ms"
	problemType         = "application/problem+json"
	streamType          = "text/event-stream"
	maxAnswer           = 8 << 20
)

// NewClient returns an HTTP client for at most inflight requests at once.
// Nothing in it repeats a request on its own, apart from bodiless GETs on a
// kept connection that turned out to be closed.
func NewClient(inflight int) *http.Client {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: inflight,
		IdleConnTimeout:     30 * time.Second,
	}
	return &http.Client{Transport: t}
}

// sender plays the callers and the platform's balancer.
type sender struct {
	hc      *http.Client
	targets []string
	replay  bool
	retry   bool
	timeout time.Duration
	killed  func(target string) bool
	w       Workload
	next    atomic.Uint64
}

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
}

// submitRequest is the body of a non-idempotent call.
type submitRequest struct {
	Key string `json:"key"`
}

// send runs one request to its end, with the caller's own retry. scheduled is
// its arrival.
func (c *sender) send(ctx context.Context, s Spec, scheduled time.Time) Result {
	r := c.sendOnce(ctx, s, scheduled)
	if !c.retry || r.Outcome != Severed || !s.Kind.Completion() {
		return r
	}
	replays := r.Replays + 1
	r = c.sendOnce(ctx, s, scheduled)
	r.Replays += replays
	return r
}

func (c *sender) sendOnce(ctx context.Context, s Spec, scheduled time.Time) Result {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	caller, leave := context.WithCancel(ctx)
	defer leave()
	if s.CancelAfter > 0 {
		timer := time.AfterFunc(s.CancelAfter, leave)
		defer timer.Stop()
	}
	start := c.next.Add(1) - 1
	r := Result{Spec: s}
	var tr Transcript
	for try := range c.targets {
		r.Target = c.targets[(start+uint64(try))%uint64(len(c.targets))]
		r.Replays = try
		tr = c.attempt(caller, s, r.Target, newWatch(scheduled, &r))
		if tr.Err == nil || caller.Err() != nil || !c.mayReplay(tr) {
			break
		}
	}
	tr.Gone = caller.Err() != nil && ctx.Err() == nil
	r.Total = time.Since(scheduled)
	r.finish(tr, c.killed)
	return r
}

// mayReplay says whether a balancer would send the request elsewhere: always
// when no connection was made, and by configuration when the connection broke
// before any of the answer.
func (c *sender) mayReplay(t Transcript) bool {
	if errors.Is(t.Err, syscall.ECONNREFUSED) {
		return true
	}
	return c.replay && t.Status == 0
}

func (r *Result) finish(t Transcript, killed func(string) bool) {
	r.Outcome, r.Detail = Verify(r.Spec, t)
	if t.Problem != nil {
		r.Kind, r.Run = t.Problem.Kind, t.Problem.Run
	}
	if r.Outcome == Lost && t.Err != nil && t.Problem == nil && killed != nil && killed(r.Target) {
		r.Outcome = Severed
	}
	if !r.Spec.Kind.Completion() {
		r.First, r.Seen = r.Total, true
		return
	}
	r.Tokens = t.Tokens
	if !r.Spec.Stream {
		r.Tokens = answer.AnswerLength(r.Spec.Prompt, r.Spec.MaxTokens)
	}
	r.measureGaps()
}

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
	r.Gap95 = sorted[min(len(sorted)*95/100, len(sorted)-1)]
}

// watch notes when tokens arrive.
type watch struct {
	r         *Result
	scheduled time.Time
	last      time.Time
}

func newWatch(scheduled time.Time, r *Result) *watch {
	r.gaps, r.Seen = nil, false
	return &watch{r: r, scheduled: scheduled}
}

func (w *watch) token() {
	now := time.Now()
	if w.last.IsZero() {
		w.r.First, w.r.Seen = now.Sub(w.scheduled), true
	} else {
		w.r.gaps = append(w.r.gaps, now.Sub(w.last))
	}
	w.last = now
}

func (c *sender) attempt(ctx context.Context, s Spec, target string, w *watch) Transcript {
	t := Transcript{Usage: -1}
	req, err := c.build(ctx, s, target)
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
	if strings.HasPrefix(resp.Header.Get("Content-Type"), streamType) {
		t.Err = readStream(resp.Body, &t, w.token)
		return t
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		t.Err = err
		return t
	}
	t.Err = readBody(s, resp, body, &t)
	return t
}

func readBody(s Spec, resp *http.Response, body []byte, t *Transcript) error {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), problemType) {
		t.Terminals++
		t.Problem = &Problem{}
		return errors.Wrap(json.Unmarshal(body, t.Problem), "problem body")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d: %.100s", resp.StatusCode, body)
	}
	if !s.Kind.Completion() {
		t.Text = string(body)
		t.Terminals++
		return nil
	}
	var c completionBody
	if err := json.Unmarshal(body, &c); err != nil {
		return errors.Wrap(err, "completion body")
	}
	c.read(t)
	t.Terminals++
	return nil
}

func (c *sender) build(ctx context.Context, s Spec, target string) (*http.Request, error) {
	method, path, body, err := c.content(s)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, target+path, body)
	if err != nil {
		return nil, err
	}
	if method == http.MethodPost {
		// No GetBody: the transport repeats a keyed POST on its own when it can.
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

func (c *sender) content(s Spec) (method, path string, body io.Reader, err error) {
	service := "/services/" + c.w.Service
	switch s.Kind {
	case KindLookup:
		return http.MethodGet, service + c.w.LookupPath + "/" + s.Key, nil, nil
	case KindSubmit:
		body, err = encode(submitRequest{Key: s.Key})
		return http.MethodPost, service + c.w.SubmitPath + "/" + s.Key, body, err
	}
	body, err = encode(completionRequest{
		Model: s.Model, Adapter: s.Adapter, Prompt: s.Prompt, MaxTokens: s.MaxTokens, Stream: s.Stream,
	})
	return http.MethodPost, "/v1/completions", body, err
}

func encode(v any) (io.Reader, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	return bytes.NewReader(b), nil
}
