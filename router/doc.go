// Package router builds a daemon's subsystems from its settings, supervises them while
// they run, and drains them at shutdown. Programs that embed the router call New, then
// Run. Run returns after a graceful drain when its context ends, or with an error when a
// subsystem has failed permanently.
//
// There are two kinds of daemons. A Router coordinates with the other daemons, its peers,
// over a mesh of connections. An Attached runs on a platform that its users operate, and
// takes its configuration and upstreams from that platform's store.
//
// A caller is a client that sends requests to a daemon. An upstream is a back end that runs
// them: a model engine or a replica of a plain service. The steward of an upstream is the one
// daemon that polls it and sends it orders.
package router
