package failure

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/frontend"
	"github.com/corianderturn/corianderturn/internal/standin/answer"
	"github.com/corianderturn/corianderturn/internal/testbed"
)

// client opens a connection for each call, so that a daemon's end cannot be
// mistaken for that of a kept connection.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// draft is one completion to ask for.
type draft struct {
	prompt    string
	maxTokens int
}

// The lengths of drafts, at 30 ms a token or more.
const (
	shortAnswer = 40   // at most 1.2 s
	fairAnswer  = 160  // 2.4 s to 4.8 s
	longAnswer  = 8000 // two minutes at least: no test waits for its end
)

func (d draft) text() string { return answer.Text(testbed.Model, "", d.prompt, d.maxTokens) }

// reply is what a caller got for one request.
type reply struct {
	status  int
	id      string
	header  http.Header
	body    []byte // of an answer that is not streamed
	text    string
	tokens  int
	finish  string
	ends    int // terminal events
	after   int // tokens after a terminal event
	problem *frontend.Problem
	err     error // of the connection
}

// stream is a streamed completion on its way.
type stream struct {
	r       *rig
	draft   draft
	leave   context.CancelFunc // the caller goes away
	done    chan struct{}
	mu      sync.Mutex
	changed chan struct{}
	got     reply
}

// stream asks a daemon for a streamed completion.
func (r *rig) stream(d *testbed.Daemon, what draft) *stream {
	ctx, cancel := context.WithCancel(r.ctx)
	r.t.Cleanup(cancel)
	s := &stream{r: r, draft: what, leave: cancel, done: make(chan struct{}), changed: make(chan struct{})}
	go func() {
		defer close(s.done)
		s.run(ctx, d)
	}()
	return s
}

func (s *stream) update(f func(*reply)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.got)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) run(ctx context.Context, d *testbed.Daemon) {
	body, _ := json.Marshal(map[string]any{
		"model": testbed.Model, "prompt": s.draft.prompt, "max_tokens": s.draft.maxTokens, "stream": true,
	})
	resp, err := send(ctx, d, http.MethodPost, "/v1/completions", body, nil)
	if err != nil {
		s.update(func(g *reply) { g.err = err })
		return
	}
	defer resp.Body.Close()
	s.update(func(g *reply) {
		g.status, g.id, g.header = resp.StatusCode, resp.Header.Get("X-Request-Id"), resp.Header
	})
	if resp.StatusCode != http.StatusOK {
		raw, err := io.ReadAll(resp.Body)
		s.update(func(g *reply) { g.refused(raw, err) })
		return
	}
	err = s.read(resp.Body)
	s.update(func(g *reply) { g.err = err })
}

func send(ctx context.Context, d *testbed.Daemon, method, path string, body []byte, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.CallersAddress+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+testbed.TeamKey)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return client.Do(req)
}

func (g *reply) refused(raw []byte, err error) {
	g.problem = &frontend.Problem{}
	g.ends++
	if err == nil {
		err = json.Unmarshal(raw, g.problem)
	}
	g.err = err
}

// read takes server-sent events until the connection ends.
func (s *stream) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	event := ""
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "event":
			event = value
		case "data":
			var err error
			s.update(func(g *reply) { err = g.take(event, value) })
			if err != nil {
				return err
			}
			event = ""
		}
	}
	return lines.Err()
}

