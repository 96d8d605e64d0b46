package testbed

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// Mode says what a link does with the connections of one source.
type Mode int

// The modes. A cut link closes its connections, as a refused route does; a
// stalled one keeps them and moves no byte, as a black hole does.
const (
	Open Mode = iota
	Cut
	Stalled
)

// identify reads the source's name from the first bytes of a connection; it may
// be nil for a link that treats all sources alike.
type identify func(io.Reader) (string, error)

// helloBytes bounds the first frame of a connection between daemons.
const helloBytes = 64 << 10

// peerDataCentre identifies a connection between daemons by the data centre
// that its Hello names.
func peerDataCentre(r io.Reader) (string, error) {
	e, _, err := wire.NewReader(r, helloBytes).Read()
	if err != nil {
		return "", errors.WithStack(err)
	}
	var hello wire.Hello
	err = wire.Decode(e.Body, &hello)
	return hello.DataCentre, errors.WithStack(err)
}

// Link forwards TCP connections to a target, and cuts or stalls them by their
// source. It is safe for concurrent use. Close ends it.
type Link struct {
	target   string
	identify identify
	listener net.Listener
	wg       conc.WaitGroup

	mu      sync.Mutex
	closed  bool
	modes   map[string]Mode
	changed chan struct{} // closed and replaced at each change of the modes
	pairs   map[*pair]bool
}

// pair is a connection and its continuation to the target.
type pair struct {
	source string
	conns  []net.Conn
}

func (p *pair) close() {
	for _, c := range p.conns {
		c.Close()
	}
}

// newLink starts a link on a free loopback port.
func newLink(target string, identify identify) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	l := &Link{
		target:   target,
		identify: identify,
		listener: listener,
		modes:    make(map[string]Mode),
		changed:  make(chan struct{}),
		pairs:    make(map[*pair]bool),
	}
	l.wg.Go(l.accept)
	return l, nil
}

// Address returns the address that stands for the target's.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set changes the mode for a source; a link without identify has the one source "".
func (l *Link) Set(source string, m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.modes[source] = m
	l.notify()
	if m != Cut {
		return
	}
	for p := range l.pairs {
		if p.source == source {
			p.close()
		}
	}
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.listener.Close()
	l.mu.Lock()
	l.closed = true
	for p := range l.pairs {
		p.close()
	}
	l.notify()
	l.mu.Unlock()
	l.wg.Wait()
}

func (l *Link) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Link) accept() {
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		wg.Go(func() { l.serve(conn) })
	}
}

// serve forwards one connection until either side ends it. The target sees
// nothing of a connection whose source is cut or stalled when it comes.
func (l *Link) serve(conn net.Conn) {
	p := &pair{conns: []net.Conn{conn}}
	defer l.drop(p)
	if !l.keep(p, "") {
		return
	}
	var seen bytes.Buffer
	source := ""
	if l.identify != nil {
		var err error
		if source, err = l.identify(io.TeeReader(conn, &seen)); err != nil {
			return
		}
	}
	if !l.keep(p, source) || !l.pass(p) {
		return
	}
	up, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		return
	}
	l.mu.Lock()
	p.conns = append(p.conns, up)
	l.mu.Unlock()
	if !l.keep(p, source) {
		return
	}
	var wg conc.WaitGroup
	wg.Go(func() { l.copy(p, up, io.MultiReader(&seen, conn)) })
	wg.Go(func() { l.copy(p, conn, up) })
	wg.Wait()
}

// dialTimeout bounds a connection to a target, which is on loopback.
const dialTimeout = 5 * time.Second

// keep registers p under its source; a closed link or a cut source refuses it.
func (l *Link) keep(p *pair, source string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.source = source
	if l.closed || l.identified(p) && l.modes[source] == Cut {
		return false
	}
	l.pairs[p] = true
	return true
}

// identified reports whether the source of p is known by now.
func (l *Link) identified(p *pair) bool { return l.identify == nil || p.source != "" }

func (l *Link) drop(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.close()
	delete(l.pairs, p)
}

// copyBytes is how much is forwarded at once, in bytes.
const copyBytes = 32 << 10

// copy forwards one direction and ends both when it ends.
func (l *Link) copy(p *pair, to io.Writer, from io.Reader) {
	defer p.close()
	buf := make([]byte, copyBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !l.pass(p) {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass waits while the source of p is stalled; it returns false when p is to end.
func (l *Link) pass(p *pair) bool {
	for {
		l.mu.Lock()
		mode, closed, changed := l.modes[p.source], l.closed, l.changed
		l.mu.Unlock()
		switch {
		case closed || mode == Cut:
			return false
		case mode == Open:
			return true
		}
		<-changed
	}
}
