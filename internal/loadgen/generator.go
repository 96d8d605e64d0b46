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
	// soupBytes is the size of the text that prompts are cut from.
	soupBytes = 1 << 18
	// keyFormat gives keys of one length, so that none is part of another.
	keyFormat = "%s-%07d"
)

// Spec is one request to send.
type Spec struct {
	Index int
	// At is the scheduled arrival since the start of the run.
	At        time.Duration
	Kind      Kind
	Team      Team
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	Stream    bool
	// Key is the idempotency key of a submit.
	Key string
	// RepeatAfter is when a submit is sent again elsewhere; 0 means never.
	RepeatAfter time.Duration
	// CancelAfter is when the caller goes away; 0 means it waits.
	CancelAfter time.Duration
}

// Generator draws the requests of a run. The same workload, run name and seed
// give the same requests. It is not safe for concurrent use.
type Generator struct {
	w        Workload
	run      string
	rng      *rand.Rand
	arrivals *arrivals
	soup     string
	index    int
}

// NewGenerator returns a generator. run names the run: it is part of keys and
// prompts, so that two runs share neither claimed keys nor cached prefixes.
func NewGenerator(w Workload, run string, seed uint64) (*Generator, error) {
	if err := w.Validate(); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	return &Generator{
		w:        w,
		run:      run,
		rng:      rng,
		arrivals: newArrivals(w.Rate, rand.New(rand.NewPCG(seed, 2))),
		soup:     soup(rand.New(rand.NewPCG(seed, 3))),
	}, nil
}

// Next returns the next request.
func (g *Generator) Next() Spec {
	s := Spec{
		Index: g.index,
		At:    g.arrivals.Next(),
		Kind:  g.w.Mix.kind(g.rng.Float64()),
		Team:  g.w.Teams[g.rng.IntN(len(g.w.Teams))],
		Key:   fmt.Sprintf(keyFormat, g.run, g.index),
	}
	g.index++
	switch s.Kind {
	case KindSubmit:
		g.submit(&s)
	case KindShort:
		g.completion(&s, g.w.ShortPrompt, g.w.ShortTokens)
	case KindDraft:
		g.completion(&s, g.w.DraftPrompt, g.w.DraftTokens)
		g.draft(&s)
	}
	return s
}

func (g *Generator) submit(s *Spec) {
	if g.rng.Float64() < g.w.RepeatShare {
		s.RepeatAfter = 1 + g.upTo(g.w.RepeatWithin)
	}
}

func (g *Generator) completion(s *Spec, prompt, tokens Sizes) {
	s.Model = g.w.Model
	if n := len(g.w.Adapters); n > 0 {
		s.Adapter = g.w.Adapters[g.rng.IntN(n)]
	}
	s.MaxTokens = g.draw(tokens)
	s.Stream = g.rng.Float64() < g.w.StreamShare
	s.Prompt = g.text(s.Key, g.draw(prompt))
}

func (g *Generator) draft(s *Spec) {
	if g.rng.Float64() < g.w.SharedShare {
		s.Prompt = g.preamble(g.rng.IntN(g.w.Councils)) + s.Prompt
	}
	if g.rng.Float64() < g.w.CancelShare {
		s.CancelAfter = 1 + g.upTo(g.w.CancelAfter)
	}
}

// preamble is what all dossiers of one council start with.
func (g *Generator) preamble(council int) string {
	head := fmt.Sprintf("%s council %d ", g.run, council)
	at := council * 997 % (len(g.soup) / 2)
	return head + g.soup[at:at+g.w.PreambleTokens*engineapi.BytesPerToken]
}

// text returns a prompt of n tokens that shares no prefix with another key's.
func (g *Generator) text(key string, n int) string {
	head := key + " "
	size := max(n*engineapi.BytesPerToken-len(head), 0)
	at := g.rng.IntN(len(g.soup) - size)
	return head + g.soup[at:at+size]
}

func (g *Generator) draw(s Sizes) int {
	n := float64(s.Median) * math.Exp(s.Sigma*g.rng.NormFloat64())
	return min(max(int(n), s.Min), s.Max)
}

func (g *Generator) upTo(d time.Duration) time.Duration {
	return time.Duration(g.rng.Float64() * float64(d))
}

func lognormalMean(median int, sigma float64) float64 {
	return float64(median) * math.Exp(sigma*sigma/2)
}

// soup returns random lower-case words.
func soup(rng *rand.Rand) string {
	var b strings.Builder
	b.Grow(soupBytes)
	for b.Len() < soupBytes {
		for range 2 + rng.IntN(8) {
			b.WriteByte(byte('a' + rng.IntN(26)))
		}
		b.WriteByte(' ')
	}
	return b.String()[:soupBytes]
}
