package demo

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/netstack"
	"github.com/bulrushshelf/bulrushshelf/internal/node"
	"github.com/bulrushshelf/bulrushshelf/internal/placement"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/store"
)

// Guards against flows that depend on the state of a single balancer.
func TestFaultBalancerCrash(t *testing.T) {
	b := newTestCluster(t, 1, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	feeds := b.openFeeds(svc, 12)
	b.requireProgress(feeds)
	crashed := b.balancers[0]
	b.StopBalancer(crashed, true)
	_, running := crashed.State(b.ctx)
	b.is.True(!running)
	b.requireProgress(feeds)
	b.confirmOnNewConns(svc, svc.Addr, 20, "after")
	b.waitMembersAgree() // until the crashed balancer is removed from every view
	b.requireProgress(feeds)
}

// Guards against broken flows and failed requests while the balancers are replaced.
func TestFaultAllBalancersReplaced(t *testing.T) {
	b := newTestCluster(t, 2, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	feeds := append(b.openFeeds(svc, 9), b.openFeeds(b.Spec.Services[1], 9)...)
	stop := b.sendInBackground(svc, "work")
	for i, old := range slices.Clone(b.balancers) {
		_, err := b.StartBalancer(model.NodeID(fmt.Sprintf("dk-east-a-entry-new-%d", i)), b.Spec.DCs[0])
		b.is.NoErr(err)
		b.waitMembersAgree()
		b.StopBalancer(old, false)
		b.requireProgress(feeds)
	}
	b.waitMembersAgree()
	b.requireProgress(feeds)
	sent, failed := stop()
	b.is.True(sent > 0)
	b.is.Equal(failed, nil)
}

// Guards against a graceful stop of an agent that breaks flows, accepts new ones, or
// never ends because of idle connections.
func TestFaultAgentStop(t *testing.T) {
	b := newTestCluster(t, 3, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	feeds := b.openFeeds(svc, 12)
	a, own, others := b.agentWithSomeOf(svc, feeds)
	b.idleConnTo(svc, a)
	b.StopAgent(a, false)
	b.waitForState(svc, a.ID, model.StateLeaving)
	opened := a.OpenedFlows()
	b.confirmOnNewConns(svc, svc.Addr, 20, "during")
	b.is.Equal(a.OpenedFlows(), opened)
	b.requireProgress(feeds)
	for _, f := range own {
		f.close()
	}
	b.eventually("the agent exits after its last flow", func() bool { return hasExited(a) })
	b.requireProgress(others)
	b.confirmOnNewConns(svc, svc.Addr, 20, "after")
	b.waitMembersAgree()
}

// Guards against refusing or breaking off requests on open connections while their
// agent stops.
func TestFaultAgentStopServesOpenConnections(t *testing.T) {
	b := newTestCluster(t, 11, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	a := b.agentsOf(svc)[0]
	client := b.idleConnTo(svc, a)
	b.StopAgent(a, false)
	b.waitForState(svc, a.ID, model.StateLeaving)
	reused := false
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/confirm?m=kept", svc.Addr), strings.NewReader("kept"))
	b.is.NoErr(err)
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { reused = c.Reused }}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	b.is.NoErr(err)
	b.is.NoErr(resp.Body.Close())
	b.is.True(reused)
	b.is.Equal(resp.StatusCode, http.StatusOK)
	agents := b.agentsThatRan("m=kept")
	b.is.Equal(len(agents), 1)
	b.is.True(agents[0] != a) // a peer ran it
	b.eventually("the agent exits", func() bool { return hasExited(a) })
}

// idleConnTo returns a client with an open idle connection to the agent.
func (b *testCluster) idleConnTo(svc ServiceSpec, a *AgentProc) *http.Client {
	b.t.Helper()
	for i := range maxTries {
		client := b.newCaller().Client(true)
		if agents := b.confirm(client, svc.Addr, fmt.Sprintf("open-%d", i)); agents[0] == a {
			return client
		}
	}
	b.t.Fatalf("none of %d connections went to %s", maxTries, a.ID)
	return nil
}

func hasExited(a *AgentProc) bool {
	select {
	case <-a.Done():
		return true
	default:
		return false
	}
}

// Guards against a crash of an agent that breaks flows of other targets, or that
// leaves its own callers without a reset.
func TestFaultAgentCrash(t *testing.T) {
	b := newTestCluster(t, 4, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	feeds := b.openFeeds(svc, 12)
	a, own, others := b.agentWithSomeOf(svc, feeds)
	b.StopAgent(a, true)
	b.requireProgress(others)
	for _, f := range own {
		b.eventually(fmt.Sprintf("the feed from %s ends", f.from), f.hasEnded)
		b.is.True(f.err != nil)
		b.is.True(strings.Contains(f.err.Error(), "reset"))
	}
	b.requireProgress(others)
	b.waitMembersAgree()
	b.confirmOnNewConns(svc, svc.Addr, 20, "after")
}

// Guards against the replacement of an agent process that breaks its flows or leaves
// the target without new ones.
func TestFaultAgentReplaced(t *testing.T) {
	b := newTestCluster(t, 5, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	feeds := b.openFeeds(svc, 12)
	old, own, others := b.agentWithSomeOf(svc, feeds)
	next, err := b.StartAgentBeside(old, old.ID+"/2")
	b.is.NoErr(err)
	b.waitMembersAgree()
	b.StopAgent(old, false)
	b.waitForState(svc, old.ID, model.StateLeaving)
	opened, openedNext := old.OpenedFlows(), next.OpenedFlows()
	b.confirmOnNewConns(svc, svc.Addr, 20, "after")
	client := b.newCaller().Client(false)
	n := 0
	b.eventually("the new agent accepts new flows", func() bool {
		n++
		b.confirm(client, svc.Addr, fmt.Sprintf("more-%d", n))
		return next.OpenedFlows() > openedNext
	})
	b.is.Equal(old.OpenedFlows(), opened)
	b.requireProgress(feeds)
	for _, f := range own {
		f.close()
	}
	b.eventually("the old agent exits after its last flow", func() bool { return hasExited(old) })
	b.requireProgress(others)
	b.waitMembersAgree()
}

// Guards against new flows at a drained target, and against a drain that cannot be
// reversed.
func TestFaultDrainReversed(t *testing.T) {
	b := newTestCluster(t, 6, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	feeds := b.openFeeds(svc, 12)
	a, _, _ := b.agentWithSomeOf(svc, feeds)
	client := b.newCaller().Client(false)
	for round := range 2 {
		b.is.NoErr(b.Put("60-drain.yaml", fmt.Sprintf("target: %s\ndrain: true\n", a.ID)))
		b.waitForState(svc, a.ID, model.StateLeaving)
		opened := a.OpenedFlows()
		b.confirmOnNewConns(svc, svc.Addr, 30, fmt.Sprintf("drained-%d", round))
		b.is.Equal(a.OpenedFlows(), opened)
		b.requireProgress(feeds)
		b.is.NoErr(b.Remove("60-drain.yaml"))
		b.waitForState(svc, a.ID, model.StateActive)
		n := 0
		b.eventually("the target gets new flows again", func() bool {
			n++
			b.confirm(client, svc.Addr, fmt.Sprintf("again-%d-%d", round, n))
			return a.OpenedFlows() > opened
		})
		b.requireProgress(feeds)
	}
}

// Guards against broken flows, and requests that reach a target of another service,
// while an address moves between services.
func TestFaultAddressMoved(t *testing.T) {
	b := newTestCluster(t, 7, 2, netstack.Keepalive{})
	from, to := b.Spec.Services[0], b.Spec.Services[1]
	const file = "20-move.yaml"
	addrs := func(svc ServiceSpec, want int) {
		b.t.Helper()
		b.eventually(fmt.Sprintf("%s has %d addresses everywhere", svc.Name, want), func() bool {
			for _, a := range b.agentsOf(svc) {
				if len(a.View().Addrs) != want {
					return false
				}
			}
			return b.everyBalancer(func(s node.BalancerState) bool {
				conf, _ := s.Snapshot.Service(svc.Name)
				return len(conf.Addresses) == want
			})
		})
	}
	feeds := b.openFeeds(from, 6)
	before := b.newCaller().Client(true)
	b.is.Equal(b.confirm(before, from.Addr, "before-0")[0].Service, from.Name)
	stop := b.sendInBackground(to, "other")

	b.is.NoErr(b.Put(file, fmt.Sprintf("service: %s\naddresses: [%s/tcp, %s/tcp]\n", to.Name, to.Addr, from.Addr)))
	addrs(from, 0)
	addrs(to, 2)
	b.confirmOnNewConns(to, from.Addr, 10, "moved")
	b.requireProgress(feeds)
	b.is.Equal(b.confirm(before, from.Addr, "before-1")[0].Service, from.Name)
	movedTo := to
	movedTo.Addr = from.Addr
	feedsAfterMove := b.openFeeds(movedTo, 6)
	during := b.newCaller().Client(true)
	b.is.Equal(b.confirm(during, from.Addr, "during-0")[0].Service, to.Name)

	b.is.NoErr(b.Remove(file))
	addrs(from, 1)
	addrs(to, 1)
	b.confirmOnNewConns(from, from.Addr, 10, "back")
	b.requireProgress(append(feeds, feedsAfterMove...))
	b.is.Equal(b.confirm(before, from.Addr, "before-2")[0].Service, from.Name)
	b.is.Equal(b.confirm(during, from.Addr, "during-1")[0].Service, to.Name)
	sent, failed := stop()
	b.is.Equal(failed, nil)
	for i, f := range append(feeds, feedsAfterMove...) {
		agents := b.agentsThatRan("from=" + f.from.String())
		b.is.Equal(len(agents), 1)
		b.is.Equal(agents[0].Service, b.Spec.Services[i/6].Name)
	}
	for i := range sent {
		agents := b.agentsThatRan(fmt.Sprintf("m=other-%d", i))
		b.is.Equal(len(agents), 1)
		b.is.Equal(agents[0].Service, to.Name)
	}
}

// Guards against traffic or new balancers that need the store, and against missing
// changes after a store outage.
func TestFaultStoreDown(t *testing.T) {
	b := newTestCluster(t, 8, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	feeds := b.openFeeds(svc, 9)
	b.Store.SetFaults(store.Faults{Down: true})
	b.confirmOnNewConns(svc, svc.Addr, 10, "down")
	old := slices.Clone(b.balancers)
	_, err := b.StartBalancer("dk-east-a-entry-new", b.Spec.DCs[0])
	b.is.NoErr(err)
	b.waitMembersAgree()
	for _, p := range old {
		b.StopBalancer(p, false)
	}
	b.confirmOnNewConns(svc, svc.Addr, 10, "joined") // only the new balancer is left
	b.requireProgress(feeds)

	b.Store.SetFaults(store.Faults{})
	id := b.agentsOf(svc)[0].ID
	b.is.NoErr(b.Put("60-drain.yaml", fmt.Sprintf("target: %s\ndrain: true\n", id)))
	b.waitForState(svc, id, model.StateLeaving)
	b.is.True(b.everyBalancer(func(s node.BalancerState) bool {
		return s.Snapshot.Target(id) == config.Override{Weight: 1, Drain: true}
	}))
	b.requireProgress(feeds)
}

// Guards against keeping flows of unreachable callers forever, and against breaking
// the flow of a caller that only reads slowly.
func TestFaultSilentCaller(t *testing.T) {
	b := newTestCluster(t, 9, 2, netstack.Keepalive{Idle: 2 * time.Second, Interval: time.Second, Probes: 3})
	svc := b.Spec.Services[0]
	feeds := b.openFeeds(svc, 6)
	const lines = 1_000_000 // more than the buffers on the path can hold
	slow, err := b.newCaller().Client(false).Get(fmt.Sprintf("http://%s/list?n=%d", svc.Addr, lines))
	b.is.NoErr(err)
	defer slow.Body.Close()
	for _, every := range []time.Duration{20 * time.Millisecond, time.Hour} {
		f := b.openFeed(svc, every)
		b.Fabric.Blackhole(f.from)
		b.eventually(fmt.Sprintf("the flow of an unreachable caller with an event every %v is released", every), func() bool {
			flows, open := 0, 0
			for _, a := range b.agentsOf(svc) {
				flows += a.Flows()
				open += a.Target.Counts().Feeds
			}
			return flows == len(feeds)+1 && open == len(feeds)
		})
	}
	b.requireProgress(feeds)
	n := 0
	for scan := bufio.NewScanner(slow.Body); scan.Scan(); n++ {
	}
	b.is.Equal(n, lines)
}

// Guards against flows that break when their home crashes although another agent
// holds them.
func TestFaultHomeCrash(t *testing.T) {
	b := newTestCluster(t, 10, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	home := b.agentsOf(svc)[0]
	table := placement.New("", time.Second)
	table.Apply(time.Now(), *home.View())
	b.is.NoErr(b.Put("60-drain.yaml", fmt.Sprintf("target: %s\ndrain: true\n", home.ID)))
	b.waitForState(svc, home.ID, model.StateLeaving)
	var feeds []*feed
	for homed := 0; homed < 4; {
		b.is.True(len(feeds) < maxTries)
		f := b.openFeed(svc, 20*time.Millisecond)
		feeds = append(feeds, f)
		if table.AppendHomes(nil, time.Now(), f.flow.Hash(), 1)[0] == home.ID {
			homed++
		}
	}
	b.is.Equal(home.Flows(), 0)
	b.is.NoErr(b.Remove("60-drain.yaml"))
	b.waitForState(svc, home.ID, model.StateActive)
	b.requireProgress(feeds)
	b.StopAgent(home, true)
	b.requireProgress(feeds)
	b.waitMembersAgree() // until the crashed agent is removed from every view
	b.requireProgress(feeds)
	b.confirmOnNewConns(svc, svc.Addr, 10, "after")
}
