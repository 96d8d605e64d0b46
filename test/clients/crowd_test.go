package clients

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
	"github.com/corianderturn/corianderturn/internal/testbed"
	"github.com/corianderturn/corianderturn/internal/wire"
)

const (
	// reconnectPause is the pause of a connection's client before it connects again. maxConnects bounds
	// its attempts.
	reconnectPause = 100 * time.Millisecond
	maxConnects    = 100
	// settleTimeout is how long a crowd may send without anything new being accepted, until it counts as
	// complete. maxSettle bounds the whole wait.
	settleTimeout = time.Second
	maxSettle     = 15 * time.Second
	// holdTime is how long a complete crowd stays before the ordinary client comes.
	holdTime = 500 * time.Millisecond
)

// target is an address and a path at which a crowd arrives. With everyListener, it comes at each listener.
type target struct {
	name, listener, method, path string
}

const everyListener = "every listener"

// addresses returns the addresses of a target.
func (to target) addresses(p *process) []string {
	if to.listener == everyListener {
		return slices.Collect(maps.Values(p.listeners))
	}
	return []string{p.listeners[to.listener]}
}

// crowd is a number of connections that all send the same. A client whose connection is closed connects
// again.
type crowd struct {
	name  string
	conns int
	send  func(s *sender)
	// unread crowds do not read what the daemon sends.
	unread bool
}

// sender writes what one connection sends. After the first error it writes nothing.
type sender struct {
	conn   net.Conn
	target target
	ctx    context.Context
	sent   *atomic.Int64 // bytes that the first connections of a crowd have sent
	err    error
}

func (s *sender) write(p []byte) {
	for len(p) > 0 && s.err == nil {
		var n int
		n, s.err = s.conn.Write(p[:min(len(p), 64<<10)])
		s.sent.Add(int64(n))
		p = p[n:]
	}
}

func (s *sender) printf(format string, args ...any) { s.write(fmt.Appendf(nil, format, args...)) }

// pieces writes p in pieces of a size.
func (s *sender) pieces(p []byte, size int) {
	for piece := range slices.Chunk(p, size) {
		s.write(piece)
	}
}

// drip writes a byte, waits, and so on, until the connection or the crowd ends. The crowd is complete without it.
func (s *sender) drip(p []byte) {
	for i := 0; i < len(p) && s.err == nil; i++ {
		_, s.err = s.conn.Write(p[i : i+1])
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(reconnectPause):
		}
	}
}

var ids atomic.Int64

func nextID() string { return fmt.Sprintf("id-%d", ids.Add(1)) }

// head begins a request as ordinary clients of both interfaces send it, without the empty line.
func (s *sender) head() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 10000\r\nToken-Count: 100,50\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n",
		s.target.method, s.target.path, nextID(), testbed.TeamKey)
}

// shortFields returns the lines of as many distinct fields with short names and no value as have size bytes.
func shortFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; b.Len()+len("abc:\r\n") <= size; i++ {
		b.Write([]byte{letters[i/676%26], letters[i/26%26], letters[i%26]})
		b.WriteString(":\r\n")
	}
	return b.String()
}

// text is a body of the largest size that is allowed.
var text = bytes.Repeat([]byte("x"), maxBodyBytes)

// smallChunk and largeChunk are chunks of a body.
const smallChunkBytes = 64 << 10

var (
	smallChunk = chunkOf(text[:smallChunkBytes])
	largeChunk = chunkOf(text)
)

func chunkOf(p []byte) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(p), p) }

// shortMembers returns a JSON body of the largest size, with a list of elements.
func shortMembers(element string) []byte {
	const head = `{"model":"drafter","messages":[`
	n := (maxBodyBytes - len(head) - 2) / (len(element) + 1)
	return []byte(head + strings.Repeat(element+",", n-1) + element + "]}")
}

const (
	manyConns = 300 // fewer than the daemons' places for callers
	moreConns = 600 // more than these
	fewConns  = 60  // for bodies of which a daemon makes many times as much
	// farOver is what is sent of a body far over the limit.
	farOver = 32 << 20
)

