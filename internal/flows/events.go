package flows

import (
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Ref is the runtime's handle of one packet. The core ends each Ref that it is
// given with exactly one Accept, Pass, Drop or Reset, possibly in a later Step.
type Ref uint64

// Event is an input of the core.
type Event interface{ flowsEvent() }

// Packet is a forwarded packet that arrived at this agent.
type Packet struct {
	Ref     Ref
	Flow    model.Flow
	Opening bool // TCP SYN without ACK; not needed for UDP
	Reset   bool // TCP RST: never answered by a reset

	// The fields of message.Forward.
	Service  model.ServiceName
	ViewHash uint64
	Hops     uint8
	Assigned bool

	From model.NodeID // the balancer or agent that sent the packet
}

// Message is a peer message. Messages that the core does not handle are ignored.
type Message struct {
	From        model.NodeID
	Incarnation model.Incarnation // of the sender, from the envelope; 0 if not known
	Msg         message.Message
}

// ViewChanged gives the view of the agent's service. Views of other services
// are ignored. The core keeps the slices.
type ViewChanged struct{ View model.ServiceView }

// Contact tells that an observer answered.
type Contact struct{}

// Closed tells that the stack ended a flow and keeps no state of it.
type Closed struct{ Flow model.Flow }

// Leave tells that the agent takes no new flow from now on. There is no way back.
type Leave struct{}

// LoadChanged gives the counts of the target's slots. Load.Flows is ignored:
// the core counts the flows itself.
type LoadChanged struct{ Load model.Load }

// Tick lets time pass. It is due every 50 ms; a late Tick delays retries,
// registrations and load reports.
type Tick struct{}

func (Packet) flowsEvent()      {}
func (Message) flowsEvent()     {}
func (ViewChanged) flowsEvent() {}
func (Contact) flowsEvent()     {}
func (Closed) flowsEvent()      {}
func (Leave) flowsEvent()       {}
func (LoadChanged) flowsEvent() {}
func (Tick) flowsEvent()        {}

// Action is an output of the core.
type Action interface{ flowsAction() }

// Accept gives a packet to the stack. Opened is set on the first packet of a
// flow that this agent has just opened.
type Accept struct {
	Ref    Ref
	Flow   model.Flow
	Opened bool
}

// Pass forwards a packet to another agent of the service with these fields of
// message.Forward. If the runtime knows no address of To, it drops the packet.
type Pass struct {
	Ref      Ref
	To       model.NodeID
	Service  model.ServiceName
	Hops     uint8
	Assigned bool
	ViewHash uint64
}

// Drop discards a packet.
type Drop struct {
	Ref    Ref
	Reason Reason
}

// Reset answers the caller's packet with a TCP reset and discards it.
type Reset struct {
	Ref  Ref
	Flow model.Flow
}

// Send sends a peer message.
type Send struct {
	To  model.NodeID
	Msg message.Message
}

// HeldAddrs gives the value of Member.HeldAddrs to announce. It is emitted
// whenever the list changes. The slice is not changed later.
type HeldAddrs struct{ Addrs []model.ServiceAddr }

// Count adds one to a counter for an event that ends no packet.
type Count struct{ Reason Reason }

func (Accept) flowsAction()    {}
func (Pass) flowsAction()      {}
func (Drop) flowsAction()      {}
func (Reset) flowsAction()     {}
func (Send) flowsAction()      {}
func (HeldAddrs) flowsAction() {}
func (Count) flowsAction()     {}

// Reason says why a packet was dropped or what was counted.
type Reason uint8

// The reasons of Drop.
const (
	// ReasonNoView: the agent does not know its service's view yet.
	ReasonNoView Reason = iota + 1
	// ReasonWrongService: the address does not belong to this agent's service.
	ReasonWrongService
	// ReasonAddressWait: the address joined the service so recently that agents
	// of its previous service may still open flows on it.
	ReasonAddressWait
	// ReasonHopLimit: the packet must be passed on and its hop limit is 0.
	ReasonHopLimit
	// ReasonUnknownFlow: nobody is known to hold the flow, and a reset is not safe.
	ReasonUnknownFlow
	// ReasonResetSent: another packet of the flow was answered by a reset.
	ReasonResetSent
	// ReasonHoldFull: the flow already has as many packets waiting as allowed.
	ReasonHoldFull
	// ReasonAsksFull: as many asks are open as allowed.
	ReasonAsksFull
	// ReasonNoTarget: no target of the service takes new flows.
	ReasonNoTarget
	// ReasonFlowLimit: this target and those known to it are at their flow limits.
	ReasonFlowLimit
)

// The reasons of Count.
const (
	// ReasonOpenedUnanswered: a flow was opened without the answer of every candidate.
	ReasonOpenedUnanswered Reason = iota + 32
	// ReasonConflict: a peer registered a flow that this agent holds too.
	ReasonConflict
	// ReasonEvicted: an exception entry made room for another one.
	ReasonEvicted
	// ReasonReturned: the believed holder of a flow passed a packet of it back.
	ReasonReturned
	// ReasonYielded: another agent won the opening of a flow.
	ReasonYielded
	// ReasonHandedOver: a new flow went to a less loaded target.
	ReasonHandedOver
	// ReasonBatchRetry: a registration or release was sent again.
	ReasonBatchRetry
	// ReasonReleaseLost: releases were given up; the home's entry goes stale.
	ReasonReleaseLost
)

var reasonNames = map[Reason]string{
	ReasonNoView:           "no_view",
	ReasonWrongService:     "wrong_service",
	ReasonAddressWait:      "address_wait",
	ReasonHopLimit:         "hop_limit",
	ReasonUnknownFlow:      "unknown_flow",
	ReasonResetSent:        "reset_sent",
	ReasonHoldFull:         "hold_full",
	ReasonAsksFull:         "asks_full",
	ReasonNoTarget:         "no_target",
	ReasonFlowLimit:        "flow_limit",
	ReasonOpenedUnanswered: "opened_unanswered",
	ReasonConflict:         "conflict",
	ReasonEvicted:          "evicted",
	ReasonReturned:         "returned",
	ReasonYielded:          "yielded",
	ReasonHandedOver:       "handed_over",
	ReasonBatchRetry:       "batch_retry",
	ReasonReleaseLost:      "release_lost",
}

// String returns the name of the reason's counter.
func (r Reason) String() string {
	if s, ok := reasonNames[r]; ok {
		return s
	}
	return "invalid"
}
