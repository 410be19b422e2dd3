package agent

import (
	"net/netip"

	"github.com/bulrushshelf/bulrushshelf/internal/flows"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/packet"
)

// Event is an input of Core.Step.
type Event interface{ agentEvent() }

// Forwarded is a packet that a balancer or another agent sent.
type Forwarded struct {
	Ref     flows.Ref
	Info    packet.Info
	Header  message.Forward // Packet is not read
	From    model.NodeID
	Started model.Incarnation // of the sender
}

// Received is an authentic peer message other than a forwarded packet.
type Received struct {
	From        model.NodeID
	Incarnation model.Incarnation // of the sender, from the envelope
	Addr        netip.AddrPort    // where the datagram came from
	Msg         message.Message
}

// Closed tells that the TCP stack ended a flow and keeps no state of it.
type Closed struct{ Flow model.Flow }

// Load gives the counts of the target's slots. Flows is ignored: the core
// counts the flows itself.
type Load struct{ Load model.Load }

// Leave starts the drain: no new flow is taken from now on. With Final set the
// agent announces itself gone, because it is about to exit.
type Leave struct{ Final bool }

// Tick lets time pass; it is due every 50 ms.
type Tick struct{}

func (Forwarded) agentEvent() {}
func (Received) agentEvent()  {}
func (Closed) agentEvent()    {}
func (Load) agentEvent()      {}
func (Leave) agentEvent()     {}
func (Tick) agentEvent()      {}

// Action is an output of Core.Step.
type Action interface{ agentAction() }

// Accept gives a packet to the TCP stack. Opened is set on the first packet of
// a flow that this agent has just opened.
type Accept struct {
	Ref    flows.Ref
	Flow   model.Flow
	Opened bool
}

// Pass forwards a packet to another agent.
type Pass struct {
	Ref    flows.Ref
	Addr   netip.AddrPort
	To     model.NodeID
	Header message.Forward // Packet is left to the runtime
}

// Drop discards a packet.
type Drop struct {
	Ref    flows.Ref
	Reason string
}

// Reset answers the caller's packet with a TCP reset and discards it.
type Reset struct {
	Ref  flows.Ref
	Flow model.Flow
}

// Send sends a message to Addr. To is empty for a seed.
type Send struct {
	To   model.NodeID
	Addr netip.AddrPort
	Msg  message.Message
}

// ViewChanged gives the view of the agent's service to the HTTP edge.
type ViewChanged struct{ View model.ServiceView }

// Draining tells that the configuration drains this target, or no longer does.
type Draining struct{ On bool }

// Incarnation tells that the agent raised its incarnation; messages must be
// sealed with it from now on.
type Incarnation struct{ Incarnation model.Incarnation }

// Count raises the counter of a reason by one.
type Count struct{ Reason string }

func (Accept) agentAction()      {}
func (Pass) agentAction()        {}
func (Drop) agentAction()        {}
func (Reset) agentAction()       {}
func (Send) agentAction()        {}
func (ViewChanged) agentAction() {}
func (Draining) agentAction()    {}
func (Incarnation) agentAction() {}
func (Count) agentAction()       {}
