package engineapi

import "github.com/cespare/xxhash/v2"

// BlockTokens is the number of prompt tokens in one prefix-cache block.
const BlockTokens = 16

// BytesPerToken is the assumed mean length of a prompt token, in bytes.
const BytesPerToken = 4

// CountTokens returns an estimate of a prompt's number of tokens, based on BytesPerToken.
func CountTokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

// PrefixBlocks returns the chained hashes of the complete blocks of a prompt. The hash of a
// block covers the model and all blocks up to this one, so two prompts for one model have
// equal first n hashes if and only if their first n blocks are equal. Engines publish these
// hashes in cache events.
func PrefixBlocks(model, prompt string) []uint64 {
	const size = BlockTokens * BytesPerToken
	n := len(prompt) / size
	out := make([]uint64, 0, n)
	d := xxhash.New()
	_, _ = d.WriteString(model)
	for i := range n {
		_, _ = d.WriteString(prompt[i*size : (i+1)*size])
		out = append(out, d.Sum64())
	}
	return out
}
