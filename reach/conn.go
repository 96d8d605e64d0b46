package reach

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// signOfLifeInterval is the interval at which the daemon that uses a carried connection sends a
// frame without bytes. A carrier that hears nothing for originTimeout ends the connection:
// the daemon may have lost power, and its upstream would go on working for nobody.
const (
	signOfLifeInterval = time.Second
	originTimeout      = 3500 * time.Millisecond
)

// carriedConn is a connection to an upstream that another daemon carries.
type carriedConn struct {
	net.Conn // to the carrier
	reader   *wire.Reader
	pending  []byte // bytes of the last frame that have not been read; valid until the next frame

	writeMu sync.Mutex
	stop    chan struct{} // closed by Close
	once    sync.Once
}

func newCarriedConn(c net.Conn, r *wire.Reader) *carriedConn {
	out := &carriedConn{Conn: c, reader: r, stop: make(chan struct{})}
	go out.sendSignsOfLife()
	return out
}

// Read implements net.Conn. If the carrier ends without saying how the upstream's connection
// ended, the error is io.ErrUnexpectedEOF, so that an answer that lasts until the end of its
// connection does not look complete.
func (c *carriedConn) Read(p []byte) (int, error) {
	for len(c.pending) == 0 {
		env, _, err := c.reader.Read()
		switch {
		case errors.Is(err, io.EOF):
			return 0, io.ErrUnexpectedEOF
		case err != nil:
			return 0, err
		case env.Type == wire.TypeTunnelData:
			c.pending = env.Body
		case env.Type == wire.TypeTunnelEnd:
			return 0, endError(env.Body)
		default:
			return 0, errors.Errorf("unexpected frame of type %d", env.Type)
		}
	}
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}

// endError returns the error of a read after the upstream has ended the connection.
func endError(body []byte) error {
	var end endMessage
	if err := wire.Decode(body, &end); err != nil {
		return err
	}
	if end.Reset {
		return &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *carriedConn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err := writeData(c.Conn, p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close implements net.Conn.
func (c *carriedConn) Close() error {
	c.once.Do(func() { close(c.stop) })
	return c.Conn.Close()
}

// sendSignsOfLife sends a frame without bytes at an interval, until Close.
func (c *carriedConn) sendSignsOfLife() {
	ticker := time.NewTicker(signOfLifeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
		}
		if _, err := c.Write([]byte{}); err != nil {
			return // Read fails too and reports it
		}
	}
}
