// Package claims runs each non-idempotent request at most once across all daemons
// and data centres. It implements request.Gate.
//
// Such a request carries an idempotency key that its caller chose. The key selects
// one of several shards, each of which is a stream of the platform's log. The
// daemon that received the request, the claimant, appends a claim to the stream and
// reads the stream back. It may run the request only if its claim is the first one
// for the key; this claim is then the key's holder. Only the order of the log
// decides. No lease, clock or message between daemons is involved, so a second
// daemon can never conclude that its claim came first. A claim is never transferred
// to another daemon, so if a claimant freezes and resumes, no other daemon has got
// its claim in the meantime.
//
// A claim that was decided in favour of the claimant is granted. Its claimant later
// appends a result: the request ran, may have run, or did not run. A result of the
// last kind releases the key, so that it can be claimed again. A repeat is a later
// request with the same key; it gets the answer of the first run, is refused, or
// claims the released key.
//
// In a large fleet a daemon reads the streams of some shards only. The daemons that
// read the stream of a shard are the homes of the shard. They look up keys and
// append records for the daemons that do not read it.
//
// Instead of choosing a key, a caller can ask a daemon for a bound token. Only the
// incarnation of the daemon that issued the token (one run of its process) accepts
// it. A bound token needs no append and works while the log is unavailable.
//
// Index and Machine hold the state and make the decisions. They are given events
// and the time and do no I/O; Gate connects them to the log.
package claims
