// Package relay lets one daemon of a data centre read the store's feeds for the
// others, so that calls to the store grow with the data centres and not with the
// daemons.
//
// Roster knows the other daemons and who reads for a data centre. Plan decides whom
// this daemon asks next: the reader, one of its successors, a reader of another data
// centre, the store, or nobody for a while. Journal holds what this daemon has read.
// These three decide without I/O: events and the time in, answers out. Store runs the
// plan for the two feeds, Server answers other daemons from the journal, and Exchange
// tells readers of each other.
//
// What goes wrong without it: every daemon asks the store for every change, and again
// and again while the store is away. At 295 daemons an outage of 16 seconds brought
// 41,000 calls, most of them at the moment in which the store was weakest, and a start
// 4,000 before the first caller came.
//
// A reader that is cut off, frozen or gone must cost its followers no time that they
// owe to callers: a daemon gives new work to an upstream that left until it has read
// of it. So every answer tells the age of the reader's own last word from the store, a
// reader that waits for the store says so at once, and whoever gets no fresh word asks
// the next in the succession, which asks the store. Times follow from the bound within
// which the platform wants a change in force (see Pace).
package relay
