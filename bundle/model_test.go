package bundle

import (
	"fmt"
	"testing"
)

// Size of the modelled system. The model checker in this file explores every
// order of the steps of two daemons, of operators who append records with the
// same parent and children of either, of a log that is trimmed at any time, and
// of checkpoints whose append is delayed.
const (
	modelDaemons = 2
	modelMaxLog  = 6 // entries
)

// modelBounds limits the size of a search: the number of checkpoints, daemon
// restarts and log entries.
type modelBounds struct {
	checkpoints, restarts, log uint8
}

// modelRecord is a record that operators may append up to maxAppends times. An
// operator appends a record again if the reply to the first append was lost.
type modelRecord struct {
	raw        []byte
	maxAppends uint8
	byKim      bool // reviewed by kim; not appended after a restart, which may withdraw kim's key
}

// modelStart returns the chain of a daemon that starts when the log has the given
// length; again is set for a restart.
type modelStart func(again bool, length uint8) *Chain

// startWithAllKeys is a modelStart with the same trusted keys at every start.
func startWithAllKeys(bool, uint8) *Chain { return NewChain(trustWithKim) }

// restartWithoutKim is a modelStart that trusts kim's key at the first start, but
// not after a restart.
func restartWithoutKim(again bool, length uint8) *Chain {
	trust := trustWithKim
	if again {
		trust = trusted
	}
	c := NewChain(trust)
	c.SetStartEnd(uint64(length))
	return c
}

// modelState is one state of the modelled system. Chains and log entries are
// indexes into the tables of the model, which makes states comparable.
type modelState struct {
	log         [modelMaxLog]uint16
	length      uint8                // of the log, including trimmed entries
	first       uint8                // the oldest offset that the log retains
	appended    [4]uint8             // the number of appends of each record
	chains      [modelDaemons]int    // by daemon
	inflight    [modelDaemons]uint16 // the checkpoint that is being appended; 0 for none
	checkpoints uint8
	restarts    uint8
}

// chainKey holds all properties of a Chain that affect its later behaviour.
// Chains with the same key are treated as equal.
type chainKey struct {
	inForce, log          Digest
	inForceLen, logLen    int
	based                 bool
	next, covered, oldest uint64
	startEnd              uint64
	trustsKim             bool // whether the chain trusts kim's key
}

// newChainKey returns the key of a chain.
func newChainKey(c Chain) chainKey {
	return chainKey{
		c.inForce.digest(), c.log.digest(), len(c.inForce.links), len(c.log.links), c.based, c.next, c.covered, c.oldest,
		c.startEnd, hasKim(c.trust),
	}
}

// chainStep identifies a step of a chain; equal steps have equal results. The
// meaning of a and b depends on kind.
type chainStep struct {
	chain int
	kind  string
	a, b  uint64
}

// model holds the parameters of a search and its tables. Each step of a chain is
// computed once and cached, because signature checks would make the search slow.
type model struct {
	t        *testing.T
	records  []modelRecord
	bounds   modelBounds
	start    modelStart
	entries  [][]byte // log entries by index; index 0 means no entry
	entryID  map[string]uint16
	chains   []Chain
	chainID  map[chainKey]int
	steps    map[chainStep]int
	expected map[[modelMaxLog]uint16]map[uint64]Digest
}

func newModel(t *testing.T, start modelStart, bounds modelBounds, records []modelRecord) *model {
	return &model{
		t: t, records: records, bounds: bounds, start: start, entries: [][]byte{nil}, entryID: map[string]uint16{},
		chainID: map[chainKey]int{}, steps: map[chainStep]int{}, expected: map[[modelMaxLog]uint16]map[uint64]Digest{},
	}
}

// entry returns the index of a log entry and adds it to the table if it is new.
func (m *model) entry(raw []byte) uint16 {
	id, ok := m.entryID[string(raw)]
	if !ok {
		id = uint16(len(m.entries))
		m.entries = append(m.entries, raw)
		m.entryID[string(raw)] = id
	}
	return id
}

// chain returns the index of a chain and adds it to the table if it is new.
func (m *model) chain(c Chain) int {
	id, ok := m.chainID[newChainKey(c)]
	if !ok {
		id = len(m.chains)
		m.chains = append(m.chains, c)
		m.chainID[newChainKey(c)] = id
	}
	return id
}

