package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// serveRaw starts a server that reads a request, writes start and then repeats text until the client closes the
// connection, but at most 64 MiB. It sends the number of bytes that it could write on sent.
func serveRaw(t *testing.T, start, text string) (addr string, sent <-chan int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	out := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		n, err := io.WriteString(c, start)
		for total := n; ; total += n {
			if err != nil || total > 64<<20 {
				out <- total
				return
			}
			n, err = io.WriteString(c, text)
		}
	}()
	return l.Addr().String(), out
}

// Guards against memory and time that an upstream takes by sending without end wherever the protocol allows it: in
// a head, interim responses, a chunk's extension, trailers, a body, or beyond the length that it stated.
func TestBytesWithoutEnd(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	field := "X: " + strings.Repeat("y", 1<<10) + "\r\n"
	for name, tc := range map[string]struct {
		start, text string
		whole       bool // the answer has ended before the bytes without end
	}{
		"status line":             {"HTTP/1.1 200 ", strings.Repeat("x", 1<<10), false},
		"header line":             {"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 1<<10), false},
		"header lines":            {"HTTP/1.1 200 OK\r\n", field, false},
		"interim responses":       {"", "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n", false},
		"small interim ones":      {"", "HTTP/1.1 103 Early Hints\r\n\r\n", false},
		"chunk extension":         {chunked + "1;x=", strings.Repeat("x", 1<<10), false},
		"chunk extensions":        {chunked, "1;x=" + strings.Repeat("x", 1<<10) + "\r\nb\r\n", false},
		"trailer line":            {chunked + "0\r\nX: ", strings.Repeat("x", 1<<10), false},
		"trailer lines":           {chunked + "0\r\n", field, false},
		"body":                    {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 64<<10), false},
		"body longer than stated": {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "bytes", true},
	} {
		t.Run(name, func(t *testing.T) {
			addr, sent := serveRaw(t, tc.start, tc.text)
			a, err := upstream.NewServices(client(t), upstream.NoRateLimitObserver{}).Call(context.Background(), addr, upstream.ServiceCall{Method: "GET", Path: "/"})
			if tc.whole != (err == nil) || tc.whole && string(a.Body) != "bytes" {
				t.Errorf("answer %+v, %v", a, err)
			}
			// What the kernel holds, besides the largest answer.
			const bound = upstream.DefaultMaxResponseBytes + 16<<20
			if n := <-sent; n > bound {
				t.Errorf("the upstream could send %d bytes", n)
			}
		})
	}
}

// Guards against streams that hold memory until their deadline because their engine sends valid lines without end.
func TestStreamsWithoutEnd(t *testing.T) {
	for name, line := range map[string]string{
		"tokens": `{"index":0,"text":"a"}` + "\n",
		"loads":  `{"load":{}}` + "\n",
		"large":  `{"text":"` + strings.Repeat("x", 15<<10) + `"}` + "\n",
	} {
		addr := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			for i := 0; i < 64<<20; i += len(line) {
				if _, err := io.WriteString(w, line); err != nil {
					return
				}
			}
		})
		s, err := upstream.NewEngines(client(t)).Decode(context.Background(), addr, engineapi.DecodeRequest{MaxTokens: 68})
		if err != nil {
			t.Fatal(err)
		}
		var c engineapi.Chunk
		read := 0
		for err == nil {
			err = s.Next(&c)
			read += len(line)
		}
		if !errors.Is(err, upstream.ErrStreamTooLong) || read > 2<<20 {
			t.Errorf("%s: %v after %d bytes", name, err, read)
		}
		s.Close()
	}
}

// Guards against failures and refusals that hold their caller because the body does not arrive. The bodies here
// end only after the calls have.
func TestErrorBodiesThatDoNotArrive(t *testing.T) {
	for _, status := range []int{http.StatusConflict, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			released := make(chan struct{})
			addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
				w.WriteHeader(status)
				fmt.Fprint(w, `{"reason":"fu`)
				_ = http.NewResponseController(w).Flush()
				select {
				case <-released:
				case <-r.Context().Done():
				}
			})
			t.Cleanup(func() { close(released) })
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute) // far longer than the bound
			defer cancel()
			_, err := upstream.NewEngines(client(t)).Prefill(ctx, addr, engineapi.PrefillRequest{})
			if upstream.DeliveryOf(err) != upstream.Maybe || ctx.Err() != nil {
				t.Errorf("engine: %v", err)
			}
			if status >= http.StatusInternalServerError {
				_, err = upstream.NewServices(client(t), upstream.NoRateLimitObserver{}).Call(ctx, addr, upstream.ServiceCall{Method: "GET", Path: "/"})
				if upstream.DeliveryOf(err) != upstream.Maybe || ctx.Err() != nil {
					t.Errorf("service: %v", err)
				}
			}
		})
	}
}
