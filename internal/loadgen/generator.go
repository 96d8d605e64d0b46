package loadgen

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

const (
	// corpusBytes is the size of the random text from which prompts are cut.
	corpusBytes = 1 << 18
	// keyFormat is the format of idempotency keys: the run's name and the request's index, which
	// is padded so that no key is a substring of another.
	keyFormat = "%s-%07d"
)

// Spec describes one request to send.
type Spec struct {
	// Index is the position of the request in the run, from 0.
	Index int
	// At is the scheduled arrival, relative to the start of the run.
	At        time.Duration
	Kind      Kind
	Team      Team
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	Stream    bool
	// Key is unique to the request. It is the idempotency key of a submit, and part of a
	// prompt or of a look-up's path.
	Key string
	// RepeatAfter is the delay after which a submit is sent a second time, with the same key,
	// to another daemon; 0 means that it is sent once.
	RepeatAfter time.Duration
	// CancelAfter is the time after which the caller cancels the request; 0 means that it waits
	// for the response.
	CancelAfter time.Duration
}

// Generator generates the requests of a run at random. The same workload, run name and seed
// give the same requests. It is not safe for concurrent use.
type Generator struct {
	workload Workload
	runName  string
	rng      *rand.Rand
	arrivals *arrivals
	corpus   string
	index    int
}

// NewGenerator returns a generator. run is the name of the run, which becomes part of keys
// and prompts: runs with different names share neither idempotency keys nor prompt prefixes
// that engines have cached.
func NewGenerator(w Workload, run string, seed uint64) (*Generator, error) {
	if err := w.Validate(); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	return &Generator{
		workload: w,
		runName:  run,
		rng:      rng,
		arrivals: newArrivals(w.Rate, rand.New(rand.NewPCG(seed, 2))),
		corpus:   randomCorpus(rand.New(rand.NewPCG(seed, 3))),
	}, nil
}

// Next returns the next request, in the order of arrival.
func (g *Generator) Next() Spec {
	s := Spec{
		Index: g.index,
		At:    g.arrivals.Next(),
		Kind:  g.workload.Mix.kind(g.rng.Float64()),
		Team:  g.workload.Teams[g.rng.IntN(len(g.workload.Teams))],
		Key:   fmt.Sprintf(keyFormat, g.runName, g.index),
	}
	g.index++
	switch s.Kind {
	case KindSubmit:
		g.fillSubmit(&s)
	case KindShort:
		g.fillCompletion(&s, g.workload.ShortPrompt, g.workload.ShortTokens)
	case KindDraft:
		g.fillCompletion(&s, g.workload.DraftPrompt, g.workload.DraftTokens)
		g.fillDraft(&s)
	}
	return s
}

// fillSubmit sets the fields of a submit.
func (g *Generator) fillSubmit(s *Spec) {
	if g.rng.Float64() < g.workload.RepeatShare {
		s.RepeatAfter = 1 + g.randomDuration(g.workload.RepeatWithin)
	}
}

// fillCompletion sets the fields of a completion, given the distributions of its prompt size
// and of its maximum number of tokens.
func (g *Generator) fillCompletion(s *Spec, prompt, tokens SizeDistribution) {
	s.Model = g.workload.Model
	if n := len(g.workload.Adapters); n > 0 {
		s.Adapter = g.workload.Adapters[g.rng.IntN(n)]
	}
	s.MaxTokens = g.sampleSize(tokens)
	s.Stream = g.rng.Float64() < g.workload.StreamShare
	s.Prompt = g.uniquePrompt(s.Key, g.sampleSize(prompt))
}

// fillDraft sets the fields that only drafts have: a shared preamble and the time of
// cancellation.
func (g *Generator) fillDraft(s *Spec) {
	if g.rng.Float64() < g.workload.SharedShare {
		s.Prompt = g.preamble(g.rng.IntN(g.workload.Preambles)) + s.Prompt
	}
	if g.rng.Float64() < g.workload.CancelShare {
		s.CancelAfter = 1 + g.randomDuration(g.workload.CancelAfter)
	}
}

// preamble returns the shared prompt prefix with the given index. It contains the name of the
// run and the index, so that different runs and indexes have different prefixes.
func (g *Generator) preamble(index int) string {
	prefix := fmt.Sprintf("%s council %d ", g.runName, index)
	offset := index * 997 % (len(g.corpus) / 2)
	return prefix + g.corpus[offset:offset+g.workload.PreambleTokens*engineapi.BytesPerToken]
}

// uniquePrompt returns a prompt of about n tokens. It starts with the key, so that engines
// cannot reuse the cached prefix of another prompt.
func (g *Generator) uniquePrompt(key string, n int) string {
	prefix := key + " "
	size := max(n*engineapi.BytesPerToken-len(prefix), 0)
	offset := g.rng.IntN(len(g.corpus) - size)
	return prefix + g.corpus[offset:offset+size]
}

// sampleSize draws a token count from the distribution s.
func (g *Generator) sampleSize(s SizeDistribution) int {
	n := float64(s.Median) * math.Exp(s.Sigma*g.rng.NormFloat64())
	return min(max(int(n), s.Min), s.Max)
}

// randomDuration returns a uniformly distributed duration in [0, d).
func (g *Generator) randomDuration(d time.Duration) time.Duration {
	return time.Duration(g.rng.Float64() * float64(d))
}

// lognormalMean returns the mean of a log-normal distribution.
func lognormalMean(median int, sigma float64) float64 {
	return float64(median) * math.Exp(sigma*sigma/2)
}

// randomCorpus returns corpusBytes bytes of random lower-case words.
func randomCorpus(rng *rand.Rand) string {
	var b strings.Builder
	b.Grow(corpusBytes)
	for b.Len() < corpusBytes {
		for range 2 + rng.IntN(8) {
			b.WriteByte(byte('a' + rng.IntN(26)))
		}
		b.WriteByte(' ')
	}
	return b.String()[:corpusBytes]
}