// step returns the index of the chain that results from applying change to a copy
// of s.chain. It fails the test if the version in force goes back or is replaced
// by another one with the same number.
func (m *model) step(s chainStep, change func(c *Chain)) int {
	if id, ok := m.steps[s]; ok {
		return id
	}
	c := m.chains[s.chain]
	before := c.inForce
	change(&c)
	if c.inForce.number() < before.number() ||
		c.inForce.number() == before.number() && c.inForce.digest() != before.digest() {
		m.t.Fatalf("%s: version %d (%.4x) replaced by %d (%.4x)", s.kind, before.number(), before.digest(), c.inForce.number(), inForceDigest(&c))
	}
	id := m.chain(c)
	m.steps[s] = id
	return id
}

// expectedVersions returns the digest of each version that a reader of the whole,
// untrimmed log adopts, by number.
func (m *model) expectedVersions(log [modelMaxLog]uint16) map[uint64]Digest {
	if known, ok := m.expected[log]; ok {
		return known
	}
	c, out := NewChain(trustWithKim), map[uint64]Digest{}
	// Wrongly signed records must be skipped, as by a daemon that runs all the time.
	c.SetStartEnd(0)
	for i, id := range log {
		if id == 0 {
			break
		}
		c.OfferLog(uint64(i), m.entries[id])
		if v := c.InForce(); v != nil {
			out[v.Number] = v.Digest
		}
	}
	m.expected[log] = out
	return out
}

// check compares the version in force on each daemon with the expected one.
func (m *model) check(s modelState) {
	expected := m.expectedVersions(s.log)
	for i, id := range s.chains {
		c := m.chains[id]
		if v := c.InForce(); v != nil && expected[v.Number] != v.Digest {
			m.t.Fatalf("daemon %d has %.4x as version %d, a reader of the whole log %.4x\nfirst %d, log %v", i, v.Digest, v.Number, expected[v.Number], s.first, m.describe(s))
		}
	}
}

// describe returns the entries of a state's log in readable form.
func (m *model) describe(s modelState) (out []string) {
	for _, id := range s.log[:s.length] {
		if r, err := DecodeRecord(m.entries[id]); err == nil {
			out = append(out, fmt.Sprintf("%d:%.4x", r.Number, r.Digest()))
		} else if cp, records, err := decodeCheckpoint(m.entries[id]); err == nil {
			out = append(out, fmt.Sprintf("checkpoint(%d through %d)", records[len(records)-1].Number, cp.Through))
		}
	}
	return out
}

// successors calls visit with every state that one step leads to from s.
func (m *model) successors(s modelState, visit func(modelState)) {
	m.logSteps(s, visit)
	for i := range s.chains {
		m.readStep(s, i, visit)
		m.checkpointSteps(s, i, visit)
		for j := range s.chains {
			if i != j {
				m.peerSteps(s, i, j, visit)
			}
		}
		if s.restarts < m.bounds.restarts {
			n := s
			n.restarts++
			n.inflight[i] = 0
			n.chains[i] = m.chain(*m.start(true, s.length))
			visit(n)
		}
	}
}

// logSteps visits the states after one append by an operator and after trimming one entry.
func (m *model) logSteps(s modelState, visit func(modelState)) {
	for r, record := range m.records {
		withdrawn := record.byKim && s.restarts > 0
		if s.appended[r] < record.maxAppends && s.length < m.bounds.log && !withdrawn {
			n := s.add(m.entry(record.raw))
			n.appended[r]++
			visit(n)
		}
	}
	if s.first < s.length {
		n := s
		n.first++
		visit(n)
	}
}

// add returns the state with an entry appended to the log.
func (s modelState) add(entry uint16) modelState {
	s.log[s.length] = entry
	s.length++
	return s
}

// readStep visits the state after daemon i read the next log entry, or learned
// that it was trimmed.
func (m *model) readStep(s modelState, i int, visit func(modelState)) {
	next := m.chains[s.chains[i]].next
	n := s
	switch {
	case next < uint64(s.first):
		n.chains[i] = m.step(chainStep{s.chains[i], "trimmed", uint64(s.first), 0}, func(c *Chain) { c.Trimmed(uint64(s.first)) })
	case next < uint64(s.length):
		id := s.log[next]
		n.chains[i] = m.step(chainStep{s.chains[i], "read", next, uint64(id)}, func(c *Chain) { c.OfferLog(next, m.entries[id]) })
	default:
		return
	}
	visit(n)
}

