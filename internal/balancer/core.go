// Package balancer combines the cores of a balancer: membership, decision files and routing. It is
// driven by events with the time as an argument; the runtime in package node adds sockets, timers
// and goroutines.
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
	Seed   uint64 // of all pseudo-random choices
	Router route.Options
	// Intervals configures the membership protocol; zero values get the defaults.
	Intervals membership.Intervals
}

// Core is the state of one balancer. It is not safe for concurrent use.
type Core struct {
	observer *membership.Observer
	files    *confsync.Sync
	router   *route.Router
	snapshot *config.Snapshot
	rev      uint64 // newest store version in snapshot

	// members holds the members that are not gone, as membership.MembersChanged reports them.
	members         map[model.NodeID]model.Member
	agentsByService map[model.ServiceName][]model.NodeID // sorted
	changedServices map[model.ServiceName]struct{}       // services whose view must be rebuilt
	// serviceRevs holds the newest store version that changed each service.
	serviceRevs map[model.ServiceName]uint64

	// Decisions in force about data centres and targets. Package membership shares these maps, so
	// they are replaced, not modified.
	dcOverrides     map[model.DataCentre]membership.Override
	targetOverrides map[model.NodeID]membership.Override

	membersReady, filesReady, serving bool
	now                               time.Time
	out                               []Action
}

// New returns a core without members and files.
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
		router:          route.New(opt.Router),
		snapshot:        snapshot,
		members:         make(map[model.NodeID]model.Member),
		agentsByService: make(map[model.ServiceName][]model.NodeID),
		changedServices: make(map[model.ServiceName]struct{}),
		serviceRevs:     make(map[model.ServiceName]uint64),
		dcOverrides:     make(map[model.DataCentre]membership.Override),
		targetOverrides: make(map[model.NodeID]membership.Override),
	}
}

// Route returns the decision about one packet; it does not allocate. Until the balancer is serving
// it drops every packet.
func (c *Core) Route(now time.Time, p *packet.Info) route.Decision {
	return c.router.Route(now, p)
}

// Home returns the decision about an opening packet of a flow without a holder.
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

// Serving reports whether members and files are known, so that packets are forwarded.
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
		c.handleMessage(ev)
	case Buffered:
		c.applyRouteActions(c.router.Step(now, route.Buffered(ev)))
	case Leave:
		c.stepObserver(membership.Leave(ev))
	case Tick:
		c.stepObserver(membership.Tick{})
		c.stepFiles(confsync.Tick{})
		c.applyRouteActions(c.router.Step(now, route.Tick{}))
	default:
		if fe := fileEvent(ev); fe != nil {
			c.stepFiles(fe)
		}
	}
	c.rebuildViews()
	return c.out
}

// handleMessage passes a peer message to the core that handles it.
func (c *Core) handleMessage(ev Received) {
	switch m := ev.Msg.(type) {
	case message.FileDelta:
		c.handleFilesMessage(ev)
	case message.Digest:
		c.handleReplicaMessage(ev, m.Map)
	case message.Pull:
		c.handleReplicaMessage(ev, m.Map)
	case message.FlowHint:
		c.applyRouteActions(c.router.Step(c.now, route.FlowHint{From: ev.From, Msg: m}))
	case message.FlowAnswer:
		c.applyRouteActions(c.router.Step(c.now, route.FlowAnswer{From: ev.From, Msg: m}))
	case message.Heartbeat, message.HeartbeatAck, message.Superseded, message.MemberDelta, message.Suspicion:
		c.stepObserver(membership.Received{From: ev.From, FromAddr: ev.Addr, Msg: ev.Msg})
	default:
		c.out = append(c.out, Count{Reason: "message_unexpected"})
	}
}

// handleReplicaMessage passes a replication message to the core that owns the replicated map.
func (c *Core) handleReplicaMessage(ev Received, id message.MapID) {
	if id == message.MapFiles {
		c.handleFilesMessage(ev)
		return
	}
	c.stepObserver(membership.Received{From: ev.From, FromAddr: ev.Addr, Msg: ev.Msg})
}

func (c *Core) handleFilesMessage(ev Received) {
	c.stepFiles(confsync.Received{From: ev.From, FromAddr: ev.Addr, Msg: ev.Msg})
}

// stepObserver steps the membership core. It passes changed peers to the decision-file core.
func (c *Core) stepObserver(ev membership.Event) {
	for _, a := range slices.Clone(c.observer.Step(c.now, ev)) {
		switch a := a.(type) {
		case membership.Send:
			c.out = append(c.out, Send(a))
		case membership.MembersChanged:
			for _, m := range a.Members {
				c.updateMember(m)
			}
		case membership.Joined:
			c.membersReady = true
			c.serveIfReady()
		case membership.PeersChanged:
			c.stepFiles(confsync.PeersChanged{Peers: a.Peers})
		}
	}
}

// stepFiles steps the decision-file core.
func (c *Core) stepFiles(ev confsync.Event) {
	for _, a := range slices.Clone(c.files.Step(c.now, ev)) {
		switch a := a.(type) {
		case confsync.Send:
			c.out = append(c.out, Send(a))
		case confsync.FilesChanged:
			c.updateConfig(a)
		case confsync.Ready:
			c.filesReady = true
			c.serveIfReady()
		case confsync.List:
			c.out = append(c.out, List{})
		case confsync.Restore:
			c.out = append(c.out, Restore(a))
		case confsync.Watch:
			c.out = append(c.out, Watch(a))
		case confsync.Unwatch:
			c.out = append(c.out, Unwatch{})
		}
	}
}

// applyRouteActions converts the router's actions. It drops messages to unknown members.
func (c *Core) applyRouteActions(actions []route.Action) {
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

// serveIfReady starts serving once members and files are known.
func (c *Core) serveIfReady() {
	if c.serving || !c.membersReady || !c.filesReady {
		return
	}
	c.serving = true
	for _, s := range c.snapshot.Services() {
		c.changedServices[s.Name] = struct{}{}
	}
	c.out = append(c.out, Serving{})
}
