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

// Guards against flows that depend on state of one balancer.
func TestFaultBalancerCrash(t *testing.T) {
	b := newBed(t, 1, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	feeds := b.feeds(svc, 12)
	b.goOn(feeds)
	crashed := b.balancers[0]
	b.StopBalancer(crashed, true)
	_, running := crashed.State(b.ctx)
	b.is.True(!running)
	b.goOn(feeds)
	b.confirmNew(svc, svc.Addr, 20, "after")
	b.ready() // until the crashed balancer is gone everywhere
	b.goOn(feeds)
}

// Guards against flows and requests that break while the balancers are replaced.
func TestFaultAllBalancersReplaced(t *testing.T) {
	b := newBed(t, 2, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	feeds := append(b.feeds(svc, 9), b.feeds(b.Spec.Services[1], 9)...)
	stop := b.work(svc, "work")
	for i, old := range slices.Clone(b.balancers) {
		_, err := b.StartBalancer(model.NodeID(fmt.Sprintf("dk-east-a-entry-new-%d", i)), b.Spec.DCs[0])
		b.is.NoErr(err)
		b.ready()
		b.StopBalancer(old, false)
		b.goOn(feeds)
	}
	b.ready()
	b.goOn(feeds)
	sent, failed := stop()
	b.is.True(sent > 0)
	b.is.Equal(failed, nil)
}

// Guards against a planned stop that cuts off flows, takes new ones, or never
// ends because of idle connections.
func TestFaultAgentStop(t *testing.T) {
	b := newBed(t, 3, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	feeds := b.feeds(svc, 12)
	a, own, others := b.crowded(svc, feeds)
	b.keepAlive(svc, a)
	b.StopAgent(a, false)
	b.seen(svc, a.ID, model.StateLeaving)
	opened := a.Opened()
	b.confirmNew(svc, svc.Addr, 20, "during")
	b.is.Equal(a.Opened(), opened)
	b.goOn(feeds)
	for _, f := range own {
		f.close()
	}
	b.eventually("the agent exits after its last flow", func() bool { return ended(a) })
	b.goOn(others)
	b.confirmNew(svc, svc.Addr, 20, "after")
	b.ready()
}

// Guards against requests on open connections that are refused or cut off while
// their agent stops.
func TestFaultAgentStopServesOpenConnections(t *testing.T) {
	b := newBed(t, 11, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	a := b.of(svc)[0]
	client := b.keepAlive(svc, a)
	b.StopAgent(a, false)
	b.seen(svc, a.ID, model.StateLeaving)
	reused := false
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/confirm?m=kept", svc.Addr), strings.NewReader("kept"))
	b.is.NoErr(err)
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { reused = c.Reused }}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	b.is.NoErr(err)
	b.is.NoErr(resp.Body.Close())
	b.is.True(reused)
	b.is.Equal(resp.StatusCode, http.StatusOK)
	at := b.ranAt("m=kept")
	b.is.Equal(len(at), 1)
	b.is.True(at[0] != a) // a peer ran it
	b.eventually("the agent exits", func() bool { return ended(a) })
}

// keepAlive returns a client with an open idle connection to the agent.
func (b *bed) keepAlive(svc ServiceSpec, a *AgentProc) *http.Client {
	b.t.Helper()
	for i := range maxTries {
		client := b.caller().Client(true)
		if at := b.confirm(client, svc.Addr, fmt.Sprintf("open-%d", i)); at[0] == a {
			return client
		}
	}
	b.t.Fatalf("none of %d connections went to %s", maxTries, a.ID)
	return nil
}

func ended(a *AgentProc) bool {
	select {
	case <-a.Done():
		return true
	default:
		return false
	}
}

// Guards against a crash that harms other targets' flows, and against callers
// of the crashed one that hang.
func TestFaultAgentCrash(t *testing.T) {
	b := newBed(t, 4, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	feeds := b.feeds(svc, 12)
	a, own, others := b.crowded(svc, feeds)
	b.StopAgent(a, true)
	b.goOn(others)
	for _, f := range own {
		b.eventually(fmt.Sprintf("the feed from %s ends", f.from), f.over)
		b.is.True(f.err != nil)
		b.is.True(strings.Contains(f.err.Error(), "reset"))
	}
	b.goOn(others)
	b.ready()
	b.confirmNew(svc, svc.Addr, 20, "after")
}

// Guards against the replacement of an agent process that cuts its flows off or
// leaves the target without new ones.
func TestFaultAgentReplaced(t *testing.T) {
	b := newBed(t, 5, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	feeds := b.feeds(svc, 12)
	old, own, others := b.crowded(svc, feeds)
	next, err := b.StartAgentBeside(old, old.ID+"/2")
	b.is.NoErr(err)
	b.ready()
	b.StopAgent(old, false)
	b.seen(svc, old.ID, model.StateLeaving)
	opened, openedNext := old.Opened(), next.Opened()
	b.confirmNew(svc, svc.Addr, 20, "after")
	client := b.caller().Client(false)
	n := 0
	b.eventually("the new agent takes new flows", func() bool {
		n++
		b.confirm(client, svc.Addr, fmt.Sprintf("more-%d", n))
		return next.Opened() > openedNext
	})
	b.is.Equal(old.Opened(), opened)
	b.goOn(feeds)
	for _, f := range own {
		f.close()
	}
	b.eventually("the old agent exits after its last flow", func() bool { return ended(old) })
	b.goOn(others)
	b.ready()
}

// Guards against new flows at a drained target, and against a drain that cannot
// be taken back.
func TestFaultDrainReversed(t *testing.T) {
	b := newBed(t, 6, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	feeds := b.feeds(svc, 12)
	a, _, _ := b.crowded(svc, feeds)
	client := b.caller().Client(false)
	for round := range 2 {
		b.is.NoErr(b.Put("60-drain.yaml", fmt.Sprintf("target: %s\ndrain: true\n", a.ID)))
		b.seen(svc, a.ID, model.StateLeaving)
		opened := a.Opened()
		b.confirmNew(svc, svc.Addr, 30, fmt.Sprintf("drained-%d", round))
		b.is.Equal(a.Opened(), opened)
		b.goOn(feeds)
		b.is.NoErr(b.Remove("60-drain.yaml"))
		b.seen(svc, a.ID, model.StateActive)
		n := 0
		b.eventually("the target gets new flows again", func() bool {
			n++
			b.confirm(client, svc.Addr, fmt.Sprintf("again-%d-%d", round, n))
			return a.Opened() > opened
		})
		b.goOn(feeds)
	}
}

// Guards against flows that break and requests that reach another service's
// target while an address moves between services.
func TestFaultAddressMoved(t *testing.T) {
	b := newBed(t, 7, 2, netstack.Keepalive{})
	from, to := b.Spec.Services[0], b.Spec.Services[1]
	const file = "20-move.yaml"
	addrs := func(svc ServiceSpec, want int) {
		b.t.Helper()
		b.eventually(fmt.Sprintf("%s has %d addresses everywhere", svc.Name, want), func() bool {
			for _, a := range b.of(svc) {
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
	feeds := b.feeds(from, 6)
	before := b.caller().Client(true)
	b.is.Equal(b.confirm(before, from.Addr, "before-0")[0].Service, from.Name)
	stop := b.work(to, "other")

	b.is.NoErr(b.Put(file, fmt.Sprintf("service: %s\naddresses: [%s/tcp, %s/tcp]\n", to.Name, to.Addr, from.Addr)))
	addrs(from, 0)
	addrs(to, 2)
	b.confirmNew(to, from.Addr, 10, "moved")
	b.goOn(feeds)
	b.is.Equal(b.confirm(before, from.Addr, "before-1")[0].Service, from.Name)
	movedTo := to
	movedTo.Addr = from.Addr
	late := b.feeds(movedTo, 6)
	during := b.caller().Client(true)
	b.is.Equal(b.confirm(during, from.Addr, "during-0")[0].Service, to.Name)

	b.is.NoErr(b.Remove(file))
	addrs(from, 1)
	addrs(to, 1)
	b.confirmNew(from, from.Addr, 10, "back")
	b.goOn(append(feeds, late...))
	b.is.Equal(b.confirm(before, from.Addr, "before-2")[0].Service, from.Name)
	b.is.Equal(b.confirm(during, from.Addr, "during-1")[0].Service, to.Name)
	sent, failed := stop()
	b.is.Equal(failed, nil)
	for i, f := range append(feeds, late...) {
		at := b.ranAt("from=" + f.from.String())
		b.is.Equal(len(at), 1)
		b.is.Equal(at[0].Service, b.Spec.Services[i/6].Name)
	}
	for i := range sent {
		at := b.ranAt(fmt.Sprintf("m=other-%d", i))
		b.is.Equal(len(at), 1)
		b.is.Equal(at[0].Service, to.Name)
	}
}

// Guards against traffic or joining balancers that need the store, and against
// changes that are missed after an outage.
func TestFaultStoreDown(t *testing.T) {
	b := newBed(t, 8, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	feeds := b.feeds(svc, 9)
	b.Store.SetFaults(store.Faults{Down: true})
	b.confirmNew(svc, svc.Addr, 10, "down")
	old := slices.Clone(b.balancers)
	_, err := b.StartBalancer("dk-east-a-entry-new", b.Spec.DCs[0])
	b.is.NoErr(err)
	b.ready()
	for _, p := range old {
		b.StopBalancer(p, false)
	}
	b.confirmNew(svc, svc.Addr, 10, "joined") // only the new balancer is left
	b.goOn(feeds)

	b.Store.SetFaults(store.Faults{})
	id := b.of(svc)[0].ID
	b.is.NoErr(b.Put("60-drain.yaml", fmt.Sprintf("target: %s\ndrain: true\n", id)))
	b.seen(svc, id, model.StateLeaving)
	b.is.True(b.everyBalancer(func(s node.BalancerState) bool {
		return s.Snapshot.Target(id) == config.Override{Weight: 1, Drain: true}
	}))
	b.goOn(feeds)
}

// Guards against flows of silent callers that are held for ever, and against
// cutting off a caller that is alive but reads slowly.
func TestFaultSilentCaller(t *testing.T) {
	b := newBed(t, 9, 2, netstack.Keepalive{Idle: 2 * time.Second, Interval: time.Second, Probes: 3})
	svc := b.Spec.Services[0]
	feeds := b.feeds(svc, 6)
	const lines = 1_000_000 // more than all buffers hold
	slow, err := b.caller().Client(false).Get(fmt.Sprintf("http://%s/list?n=%d", svc.Addr, lines))
	b.is.NoErr(err)
	defer slow.Body.Close()
	for _, every := range []time.Duration{20 * time.Millisecond, time.Hour} {
		f := b.feed(svc, every)
		b.Fabric.Blackhole(f.from)
		b.eventually(fmt.Sprintf("the flow of a silent caller with an event every %v is released", every), func() bool {
			flows, open := 0, 0
			for _, a := range b.of(svc) {
				flows += a.Flows()
				open += a.Target.Counts().Feeds
			}
			return flows == len(feeds)+1 && open == len(feeds)
		})
	}
	b.goOn(feeds)
	n := 0
	for scan := bufio.NewScanner(slow.Body); scan.Scan(); n++ {
	}
	b.is.Equal(n, lines)
}

// Guards against flows that end with the agent that is their home but does not
// hold them.
func TestFaultHomeCrash(t *testing.T) {
	b := newBed(t, 10, 2, netstack.Keepalive{})
	svc := b.Spec.Services[0]
	home := b.of(svc)[0]
	table := placement.New("", time.Second)
	table.Apply(time.Now(), *home.View())
	b.is.NoErr(b.Put("60-drain.yaml", fmt.Sprintf("target: %s\ndrain: true\n", home.ID)))
	b.seen(svc, home.ID, model.StateLeaving)
	var feeds []*feed
	for homed := 0; homed < 4; {
		b.is.True(len(feeds) < maxTries)
		f := b.feed(svc, 20*time.Millisecond)
		feeds = append(feeds, f)
		if table.AppendHomes(nil, time.Now(), f.flow.Hash(), 1)[0] == home.ID {
			homed++
		}
	}
	b.is.Equal(home.Flows(), 0)
	b.is.NoErr(b.Remove("60-drain.yaml"))
	b.seen(svc, home.ID, model.StateActive)
	b.goOn(feeds)
	b.StopAgent(home, true)
	b.goOn(feeds)
	b.ready() // until the crashed agent is gone everywhere
	b.goOn(feeds)
	b.confirmNew(svc, svc.Addr, 10, "after")
}
