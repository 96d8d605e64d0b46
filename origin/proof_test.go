package origin

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/fleet"
)

var (
	watchedV1 = fleet.SoleVersion{Version: "v1", Watched: true}
	startedV1 = fleet.SoleVersion{Version: "v1"}
	hasV2     = []fleet.ServiceVersion{{Service: "other", Version: "v7"}, {Service: "llm", Version: "v2"}}
	hasV1     = []fleet.ServiceVersion{{Service: "other", Version: "v7"}, {Service: "llm", Version: "v1"}}
)

// storeWith is a ReadAhead.
func storeWith(list []fleet.ServiceVersion) func() ([]fleet.ServiceVersion, error) {
	return func() ([]fleet.ServiceVersion, error) { return list, nil }
}

func cutOff() ([]fleet.ServiceVersion, error) { return nil, errors.New("cut off") }

// Guards against a stream that goes on at the version that was the only one some time ago, when this daemon, or
// the one that it asks, last heard of the others.
func TestKnowledgeOfThenProvesNothing(t *testing.T) {
	for name, tc := range map[string]struct {
		own, peer fakeVersions
		noPeer    bool
		follows   bool // asks the other daemon first
		want      Outcome
		proof     Proof
	}{
		"in step":                           {own: fakeVersions{sole: watchedV1}, want: SoleVersion, proof: ProvedByStore},
		"in step, more of the same":         {own: fakeVersions{sole: watchedV1, ahead: storeWith(hasV1)}, want: SoleVersion, proof: ProvedByStore},
		"the store has another":             {own: fakeVersions{sole: watchedV1, ahead: storeWith(hasV2)}, peer: fakeVersions{sole: watchedV1}, want: Unknown},
		"cut off from all":                  {own: fakeVersions{sole: watchedV1, ahead: cutOff}, noPeer: true, want: Unknown},
		"cut off from the store":            {own: fakeVersions{sole: watchedV1, ahead: cutOff}, peer: fakeVersions{sole: watchedV1}, want: SoleVersion, proof: ProvedByDaemon},
		"the other daemon has another":      {own: fakeVersions{sole: watchedV1, ahead: cutOff}, peer: fakeVersions{sole: fleet.SoleVersion{Version: "v2", Watched: true}}, want: Unknown},
		"the other daemon has both":         {own: fakeVersions{sole: watchedV1, ahead: cutOff}, peer: fakeVersions{sole: twoVersions}, want: Unknown},
		"both cut off":                      {own: fakeVersions{sole: watchedV1, ahead: cutOff}, peer: fakeVersions{sole: watchedV1, ahead: cutOff}, want: Unknown},
		"the other daemon reads of another": {own: fakeVersions{sole: watchedV1, ahead: cutOff}, peer: fakeVersions{sole: watchedV1, ahead: storeWith(hasV2)}, want: Unknown},
		"just started, both cut off":        {own: fakeVersions{sole: startedV1, ahead: cutOff}, peer: fakeVersions{sole: watchedV1, ahead: cutOff}, want: Unknown},
		"follower":                          {own: fakeVersions{sole: watchedV1}, peer: fakeVersions{sole: watchedV1}, follows: true, want: SoleVersion, proof: ProvedByDaemon},
		"follower, the reader has another":  {own: fakeVersions{sole: watchedV1}, peer: fakeVersions{sole: watchedV1, ahead: storeWith(hasV2)}, follows: true, want: Unknown},
		"follower, the reader is cut off":   {own: fakeVersions{sole: watchedV1, ahead: cutOff}, peer: fakeVersions{sole: watchedV1, ahead: cutOff}, follows: true, want: Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			var peers []*Keeper
			if !tc.noPeer {
				peers = append(peers, startKeeper(t, nil, tc.peer))
			}
			k := startKeeper(t, nil, tc.own, peers...)
			k.o.ReadsLog = func() bool { return !tc.follows }
			reply, f := k.find(t.Context(), takeUp(""))
			if f.Outcome != tc.want || reply.Proof != tc.proof {
				t.Errorf("%+v, proof %q", f, reply.Proof)
			}
		})
	}
}

// Guards against a log that was read before the last version came, at a daemon that has not watched for long.
func TestLogOfThenProvesNothing(t *testing.T) {
	l := &fakeLog{records: []Record{begun("x", "v1")}}
	k := newTestKeeper(t, l, startedV1)
	if f := k.Find(t.Context(), takeUp("")); f.Outcome != SoleVersion {
		t.Fatalf("%+v", f)
	}
	l.setAway(true)
	if f := k.Find(t.Context(), takeUp("")); f.Outcome != Unknown {
		t.Errorf("%+v although the log is away", f)
	}
	l.setAway(false)
	l.records = append(l.records, versionNote(fleet.ServiceVersion{Service: "llm", Version: "v2"}, time.Now()))
	if f := k.Find(t.Context(), takeUp("")); f.Outcome != Unknown {
		t.Errorf("%+v although the log notes another version", f)
	}
}

// Guards against a stream that goes on because of an answer that was on its way, or waited at a daemon that
// stood still, when the stream was taken up.
func TestAnswersOfBeforeProveNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var registered []fleet.ServiceVersion
		k := NewKeeper(Options{Versions: fakeVersions{sole: watchedV1, ahead: func() ([]fleet.ServiceVersion, error) {
			mu.Lock()
			list := registered
			mu.Unlock()
			time.Sleep(300 * time.Millisecond)
			return list, nil
		}}, Logger: discardLogger, Now: time.Now})
		var wg conc.WaitGroup
		wg.Go(func() {
			if f := k.Find(t.Context(), takeUp("")); f.Outcome != SoleVersion {
				t.Errorf("before: %+v", f)
			}
		})
		time.Sleep(100 * time.Millisecond)
		mu.Lock()
		registered = hasV2
		mu.Unlock()
		if f := k.Find(t.Context(), takeUp("")); f.Outcome != Unknown {
			t.Errorf("after: %+v", f)
		}
		wg.Wait()
	})
}

// Guards against a call of the store, or of another daemon, for each of many streams that are taken up at once,
// and against streams that are refused for their number.
func TestManyTakenUpShareProofs(t *testing.T) {
	for name, follows := range map[string]bool{"reads the store": false, "follows a reader": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var reads atomic.Int64
				read := func() ([]fleet.ServiceVersion, error) {
					reads.Add(1)
					time.Sleep(4 * time.Millisecond)
					return nil, nil
				}
				o := Options{Versions: fakeVersions{sole: watchedV1, ahead: read}, Logger: discardLogger, Now: time.Now}
				if follows {
					o.Peers, o.ReadsLog = &fakePeers{[]*Keeper{NewKeeper(o)}}, func() bool { return false }
				}
				k := NewKeeper(o)
				var wg conc.WaitGroup
				for i := range 500 {
					wg.Go(func() {
						time.Sleep(time.Duration(i%20) * time.Millisecond)
						if f := k.Find(context.Background(), takeUp("")); f.Outcome != SoleVersion {
							t.Errorf("%+v", f)
						}
					})
				}
				wg.Wait()
				if n := reads.Load(); n > 3 {
					t.Errorf("%d reads for what came within 20 ms", n)
				}
			})
		})
	}
}
