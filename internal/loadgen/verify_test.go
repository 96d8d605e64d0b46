package loadgen

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/standin/answer"
	"github.com/corianderturn/corianderturn/internal/standin/service"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestVerify(t *testing.T) {
	completion := Spec{Kind: KindDraft, Model: "m", Prompt: "p", MaxTokens: 9, Key: "r-0000001"}
	submit := Spec{Kind: KindSubmit, Key: "r-0000001"}
	lookup := Spec{Kind: KindLookup, Key: "r-0000001"}
	value := service.LookupOf("/status/r-0000001").Value
	answered := func(body string) Transcript { return Transcript{Status: 200, TerminalEvents: 1, Text: body} }
	want := answer.Text("m", "", "p", 9)
	n := answer.AnswerLength("p", 9)
	complete := Transcript{Status: 200, Text: want, Tokens: n, TerminalEvents: 1, Usage: n, Finish: answer.FinishReason(n, 9)}
	completeExcept := func(change func(*Transcript)) Transcript {
		c := complete
		change(&c)
		return c
	}
	refusal := &Problem{Kind: errkind.Overloaded, Run: errkind.NotRun}
	tests := []struct {
		name string
		spec Spec
		seen Transcript
		want Outcome
	}{
		{"whole", completion, complete, Answered},
		{"whole, but the caller left later", completion, completeExcept(func(t *Transcript) { t.Cancelled = true }), Answered},
		{"no terminal", completion, completeExcept(func(t *Transcript) { t.TerminalEvents = 0 }), Lost},
		{"cut", completion, completeExcept(func(t *Transcript) { t.TerminalEvents, t.Err = 0, errors.New("reset") }), Lost},
		{"two terminals", completion, completeExcept(func(t *Transcript) { t.TerminalEvents = 2 }), Doubled},
		{"last token missing", completion, completeExcept(func(t *Transcript) { t.Text = want[:len(want)-7] }), Truncated},
		{"token repeated", completion, completeExcept(func(t *Transcript) { t.Text = want[:7] + want }), Wrong},
		{"another prompt's answer", completion, completeExcept(func(t *Transcript) { t.Text = answer.Text("m", "", "q", 9) }), Wrong},
		{"usage off by one", completion, completeExcept(func(t *Transcript) { t.Usage = n - 1 }), Wrong},
		{"finish reason missing", completion, completeExcept(func(t *Transcript) { t.Finish = "" }), Wrong},
		{"caller left", completion, Transcript{Cancelled: true, Err: context.Canceled}, Cancelled},
		{"refused", completion, Transcript{Status: 503, TerminalEvents: 1, Problem: refusal}, Refused},
		{"broken after tokens", completion, Transcript{Status: 200, Tokens: 2, TerminalEvents: 1, Problem: refusal}, Broken},
		{"unknown kind", completion, Transcript{Status: 503, TerminalEvents: 1, Problem: &Problem{Kind: "odd", Run: "ran"}}, Lost},
		{"no run state", completion, Transcript{Status: 503, TerminalEvents: 1, Problem: &Problem{Kind: errkind.Internal}}, Lost},
		{"call answered", submit, answered(`{"path":"/submit/r-0000001","confirmation":"1"}`), Answered},
		{"call crossed", submit, answered(`{"path":"/submit/r-0000002","confirmation":"1"}`), Wrong},
		{"call unconfirmed", submit, answered(`{"path":"/submit/r-0000001"}`), Wrong},
		{"look-up answered", lookup, answered(`{"path":"/status/r-0000001","value":"` + value + `"}`), Answered},
		{"look-up of another value", lookup, answered(`{"path":"/status/r-0000001","value":"0"}`), Wrong},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if got, why := Verify(tc.spec, tc.seen); got != tc.want {
				t.Errorf("got %s (%s), want %s", got, why, tc.want)
			}
		})
	}
}

func TestReconcileLedger(t *testing.T) {
	result := func(key string, o Outcome, kind errkind.Kind, run errkind.RunState) Result {
		return Result{Spec: Spec{Key: key, Kind: KindSubmit}, Outcome: o, Kind: kind, Run: run}
	}
	refused := func(key string) Result { return result(key, Refused, errkind.Overloaded, errkind.NotRun) }
	inProgress := result("a", Refused, errkind.KeyInProgress, errkind.NotRun)
	tests := []struct {
		name    string
		results []Result
		ran     []Execution
		want    LedgerReport
	}{
		{"once", []Result{result("a", Answered, "", ""), inProgress}, []Execution{{"a", 1}}, LedgerReport{Keys: 1}},
		{"twice on two replicas", []Result{result("a", Answered, "", "")}, []Execution{{"a", 1}, {"a", 1}},
			LedgerReport{Keys: 1, Doubled: 1, Details: []string{"a ran 2 times"}}},
		{"ran though refused", []Result{refused("a"), refused("a")}, []Execution{{"a", 1}},
			LedgerReport{Keys: 1, ExecutedDespiteNotRun: 1, Details: []string{"a ran, and its callers were told it did not"}}},
		{"refused, and its repeat ran", []Result{refused("a"), result("a", Answered, "", "")}, []Execution{{"a", 1}}, LedgerReport{Keys: 1}},
		{"answered and never ran", []Result{result("a", Answered, "", "")}, nil,
			LedgerReport{Keys: 1, Missing: 1, Details: []string{"a was answered and never ran"}}},
		{"unknown and did not run", []Result{result("a", Refused, errkind.UpstreamFailed, errkind.Unknown)}, nil, LedgerReport{Keys: 1}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if d := cmp.Diff(tc.want, reconcileLedger(tc.results, tc.ran)); d != "" {
				t.Error(d)
			}
		})
	}
}

