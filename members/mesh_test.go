package members

import (
	"fmt"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// mesh carries heartbeats between tables without a network.
type mesh struct {
	tables map[string]*Table
	told   map[[2]string]Cursor
	down   map[string]bool
	cut    func(a, b *Table) bool
	now    time.Time
}

func newMesh(perCentre int, centres ...string) *mesh {
	m := &mesh{tables: map[string]*Table{}, told: map[[2]string]Cursor{}, down: map[string]bool{}, now: start}
	for _, dc := range centres {
		for i := range perCentre {
			name := fmt.Sprintf("%s%02d", dc, i)
			m.tables[name] = NewTable(config(name, dc), start)
		}
	}
	return m
}

// step runs one round: every table beats to its neighbours and to the seed.
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
		rounds[name] = tb.Beat(m.now)
	}
	for l := range links {
		from, to := m.tables[l[0]], m.tables[l[1]]
		if m.down[l[0]] || m.down[l[1]] || m.cut != nil && m.cut(from, to) {
			continue
		}
		hb, told := rounds[l[0]].To(to.cfg.DataCentre, m.told[l])
		m.told[l] = told
		to.Hear(m.now, hb)
	}
}

// count returns how many pairs of up daemons of different centres, or with down
// ones, hold the given belief.
func (m *mesh) believe(want Liveness, about func(*Table) bool) (holds, all int) {
	for name, tb := range m.tables {
		if m.down[name] {
			continue
		}
		for other, o := range m.tables {
			if other == name || !about(o) {
				continue
			}
			all++
			if tb.View().Liveness(o.cfg.Node) == want {
				holds++
			}
		}
	}
	return holds, all
}

func (m *mesh) expect(t *testing.T, want Liveness, about func(*Table) bool) {
	t.Helper()
	if holds, all := m.believe(want, about); holds != all {
		t.Errorf("%d of %d beliefs are %v", holds, all, want)
	}
}

func anybody(*Table) bool { return true }

// Symptom: a daemon of another data centre is taken for dead though it lives, or
// stays alive for good after its death.
// Sequence: 24 daemons learn of each other from one seed, which leaves the mesh's
// links; then a daemon dies.
// Cause: heartbeats reach only the contacts of each other data centre, so that
// most daemons depend on relays.
func TestMeshLearnsFromOneSeedAndNoticesADeath(t *testing.T) {
	m := newMesh(8, "x", "y", "z")
	for range 12 {
		m.step("x00")
	}
	for range 40 {
		m.step("")
		m.expect(t, Alive, anybody)
	}
	m.down["y03"] = true
	gone := func(tb *Table) bool { return tb.cfg.Node.Instance == "y03" }
	for range farDeadBeats + DefaultRelayEvery + 1 {
		m.step("")
		m.expect(t, Alive, func(tb *Table) bool { return !gone(tb) })
	}
	m.expect(t, Dead, gone)
}

// Symptom: a far daemon is dead for those who depend on one relay.
// Sequence: the first contact of every daemon of y in x loses its link to it.
// Cause: only first contacts relay.
func TestSecondContactRelaysWhenTheFirstIsCutOff(t *testing.T) {
	m := newMesh(6, "x", "y")
	for range 12 {
		m.step("x00")
	}
	m.cut = func(a, b *Table) bool {
		if a.cfg.DataCentre == "x" {
			a, b = b, a
		}
		far := newMember(a.cfg.Node, "y", "")
		return a.cfg.DataCentre == "y" && b.cfg.DataCentre == "x" &&
			among(far.hash, b.View().LiveIn("x"), newMember(b.cfg.Node, "x", ""), 1)
	}
	for range 30 {
		m.step("")
		m.expect(t, Alive, func(tb *Table) bool { return tb.cfg.DataCentre == "y" })
	}
}

