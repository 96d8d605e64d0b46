package bundle

import (
	"encoding/hex"
	"fmt"
	"maps"
	"math"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Limits on a bundle's content, and on the errors about it.
const (
	// MaxUpstreams is the maximum number of upstreams. The load reports between
	// daemons identify an upstream by a 16-bit index.
	MaxUpstreams = 1 << 16
	// MaxAttempts is the maximum of policy.max_attempts.
	MaxAttempts = 10
	// maxProblems is the maximum number of problems listed in one error text.
	maxProblems = 20
	// maxMillis is the maximum of every duration, in milliseconds: one day.
	maxMillis = 24 * 60 * 60 * 1000
	// digestHexLen is the length of a SHA-256 digest in hex.
	digestHexLen = 64
)

var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)

	policyNames      = []string{"", "reserve", "round-robin", "least-loaded"}
	disableableParts = []string{"decode-first", "headroom", "prefix", "early-refusal", "queue"}
	poolRoles        = []PoolRole{RolePrefill, RoleDecode, RoleService}
	upstreamStates   = []UpstreamState{StateJoining, StateServing, StateLeaving}
	classes          = []Class{Urgent, Draft}
)

// nameRule describes namePattern in error messages.
const nameRule = "a letter or digit, then up to 127 letters, digits, '.', '_' or '-'"

func nameOK(name string) bool { return namePattern.MatchString(name) }

// Problem is one violated rule in a bundle's content.
type Problem struct {
	// Path is the field's path, such as "upstreams.u1.address".
	Path string
	// Text describes the violation.
	Text string
}

// InvalidError lists the problems of an invalid bundle.
type InvalidError struct{ Problems []Problem }

// Error implements error. It lists one problem per line, at most maxProblems of them.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, maxProblems+1)
	for i, p := range e.Problems {
		if i == maxProblems {
			lines = append(lines, fmt.Sprintf("and %d more", len(e.Problems)-maxProblems))
			break
		}
		lines = append(lines, p.Path+": "+p.Text)
	}
	return strings.Join(lines, "\n")
}

// problems collects the problems found during a validation.
type problems struct{ list []Problem }

