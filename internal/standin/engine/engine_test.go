package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/internal/standin/answer"
	"github.com/corianderturn/corianderturn/internal/standin/weights"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout is much longer than any wait in these tests takes.
const waitTimeout = 30 * time.Second

// server is an engine behind an HTTP server on loopback.
type server struct {
	*Engine
	addr string
	url  string
}

func newServer(t *testing.T, role string) server {
	t.Helper()
	cfg := DefaultConfig()
	cfg.Role, cfg.TimeScale, cfg.PrefillTTL, cfg.Linger = role, 200, waitTimeout, waitTimeout
	e, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		e.Close()
		http.DefaultClient.CloseIdleConnections()
		srv.Close()
	})
	return server{Engine: e, addr: srv.Listener.Addr().String(), url: srv.URL}
}

func post(t *testing.T, url string, body any) (*http.Response, error) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return http.Post(url, "application/json", bytes.NewReader(data))
}

func mustPost(t *testing.T, url string, body any) {
	t.Helper()
	resp, err := post(t, url, body)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if data, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: status %d: %s", url, resp.StatusCode, data)
	}
}

// readChunks reads up to limit chunks. Its error is nil at the limit and io.EOF
// if the stream ends without a connection error.
func readChunks(body io.Reader, limit int) ([]engineapi.Chunk, error) {
	var out []engineapi.Chunk
	lines := bufio.NewReader(body)
	for len(out) < limit {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return out, err
		}
		var c engineapi.Chunk
		if err := json.Unmarshal(line, &c); err != nil {
			return out, err
		}
		out = append(out, c)
	}
	return out, nil
}

// tokenTexts returns the tokens of the chunks. It fails the test unless their
// indexes are consecutive and begin with from.
func tokenTexts(t *testing.T, chunks []engineapi.Chunk, from int) []string {
	t.Helper()
	var out []string
	for _, c := range chunks {
		if c.Imported || c.Done {
			continue
		}
		if c.Index != from+len(out) {
			t.Fatalf("chunk has index %d, want %d", c.Index, from+len(out))
		}
		out = append(out, c.Text)
	}
	return out
}

func openDecode(t *testing.T, d server, req engineapi.DecodeRequest) *http.Response {
	t.Helper()
	resp, err := post(t, d.url+engineapi.PathDecode, req)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("decode: %v %v", resp, err)
	}
	return resp
}

// Guards against tokens that depend on the connection or on the attempt, which
// would give a client an answer with missing, repeated or wrong tokens. The test
// closes the stream's connection and reads the stream again from the next index,
// then crashes the engine and continues with a second attempt, whose prefill
// includes the tokens delivered so far.
func TestResumeAndRepeatedPrefillGiveSameAnswer(t *testing.T) {
	pre, dec := newServer(t, RolePrefill), newServer(t, RoleDecode)
	const maxTokens = 200
	total := answer.AnswerLength(prompt, maxTokens)
	first := engineapi.WorkID{RequestID: "r", Attempt: 1}
	mustPost(t, dec.url+engineapi.PathReserve, engineapi.ReserveRequest{WorkID: first, Owner: owner, Model: "m"})
	mustPost(t, pre.url+engineapi.PathPrefill, engineapi.PrefillRequest{WorkID: first, Owner: owner, Model: "m", Prompt: prompt})
	resp := openDecode(t, dec, engineapi.DecodeRequest{WorkID: first, Owner: owner, Model: "m", Source: pre.addr, MaxTokens: maxTokens})
	chunks, _ := readChunks(resp.Body, 11)
	resp.Body.Close()
	got := tokenTexts(t, chunks, 0)

	resp, err := http.Get(fmt.Sprintf("%s%s?request=r&attempt=1&from=%d", dec.url, engineapi.PathStream, len(got)))
	if err != nil {
		t.Fatal(err)
	}
	chunks, _ = readChunks(resp.Body, 11)
	got = append(got, tokenTexts(t, chunks, len(got))...)
	dec.Crash()
	if _, err := readChunks(resp.Body, 10*maxTokens); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("a crash ended the stream with %v, want a connection error", err)
	}
	resp.Body.Close()

	second := engineapi.WorkID{RequestID: "r", Attempt: 2}
	mustPost(t, pre.url+engineapi.PathPrefill, engineapi.PrefillRequest{WorkID: second, Owner: owner, Model: "m", Prompt: prompt, Generated: got})
	resp = openDecode(t, dec, engineapi.DecodeRequest{WorkID: second, Owner: owner, Model: "m", Source: pre.addr, MaxTokens: maxTokens, FromIndex: len(got)})
	defer resp.Body.Close()
	chunks, err = readChunks(resp.Body, 10*maxTokens)
	if !errors.Is(err, io.EOF) {
		t.Fatalf("end of stream: %v", err)
	}
	got = append(got, tokenTexts(t, chunks, len(got))...)
	if diff := cmp.Diff(answer.Text("m", "", prompt, maxTokens), strings.Join(got, "")); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	last := chunks[len(chunks)-1]
	if !last.Done || last.Tokens != total || last.FinishReason != answer.FinishReason(total, maxTokens) {
		t.Errorf("last chunk: %+v, want %d tokens", last, total)
	}
	if s := dec.Stats(); s.Held != 1 || s.SlotsUsed != 0 {
		t.Errorf("after the stream finished: %d decodes held and %d slots used; want 1 and 0", s.Held, s.SlotsUsed)
	}
}