// httpCrowds are the crowds that come at listeners for HTTP.
var httpCrowds = []crowd{
	{"body stops short", manyConns, func(s *sender) {
		s.printf("%sContent-Length: %d\r\n\r\n", s.head(), len(text))
		s.write(text[1:])
	}, false},
	{"body in pieces stops short", manyConns, func(s *sender) {
		const size, piece = 200 << 10, 512
		s.printf("%sContent-Length: %d\r\n\r\n", s.head(), size)
		s.pieces(text[:size-1], piece)
	}, false},
	{"small body stops short", moreConns, func(s *sender) {
		s.printf("%sContent-Length: %d\r\n\r\nfour", s.head(), len("fours"))
	}, false},
	{"chunked body stops short", manyConns, func(s *sender) {
		s.printf("%sTransfer-Encoding: chunked\r\n\r\n", s.head())
		for range len(text) / smallChunkBytes {
			s.write(smallChunk)
		}
	}, false},
	{"chunks of one byte stop short", manyConns, func(s *sender) {
		const chunks, batch = 40 << 10, 1 << 10
		s.printf("%sTransfer-Encoding: chunked\r\n\r\n", s.head())
		for range chunks / batch {
			s.printf("%s", strings.Repeat("1\r\nx\r\n", batch))
		}
	}, false},
	{"whole body", manyConns, func(s *sender) {
		s.printf("%sContent-Length: %d\r\n\r\n", s.head(), len(text))
		s.write(text)
	}, false},
	{"whole chunked body", manyConns, func(s *sender) {
		s.printf("%sTransfer-Encoding: chunked\r\n\r\n", s.head())
		for range len(text) / smallChunkBytes {
			s.write(smallChunk)
		}
		s.printf("0\r\n\r\n")
	}, false},
	{"body asked for is not sent", moreConns, func(s *sender) {
		s.printf("%sExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", s.head(), len(text))
	}, false},
	{"body far over the limit", manyConns, func(s *sender) {
		s.printf("%sContent-Length: %d\r\n\r\n", s.head(), 1<<30)
		for range farOver / len(text) {
			s.write(text)
		}
	}, false},
	{"chunked body far over the limit", manyConns, func(s *sender) {
		s.printf("%sTransfer-Encoding: chunked\r\n\r\n", s.head())
		for range farOver / len(text) {
			s.write(largeChunk)
		}
	}, false},
	{"short fields without body", manyConns, func(s *sender) {
		s.printf("%s%sContent-Length: 10\r\n\r\n", s.head(), shortFields(58<<10))
	}, false},
	{"short fields stop short", manyConns, func(s *sender) {
		s.printf("%s%sabc", s.head(), shortFields(58<<10))
	}, false},
	{"legal short fields without body", moreConns, func(s *sender) {
		s.printf("%s%sContent-Length: 10\r\n\r\n", s.head(), shortFields(15<<10))
	}, false},
	{"legal short fields stop short", moreConns, func(s *sender) {
		s.printf("%s%sabc", s.head(), shortFields(15<<10))
	}, false},
	{"legal short fields sent ahead", manyConns, func(s *sender) {
		const requests = 20
		for range requests {
			s.printf("%s%s\r\n", s.head(), shortFields(15<<10))
		}
	}, true},
	{"prompt of many parts", manyConns, func(s *sender) {
		s.printf("%sModel-Name: m\r\nPrompt-Prefix: %s1:1\r\nContent-Length: 10\r\n\r\n", s.head(), strings.Repeat("1:1,", (15<<10)/len("1:1,")))
	}, false},
	{"query of many parts", manyConns, func(s *sender) {
		head := strings.Replace(s.head(), " HTTP/1.1", "?"+strings.Repeat("a&", 29<<10)+" HTTP/1.1", 1)
		s.printf("%sContent-Length: 10\r\n\r\n", head)
	}, false},
	{"requests sent ahead", manyConns, func(s *sender) {
		const requests = 3000
		for range requests {
			s.printf("%sContent-Length: 0\r\n\r\n", s.head())
		}
	}, true},
	{"answers not read", moreConns, func(s *sender) {
		s.printf("%sContent-Length: 4\r\n\r\nbody", s.head())
	}, true},
	{"large answers not read", manyConns, func(s *sender) {
		s.printf("%s%s: %d\r\nContent-Length: 4\r\n\r\nbody", s.head(), site.HeaderAnswerBytes, 1<<20)
	}, true},
	{"slow head", manyConns, func(s *sender) { s.drip([]byte(s.head())) }, false},
	{"slow body", moreConns, func(s *sender) {
		s.printf("%sContent-Length: %d\r\n\r\n", s.head(), len(text))
		s.drip(text)
	}, false},
	{"head stops short", moreConns, func(s *sender) { s.printf("P") }, false},
	{"silent", moreConns, func(*sender) {}, false},
}

