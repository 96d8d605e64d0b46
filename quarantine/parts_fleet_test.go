package quarantine

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/corianderturn/corianderturn/internal/logpos"
)

// Limits that the users state: a part may reach replicas partMaxArrivals more times once it has crashed
// partCrashes of them and the contact time (modelCatchUpTime) has passed. From twice that time on,
// sound requests must begin partMinBegun as often as before.
const (
	partCrashes     = 5
	partMaxArrivals = 3
	partMinBegun    = 0.95
)

// partDaemon is a simulated daemon; a restart replaces its keeper.
type partDaemon struct {
	zone        int
	keeper      *Keeper
	upAt        time.Time
	lastFault   time.Time
	offset      int
	nextRead    time.Time
	nextAppend  time.Time
	incarnation int
}

// partRun is a run of a request on a replica.
type partRun struct {
	subject                   Subject
	daemon                    *partDaemon
	incarnation               int // of the daemon
	began, responseAt, endsAt time.Time
	fatal                     Digest // zero for a sound request
}

type partReplica struct {
	name string
	upAt time.Time
	runs []partRun
}

// partFleet simulates, in virtual time, daemons that share a store and replicas that each request
// with a fatal part crashes. All other requests are sound and share their other parts with them.
type partFleet struct {
	rng              *rand.Rand
	now              time.Time
	daemons          []*partDaemon
	replicas         []*partReplica
	names            int
	log              []Record
	storeDownUntil   time.Time
	partitionedZone  int
	partitionedUntil time.Time
	rate, fatalRate  float64 // requests per second, all daemons together
	fatal            []Digest
	crashes          map[Digest][]time.Time
	late             map[Digest]int
	sent             int
	// begun and asked count sound requests, those of calm times first and those from twice the
	// contact time after the fifth crash on second; refused counts those that a part refused.
	begun, asked [2]int
	refused      int
	told         int // records appended
}

// partLog is a Log that is never called: the simulation takes pending records itself.
type partLog struct{}

func (partLog) Append(context.Context, []Record) error { return nil }

func (partLog) Read(_ context.Context, from logpos.Position, _ time.Duration) ([]Record, logpos.Position, error) {
	return nil, from, nil
}

// modelDaemons, if not 0, is the number of daemons in place of the usual ones.
var modelDaemons = flag.Int("daemons", 0, "how many daemons the model of fatal parts has")

func newPartFleet(seed uint64, daemons int) *partFleet {
	f := &partFleet{
		rng: rand.New(rand.NewPCG(seed, uint64(daemons))), now: t0, partitionedZone: -1,
		rate: 6 + float64(daemons)/2, crashes: map[Digest][]time.Time{}, late: map[Digest]int{},
	}
	f.fatalRate = f.rate / 4
	for i := range daemons {
		d := &partDaemon{zone: i % modelZones}
		f.daemons = append(f.daemons, d)
		f.start(d, 0)
	}
	for range max(6, daemons/3) {
		r := &partReplica{}
		f.replicas = append(f.replicas, r)
		f.restart(r, 0)
	}
	return f
}

func (f *partFleet) start(d *partDaemon, after time.Duration) {
	d.keeper = NewKeeper(Options{Log: partLog{}, Logger: &log.Logger{Handler: discard.New()}, Now: func() time.Time { return f.now }, Retention: 5 * time.Minute})
	d.offset, d.upAt = 0, f.now.Add(after)
	d.lastFault, d.nextRead = d.upAt, d.upAt
	d.incarnation++
}

func (f *partFleet) restart(r *partReplica, after time.Duration) {
	f.names++
	r.name, r.upAt, r.runs = fmt.Sprint("life", f.names), f.now.Add(after), nil
}

func (f *partFleet) between(from, to time.Duration) time.Duration {
	return from + time.Duration(f.rng.Int64N(int64(to-from)))
}

func (f *partFleet) reachesStore(d *partDaemon) bool {
	return !f.now.Before(f.storeDownUntil) && (d.zone != f.partitionedZone || !f.now.Before(f.partitionedUntil))
}

// inTouch reports whether a daemon has reached the store for the contact time.
func (f *partFleet) inTouch(d *partDaemon) bool {
	latest := d.lastFault
	if f.storeDownUntil.After(latest) {
		latest = f.storeDownUntil
	}
	if d.zone == f.partitionedZone && f.partitionedUntil.After(latest) {
		latest = f.partitionedUntil
	}
	return f.now.Sub(latest) >= modelCatchUpTime
}

// share makes a daemon append its pending records and read new ones when they are due.
func (f *partFleet) share(d *partDaemon) {
	if !f.reachesStore(d) {
		return
	}
	if !f.now.Before(d.nextAppend) {
		list := d.keeper.takePending()
		f.log = append(f.log, list...)
		f.told += len(list)
		d.nextAppend = f.now.Add(batchDelay)
	}
	if !f.now.Before(d.nextRead) {
		d.nextRead = f.now.Add(readInterval + modelForwardDelay)
		d.keeper.applyRecords(f.log[d.offset:], 0, true)
		d.offset = len(f.log)
	}
}

