// Package balancer composes the cores of a balancer: membership, decision files
// and routing. The whole process is driven by events with the time as an
// argument; the runtime in package node adds sockets, timers and goroutines.
package balancer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/confsync"
	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
	"github.com/bulrushshelf/bulrushshelf/internal/membership"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/packet"
	"github.com/bulrushshelf/bulrushshelf/internal/route"
)

// Options configures a Core.
type Options struct {
	Self   model.Member // Kind is set to KindBalancer
	Seeds  []netip.AddrPort
	Seed   uint64 // of all random choices
	Router route.Options
	// Intervals of the membership protocol; zero values get the defaults.
	Intervals membership.Intervals
}

// Core is the state of one balancer. It is not safe for concurrent use.
type Core struct {
	observer *membership.Observer
	files    *confsync.Sync
	router   *route.Router
	snapshot *config.Snapshot
	rev      uint64

	members map[model.NodeID]model.Member // as this node must treat them, gone ones left out
	agents  map[model.ServiceName][]model.NodeID
	changed map[model.ServiceName]struct{} // services whose view must be rebuilt
	// serviceRev is the newest store version that changed each service.
	serviceRev map[model.ServiceName]uint64

	// The decisions in force about data centres and targets.
	dcs     map[model.DataCentre]membership.Override
	targets map[model.NodeID]membership.Override

	joined, ready, serving bool
	now                    time.Time
	out                    []Action
}

// New returns a core that knows neither members nor files.
func New(opt Options) *Core {
	opt.Self.Kind = model.KindBalancer
	opt.Router.Self = opt.Self.ID
	snapshot, _ := config.Merge(nil)
	return &Core{
		observer: membership.NewObserver(membership.Options{
			Self: opt.Self, Seeds: opt.Seeds, Seed: opt.Seed, Intervals: opt.Intervals,
		}),
		files: confsync.New(confsync.Options{
			Self: gossip.NewPeer(opt.Self.ID, opt.Self.DC, opt.Self.PeerAddr),
			Seed: model.Mix(opt.Seed),
		}),
		router:     route.New(opt.Router),
		snapshot:   snapshot,
		members:    make(map[model.NodeID]model.Member),
		agents:     make(map[model.ServiceName][]model.NodeID),
		changed:    make(map[model.ServiceName]struct{}),
		serviceRev: make(map[model.ServiceName]uint64),
		dcs:        make(map[model.DataCentre]membership.Override),
		targets:    make(map[model.NodeID]membership.Override),
	}
}

// Route decides about one packet; it does not allocate. Until the balancer is
// serving it drops every packet.
func (c *Core) Route(now time.Time, p *packet.Info) route.Decision {
	return c.router.Route(now, p)
}

// Home returns the decision about a packet that opens a flow which nobody holds.
func (c *Core) Home(now time.Time, f model.Flow) route.Decision {
	return c.router.Home(now, f)
}

// Addr returns the peer address of a member.
func (c *Core) Addr(id model.NodeID) (netip.AddrPort, bool) {
	m, ok := c.members[id]
	return m.PeerAddr, ok
}

// Self returns the balancer's own record.
func (c *Core) Self() model.Member { return c.observer.Self() }

// Serving reports whether members and files are known.
func (c *Core) Serving() bool { return c.serving }

// Snapshot returns the configuration in force and the newest store version in it.
func (c *Core) Snapshot() (*config.Snapshot, uint64) { return c.snapshot, c.rev }

// Members returns the members in order of their IDs.
func (c *Core) Members() []model.Member {
	out := make([]model.Member, 0, len(c.members))
	for _, m := range c.members {
		out = append(out, m)
	}
	model.SortMembers(out)
	return out
}

// Step handles one event. The returned slice is valid until the next call.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.now, c.out = now, c.out[:0]
	switch ev := ev.(type) {
	case Received:
		c.received(ev)
	case Waiting:
		c.routed(c.router.Step(now, route.Buffered(ev)))
	case Leave:
		c.observe(membership.Leave(ev))
	case Tick:
		c.observe(membership.Tick{})
		c.filesStep(confsync.Tick{})
		c.routed(c.router.Step(now, route.Tick{}))
	default:
		if fe := fileEvent(ev); fe != nil {
			c.filesStep(fe)
		}
	}
	c.rebuildViews()
	return c.out
}

func (c *Core) received(ev Received) {
	switch m := ev.Msg.(type) {
	case message.FileDelta:
		c.filesReceived(ev)
	case message.Digest:
		c.replicaReceived(ev, m.Map)
	case message.Pull:
		c.replicaReceived(ev, m.Map)
	case message.FlowHint:
		c.routed(c.router.Step(c.now, route.FlowHint{From: ev.From, Msg: m}))
	case message.FlowAnswer:
		c.routed(c.router.Step(c.now, route.FlowAnswer{From: ev.From, Msg: m}))
	case message.Heartbeat, message.HeartbeatAck, message.MemberDelta, message.Suspicion:
		c.observe(membership.Received{From: ev.From, FromAddr: ev.Addr, Msg: ev.Msg})
	default:
		c.out = append(c.out, Count{Reason: "message_unexpected"})
	}
}

func (c *Core) replicaReceived(ev Received, id message.MapID) {
	if id == message.MapFiles {
		c.filesReceived(ev)
		return
	}
	c.observe(membership.Received{From: ev.From, FromAddr: ev.Addr, Msg: ev.Msg})
}

func (c *Core) filesReceived(ev Received) {
	c.filesStep(confsync.Received{From: ev.From, FromAddr: ev.Addr, Msg: ev.Msg})
}

// observe drives the membership core. Peers are handed on to the decision files.
func (c *Core) observe(ev membership.Event) {
	for _, a := range slices.Clone(c.observer.Step(c.now, ev)) {
		switch a := a.(type) {
		case membership.Send:
			c.out = append(c.out, Send(a))
		case membership.MembersChanged:
			for _, m := range a.Members {
				c.memberChanged(m)
			}
		case membership.Joined:
			c.joined = true
			c.maybeServe()
		case membership.PeersChanged:
			c.filesStep(confsync.PeersChanged{Peers: a.Peers})
		}
	}
}

// filesStep drives the core of the decision files.
func (c *Core) filesStep(ev confsync.Event) {
	for _, a := range slices.Clone(c.files.Step(c.now, ev)) {
		switch a := a.(type) {
		case confsync.Send:
			c.out = append(c.out, Send(a))
		case confsync.FilesChanged:
			c.filesChanged(a)
		case confsync.Ready:
			c.ready = true
			c.maybeServe()
		case confsync.List:
			c.out = append(c.out, List{})
		case confsync.Watch:
			c.out = append(c.out, Watch(a))
		case confsync.Unwatch:
			c.out = append(c.out, Unwatch{})
		}
	}
}

func (c *Core) routed(actions []route.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case route.Send:
			if addr, ok := c.Addr(a.To); ok {
				c.out = append(c.out, Send{To: a.To, Addr: addr, Msg: a.Msg})
			}
		case route.Release:
			c.out = append(c.out, Release(a))
		case route.Count:
			c.out = append(c.out, Count{Reason: string(a.Reason)})
		}
	}
}

func (c *Core) maybeServe() {
	if c.serving || !c.joined || !c.ready {
		return
	}
	c.serving = true
	for _, s := range c.snapshot.Services() {
		c.changed[s.Name] = struct{}{}
	}
	c.out = append(c.out, Serving{})
}
