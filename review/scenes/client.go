package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	status int
	body   []byte
	whole  bool // the body ended as its framing says
	err    error
}

// ask sends one request on a new channel and reads the answer.
func (t *trial) ask(d *daemon, method, target, attempt, more, body string) answer {
	const deadline = 14 * time.Second
	conn, err := net.Dial("tcp", d.front)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	t.note("sent     %s: %s %s", attempt, method, target)
	if _, err := io.WriteString(conn, requestText(method, target, attempt, more, body)); err != nil {
		return answer{err: err}
	}
	a := readAnswer(conn, method)
	t.note("answered %s: %d, %d bytes, whole %t, error %v", attempt, a.status, len(a.body), a.whole, a.err)
	return a
}

// requestText returns a request as it goes over the channel. more are further header lines.
func requestText(method, target, attempt, more, body string) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 14000\r\n%s", method, target, host, attempt, more)
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(&b, "\r\n%s", body)
	return b.String()
}

func readAnswer(conn net.Conn, method string) answer {
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: body, whole: err == nil, err: err}
}

// upload sends a request whose body comes in two chunks, some time apart.
func (t *trial) upload(d *daemon, attempt string, apart time.Duration) answer {
	conn, err := net.Dial("tcp", d.front)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	t.note("sent     %s: POST /book/7, head and first chunk", attempt)
	_, _ = io.WriteString(conn, requestText("POST", "/book/7", attempt, "Transfer-Encoding: chunked\r\n", "")+"a\r\none plaque\r\n")
	time.Sleep(apart)
	t.note("sent     %s: last chunk", attempt)
	_, _ = io.WriteString(conn, "5\r\n, now\r\n0\r\n\r\n") // a channel that was closed shows in the answer
	a := readAnswer(conn, "POST")
	t.note("answered %s: %d %q, error %v", attempt, a.status, strings.TrimSpace(string(a.body)), a.err)
	return a
}

// quietAsk looks something up on a new channel, without a line in the record.
func (t *trial) quietAsk(d *daemon, attempt string) answer {
	conn, err := net.Dial("tcp", d.front)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(14 * time.Second))
	if _, err := io.WriteString(conn, requestText("GET", "/status/1", attempt, "", "")); err != nil {
		return answer{err: err}
	}
	return readAnswer(conn, "GET")
}
