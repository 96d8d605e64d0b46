package experiment

import (
	"slices"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/loadgen"
)

// Cell identifies the conditions of a segment: deployment, load, fault and arm. All
// repeats of a segment have the same Cell.
type Cell struct {
	Deployment string `json:"firm"`
	Load       string `json:"load"`
	Fault      string `json:"fault,omitempty"`
	Arm        string `json:"arm"`
}

// Sample holds the figures of one segment, which is a single run of the load
// generator under the conditions of its Cell.
type Sample struct {
	Cell
	// Repeat is the number of the repeat, from 0.
	Repeat int `json:"repeat"`
	// Rate is the scheduled arrival rate in requests a second.
	Rate    float64    `json:"rate"`
	Engines EngineWork `json:"engines"`
	// Report is the load generator's report, nil if the segment could not be run.
	Report *loadgen.Report `json:"report"`
	// Note is the error of running the segment or of its fault, if any.
	Note string `json:"note,omitempty"`
}

// EngineWork holds the increases of the engines' counters during one segment, summed
// over all engines.
type EngineWork struct {
	Prefills int `json:"prefills"`
	// PrefillTokens counts the prompt tokens that were computed, CachedTokens those
	// that were found in the prefix cache.
	PrefillTokens int `json:"prefill_tokens"`
	CachedTokens  int `json:"cached_tokens"`
	// WastedTokens counts the prompt tokens computed for prefill results that no
	// decode engine imported.
	WastedTokens int `json:"wasted_tokens"`
	// Expired counts prefill results that were freed at the end of their lifetime.
	Expired  int `json:"expired"`
	Refusals int `json:"refusals"`
	// Decodes counts the started decodes and Tokens the generated tokens.
	Decodes int `json:"decodes"`
	Tokens  int `json:"tokens"`
}

// Figure is the name of a quantity that is measured in every sample, as reports
// print it.
type Figure string

// The figures of the reports. In the names, "First" means the time to the first token,
// "Gap" the time between tokens, "Short" short urgent completions, and a number the
// percentile.
const (
	Goodput            Figure = "goodput, completions/s within both targets"
	GoodputStrict      Figure = "goodput by the 95th percentile of gaps"
	GoodDrafts         Figure = "good drafts/s"
	GoodShorts         Figure = "good urgent completions/s"
	GoodCalls          Figure = "good plain-service calls/s"
	WastedPrefill      Figure = "wasted prefill, share of tokens"
	UnfinishedPrefills Figure = "prefills without a finished decode, share"
	UrgentFirst50      Figure = "urgent first token p50, ms"
	UrgentFirst95      Figure = "urgent first token p95, ms"
	UrgentFirst99      Figure = "urgent first token p99, ms"
	UrgentGap95        Figure = "urgent between tokens p95, ms"
	ShortFirst50       Figure = "urgent completions, first token p50, ms"
	ShortFirst95       Figure = "urgent completions, first token p95, ms"
	DraftFirst50       Figure = "draft first token p50, ms"
	DraftFirst95       Figure = "draft first token p95, ms"
	DraftFirst99       Figure = "draft first token p99, ms"
	DraftGap50         Figure = "draft between tokens p50, ms"
	DraftGap95         Figure = "draft between tokens p95, ms"
	DraftGap99         Figure = "draft between tokens p99, ms"
	RefusedShare       Figure = "refused, share"
	UrgentRefused      Figure = "urgent refused, share"
	BrokenShare        Figure = "broken or severed, share"
	LostCount          Figure = "lost, wrong or truncated"
	DoubledCount       Figure = "doubled"
	DroppedCount       Figure = "dropped by the load generator"
)

