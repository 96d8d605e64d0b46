// Package clients contains tests of clients that ignore the limits of the interface, or exhaust
// them from many connections at once. Each test starts a daemon as a process, lets a crowd of such
// connections occupy one of its listeners, and checks that the process lives, stays within its
// memory and descriptors, and serves an ordinary client.
//
// The tests measure a whole process, so they run one at a time and apart from other packages:
// see the Makefile.
package clients
