package passnode

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steer"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

// Timeouts and intervals of the balancer.
const (
	// listInterval is the interval between listings of the agents by a reader, and after a
	// failed listing. It may be long because balancers also learn of new agents from each other.
	listInterval = 2 * time.Second
	// nonReaderListInterval is the same for a balancer that is not a reader. Its listings
	// only remove the entries of agents whose objects are gone.
	nonReaderListInterval = 20 * time.Second
	// listRetryInterval is the interval between listings until one contains an agent.
	listRetryInterval = 150 * time.Millisecond
	// firstConfigRetryInterval is the delay between attempts to get the first
	// configuration. It is short because callers wait for it.
	firstConfigRetryInterval = 50 * time.Millisecond
	// missingConfigRetryInterval is the same while the store has no configuration, so that
	// callers cannot be served anyway.
	missingConfigRetryInterval = 250 * time.Millisecond
	// fetchTimeout bounds the transfer of a configuration between balancers.
	fetchTimeout = 800 * time.Millisecond
)

// BalancerOptions configures a balancer.
type BalancerOptions struct {
	Core       steer.Options
	Codec      segment.Codec
	FabricAddr netip.AddrPort // UDP: packets from callers
	PeerAddr   netip.AddrPort // UDP and TCP: other processes of the deployment
	ReturnPort uint16         // UDP port of callers
	Store      *storeclient.Client
	// ConfigPrefix is the watched path prefix, ConfigPath the path of the configuration
	// object under it.
	ConfigPrefix, ConfigPath string
	// EvacuationPrefix is the path prefix of the operator's evacuations of data centres, one
	// object for each, named like it. Empty if there are none.
	EvacuationPrefix string
	// DecodeConfig decodes the content of the configuration object.
	DecodeConfig func(content []byte) (*steer.Config, error)
	Metrics      *telemetry.Metrics
	Logger       *log.Logger
	// ShutdownDelay is how long the balancer continues to forward packets after it became
	// unready at shutdown.
	ShutdownDelay time.Duration
}

// Balancer is a running balancer.
type Balancer struct {
	opts          BalancerOptions
	core          *steer.Core
	loop          *loop
	logWriter     *logWriter
	fabric        *socket
	peers         *socket
	sender        datagramSender
	unreadyReason atomic.Pointer[string] // why the balancer is not ready, empty if it is
	config        atomic.Pointer[sharedConfig]
	// decisions holds the decision files in effect, nil before the first listing.
	decisions        atomic.Pointer[sharedDecisions]
	decisionRequests chan struct{}       // signals that the decision files are to be listed
	decisionsListed  chan struct{}       // closed after the first attempt to list the decision files
	fetchRequests    chan netip.AddrPort // balancers to fetch the configuration from
	listRequests     chan struct{}       // signals that a fresh listing of the agents is needed
	removeRequests   chan removal        // agents whose objects are to be removed
	reader           *readerRole
	confirmRequests  chan struct{} // signals that the configuration is to be confirmed
	configAge        atomic.Int64  // of the configuration in effect, in milliseconds
	decisionsAge     atomic.Int64  // of the decision files in effect, in milliseconds
	capacity         capacityGauge

	evacuationWatcher  *readerRole
	evacuationRequests chan struct{} // signals that the evacuations are to be listed
	evacuations        atomic.Int64  // number of evacuated data centres
	evacuationsAge     atomic.Int64  // of the view of them, in milliseconds

	// listed holds the agents' objects in the listing that the core knows. Only the loop
	// uses it.
	listed map[netip.AddrPort]listedAgent
}

