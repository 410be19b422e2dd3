package demo

import (
	"fmt"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/netstack"
	"github.com/bulrushshelf/bulrushshelf/internal/node"
)

// waitForProcess waits until all balancers, and all agents of the service, have the record of
// this process of an agent, with the state active.
func (b *testCluster) waitForProcess(svc ServiceSpec, a *AgentProc) {
	b.t.Helper()
	current := func(members []model.Member) bool {
		for _, m := range members {
			if m.ID == a.ID {
				return m.PeerAddr == a.Self().PeerAddr && m.State == model.StateActive
			}
		}
		return false
	}
	b.eventually(fmt.Sprintf("the restarted process of %s is active everywhere", a.ID), func() bool {
		for _, other := range b.agentsOf(svc) {
			if v := other.View(); v == nil || !current(v.Members) {
				return false
			}
		}
		return b.everyBalancer(func(s node.BalancerState) bool { return current(s.Members) })
	})
}

// Guards against a target that gets no flows for the rest of its process, because the clock of
// its VM went back between two starts of the agent.
func TestFaultAgentsRestartAfterTheClockWentBack(t *testing.T) {
	b := newTestCluster(t, 31, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	id, dc := b.agentsOf(svc)[0].ID, b.agentsOf(svc)[0].Self().DC
	for i, step := range []time.Duration{-20 * time.Second, -time.Hour, 0} {
		for _, a := range b.agentsOf(svc) {
			if a.ID == id {
				b.StopAgent(a, true)
			}
		}
		b.timeOfDay = func() time.Time { return time.Now().Add(step) }
		a, err := b.StartAgent(svc, id, dc)
		b.is.NoErr(err)
		b.waitForProcess(svc, a)
		b.waitMembersAgree()
		b.confirmOnNewConns(svc, svc.Addr, 10, fmt.Sprint("restart-", i))
	}
}

// Guards against agents that drop all packets of a balancer, because the clock of its VM went back
// between two starts.
func TestFaultBalancersRestartAfterTheClockWentBack(t *testing.T) {
	b := newTestCluster(t, 32, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	feeds := b.openFeeds(svc, 6)
	for i, step := range []time.Duration{-20 * time.Second, -time.Hour, 0} {
		old := b.balancers[0]
		id := old.id
		b.StopBalancer(old, true)
		b.timeOfDay = func() time.Time { return time.Now().Add(step) }
		p, err := b.StartBalancer(id, b.Spec.DCs[0])
		b.is.NoErr(err)
		b.eventually("the restarted balancer is known to the other one", func() bool {
			return b.everyBalancer(func(s node.BalancerState) bool {
				for _, m := range s.Members {
					if m.ID == id {
						return m.PeerAddr == p.PeerAddr() && m.State == model.StateActive
					}
				}
				return false
			})
		})
		b.waitMembersAgree()
		b.requireProgress(feeds)
		b.confirmOnNewConns(svc, svc.Addr, 10, fmt.Sprint("restart-", i))
	}
}
