package loadgen

import (
	"maps"
	"slices"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/pkg/errors"
)

// Kind is a type of request in the mix.
type Kind string

// The kinds of request.
const (
	// KindLookup is an urgent, idempotent GET to a plain service.
	KindLookup Kind = "lookup"
	// KindSubmit is an urgent, non-idempotent POST to a plain service, with an idempotency key.
	KindSubmit Kind = "submit"
	// KindShort is an urgent, short completion.
	KindShort Kind = "short"
	// KindDraft is a long completion of the draft class, which may be delayed.
	KindDraft Kind = "draft"
)

// Kinds lists the kinds in the order in which reports print them.
func Kinds() []Kind { return []Kind{KindLookup, KindSubmit, KindShort, KindDraft} }

// Class returns the request class that requests of the kind state.
func (k Kind) Class() bundle.Class {
	if k == KindDraft {
		return bundle.Draft
	}
	return bundle.Urgent
}

// IsCompletion reports whether requests of the kind are completions, which run on a model.
func (k Kind) IsCompletion() bool { return k == KindShort || k == KindDraft }

// Team is a team and the bearer key that its requests carry.
type Team struct {
	Name string `json:"name"`
	Key  string `json:"-"`
}

// Mix holds the share of each kind of request, relative to the sum of all shares.
type Mix struct {
	Lookup float64 `json:"lookup"`
	Submit float64 `json:"submit"`
	Short  float64 `json:"short"`
	Draft  float64 `json:"draft"`
}

// SizeDistribution is a log-normal distribution of token counts. Values outside of Min and
// Max are set to the nearer of the two.
type SizeDistribution struct {
	Median int     `json:"median"`
	Sigma  float64 `json:"sigma"`
	Min    int     `json:"min"`
	Max    int     `json:"max"`
}

// Mean returns the mean of the distribution without the limits Min and Max.
func (s SizeDistribution) Mean() float64 { return lognormalMean(s.Median, s.Sigma) }

// Workload describes the requests of a run.
type Workload struct {
	// Rate is the mean number of arrivals per second, over all kinds.
	Rate float64 `json:"rate"`
	Mix  Mix     `json:"mix"`

	Teams    []Team   `json:"teams"`
	Model    string   `json:"model"`
	Adapters []string `json:"adapters,omitempty"`
	// Service is the name of the plain service. LookupPath and SubmitPath are paths of it.
	Service    string `json:"service"`
	LookupPath string `json:"lookup_path"`
	SubmitPath string `json:"submit_path"`

	ShortPrompt SizeDistribution `json:"short_prompt"`
	ShortTokens SizeDistribution `json:"short_tokens"`
	DraftPrompt SizeDistribution `json:"draft_prompt"`
	DraftTokens SizeDistribution `json:"draft_tokens"`

	// SharedShare is the share of drafts whose prompt starts with a preamble, which is a prefix
	// that other drafts share. The preamble is chosen at random from Preambles different ones,
	// each of PreambleTokens tokens. Engines that have cached a preamble can reuse it for other
	// drafts.
	Preambles      int     `json:"councils"`
	PreambleTokens int     `json:"preamble_tokens"`
	SharedShare    float64 `json:"shared_share"`

	// StreamShare is the share of completions that are streamed.
	StreamShare float64 `json:"stream_share"`
	// CancelShare is the share of drafts that their caller cancels, after a random time of at
	// most CancelAfter.
	CancelShare float64       `json:"cancel_share"`
	CancelAfter time.Duration `json:"cancel_after"`
	// RepeatShare is the share of submits that are sent a second time, with the same key, to
	// another daemon, after a random time of at most RepeatWithin.
	RepeatShare  float64       `json:"repeat_share"`
	RepeatWithin time.Duration `json:"repeat_within"`
}

// DefaultWorkload returns the expected mix of production: nearly half look-ups, some submits,
// and short completions and long drafts. Prompts have tens to tens of thousands of tokens. The
// caller must set Teams.
func DefaultWorkload() Workload {
	return Workload{
		Rate:           50,
		Mix:            Mix{Lookup: 0.45, Submit: 0.05, Short: 0.2, Draft: 0.3},
		Model:          "drafter",
		Service:        "portal",
		LookupPath:     "/status",
		SubmitPath:     "/submit",
		ShortPrompt:    SizeDistribution{Median: 60, Sigma: 0.6, Min: 10, Max: 400},
		ShortTokens:    SizeDistribution{Median: 16, Sigma: 0.4, Min: 4, Max: 48},
		DraftPrompt:    SizeDistribution{Median: 1200, Sigma: 1.0, Min: 40, Max: 30_000},
		DraftTokens:    SizeDistribution{Median: 100, Sigma: 0.5, Min: 20, Max: 400},
		Preambles:      8,
		PreambleTokens: 512,
		SharedShare:    0.6,
		StreamShare:    0.7,
		CancelShare:    0.03,
		CancelAfter:    2 * time.Second,
		RepeatShare:    0.3,
		RepeatWithin:   300 * time.Millisecond,
	}
}

// Validate returns an error if no requests can be generated for the workload.
func (w Workload) Validate() error {
	switch {
	case w.Rate <= 0:
		return errors.New("rate must be positive")
	case len(w.Teams) == 0:
		return errors.New("at least one team is needed")
	case w.Mix.Total() <= 0:
		return errors.New("the mix is empty")
	case w.Preambles < 1:
		return errors.New("at least one council is needed")
	}
	return nil
}

// Total returns the sum of the shares.
func (m Mix) Total() float64 { return m.Lookup + m.Submit + m.Short + m.Draft }

// kind maps u, a uniformly distributed number with 0 <= u < 1, to a kind of the mix.
func (m Mix) kind(u float64) Kind {
	u *= m.Total()
	for _, p := range []struct {
		kind  Kind
		share float64
	}{{KindLookup, m.Lookup}, {KindSubmit, m.Submit}, {KindShort, m.Short}} {
		if u < p.share {
			return p.kind
		}
		u -= p.share
	}
	return KindDraft
}

// TeamsFromKeys returns teams sorted by name. keys maps the name of each team to its bearer key.
func TeamsFromKeys(keys map[string]string) []Team {
	teams := make([]Team, 0, len(keys))
	for _, name := range slices.Sorted(maps.Keys(keys)) {
		teams = append(teams, Team{Name: name, Key: keys[name]})
	}
	return teams
}
