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
	Addr        netip.AddrPort    // where the datagram came from
	Msg         message.Message
}

// Waiting hands over a packet for which Route gave the verdict route.Ask.
type Waiting struct {
	Ref     route.Ref
	Flow    model.Flow
	Opening bool
}

// StoreList is the answer to a List action: all files as of store version Rev.
type StoreList struct {
	Rev   uint64
	Files []message.File
}

// StoreEvent is one change reported by the watch.
type StoreEvent struct{ File message.File }

// StoreLost tells that the store does not answer or that the watch broke.
type StoreLost struct{}

// StoreBack tells that the store answers again.
type StoreBack struct{}

// Pushed is a file that the store accepted, pushed by ctl.
type Pushed struct{ File message.File }

// Leave announces that the balancer is about to stop. With Final set it
// announces itself gone.
type Leave struct{ Final bool }

// Tick lets time pass; it is due every 50 ms.
type Tick struct{}

func (Received) balancerEvent()   {}
func (Waiting) balancerEvent()    {}
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

// Release ends the wait of a packet: the runtime carries out the decision and
// frees the Ref. Exactly one follows for each Waiting.
type Release struct {
	Ref      route.Ref
	Decision route.Decision
}

// List asks the store for one listing of all files.
type List struct{}

// Watch asks the store for all changes after a version, until Unwatch or StoreLost.
type Watch struct{ From uint64 }

// Unwatch ends the watch.
type Unwatch struct{}

// Serving tells once that the members and files are known and packets are forwarded.
type Serving struct{}

// ConfigChanged tells that another configuration is in force here.
type ConfigChanged struct {
	Rev      uint64
	Services int
	Findings config.Findings // of the files that are refused or contested
}

// Count raises the counter of a reason by one.
type Count struct{ Reason string }

func (Send) balancerAction()          {}
func (Release) balancerAction()       {}
func (List) balancerAction()          {}
func (Watch) balancerAction()         {}
func (Unwatch) balancerAction()       {}
func (Serving) balancerAction()       {}
func (ConfigChanged) balancerAction() {}
func (Count) balancerAction()         {}

// fileEvent translates an event for the core of the decision files.
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
