package route

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Ref is the runtime's handle of a buffered packet.
type Ref uint64

// Event is an input of Step.
type Event interface{ routeEvent() }

// Buffered is a packet for which Route returned the verdict LookupHolder. Exactly one Release
// follows for each Ref.
type Buffered struct {
	Ref     Ref
	Flow    model.Flow
	Opening bool // as packet.Info.Opening reports
}

// FlowHint is an agent's message about the holder of a flow. Without a holder, it means that the
// sender received a packet of a flow that it does not hold; a stored hint that names the sender is
// then removed.
type FlowHint struct {
	From model.NodeID
	Msg  message.FlowHint
}

// FlowAnswer is an agent's answer to a query that Step sent.
type FlowAnswer struct {
	From model.NodeID
	Msg  message.FlowAnswer
}

// Tick is due at least every QueryInterval while lookups are pending, and about every second
// otherwise.
type Tick struct{}

func (Buffered) routeEvent()   {}
func (FlowHint) routeEvent()   {}
func (FlowAnswer) routeEvent() {}
func (Tick) routeEvent()       {}

// Action is an output of Step.
type Action interface{ routeAction() }

// Send sends a message to an agent.
type Send struct {
	To  model.NodeID
	Msg message.Message
}

// Release is the decision about a buffered packet, never LookupHolder. The runtime executes it and
// frees the Ref.
type Release struct {
	Ref      Ref
	Decision Decision
}

// Count increments the counter of a reason.
type Count struct{ Reason Reason }

func (Send) routeAction()    {}
func (Release) routeAction() {}
func (Count) routeAction()   {}

// Step handles every input except the packets that Route decides about at once.
func (r *Router) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Buffered:
		return r.bufferPacket(now, ev)
	case FlowHint:
		return r.handleHint(now, ev)
	case FlowAnswer:
		return r.handleAnswer(now, ev)
	case Tick:
		return r.handleTick(now)
	}
	return nil
}

// handleHint stores a hint if its holder may receive packets of the flow.
func (r *Router) handleHint(now time.Time, ev FlowHint) []Action {
	hash := ev.Msg.Flow.Hash()
	if ev.Msg.Holder == "" {
		if h := r.hints.get(hash); h != nil && h.holder == model.HashString(string(ev.From)) {
			r.hints.remove(hash)
		}
		return nil
	}
	holder := model.HashString(string(ev.Msg.Holder))
	if _, m := r.findHolder(now, r.addrs[ev.Msg.Flow.ServiceAddr()], holder, true); m == nil {
		return []Action{Count{ReasonHintIgnored}}
	}
	r.hints.put(hash, holder, now)
	return nil
}

// HintBytes returns the memory of the hint table, which has a fixed size.
func (r *Router) HintBytes() int { return len(r.hints.entries) * hintSize }

// BufferedPackets returns the number of packets that wait for a lookup.
func (r *Router) BufferedPackets() int { return r.lookups.buffered }
