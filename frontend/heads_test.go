package frontend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/internal/waittest"
)

// Guards against heads of very many short fields, whole or not, that hold many times their size of memory together, and
// against refusals that callers with ordinary heads get because of them.
func TestHeadsThatDoNotFitAreRefused(t *testing.T) {
	fields := strings.Repeat("abc:\r\n", 600)
	budget := NewHeadBudget((headSize{bytes: len(fields), fields: 600}).excess() + freeHeadBytes)
	release := make(chan struct{})
	l := NewListener(ListenerOptions{
		Name: "callers", Address: "127.0.0.1:0", MaxConns: 16, Heads: budget, Report: newTestReporter(),
		Refuse:  http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }),
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }),
	})
	address := startListener(t, l)
	large := "GET / HTTP/1.1\r\nHost: x\r\n" + fields
	first := sendRaw(t, address, large+"\r\n")
	waittest.Until(t, "the first head holds the budget", func() bool {
		if !budget.total.TryAcquire(freeHeadBytes * 2) {
			return true
		}
		budget.total.Release(freeHeadBytes * 2)
		return false
	})
	for name, head := range map[string]string{"whole": large + "\r\n", "stops short": large} {
		if status := readStatusOf(t, sendRaw(t, address, head)); status != http.StatusServiceUnavailable {
			t.Errorf("a second head, %s: status %d", name, status)
		}
	}
	ordinary := sendRaw(t, address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	close(release)
	for _, c := range []*bufio.Reader{first, ordinary} {
		if status := readStatusOf(t, c); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	if status := readStatusOf(t, sendRaw(t, address, large+"\r\n")); status != http.StatusOK {
		t.Errorf("after the first head: status %d", status)
	}
}

// startListener runs a listener until the end of the test and returns its address.
func startListener(t *testing.T, l *Listener) string {
	t.Helper()
	if err := l.Listen(); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- l.Run(t.Context()) }()
	t.Cleanup(func() {
		if err := waittest.Receive(t, "the listener ends", done); err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// sendRaw sends text over a new connection.
func sendRaw(t *testing.T, address, text string) *bufio.Reader {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = fmt.Fprint(c, text) // the connection may be closed already
	_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
	return bufio.NewReader(c)
}

func readStatusOf(t *testing.T, r *bufio.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against TLS connections whose ordinary heads take a part of the budget, and against a budget that is too small
// for the largest head.
func TestSizeOfEncryptedHead(t *testing.T) {
	const handshake, leastBudget = 4 << 10, 4 << 20
	for _, tc := range []struct{ bytes, most int }{{handshake + 4<<10, 0}, {handshake + maxHeaderBytes, leastBudget}} {
		var size headSize
		for range tc.bytes {
			size.addEncrypted(1)
		}
		if excess := size.excess(); excess > int64(tc.most) {
			t.Errorf("a head of %d bytes takes %d of a budget, want %d at most", tc.bytes, excess, tc.most)
		}
	}
}
