// Package claims lets each non-idempotent request run at most once across all
// daemons and data centres. It implements request.Gate.
//
// A key of the caller's own choice is claimed on the platform's log. The key
// decides the stream; a daemon appends its claim, reads the stream back, and
// may run the request only if its claim is the first for the key. The log's
// order decides alone: no lease, no clock and no message between daemons can
// make a second daemon believe that it is first. A claim is never handed to
// another daemon, so a holder that was frozen and thaws is still the only one.
//
// A bound token is minted by one incarnation of one daemon and can be used
// there only. It costs no append and works while the log is down.
//
// Index and Machine decide and remember. They take events and the time and do
// no I/O; Gate wires them to the log.
package claims
