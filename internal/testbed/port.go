package testbed

import (
	"fmt"
	"math/rand/v2"
	"syscall"

	"github.com/pkg/errors"
)

// FreeAddress chooses ports below the kernel's ephemeral range, from which ports
// are assigned to outgoing connections and to listeners on port 0. Otherwise such a
// port could be assigned to another socket before the program listens on it.
const (
	minPort         = 15000
	maxPort         = 31999
	maxPortAttempts = 100
)

var loopback = [4]byte{127, 0, 0, 1}

// FreeAddress returns a loopback address with an unused port, for a program whose
// address must be configured elsewhere before it starts. An address is never
// returned twice, nor returned by two processes that run at the same time.
func FreeAddress() (string, error) {
	for range maxPortAttempts {
		port := minPort + rand.IntN(maxPort-minPort+1)
		if reservePort(port) == nil {
			return fmt.Sprintf("127.0.0.1:%d", port), nil
		}
	}
	return "", errors.New("no free port")
}

// reservePort reserves a port until this process ends. It fails when the port is
// reserved or in use.
//
// Without the reservation, test binaries that run in parallel could choose the same
// port before either program listens, and one of them would fail with "address
// already in use". reservePort binds a socket and never closes it: the kernel
// refuses to bind a second socket without SO_REUSEADDR to the port, whether or not
// the first one listens. SO_REUSEADDR is set after the bind, so that the intended
// program can listen, as Go's listeners also set it.
func reservePort(port int) error {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return errors.Wrap(err, "socket")
	}
	err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: loopback})
	if err == nil {
		err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	}
	if err != nil {
		syscall.Close(fd)
	}
	return errors.Wrapf(err, "port %d", port)
}