func (p *problems) add(path, format string, args ...any) {
	p.list = append(p.list, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

// check adds a problem unless ok is set.
func (p *problems) check(ok bool, path, format string, args ...any) {
	if !ok {
		p.add(path, format, args...)
	}
}

// err returns an *InvalidError, or nil if there are no problems.
func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	return errors.WithStack(&InvalidError{Problems: p.list})
}

// Validate checks a bundle's content. Its error wraps an *InvalidError.
func Validate(b *Bundle) error {
	p := &problems{}
	validatePools(p, b)
	validateEach(p, b, b.Models, validateModel)
	p.check(len(b.Upstreams) <= MaxUpstreams, "upstreams", "%d exceed the maximum of %d", len(b.Upstreams), MaxUpstreams)
	validateEach(p, b, b.Upstreams, validateUpstream)
	checkAddresses(p, b)
	validateEach(p, b, b.Services, validateService)
	validateEach(p, b, b.Teams, validateTeam)
	checkDigests(p, b)
	validateClasses(p, b)
	validatePolicy(p, b.Policy)
	return p.err()
}

// validateEach calls check for each entry of a section, in the order of names.
func validateEach[V any](p *problems, b *Bundle, entries map[string]V, check func(*problems, *Bundle, string)) {
	for _, name := range sortedKeys(entries) {
		check(p, b, name)
	}
}

// sortedKeys returns the keys of m in order, so that problems are always listed
// in the same order.
func sortedKeys[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func validatePools(p *problems, b *Bundle) {
	for _, name := range sortedKeys(b.Pools) {
		pool, path := b.Pools[name], "pools."+name
		p.check(nameOK(name), path, "bad name: %s", nameRule)
		p.check(slices.Contains(poolRoles, pool.Role), path+".role", "%q is not one of %v", pool.Role, poolRoles)
		p.check(pool.Slots >= 1, path+".slots", "must be at least 1")
		p.check(pool.LinkBytesPerSecond >= 0, path+".link_bytes_per_second", "must not be negative")
	}
}

func validateModel(p *problems, b *Bundle, name string) {
	model, path := b.Models[name], "models."+name
	p.check(modelPattern.MatchString(name), path, "bad name: %s, ':' or '/'", nameRule)
	p.check(model.Version != "", path+".version", "is missing")
	p.check(model.KVBytesPerToken >= 1, path+".kv_bytes_per_token", "must be at least 1")
	checkPool(p, b, path+".prefill_pool", model.PrefillPool, RolePrefill)
	checkPool(p, b, path+".decode_pool", model.DecodePool, RoleDecode)
	seen := map[string]bool{}
	for i, adapter := range model.Adapters {
		at := fmt.Sprintf("%s.adapters[%d]", path, i)
		p.check(modelPattern.MatchString(adapter), at, "bad name %q", adapter)
		p.check(!seen[adapter], at, "%q is listed twice", adapter)
		seen[adapter] = true
	}
}

// checkPool checks that a pool exists and has the given role.
func checkPool(p *problems, b *Bundle, path, name string, role PoolRole) {
	pool, ok := b.Pools[name]
	if !ok {
		p.add(path, "unknown pool %q", name)
		return
	}
	p.check(pool.Role == role, path, "pool %q has role %q, not %q", name, pool.Role, role)
}

func validateUpstream(p *problems, b *Bundle, name string) {
	u, path := b.Upstreams[name], "upstreams."+name
	p.check(nameOK(name), path, "bad name: %s", nameRule)
	_, known := b.Pools[u.Pool]
	p.check(known, path+".pool", "unknown pool %q", u.Pool)
	p.check(nameOK(u.DataCentre), path+".data_centre", "bad name %q: %s", u.DataCentre, nameRule)
	p.check(slices.Contains(upstreamStates, u.State), path+".state", "%q is not one of %v", u.State, upstreamStates)
	p.check(addressOK(u.Address), path+".address", "%q is not host:port with a port from 1 to 65535", u.Address)
}

// checkAddresses reports upstreams that share an address.
func checkAddresses(p *problems, b *Bundle) {
	owner := make(map[string]string, len(b.Upstreams))
	for _, name := range sortedKeys(b.Upstreams) {
		address := b.Upstreams[name].Address
		other, taken := owner[address]
		p.check(!taken, "upstreams."+name+".address", "%q is also that of upstream %q", address, other)
		owner[address] = name
	}
}

// addressOK reports whether address is host:port with a numeric port above 0.
func addressOK(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || strings.ContainsAny(host, " /\t\n") {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

func validateService(p *problems, b *Bundle, name string) {
	s, path := b.Services[name], "services."+name
	p.check(nameOK(name), path, "bad name: %s", nameRule)
	checkPool(p, b, path+".pool", s.Pool, RoleService)
	checkClass(p, b, path+".class", s.Class)
	checkMillis(p, path+".timeout_ms", s.TimeoutMillis)
	for i, prefix := range s.NonIdempotent {
		p.check(strings.HasPrefix(prefix, "/"), fmt.Sprintf("%s.non_idempotent[%d]", path, i), "%q must start with '/'", prefix)
	}
}

func checkClass(p *problems, b *Bundle, path string, class Class) {
	_, ok := b.Classes[class]
	p.check(ok, path, "class %q is not in classes", class)
}

func checkMillis(p *problems, path string, ms int64) {
	p.check(ms >= 1 && ms <= maxMillis, path, "must be from 1 to %d ms", int64(maxMillis))
}

func validateTeam(p *problems, b *Bundle, name string) {
	team, path := b.Teams[name], "teams."+name
	p.check(nameOK(name), path, "bad name: %s", nameRule)
	p.check(team.Weight >= 1, path+".weight", "must be at least 1")
	p.check(team.MaxInFlight >= 0, path+".max_in_flight", "must not be negative")
	checkClass(p, b, path+".class", team.Class)
	for i, digest := range team.KeyDigests {
		p.check(digestOK(digest), fmt.Sprintf("%s.key_digests[%d]", path, i), "must be a SHA-256 digest in %d lower-case hex digits", digestHexLen)
	}
}

// checkDigests reports bearer keys that are listed twice, within a team or in two.
func checkDigests(p *problems, b *Bundle) {
	owner := make(map[string]string, len(b.Teams))
	for _, name := range sortedKeys(b.Teams) {
		for i, digest := range b.Teams[name].KeyDigests {
			other, taken := owner[digest]
			p.check(!taken, fmt.Sprintf("teams.%s.key_digests[%d]", name, i), "is also a key of team %q", other)
			owner[digest] = name
		}
	}
}

func digestOK(digest string) bool {
	if len(digest) != digestHexLen || strings.ToLower(digest) != digest {
		return false
	}
	_, err := hex.DecodeString(digest)
	return err == nil
}

func validateClasses(p *problems, b *Bundle) {
	for _, class := range sortedKeys(b.Classes) {
		t, path := b.Classes[class], "classes."+string(class)
		p.check(slices.Contains(classes, class), path, "is not one of %v", classes)
		checkMillis(p, path+".first_token_ms", t.FirstTokenMillis)
		checkMillis(p, path+".between_tokens_ms", t.BetweenTokensMillis)
		checkMillis(p, path+".deadline_ms", t.DeadlineMillis)
	}
}

func validatePolicy(p *problems, c PolicyConfig) {
	checkWeight(p, "policy.goodput_weight", c.GoodputWeight)
	checkWeight(p, "policy.wasted_prefill_weight", c.WastedPrefillWeight)
	checkShare(p, "policy.urgent_headroom", c.UrgentHeadroom)
	checkShare(p, "policy.retry_budget", c.RetryBudget)
	p.check(c.MaxAttempts >= 1 && c.MaxAttempts <= MaxAttempts, "policy.max_attempts", "must be from 1 to %d", MaxAttempts)
	p.check(slices.Contains(policyNames, c.Name), "policy.name", "%q is not one of %v", c.Name, policyNames[1:])
	for i, part := range c.Disable {
		p.check(slices.Contains(disableableParts, part), fmt.Sprintf("policy.disable[%d]", i), "%q is not one of %v", part, disableableParts)
	}
}

func checkWeight(p *problems, path string, w float64) {
	p.check(w >= 0 && !math.IsInf(w, 0) && !math.IsNaN(w), path, "must be a finite number, 0 or more")
}

func checkShare(p *problems, path string, s float64) {
	p.check(s >= 0 && s <= 1, path, "must be from 0 to 1")
}
