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

// bound is far above what any wait in these tests takes.
const bound = 30 * time.Second

type server struct {
	*Engine
	addr string
	url  string
}

func newServer(t *testing.T, role string) server {
	t.Helper()
	cfg := DefaultConfig()
	cfg.Role, cfg.TimeScale, cfg.PrefillTTL, cfg.Linger = role, 200, bound, bound
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

// read reads at most limit chunks and returns the error that ended it, io.EOF
// for a clean end.
func read(body io.Reader, limit int) ([]engineapi.Chunk, error) {
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

// texts returns the tokens of chunks that are in order from an index on.
func texts(t *testing.T, chunks []engineapi.Chunk, from int) []string {
	t.Helper()
	var out []string
	for _, c := range chunks {
		if c.Imported || c.Done {
			continue
		}
		if c.Index != from+len(out) {
			t.Fatalf("chunk %d where %d was due", c.Index, from+len(out))
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

// Symptom: a caller gets an answer with a hole, a repeat or another's tokens.
// Sequence: the stream's connection is lost, the stream is read again from the
// next index; then the engine restarts, and another attempt with the tokens
// that were delivered goes on elsewhere.
// Cause: tokens that depend on the connection or on the attempt.
func TestResumeAndPrefillAgainGiveTheSameAnswer(t *testing.T) {
	pre, dec := newServer(t, RolePrefill), newServer(t, RoleDecode)
	const maxTokens = 200
	total := answer.AnswerLength(prompt, maxTokens)
	first := engineapi.WorkID{RequestID: "r", Attempt: 1}
	mustPost(t, dec.url+engineapi.PathReserve, engineapi.ReserveRequest{WorkID: first, Owner: owner, Model: "m"})
	mustPost(t, pre.url+engineapi.PathPrefill, engineapi.PrefillRequest{WorkID: first, Owner: owner, Model: "m", Prompt: prompt})
	resp := openDecode(t, dec, engineapi.DecodeRequest{WorkID: first, Owner: owner, Model: "m", Source: pre.addr, MaxTokens: maxTokens})
	chunks, _ := read(resp.Body, 11)
	resp.Body.Close()
	got := texts(t, chunks, 0)

	resp, err := http.Get(fmt.Sprintf("%s%s?request=r&attempt=1&from=%d", dec.url, engineapi.PathStream, len(got)))
	if err != nil {
		t.Fatal(err)
	}
	chunks, _ = read(resp.Body, 11)
	got = append(got, texts(t, chunks, len(got))...)
	dec.Crash()
	if _, err := read(resp.Body, 10*maxTokens); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("a crash ended the stream with %v", err)
	}
	resp.Body.Close()

	second := engineapi.WorkID{RequestID: "r", Attempt: 2}
	mustPost(t, pre.url+engineapi.PathPrefill, engineapi.PrefillRequest{WorkID: second, Owner: owner, Model: "m", Prompt: prompt, Generated: got})
	resp = openDecode(t, dec, engineapi.DecodeRequest{WorkID: second, Owner: owner, Model: "m", Source: pre.addr, MaxTokens: maxTokens, FromIndex: len(got)})
	defer resp.Body.Close()
	chunks, err = read(resp.Body, 10*maxTokens)
	if !errors.Is(err, io.EOF) {
		t.Fatalf("end of stream: %v", err)
	}
	got = append(got, texts(t, chunks, len(got))...)
	if diff := cmp.Diff(answer.Text("m", "", prompt, maxTokens), strings.Join(got, "")); diff != "" {
		t.Errorf("answer: %s", diff)
	}
	last := chunks[len(chunks)-1]
	if !last.Done || last.Tokens != total || last.FinishReason != answer.FinishReason(total, maxTokens) {
		t.Errorf("last chunk: %+v, want %d tokens", last, total)
	}
	if s := dec.Stats(); s.Held != 1 || s.SlotsUsed != 0 {
		t.Errorf("a finished stream holds %d pieces and %d slots; want 1 and 0", s.Held, s.SlotsUsed)
	}
}

// Symptom: a wrong context goes unnoticed.
// Sequence: an attempt is given generated tokens that are not the answer's.
// Cause: a stand-in that looks only at their number.
func TestWrongContextGivesAnotherAnswer(t *testing.T) {
	req := engineapi.PrefillRequest{Model: "m", Prompt: prompt}
	right := req
	right.Generated = []string{answer.Token("m", "", prompt, 0)}
	wrong := req
	wrong.Generated = []string{"?"}
	if contextHash(right) != answer.HashPrompt(prompt) || contextHash(wrong) == answer.HashPrompt(prompt) {
		t.Error("the generated tokens do not decide the answer")
	}
}

func TestStreamFaults(t *testing.T) {
	const maxTokens = 40
	cases := []struct {
		name   string
		faults Faults
		broken func(chunks []engineapi.Chunk, err error) bool
	}{
		{"none", Faults{}, func(c []engineapi.Chunk, err error) bool { return errors.Is(err, io.EOF) && whole(c) }},
		{"cut", Faults{CutAfter: 5}, func(c []engineapi.Chunk, err error) bool { return !errors.Is(err, io.EOF) && len(c) == 5 }},
		{"crossed", Faults{Garble: GarbleCrossed, GarbleAfter: 5}, func(c []engineapi.Chunk, _ error) bool { return c[6].RequestID != "r" && c[4].RequestID == "r" }},
		{"older", Faults{Garble: GarbleOlder, GarbleAfter: 5}, func(c []engineapi.Chunk, _ error) bool { return c[6].Attempt == 0 }},
		{"repeated", Faults{Garble: GarbleRepeated, GarbleAfter: 5}, func(c []engineapi.Chunk, _ error) bool { return c[5].Index == c[6].Index }},
		{"reordered", Faults{Garble: GarbleReordered, GarbleAfter: 5}, func(c []engineapi.Chunk, _ error) bool { return c[5].Index == c[6].Index+1 }},
		{"truncated", Faults{Garble: GarbleTruncated}, func(c []engineapi.Chunk, err error) bool { return errors.Is(err, io.EOF) && !c[len(c)-1].Done }},
		{"skipped", Faults{Garble: GarbleSkipped, GarbleAfter: 5}, func(c []engineapi.Chunk, err error) bool { return errors.Is(err, io.EOF) && !whole(c) }},
		{"bytes", Faults{Garble: GarbleBytes, GarbleAfter: 5}, func(c []engineapi.Chunk, err error) bool { return !errors.Is(err, io.EOF) && len(c) == 5 }},
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
			chunks, err := read(resp.Body, 10*maxTokens)
			if !tc.broken(chunks, err) {
				t.Errorf("%d chunks, then %v: %+v", len(chunks), err, chunks)
			}
		})
	}
}

// whole reports whether chunks are the test's whole answer.
func whole(chunks []engineapi.Chunk) bool {
	text := ""
	for _, c := range chunks {
		text += c.Text
	}
	return text == answer.Text("m", "", prompt, 40) && chunks[len(chunks)-1].Done
}

// Symptom: a router believes that a cancel was not taken and gives up.
// Sequence: the cancel takes effect, its reply is lost, it is sent again.
// Cause: the lost reply; the repeat must be harmless and acknowledged.
func TestLostCancelReply(t *testing.T) {
	dec := newServer(t, RoleDecode)
	mustPost(t, dec.url+engineapi.PathReserve, reserveOf(1))
	dec.SetFaults(Faults{LoseCancel: true}, 1)
	req := engineapi.CancelRequest{WorkID: id(1)}
	if resp, err := post(t, dec.url+engineapi.PathCancel, req); err == nil {
		resp.Body.Close()
		t.Fatal("the reply was not lost")
	}
	if held := dec.Stats().Held; held != 0 {
		t.Errorf("%d pieces held after the cancel took effect", held)
	}
	mustPost(t, dec.url+engineapi.PathCancel, req)
}

func TestControl(t *testing.T) {
	dec := newServer(t, RoleDecode)
	control := httptest.NewServer(dec.Control())
	defer control.Close()
	before := dec.Stats().Incarnation
	mustPost(t, control.URL+"/faults", map[string]any{"faults": Faults{Leaving: true}})
	resp, err := post(t, dec.url+engineapi.PathReserve, reserveOf(1))
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
	mustPost(t, dec.url+engineapi.PathReserve, reserveOf(1))
	if dec.Stats().Incarnation == before {
		t.Error("the incarnation did not change at the crash")
	}
}

// Symptom: an order never shows in the engine's state.
// Sequence: a load is ordered while the weight store is down, then again after.
// Cause: the engine drops a load that it cannot fetch; it must take the repeat.
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
			e.do(func(_ time.Time, c *core) { state = c.config.state(0) })
			return len(state.Loading) == 0
		})
		if _, loaded := state.Adapters["m/a"]; loaded == down {
			t.Errorf("store down %t: adapters %v", down, state.Adapters)
		}
	}
}
