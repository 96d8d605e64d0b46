package experiment

import (
	"time"

	"github.com/corianderturn/corianderturn/internal/loadgen"
	"github.com/corianderturn/corianderturn/internal/standin/answer"
	"github.com/corianderturn/corianderturn/internal/standin/engine"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

const (
	// capacitySample is the number of requests that are generated to estimate a
	// workload's mean cost, and capacitySeed is the seed of the generator.
	capacitySample = 4000
	capacitySeed   = 99
	// PeakOccupancy is the share of decode slots in use at the peak rate: the slots
	// are nearly full.
	PeakOccupancy = 0.95
)

// Capacity holds the mean cost of a workload's requests and the arrival rates that
// a fleet of stand-ins can serve.
type Capacity struct {
	// DecodeTokens and PrefillTokens are the mean numbers of answer and prompt
	// tokens per arrival. A call of a plain service counts as an arrival with 0 tokens.
	DecodeTokens  float64 `json:"decode_tokens_per_arrival"`
	PrefillTokens float64 `json:"prefill_tokens_per_arrival"`
	// DecodeRate is the arrival rate that keeps every decode slot busy. PrefillRate is
	// the arrival rate that keeps every prefill engine busy if no prefixes are cached.
	// Both are in arrivals a second.
	DecodeRate  float64 `json:"decode_arrivals_per_s"`
	PrefillRate float64 `json:"prefill_arrivals_per_s"`
	// PeakRate is the arrival rate, in arrivals a second, at which a share of
	// PeakOccupancy of the decode slots is busy.
	PeakRate float64 `json:"peak_arrivals_per_s"`
}

// EstimateCapacity computes the capacity from the engine stand-in's constants. A decode
// engine generates one token for each occupied slot in each step, and a step takes
// from DefaultStepBase, with no slot occupied, to DefaultStepFull, with all slots
// occupied. A prefill engine computes one prompt token in DefaultPrefillPerToken.
// The scale divides all these times.
func EstimateCapacity(w loadgen.Workload, prefill, decode int, scale float64) (Capacity, error) {
	w.Rate = 1
	if len(w.Teams) == 0 {
		w.Teams = []loadgen.Team{{Name: "sample"}}
	}
	gen, err := loadgen.NewGenerator(w, "sample", capacitySeed)
	if err != nil {
		return Capacity{}, err
	}
	var capacity Capacity
	for range capacitySample {
		spec := gen.Next()
		if !spec.Kind.IsCompletion() {
			continue
		}
		capacity.DecodeTokens += float64(answer.AnswerLength(spec.Prompt, spec.MaxTokens)) / capacitySample
		capacity.PrefillTokens += float64(engineapi.CountTokens(spec.Prompt)) / capacitySample
	}
	perSecond := func(interval time.Duration) float64 { return scale / interval.Seconds() }
	slots := float64(decode * engine.DefaultSlots)
	capacity.DecodeRate = slots * perSecond(engine.DefaultStepFull) / capacity.DecodeTokens
	peakStep := engine.DefaultStepBase + time.Duration(PeakOccupancy*float64(engine.DefaultStepFull-engine.DefaultStepBase))
	capacity.PeakRate = PeakOccupancy * slots * perSecond(peakStep) / capacity.DecodeTokens
	capacity.PrefillRate = float64(prefill) * perSecond(engine.DefaultPrefillPerToken) / capacity.PrefillTokens
	return capacity, nil
}
