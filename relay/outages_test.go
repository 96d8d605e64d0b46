package relay

import (
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/logpos"
)

// Each case lists what a daemon observes after it has read both feeds at t0, through another
// daemon or, if direct is set, from the store itself. The first batch that it then reads from
// the store carries the flag Away if it may cover an outage.
func TestOutageIsSuspected(t *testing.T) {
	soon, later := after(time.Second), after(2*time.Second)
	for name, tc := range map[string]struct {
		direct bool
		event  func(c *FeedCache)
		want   bool
	}{
		"nothing":                                {event: func(*FeedCache) {}},
		"a call failed":                          {event: func(c *FeedCache) { c.MarkStoreDown(soon) }, want: true},
		"a call of a reader failed":              {direct: true, event: func(c *FeedCache) { c.MarkStoreDown(soon) }, want: true},
		"a caller reports an outage":             {event: func(c *FeedCache) { c.RecordOutage(soon) }, want: true},
		"a caller reports an old outage":         {event: func(c *FeedCache) { c.RecordOutage(t0.Add(-time.Second)) }},
		"a reader is told of an outage":          {direct: true, event: func(c *FeedCache) { c.RecordOutage(soon) }},
		"a call failed before newer data came":   {event: func(c *FeedCache) { c.MarkStoreDown(soon); c.Add(later, upstreamsFeed, pos(1), fleet.Batch{Next: 1}) }},
		"a call failed, then older data arrived": {event: func(c *FeedCache) { c.MarkStoreDown(later); c.Add(soon, upstreamsFeed, pos(1), fleet.Batch{Next: 1}) }, want: true},
		"the other feed was read after a failure": {event: func(c *FeedCache) {
			c.MarkStoreDown(soon)
			c.AddFromStore(later, fleet.FeedConfig, pos(1), fleet.Batch{Next: 1})
		}, want: true},
	} {
		c := NewFeedCache()
		add := c.Add
		if tc.direct {
			add = func(at time.Time, f fleet.Feed, from logpos.Position, b fleet.Batch) { c.AddFromStore(at, f, from, b) }
		}
		add(t0, upstreamsFeed, pos(0), snapshotOf(1, "a"))
		add(t0, fleet.FeedConfig, pos(0), fleet.Batch{Next: 1, Whole: true})
		tc.event(c)
		if got := c.AddFromStore(after(3*time.Second), upstreamsFeed, pos(1), removals(2, "a")).Away; got != tc.want {
			t.Errorf("%s: away %t", name, got)
		}
		if c.AddFromStore(after(4*time.Second), upstreamsFeed, pos(2), removals(3, "b")).Away {
			t.Errorf("%s: the second batch is marked too", name)
		}
	}
}

// Guards against running upstreams that are dropped by a daemon which reads the store for the
// first time because another one, whose own calls fail, asks it.
func TestDaemonLearnsOfOutageFromCaller(t *testing.T) {
	d := newFollower(&fakeFeedStore{records: []string{"a"}}, "127.0.0.1:1")
	d.cache.Add(d.now, fleet.FeedUpstreams, pos(0), snapshotOf(0, "a"))
	callers := NewFeedCache()
	callers.MarkStoreDown(d.now.Add(time.Millisecond))
	server := NewServer(ServerOptions{
		Cache: d.cache, Roster: NewRoster(testSelf, nil), Followers: d.followers, Samples: NewSamples(d.now), Quarantine: newQuarantine(), Timing: testTiming,
		Logger: discardLogger, Now: func() time.Time { return d.now.Add(2 * time.Millisecond) },
	})
	call := readRequest{Feed: fleet.FeedUpstreams, Self: peer("r", "a", 192), SinceOutage: callers.SinceOutage(d.now.Add(2 * time.Millisecond))}
	if _, err := server.handleRead(t.Context(), call); err != nil {
		t.Fatal(err)
	}
	if b, err := d.readFrom(t, 0); err != nil || !b.Away {
		t.Errorf("away %t, %v", b.Away, err)
	}
}