// prompt returns the parts of a new prompt: a first one that most share, one of a few hundred
// others of which some are frequent, and the given ones at any place.
func (f *partFleet) prompt(others ...Digest) []Digest {
	const documents = 300
	n := int(float64(documents) * f.rng.Float64() * f.rng.Float64() * f.rng.Float64())
	parts := []Digest{PartDigest("", "00000001"), PartDigest("", fmt.Sprintf("%08x", 1<<8+n))}
	if f.rng.IntN(10) == 0 {
		parts[0] = PartDigest("", "00000002")
	}
	for _, p := range others {
		parts = slices.Insert(parts, f.rng.IntN(len(parts)+1), p)
	}
	return parts
}

// call sends a request of a random daemon to a random replica.
func (f *partFleet) call(fatal Digest) {
	d := f.daemons[f.rng.IntN(len(f.daemons))]
	if f.now.Before(d.upAt) {
		return
	}
	f.sent++
	parts := f.prompt()
	if fatal != (Digest{}) {
		parts = f.prompt(fatal)
	}
	s := SubjectOf(DigestOf(fmt.Sprint(f.sent)), parts...)
	period := f.period()
	if fatal == (Digest{}) && period >= 0 {
		f.asked[period]++
	}
	if d.keeper.Refuses(f.now, s).Refused {
		if fatal == (Digest{}) {
			f.refused++
		}
		return
	}
	live := slices.DeleteFunc(slices.Clone(f.replicas), func(r *partReplica) bool { return f.now.Before(r.upAt) })
	if len(live) == 0 {
		return
	}
	if ends := f.crashes[fatal]; len(ends) >= partCrashes && f.now.Sub(ends[partCrashes-1]) >= modelCatchUpTime && f.inTouch(d) {
		f.late[fatal]++
	}
	if fatal == (Digest{}) && period >= 0 {
		f.begun[period]++
	}
	r := live[f.rng.IntN(len(live))]
	run := partRun{subject: s, daemon: d, incarnation: d.incarnation, began: f.now, fatal: fatal}
	run.responseAt = f.now.Add(f.between(20*time.Millisecond, 100*time.Millisecond))
	run.endsAt = f.now.Add(f.between(500*time.Millisecond, 2500*time.Millisecond))
	if fatal != (Digest{}) {
		run.endsAt = f.now.Add(f.between(20*time.Millisecond, 140*time.Millisecond))
	}
	r.runs = append(r.runs, run)
}

// period returns which of begun and asked counts a sound request now; -1 for neither.
func (f *partFleet) period() int {
	last := time.Time{}
	for _, ends := range f.crashes {
		if n := min(len(ends), partCrashes); ends[n-1].After(last) {
			last = ends[n-1]
		}
	}
	switch {
	case last.IsZero():
		return 0
	case f.now.Sub(last) >= 2*modelCatchUpTime:
		return 1
	}
	return -1
}

// serve completes the runs of a replica that are due, or crashes it.
func (f *partFleet) serve(r *partReplica) {
	left, crashes := r.runs[:0], false
	for _, run := range r.runs {
		due := !f.now.Before(run.endsAt)
		if due && run.fatal == (Digest{}) {
			if d := run.daemon; d.incarnation == run.incarnation {
				d.keeper.RecordCompletion(f.now, run.subject)
			}
			continue
		}
		crashes = crashes || due
		left = append(left, run)
	}
	if r.runs = left; crashes {
		f.crash(r)
	}
}

func (f *partFleet) crash(r *partReplica) {
	culprits := map[Digest]bool{}
	for _, run := range r.runs {
		if run.fatal != (Digest{}) && !f.now.Before(run.endsAt) {
			culprits[run.fatal] = true
		}
		if d := run.daemon; d.incarnation == run.incarnation {
			d.keeper.recordLoss(run.subject, Crash{Upstream: r.name, At: f.now, Answering: !f.now.Before(run.responseAt), Ran: f.now.Sub(run.began)})
		}
	}
	for p := range culprits {
		f.crashes[p] = append(f.crashes[p], f.now)
	}
	f.restart(r, f.between(2*time.Second, 5*time.Second))
}

func (f *partFleet) step() {
	f.now = f.now.Add(modelStep)
	for _, d := range f.daemons {
		if !f.now.Before(d.upAt) {
			f.share(d)
		}
	}
	for _, r := range f.replicas {
		f.serve(r)
	}
	for range f.due(f.rate) {
		f.call(Digest{})
	}
	for _, p := range f.fatal {
		for range f.due(f.fatalRate / float64(len(f.fatal))) {
			f.call(p)
		}
	}
}

