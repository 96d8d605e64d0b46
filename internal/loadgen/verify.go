package loadgen

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path"
	"strings"

	"github.com/corianderturn/corianderturn/internal/standin/answer"
	"github.com/corianderturn/corianderturn/internal/standin/service"
)

// Verify returns the outcome of a request, given the response that its caller received, and a
// description of what is wrong with the response. It never returns Severed or Dropped, which
// do not follow from the response.
func Verify(s Spec, t Transcript) (Outcome, string) {
	switch {
	case t.TerminalEvents > 1:
		return Doubled, fmt.Sprintf("%d terminals", t.TerminalEvents)
	case t.Problem != nil:
		return verifyProblem(t)
	case t.TerminalEvents == 1 && t.Status == http.StatusOK && s.Kind.IsCompletion():
		return verifyCompletion(s, t)
	case t.TerminalEvents == 1 && t.Status == http.StatusOK:
		return verifyServiceResponse(s, t)
	case t.Cancelled:
		return Cancelled, ""
	case t.Err != nil:
		return Lost, t.Err.Error()
	}
	return Lost, fmt.Sprintf("status %d without a terminal or a problem", t.Status)
}

// verifyProblem returns the outcome of a request that ended with an error body or error event.
func verifyProblem(t Transcript) (Outcome, string) {
	detail := fmt.Sprintf("%s: %s", t.Problem.Kind, t.Problem.Detail)
	switch {
	case !t.Problem.Valid():
		return Lost, "unknown kind or run state: " + detail
	case t.Tokens > 0:
		return Broken, detail
	}
	return Refused, detail
}

// verifyCompletion compares a completion with the text that the simulated engines generate for
// its prompt.
func verifyCompletion(s Spec, t Transcript) (Outcome, string) {
	want := answer.Text(s.Model, s.Adapter, s.Prompt, s.MaxTokens)
	tokens := answer.AnswerLength(s.Prompt, s.MaxTokens)
	finish := answer.FinishReason(tokens, s.MaxTokens)
	switch {
	case t.Text == want && t.Usage >= 0 && t.Usage != tokens:
		return Wrong, fmt.Sprintf("usage says %d tokens, want %d", t.Usage, tokens)
	case t.Text == want && t.Finish != finish:
		return Wrong, fmt.Sprintf("finish reason %q, want %q", t.Finish, finish)
	case t.Text == want:
		return Answered, ""
	case strings.HasPrefix(want, t.Text):
		return Truncated, fmt.Sprintf("%d of %d bytes", len(t.Text), len(want))
	}
	return Wrong, fmt.Sprintf("answer differs at byte %d of %d", commonPrefix(want, t.Text), len(want))
}

// verifyServiceResponse checks that the response of a plain service belongs to the request:
// the path that it echoes must end in the request's key.
func verifyServiceResponse(s Spec, t Transcript) (Outcome, string) {
	var got struct {
		Path         string `json:"path"`
		Value        string `json:"value"`
		Confirmation string `json:"confirmation"`
	}
	if err := json.Unmarshal([]byte(t.Text), &got); err != nil {
		return Wrong, "the answer is not JSON: " + err.Error()
	}
	switch {
	case path.Base(got.Path) != s.Key:
		return Wrong, fmt.Sprintf("the answer is to %s, want %s", got.Path, s.Key)
	case s.Kind == KindLookup && got.Value != service.LookupOf(got.Path).Value:
		return Wrong, "the value is not that of " + got.Path
	case s.Kind == KindSubmit && got.Confirmation == "":
		return Wrong, "no confirmation"
	}
	return Answered, ""
}

// commonPrefix returns the length in bytes of the longest common prefix of a and b.
func commonPrefix(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}
