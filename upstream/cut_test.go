package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/corianderturn/corianderturn/upstream"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Guards against an answer that looks whole, or like a refusal, although its upstream stopped at any byte of it.
func TestAnswersCutAtEachByte(t *testing.T) {
	const refusal = `{"reason":"full"}`
	answer := func(status, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\n%s: r\r\nContent-Length: %d\r\n\r\n%s", status, upstream.HeaderRequestID, len(body), body)
	}
	hc := client(t)
	call := func(addr string) error {
		_, err := upstream.NewServices(hc, upstream.NoRateLimitObserver{}).Call(t.Context(), addr, upstream.ServiceCall{RequestID: "r", Method: "POST", Path: "/o"})
		return err
	}
	reserve := func(addr string) error {
		_, err := upstream.NewEngines(hc).Reserve(t.Context(), addr, engineapi.ReserveRequest{})
		return err
	}
	for name, tc := range map[string]struct {
		answer string
		do     func(addr string) error
		whole  upstream.Delivery
	}{
		"call":                {answer("200 OK", "answer"), call, upstream.Done},
		"reservation":         {answer("200 OK", `{"granted":true}`), reserve, upstream.Done},
		"refused reservation": {answer("503 Service Unavailable", refusal), reserve, upstream.Refused},
	} {
		var length atomic.Int64 // bytes that are sent
		addr := serveCut(t, tc.answer, &length)
		for n := range len(tc.answer) {
			length.Store(int64(n))
			if err := tc.do(addr); upstream.DeliveryOf(err) != upstream.Maybe {
				t.Errorf("%s: cut after %q: %v", name, tc.answer[:n], err)
			}
		}
		length.Store(int64(len(tc.answer)))
		if err := tc.do(addr); upstream.DeliveryOf(err) != tc.whole {
			t.Errorf("%s, whole: %v", name, err)
		}
	}
}

// serveCut starts a server that sends the first bytes of an answer, as many as length says, and closes the connection.
func serveCut(t *testing.T, answer string, length *atomic.Int64) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() { l.Close(); <-done })
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, answer[:length.Load()])
			}
			c.Close()
		}
	}()
	return l.Addr().String()
}
