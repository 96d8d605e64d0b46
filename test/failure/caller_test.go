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

// client opens a new connection for each request, so that an error cannot come from a
// reused connection that was closed while idle.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// completion is the prompt and the length limit of a completion request.
type completion struct {
	prompt    string
	maxTokens int
}

// Values of completion.maxTokens. The actual length is between half of it and all of
// it, and a token takes 30 ms or more.
const (
	shortAnswer  = 40   // at most 1.2 s
	mediumAnswer = 160  // 2.4 s to 4.8 s
	longAnswer   = 8000 // at least two minutes; no test waits for its end
)

// text returns the expected answer.
func (c completion) text() string { return answer.Text(testbed.Model, "", c.prompt, c.maxTokens) }

// reply is the response to one request, as far as the caller has received it.
type reply struct {
	status         int
	id             string
	header         http.Header
	body           []byte // of a response that is not streamed
	text           string
	tokens         int
	finish         string
	terminalEvents int // error events and "[DONE]" events, or 1 for an error response
	tokensAfterEnd int // tokens after a terminal event
	problem        *frontend.Problem
	err            error // of the connection or of decoding
}

// stream is a streamed completion in progress.
type stream struct {
	r          *harness
	request    completion
	disconnect context.CancelFunc // closes the caller's connection
	done       chan struct{}
	mu         sync.Mutex
	changed    chan struct{}
	reply      reply
}

// startStream requests a streamed completion from a daemon.
func (r *harness) startStream(d *testbed.Daemon, request completion) *stream {
	ctx, cancel := context.WithCancel(r.ctx)
	r.t.Cleanup(cancel)
	s := &stream{r: r, request: request, disconnect: cancel, done: make(chan struct{}), changed: make(chan struct{})}
	go func() {
		defer close(s.done)
		s.run(ctx, d)
	}()
	return s
}

// update changes the reply and wakes the goroutines in awaitTokens.
func (s *stream) update(f func(*reply)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.reply)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) run(ctx context.Context, d *testbed.Daemon) {
	body, _ := json.Marshal(map[string]any{
		"model": testbed.Model, "prompt": s.request.prompt, "max_tokens": s.request.maxTokens, "stream": true,
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
		s.update(func(g *reply) { g.setProblem(raw, err) })
		return
	}
	err = s.read(resp.Body)
	s.update(func(g *reply) { g.err = err })
}

// send sends a request of the team to a daemon.
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

// setProblem decodes the problem in the body of an error response.
func (g *reply) setProblem(raw []byte, err error) {
	g.problem = &frontend.Problem{}
	g.terminalEvents++
	if err == nil {
		err = json.Unmarshal(raw, g.problem)
	}
	g.err = err
}

// read processes server-sent events until the connection ends.
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
			s.update(func(g *reply) { err = g.addEvent(event, value) })
			if err != nil {
				return err
			}
			event = ""
		}
	}
	return lines.Err()
}

// addEvent adds a server-sent event to the reply.
func (g *reply) addEvent(event, data string) error {
	switch {
	case event == "error":
		g.terminalEvents++
		g.problem = &frontend.Problem{}
		return json.Unmarshal([]byte(data), g.problem)
	case data == "[DONE]":
		g.terminalEvents++
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
		return errors.Errorf("a chunk with ID %s in the answer to request %s", chunk.ID, g.id)
	}
	c := chunk.Choices[0]
	if c.Finish != "" {
		g.finish = c.Finish
	}
	if c.Text != "" {
		g.text += c.Text
		g.tokens++
		g.tokensAfterEnd += g.terminalEvents
	}
	return nil
}

