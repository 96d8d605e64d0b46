// Package reach tracks which upstreams this daemon can open connections to.
//
// Paths is a plain type that opens no connection and reads no clock. Monitor gives it the
// results of real connections, and writes the log lines and metrics.
package reach