// Guards against an engine that checks only the number of the generated tokens
// in a prefill request. Then a context with wrong tokens would not be noticed.
func TestWrongContextChangesAnswer(t *testing.T) {
	req := engineapi.PrefillRequest{Model: "m", Prompt: prompt}
	right := req
	right.Generated = []string{answer.Token("m", "", prompt, 0)}
	wrong := req
	wrong.Generated = []string{"?"}
	if contextHash(right) != answer.HashPrompt(prompt) || contextHash(wrong) == answer.HashPrompt(prompt) {
		t.Error("the answer does not depend on the generated tokens in the context")
	}
}

func TestStreamFaults(t *testing.T) {
	const maxTokens = 40
	cases := []struct {
		name   string
		faults Faults
		broken func(chunks []engineapi.Chunk, err error) bool
	}{
		{"none", Faults{}, func(c []engineapi.Chunk, err error) bool { return errors.Is(err, io.EOF) && isWholeAnswer(c) }},
		{"cut", Faults{CutAfter: 5}, func(c []engineapi.Chunk, err error) bool { return !errors.Is(err, io.EOF) && len(c) == 5 }},
		{"crossed", Faults{Garble: CorruptOtherRequest, GarbleAfter: 5}, func(c []engineapi.Chunk, _ error) bool { return c[6].RequestID != "r" && c[4].RequestID == "r" }},
		{"older", Faults{Garble: CorruptOlderAttempt, GarbleAfter: 5}, func(c []engineapi.Chunk, _ error) bool { return c[6].Attempt == 0 }},
		{"repeated", Faults{Garble: CorruptRepeated, GarbleAfter: 5}, func(c []engineapi.Chunk, _ error) bool { return c[5].Index == c[6].Index }},
		{"reordered", Faults{Garble: CorruptReordered, GarbleAfter: 5}, func(c []engineapi.Chunk, _ error) bool { return c[5].Index == c[6].Index+1 }},
		{"truncated", Faults{Garble: CorruptTruncated}, func(c []engineapi.Chunk, err error) bool { return errors.Is(err, io.EOF) && !c[len(c)-1].Done }},
		{"skipped", Faults{Garble: CorruptSkipped, GarbleAfter: 5}, func(c []engineapi.Chunk, err error) bool { return errors.Is(err, io.EOF) && !isWholeAnswer(c) }},
		{"bytes", Faults{Garble: CorruptBytes, GarbleAfter: 5}, func(c []engineapi.Chunk, err error) bool { return !errors.Is(err, io.EOF) && len(c) == 5 }},
		{"export cut", Faults{}, func(c []engineapi.Chunk, _ error) bool { return len(c) == 1 && c[0].Error != "" && !c[0].Done }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			pre, dec := newServer(t, RolePrefill), newServer(t, RoleDecode)
			work := engineapi.WorkID{RequestID: "r", Attempt: 1}
			mustPost(t, pre.url+engineapi.PathPrefill, engineapi.PrefillRequest{WorkID: work, Owner: owner, Model: "m", Prompt: prompt})
			dec.SetFaults(tc.faults, 1)
			pre.SetFaults(Faults{CutExport: tc.name == "export cut"}, 0)
			resp := openDecode(t, dec, engineapi.DecodeRequest{WorkID: work, Owner: owner, Model: "m", Source: pre.addr, MaxTokens: maxTokens})
			defer resp.Body.Close()
			chunks, err := readChunks(resp.Body, 10*maxTokens)
			if !tc.broken(chunks, err) {
				t.Errorf("%d chunks, then %v: %+v", len(chunks), err, chunks)
			}
		})
	}
}

