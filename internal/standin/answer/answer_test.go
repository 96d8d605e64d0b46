package answer

import (
	"testing"

	"pgregory.net/rapid"
)

func TestLengthAndTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.String().Draw(t, "prompt")
		limit := rapid.IntRange(1, 5000).Draw(t, "max tokens")
		n := AnswerLength(prompt, limit)
		if n < (limit+1)/2 || n > limit {
			t.Fatalf("length %d, want at least half of the limit %d and at most the limit", n, limit)
		}
		if ended := FinishReason(n, limit); (ended == FinishLength) != (n == limit) {
			t.Fatalf("finish reason %q after %d of %d tokens", ended, n, limit)
		}
		i := rapid.IntRange(0, limit).Draw(t, "index")
		tokens := map[string]bool{
			Token("m", "", prompt, i):     true,
			Token("m", "a", prompt, i):    true,
			Token("n", "", prompt, i):     true,
			Token("m", "", prompt+"x", i): true,
			Token("m", "", prompt, i+1):   true,
		}
		if len(tokens) < 4 { // two of the 24-bit tokens may collide
			t.Fatalf("only %d of 5 tokens differ", len(tokens))
		}
	})
}
