package testbed

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/standin/engine"
	"github.com/corianderturn/corianderturn/internal/standin/service"
	"github.com/corianderturn/corianderturn/settings"
)

// Names in the bundle that Fleet.Bundle returns.
const (
	Model       = "drafter"
	ServiceName = "status"
	Team        = "team-a"
	TeamKey     = "bearer-key-of-team-a"
	PoolPrefill = "prefill"
	PoolDecode  = "decode"
	PoolService = "service"
	// NonIdempotentPath is the prefix of the service's paths whose requests are not
	// idempotent and must be executed at most once.
	NonIdempotentPath = "/orders"
)

// Layout describes the processes of a fleet. Daemons and the upstreams of each pool
// are assigned to the data centres in round-robin order.
type Layout struct {
	DataCentres []string
	Daemons     int
	Prefill     int
	Decode      int
	Services    int
	// Additional command-line flags of the stand-ins.
	PrefillFlags   []string
	DecodeFlags    []string
	ServiceFlags   []string
	LogFlags       []string
	InstancesFlags []string
	WeightsFlags   []string
	// Settings may change the settings of daemon n before they are written to its
	// file. It may be nil.
	Settings func(n int, s *settings.Settings)
}

// dataCentre returns the data centre of the n-th daemon or upstream of a pool.
func (l Layout) dataCentre(n int) string { return l.DataCentres[n%len(l.DataCentres)] }

// upstreamSpec describes one upstream to start.
type upstreamSpec struct {
	name       string
	pool       string
	dataCentre string
	command    string
	flags      []string
}

// upstreams returns the upstreams of all pools.
func (l Layout) upstreams() []upstreamSpec {
	kinds := []struct {
		pool    string
		count   int
		command string
		flags   []string
	}{
		{PoolPrefill, l.Prefill, "engine", append([]string{"--role=" + engine.RolePrefill}, l.PrefillFlags...)},
		{PoolDecode, l.Decode, "engine", append([]string{"--role=" + engine.RoleDecode}, l.DecodeFlags...)},
		{PoolService, l.Services, "service", l.ServiceFlags},
	}
	var out []upstreamSpec
	for _, k := range kinds {
		for n := range k.count {
			out = append(out, upstreamSpec{
				name:       fmt.Sprintf("%s-%d", k.pool, n),
				pool:       k.pool,
				dataCentre: l.dataCentre(n),
				command:    k.command,
				flags:      k.flags,
			})
		}
	}
	return out
}

// keyDigest returns the digest by which a bundle identifies a bearer key.
func keyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// newBundle returns a bundle without upstreams, as a base that tests modify. Slots,
// rates and sizes equal the stand-ins' defaults.
func newBundle() *bundle.Bundle {
	link := int64(engine.DefaultLinkRate)
	return &bundle.Bundle{
		Models: map[string]bundle.Model{Model: {
			Version:         "1",
			PrefillPool:     PoolPrefill,
			DecodePool:      PoolDecode,
			KVBytesPerToken: engine.DefaultKVPerToken,
		}},
		Pools: map[string]bundle.Pool{
			PoolPrefill: {Role: bundle.RolePrefill, Slots: 1, LinkBytesPerSecond: link},
			PoolDecode:  {Role: bundle.RoleDecode, Slots: engine.DefaultSlots, LinkBytesPerSecond: link},
			PoolService: {Role: bundle.RoleService, Slots: service.DefaultSlots},
		},
		Upstreams: map[string]bundle.Upstream{},
		Services: map[string]bundle.Service{ServiceName: {
			Pool:          PoolService,
			Class:         bundle.Urgent,
			NonIdempotent: []string{NonIdempotentPath},
			TimeoutMillis: 5000,
		}},
		Teams: map[string]bundle.Team{Team: {KeyDigests: []string{keyDigest(TeamKey)}, Weight: 1, Class: bundle.Draft}},
		Classes: map[bundle.Class]bundle.ClassTarget{
			bundle.Urgent: {FirstTokenMillis: 970, BetweenTokensMillis: 57, DeadlineMillis: 30_000, Priority: 10},
			bundle.Draft:  {FirstTokenMillis: 5000, BetweenTokensMillis: 57, DeadlineMillis: 120_000, Priority: 0},
		},
		Policy: bundle.PolicyConfig{
			GoodputWeight:       1,
			WastedPrefillWeight: 1,
			UrgentHeadroom:      0.1,
			RetryBudget:         0.2,
			MaxAttempts:         3,
		},
	}
}
