package router

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/settings"
)

// storePath is a daemon's network path to the store, which can be cut: it then carries no bytes, and its
// connections stay open.
type storePath struct {
	listener net.Listener
	target   string

	mu  sync.Mutex
	cut chan struct{} // nil while the path works, closed by mend
}

func newStorePath(t *testing.T, target string) *storePath {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &storePath{listener: ln, target: target}
	t.Cleanup(func() { _ = ln.Close(); p.mend() })
	go p.accept()
	return p
}

func (p *storePath) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		go p.carry(in, out)
		go p.carry(out, in)
	}
}

// carry carries the bytes of one direction until a side closes.
func (p *storePath) carry(dst, src net.Conn) {
	defer dst.Close()
	defer src.Close()
	for buf := make([]byte, 32<<10); ; {
		n, err := src.Read(buf)
		p.wait()
		if err != nil {
			return
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *storePath) wait() {
	p.mu.Lock()
	cut := p.cut
	p.mu.Unlock()
	if cut != nil {
		<-cut
	}
}

func (p *storePath) setCut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = make(chan struct{})
}

func (p *storePath) mend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut != nil {
		close(p.cut)
		p.cut = nil
	}
}

// Guards against streams that callers take up, without naming their try, at a daemon that has not heard of a
// version at which they began elsewhere, because its path to the store is cut.
func TestStreamsTakenUpAtStaleDaemon(t *testing.T) {
	const streams = 12
	for name, tc := range map[string]struct {
		peers   bool // the daemons reach each other
		cut     bool
		release bool // engines of v2 come
		leave   bool // and those of v1 go
		goOn    bool
	}{
		"in step":              {goOn: true},
		"in step beside peers": {peers: true, goOn: true},
		"in step in a release": {release: true},
		"cut off from all":     {cut: true, release: true},
		"cut off from all and the old version leaves": {cut: true, release: true, leave: true},
		"cut off from the store":                      {peers: true, cut: true, release: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			defer limitFleets()()
			shared := newAttachedSite(t)
			path := newStorePath(t, shared.site.StoreAddress())
			listen := ""
			if tc.peers {
				listen = "127.0.0.1:0"
			}
			other := shared.startBeside(t, "other", listen, nil)
			stale := shared.startBeside(t, "stale", listen, func(s *settings.Attached) {
				s.Store.Address = path.listener.Addr().String()
				if tc.peers {
					s.Relay.Seeds = []string{other.daemon.roster.Self().Address}
				}
			})
			tries := 0
			waittest.Until(t, "a stream goes on in step", func() bool {
				tries++
				id := fmt.Sprint("before", tries)
				other.begin(t, id, 1)
				return stale.takeUp(t, id+"-2", "", 1).status == http.StatusOK
			})
			if tc.cut {
				path.setCut()
			}
			if tc.release {
				shared.release(t, tc.leave)
			}
			goOn := 0
			for i := range streams {
				id := fmt.Sprint("s", i)
				events := shared.beginAfterRelease(t, other, id, tc.release)
				got := stale.takeUp(t, id+"-2", "", 2)
				if got.status == http.StatusOK {
					goOn++
				}
				if v := versionsOf(events + got.body); len(v) > 1 {
					t.Errorf("%s: events of versions %v", id, v)
				}
			}
			if tc.goOn && float64(goOn) < 0.9*streams {
				t.Errorf("%d of %d streams go on", goOn, streams)
			}
		})
	}
}

// startBeside starts another daemon of a site. An empty address means that it knows no other daemons.
func (f *attachedFleet) startBeside(t *testing.T, name, listen string, change func(s *settings.Attached)) *attachedFleet {
	t.Helper()
	d := &attachedFleet{t: t, site: f.site, upstreams: f.upstreams, connect: upstreamTransport().Dialer()}
	d.start(func(s *settings.Attached) {
		s.Instance.Name = name
		if listen != "" {
			s.Relay = settings.Relay{Listen: listen, DataCentres: []string{"dc1"}}
		}
		if change != nil {
			change(s)
		}
	})
	return d
}

// release adds engines of v2. Those of v1 take no new streams, and leave if told to.
func (f *attachedFleet) release(t *testing.T, leave bool) {
	t.Helper()
	for _, u := range []struct{ name, role string }{{"p-v2", "prefill"}, {"d-v2", "decode"}} {
		added, err := f.site.Add(u.name, "dc1", u.role, streamEvents, 0)
		if err != nil {
			t.Fatal(err)
		}
		f.upstreams[u.name] = added
		f.setVersion(u.name, "v2")
	}
	if leave {
		for _, name := range []string{"p0", "p1", "d0", "d1"} {
			f.site.Store.Put(site.TopicUpstreams, name, nil)
		}
	}
}

// beginAfterRelease begins a stream, at v2 after a release.
func (f *attachedFleet) beginAfterRelease(t *testing.T, at *attachedFleet, id string, released bool) (events string) {
	t.Helper()
	if !released {
		return at.begin(t, id, 2)
	}
	f.setFaults("d0 d1", site.Faults{Full: true})
	defer f.setFaults("d0 d1", site.Faults{})
	tries := 0
	waittest.Until(t, "a stream begins at v2", func() bool {
		tries++
		events = at.begin(t, fmt.Sprint(id, "-", tries), 2)
		return slices.Equal(versionsOf(events), []string{"v2"})
	})
	return events
}

// Guards against streams that go on at another version where the daemon that begins them is stale: it uses
// registrations that the store dropped for longer than a stream may last, so that no read of the store has them.
func TestStreamsBegunAtStaleDaemon(t *testing.T) {
	t.Parallel()
	shared := newAttachedSite(t)
	path := newStorePath(t, shared.site.StoreAddress())
	stale := shared.startBeside(t, "stale", "", func(s *settings.Attached) { s.Store.Address = path.listener.Addr().String() })
	inStep := shared.startBeside(t, "in-step", "", nil)
	shared.release(t, false)
	shared.beginAfterRelease(t, stale, "before", true)
	path.setCut()
	shared.site.Withdraw("p-v2")
	shared.site.Withdraw("d-v2")
	const window = 20*time.Second + originMargin // the route's timeout and the margin
	time.Sleep(window + 6*time.Second)           // the fault lasts for longer than the window
	for i := range 4 {
		id := fmt.Sprint("s", i)
		events := shared.beginAfterRelease(t, stale, id, true)
		got := inStep.takeUp(t, id+"-2", "", 2)
		if v := versionsOf(events + got.body); len(v) > 1 {
			t.Errorf("%s: status %d, events of versions %v", id, got.status, v)
		}
	}
}
