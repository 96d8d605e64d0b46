package accept

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/pkg/errors"
)

// failingListener fails with each error in turn, and then accepts.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return nil, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// Guards against a service that ends because the process is out of descriptors for a moment.
func TestNextWaitsForDescriptors(t *testing.T) {
	emfile := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	l := &failingListener{errs: []error{emfile, emfile}}
	if _, err := Next(t.Context(), l); err != nil || len(l.errs) != 0 {
		t.Errorf("%v, %d errors left", err, len(l.errs))
	}
	l = &failingListener{errs: []error{net.ErrClosed}}
	if _, err := Next(t.Context(), l); !errors.Is(err, net.ErrClosed) {
		t.Errorf("a closed listener: %v", err)
	}
}
