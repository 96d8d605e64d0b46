package origin

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/logpos"
	"github.com/corianderturn/corianderturn/internal/waittest"
)

var discardLogger = &log.Logger{Handler: discard.New()}

// fakeLog is a Log that can be away.
type fakeLog struct {
	mu      sync.Mutex
	records []Record
	away    bool
	reads   int
	trimmed uint64 // number of records before those that are left
}

func (l *fakeLog) Append(_ context.Context, list []Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away {
		return errors.New("away")
	}
	l.records = append(l.records, list...)
	return nil
}

func (l *fakeLog) Read(_ context.Context, from logpos.Position, _ time.Duration) ([]Record, logpos.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.away {
		return nil, from, errors.New("away")
	}
	from.Offset = max(from.Offset, l.trimmed)
	return l.records[from.Offset-l.trimmed:], logpos.Position{Offset: l.trimmed + uint64(len(l.records))}, nil
}

func (l *fakeLog) setAway(away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = away
}

func (l *fakeLog) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// fakeVersions is a Versions.
type fakeVersions struct {
	sole  fleet.SoleVersion
	inUse []fleet.ServiceVersion
	ahead func() ([]fleet.ServiceVersion, error) // nil: the store has no other registrations
}

func (v fakeVersions) ReadAhead(context.Context) ([]fleet.ServiceVersion, error) {
	if v.ahead == nil {
		return nil, nil
	}
	return v.ahead()
}

func (v fakeVersions) SoleVersion(string, time.Duration) fleet.SoleVersion { return v.sole }
func (v fakeVersions) InUse() []fleet.ServiceVersion                       { return v.inUse }
func (v fakeVersions) Registration(string) (fleet.Registration, bool) {
	return fleet.Registration{}, false
}

// fakePeers are Peers that are other keepers of the test.
type fakePeers struct{ keepers []*Keeper }

func (p *fakePeers) Share(_ context.Context, list []Record) (logged bool) {
	for _, k := range p.keepers {
		logged = k.Accept(list) || logged
	}
	return logged
}

func (p *fakePeers) ShareDelay() time.Duration { return 0 }

func (p *fakePeers) Ask(ctx context.Context, q Query) (out Reply) {
	for _, k := range p.keepers {
		if out = k.Lookup(ctx, q); out.Found || out.Conflict {
			return out
		}
	}
	return out
}

func newTestKeeper(t *testing.T, l *fakeLog, v fleet.SoleVersion, peers ...*Keeper) *Keeper {
	return startKeeper(t, l, fakeVersions{sole: v}, peers...)
}

func startKeeper(t *testing.T, l *fakeLog, v fakeVersions, peers ...*Keeper) *Keeper {
	o := Options{Versions: v, Logger: discardLogger, Now: time.Now}
	if l != nil {
		o.Log = l
	}
	if len(peers) > 0 {
		o.Peers, o.WritesLog, o.ReadsLog = &fakePeers{peers}, func() bool { return false }, func() bool { return false }
	}
	k := NewKeeper(o)
	ctx, stop := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = k.Run(ctx) }) // returns nil when ctx ends
	t.Cleanup(func() { stop(); wg.Wait() })
	return k
}

// begun returns a record of now.
func begun(try, version string) Record {
	r := recordOf(try, version)
	r.BeganMillis, r.LifeMillis = time.Now().UnixMilli(), time.Minute.Milliseconds()
	return r
}

func takeUp(resumes string) TakeUp {
	return TakeUp{Team: "team", Resumes: resumes, Services: []string{"llm"}, Window: time.Minute}
}

var twoVersions = fleet.SoleVersion{Several: true}

// Guards against streams that cannot go on although some daemon, or the log, has their record.
func TestFind(t *testing.T) {
	l := &fakeLog{}
	reader := newTestKeeper(t, l, twoVersions)
	began := newTestKeeper(t, l, twoVersions, reader)
	other := newTestKeeper(t, l, twoVersions, reader)
	began.Add(begun("s", "v1"))
	want := func(name string, k *Keeper, resumes string, outcome Outcome, version string) {
		t.Helper()
		if f := k.Find(t.Context(), takeUp(resumes)); f.Outcome != outcome || f.Version != version {
			t.Errorf("%s: %+v", name, f)
		}
	}
	waittest.Until(t, "the record is in the log", func() bool { return l.len() == 1 })
	want("the daemon that began it", began, "s", Recorded, "v1")
	want("another daemon", other, "s", Recorded, "v1")
	want("nobody's stream", other, "nobody's", Unknown, "")
	want("no id", other, "", Unknown, "")
	want("all daemons have started again", newTestKeeper(t, l, twoVersions), "s", Recorded, "v1")
	want("a daemon that reaches no reader", newTestKeeper(t, l, twoVersions, newTestKeeper(t, nil, twoVersions)), "s", Recorded, "v1")
	l.setAway(true)
	want("the store is away, a reader has it", other, "s", Recorded, "v1")
	want("the store is away and all have started again", newTestKeeper(t, l, twoVersions), "s", Unknown, "")
}

