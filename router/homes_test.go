package router

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/claims"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
	"github.com/corianderturn/corianderturn/internal/standin/logtest"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/members"
	"github.com/corianderturn/corianderturn/request"
)

// homeFleet is a set of daemons, each with its own membership table that lists some of the
// others as live. The daemons call each other's claim gates directly, without a network.
type homeFleet struct {
	memberTables []*members.Table
	gates        map[wire.NodeID]*claims.Gate
	calls        map[wire.NodeID]*atomic.Int32
	unreachable  map[wire.NodeID]bool
}

func fleetNode(i int) wire.NodeID {
	return wire.NodeID{Instance: fmt.Sprintf("entry-%02d", i), Incarnation: 1}
}

// newHomeFleet returns n daemons. Daemon i considers daemon j live if sees(i, j) is true.
func newHomeFleet(n int, sees func(i, j int) bool) *homeFleet {
	f := &homeFleet{gates: map[wire.NodeID]*claims.Gate{}, calls: map[wire.NodeID]*atomic.Int32{}, unreachable: map[wire.NodeID]bool{}}
	now := time.Now()
	for i := range n {
		t := members.NewTable(members.Config{Node: fleetNode(i), DataCentre: "a"}, now)
		for j := range n {
			if j != i && sees(i, j) {
				t.HandleHeartbeat(now, wire.Heartbeat{Node: fleetNode(j), DataCentre: "a", Seq: 1})
			}
		}
		t.Tick(now)
		f.memberTables = append(f.memberTables, t)
		f.calls[fleetNode(i)] = &atomic.Int32{}
	}
	return f
}

// fleetPeers gives one daemon access to the others. It implements homePeers.
type fleetPeers struct {
	f     *homeFleet
	table *members.Table
}

func (p fleetPeers) View() *members.View { return p.table.View() }

func (p fleetPeers) Call(ctx context.Context, to wire.NodeID, _ wire.Type, req, reply any) (err error) {
	p.f.calls[to].Add(1)
	if p.f.unreachable[to] {
		return errors.New("the daemon does not answer")
	}
	switch req := req.(type) {
	case wire.ClaimGet:
		*reply.(*wire.ClaimState), err = p.f.gates[to].ServeLookup(ctx, req)
	case wire.ClaimAppend:
		*reply.(*wire.ClaimAppended), err = p.f.gates[to].ServeAppend(ctx, req)
	}
	return err
}

func (f *homeFleet) homesOf(i int) *homes { return &homes{peers: fleetPeers{f, f.memberTables[i]}} }

func allLive(int, int) bool { return true }

// TestReadersOfEachShard counts the daemons that read each shard: all of them in a small fleet
// and homesPerShard in a large one. With a number of daemons between these sizes, a daemon must
// keep the mode (small or large fleet) that it was in.
func TestReadersOfEachShard(t *testing.T) {
	const shards = 16
	for n, want := range map[int]int{1: 1, 7: 7, smallFleetMax: smallFleetMax, largeFleetMin: homesPerShard, 64: homesPerShard} {
		f := newHomeFleet(n, allLive)
		for shard := range shards {
			got := 0
			for i := range n {
				if f.homesOf(i).readsShard(shard) {
					got++
				}
			}
			if got != want {
				t.Errorf("%d daemons: shard %d has %d readers, want %d", n, shard, got, want)
			}
		}
	}
	between := newHomeFleet(smallFleetMax+1, allLive).homesOf(0)
	for _, large := range []bool{false, true} {
		between.largeFleet.Store(large)
		reads := 0
		for shard := range shards {
			if between.readsShard(shard) {
				reads++
			}
		}
		if (reads == shards) == large {
			t.Errorf("large before %v: %d of %d shards are read", large, reads, shards)
		}
	}
}

// Guards against refusing claims of a shard because its first home does not answer and is not
// yet detected as dead, although the shard's second home is live.
func TestSecondHomeIsCalledIfFirstFails(t *testing.T) {
	f := newHomeFleet(30, allLive)
	list := f.memberTables[0].View().TopRanked(claims.Stream(0), homesPerShard)
	f.unreachable[list[0].Node] = true
	caller := 0
	for fleetNode(caller) == list[0].Node || fleetNode(caller) == list[1].Node {
		caller++
	}
	f.gates[list[1].Node], _ = claims.New(claims.Options{Log: infra.NewLog("http://127.0.0.1:0", nil), Self: list[1].Node})
	_, _ = f.homesOf(caller).lookupAtHome(t.Context(), 0, wire.ClaimGet{})
	if first, second := f.calls[list[0].Node].Load(), f.calls[list[1].Node].Load(); first != 1 || second != 1 {
		t.Errorf("the homes were called %d and %d times, want once each", first, second)
	}
}

// Guards against two daemons running one request. The daemons disagree about which of them are
// live, so a shard has several sets of homes, and homes from different sets append and look up
// claims of one key at the same time. The order of records in the log must decide which claim
// is granted, not the membership view of a home.
func TestHomesThatDisagreeGrantOnce(t *testing.T) {
	const daemons, keys, callers = 24, 12, 6
	f := newHomeFleet(daemons, func(i, j int) bool { return (i*7+j*3)%11 != 0 })
	url := logtest.Start(t, logsvc.Config{}).URL
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	var gates []*claims.Gate
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: platformIdleConns}}
	defer hc.CloseIdleConnections()
	for i := range daemons {
		h := f.homesOf(i)
		g, err := claims.New(claims.Options{
			Log: infra.NewLog(url, hc), Self: fleetNode(i), Follow: h.readsShard, LookupAtHome: h.lookupAtHome, AppendAtHome: h.appendAtHome,
			DecisionTimeout: testTimeout, Logger: &log.Logger{Handler: discard.Default, Level: log.FatalLevel},
		})
		if err != nil {
			t.Fatal(err)
		}
		f.gates[fleetNode(i)] = g
		gates = append(gates, g)
	}
	for _, g := range gates {
		wg.Go(func() { _ = g.Run(ctx) })
	}
	var runs [keys]atomic.Int32
	var claiming conc.WaitGroup
	for k := range keys {
		for c := range callers {
			claiming.Go(func() {
				key := request.ClaimKey{Team: "team", Key: fmt.Sprint(k), RequestID: fmt.Sprint(k, c)}
				grant, err := gates[(k+c*5)%daemons].Claim(ctx, key)
				switch {
				case err == nil && grant.Run():
					runs[k].Add(1)
				case err != nil && err.Kind != errkind.KeyInProgress:
					t.Errorf("key %d: %v", k, err)
				}
			})
		}
	}
	claiming.Wait()
	for k := range keys {
		if n := runs[k].Load(); n != 1 {
			t.Errorf("key %d was granted %d times", k, n)
		}
	}
}
