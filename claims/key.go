package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderturn/corianderturn/internal/wire"
)

// DigestSize is the length of a Key and of a BodyDigest, in bytes. With 128 bits an
// accidental collision is practically impossible; it would cause a request to be
// refused, never to run twice.
const DigestSize = 16

// Key is the digest of a team's name and the idempotency key that the team chose.
type Key [DigestSize]byte

// BodyDigest is the digest of the request for which a key was claimed.
type BodyDigest [DigestSize]byte

// NewKey returns the digest of a team's idempotency key. The hashed input starts
// with the length of the team's name, so that different pairs of team and key never
// produce the same input.
func NewKey(team, key string) Key {
	h := sha256.New()
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(team)))
	h.Write(size[:])
	h.Write([]byte(team))
	h.Write([]byte(key))
	return Key(h.Sum(nil)[:DigestSize])
}

// Shard returns the number of the key's shard, from 0 to shards-1.
func (k Key) Shard(shards int) int {
	return int(xxhash.Sum64(k[:]) % uint64(shards))
}

// Stream returns the name of a shard's log stream.
func Stream(shard int) string { return fmt.Sprintf("claims-%d", shard) }

// ClaimID identifies a claim. An incarnation never uses a sequence number twice.
type ClaimID struct {
	Node wire.NodeID
	Seq  uint64
}
