// Package router builds a daemon's subsystems from its settings, supervises them while
// they run, and drains them at shutdown. Programs that embed the router call New, then
// Run. Run returns after a graceful drain when its context ends, or with an error when a
// subsystem has failed permanently.
package router