// Guards against a version that is taken for the only one by a daemon that cannot know.
func TestSoleVersion(t *testing.T) {
	for name, tc := range map[string]struct {
		own, peer fleet.SoleVersion
		logged    string // version of a record in the log
		away      bool   // the log
		want      Outcome
	}{
		"watched for the whole time":           {own: fleet.SoleVersion{Version: "v1", Watched: true}, peer: twoVersions, want: SoleVersion},
		"just started, the log has no other":   {own: fleet.SoleVersion{Version: "v1"}, logged: "v1", want: SoleVersion},
		"just started, the log has another":    {own: fleet.SoleVersion{Version: "v1"}, logged: "v0", want: Unknown},
		"just started, no log":                 {own: fleet.SoleVersion{Version: "v1"}, away: true, want: Unknown},
		"just started, another daemon knows":   {own: fleet.SoleVersion{Version: "v1"}, peer: fleet.SoleVersion{Version: "v1", Watched: true}, away: true, want: SoleVersion},
		"just started, another daemon differs": {own: fleet.SoleVersion{Version: "v1"}, peer: fleet.SoleVersion{Version: "v2", Watched: true}, away: true, want: Unknown},
		"registrations out of date":            {peer: fleet.SoleVersion{Version: "v1", Watched: true}, away: true, want: Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			l := &fakeLog{away: tc.away}
			if tc.logged != "" {
				l.records = []Record{begun("x", tc.logged)}
			}
			k := newTestKeeper(t, l, tc.own, newTestKeeper(t, nil, tc.peer))
			k.o.ReadsLog = func() bool { return true }
			if f := k.Find(t.Context(), takeUp("")); f.Outcome != tc.want {
				t.Errorf("%+v", f)
			}
		})
	}
}

// Guards against a stream that goes on at another version, after the end of all daemons, because the log lacks the
// record of its last moments, and of any other stream of its version.
func TestVersionsOutlastTheDaemons(t *testing.T) {
	l := &fakeLog{}
	startKeeper(t, l, fakeVersions{inUse: []fleet.ServiceVersion{{Service: "llm", Version: "v2"}}})
	waittest.Until(t, "the version is noted", func() bool { return l.len() == 1 })
	back := newTestKeeper(t, l, fleet.SoleVersion{Version: "v1"})
	if f := back.Find(t.Context(), takeUp("")); f.Outcome != Unknown {
		t.Errorf("%+v although v2 was in use", f)
	}
	if f := newTestKeeper(t, l, fleet.SoleVersion{Version: "v2"}).Find(t.Context(), takeUp("")); f.Outcome != SoleVersion {
		t.Errorf("%+v although v2 alone was in use", f)
	}
}

// Guards against a log that counts as proof for a time of which the store has dropped its records.
func TestTrimmedLogProvesNothing(t *testing.T) {
	for name, tc := range map[string]struct {
		age  time.Duration // of the oldest record that is left; 0 if there is none
		want Outcome
	}{"empty": {0, Unknown}, "too short": {time.Second, Unknown}, "long enough": {2 * time.Minute, SoleVersion}} {
		l := &fakeLog{trimmed: 7}
		if tc.age > 0 {
			r := begun("x", "v1")
			r.BeganMillis -= tc.age.Milliseconds()
			l.records = []Record{r}
		}
		if f := newTestKeeper(t, l, fleet.SoleVersion{Version: "v1"}).Find(t.Context(), takeUp("")); f.Outcome != tc.want {
			t.Errorf("%s: %+v, want %s", name, f, tc.want)
		}
	}
}

// Guards against notes that are written again and again, and against versions that come back and are not noted.
func TestDueNotes(t *testing.T) {
	v1, v2 := fleet.ServiceVersion{Service: "llm", Version: "v1"}, fleet.ServiceVersion{Service: "llm", Version: "v2"}
	now := time.Unix(1000, 0)
	noted := map[fleet.ServiceVersion]time.Time{v1: now}
	for _, tc := range []struct {
		after time.Duration
		inUse []fleet.ServiceVersion
		want  int
	}{
		{time.Second, []fleet.ServiceVersion{v1}, 0},
		{time.Second, []fleet.ServiceVersion{v1, v2}, 1},
		{versionNoteInterval, []fleet.ServiceVersion{v1}, 1},
		{time.Second, nil, 0},
		{time.Second, []fleet.ServiceVersion{v1}, 1}, // forgotten by the last one
	} {
		if due, list := dueNotes(noted, tc.inUse, now.Add(tc.after)); len(due) != tc.want || len(list) != tc.want {
			t.Errorf("%v: %v, want %d", tc, due, tc.want)
		}
	}
}

// Guards against callers that name streams which never were and so occupy the log and the daemons.
func TestFloodOfUnknownStreams(t *testing.T) {
	l := &fakeLog{}
	k := newTestKeeper(t, l, twoVersions)
	var wg conc.WaitGroup
	for range 2000 {
		wg.Go(func() { k.Find(t.Context(), takeUp("nobody's")) })
	}
	wg.Wait()
	if l.reads > maxSearches || k.table.Len() > 0 {
		t.Errorf("%d reads of the log, %d records", l.reads, k.table.Len())
	}
}
