package claims

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
)

// tokenPrefix is the prefix of an idempotency key that is a bound token.
const tokenPrefix = "ct1."

// Sizes of the secret and of the random and authenticating parts of a token, in
// bytes.
const (
	tokenSecretSize = 32
	tokenNonceSize  = 12
	tokenMACSize    = 16
)

// isToken reports whether an idempotency key has the form of a bound token.
func isToken(key string) bool { return strings.HasPrefix(key, tokenPrefix) }

// Issuer issues bound tokens and verifies them. Its secret never leaves this
// process, so a token is valid only until its issuing incarnation ends. It is safe
// for concurrent use.
type Issuer struct {
	self   wire.NodeID
	ttl    time.Duration
	secret []byte
	now    func() time.Time
	isDead func(wire.NodeID) bool

	mu   sync.Mutex
	used *tokenIndex // the tokens that were used
}

// newIssuer returns the Issuer of this incarnation. Its tokens are valid for ttl.
// It remembers at most maxTokens used tokens and caches at most answerBytes of
// answers.
func newIssuer(self wire.NodeID, ttl time.Duration, maxTokens, answerBytes int) (*Issuer, error) {
	secret := make([]byte, tokenSecretSize)
	if _, err := rand.Read(secret); err != nil {
		return nil, errors.Wrap(err, "claims: token secret")
	}
	return &Issuer{
		self: self, ttl: ttl, secret: secret, now: time.Now,
		isDead: func(wire.NodeID) bool { return false },
		used:   newTokenIndex(maxTokens, answerBytes),
	}, nil
}

// Issue returns a new token for a team. A token takes no memory until it is used.
func (i *Issuer) Issue(team string) string {
	var nonce [tokenNonceSize]byte
	_, _ = rand.Read(nonce[:]) // never fails: crypto/rand ends the process instead
	t := token{
		owner: i.self, expiry: i.now().Add(i.ttl).Unix(),
		nonce: base64.RawURLEncoding.EncodeToString(nonce[:]),
	}
	return t.signedText() + "." + i.mac(team, t.signedText())
}

// mac returns the message authentication code of a token's text for a team.
func (i *Issuer) mac(team, text string) string {
	h := hmac.New(sha256.New, i.secret)
	fmt.Fprintf(h, "%d:%s%s", len(team), team, text)
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:tokenMACSize])
}

// Claim decides a request whose idempotency key is a bound token. If another
// incarnation issued the token, the grant names it as the owner.
func (i *Issuer) Claim(team, key string, body BodyDigest) (request.Grant, *errkind.Error) {
	t, mac, err := parseToken(key)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "the idempotency key looks like a bound token but is none")
	}
	if t.owner != i.self {
		return i.claimRemote(t)
	}
	if !hmac.Equal([]byte(mac), []byte(i.mac(team, t.signedText()))) {
		return nil, errkind.New(errkind.BadRequest, "the bound token was not issued for this team")
	}
	now := i.now()
	if now.Unix() >= t.expiry {
		return nil, errkind.New(errkind.KeyExpired, "the bound token has expired")
	}
	return i.claimLocal(now, NewKey(team, key), body, time.Unix(t.expiry, 0))
}

// claimRemote returns a grant that names the token's owner. If the owner has
// ended, as every earlier incarnation of this daemon has, nobody can determine
// whether the request ran, and the outcome is unknown.
func (i *Issuer) claimRemote(t token) (request.Grant, *errkind.Error) {
	if t.owner.Instance == i.self.Instance || i.isDead(t.owner) {
		return nil, outcomeUnknown().Err
	}
	return &grant{owner: t.owner}, nil
}

// claimLocal decides a request with a valid token of this incarnation.
func (i *Issuer) claimLocal(now time.Time, key Key, body BodyDigest, expiry time.Time) (request.Grant, *errkind.Error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	d := i.used.claim(now, key, body, expiry)
	if d.Err != nil {
		return nil, d.Err
	}
	if !d.Run {
		return &grant{answer: d.Answer}, nil
	}
	return &grant{run: true, deadline: expiry, finish: func(out request.Outcome) { i.finish(key, out) }}, nil
}

// finish records the outcome of the request that a token was granted to.
func (i *Issuer) finish(key Key, out request.Outcome) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.used.finish(key, out)
}

// token is a parsed bound token. Its fields are not to be trusted until the owner
// has verified the authentication code at the token's end.
type token struct {
	owner  wire.NodeID // incarnation that issued the token
	expiry int64       // Unix time, in seconds
	nonce  string      // random part, which makes the token unique
}

// signedText returns the part of the token that its authentication code covers.
func (t token) signedText() string {
	return fmt.Sprintf("%s%s.%d.%d.%s", tokenPrefix, t.owner.Instance, t.owner.Incarnation, t.expiry, t.nonce)
}

// parseToken parses a token. It counts the parts from the end, since the name of an
// instance may contain dots.
func parseToken(key string) (t token, mac string, err error) {
	parts := strings.Split(strings.TrimPrefix(key, tokenPrefix), ".")
	n := len(parts)
	if n < 5 || !isToken(key) {
		return t, "", errors.New("too few parts")
	}
	t.owner.Instance = strings.Join(parts[:n-4], ".")
	if t.owner.Incarnation, err = strconv.ParseUint(parts[n-4], 10, 64); err != nil {
		return t, "", errors.Wrap(err, "incarnation")
	}
	if t.expiry, err = strconv.ParseInt(parts[n-3], 10, 64); err != nil {
		return t, "", errors.Wrap(err, "expiry")
	}
	t.nonce = parts[n-2]
	return t, parts[n-1], nil
}
