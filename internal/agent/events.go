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

// Forwarded is a packet that a balancer or another agent forwarded.
type Forwarded struct {
	Ref               flows.Ref
	Info              packet.Info
	Header            message.Forward // Packet is not used
	From              model.NodeID
	SenderIncarnation model.Incarnation
}

// Received is an authentic peer message other than a forwarded packet.
type Received struct {
	From        model.NodeID
	Incarnation model.Incarnation // of the sender, from the envelope
	Addr        netip.AddrPort    // source address of the datagram
	Msg         message.Message
}

// Closed reports that the TCP stack closed a flow and keeps no state of it.
type Closed struct{ Flow model.Flow }

// Load reports the use of the target's slots. Load.Flows is ignored: the core counts flows itself.
type Load struct{ Load model.Load }

// Leave starts the drain: no new flows are accepted. With Final set, the agent is about to exit and
// advertises the state gone.
type Leave struct{ Final bool }

// Tick is due every 50 ms.
type Tick struct{}

func (Forwarded) agentEvent() {}
func (Received) agentEvent()  {}
func (Closed) agentEvent()    {}
func (Load) agentEvent()      {}
func (Leave) agentEvent()     {}
func (Tick) agentEvent()      {}

// Action is an output of Core.Step.
type Action interface{ agentAction() }

// Accept passes a packet to the TCP stack. Opened is set for the packet with which this agent
// opened the flow.
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
	Header message.Forward // the runtime sets Packet
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

// ViewChanged passes the view of the agent's service to the HTTP front end.
type ViewChanged struct{ View model.ServiceView }

// Draining reports that the configuration drains this target, or no longer does.
type Draining struct{ On bool }

// Incarnation reports that the agent raised its incarnation. The runtime must seal messages with
// it from now on.
type Incarnation struct{ Incarnation model.Incarnation }

// Count increments the counter of a reason.
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
