package flows

import (
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Ref is the runtime's handle of one packet. For each Ref the core emits exactly
// one Accept, Pass, Drop or Reset, possibly in a later Step.
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

// Message is a peer message. The core ignores message types that it does not handle.
type Message struct {
	From        model.NodeID
	Incarnation model.Incarnation // of the sender, from the envelope; 0 if not known
	Msg         message.Message
}

// ViewChanged carries a new view of the agent's service. Views of other services
// are ignored. The core retains the slices.
type ViewChanged struct{ View model.ServiceView }

// Contact reports the receipt of a message from an observer.
type Contact struct{}

// Closed reports that the TCP stack has closed a flow and keeps no state for it.
type Closed struct{ Flow model.Flow }

// Leave makes the agent accept no new flows. It cannot be undone.
type Leave struct{}

// LoadChanged carries the counts of the target's slots. Load.Flows is ignored:
// the core counts the flows itself.
type LoadChanged struct{ Load model.Load }

// IncarnationRaised reports that this agent raised its incarnation above one that peers
// know, so that they treat it as restarted.
type IncarnationRaised struct{}

// Tick triggers periodic work. It is due every 50 ms; a late Tick delays retries,
// registrations and load reports.
type Tick struct{}

func (Packet) flowsEvent()            {}
func (Message) flowsEvent()           {}
func (ViewChanged) flowsEvent()       {}
func (Contact) flowsEvent()           {}
func (Closed) flowsEvent()            {}
func (Leave) flowsEvent()             {}
func (LoadChanged) flowsEvent()       {}
func (IncarnationRaised) flowsEvent() {}
func (Tick) flowsEvent()              {}

// Action is an output of the core.
type Action interface{ flowsAction() }

// Accept delivers a packet to the TCP stack. Opened is set on the first packet of a
// flow that this agent has just opened.
type Accept struct {
	Ref    Ref
	Flow   model.Flow
	Opened bool
}

// Pass forwards a packet to another agent of the service with these fields of
// message.Forward. The runtime drops the packet if it has no address for To.
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

// HeldAddrs carries the value of Member.HeldAddrs to advertise. It is emitted
// whenever the list changes. The slice is not modified later.
type HeldAddrs struct{ Addrs []model.ServiceAddr }

// Count increments the counter of an event that does not end a packet.
type Count struct{ Reason Reason }

func (Accept) flowsAction()    {}
func (Pass) flowsAction()      {}
func (Drop) flowsAction()      {}
func (Reset) flowsAction()     {}
func (Send) flowsAction()      {}
func (HeldAddrs) flowsAction() {}
func (Count) flowsAction()     {}

// Reason is the reason for a Drop or the event of a Count.
type Reason uint8

// The reasons of Drop.
const (
	// ReasonNoView: the agent has not received a view of its service yet.
	ReasonNoView Reason = iota + 1
	// ReasonWrongService: the address does not belong to this agent's service.
	ReasonWrongService
	// ReasonAddressWait: the address was added to the service so recently that
	// agents of its previous service may still open flows on it.
	ReasonAddressWait
	// ReasonHopLimit: the packet has to be forwarded but its hop limit is 0.
	ReasonHopLimit
	// ReasonUnknownFlow: no holder of the flow was found, and a reset is not safe.
	ReasonUnknownFlow
	// ReasonResetSent: another packet of the flow was answered by a reset.
	ReasonResetSent
	// ReasonBufferFull: the lookup of the flow has buffered maxBuffered packets.
	ReasonBufferFull
	// ReasonLookupsFull: the maximum number of lookups is pending.
	ReasonLookupsFull
	// ReasonNoTarget: no target of the service accepts new flows.
	ReasonNoTarget
	// ReasonFlowLimit: this agent's target, and those to which it could hand over
	// the flow, are at their flow limits.
	ReasonFlowLimit
)

// The reasons of Count.
const (
	// ReasonOpenedUnanswered: a flow was opened although not every candidate answered.
	ReasonOpenedUnanswered Reason = iota + 32
	// ReasonConflict: a peer registered a flow that this agent also holds.
	ReasonConflict
	// ReasonEvicted: an exception entry was evicted to make room for another.
	ReasonEvicted
	// ReasonReturned: the recorded holder of a flow returned a packet of it.
	ReasonReturned
	// ReasonYielded: this agent yielded the opening of a flow to another agent.
	ReasonYielded
	// ReasonHandedOver: a new flow was handed over to a less loaded target.
	ReasonHandedOver
	// ReasonBatchRetry: a batch of registrations or releases was retransmitted.
	ReasonBatchRetry
	// ReasonReleaseLost: releases were discarded; the home keeps outdated entries.
	ReasonReleaseLost
)

var reasonNames = map[Reason]string{
	ReasonNoView:           "no_view",
	ReasonWrongService:     "wrong_service",
	ReasonAddressWait:      "address_wait",
	ReasonHopLimit:         "hop_limit",
	ReasonUnknownFlow:      "unknown_flow",
	ReasonResetSent:        "reset_sent",
	ReasonBufferFull:       "hold_full",
	ReasonLookupsFull:      "asks_full",
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
