package frontend

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// hasUnread reports whether the kernel holds bytes of conn that have not been read.
func hasUnread(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) { n, _ = peek(fd) })
	return err == nil && n > 0
}

// awaitUnread waits until the kernel holds bytes of conn, or the end of its stream. It leaves them unread.
func awaitUnread(conn net.Conn) error {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		_, err := peek(fd)
		return !errors.Is(err, unix.EAGAIN)
	})
}

// peek returns how many bytes can be read from a socket, at most one, without reading them.
func peek(fd uintptr) (int, error) {
	n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}
