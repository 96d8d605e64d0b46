package policy

import "github.com/corianderturn/corianderturn/bundle"

// The ranks of the two built-in classes. Other classes use the priority set in the bundle.
const (
	rankUrgent = iota
	rankDraft
)

// ClassRank returns the rank by which requests of a class compete with others; a lower rank goes
// first.
func ClassRank(b *bundle.Bundle, class bundle.Class) int {
	switch class {
	case bundle.Urgent:
		return rankUrgent
	case bundle.Draft:
		return rankDraft
	}
	return b.Classes[class].Priority
}

// Rank returns the rank by which a request competes for the units of a rate limit; a lower rank
// goes first. It is the request's own priority if it has one, and otherwise the rank of its class.
func Rank(b *bundle.Bundle, class bundle.Class, priority *int) int {
	if priority != nil {
		return *priority
	}
	return ClassRank(b, class)
}

// QueueRank returns the rank by which a completion waits for a decode slot of a model; a lower
// rank goes first. It is 0 for all completions of a model whose classes do not differ in rank.
//
// A request's own priority, which is its team's, does not count: engines obey it, and a team whose
// requests all went first here would crowd the urgent ones of the other teams out.
func QueueRank(b *bundle.Bundle, model string, class bundle.Class) int {
	if class != bundle.Urgent && class != bundle.Draft && len(b.Models[model].Ranks) == 0 {
		return 0
	}
	return ClassRank(b, class)
}

// precedesOthers reports whether the model also has requests of a higher rank than this one.
//
// Load pattern: engines that are full for seconds, and requests for them of which some are worth
// much more to their callers. If all of them could wait for the same share of their targets, the
// urgent ones, whose targets are short, would give up first and be refused most often.
func (d *decision) precedesOthers() bool {
	return PrecedesOthers(d.snapshot.Bundle, d.query.Model, d.query.Class)
}

// PrecedesOthers reports whether a model also has requests of a higher rank than those of a class.
func PrecedesOthers(b *bundle.Bundle, model string, class bundle.Class) bool {
	ranks := b.Models[model].Ranks
	return len(ranks) > 1 && ClassRank(b, class) < ranks[len(ranks)-1]
}

// mayBeLate reports whether the request may wait for a slot past its target, because a late answer
// is worth more to its caller than a refusal.
func (d *decision) mayBeLate() bool { return d.query.Retried || d.precedesOthers() }
