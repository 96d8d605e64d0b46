package testbed

import (
	"fmt"
	"math/rand/v2"
	"syscall"

	"github.com/pkg/errors"
)

// The ports that FreeAddress tries lie below those that the kernel hands out
// for port 0 and for outgoing connections, so that no such use takes the port
// between the try and the program's own listen.
const (
	lowestPort  = 15000
	highestPort = 31999
	portTries   = 100
)

var loopback = [4]byte{127, 0, 0, 1}

// FreeAddress returns a loopback address that nobody listens on, for a program
// whose address others must know before it runs. It gives none out twice, and
// none that another process's FreeAddress gave out.
func FreeAddress() (string, error) {
	for range portTries {
		port := lowestPort + rand.IntN(highestPort-lowestPort+1)
		if hold(port) == nil {
			return fmt.Sprintf("127.0.0.1:%d", port), nil
		}
	}
	return "", errors.New("no free port")
}

// hold reserves a port until this process ends.
//
// What goes wrong without it: beds of several test binaries run at once, and a
// second one takes the port before the program of the first listens. One would
// notice "address already in use" of a daemon now and then. The kernel refuses a
// bind without SO_REUSEADDR to a port that any socket is bound to, listening or
// not; so a socket that stays bound keeps other beds away. SO_REUSEADDR, set
// after the bind, lets the program itself listen, since Go's listeners set it too.
func hold(port int) error {
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
