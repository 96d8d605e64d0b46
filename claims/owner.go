package claims

import "github.com/corianderturn/corianderturn/internal/wire"

// TokenOwner returns the daemon incarnation that a bound token names as its issuer;
// ok is false for any other key. The token is not verified, since only its issuer
// can verify it.
func TokenOwner(key string) (owner wire.NodeID, ok bool) {
	t, _, err := parseToken(key)
	if err != nil {
		return wire.NodeID{}, false
	}
	return t.owner, true
}
