package relay

import (
	"time"

	"github.com/corianderturn/corianderturn/fleet"
)

// readCall asks for the records of a feed.
type readCall struct {
	Feed fleet.Feed    `msgpack:"f"`
	From uint64        `msgpack:"o"`
	Wait time.Duration `msgpack:"w"` // for the first record
}

// readReply answers it.
type readReply struct {
	// Fetch says that there are records which are not passed on: a configuration is large,
	// and a small instance's link would take seconds to send it to all its followers.
	Fetch bool `msgpack:"g,omitempty"`
	// Unfit says that the asked daemon cannot say: its own last word from the store is
	// too old, or it does not keep the records. It reads the store from now on.
	Unfit bool        `msgpack:"u,omitempty"`
	Batch fleet.Batch `msgpack:"b"`
}

// AnswerWithin is how long a reader keeps a call for which there is nothing new.
// Shorter costs frames, of which one takes about 50 µs on each side; longer delays
// the discovery of a reader that is silent.
const AnswerWithin = 500 * time.Millisecond

// MaxAge is the age of a reader's last word from the store from which on its answers
// count for nothing. Together with AnswerWithin and callSlack it leaves a follower
// of a reader that is cut off about a second of the two within which the users want
// a change in force.
const MaxAge = time.Second

// readWait is how long a daemon that reads for others lets the store hold a reading:
// its last word is then younger than MaxAge unless the store is slow.
const readWait = 600 * time.Millisecond

// gatherTime is how long records of the store are gathered after some have come. An
// upstream that is withdrawn meanwhile gets new work for as long again, a quarter of
// the two seconds that the users allow. sharedGather is that of a daemon that reads for
// others: with readWait it stays under MaxAge.
const (
	gatherTime   = 500 * time.Millisecond
	sharedGather = 200 * time.Millisecond
)

// callSlack is how much longer than the wait a reader's answer may take.
const callSlack = 250 * time.Millisecond

// askedTime is how long after it was asked a daemon goes on reading for others.
const askedTime = 5 * time.Second