// checkpointSteps visits the states after daemon i encoded a checkpoint, and after
// its pending checkpoint was appended to the log.
func (m *model) checkpointSteps(s modelState, i int, visit func(modelState)) {
	c := m.chains[s.chains[i]]
	if data, ok := c.Checkpoint(); ok && s.inflight[i] == 0 && s.checkpoints < m.bounds.checkpoints {
		n := s
		n.checkpoints++
		n.inflight[i] = m.entry(data)
		visit(n)
	}
	if s.inflight[i] != 0 && s.length < m.bounds.log {
		n := s.add(s.inflight[i])
		n.inflight[i] = 0
		visit(n)
	}
}

// peerSteps visits the states after daemon j received the records in force on
// daemon i: only the first of them, or all of them and the position on the log.
func (m *model) peerSteps(s modelState, i, j int, visit func(modelState)) {
	from, to := m.chains[s.chains[i]], m.chains[s.chains[j]]
	records := from.RecordsAfter(to.inForce.number())
	view := from.View()
	if len(records) > 1 {
		n := s
		n.chains[j] = m.step(chainStep{s.chains[j], "peer record", uint64(m.entry(records[0])), 0}, func(c *Chain) { c.Offer(records[0]) })
		visit(n)
	}
	n := s
	n.chains[j] = m.step(chainStep{s.chains[j], "peer", uint64(s.chains[i]), 0}, func(c *Chain) {
		for _, r := range records {
			c.Offer(r)
		}
		if view.CaughtUp {
			c.SeekTo(view.Digest, view.Through)
		}
	})
	visit(n)
}

// The version in force must never go back on a daemon, and daemons must never
// have different versions with the same number. The test explores every order of
// appending two records with the same parent, appending one of them twice,
// appending children (also before their parent), trimming, delayed checkpoints,
// reads, peers' responses, and restarts, which lose all state and may withdraw a
// key that signed a record. Each of these steps would break a simpler rule for
// adopting records.
func TestExhaustive(t *testing.T) {
	g := snapshot(nil, "g")
	a, b := snapshot(g, "a"), delta(g, "b")
	c := delta(a, "c")
	once := func(records ...*Record) (out []modelRecord) {
		for _, r := range records {
			out = append(out, modelRecord{raw: r.Raw(), maxAppends: 1, byKim: r.Reviewer == kim.ID})
		}
		return out
	}
	twice := func(records []modelRecord, i int) []modelRecord {
		records[i].maxAppends = 2
		return records
	}
	old := byKim(g)
	tests := []struct {
		name    string
		start   modelStart
		bounds  modelBounds
		records []modelRecord
	}{
		{"first version raced", startWithAllKeys, modelBounds{1, 1, 4}, twice(once(g, snapshot(nil, "h")), 0)},
		{"racers", startWithAllKeys, modelBounds{1, 1, 4}, once(g, a, b)},
		{"racers, reply lost", startWithAllKeys, modelBounds{0, 1, 4}, twice(once(g, a, b), 1)},
		{"child before parent", startWithAllKeys, modelBounds{1, 0, 5}, once(g, a, c, delta(a, "d"))},
		{"first version's key withdrawn", restartWithoutKim, modelBounds{1, 1, 4}, once(old, snapshot(nil, "h"), snapshot(old, "s"))},
		{"a racer's key withdrawn", restartWithoutKim, modelBounds{1, 1, 4}, once(g, byKim(a), b)},
		{"both daemons without it", restartWithoutKim, modelBounds{0, 2, 4}, once(g, byKim(a), b)},
		{"made-up record", restartWithoutKim, modelBounds{0, 1, 4}, once(g, signedByUntrusted(snapshot(g, "x")), b)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newModel(t, tt.start, tt.bounds, tt.records)
			states := m.explore()
			t.Logf("%d states, %d of a chain, %d logs", states, len(m.chains), len(m.expected))
		})
	}
}

// canonical returns the state with the daemons in a fixed order. The daemons are
// interchangeable, so this reduces the number of states.
func (s modelState) canonical() modelState {
	if s.chains[0] > s.chains[1] {
		s.chains[0], s.chains[1] = s.chains[1], s.chains[0]
		s.inflight[0], s.inflight[1] = s.inflight[1], s.inflight[0]
	}
	return s
}

// explore checks every reachable state and returns the number of states.
func (m *model) explore() int {
	fresh := m.chain(*m.start(false, 0))
	start := modelState{chains: [modelDaemons]int{fresh, fresh}}
	seen := map[modelState]struct{}{start: {}}
	queue := []modelState{start}
	for len(queue) > 0 {
		s := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		m.check(s)
		m.successors(s, func(n modelState) {
			n = n.canonical()
			if _, ok := seen[n]; !ok {
				seen[n] = struct{}{}
				queue = append(queue, n)
			}
		})
	}
	return len(seen)
}