// NewBalancer returns a balancer with its sockets bound.
func NewBalancer(opts BalancerOptions) (*Balancer, error) {
	b := &Balancer{opts: opts, logWriter: newLogWriter(opts.Logger, opts.Metrics), sender: datagramSender{metrics: opts.Metrics}, fetchRequests: make(chan netip.AddrPort, 1), listRequests: make(chan struct{}, 1), decisionsListed: make(chan struct{}), removeRequests: make(chan removal, callQueue), reader: newReaderRole(), confirmRequests: make(chan struct{}, 1), decisionRequests: make(chan struct{}, 1), evacuationWatcher: newReaderRole(), evacuationRequests: make(chan struct{}, 1)}
	b.loop = newLoop(opts.Metrics, b.logWriter)
	b.loop.handleDatagram, b.loop.tick, b.loop.next = b.handleDatagram, b.tick, func() time.Time { return b.core.Next() }
	now := time.Now()
	b.core = steer.New(now, opts.Core)
	b.core.AddSeeds(now, opts.Core.Seeds)
	starting := "starting"
	b.unreadyReason.Store(&starting)
	err := errors.Join(opts.Metrics.Gauge(GaugeConfigAge, b.configAge.Load), opts.Metrics.Gauge(GaugeDecisionsAge, b.decisionsAge.Load), b.capacity.register(opts))
	if opts.EvacuationPrefix != "" {
		err = errors.Join(err, opts.Metrics.Gauge(GaugeEvacuations, b.evacuations.Load), opts.Metrics.Gauge(GaugeEvacuationsAge, b.evacuationsAge.Load))
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if b.fabric, err = listen(opts.FabricAddr, b.loop.datagrams); err != nil {
		return nil, err
	}
	if b.peers, err = listen(opts.PeerAddr, b.loop.datagrams); err != nil {
		return nil, err
	}
	return b, nil
}

// UnreadyReason returns why the balancer is not ready for packets, "" if it is ready.
func (b *Balancer) UnreadyReason() string { return *b.unreadyReason.Load() }

// Run serves until ctx is done, then for ShutdownDelay while the routers take the balancer
// out of rotation. It returns early when kill is done.
func (b *Balancer) Run(ctx, kill context.Context) error {
	runCtx, stop := context.WithCancel(kill)
	defer stop()
	g, gctx := errgroup.WithContext(runCtx)
	g.Go(func() error { return b.logWriter.run(gctx) })
	g.Go(func() error { return b.loop.run(gctx) })
	g.Go(func() error { return b.fabric.read(gctx) })
	g.Go(func() error { return b.peers.read(gctx) })
	g.Go(func() error { return b.serveConfig(gctx) })
	g.Go(func() error { return b.fetchConfigs(gctx) })
	g.Go(func() error { return b.watchConfig(gctx) })
	g.Go(func() error { return b.watchDecisions(gctx) })
	if b.opts.EvacuationPrefix != "" {
		g.Go(func() error { return b.watchEvacuations(gctx) })
		g.Go(func() error { return b.listEvacuations(gctx) })
	}
	g.Go(func() error {
		return watchEpochs(gctx, b.opts.Store, func(epoch, _ uint64) {
			_ = b.loop.call(gctx, func(now time.Time) { b.execute(now, b.core.SetStoreEpoch(now, epoch)) }) // fails only at shutdown
		})
	})
	g.Go(func() error { return b.confirmConfigs(gctx) })
	g.Go(func() error { return b.listAgents(gctx) })
	g.Go(func() error {
		defer stop()
		select {
		case <-gctx.Done():
			return nil
		case <-ctx.Done():
		}
		if err := b.loop.call(gctx, func(now time.Time) {
			b.core.Leave()
			b.publishReadiness(now)
			b.logWriter.enqueue(now, "stopping", "cause", context.Cause(ctx), "flows", b.core.Flows())
		}); err != nil {
			return nil // the process is killed
		}
		select {
		case <-gctx.Done():
		case <-time.After(b.opts.ShutdownDelay):
		}
		return nil
	})
	err := g.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// AddSeeds adds peer addresses of other balancers.
func (b *Balancer) AddSeeds(ctx context.Context, seeds []netip.AddrPort) error {
	return b.loop.call(ctx, func(now time.Time) { b.core.AddSeeds(now, seeds) })
}

func (b *Balancer) tick(now time.Time) {
	b.execute(now, b.core.Tick(now))
	b.configAge.Store(b.core.ConfigAge(now).Milliseconds())
	b.decisionsAge.Store(b.core.DecisionsAge(now).Milliseconds())
	b.capacity.update(now, b.core)
	b.publishReadiness(now)
	reads := b.core.ReadsStore(now)
	b.publishEvacuations(now, reads)
	if b.reader.set(reads) {
		b.logWriter.enqueue(now, "store_reader", "reader", reads, "peers", b.core.Peers())
	}
}

// publishReadiness updates the result of UnreadyReason and logs a change.
func (b *Balancer) publishReadiness(now time.Time) {
	_, reason := b.core.Ready(now)
	if old := *b.unreadyReason.Load(); old != reason {
		b.unreadyReason.Store(&reason)
		b.logWriter.enqueue(now, "ready_changed", "ready", reason == "", "reason", reason, "before", old)
	}
}

func (b *Balancer) handleDatagram(now time.Time, d datagram) {
	if d.sock == b.fabric {
		s, err := b.opts.Codec.Parse(d.bytes(), false)
		if err != nil {
			b.opts.Metrics.Count(CounterMalformed, "packet", 1)
			return
		}
		b.execute(now, b.core.Packet(now, s, d.bytes()))
		return
	}
	m, err := steerwire.Decode(d.bytes())
	if err != nil {
		b.opts.Metrics.Count(CounterMalformed, "message", 1)
		return
	}
	var s segment.Segment
	if m.Kind == steerwire.KindRefuse {
		if s, err = b.opts.Codec.Parse(m.Refuse.Packet, false); err != nil {
			b.opts.Metrics.Count(CounterMalformed, "refused_packet", 1)
			return
		}
	}
	b.execute(now, b.core.Message(now, d.from, m, s))
	if m.Kind == steerwire.KindReport {
		b.publishReadiness(now)
	}
}

func (b *Balancer) execute(now time.Time, actions []steer.Action) {
	for _, a := range actions {
		switch a.Kind {
		case steer.SendForward:
			b.sender.buf = steerwire.AppendForward(b.sender.buf[:0], steerwire.Forward{Service: a.Service, Terms: a.Terms, Packet: a.Packet})
			b.sender.countError("forward", b.peers.write(b.sender.buf, a.To))
		case steer.SendMessage:
			b.sender.sendMessage(b.peers, a.To, a.Message)
		case steer.ResetCaller:
			b.sender.buf = b.opts.Codec.Reset(b.sender.buf[:0], a.Flow, a.Ack)
			b.sender.countError("reset", b.fabric.write(b.sender.buf, netip.AddrPortFrom(a.Flow.Src.Addr(), b.opts.ReturnPort)))
		case steer.FetchConfig:
			select {
			case b.fetchRequests <- a.To:
			default: // a fetch is in progress; the next hello triggers another
			}
		case steer.ConfirmConfig:
			select {
			case b.confirmRequests <- struct{}{}:
			default: // a read is already due
			}
		case steer.ListDecisions:
			select {
			case b.decisionRequests <- struct{}{}:
			default: // a listing is already due
			}
		case steer.ListEvacuations:
			select {
			case b.evacuationRequests <- struct{}{}:
			default: // a listing is already due
			}
		case steer.ListAgents:
			select {
			case b.listRequests <- struct{}{}:
			default: // a listing is already due
			}
		case steer.RemoveAgent:
			l := b.listed[a.To]
			if !l.removable(now, a.Incarnation) {
				b.logWriter.enqueue(now, "agent_object_kept", "agent", a.To.String(), "reason", "other_incarnation", "incarnation", l.incarnation)
				continue
			}
			select {
			case b.removeRequests <- removal{a.To, l.at}:
			default: // the core requests the removal again later
			}
		case steer.Count:
			b.opts.Metrics.Count(a.Counter.Name, a.Counter.Reason, 1)
		case steer.Observe:
			b.opts.Metrics.Observe(a.Counter.Name, a.Counter.Reason, a.Latency)
		case steer.Log:
			b.logEntry(now, a.Entry)
		}
	}
}

func (b *Balancer) logEntry(now time.Time, e steer.Entry) {
	f := make(fields, 0, 18)
	f.addFlow(e.Flow)
	f.addText("service", string(e.Service))
	if e.Target.IsValid() {
		f.addField("target", e.Target.String())
	}
	f.addText("datacentre", string(e.DataCentre))
	if e.Incarnation != 0 {
		f.addField("incarnation", e.Incarnation)
	}
	f.addText("reason", e.Reason)
	f.addAge(e.Age)
	f.addField("config_version", e.Version)
	f.addField("n", e.Detail)
	b.logWriter.enqueue(now, e.Event, f...)
}

// watchConfig reads the configuration from the store, and while the balancer is a reader
// applies each change of it.
func (b *Balancer) watchConfig(ctx context.Context) error {
	b.readFirstConfig(ctx)
	var after storeclient.Position // where the last watch ended
	for ctx.Err() == nil {
		watchCtx, stop := b.reader.whileReader(ctx)
		err := b.opts.Store.Watch(watchCtx, b.opts.ConfigPrefix, after, func(batch storeclient.Batch) error {
			after = batch.Position
			for _, ch := range batch.Changes {
				if ch.Path == b.opts.ConfigPath && !ch.Removed {
					b.applyConfig(watchCtx, ch.Version, ch.Content, "store")
				}
			}
			b.confirmConfig(watchCtx, batch.AsOf)
			return watchCtx.Err()
		}, storeclient.OnWatchError(func(err error) { b.logWatchError(watchCtx, err) }))
		ended := watchCtx.Err() != nil
		stop()
		if !ended {
			return trace.Wrap(err)
		}
	}
	return nil
}

// confirmConfig tells the core that the store had no later configuration at asOf.
func (b *Balancer) confirmConfig(ctx context.Context, asOf time.Time) {
	_ = b.loop.call(ctx, func(now time.Time) { b.execute(now, b.core.ConfigCurrent(now, asOf)) }) // fails only at shutdown
}

// logWatchError logs a failed call of the watch of the configuration, with the age of the
// configuration.
func (b *Balancer) logWatchError(ctx context.Context, err error) {
	_ = b.loop.call(ctx, func(now time.Time) { // fails only at shutdown
		b.logWriter.enqueue(now, "watch_failed", "age_ms", b.core.ConfigAge(now).Milliseconds(), "err", err.Error())
	})
}

// readFirstConfig reads the configuration from the store until there is one from any
// source. It waits for the decision files, but at most
// steer.FirstDecisionsTimeout.
func (b *Balancer) readFirstConfig(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil && b.config.Load() == nil {
		pause, sentAt := firstConfigRetryInterval, time.Now()
		o, err := b.opts.Store.Get(ctx, b.opts.ConfigPath)
		if err == nil {
			select {
			case <-b.decisionsListed:
			case <-time.After(time.Until(began.Add(steer.FirstDecisionsTimeout))):
			case <-ctx.Done():
			}
			b.applyConfig(ctx, o.Version, o.Content, "store")
			b.confirmConfig(ctx, sentAt)
			return
		}
		if storeclient.KindOf(err) == storeclient.NotFound {
			pause = missingConfigRetryInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// confirmConfigs reads the configuration from the store whenever the core requests it.
func (b *Balancer) confirmConfigs(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.confirmRequests:
		}
		sentAt := time.Now()
		if o, err := b.opts.Store.Get(ctx, b.opts.ConfigPath); err == nil {
			b.applyConfig(ctx, o.Version, o.Content, "store")
			b.confirmConfig(ctx, sentAt)
		}
		_ = b.loop.call(ctx, func(now time.Time) { b.execute(now, b.core.ConfigConfirmed(now)) }) // fails only at shutdown
	}
}

// applyConfig puts a configuration into effect unless it is older than the current one.
func (b *Balancer) applyConfig(ctx context.Context, revision uint64, content []byte, source string) {
	next, err := b.opts.DecodeConfig(content)
	if err != nil {
		b.opts.Metrics.Count(CounterConfig, "malformed", 1)
		b.logViaLoop(ctx, "configuration_refused", "source", source, "revision", revision, "err", err.Error())
		return
	}
	next.Revision = revision
	_ = b.loop.call(ctx, func(now time.Time) { // fails only at shutdown
		old, age := b.core.Config(), b.core.ConfigAge(now)
		if source == "store" {
			b.execute(now, b.core.SetConfig(now, next))
		} else {
			b.execute(now, b.core.SetPeerConfig(now, next))
		}
		if b.core.Config() != old {
			b.config.Store(&sharedConfig{Revision: revision, Content: json.RawMessage(content)})
			b.logWriter.enqueue(now, "configuration_in_effect", "source", source, "revision", revision, "config_version", next.Version, "age_ms", age.Milliseconds())
			b.opts.Metrics.Count(CounterConfig, source, 1)
		}
		b.publishReadiness(now)
	})
}

// GaugeConfigAge and GaugeDecisionsAge are the ages of the configuration and of the decision
// files in effect, in milliseconds.
const (
	GaugeConfigAge    = "passnode_configuration_age_ms"
	GaugeDecisionsAge = "passnode_decisions_age_ms"
)

// CounterConfig counts configurations put into effect by source, and failures by reason.
const CounterConfig = "passnode_configurations"

// logViaLoop logs from a goroutine other than the loop's.
func (b *Balancer) logViaLoop(ctx context.Context, msg string, args ...any) {
	_ = b.loop.call(ctx, func(now time.Time) { b.logWriter.enqueue(now, msg, args...) }) // fails only at shutdown
}

// listAgents lists the agents in the store repeatedly, and removes the agents' objects that
// the core asks to remove.
func (b *Balancer) listAgents(ctx context.Context) error {
	storeReachable, fresh, agentsFound := true, true, false
	for ctx.Err() == nil {
		began := time.Now()
		listing, objects, err := b.readAgents(ctx, fresh)
		if (err == nil) != storeReachable && ctx.Err() == nil {
			storeReachable = err == nil
			b.logViaLoop(ctx, "store_reachable", "reachable", storeReachable, "err", errText(err))
			_ = b.loop.call(ctx, func(time.Time) { b.core.SetStoreReachable(storeReachable) }) // fails only at shutdown
		}
		if err == nil {
			if fresh {
				listing.AsOf = began
			}
			agentsFound = agentsFound || len(listing.Agents) > 0
			_ = b.loop.call(ctx, func(now time.Time) { // fails only at shutdown
				b.setListed(now, objects)
				b.execute(now, b.core.SetAgents(now, listing))
			})
		}
		pause := listInterval
		switch {
		case !agentsFound:
			pause = listRetryInterval
		case storeReachable && !b.reader.is():
			pause = nonReaderListInterval
		}
		select {
		case <-ctx.Done():
		case <-b.reader.gained:
			fresh = false
		case <-time.After(pause):
			fresh = !agentsFound
		case <-b.listRequests:
			fresh = true
		case r := <-b.removeRequests:
			fresh = false
			_, err := b.opts.Store.DeleteAt(ctx, agentPath(r.agent), r.at)
			if err != nil {
				b.opts.Metrics.Count(CounterRegister, "remove_failed", 1) // the core requests the removal again later
			}
			b.logViaLoop(ctx, "agent_object_removed", "agent", r.agent.String(), "version", r.at.String(), "err", errText(err))
		}
	}
	return nil
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