func TestTargetsMet(t *testing.T) {
	targets := Targets{Draft: Target{FirstToken: 100, BetweenTokens: 10}}
	r := Result{Spec: Spec{Kind: KindDraft}, Outcome: Answered, FirstMeasured: true, First: 100, MeanGap: 10, GapP95: 11}
	late, slow, refused := r, r, r
	late.First = 101
	slow.MeanGap = 11
	refused.Outcome = Refused
	unstreamed := Result{Spec: r.Spec, Outcome: Answered, Tokens: 5, Total: 140}
	unstreamedLate := unstreamed
	unstreamedLate.Total = 141
	for _, tc := range []struct {
		name         string
		r            Result
		mean, strict bool
	}{
		{"on target", r, true, false},
		{"late first token", late, false, false},
		{"slow tokens", slow, false, false},
		{"refused", refused, false, false},
		{"not streamed", unstreamed, true, true},
		{"not streamed, late", unstreamedLate, false, false},
	} {
		if got := targets.Met(tc.r, false); got != tc.mean {
			t.Errorf("%s: met %v, want %v", tc.name, got, tc.mean)
		}
		if got := targets.Met(tc.r, true); got != tc.strict {
			t.Errorf("%s: met strictly %v, want %v", tc.name, got, tc.strict)
		}
	}
}

// Guards against faults that a run does not detect and therefore reports as success. In each
// case, a fake daemon responds to all requests with one kind of error or invalid response.
func TestRunCountsFaults(t *testing.T) {
	const refusal = `{"kind":"overloaded","run":"not-run"}`
	sse := func(body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = w.Write([]byte(body))
		}
	}
	token := `data: {"choices":[{"text":" odd"}]}` + "\n\n"
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    Outcome
	}{
		{"clean end without a terminal", sse(token), Lost},
		{"two terminals", sse("data: [DONE]\n\ndata: [DONE]\n\n"), Doubled},
		{"text after the end", sse("data: [DONE]\n\n" + token), Doubled},
		{"foreign text", sse(token + "data: [DONE]\n\n"), Wrong},
		{"no text", sse("data: [DONE]\n\n"), Truncated},
		{"error event", sse(token + "event: error\ndata: " + refusal + "\n\n"), Broken},
		{"garbled error event", sse("event: error\ndata: oops\n\n"), Lost},
		{"bare error", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusBadGateway) }, Lost},
		{"problem", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", problemContentType)
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(refusal))
		}, Refused},
		{"cut connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, Lost},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			srv := httptest.NewServer(tc.handler)
			defer srv.Close()
			rep, err := Run(t.Context(), testOptions(srv.URL, 6))
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff([]OutcomeCount{{tc.want, 6}}, rep.All.Outcomes); d != "" {
				t.Error(d)
			}
			if rep.Passed() == tc.want.IsFault() {
				t.Errorf("Passed returned %v with outcome %s", rep.Passed(), tc.want)
			}
		})
	}
}

// testOptions returns options that send streamed drafts to one daemon, all within a fraction of a
// second.
func testOptions(daemon string, requests int) Options {
	w := testWorkload()
	w.Rate, w.Mix, w.CancelShare, w.StreamShare = 1000, Mix{Draft: 1}, 0, 1
	w.DraftPrompt.Max = 100
	return Options{
		Daemons: []string{daemon}, Workload: w, Name: "t", Seed: 1, Duration: time.Minute,
		MaxRequests: requests, MaxInFlight: requests, Timeout: time.Minute,
	}
}

// Guards against a closed loop, in which arrivals wait for earlier responses. No response is
// sent at first: the run must still send MaxInFlight requests and drop the others.
func TestOpenLoopArrivals(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{}, 10)
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	}))
	defer srv.Close()
	o := testOptions(srv.URL, 10)
	o.MaxInFlight = 4
	done := make(chan *Report, 1)
	go func() {
		rep, _ := Run(t.Context(), o)
		done <- rep
	}()
	for range o.MaxInFlight {
		<-arrived
	}
	time.AfterFunc(100*time.Millisecond, func() { close(release) })
	rep := <-done
	if got := rep.All.Count(Dropped) + rep.All.Count(Lost); got != 10 {
		t.Errorf("%d requests accounted for, want 10", got)
	}
	if rep.All.Count(Dropped) == 0 {
		t.Error("no request was dropped at MaxInFlight")
	}
}

// Guards against losing requests although the balancer may replay them. One of two daemons
// breaks every connection; without replays, its requests must count as lost.
func TestReplay(t *testing.T) {
	live := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", problemContentType)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"kind":"not-ready","run":"not-run"}`))
	}))
	defer live.Close()
	cut := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer cut.Close()
	for _, replay := range []bool{false, true} {
		o := testOptions(live.URL, 8)
		o.Daemons = append(o.Daemons, cut.URL)
		o.Replay = replay
		rep, err := Run(t.Context(), o)
		if err != nil {
			t.Fatal(err)
		}
		if lost := rep.All.Count(Lost); (lost == 0) != replay {
			t.Errorf("replay %v: %d lost", replay, lost)
		}
		if replay && rep.Replays == 0 {
			t.Error("no replay was counted")
		}
	}
}
