// Package membership implements the cores with which balancers and agents discover
// each other and detect failures: Observer runs in each balancer, Announcer in each
// agent. Neither writes to the store.
package membership

import (
	"net/netip"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Options of a core. Intervals that are zero get their defaults.
type Options struct {
	Self  model.Member // Incarnation is the boot time in ms; Seq and State default to 1 and active
	Seeds []netip.AddrPort
	Seed  uint64 // of the random choice of peers
	Intervals
}

// Intervals are the times of the protocol, with their defaults.
type Intervals struct {
	HeartbeatInterval time.Duration // between heartbeats, 1 s
	HeartbeatTimeout  time.Duration // without heartbeats until an observer suspects a member, 3.5 s
	RemovalDelay      time.Duration // from suspect to gone, 10 s
	DCTimeout         time.Duration // without messages until a relay reports a data centre as unreachable, 8 s
	Retention         time.Duration // of the incarnations of removed members, 1 h
}

// Constants of the protocol that are not options.
const (
	announceInterval = 200 * time.Millisecond // between sends of a record that no observer acknowledged
	ackTimeout       = 300 * time.Millisecond // until an unacknowledged heartbeat is resent, once
	observerCount    = 3                      // observers of each member
	// newObserverGrace extends the heartbeat timeout of a new observer, because an
	// agent finds the observer only through its next slice.
	newObserverGrace = 3 * time.Second
)

func (iv Intervals) withDefaults() Intervals {
	set := func(d *time.Duration, def time.Duration) {
		if *d == 0 {
			*d = def
		}
	}
	set(&iv.HeartbeatInterval, time.Second)
	// 3 s of missing heartbeats and 0.5 s for the delay of the last one. With 3 s, two
	// lost heartbeats and a late third one caused a suspicion.
	set(&iv.HeartbeatTimeout, 3500*time.Millisecond)
	set(&iv.RemovalDelay, 10*time.Second)
	// Longer than the time until the three relays of a data centre are suspected and
	// their successors have sent messages.
	set(&iv.DCTimeout, 8*time.Second)
	set(&iv.Retention, time.Hour)
	return iv
}

// Event is an input of Observer or Announcer.
type Event interface{ event() }

// Received is a message from a peer. FromAddr is its source address, to which answers
// are sent.
type Received struct {
	From     model.NodeID
	FromAddr netip.AddrPort
	Msg      message.Message
}

// Services changes the configuration that the slices contain.
type Services struct {
	FileRev  uint64
	Services []ServiceConfig     // new and changed ones
	Removed  []model.ServiceName // no longer configured
	// All decisions about data centres and targets. The maps are retained and must
	// not be modified. They change how this node and the agents treat an agent; the
	// record that spreads stays as advertised.
	DataCentres map[model.DataCentre]Override
	Targets     map[model.NodeID]Override
}

// Override holds the configured decisions about a data centre or a target. Weight is a
// factor of the weight that the agent advertises.
type Override struct {
	Weight float64
	Drain  bool
}

// ServiceConfig is the configuration of one service.
type ServiceConfig struct {
	Service model.ServiceName
	Rev     uint64 // see model.ServiceView.Rev
	Addrs   []model.ServiceAddr
	Policy  model.ServicePolicy
}

// SelfChanged changes the balancer's own record.
type SelfChanged struct {
	State  model.State
	Weight float64
}

// SetMember changes the agent's own record. ID, Kind, DC, Incarnation and Seq of
// Member are ignored.
type SetMember struct{ Member model.Member }

// SetLoad sets the load and the file revision that heartbeats carry.
type SetLoad struct {
	Load    model.Load
	FileRev uint64
}

// Leave advertises that the node accepts no new work. With Final set, the process is
// about to exit and advertises the state gone.
type Leave struct{ Final bool }

// Tick advances time. It is required at least every 50 ms.
type Tick struct{}

func (Received) event()    {}
func (Services) event()    {}
func (SelfChanged) event() {}
func (SetMember) event()   {}
func (SetLoad) event()     {}
func (Leave) event()       {}
func (Tick) event()        {}

// Action is an output of Observer or Announcer.
type Action interface{ action() }

// Send sends a message. To is empty for a seed, whose ID is unknown.
type Send struct {
	To   model.NodeID
	Addr netip.AddrPort
	Msg  message.Message
}

// MembersChanged lists changed members in order of their IDs, as this node must
// treat them: members of an unreachable data centre are suspect here although their
// record is not. A removed member is listed once, in StateGone.
type MembersChanged struct{ Members []model.Member }

// Joined reports, once, that the balancer knows the members and may serve.
type Joined struct{}

// SliceChanged reports the new slice of an agent.
type SliceChanged struct{ Slice message.Slice }

// ObserverCountChanged reports a change of the number of observers that acknowledged
// an agent's heartbeats within the heartbeat timeout.
type ObserverCountChanged struct{ Observers int }

// PeersChanged lists the live balancers, including this one, for package confsync.
// The first one follows Joined: with a partial list, a starting node would be ready
// with the state of too few peers.
type PeersChanged struct{ Peers []gossip.Peer }

func (Send) action()                 {}
func (MembersChanged) action()       {}
func (Joined) action()               {}
func (SliceChanged) action()         {}
func (ObserverCountChanged) action() {}
func (PeersChanged) action()         {}
