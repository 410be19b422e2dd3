package passnode

import (
	"context"
	"io"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/standin/store"
	"github.com/bulrushshelf/bulrushshelf/internal/steer"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

// Guards against a balancer that removes the object of an agent that has started again
// since the decision: an order that was overtaken, as after a pause or when two balancers
// give it.
func TestFaultAgentRegistersBeforeItsRemoval(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := httptest.NewServer(store.New(store.Options{}))
	t.Cleanup(func() { go server.Close() })
	newClient := func() (*storeclient.Client, *telemetry.Metrics) {
		m, err := telemetry.NewMetrics("test")
		is.NoErr(err)
		c, err := storeclient.New(storeclient.Options{URL: server.URL, Counter: m})
		is.NoErr(err)
		return c, m
	}
	operator, _ := newClient()
	agent := netip.MustParseAddrPort("10.1.0.1:7000")
	first, err := operator.Create(ctx, agentPath(agent), []byte(`{"peer":"10.1.0.1:7000","incarnation":1}`))
	is.NoErr(err)

	// Two balancers decide to remove the first incarnation.
	var balancers []*Balancer
	for range 2 {
		client, m := newClient()
		b, err := NewBalancer(BalancerOptions{
			FabricAddr: netip.MustParseAddrPort("127.0.0.1:0"), PeerAddr: netip.MustParseAddrPort("127.0.0.1:0"),
			Store: client, Metrics: m, Logger: log.New(io.Discard),
		})
		is.NoErr(err)
		go func() { _ = b.loop.run(ctx) }()
		balancers = append(balancers, b)
	}
	// The second incarnation registers before they carry it out.
	second, err := operator.Update(ctx, agentPath(agent), first.Version, []byte(`{"peer":"10.1.0.1:7000","incarnation":2}`))
	is.NoErr(err)
	for _, b := range balancers {
		b.removeRequests <- removal{agent, storeclient.Position{Epoch: first.Epoch, Revision: first.Version}}
		go func() { _ = b.listAgents(ctx) }()
	}
	failed := func(b *Balancer) uint64 {
		return b.opts.Metrics.Totals()[telemetry.CounterKey{Name: CounterRegister, Reason: "remove_failed"}]
	}
	for _, b := range balancers {
		for deadline := time.Now().Add(10 * time.Second); failed(b) == 0; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the removal was not carried out")
			}
		}
	}
	o, err := operator.Get(ctx, agentPath(agent))
	is.NoErr(err)
	is.Equal(o.Version, second.Version)

	// The first of two removals of the second incarnation succeeds, the other fails.
	for _, b := range balancers {
		b.removeRequests <- removal{agent, storeclient.Position{Epoch: second.Epoch, Revision: second.Version}}
	}
	for deadline := time.Now().Add(10 * time.Second); failed(balancers[0])+failed(balancers[1]) < 3; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the second removal did not fail")
		}
	}
	_, err = operator.Get(ctx, agentPath(agent))
	is.Equal(storeclient.KindOf(err), storeclient.NotFound)
}

// Guards against the removal of an object that a later incarnation has written, although
// its report has not arrived yet.
func TestObjectOfALaterIncarnationIsKept(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t)
	agent := netip.MustParseAddrPort("10.1.0.1:7000")
	b.listed = map[netip.AddrPort]listedAgent{agent: {at: storeclient.Position{Epoch: 1, Revision: 9}, incarnation: 2}}
	now := time.Now()
	b.execute(now, []steer.Action{{Kind: steer.RemoveAgent, To: agent, Incarnation: 1}})
	is.Equal(len(b.removeRequests), 0)
	b.execute(now, []steer.Action{{Kind: steer.RemoveAgent, To: agent, Incarnation: 2}})
	is.Equal(<-b.removeRequests, removal{agent, storeclient.Position{Epoch: 1, Revision: 9}})
}

// Guards against the removal of a running agent's object whose incarnation is lower than the
// one of the ended agent, because its clock went back between both starts.
func TestObjectOfALowerIncarnationIsKept(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t)
	agent := netip.MustParseAddrPort("10.1.0.1:7000")
	now := time.Now()
	list := func(at time.Duration, revision uint64) {
		b.setListed(now.Add(at), map[netip.AddrPort]listedAgent{agent: {at: storeclient.Position{Epoch: 1, Revision: revision}, incarnation: 1}})
	}
	list(0, 9)
	b.execute(now, []steer.Action{{Kind: steer.RemoveAgent, To: agent, Incarnation: 2}})
	is.Equal(len(b.removeRequests), 0)

	// An object that an earlier process left behind is removed after a minute.
	list(59*time.Second, 9)
	b.execute(now.Add(59*time.Second), []steer.Action{{Kind: steer.RemoveAgent, To: agent, Incarnation: 2}})
	is.Equal(len(b.removeRequests), 0)
	list(61*time.Second, 9)
	b.execute(now.Add(61*time.Second), []steer.Action{{Kind: steer.RemoveAgent, To: agent, Incarnation: 2}})
	is.Equal(<-b.removeRequests, removal{agent, storeclient.Position{Epoch: 1, Revision: 9}})

	list(62*time.Second, 10) // written again
	b.execute(now.Add(62*time.Second), []steer.Action{{Kind: steer.RemoveAgent, To: agent}})
	is.Equal(len(b.removeRequests), 0)
}

// Guards against the removal of a running agent's object by a version that the store has
// assigned again after it was restored from a copy.
func TestFaultStoreIsRestoredBeforeARemoval(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := store.New(store.Options{})
	server := httptest.NewServer(s)
	t.Cleanup(func() { go server.Close() })
	m, err := telemetry.NewMetrics("test")
	is.NoErr(err)
	client, err := storeclient.New(storeclient.Options{URL: server.URL, Counter: m})
	is.NoErr(err)
	b, err := NewBalancer(BalancerOptions{
		FabricAddr: netip.MustParseAddrPort("127.0.0.1:0"), PeerAddr: netip.MustParseAddrPort("127.0.0.1:0"),
		Store: client, Metrics: m, Logger: log.New(io.Discard),
	})
	is.NoErr(err)
	go func() { _ = b.loop.run(ctx) }()

	agent := netip.MustParseAddrPort("10.1.0.1:7000")
	backup := s.Backup()
	lost, err := client.Create(ctx, agentPath(agent), []byte(`{"peer":"10.1.0.1:7000","incarnation":1}`))
	is.NoErr(err)
	s.Restore(backup)
	again, err := client.Create(ctx, agentPath(agent), []byte(`{"peer":"10.1.0.1:7000","incarnation":2}`))
	is.NoErr(err)
	is.Equal(again.Version, lost.Version)

	b.removeRequests <- removal{agent, storeclient.Position{Epoch: lost.Epoch, Revision: lost.Version}}
	go func() { _ = b.listAgents(ctx) }()
	failed := func() uint64 {
		return m.Totals()[telemetry.CounterKey{Name: CounterRegister, Reason: "remove_failed"}]
	}
	for deadline := time.Now().Add(10 * time.Second); failed() == 0; time.Sleep(5 * time.Millisecond) {
		if _, err := client.Get(ctx, agentPath(agent)); err != nil || time.Now().After(deadline) {
			t.Fatal("the object of the second incarnation was removed, or the removal was not carried out", err)
		}
	}
	_, err = client.Get(ctx, agentPath(agent))
	is.NoErr(err)
}