func (g *reply) take(event, data string) error {
	switch {
	case event == "error":
		g.ends++
		g.problem = &frontend.Problem{}
		return json.Unmarshal([]byte(data), g.problem)
	case data == "[DONE]":
		g.ends++
		return nil
	}
	var chunk struct {
		ID      string `json:"id"`
		Choices []struct {
			Text   string `json:"text"`
			Finish string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return err
	}
	if chunk.ID != "cmpl-"+g.id || len(chunk.Choices) != 1 {
		return errors.Errorf("a chunk of %s in the answer to %s", chunk.ID, g.id)
	}
	c := chunk.Choices[0]
	if c.Finish != "" {
		g.finish = c.Finish
	}
	if c.Text != "" {
		g.text += c.Text
		g.tokens++
		g.after += g.ends
	}
	return nil
}

// await waits until the caller has n tokens or its answer has ended.
func (s *stream) await(n int) {
	s.r.t.Helper()
	ctx, cancel := context.WithTimeout(s.r.ctx, bound)
	defer cancel()
	for {
		s.mu.Lock()
		have, changed := s.got.tokens, s.changed
		s.mu.Unlock()
		if have >= n {
			return
		}
		select {
		case <-changed:
		case <-s.done:
			s.r.t.Fatalf("the answer ended after %d tokens: %+v", s.got.tokens, s.got.problem)
		case <-ctx.Done():
			s.r.t.Fatalf("%d tokens, want %d", have, n)
		}
	}
}

// result waits for the end of the answer.
func (s *stream) result() reply {
	s.r.t.Helper()
	select {
	case <-s.done:
		return s.got
	case <-s.r.ctx.Done():
		s.r.t.Fatal("the answer never ended")
		return reply{}
	}
}

// whole checks that the caller got the whole answer to its own request, once.
func (s *stream) whole() {
	s.r.t.Helper()
	g := s.result()
	want := s.draft.text()
	tokens := answer.AnswerLength(s.draft.prompt, s.draft.maxTokens)
	finish := answer.FinishReason(tokens, s.draft.maxTokens)
	if g.err != nil || g.problem != nil || g.ends != 1 || g.after != 0 || g.text != want || g.finish != finish {
		s.r.t.Errorf("not the whole answer: %s, want %d tokens", g, tokens)
	}
}

// honest checks that the caller got the whole answer, or a part of its own
// answer and then an error that says so: never a clean end of anything else.
func (s *stream) honest() reply {
	s.r.t.Helper()
	g := s.result()
	if g.problem == nil {
		s.whole()
		return g
	}
	switch {
	case g.err != nil || g.ends != 1 || g.after != 0 || g.finish != "":
		s.r.t.Errorf("not one honest end: %s", g)
	case !strings.HasPrefix(s.draft.text(), g.text):
		s.r.t.Errorf("a part of something else: %s", g)
	case g.tokens > 0 && g.problem.Run != errkind.Ran:
		s.r.t.Errorf("tokens came, yet run is %q: %s", g.problem.Run, g)
	}
	return g
}

// severed checks an answer whose daemon died: a part of the caller's own answer
// and no end that looks whole.
func (s *stream) severed() {
	s.r.t.Helper()
	g := s.result()
	if g.ends != 0 || g.finish != "" || !strings.HasPrefix(s.draft.text(), g.text) {
		s.r.t.Errorf("the killed daemon's caller saw an end: %s", g)
	}
}

// String describes a reply for a failed check.
func (g reply) String() string {
	out := fmt.Sprintf("status %d, %d tokens, finish %q, %d ends, error %v", g.status, g.tokens, g.finish, g.ends, g.err)
	if g.problem != nil {
		out += fmt.Sprintf(", kind %s, run %s: %s", g.problem.Kind, g.problem.Run, g.problem.Detail)
	}
	return out
}

// call sends a plain request and reads the whole answer.
func (r *rig) call(d *testbed.Daemon, method, path, key string, body string) reply {
	return r.callCtx(r.ctx, d, method, path, key, body)
}

func (r *rig) callCtx(ctx context.Context, d *testbed.Daemon, method, path, key, body string) reply {
	header := map[string]string{}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	resp, err := send(ctx, d, method, path, []byte(body), header)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	g := reply{status: resp.StatusCode, id: resp.Header.Get("X-Request-Id"), header: resp.Header}
	g.body, g.err = io.ReadAll(resp.Body)
	if g.err == nil && resp.Header.Get("Content-Type") == "application/problem+json" {
		g.refused(g.body, nil)
	}
	return g
}

// calls runs f n times at once and returns the replies.
func calls(n int, f func(i int) reply) []reply {
	out := make([]reply, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { out[i] = f(i) })
	}
	wg.Wait()
	return out
}

func getJSON(req *http.Request, out any) error {
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d: %s", req.URL, resp.StatusCode, raw)
	}
	return json.Unmarshal(raw, out)
}
