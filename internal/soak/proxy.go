package soak

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/testbed"
)

// proxyMode is the fault that a proxy injects into its connections.
type proxyMode uint8

const (
	transparent      proxyMode = iota // no fault
	delayed                           // each chunk is delayed by chunkDelay
	stalled                           // nothing is forwarded, and connections stay open
	responsesStalled                  // requests are forwarded, responses are not
)

// chunkDelay is the delay of each chunk in mode delayed.
const chunkDelay = 40 * time.Millisecond

// accepting says what happens to new connections.
type accepting uint8

const (
	acceptAll        accepting = iota
	acceptNone                 // they are refused
	acceptUnanswered           // they are not answered
)

// proxy is a TCP proxy that forwards connections to one address and injects faults into them.
type proxy struct {
	listener net.Listener // replaced while connections are refused; guarded by mu
	listen   string       // the address
	target   string
	source   net.IP // from which it connects; nil for the address of the client
	wg       sync.WaitGroup

	mu          sync.Mutex
	accepting   accepting
	closed      bool
	mode        proxyMode
	modeChanged chan struct{} // closed when the mode changes
	conns       map[net.Conn]bool
}

// newProxy starts a proxy on a free loopback port.
func newProxy(target string) (*proxy, error) { return newProxyFrom(nil, target) }

// newProxyFrom is newProxy for a proxy that connects from an address.
func newProxyFrom(source net.IP, target string) (*proxy, error) {
	address, err := testbed.FreeAddress() // no ephemeral port, as setAccepting gives it up for a time
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &proxy{listener: listener, listen: listener.Addr().String(), target: target, source: source, modeChanged: make(chan struct{}), conns: map[net.Conn]bool{}}
	p.wg.Add(1)
	go p.accept(listener)
	return p, nil
}

func (p *proxy) address() string { return p.listen }

// setAccepting changes what happens to new connections.
func (p *proxy) setAccepting(a accepting) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.accepting == a || p.closed {
		return
	}
	p.accepting = a
	_ = p.listener.Close() // it may be closed already
	if a == acceptNone {
		return
	}
	listener, err := listenAt(p.listen, a == acceptUnanswered)
	if err != nil {
		panic(err) // the port was taken; the run cannot continue without the proxy
	}
	p.listener = listener
	if a == acceptAll {
		p.wg.Add(1)
		go p.accept(listener)
	}
}

// listenAt listens at an address. With full, the queue of connections that wait to be accepted is
// full, so that the kernel does not answer further ones.
func listenAt(address string, full bool) (net.Listener, error) {
	const tries = 50
	var listener net.Listener
	var err error
	for range tries {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(chunkDelay)
	}
	if err != nil || !full {
		return listener, errors.Wrap(err, "listen for a proxy")
	}
	return listener, fillQueue(listener.(*net.TCPListener))
}

// fillQueue shortens a listener's queue to its minimum and fills it.
func fillQueue(l *net.TCPListener) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.WithStack(err)
	}
	if e := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }); e != nil || err != nil {
		return errors.Errorf("shorten the queue: %v, %v", e, err)
	}
	for range 2 {
		if c, err := net.DialTimeout("tcp", l.Addr().String(), chunkDelay); err == nil {
			defer c.Close() // it stays in the queue, which is what counts
		}
	}
	return nil
}

// setMode changes the mode, also for chunks that the previous mode blocks.
func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
}

// resetConnections closes all connections with a TCP reset.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send RST instead of FIN
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.mu.Unlock()
	p.setMode(transparent)
	p.resetConnections()
	p.wg.Wait()
}

// accept connects each accepted connection to the target, until the listener is closed.
func (p *proxy) accept(listener net.Listener) {
	defer p.wg.Done()
	for {
		client, err := listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		server, err := p.dial(client)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = true, true
		p.mu.Unlock()
		p.wg.Add(2)
		go p.forward(server, client, false)
		go p.forward(client, server, true)
	}
}

// dial connects to the target, from the proxy's own address or that of the client.
func (p *proxy) dial(client net.Conn) (net.Conn, error) {
	source := p.source
	if source == nil {
		source = client.RemoteAddr().(*net.TCPAddr).IP
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: source}}
	return d.Dial("tcp", p.target)
}

// forward copies one direction of a connection, and closes the connection at its end.
// isResponse is set for the direction from the upstream to the daemon.
func (p *proxy) forward(dst, src net.Conn, isResponse bool) {
	defer p.wg.Done()
	defer func() {
		p.mu.Lock()
		delete(p.conns, dst)
		delete(p.conns, src)
		p.mu.Unlock()
		_ = dst.Close()
		_ = src.Close()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			p.waitForMode(isResponse)
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				return
			}
			p.waitForMode(isResponse)
			return
		}
	}
}

// waitForMode blocks a chunk for as long as the proxy's mode requires.
func (p *proxy) waitForMode(isResponse bool) {
	for {
		p.mu.Lock()
		mode, modeChanged := p.mode, p.modeChanged
		p.mu.Unlock()
		switch {
		case mode == delayed:
			time.Sleep(chunkDelay)
			return
		case mode == stalled, mode == responsesStalled && isResponse:
			<-modeChanged
		default:
			return
		}
	}
}
