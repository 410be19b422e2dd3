// Package membership holds the cores by which balancers and agents learn of
// each other: Observer runs in each balancer, Announcer in each agent. Neither
// writes to the store.
package membership

import (
	"net/netip"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Options of a core. Zero intervals take their defaults.
type Options struct {
	Self  model.Member // Incarnation is the boot time in ms; Seq and State default to 1 and active
	Seeds []netip.AddrPort
	Seed  uint64 // of the random choice of peers
	Intervals
}

// Intervals are the times of the protocol.
type Intervals struct {
	Heartbeat time.Duration // between heartbeats, 1 s
	Miss      time.Duration // without heartbeats until an observer suspects, 3.5 s
	Gone      time.Duration // from suspect to gone, 10 s
	Silence   time.Duration // without a message from a data centre until a relay calls it lost, 8 s
	Retention time.Duration // of the incarnations of members that are gone, 1 h
}

// Times that are not options.
const (
	fastRetry   = 200 * time.Millisecond // of a record that no observer acknowledged
	ackTimeout  = 300 * time.Millisecond // until a single heartbeat is sent again
	observerNum = 3
	// An agent learns of a new observer only through its slice, so a new observer
	// waits this much longer before it suspects.
	newObserverGrace = 3 * time.Second
)

func (iv Intervals) withDefaults() Intervals {
	set := func(d *time.Duration, def time.Duration) {
		if *d == 0 {
			*d = def
		}
	}
	set(&iv.Heartbeat, time.Second)
	// 3 s of missed heartbeats and half a second for the delay of the last one:
	// without it two losses and a late third heartbeat were enough to suspect.
	set(&iv.Miss, 3500*time.Millisecond)
	set(&iv.Gone, 10*time.Second)
	// Longer than it takes to suspect the three relays of a data centre and for
	// their successors to make contact.
	set(&iv.Silence, 8*time.Second)
	set(&iv.Retention, time.Hour)
	return iv
}

// Event is an input of Observer or Announcer.
type Event interface{ event() }

// Received is a message from a peer. FromAddr is where answers to an unknown sender go.
type Received struct {
	From     model.NodeID
	FromAddr netip.AddrPort
	Msg      message.Message
}

// Services changes the configuration that the slices of agents contain.
type Services struct {
	FileRev  uint64
	Services []ServiceConfig     // new and changed ones
	Removed  []model.ServiceName // without a configuration now
	// All decisions about data centres and targets; the maps are kept. They change how this node and
	// the agents treat an agent; the record that spreads stays as announced.
	DataCentres map[model.DataCentre]Override
	Targets     map[model.NodeID]Override
}

// Override is what the configuration says about an agent. Weight multiplies the
// announced one.
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

// SetMember changes the agent's own record. ID, Kind, DC, Incarnation and Seq
// of the argument are ignored.
type SetMember struct{ Member model.Member }

// SetLoad sets the load and the file revision that heartbeats carry.
type SetLoad struct {
	Load    model.Load
	FileRev uint64
}

// Leave announces that the node takes no new work. With Final set the process
// is about to exit and announces itself gone.
type Leave struct{ Final bool }

// Tick lets time pass; it is due at least every 50 ms.
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

// Send sends a message. To is empty for a seed or an unknown sender.
type Send struct {
	To   model.NodeID
	Addr netip.AddrPort
	Msg  message.Message
}

// MembersChanged lists changed members in order of their IDs, as this node must
// treat them: members of an unreachable data centre are suspect here although
// their record is not. Members that are gone are listed once in StateGone.
type MembersChanged struct{ Members []model.Member }

// Joined tells once that the balancer knows the members and may serve.
type Joined struct{}

// SliceChanged gives an agent what it must know.
type SliceChanged struct{ Slice message.Slice }

// Contact tells how many observers acknowledged an agent's heartbeats lately; it
// is given when the number changes.
type Contact struct{ Observers int }

// PeersChanged lists the live balancers, this one included, for package
// confsync. The first follows Joined: a partial list would let a starting node
// take the state of too few peers.
type PeersChanged struct{ Peers []gossip.Peer }

func (Send) action()           {}
func (MembersChanged) action() {}
func (Joined) action()         {}
func (SliceChanged) action()   {}
func (Contact) action()        {}
func (PeersChanged) action()   {}
