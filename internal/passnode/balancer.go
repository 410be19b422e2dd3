package passnode

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steer"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

// Times of the balancer's calls.
const (
	// listInterval is the pause between listings of the agents. New agents are
	// heard through other balancers too, so a listing may be late.
	listInterval = 2 * time.Second
	// listRetry is the pause after a listing that failed, and until the first.
	listRetry = 150 * time.Millisecond
	// coldRetry is the pause between attempts to get the first configuration, for
	// which callers wait.
	coldRetry = 50 * time.Millisecond
	// fetchTimeout bounds the transfer of a configuration between balancers.
	fetchTimeout = 800 * time.Millisecond
)

// agentsPrefix is where agents write their objects in the store.
const agentsPrefix = "agents/"

// agentObject is an agent's object in the store.
type agentObject struct {
	Peer netip.AddrPort `json:"peer"`
	// Incarnation makes each start a change, so that a delayed removal by an
	// earlier start finds another version.
	Incarnation model.Incarnation `json:"incarnation"`
}

// agentPath returns the path of an agent's object.
func agentPath(peer netip.AddrPort) string {
	return agentsPrefix + strings.ReplaceAll(peer.String(), ":", "-")
}

// BalancerOptions configure a balancer.
type BalancerOptions struct {
	Core       steer.Options
	Codec      segment.Codec
	FabricAddr netip.AddrPort // UDP: packets of callers
	PeerAddr   netip.AddrPort // UDP and TCP: other processes of the deployment
	ReturnPort uint16         // UDP port of callers
	Store      *storeclient.Client
	// ConfigPrefix is where the store keeps the configuration, ConfigPath the object.
	ConfigPrefix, ConfigPath string
	// DecodeConfig reads the content of the configuration object.
	DecodeConfig func(content []byte) (*steer.Config, error)
	Metrics      *telemetry.Metrics
	Logger       *log.Logger
	// StopAfter is how long the balancer forwards after it became unready.
	StopAfter time.Duration
}

// Balancer is a running balancer.
type Balancer struct {
	o      BalancerOptions
	core   *steer.Core
	loop   *loop
	logs   *logs
	fabric *socket
	peers  *socket
	out    sender
	ready  atomic.Pointer[string] // reason why not ready, empty if it is
	config atomic.Pointer[sharedConfig]
	// decisions are the decision files in effect; nil before the first.
	decisions atomic.Pointer[sharedDecisions]
	decided   chan struct{} // closed after the first listing of decision files
	fetch     chan netip.AddrPort
	list      chan struct{} // a listing that is not old is wanted
	remove    chan netip.AddrPort
	// versions are those of the agents' objects; the listing's goroutine owns them.
	versions map[netip.AddrPort]uint64
}

// NewBalancer binds the sockets.
func NewBalancer(o BalancerOptions) (*Balancer, error) {
	b := &Balancer{o: o, logs: newLogs(o.Logger), out: sender{metrics: o.Metrics}, fetch: make(chan netip.AddrPort, 1), list: make(chan struct{}, 1), decided: make(chan struct{}), remove: make(chan netip.AddrPort, callQueue)}
	b.loop = newLoop(o.Metrics, b.logs)
	b.loop.datagram, b.loop.tick, b.loop.next = b.datagram, b.tick, func() time.Time { return b.core.Next() }
	now := time.Now()
	b.core = steer.New(now, o.Core)
	b.core.AddSeeds(now, o.Core.Seeds)
	starting := "starting"
	b.ready.Store(&starting)
	var err error
	if b.fabric, err = listen(o.FabricAddr, b.loop.packets); err != nil {
		return nil, err
	}
	if b.peers, err = listen(o.PeerAddr, b.loop.packets); err != nil {
		return nil, err
	}
	return b, nil
}

// Ready returns why the balancer should get no packets, or "".
func (b *Balancer) Ready() string { return *b.ready.Load() }

