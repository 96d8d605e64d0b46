package frontend

import (
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// minReceiveBytes and maxReceiveBytes bound the receive buffer of a connection. The smallest one holds an
	// ordinary request.
	minReceiveBytes = 8 << 10
	maxReceiveBytes = 64 << 10
	// kernelFactor is how many times the size that is asked for the kernel's buffer has; see socket(7).
	kernelFactor = 2
)

// receiveBytes returns the receive buffer of each connection, in bytes, if those of all connections are to have so
// much memory.
//
// The kernel holds what a client sends until it is read, up to megabytes a connection: the clients of a few hundred
// connections could fill the instance's memory although the daemon reads nothing.
func receiveBytes(memory int64, conns int) int {
	return int(min(max(memory/int64(conns), minReceiveBytes), maxReceiveBytes))
}

// withReceiveBuffer returns a control function of a net.ListenConfig that sets the receive buffer of a listener's
// connections.
func withReceiveBuffer(size int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size/kernelFactor) // without it, the kernel's size is used
		})
	}
}
