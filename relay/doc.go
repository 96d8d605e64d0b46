// Package relay lets one daemon of a data centre read the store's feeds for the
// others, so that calls to the store do not grow with the daemons.
//
// Store is the feeds as one daemon reads them: through another daemon where one is
// there for it, else from the store itself. Server answers other daemons from the
// Journal, which holds what this daemon read of late. Journal and Picker decide
// without I/O: events and the time in, answers out.
//
// What goes wrong without it: every daemon asks the store for every change, and each
// call is paid for. At 91 daemons these were 200 calls a second, a third to a half of
// what a day of the users' fleet cost beside the requests themselves.
//
// A reader that is cut off, frozen or gone must cost its followers no time that they
// owe to callers: a daemon gives new work to an upstream that left until it has read
// of it. So a reader answers within AnswerWithin, says when its own last word from
// the store is older than MaxAge, and whoever gets no answer reads the store itself
// at once.
package relay
