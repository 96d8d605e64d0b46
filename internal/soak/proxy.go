package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// proxyMode is what a proxy does to what passes.
type proxyMode uint8

const (
	passing  proxyMode = iota
	delaying           // each piece comes late
	silent             // nothing passes, and nothing is closed
	oneWay             // nothing comes back
)

// pieceDelay is how late a piece comes through a proxy that delays.
const pieceDelay = 40 * time.Millisecond

// proxy passes connections on to one address and harms them from outside.
type proxy struct {
	ln net.Listener
	to string
	wg sync.WaitGroup

	mu     sync.Mutex
	mode   proxyMode
	change chan struct{} // closed when the mode changes
	conns  map[net.Conn]bool
}

func newProxy(to string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &proxy{ln: ln, to: to, change: make(chan struct{}), conns: map[net.Conn]bool{}}
	p.wg.Add(1)
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) set(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.change)
	p.change = make(chan struct{})
}

// reset breaks all connections off.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset in place of a clean end
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.set(passing)
	p.reset()
	p.wg.Wait()
}

func (p *proxy) accept() {
	defer p.wg.Done()
	for {
		near, err := p.ln.Accept()
		if err != nil {
			return // closed
		}
		far, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		p.mu.Lock()
		p.conns[near], p.conns[far] = true, true
		p.mu.Unlock()
		p.wg.Add(2)
		go p.pump(far, near, false)
		go p.pump(near, far, true)
	}
}

// pump copies one direction; back says that it is that of answers.
func (p *proxy) pump(to, from net.Conn, back bool) {
	defer p.wg.Done()
	defer func() {
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.hold(back)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				return
			}
			p.hold(back)
			return
		}
	}
}

// hold waits for as long as the mode says.
func (p *proxy) hold(back bool) {
	for {
		p.mu.Lock()
		mode, change := p.mode, p.change
		p.mu.Unlock()
		switch {
		case mode == delaying:
			time.Sleep(pieceDelay)
			return
		case mode == silent, mode == oneWay && back:
			<-change
		default:
			return
		}
	}
}