// due draws how many requests of a rate come in one step.
func (f *partFleet) due(rate float64) (n int) {
	for expected := rate * modelStep.Seconds(); f.rng.Float64() < expected; expected-- {
		n++
	}
	return n
}

// partTroubles are what plays may hold beside fatal parts. do is called every 4 s.
var partTroubles = []struct {
	name string
	do   func(f *partFleet)
}{
	{"none", func(*partFleet) {}},
	{"racks crash", func(f *partFleet) {
		for _, r := range f.replicas {
			if !f.now.Before(r.upAt) && f.rng.IntN(3) == 0 {
				f.crash(r)
			}
		}
	}},
	{"all daemons are killed", func(f *partFleet) {
		if f.now.Sub(t0) > 24*time.Second && f.now.Sub(t0) < 29*time.Second {
			for _, d := range f.daemons {
				f.start(d, f.between(300*time.Millisecond, 800*time.Millisecond))
			}
		}
	}},
	{"daemons are killed", func(f *partFleet) {
		for _, d := range f.daemons {
			if f.rng.IntN(5) == 0 {
				f.start(d, 500*time.Millisecond)
			}
		}
	}},
	{"a data centre is cut off", func(f *partFleet) {
		f.partitionedZone, f.partitionedUntil = f.rng.IntN(modelZones), f.now.Add(f.between(time.Second, 4*time.Second))
	}},
	{"the store is away", func(f *partFleet) {
		if f.rng.IntN(3) == 0 {
			f.storeDownUntil = f.now.Add(f.between(time.Second, 4*time.Second))
		}
	}},
}

// playParts simulates 20 calm seconds and then 40 s with the given number of fatal parts.
func playParts(seed uint64, daemons, fatal int, trouble func(f *partFleet)) *partFleet {
	f := newPartFleet(seed, daemons)
	for next := f.now; f.now.Sub(t0) < 20*time.Second; f.step() {
		if fatal == 0 && !f.now.Before(next) {
			next = f.now.Add(4 * time.Second)
			trouble(f)
		}
	}
	for i := range fatal {
		f.fatal = append(f.fatal, PartDigest("", fmt.Sprintf("bad%05x", i)))
	}
	for next := f.now; f.now.Sub(t0) < 60*time.Second; f.step() {
		if !f.now.Before(next) {
			next = f.now.Add(4 * time.Second)
			trouble(f)
		}
	}
	return f
}

// modelSize is a number of daemons and how many seeds are played with it.
type modelSize struct{ daemons, seeds int }

// Guards against a part of a prompt that crashes replicas for longer than the users allow, and
// against sound requests that are refused for the parts that they share with it.
func TestModelOfFatalParts(t *testing.T) {
	for _, trouble := range partTroubles {
		for _, fatal := range []int{1, 2} {
			t.Run(fmt.Sprint(trouble.name, ", ", fatal), func(t *testing.T) {
				t.Parallel()
				sizes := []modelSize{{6, 4}, {83, 1}}
				if *modelDaemons > 0 {
					sizes = []modelSize{{*modelDaemons, 1}}
				}
				for _, size := range sizes {
					for seed := range uint64(size.seeds) * *moreSeeds {
						f := playParts(seed, size.daemons, fatal, trouble.do)
						before, after := float64(f.begun[0])/float64(f.asked[0]), float64(f.begun[1])/float64(max(1, f.asked[1]))
						t.Logf("%d daemons, seed %d: crashed %d, late %v, begun %.3f before, %.3f of %d after, refused %d, %d records", size.daemons, seed, f.names-len(f.replicas), f.late, before, after, f.asked[1], f.refused, f.told)
						for _, n := range f.late {
							if n > partMaxArrivals {
								t.Errorf("%d daemons, seed %d: %d arrivals after the fifth crash and the contact time", size.daemons, seed, n)
							}
						}
						if float64(f.refused) > (1-partMinBegun)*float64(f.asked[1]) {
							t.Errorf("%d daemons, seed %d: %d sound requests refused", size.daemons, seed, f.refused)
						}
						if f.asked[1] >= 20 && after < partMinBegun*before && trouble.name != "racks crash" {
							t.Errorf("%d daemons, seed %d: sound requests begin %.3f as often as before", size.daemons, seed, after/before)
						}
					}
				}
			})
		}
	}
}

// Guards against sound requests that are refused while upstreams crash for other reasons.
func TestModelWithoutFatalParts(t *testing.T) {
	for _, trouble := range partTroubles {
		t.Run(trouble.name, func(t *testing.T) {
			t.Parallel()
			for seed := range 3 * *moreSeeds {
				f := playParts(seed, 6, 0, trouble.do)
				if f.refused > 0 {
					t.Errorf("seed %d: %d of %d sound requests refused", seed, f.refused, f.sent)
				}
			}
		})
	}
}
