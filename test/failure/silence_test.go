package failure

import (
	"syscall"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/standin/answer"
	"github.com/corianderturn/corianderturn/internal/testbed"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// moment is how far the streams of a test are when a silence begins.
type moment uint8

const (
	beforeFirstToken moment = iota
	inStream
	atEnd
)

// silentStreams is the number of streams that meet a silence of all upstreams.
const silentStreams = 4

// startStreams starts n streams on the first daemon and returns once they have reached a moment, or are
// close to their end.
func (r *harness) startStreams(n int, m moment) []*stream {
	r.t.Helper()
	streams := make([]*stream, n)
	for i := range streams {
		streams[i] = r.startStream(r.Daemons[0], completion{prompt(i), shortAnswer})
	}
	for _, s := range streams {
		if m == beforeFirstToken {
			s.awaitHeld(ofKind(ownedBy(r.Daemons[0]), engineapi.HeldPrefill))
			break
		}
		s.awaitTokens(2)
	}
	return streams
}

// silence freezes upstreams for a time, and calls beside in the middle of it.
func (r *harness) silence(list []*testbed.Upstream, length time.Duration, beside func()) {
	r.t.Helper()
	for _, u := range list {
		r.must(u.Freeze(r.ctx))
	}
	time.Sleep(length / 2)
	beside()
	time.Sleep(length / 2)
	for _, u := range list {
		r.must(u.Thaw())
	}
}

// Guards against accepted answers that are cut because sound upstreams are silent for a while.
func TestSilentProcesses(t *testing.T) {
	t.Parallel()
	const work = time.Second // of an order, in which streams that have begun come to their end
	nothing := func(*harness) {}
	version := func(r *harness) { r.publish(func(b *bundle.Bundle) { b.Policy.UrgentHeadroom /= 2 }) }
	hangUp := func(r *harness) { r.must(r.Daemons[0].Signal(syscall.SIGHUP)) }
	terminate := func(r *harness) {
		exited := r.beginDrain()
		r.t.Cleanup(func() { r.must(<-exited) })
	}
	for _, c := range []struct {
		name   string
		moment moment
		all    bool // all upstreams instead of one decode engine
		length time.Duration
		beside func(*harness)
	}{
		{"one before the first token", beforeFirstToken, false, 1600 * time.Millisecond, version},
		{"one in the stream", inStream, false, 2500 * time.Millisecond, terminate},
		{"one at the end", atEnd, false, 1300 * time.Millisecond, nothing},
		{"all for a short time", inStream, true, 500 * time.Millisecond, nothing},
		{"all before the first token", beforeFirstToken, true, 1600 * time.Millisecond, nothing},
		{"all before the first token beside a version", beforeFirstToken, true, 2500 * time.Millisecond, version},
		{"all in the stream beside a version", inStream, true, 1600 * time.Millisecond, version},
		{"all in the stream beside SIGHUP", inStream, true, 2200 * time.Millisecond, hangUp},
		{"all in the stream beside SIGTERM", inStream, true, 2500 * time.Millisecond, terminate},
		{"all at the end", atEnd, true, 1600 * time.Millisecond, version},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := startFleet(t, slowPrefill, func(l *testbed.Layout) { l.ServiceFlags = []string{"--work=" + work.String()} })
			n := 1
			if c.all {
				n = silentStreams
			}
			streams := r.startStreams(n, c.moment)
			silent := []*testbed.Upstream{r.busiestDecode()}
			if c.all {
				silent = r.Upstreams
			}
			order := make(chan reply, 1)
			go func() { order <- r.submitOrder(r.Daemons[0], "k") }()
			r.awaitActiveCalls(1)
			if last := streams[n-1]; c.moment == atEnd {
				last.awaitTokens(answer.AnswerLength(last.request.prompt, shortAnswer) - 1)
			}
			var late *stream
			r.silence(silent, c.length, func() {
				late = r.startStream(r.Daemons[1], completion{prompt(silentStreams), shortAnswer})
				c.beside(r)
			})
			for _, s := range streams {
				s.checkComplete()
			}
			late.checkCompleteOrFailed()
			r.confirmation(<-order)
			r.checkAtMostOnce("k")
			r.awaitFreed(anyWork)
		})
	}
}
