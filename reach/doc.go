// Package reach connects this daemon to upstreams, also to those that it cannot reach itself.
//
// A daemon may lose its own network path to some or all upstreams while other daemons keep
// theirs. Transport then opens a connection through one of these, the carrier, and sends the
// request over it. All state of the request, such as its attempts, limits and deadline, stays
// with this daemon; the carrier only copies bytes.
//
// Paths and Carriers decide and remember; they open no connection and read no clock. Monitor,
// Client, Server and Transport do the I/O.
package reach