// Symptom: two data centres stay apart after the link between them healed.
// Sequence: x and y are cut for longer than any grace; each takes the other's
// daemons for dead; the link heals; no seed is dialled.
// Cause: nobody dials the dead.
func TestCutDataCentresFindEachOtherAgain(t *testing.T) {
	m := newMesh(5, "x", "y")
	for range 12 {
		m.step("x00")
	}
	m.cut = func(a, b *Table) bool { return a.cfg.DataCentre != b.cfg.DataCentre }
	for range 20 {
		m.step("")
	}
	for name, tb := range m.tables {
		if n := len(tb.View().Live()); n != 5 {
			t.Errorf("%s sees %d live daemons during the cut", name, n)
		}
	}
	m.cut = nil
	for range 10 {
		m.step("")
	}
	m.expect(t, Alive, anybody)
}

// designTable returns a table as one of 370 daemons in 8 data centres has it.
func designTable(tb testing.TB) *Table {
	tb.Helper()
	t := NewTable(config("daemon-00-00", "dc-0"), start)
	for i := 1; i < 370; i++ {
		dc := fmt.Sprintf("dc-%d", i%8)
		t.learn(start, wire.Known{Node: node(fmt.Sprintf("daemon-%02d-%02d", i%8, i), 1_790_000_000_000), DataCentre: dc, Address: "10.12.34.56:7400"})
	}
	t.Tick(start)
	hearNeighbours(t, start, 1)
	t.Tick(start)
	return t
}

func hearNeighbours(t *Table, now time.Time, seq uint64) {
	for _, n := range t.View().Neighbours() {
		t.Hear(now, wire.Heartbeat{Node: n.Node, DataCentre: n.DataCentre, Address: n.Address, Seq: seq})
	}
}

// The full mesh of 369 connections is never needed.
func TestNeighboursAreBounded(t *testing.T) {
	if n := len(designTable(t).View().Neighbours()); n > 45+4*7*DefaultContacts {
		t.Errorf("%d neighbours", n)
	}
}

// Symptom: a daemon of a small firm routes blindly to another data centre.
// Sequence: nine daemons in three data centres; one has no link to a steward.
// Cause: contacts alone, which leave pairs out by chance.
func TestSmallDataCentresAreLinkedAsAWhole(t *testing.T) {
	all := []string{"x0", "x1", "x2", "y0", "y1", "y2", "z0", "z1", "z2"}
	for _, self := range all {
		tb := NewTable(config(self, self[:1]), start)
		for _, n := range all {
			if n != self {
				tb.Hear(start, beat(n, n[:1], 1, 1))
			}
		}
		tb.Tick(start)
		if got := len(tb.View().Neighbours()); got != 8 {
			t.Errorf("%s has %d neighbours", self, got)
		}
		if got := len(tb.View().Near()); got != 8 {
			t.Errorf("%s has %d daemons near", self, got)
		}
	}
	if got := len(designTable(t).View().Near()); got != 46 {
		t.Errorf("%d daemons near at the design size", got)
	}
}

// BenchmarkRound measures what one daemon of 370 sends: B/beat is the mean
// frame, and B/round the frames of one round to all neighbours.
func BenchmarkRound(b *testing.B) {
	tb := designTable(b)
	told := Cursor(tb.version)
	now, seq := start, uint64(1)
	var bytes, beats, rounds int
	for b.Loop() {
		now, seq = now.Add(DefaultHeartbeat), seq+1
		hearNeighbours(tb, now, seq)
		for _, e := range tb.entries {
			if among(e.hash, tb.View().LiveIn("dc-0"), newMember(tb.cfg.Node, "", ""), 1) {
				continue
			}
			e.heard, e.relayed = now, now
		}
		tb.Tick(now)
		r := tb.Beat(now)
		for _, n := range tb.View().Neighbours() {
			hb, _ := r.To(n.DataCentre, told)
			f, err := wire.Encode(wire.Envelope{Type: wire.TypeHeartbeat}, &wire.Heartbeat{Seq: hb.Seq + 300_000, Same: true, Fresh: hb.Fresh}, wire.MaxFrame)
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
