package policy

import (
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// affinityDepths are prefix lengths in blocks. The hash of the prompt's first 1 and first 8
// blocks each select a preferred replica: one for a shared preamble, one for the start of
// the text after it.
var affinityDepths = [...]int{1, 8}

// affinityBonus multiplies the score of a replica that the prefix hashes to or that has part of
// the prefix cached. A lower score is better, so this replica is preferred to equal ones.
// Otherwise the first prompt with a prefix would go to a random replica and the next one would
// not find the cached prefix.
const affinityBonus = 0.9

// prefillChoice is a candidate prefill engine with its predicted cost. Predicted times are
// relative to the time of the decision.
type prefillChoice struct {
	replica      *Replica
	cachedTokens int
	// tokensAhead is the number of queued prompt tokens that it prefills before this prompt.
	tokensAhead int
	// transferStart is when the result is computed and the link to the decode engine is free,
	// and linkWait how long the result waits for the link.
	transferStart time.Duration
	linkWait      time.Duration
	transfer      time.Duration
	// ready is when the KV cache is on the decode engine.
	ready time.Duration
	score float64
}

// pickPrefill returns the engine whose result is predicted to reach the decode engine first.
// Candidates are a few random engines, first those in the decode engine's data centre, and
// engines that may have the prompt's prefix cached. If the best local engine has prompts
// queued, engines in other data centres are considered too, since a queued prompt takes much
// longer than the network round trip. Engines that recently refused a prompt are skipped,
// unless no other is left and decodeCanPrefill is false; so are ejected ones.
func (d *decision) pickPrefill(p *Pool, decode *Replica, bytes int64, decodeCanPrefill bool) (prefillChoice, *errkind.Error) {
	if p.Len() == 0 && decodeCanPrefill {
		return prefillChoice{}, d.refuseNoUpstream(p)
	}
	p, err := d.available(p)
	if err != nil {
		return prefillChoice{}, err
	}
	var best prefillChoice
	for _, g := range p.localThenAll(decode.DataCentre) {
		best = d.bestPrefill(g, decode, bytes, best)
		if best.replica != nil && best.tokensAhead == 0 && d.meetsFirstTokenTarget(best.ready) {
			return best, nil
		}
	}
	if best.replica == nil && !decodeCanPrefill {
		best = d.pickRefusingPrefill(p, decode, bytes)
	}
	if best.replica == nil {
		return best, d.refuseNoUpstream(p)
	}
	return best, nil
}

// pickRefusingPrefill returns the cheapest engine of the pool, including those that recently
// refused a prompt. It is used when no other engine can prefill the prompt.
func (d *decision) pickRefusingPrefill(p *Pool, decode *Replica, bytes int64) prefillChoice {
	d.includeRefusing = true
	return d.bestPrefill(&p.all, decode, bytes, prefillChoice{})
}

// bestPrefill returns the cheapest of best and the candidates sampled from g. When all of
// them are unusable, it scans a group of up to scanLimit replicas.
func (d *decision) bestPrefill(g *group, decode *Replica, bytes int64, best prefillChoice) prefillChoice {
	var c candidates
	d.addPrefixCandidates(&c, g.replicas)
	preferred := c.n
	c.sample(g.replicas, prefillChoices, d.rng)
	best = d.cheapestPrefill(c.list[:preferred], affinityBonus, decode, bytes, best)
	best = d.cheapestPrefill(c.list[preferred:c.n], 1, decode, bytes, best)
	if best.replica == nil && len(g.replicas) <= scanLimit {
		best = d.cheapestPrefill(g.replicas, 1, decode, bytes, best)
	}
	return best
}

// cheapestPrefill returns the cheapest of best and the replicas in list, whose scores are
// multiplied by bonus.
func (d *decision) cheapestPrefill(list []*Replica, bonus float64, decode *Replica, bytes int64, best prefillChoice) prefillChoice {
	for _, r := range list {
		d.considered++
		if !d.usable(r) || !d.includeRefusing && d.inflight.Full(r.Name, d.query.Now) {
			continue
		}
		got := d.costPrefill(r, decode, bytes)
		got.score *= bonus
		if best.replica == nil || got.score < best.score {
			best = got
		}
	}
	return best
}

// addPrefixCandidates adds replicas that may have the prompt's prefix cached: the owners of
// the prefix, to which all daemons send prompts with it, and in a small pool also those that
// have it by the prefix index. The index alone misses the prompts that other daemons sent.
func (d *decision) addPrefixCandidates(c *candidates, list []*Replica) {
	if !d.features.prefix || len(d.query.Prefix) == 0 || len(list) == 0 {
		return
	}
	if len(list) <= scanLimit {
		for _, r := range list {
			if d.cachedBlocks(r) > 0 {
				c.add(r)
			}
		}
	}
	for _, depth := range affinityDepths {
		c.add(prefixOwner(list, d.query.Prefix[min(depth, len(d.query.Prefix))-1]))
	}
}

// cachedBlocks returns how many leading blocks of the prompt r has cached by the prefix
// index; 0 when prefix affinity is off.
func (d *decision) cachedBlocks(r *Replica) int {
	if !d.features.prefix || d.snapshot.Prefix == nil || len(d.query.Prefix) == 0 {
		return 0
	}
	return d.snapshot.Prefix.CachedBlocks(r.Name, d.query.Prefix)
}

// costPrefill predicts when r's result is on the decode engine. It adds the time for the
// prompt tokens ahead, the uncached part of this prompt, the wait for both links and the
// transfer. bytes is the size of the KV cache.
func (d *decision) costPrefill(r, decode *Replica, bytes int64) prefillChoice {
	_, ownTokens := d.inflight.Upstream(r.Name, r.LoadAt)
	cached := min(d.cachedBlocks(r)*engineapi.BlockTokens, d.query.PromptTokens)
	ahead := promptTokensAhead(d.queuedTokensNow(r)+ownTokens, d.query.Class)
	computed := time.Duration(ahead+d.query.PromptTokens-cached) * prefillPerToken(r)
	transfer := transferTime(r, decode, bytes)
	transferStart := d.bothLinksFree(r, decode, d.query.Now.Add(computed), transfer).Sub(d.query.Now)
	c := prefillChoice{
		replica:       r,
		cachedTokens:  cached,
		tokensAhead:   ahead,
		transferStart: transferStart,
		linkWait:      transferStart - computed,
		transfer:      transfer,
	}
	c.ready = callOverhead + transferStart + c.transfer
	c.score = float64(c.ready) * remoteFactor(r, decode.DataCentre) / effectiveWeight(r)
	return c
}

// queuedTokensNow estimates the prompt tokens queued at r now: its last reported queue, less
// what it has processed since at its learned rate.
func (d *decision) queuedTokensNow(r *Replica) int {
	computed := int(loadAge(r, d.query.Now) / prefillPerToken(r))
	return max(0, r.QueuedTokens-computed)
}

// bothLinksFree returns the earliest time, not before at, at which both links are free for
// the given transfer. It checks the links in turn for a few rounds, so that the result may be
// slightly too early when both have many short gaps.
func (d *decision) bothLinksFree(from, to *Replica, at time.Time, transfer time.Duration) time.Time {
	const rounds = 3
	for range rounds {
		next := d.linkFree(to, d.linkFree(from, at, transfer), transfer)
		if next.Equal(at) {
			break
		}
		at = next
	}
	return at
}

// linkFree returns the earliest time, not before at, at which r's link is free by its last
// report and by this daemon's own bookings. Bookings are ignored on a link without a rate
// limit, which carries any number of transfers at once.
func (d *decision) linkFree(r *Replica, at time.Time, transfer time.Duration) time.Time {
	if r.LinkFreeAt.After(at) {
		at = r.LinkFreeAt
	}
	if r.LinkBytesPerSecond <= 0 {
		return at
	}
	return d.inflight.LinkFree(r.Name, at, transfer)
}
