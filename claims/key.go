package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// DigestSize is the length of a Key and of a Body, in bytes. 128 bits keep an
// accidental collision out of reach; a collision would refuse a request and
// never run one twice.
const DigestSize = 16

// Key is the digest of a team and its idempotency key.
type Key [DigestSize]byte

// Body is the digest of the request that a key was claimed for.
type Body [DigestSize]byte

// NewKey returns the digest of a team's key. The length of the team goes
// first, so that no two pairs of team and key give the same input.
func NewKey(team, key string) Key {
	h := sha256.New()
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(team)))
	h.Write(size[:])
	h.Write([]byte(team))
	h.Write([]byte(key))
	return Key(h.Sum(nil)[:DigestSize])
}

// Shard returns the key's shard, below shards.
func (k Key) Shard(shards int) int {
	return int(xxhash.Sum64(k[:]) % uint64(shards))
}

// Stream names the log stream of a shard.
func Stream(shard int) string { return fmt.Sprintf("claims-%d", shard) }

// ClaimID names one claim. Seq is never used twice by one incarnation.
type ClaimID struct {
	Node wire.NodeID
	Seq  uint64
}
