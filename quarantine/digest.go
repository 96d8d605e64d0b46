// Package quarantine finds requests that crash the upstreams that run them, and refuses these
// requests on all daemons. It recognises a request by the digest of its content, so repeats
// count together, whichever daemon or caller sends them.
//
// A run is one execution of a request on an upstream. An upstream counts as crashed if its host
// refuses connections right after a run on it lost its connection. The crashes of a request are
// those of the upstreams that were running it.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"github.com/pkg/errors"
)

// Digest identifies a request by its content: repeats of a request have the same digest even
// if their request ids differ. It is collision-resistant, so a caller cannot construct another
// request with the same digest.
type Digest [16]byte

// DigestOf returns the digest of the parts of a request; their order matters.
func DigestOf(parts ...string) Digest {
	h := sha256.New()
	for _, p := range parts {
		h.Write(strconv.AppendInt(nil, int64(len(p)), 10)) // the length prefix keeps the digests of ("ab", "c") and ("a", "bc") different
		h.Write([]byte{':'})
		h.Write([]byte(p))
	}
	return Digest(h.Sum(nil))
}

// String returns the digest in hexadecimal, as used in logs.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses the hexadecimal form that String returns.
func ParseDigest(text string) (d Digest, err error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(d) {
		return d, errors.Errorf("%q is not a request digest: want %d hexadecimal digits", text, 2*len(d))
	}
	return Digest(raw), nil
}
