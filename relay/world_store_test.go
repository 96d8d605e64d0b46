//go:build !race

// See world_test.go for why these tests run without the race detector.

package relay

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/logpos"
	"github.com/corianderturn/corianderturn/quarantine"
	"github.com/corianderturn/corianderturn/roles"
)

// fakeStore is the store that all daemons of a test share. It keeps all records of its two
// feeds, but reads from before firstOffset fail as if the older records had been trimmed.
type fakeStore struct {
	began time.Time

	mu                sync.Mutex
	feeds             [2][]fleet.Change
	firstOffset       [2]uint64
	quarantineRecords []quarantine.Record
	down              bool // refuses all calls
	unresponsive      bool // answers no calls
	answersLate       bool // answers calls of a silence after its end; otherwise these are lost
	refusedInstances  map[string]bool
	unreachable       map[string]bool // instances whose calls are lost
	killed            map[string]bool // instances whose calls fail at once and are not counted
	members           []fakeGroupMember
	calls             []storeCall
	changed           chan struct{}
	generation        uint64
	epoch             logpos.Epoch
}

// storeCall is one call that the store received.
type storeCall struct {
	at       time.Duration // since the start of the test
	instance string
	kind     string
	weight   float64 // what the call counts for
}

// fakeGroupMember is a member of the roles group, with the end of its lease.
type fakeGroupMember struct {
	peer    Peer
	expires time.Time
}

func newFakeStore(began time.Time) *fakeStore {
	return &fakeStore{began: began, refusedInstances: map[string]bool{}, unreachable: map[string]bool{}, killed: map[string]bool{}, changed: make(chan struct{}), epoch: logpos.Unnumbered}
}

// update changes the store and wakes the calls that wait for a change.
func (s *fakeStore) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setUnreachable(instance string, unreachable bool) {
	s.update(func() { s.unreachable[instance] = unreachable })
}

func (s *fakeStore) setKilled(instance string, killed bool) {
	s.update(func() { s.killed[instance] = killed })
}

// put appends a record to a feed and returns the current time.
func (s *fakeStore) put(f fleet.Feed, c fleet.Change) time.Time {
	s.update(func() { s.feeds[f] = append(s.feeds[f], c) })
	return time.Now()
}

func (s *fakeStore) putConfig(version uint64) time.Time {
	return s.put(fleet.FeedConfig, fleet.Change{Config: &fleet.Config{Version: version}})
}

// upstream returns the registration of upstream i.
func upstream(i int) fleet.Registration {
	return fleet.Registration{Name: fmt.Sprintf("u%d", i), Service: "s", Address: fmt.Sprintf("10.9.0.%d:1", i), DataCentre: "dc0", Sequence: 1}
}

func (s *fakeStore) register(i int) {
	r := upstream(i)
	s.put(fleet.FeedUpstreams, fleet.Change{Put: &r})
}

// countCalls returns the number of calls between two times of the test, and the largest number
// in one second. Seconds count from the start of the test, and only those that begin between
// the two times.
func (s *fakeStore) countCalls(from, to time.Duration) (sum, maxPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	perSecond := map[time.Duration]float64{}
	for _, c := range s.calls {
		if at := c.at.Truncate(time.Second); at >= from && at < to {
			perSecond[at] += c.weight
		}
	}
	for _, n := range perSecond {
		sum, maxPerSecond = sum+n, max(maxPerSecond, n)
	}
	return sum, maxPerSecond
}

// callsByKind returns the number of calls since a time of the test by kind, regardless of what
// they count for.
func (s *fakeStore) callsByKind(from time.Duration) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for _, c := range s.calls {
		if c.at >= from {
			out[c.kind]++
		}
	}
	return out
}

var errRefused = errors.New("the store answered 503")