// jsonCrowds come at the paths of the daemon's own interface that take JSON.
var jsonCrowds = []crowd{
	{"body of short members stops short", fewConns, sendMembers(`{}`, 1), false},
	{"body of short members", fewConns, sendMembers(`{}`, 0), false},
	{"body of short messages", fewConns, sendMembers(`{"role":"user","content":""}`, 0), false},
	{"whole body of one text", fewConns, func(s *sender) {
		body := fmt.Sprintf(`{"model":"drafter","messages":[{"role":"user","content":"%s"}]}`, text[:maxBodyBytes-100])
		s.printf("%sContent-Length: %d\r\n\r\n%s", s.head(), len(body), body)
	}, false},
}

// sendMembers sends a body of the largest size with a list of elements, but its last bytes.
func sendMembers(element string, missing int) func(s *sender) {
	body := shortMembers(element)
	return func(s *sender) {
		s.printf("%sContent-Length: %d\r\n\r\n", s.head(), len(body))
		s.write(body[:len(body)-missing])
	}
}

// frameCrowds come at the listeners for other daemons, which take frames with a length in front.
var frameCrowds = []crowd{
	{"frame stops short", manyConns, func(s *sender) {
		s.write([]byte{0, wire.MaxFrame >> 16, 0, 0})
		s.write(text[:len(text)-1])
	}, false},
	{"frame of nothing", manyConns, func(s *sender) { s.write(make([]byte, 64<<10)) }, false},
	{"frame begun", moreConns, func(s *sender) { s.write([]byte{0}) }, false},
	{"silent", moreConns, func(*sender) {}, false},
}

// gather lets the crowd come at a target, and returns once it is complete. end ends it.
func (c crowd) gather(ctx context.Context, p *process, to target) (end func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var sent, complete atomic.Int64
	for _, address := range to.addresses(p) {
		for range c.conns {
			wg.Go(func() {
				var later atomic.Int64
				c.visit(ctx, address, to, &sent)
				complete.Add(1)
				for range maxConnects {
					select {
					case <-ctx.Done():
						return
					case <-time.After(reconnectPause):
					}
					c.visit(ctx, address, to, &later)
				}
			})
		}
	}
	awaitStill(ctx, func() int64 { return sent.Load() + complete.Load() })
	return func() {
		cancel()
		wg.Wait()
	}
}

// awaitStill waits until a count has not grown for settleTimeout, maxSettle at most.
func awaitStill(ctx context.Context, count func() int64) {
	began := time.Now()
	last, grown := count(), began
	for ctx.Err() == nil && time.Since(grown) < settleTimeout && time.Since(began) < maxSettle {
		time.Sleep(pollInterval)
		if n := count(); n != last {
			last, grown = n, time.Now()
		}
	}
}

// visit is one connection of the crowd. It returns when the daemon or the crowd ends it.
func (c crowd) visit(ctx context.Context, address string, to target, sent *atomic.Int64) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	closed := make(chan struct{})
	if !c.unread {
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, conn)
			conn.Close() // a write that waits for the daemon ends too
		}()
	}
	s := &sender{conn: conn, target: to, ctx: ctx, sent: sent}
	c.send(s)
	select {
	case <-closed:
	case <-ctx.Done():
	}
}

// test lets the crowd come at a target of a new daemon, and checks the process and an ordinary client, while
// the crowd is there and after it.
func (c crowd) test(t *testing.T, start func(t *testing.T) *process, to target) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	p := start(t)
	var wg sync.WaitGroup
	sampling, stop := context.WithCancel(ctx)
	wg.Go(func() { p.sample(sampling) })
	end := c.gather(ctx, p, to)
	time.Sleep(holdTime)
	if p.running() {
		eventually(t, "an ordinary request while the crowd is there", p.ordinary)
		checkReadiness(t, p)
	}
	end()
	stop()
	wg.Wait()
	p.check(t)
	eventually(t, "an ordinary request afterwards", p.ordinary)
	eventually(t, "a readiness check afterwards", p.readiness)
}

// checkReadiness checks that no two readiness checks in a row fail, after which a balancer takes an
// instance out.
func checkReadiness(t *testing.T, p *process) {
	t.Helper()
	const checks = 6
	var before error
	for range checks {
		err := p.readiness(t.Context())
		if before != nil && err != nil {
			t.Errorf("two readiness checks in a row failed: %v; %v", before, err)
			return
		}
		before = err
	}
}
