package balancer

import (
	"net/netip"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/confsync"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/route"
)

// Event is an input of Core.Step.
type Event interface{ balancerEvent() }

// Received is an authentic peer message.
type Received struct {
	From        model.NodeID
	Incarnation model.Incarnation // of the sender, from the envelope
	Addr        netip.AddrPort    // source address of the datagram
	Msg         message.Message
}

// Buffered is a packet for which Route returned the verdict route.LookupHolder.
type Buffered struct {
	Ref     route.Ref
	Flow    model.Flow
	Opening bool
}

// StoreList is the answer to a List action: all files as of store version Rev in an epoch
// of the store. Restored is set if it followed the writes of a Restore action.
type StoreList struct {
	Rev      uint64
	Epoch    uint64
	Files    []message.File
	Restored bool
}

// StoreEvent is one change reported by the watch.
type StoreEvent struct {
	File  message.File
	Epoch uint64
}

// StoreLost reports that the store does not answer or that the watch broke.
type StoreLost struct{}

// StoreBack reports that the store answers again.
type StoreBack struct{}

// Pushed is a file from ctl that the store has accepted.
type Pushed struct {
	File  message.File
	Epoch uint64
}

// Leave makes the balancer advertise that it is about to stop. With Final set, it is about to exit
// and advertises the state gone.
type Leave struct{ Final bool }

// Tick is due every 50 ms.
type Tick struct{}

func (Received) balancerEvent()   {}
func (Buffered) balancerEvent()   {}
func (StoreList) balancerEvent()  {}
func (StoreEvent) balancerEvent() {}
func (StoreLost) balancerEvent()  {}
func (StoreBack) balancerEvent()  {}
func (Pushed) balancerEvent()     {}
func (Leave) balancerEvent()      {}
func (Tick) balancerEvent()       {}

// Action is an output of Core.Step.
type Action interface{ balancerAction() }

// Send sends a message to Addr. To is empty for a seed.
type Send struct {
	To   model.NodeID
	Addr netip.AddrPort
	Msg  message.Message
}

// Release is the decision about a buffered packet. The runtime executes it and frees the Ref.
// Exactly one follows for each Buffered.
type Release struct {
	Ref      route.Ref
	Decision route.Decision
}

// List requests one listing of all files from the store.
type List struct{}

// Watch requests all changes after a store version of an epoch, until Unwatch or StoreLost.
type Watch struct {
	From  uint64
	Epoch uint64
}

// Restore requests the writes of files that the store has lost, and a listing after them.
type Restore struct{ Writes []config.FileWrite }

// Unwatch ends the watch.
type Unwatch struct{}

// Serving reports, once, that members and files are known and packets are forwarded.
type Serving struct{}

// ConfigChanged reports that another configuration is in force.
type ConfigChanged struct {
	Rev      uint64
	Services int
	Findings config.Findings // of refused files, and of claims to addresses of other services
}

// Count increments the counter of a reason.
type Count struct{ Reason string }

func (Send) balancerAction()          {}
func (Release) balancerAction()       {}
func (List) balancerAction()          {}
func (Watch) balancerAction()         {}
func (Restore) balancerAction()       {}
func (Unwatch) balancerAction()       {}
func (Serving) balancerAction()       {}
func (ConfigChanged) balancerAction() {}
func (Count) balancerAction()         {}

// fileEvent converts an event for the decision-file core. It returns nil for other events.
func fileEvent(ev Event) confsync.Event {
	switch ev := ev.(type) {
	case StoreList:
		return confsync.StoreList(ev)
	case StoreEvent:
		return confsync.StoreEvent(ev)
	case StoreLost:
		return confsync.StoreLost{}
	case StoreBack:
		return confsync.StoreBack{}
	case Pushed:
		return confsync.Pushed(ev)
	}
	return nil
}
