package upstream

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/httpsem"
)

// lineBytes is what a line of a head has beside the name and value of a field: a colon, a space and the line's end.
// statusLineBytes is the least that the status line and the empty line have.
const (
	lineBytes       = 4
	statusLineBytes = 16
)

// headCheck checks the heads of the responses to one request. A malformed one that net/http has accepted fails the request
// and ends the connection: nothing that it says is believed, not even that the request was not run.
type headCheck struct {
	mu            sync.Mutex
	conn          *countingConn // the latest
	informational int           // bytes of the informational responses (1xx)
}

// trace returns req with the hooks of c.
func (c *headCheck) trace(req *http.Request) *http.Request {
	return req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: c.gotConn, Got1xxResponse: c.checkInformational}))
}

func (c *headCheck) gotConn(info httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn, _ = info.Conn.(*countingConn); c.conn != nil {
		c.conn.http10.begin()
	}
}

// checkInformational is called for each informational response. Its error ends the connection. With this hook, net/http
// bounds the size of each of them, and not of all together.
func (c *headCheck) checkInformational(_ int, h textproto.MIMEHeader) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.informational += statusLineBytes
	for name, values := range h {
		for _, value := range values {
			c.informational += len(name) + len(value) + lineBytes
		}
	}
	if c.informational > maxHeaderBytes {
		return &httpsem.MalformedHeadError{Detail: "too many informational responses"}
	}
	return httpsem.CheckFieldNames(http.Header(h))
}

// check returns an error if the head of the final response is malformed. It then closes the body and the connection.
func (c *headCheck) check(resp *http.Response) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := httpsem.CheckResponse(resp)
	if err == nil && c.conn != nil && !resp.ProtoAtLeast(1, 1) {
		err = c.conn.http10.check()
	}
	if err == nil {
		return nil
	}
	_ = resp.Body.Close() // leaves the connection open if there is no body
	if c.conn != nil {
		c.conn.reject()
	}
	return errors.WithStack(err)
}

// isMalformed reports whether a request failed because the head of a response to it is malformed.
func isMalformed(err error) bool {
	var malformed *httpsem.MalformedHeadError
	return errors.As(err, &malformed)
}
