package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/corianderturn/corianderturn/answers"
	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Guards against memory and time that an upstream takes by sending without end wherever the protocol allows it: in
// a head, interim responses, a chunk's extension, trailers, a body, or beyond the length that it stated. The
// upstream writes the first text and then repeats the second one.
func TestBytesWithoutEnd(t *testing.T) {
	const chunked, ok = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\n"
	long := strings.Repeat("x", 1<<10)
	for _, texts := range [][2]string{
		{"HTTP/1.1 200 ", long}, {ok + "X: ", long}, {ok, "X: " + long + "\r\n"},
		{"", "HTTP/1.1 103 Early Hints\r\n\r\n"}, {"HTTP/1.1 103 Early Hints\r\nX: ", long},
		{chunked + "1;x=", long}, {chunked, "1;x=" + long + "\r\nb\r\n"}, {chunked + "0\r\nX: ", long}, {chunked + "0\r\n", "X: " + long + "\r\n"},
		{ok + "\r\n", long}, {ok + "Content-Length: 5\r\n\r\n", "bytes"},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		sent := make(chan int, 1)
		go func() {
			c, err := l.Accept()
			if err == nil {
				defer c.Close()
				_, err = http.ReadRequest(bufio.NewReader(c))
			}
			n, total := 0, 0
			for text := texts[0]; err == nil && total < 64<<20; text = texts[1] {
				n, err = io.WriteString(c, text)
				total += n
			}
			sent <- total
		}()
		a, err := upstream.NewServices(client(t), upstream.NoRateLimitObserver{}).Call(context.Background(), l.Addr().String(), upstream.ServiceCall{Method: "GET", Path: "/"})
		if whole := texts[1] == "bytes"; whole != (err == nil) || whole && string(a.Body) != "bytes" {
			t.Errorf("%.40q: answer %+v, %v", texts, a, err)
		}
		if n := <-sent; n > upstream.DefaultMaxResponseBytes+16<<20 { // with what the kernel holds
			t.Errorf("%.40q: the upstream could send %d bytes", texts, n)
		}
		l.Close()
	}
}

// Guards against answers of engines that hold more memory than the requests of a daemon may: the replies to its calls, and the
// tokens of streams, which a request keeps to its end.
func TestAnswersOfEnginesTakeMemory(t *testing.T) {
	const size = 1 << 20
	line := `{"index":0,"text":"` + strings.Repeat("x", 8<<10) + "\"}\n"
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range 2 * size / len(line) {
			_, _ = io.WriteString(w, line) // fails when the daemon closes the connection
		}
	}))
	t.Cleanup(hs.Close)
	address := strings.TrimPrefix(hs.URL, "http://")
	for name, call := range map[string]func(ctx context.Context, e *upstream.Engines) error{
		"reply": func(ctx context.Context, e *upstream.Engines) error {
			_, err := e.Prefill(ctx, address, engineapi.PrefillRequest{})
			return err
		},
		"stream": func(ctx context.Context, e *upstream.Engines) error {
			s, err := e.Decode(ctx, address, engineapi.DecodeRequest{MaxTokens: 4096})
			if err != nil {
				return err
			}
			defer s.Close()
			for c := (engineapi.Chunk{}); err == nil; {
				err = s.Next(&c)
			}
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := answers.NewBudget(size)
			lease, _ := b.Begin()
			limited := 0
			e := upstream.NewEngines(client(t)).OnLimit(func(string, error) { limited++ })
			if err := call(answers.WithLease(t.Context(), lease), e); !answers.IsMemory(err) || limited != 1 {
				t.Errorf("%v, %d limits reported", err, limited)
			}
			if lease.Release(); b.Held() != 0 {
				t.Errorf("%d bytes held after the request", b.Held())
			}
		})
	}
}