// isWholeAnswer reports whether chunks are the complete answer to prompt with 40
// tokens at most.
func isWholeAnswer(chunks []engineapi.Chunk) bool {
	text := ""
	for _, c := range chunks {
		text += c.Text
	}
	return text == answer.Text("m", "", prompt, 40) && chunks[len(chunks)-1].Done
}

// Guards against a router that gives up on a cancel whose reply is lost. The
// cancel has taken effect, so a repeated cancel must be acknowledged too.
func TestLostCancelReply(t *testing.T) {
	dec := newServer(t, RoleDecode)
	mustPost(t, dec.url+engineapi.PathReserve, reserveRequest(1))
	dec.SetFaults(Faults{LoseCancel: true}, 1)
	req := engineapi.CancelRequest{WorkID: workID(1)}
	if resp, err := post(t, dec.url+engineapi.PathCancel, req); err == nil {
		resp.Body.Close()
		t.Fatal("the reply was not lost")
	}
	if held := dec.Stats().Held; held != 0 {
		t.Errorf("%d reservations held after the cancel took effect, want 0", held)
	}
	mustPost(t, dec.url+engineapi.PathCancel, req)
}

func TestControlAPI(t *testing.T) {
	dec := newServer(t, RoleDecode)
	control := httptest.NewServer(dec.Control())
	defer control.Close()
	before := dec.Stats().Incarnation
	mustPost(t, control.URL+"/faults", map[string]any{"faults": Faults{Leaving: true}})
	resp, err := post(t, dec.url+engineapi.PathReserve, reserveRequest(1))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var ref engineapi.Refusal
	if err := json.NewDecoder(resp.Body).Decode(&ref); err != nil || !ref.Leaving || !ref.Load.Leaving {
		t.Errorf("refusal of a leaving engine: %+v %v", ref, err)
	}
	for _, path := range []string{"/reset", "/crash"} {
		resp, err := post(t, control.URL+path, nil)
		if err != nil || resp.StatusCode != http.StatusNoContent {
			t.Fatalf("%s: %v %v", path, resp, err)
		}
		resp.Body.Close()
	}
	mustPost(t, dec.url+engineapi.PathReserve, reserveRequest(1))
	if dec.Stats().Incarnation == before {
		t.Error("the crash did not change the incarnation")
	}
}

// Guards against an order that is never applied. The engine drops an order whose
// weights cannot be fetched while the weight store is down, so it must accept and
// apply the same order when it is sent again.
func TestOrderFetchesWeights(t *testing.T) {
	store := weights.New(weights.Config{Rate: 1e9, Size: 1000})
	defer store.Close()
	srv := httptest.NewServer(store.Handler())
	defer srv.Close()
	cfg := DefaultConfig()
	cfg.TimeScale, cfg.WeightStore = 1000, srv.URL
	e, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	order := engineapi.Order{Kind: engineapi.OrderLoadAdapter, Model: "m", Adapter: "a", Version: "2"}
	for _, down := range []bool{true, false} {
		store.SetFaults(weights.Faults{Down: down}, 0)
		resp := httptest.NewRecorder()
		body, _ := json.Marshal(order)
		e.Handler().ServeHTTP(resp, httptest.NewRequest(http.MethodPost, engineapi.PathOrders, bytes.NewReader(body)))
		var state engineapi.State
		waittest.Until(t, "the load ends", func() bool {
			e.withCore(func(_ time.Time, c *core) { state = c.deployment.state(0) })
			return len(state.Loading) == 0
		})
		if _, loaded := state.Adapters["m/a"]; loaded == down {
			t.Errorf("weight store down %t: adapters %v", down, state.Adapters)
		}
	}
}