// awaitTokens waits until the caller has received n tokens, and fails the test when the
// answer ends first.
func (s *stream) awaitTokens(n int) {
	s.r.t.Helper()
	ctx, cancel := context.WithTimeout(s.r.ctx, waitTimeout)
	defer cancel()
	for {
		s.mu.Lock()
		have, changed := s.reply.tokens, s.changed
		s.mu.Unlock()
		if have >= n {
			return
		}
		select {
		case <-changed:
		case <-s.done:
			s.r.t.Fatalf("the answer ended after %d tokens: %+v", s.reply.tokens, s.reply.problem)
		case <-ctx.Done():
			s.r.t.Fatalf("%d tokens, want %d", have, n)
		}
	}
}

// result waits for the end of the answer and returns the reply.
func (s *stream) result() reply {
	s.r.t.Helper()
	select {
	case <-s.done:
		return s.reply
	case <-s.r.ctx.Done():
		s.r.t.Fatal("the answer never ended")
		return reply{}
	}
}

// checkComplete waits for the end of the answer and checks that the caller got exactly
// the expected answer.
func (s *stream) checkComplete() {
	s.r.t.Helper()
	g := s.result()
	want := s.request.text()
	tokens := answer.AnswerLength(s.request.prompt, s.request.maxTokens)
	finish := answer.FinishReason(tokens, s.request.maxTokens)
	if g.err != nil || g.problem != nil || g.terminalEvents != 1 || g.tokensAfterEnd != 0 || g.text != want || g.finish != finish {
		s.r.t.Errorf("not the complete answer: %s, want %d tokens", g, tokens)
	}
}

// checkCompleteOrFailed waits for the end of the answer and checks that the caller got
// the complete answer, or a prefix of it followed by an error.
func (s *stream) checkCompleteOrFailed() reply {
	s.r.t.Helper()
	g := s.result()
	if g.problem == nil {
		s.checkComplete()
		return g
	}
	switch {
	case g.err != nil || g.terminalEvents != 1 || g.tokensAfterEnd != 0 || g.finish != "":
		s.r.t.Errorf("the failed answer does not end with exactly one error: %s", g)
	case !strings.HasPrefix(s.request.text(), g.text):
		s.r.t.Errorf("the tokens are not a prefix of the expected answer: %s", g)
	case g.tokens > 0 && g.problem.Run != errkind.Ran:
		s.r.t.Errorf("tokens received, but run state %q: %s", g.problem.Run, g)
	}
	return g
}

// checkCutOff waits for the end of an answer whose daemon was killed and checks that the
// caller got a prefix of the expected answer without a terminal event.
func (s *stream) checkCutOff() {
	s.r.t.Helper()
	g := s.result()
	if g.terminalEvents != 0 || g.finish != "" || !strings.HasPrefix(s.request.text(), g.text) {
		s.r.t.Errorf("the killed daemon's caller got a terminal event or wrong tokens: %s", g)
	}
}

// String describes the reply for messages of failing tests.
func (g reply) String() string {
	out := fmt.Sprintf("status %d, %d tokens, finish %q, %d terminal events, error %v", g.status, g.tokens, g.finish, g.terminalEvents, g.err)
	if g.problem != nil {
		out += fmt.Sprintf(", kind %s, run %s: %s", g.problem.Kind, g.problem.Run, g.problem.Detail)
	}
	return out
}

// call sends a request and reads the whole response. An empty key means no
// Idempotency-Key header.
func (r *harness) call(d *testbed.Daemon, method, path, key string, body string) reply {
	return r.callWithContext(r.ctx, d, method, path, key, body)
}

// callWithContext is call with a context that ends when the caller disconnects.
func (r *harness) callWithContext(ctx context.Context, d *testbed.Daemon, method, path, key, body string) reply {
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
		g.setProblem(g.body, nil)
	}
	return g
}

// concurrently runs f for 0 to n-1 at once and returns the replies in that order.
func concurrently(n int, f func(i int) reply) []reply {
	out := make([]reply, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { out[i] = f(i) })
	}
	wg.Wait()
	return out
}

// getJSON sends req and decodes the body of the response, which must have status 200.
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
