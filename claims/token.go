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

// tokenPrefix marks an idempotency key as a bound token.
const tokenPrefix = "ct1."

// Sizes of a token's random parts, in bytes.
const (
	tokenSecretSize = 32
	tokenNonceSize  = 12
	tokenMACSize    = 16
)

// isToken says whether a key is a bound token.
func isToken(key string) bool { return strings.HasPrefix(key, tokenPrefix) }

// Minter mints bound tokens and is the only one that accepts them: its secret
// never leaves this process, so a token dies with its incarnation. It is safe
// for concurrent use.
type Minter struct {
	self   wire.NodeID
	ttl    time.Duration
	secret []byte
	now    func() time.Time
	dead   func(wire.NodeID) bool

	mu   sync.Mutex
	used *tokenIndex
}

// newMinter returns the minter of this incarnation. Tokens can be used for ttl;
// at most maxTokens in use and answerBytes of answers are kept.
func newMinter(self wire.NodeID, ttl time.Duration, maxTokens, answerBytes int) (*Minter, error) {
	secret := make([]byte, tokenSecretSize)
	if _, err := rand.Read(secret); err != nil {
		return nil, errors.Wrap(err, "claims: token secret")
	}
	return &Minter{
		self: self, ttl: ttl, secret: secret, now: time.Now,
		dead: func(wire.NodeID) bool { return false },
		used: newTokenIndex(maxTokens, answerBytes),
	}, nil
}

// Mint returns a new token for a team. It takes no memory until it is used.
func (m *Minter) Mint(team string) string {
	var nonce [tokenNonceSize]byte
	_, _ = rand.Read(nonce[:]) // never fails: crypto/rand ends the process instead
	t := token{
		owner: m.self, expiry: m.now().Add(m.ttl).Unix(),
		nonce: base64.RawURLEncoding.EncodeToString(nonce[:]),
	}
	return t.text() + "." + m.mac(team, t.text())
}

func (m *Minter) mac(team, text string) string {
	h := hmac.New(sha256.New, m.secret)
	fmt.Fprintf(h, "%d:%s%s", len(team), team, text)
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:tokenMACSize])
}

// Claim decides a request that carries a bound token. Where another incarnation
// owns the token, the grant names it.
func (m *Minter) Claim(team, key string, body Body) (request.Grant, *errkind.Error) {
	t, mac, err := parseToken(key)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "the idempotency key looks like a bound token but is none")
	}
	if t.owner != m.self {
		return m.elsewhere(t)
	}
	if !hmac.Equal([]byte(mac), []byte(m.mac(team, t.text()))) {
		return nil, errkind.New(errkind.BadRequest, "the bound token was not minted for this team")
	}
	now := m.now()
	if now.Unix() >= t.expiry {
		return nil, errkind.New(errkind.KeyExpired, "the bound token has expired")
	}
	return m.take(now, NewKey(team, key), body, time.Unix(t.expiry, 0))
}

// elsewhere names the owner, unless it is known to have ended: then nobody can
// tell any more whether the request ran.
func (m *Minter) elsewhere(t token) (request.Grant, *errkind.Error) {
	if t.owner.Instance == m.self.Instance || m.dead(t.owner) {
		return nil, unknown().Err
	}
	return &grant{owner: t.owner}, nil
}

func (m *Minter) take(now time.Time, key Key, body Body, expiry time.Time) (request.Grant, *errkind.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.used.claim(now, key, body, expiry)
	if d.Err != nil {
		return nil, d.Err
	}
	if !d.Run {
		return &grant{answer: d.Answer}, nil
	}
	return &grant{run: true, deadline: expiry, finish: func(out request.Outcome) { m.finish(key, out) }}, nil
}

func (m *Minter) finish(key Key, out request.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used.finish(key, out)
}

// token is a parsed bound token; nothing in it is to be trusted before its
// owner has checked the code at its end.
type token struct {
	owner  wire.NodeID
	expiry int64 // seconds since the epoch
	nonce  string
}

func (t token) text() string {
	return fmt.Sprintf("%s%s.%d.%d.%s", tokenPrefix, t.owner.Instance, t.owner.Incarnation, t.expiry, t.nonce)
}

// parseToken splits a token from its end, since an instance's name may hold dots.
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