// Run serves until ctx ends and the balancer has been out of the routers'
// rotation for a while, or until kill ends.
func (b *Balancer) Run(ctx, kill context.Context) error {
	running, stop := context.WithCancel(kill)
	defer stop()
	g, gctx := errgroup.WithContext(running)
	g.Go(func() error { return b.logs.run(gctx) })
	g.Go(func() error { return b.loop.run(gctx) })
	g.Go(func() error { return b.fabric.read(gctx) })
	g.Go(func() error { return b.peers.read(gctx) })
	g.Go(func() error { return b.serveConfig(gctx) })
	g.Go(func() error { return b.fetchConfigs(gctx) })
	g.Go(func() error { return b.watchConfig(gctx) })
	g.Go(func() error { return b.watchDecisions(gctx) })
	g.Go(func() error { return b.listAgents(gctx) })
	g.Go(func() error {
		defer stop()
		select {
		case <-gctx.Done():
			return nil
		case <-ctx.Done():
		}
		if err := b.loop.do(gctx, func(now time.Time) {
			b.core.Leave()
			b.noteReady(now)
			b.logs.put(now, "stopping", "cause", context.Cause(ctx), "flows", b.core.Flows())
		}); err != nil {
			return nil // the process is killed
		}
		select {
		case <-gctx.Done():
		case <-time.After(b.o.StopAfter):
		}
		return nil
	})
	err := g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// AddSeeds makes more balancers known.
func (b *Balancer) AddSeeds(ctx context.Context, seeds []netip.AddrPort) error {
	return b.loop.do(ctx, func(now time.Time) { b.core.AddSeeds(now, seeds) })
}

func (b *Balancer) tick(now time.Time) {
	b.perform(now, b.core.Tick(now))
	b.noteReady(now)
}

// noteReady publishes a changed readiness.
func (b *Balancer) noteReady(now time.Time) {
	_, reason := b.core.Ready(now)
	if old := *b.ready.Load(); old != reason {
		b.ready.Store(&reason)
		b.logs.put(now, "ready_changed", "ready", reason == "", "reason", reason, "before", old)
	}
}

func (b *Balancer) datagram(now time.Time, d datagram) {
	if d.sock == b.fabric {
		s, err := b.o.Codec.Parse(d.bytes(), false)
		if err != nil {
			b.o.Metrics.Count(CounterMalformed, "packet", 1)
			return
		}
		b.perform(now, b.core.Packet(now, s, d.bytes()))
		return
	}
	m, err := steerwire.Decode(d.bytes())
	if err != nil {
		b.o.Metrics.Count(CounterMalformed, "message", 1)
		return
	}
	var s segment.Segment
	if m.Kind == steerwire.KindRefuse {
		if s, err = b.o.Codec.Parse(m.Refuse.Packet, false); err != nil {
			b.o.Metrics.Count(CounterMalformed, "refused_packet", 1)
			return
		}
	}
	b.perform(now, b.core.Message(now, d.from, m, s))
	if m.Kind == steerwire.KindReport {
		b.noteReady(now)
	}
}

func (b *Balancer) perform(now time.Time, actions []steer.Action) {
	for _, a := range actions {
		switch a.Kind {
		case steer.SendForward:
			b.out.buf = steerwire.AppendForward(b.out.buf[:0], steerwire.Forward{Service: a.Service, Terms: a.Terms, Packet: a.Packet})
			b.out.sent("forward", b.peers.write(b.out.buf, a.To))
		case steer.SendMessage:
			b.out.message(b.peers, a.To, a.Message)
		case steer.ResetCaller:
			b.out.buf = b.o.Codec.Reset(b.out.buf[:0], a.Flow, a.Ack)
			b.out.sent("reset", b.fabric.write(b.out.buf, netip.AddrPortFrom(a.Flow.Src.Addr(), b.o.ReturnPort)))
		case steer.FetchConfig:
			select {
			case b.fetch <- a.To:
			default: // a fetch is in progress; the next hello asks again
			}
		case steer.ListAgents:
			select {
			case b.list <- struct{}{}:
			default: // one is under way
			}
		case steer.RemoveAgent:
			select {
			case b.remove <- a.To:
			default: // a later look finds it again
			}
		case steer.Count:
			b.o.Metrics.Count(a.Counter.Name, a.Counter.Reason, 1)
		case steer.Observe:
			b.o.Metrics.Observe(a.Counter.Name, a.Counter.Reason, a.Latency)
		case steer.Log:
			b.logEntry(now, a.Entry)
		}
	}
}

func (b *Balancer) logEntry(now time.Time, e steer.Entry) {
	f := make(fields, 0, 16)
	f.flow(e.Flow)
	f.text("service", string(e.Service))
	if e.Target.IsValid() {
		f.add("target", e.Target.String())
	}
	f.text("reason", e.Reason)
	f.age(e.Age)
	f.add("config_version", e.Version)
	f.add("n", e.Detail)
	b.logs.put(now, e.Event, f...)
}

// watchConfig keeps the configuration in step with the store.
func (b *Balancer) watchConfig(ctx context.Context) error {
	var after uint64
	began := time.Now()
	for after == 0 && ctx.Err() == nil && b.config.Load() == nil {
		if o, err := b.o.Store.Get(ctx, b.o.ConfigPath); err == nil {
			after = o.Version
			select {
			case <-b.decided:
			case <-time.After(time.Until(began.Add(decisionWait))):
			case <-ctx.Done():
			}
			b.offerConfig(ctx, o.Version, o.Content, "store")
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(coldRetry):
		}
	}
	err := b.o.Store.Watch(ctx, b.o.ConfigPrefix, after, func(batch storeclient.Batch) error {
		for _, ch := range batch.Changes {
			if ch.Path == b.o.ConfigPath && !ch.Removed {
				b.offerConfig(ctx, ch.Version, ch.Content, "store")
			}
		}
		return nil
	})
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}

// offerConfig puts a configuration into effect unless it is older than the present one.
func (b *Balancer) offerConfig(ctx context.Context, revision uint64, content []byte, source string) {
	next, err := b.o.DecodeConfig(content)
	if err != nil {
		b.o.Metrics.Count(CounterConfig, "malformed", 1)
		b.say(ctx, "configuration_refused", "source", source, "revision", revision, "err", err.Error())
		return
	}
	next.Revision = revision
	_ = b.loop.do(ctx, func(now time.Time) { // fails only when the process stops
		old := b.core.Config()
		b.perform(now, b.core.SetConfig(now, next))
		if b.core.Config() != old {
			b.config.Store(&sharedConfig{Revision: revision, Content: json.RawMessage(content)})
			b.logs.put(now, "configuration_in_effect", "source", source, "revision", revision, "config_version", next.Version)
			b.o.Metrics.Count(CounterConfig, source, 1)
		}
		b.noteReady(now)
	})
}

// CounterConfig counts configurations by source, and those that could not be read.
const CounterConfig = "passnode_configurations"

// say logs from another goroutine than the loop's.
func (b *Balancer) say(ctx context.Context, msg string, args ...any) {
	_ = b.loop.do(ctx, func(now time.Time) { b.logs.put(now, msg, args...) }) // fails only when the process stops
}

// listAgents keeps the list of agents in step with the store.
func (b *Balancer) listAgents(ctx context.Context) error {
	healthy, fresh, found := true, true, false
	for ctx.Err() == nil {
		began := time.Now()
		addrs, err := b.readAgents(ctx, fresh)
		if (err == nil) != healthy && ctx.Err() == nil {
			healthy = err == nil
			b.say(ctx, "store_reachable", "reachable", healthy, "err", errText(err))
		}
		if err == nil {
			if !fresh {
				began = time.Time{}
			}
			found = found || len(addrs) > 0
			_ = b.loop.do(ctx, func(now time.Time) { b.perform(now, b.core.SetAgents(now, addrs, began)) }) // fails only when the process stops
		}
		pause := listInterval
		if !found {
			pause = listRetry
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
			fresh = !found
		case <-b.list:
			fresh = true
		case a := <-b.remove:
			fresh = false
			if _, err := b.o.Store.Delete(ctx, agentPath(a), b.versions[a]); err != nil {
				b.o.Metrics.Count(CounterRegister, "remove_failed", 1) // a later look finds it again
			}
		}
	}
	return nil
}

// readAgents lists the agents' addresses, from an answer that may be old unless
// fresh is set.
func (b *Balancer) readAgents(ctx context.Context, fresh bool) ([]netip.AddrPort, error) {
	list := b.o.Store.ListStale
	if fresh {
		list = b.o.Store.List
	}
	l, err := list(ctx, agentsPrefix)
	if err != nil {
		return nil, err
	}
	var addrs []netip.AddrPort
	b.versions = make(map[netip.AddrPort]uint64, len(l.Objects))
	for _, o := range l.Objects {
		var a agentObject
		if json.Unmarshal(o.Content, &a) != nil || !a.Peer.IsValid() {
			b.o.Metrics.Count(CounterMalformed, "agent_object", 1) // names no agent; the others hold
			continue
		}
		addrs = append(addrs, a.Peer)
		b.versions[a.Peer] = o.Version
	}
	return addrs, nil
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
