package claims

import "github.com/corianderturn/corianderturn/internal/wire"

// TokenOwner returns the daemon that a bound token names; ok is false for any
// other key. It does not check the token: only its owner can.
func TokenOwner(key string) (owner wire.NodeID, ok bool) {
	t, _, err := parseToken(key)
	if err != nil {
		return wire.NodeID{}, false
	}
	return t.owner, true
}