// Figures returns the figures in the order in which reports list them.
func Figures() []Figure {
	return []Figure{
		Goodput, GoodputStrict, GoodDrafts, GoodShorts, GoodCalls, WastedPrefill, UnfinishedPrefills,
		UrgentFirst50, UrgentFirst95, UrgentFirst99, UrgentGap95, ShortFirst50, ShortFirst95,
		DraftFirst50, DraftFirst95, DraftFirst99, DraftGap50, DraftGap95, DraftGap99,
		RefusedShare, UrgentRefused, BrokenShare, LostCount, DoubledCount, DroppedCount,
	}
}

// Value returns a figure of the sample, whose Report must not be nil.
func (s Sample) Value(f Figure) float64 {
	r := s.Report
	urgent, draft := r.Class(bundle.Urgent), r.Class(bundle.Draft)
	switch f {
	case Goodput:
		return r.Kind(loadgen.KindDraft).Goodput + r.Kind(loadgen.KindShort).Goodput
	case GoodputStrict:
		return float64(r.Kind(loadgen.KindDraft).GoodStrict+r.Kind(loadgen.KindShort).GoodStrict) / r.Measured.Seconds()
	case GoodDrafts:
		return r.Kind(loadgen.KindDraft).Goodput
	case GoodShorts:
		return r.Kind(loadgen.KindShort).Goodput
	case GoodCalls:
		return r.Kind(loadgen.KindLookup).Goodput + r.Kind(loadgen.KindSubmit).Goodput
	case WastedPrefill:
		return share(s.Engines.WastedTokens, s.Engines.PrefillTokens)
	case UnfinishedPrefills:
		return s.unfinishedShare()
	case UrgentFirst50:
		return urgent.FirstToken.P50
	case UrgentFirst95:
		return urgent.FirstToken.P95
	case UrgentFirst99:
		return urgent.FirstToken.P99
	case UrgentGap95:
		return urgent.BetweenTokens.P95
	case ShortFirst50:
		return r.Kind(loadgen.KindShort).FirstToken.P50
	case ShortFirst95:
		return r.Kind(loadgen.KindShort).FirstToken.P95
	case DraftFirst50:
		return draft.FirstToken.P50
	case DraftFirst95:
		return draft.FirstToken.P95
	case DraftFirst99:
		return draft.FirstToken.P99
	case DraftGap50:
		return draft.BetweenTokens.P50
	case DraftGap95:
		return draft.BetweenTokens.P95
	case DraftGap99:
		return draft.BetweenTokens.P99
	case RefusedShare:
		return share(r.Steady.Count(loadgen.Refused), r.Steady.Offered)
	case UrgentRefused:
		return share(urgent.Count(loadgen.Refused), urgent.Offered)
	case BrokenShare:
		return share(r.Steady.Count(loadgen.Broken)+r.Steady.Count(loadgen.Severed), r.Steady.Offered)
	case LostCount:
		return float64(r.Lost())
	case DoubledCount:
		return float64(r.Doubled())
	case DroppedCount:
		return float64(r.All.Count(loadgen.Dropped))
	}
	return 0
}

// unfinishedShare returns the share of the started prefills whose decode did not finish. A
// completion that its caller cancelled counts as finished, since no router can foresee
// the cancellation.
func (s Sample) unfinishedShare() float64 {
	finished := s.Report.AnsweredCompletions + s.Report.CancelledCompletions
	return share(max(s.Engines.Prefills-finished, 0), s.Engines.Prefills)
}

// share returns part divided by whole, or 0 if whole is 0.
func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Samples are the samples of one measurement, in the order of their runs.
type Samples []Sample

// Summary summarizes a figure over the repeats of a cell. Segments that could not be
// run are left out.
func (l Samples) Summary(c Cell, f Figure) SummaryStats {
	var values []float64
	for _, s := range l {
		if s.Cell == c && s.Report != nil {
			values = append(values, s.Value(f))
		}
	}
	return Summarize(values)
}

// Cells returns the different cells of the samples, in the order of their first
// sample.
func (l Samples) Cells() []Cell {
	var out []Cell
	for _, s := range l {
		if !slices.Contains(out, s.Cell) {
			out = append(out, s.Cell)
		}
	}
	return out
}
