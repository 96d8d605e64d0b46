// Package router is the root supervisor: it builds a daemon's subsystems from
// settings, runs them, and drains them. Programs that embed the router call
// New, then Run; Run returns after a graceful drain once its context ends, or
// with an error when a subsystem failed for good.
package router
