package members

import (
	"fmt"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// mesh passes heartbeats between tables without a network.
type mesh struct {
	tables      map[string]*Table
	cursors     map[[2]string]Cursor   // by names of sender and receiver
	down        map[string]bool        // stopped daemons, by name
	partitioned func(a, b *Table) bool // whether the connection between a and b is broken; may be nil
	now         time.Time
}

// newMesh returns a mesh with perCentre daemons in each of the data centres.
func newMesh(perCentre int, centres ...string) *mesh {
	m := &mesh{tables: map[string]*Table{}, cursors: map[[2]string]Cursor{}, down: map[string]bool{}, now: start}
	for _, dc := range centres {
		for i := range perCentre {
			name := fmt.Sprintf("%s%02d", dc, i)
			m.tables[name] = NewTable(config(name, dc), start)
		}
	}
	return m
}

// step advances the time by one heartbeat interval and sends one round of heartbeats
// over all connections: between neighbours and, unless seed is empty, between the
// seed and every other table.
func (m *mesh) step(seed string) {
	m.now = m.now.Add(DefaultHeartbeat)
	links := map[[2]string]bool{}
	for name, tb := range m.tables {
		for _, n := range tb.View().Neighbours() {
			links[[2]string{name, n.Node.Instance}] = true
			links[[2]string{n.Node.Instance, name}] = true
		}
		if seed != "" && name != seed {
			links[[2]string{name, seed}], links[[2]string{seed, name}] = true, true
		}
	}
	rounds := map[string]Round{}
	for name, tb := range m.tables {
		tb.Tick(m.now)
		rounds[name] = tb.NextRound(m.now)
	}
	for l := range links {
		from, to := m.tables[l[0]], m.tables[l[1]]
		if m.down[l[0]] || m.down[l[1]] || m.partitioned != nil && m.partitioned(from, to) {
			continue
		}
		hb, cursor := rounds[l[0]].HeartbeatFor(to.cfg.DataCentre, m.cursors[l])
		m.cursors[l] = cursor
		to.HandleHeartbeat(m.now, hb)
	}
}

// countLiveness counts the pairs of a running table and another one selected by
// include. matching is the number of pairs in which the first table gives the second
// the state want, total the number of all pairs.
func (m *mesh) countLiveness(want Liveness, include func(*Table) bool) (matching, total int) {
	for name, tb := range m.tables {
		if m.down[name] {
			continue
		}
		for other, o := range m.tables {
			if other == name || !include(o) {
				continue
			}
			total++
			if tb.View().Liveness(o.cfg.Node) == want {
				matching++
			}
		}
	}
	return matching, total
}

// expectLiveness fails the test unless all pairs counted by countLiveness match.
func (m *mesh) expectLiveness(t *testing.T, want Liveness, include func(*Table) bool) {
	t.Helper()
	if matching, total := m.countLiveness(want, include); matching != total {
		t.Errorf("%d of %d pairs of tables have state %v", matching, total, want)
	}
}

func anyTable(*Table) bool { return true }

// Symptom: a live daemon of another data centre is considered dead, or a dead one
// stays alive forever.
// Sequence: 24 daemons discover each other through one seed; the extra connections
// to the seed are closed; then a daemon dies.
// Cause: most daemons depend on relayed sequence numbers, because heartbeats are
// exchanged only with the contacts in other data centres.
func TestMeshLearnsFromOneSeedAndNoticesADeath(t *testing.T) {
	m := newMesh(8, "x", "y", "z")
	for range 12 {
		m.step("x00")
	}
	for range 40 {
		m.step("")
		m.expectLiveness(t, Alive, anyTable)
	}
	m.down["y03"] = true
	gone := func(tb *Table) bool { return tb.cfg.Node.Instance == "y03" }
	for range remoteDeadHeartbeats + DefaultRelayEvery + 1 {
		m.step("")
		m.expectLiveness(t, Alive, func(tb *Table) bool { return !gone(tb) })
	}
	m.expectLiveness(t, Dead, gone)
}

// Symptom: daemons that depend on a single relay consider a live remote daemon dead.
// Sequence: every daemon of y loses the connection to its first contact in x.
// Cause: only first contacts relay sequence numbers.
func TestSecondContactRelaysWhenTheFirstIsCutOff(t *testing.T) {
	m := newMesh(6, "x", "y")
	for range 12 {
		m.step("x00")
	}
	m.partitioned = func(a, b *Table) bool {
		if a.cfg.DataCentre == "x" {
			a, b = b, a
		}
		remote := newMember(a.cfg.Node, "y", "")
		return a.cfg.DataCentre == "y" && b.cfg.DataCentre == "x" &&
			inTopN(remote.hash, b.View().LiveIn("x"), newMember(b.cfg.Node, "x", ""), 1)
	}
	for range 30 {
		m.step("")
		m.expectLiveness(t, Alive, func(tb *Table) bool { return tb.cfg.DataCentre == "y" })
	}
}

// Symptom: two data centres stay disconnected after a network partition has ended.
// Sequence: x and y are partitioned until each considers the other's daemons dead;
// the partition ends; no daemon connects to a seed.
// Cause: no daemon connects to dead ones.
func TestCutDataCentresFindEachOtherAgain(t *testing.T) {
	m := newMesh(5, "x", "y")
	for range 12 {
		m.step("x00")
	}
	m.partitioned = func(a, b *Table) bool { return a.cfg.DataCentre != b.cfg.DataCentre }
	for range 20 {
		m.step("")
	}
	for name, tb := range m.tables {
		if n := len(tb.View().Live()); n != 5 {
			t.Errorf("%s has %d live daemons during the partition", name, n)
		}
	}
	m.partitioned = nil
	for range 10 {
		m.step("")
	}
	m.expectLiveness(t, Alive, anyTable)
}

// fullSizeTable returns the table of one of 370 daemons in 8 data centres, which is
// the design size.
func fullSizeTable(tb testing.TB) *Table {
	tb.Helper()
	t := NewTable(config("daemon-00-00", "dc-0"), start)
	for i := 1; i < 370; i++ {
		dc := fmt.Sprintf("dc-%d", i%8)
		t.addOrGet(start, wire.KnownDaemon{Node: node(fmt.Sprintf("daemon-%02d-%02d", i%8, i), 1_790_000_000_000), DataCentre: dc, Address: "10.12.34.56:7400"})
	}
	t.Tick(start)
	hearNeighbours(t, start, 1)
	t.Tick(start)
	return t
}

// hearNeighbours passes a heartbeat with number seq from each neighbour to t.
func hearNeighbours(t *Table, now time.Time, seq uint64) {
	for _, n := range t.View().Neighbours() {
		t.HandleHeartbeat(now, wire.Heartbeat{Node: n.Node, DataCentre: n.DataCentre, Address: n.Address, Seq: seq})
	}
}

// At the design size a daemon connects to its own data centre (45 other daemons) and
// to contacts, not to all 369 other daemons. In each of the 7 other data centres it
// is expected to have DefaultContacts contacts and to be a contact of as many daemons;
// the limit is twice that.
func TestNeighboursAreBounded(t *testing.T) {
	if n := len(fullSizeTable(t).View().Neighbours()); n > 45+4*7*DefaultContacts {
		t.Errorf("%d neighbours", n)
	}
}

// Symptom: in a small deployment a daemon routes to another data centre without load
// reports from there.
// Sequence: nine daemons in three data centres; one has no connection to a steward.
// Cause: daemons connect only to contacts, so that some pairs are not connected.
func TestSmallDataCentresAreLinkedAsAWhole(t *testing.T) {
	all := []string{"x0", "x1", "x2", "y0", "y1", "y2", "z0", "z1", "z2"}
	for _, self := range all {
		tb := NewTable(config(self, self[:1]), start)
		for _, n := range all {
			if n != self {
				tb.HandleHeartbeat(start, beat(n, n[:1], 1, 1))
			}
		}
		tb.Tick(start)
		if got := len(tb.View().Neighbours()); got != 8 {
			t.Errorf("%s has %d neighbours", self, got)
		}
		if got := len(tb.View().Near()); got != 8 {
			t.Errorf("%s: Near returns %d daemons", self, got)
		}
	}
	if got := len(fullSizeTable(t).View().Near()); got != 46 {
		t.Errorf("Near returns %d daemons at the design size", got)
	}
}

// BenchmarkRound measures the bytes that one of 370 daemons sends: B/beat is the
// mean size of a heartbeat frame, and B/round the total of one round to all
// neighbours.
func BenchmarkRound(b *testing.B) {
	tb := fullSizeTable(b)
	cursor := Cursor(tb.version)
	now, seq := start, uint64(1)
	var bytes, beats, rounds int
	for b.Loop() {
		now, seq = now.Add(DefaultHeartbeat), seq+1
		hearNeighbours(tb, now, seq)
		for _, e := range tb.entries {
			if inTopN(e.hash, tb.View().LiveIn("dc-0"), newMember(tb.cfg.Node, "", ""), 1) {
				continue
			}
			e.lastProgress, e.lastRelayed = now, now
		}
		tb.Tick(now)
		r := tb.NextRound(now)
		for _, n := range tb.View().Neighbours() {
			hb, _ := r.HeartbeatFor(n.DataCentre, cursor)
			f, err := wire.Encode(wire.Envelope{Type: wire.TypeHeartbeat}, &wire.Heartbeat{Seq: hb.Seq + 300_000, Abbreviated: true, RelayedSeqs: hb.RelayedSeqs}, wire.MaxFrame)
			if err != nil {
				b.Fatal(err)
			}
			bytes += len(f.Bytes())
			beats++
			f.Release()
		}
		rounds++
	}
	b.ReportMetric(float64(bytes)/float64(beats), "B/beat")
	b.ReportMetric(float64(bytes)/float64(rounds), "B/round")
	b.ReportMetric(float64(beats)/float64(rounds), "neighbours")
}
