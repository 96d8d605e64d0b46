// Package relay lets one daemon of each data centre, the reader, read the store's feeds on
// behalf of the other daemons there, its followers. The number of calls to the store then
// grows with the number of data centres instead of the number of daemons.
//
// The daemons that read the store for a data centre are listed in a succession: the reader,
// followed by the successors that replace it, in the order in which they do so. A reader
// announces itself to the readers of other data centres by a claim, which expires unless it
// is repeated. Seeds are the daemons whose addresses are in the settings; a starting daemon
// asks them for the succession of its data centre.
//
// A failed call to an unavailable store is repeated as a probe: a read that does not wait at
// the store for new records.
//
// Three types make the decisions. They do no I/O: they are given events and the current
// time.
//
//   - Roster holds the known daemons and elects the reader of a data centre and the successors
//     that replace it in case of failure.
//   - Plan selects the source of the next read: the reader, one of its successors, a reader of
//     another data centre, the store, or none for a while.
//   - FeedCache holds the records that this daemon has read from the feeds.
//
// Three types do the I/O. Store reads the two feeds from the sources that its Plan selects,
// Server answers other daemons from the FeedCache and the Roster, and Exchange sends the
// claims of each reader to the others.
//
// The daemons also use these calls to share samples of completions (Samples), the rate limits
// of upstreams (Limits), records of requests during which upstreams ended (Quarantine) and
// the span of time for which the reader, not a follower, adds the follower's units of rate
// limits to its ledger (AccrualSender). Borrower and Loans ask other daemons for retries and
// for units of rate limits.
//
// Without the relay every daemon asks the store for every change, and retries while the store
// is unavailable. With 295 daemons, an outage of 16 seconds caused 41,000 calls, most of
// them while the store was recovering, and a start caused 4,000 calls before the first
// request of a caller.
//
// A reader that is partitioned, frozen or stopped must not delay its followers much, because
// a daemon sends new requests to a draining upstream until it has read the record that marks
// the upstream as draining. Therefore each response contains the age of the data, which is
// the time since the reader's last contact with the store. Data is fresh up to the age
// Timing.MaxAge and then stale. A reader that cannot reach the store says so at once. A
// follower that gets no fresh data asks the next daemon in the succession, which reads the
// store itself. All timeouts derive from the time within which a change must be in force on
// all daemons (see Timing).
package relay