// serveCall counts a call of a kind by a daemon as weight calls and returns an error if the
// store does not serve it.
func (s *fakeStore) serveCall(ctx context.Context, instance, kind string, weight float64) error {
	s.mu.Lock()
	if s.killed[instance] {
		s.mu.Unlock()
		return errors.New("killed")
	}
	if s.unreachable[instance] {
		s.mu.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	s.calls = append(s.calls, storeCall{at: time.Since(s.began), instance: instance, kind: kind, weight: weight})
	s.mu.Unlock()
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.unresponsive && ctx.Err() == nil {
		changed := s.changed
		if !s.answersLate {
			changed = nil
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		s.mu.Lock()
	}
	if s.down || s.refusedInstances[instance] {
		return errRefused
	}
	return ctx.Err()
}

// storeClient is one daemon's client of the store.
type storeClient struct {
	store    *fakeStore
	instance string
	epochs   *logpos.Tracker
}

func (v storeClient) Snapshot(ctx context.Context, f fleet.Feed) (fleet.Batch, error) {
	v.store.mu.Lock()
	pages := 1 + len(v.store.feeds[f])/pageSize
	v.store.mu.Unlock()
	for range pages {
		if err := v.store.serveCall(ctx, v.instance, "snapshot "+f.String(), 1); err != nil {
			return fleet.Batch{}, err
		}
	}
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	v.epochs.Observe(v.store.epoch)
	last := map[string]fleet.Change{}
	for _, c := range v.store.feeds[f] {
		switch {
		case c.Gone != "":
			delete(last, c.Gone)
		case c.Put != nil:
			last[c.Put.Name] = c
		case c.Config != nil:
			last[""] = c
		}
	}
	b := fleet.Batch{Next: uint64(len(v.store.feeds[f])), Epoch: v.store.epoch}
	for _, c := range last {
		b.Changes = append(b.Changes, c)
	}
	return b, nil
}

func (v storeClient) Read(ctx context.Context, f fleet.Feed, from logpos.Position, wait time.Duration) (fleet.Batch, error) {
	if err := v.store.serveCall(ctx, v.instance, "read "+f.String(), 1); err != nil {
		return fleet.Batch{}, err
	}
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for over := wait == 0; ; {
		v.store.mu.Lock()
		all, first, refused, changed := v.store.feeds[f], v.store.firstOffset[f], v.store.down || v.store.refusedInstances[v.instance], v.store.changed
		silent, late, epoch := v.store.unresponsive, v.store.answersLate, v.store.epoch
		v.store.mu.Unlock()
		switch {
		case silent && late:
			select {
			case <-changed:
			case <-ctx.Done():
				return fleet.Batch{}, ctx.Err()
			}
			continue
		case silent: // calls that wait when a silence begins are never answered
			<-ctx.Done()
			return fleet.Batch{}, ctx.Err()
		case refused:
			return fleet.Batch{}, errRefused
		case epoch.After(from.Epoch):
			v.epochs.Observe(epoch)
			return fleet.Batch{}, logpos.ErrRestored
		case from.Offset < first || from.Offset > uint64(len(all)):
			return fleet.Batch{}, fleet.ErrTrimmed
		case over || uint64(len(all)) > from.Offset:
			return fleet.Batch{Next: uint64(len(all)), Epoch: epoch, Changes: slices.Clone(all[from.Offset:])}, nil
		}
		select {
		case <-changed:
		case <-limit.C:
			over = true
		case <-ctx.Done():
			return fleet.Batch{}, ctx.Err()
		}
	}
}

// Readers implements Directory.
func (v storeClient) Readers(ctx context.Context) ([]Peer, error) {
	if err := v.store.serveCall(ctx, v.instance, "list readers", 1); err != nil {
		return nil, err
	}
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	var out []Peer
	for _, m := range v.store.members {
		if time.Now().Before(m.expires) {
			out = append(out, m.peer)
		}
	}
	return out, nil
}

// fakeGroup is a daemon's membership of the roles group. The member that joined first owns
// the lease.
type fakeGroup struct {
	client storeClient
	self   Peer
}

func (m fakeGroup) Join(ctx context.Context, _ roles.Membership, ttl time.Duration) (roles.Membership, error) {
	s := m.client.store
	if err := s.serveCall(ctx, m.client.instance, "join", 0.1); err != nil {
		return roles.Membership{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	before := len(s.members)
	s.members = slices.DeleteFunc(s.members, func(g fakeGroupMember) bool { return !now.Before(g.expires) })
	i := slices.IndexFunc(s.members, func(g fakeGroupMember) bool { return g.peer.Address == m.self.Address })
	if i < 0 {
		s.members = append(s.members, fakeGroupMember{peer: m.self})
		i = len(s.members) - 1
		s.generation++
	} else if before != len(s.members) {
		s.generation++
	}
	s.members[i].expires = now.Add(ttl)
	m.client.epochs.Observe(s.epoch)
	return roles.Membership{Generation: s.generation, Epoch: s.epoch, Owner: i == 0}, nil
}

func (m fakeGroup) Leave(ctx context.Context) error {
	s := m.client.store
	if err := s.serveCall(ctx, m.client.instance, "leave", 0.1); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = slices.DeleteFunc(s.members, func(g fakeGroupMember) bool { return g.peer.Address == m.self.Address })
	return nil
}
