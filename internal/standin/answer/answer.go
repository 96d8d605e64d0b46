// Package answer computes the answers of the simulated engine. They are
// deterministic, so that a load generator or a test can verify that a client
// received the complete answer to its own request, also after the stream was
// resumed or the prefill repeated.
package answer

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens is the largest answer, in tokens, if the request sets no limit.
const DefaultMaxTokens = 256

// The finish reasons of a complete answer.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Hash identifies a prompt. A prefill engine sends it to the decode engine as part
// of the prefill result.
type Hash uint64

// HashPrompt returns the hash of a prompt.
func HashPrompt(prompt string) Hash {
	return Hash(xxhash.Sum64String(prompt))
}

// Token returns token i of the answer to prompt. Every token depends on the model,
// the adapter, the whole prompt and i, so that a test can detect a token of
// another request's answer.
func Token(model, adapter, prompt string, i int) string {
	return TokenForHash(model, adapter, HashPrompt(prompt), i)
}

// TokenForHash is like Token, but takes the hash of the prompt.
func TokenForHash(model, adapter string, prompt Hash, i int) string {
	var nums [16]byte
	binary.LittleEndian.PutUint64(nums[:8], uint64(prompt))
	binary.LittleEndian.PutUint64(nums[8:], uint64(i))
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(adapter)
	_, _ = d.Write(nums[:])
	return fmt.Sprintf(" %06x", d.Sum64()&0xffffff)
}

// Text returns the complete answer to prompt.
func Text(model, adapter, prompt string, maxTokens int) string {
	n := AnswerLength(prompt, maxTokens)
	hash := HashPrompt(prompt)
	out := make([]byte, 0, 7*n)
	for i := range n {
		out = append(out, TokenForHash(model, adapter, hash, i)...)
	}
	return string(out)
}

// AnswerLength returns the number of tokens in the answer to prompt, which is
// between half of maxTokens and maxTokens. A maxTokens of 0 or less means
// DefaultMaxTokens.
//
//nolint:revive // the load generator and tests use this name
func AnswerLength(prompt string, maxTokens int) int {
	return LengthForHash(HashPrompt(prompt), maxTokens)
}

// LengthForHash is like AnswerLength, but takes the hash of the prompt.
func LengthForHash(prompt Hash, maxTokens int) int {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	half := (maxTokens + 1) / 2
	return half + int(uint64(prompt)%uint64(maxTokens-half+1))
}

// FinishReason returns the finish reason of a complete answer with the given number
// of tokens.
func FinishReason(tokens, maxTokens int) string {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	if tokens >= maxTokens {
		return FinishLength
	}
	return FinishStop
}
