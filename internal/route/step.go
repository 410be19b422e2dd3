package route

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Ref is the runtime's handle of a packet that waits.
type Ref uint64

// Event is an input of Step.
type Event interface{ routeEvent() }

// Waiting hands over a packet for which Route gave the verdict Ask. Exactly one
// Release follows for each Ref.
type Waiting struct {
	Ref     Ref
	Flow    model.Flow
	Opening bool // as packet.Info.Opening reports
}

// FlowHint is the message of an agent about the holder of a flow. One without a
// holder means that the sender got a packet of a flow that it does not hold; a
// hint that names the sender is then forgotten.
type FlowHint struct {
	From model.NodeID
	Msg  message.FlowHint
}

// FlowAnswer is the answer of an agent to a question that Step sent.
type FlowAnswer struct {
	From model.NodeID
	Msg  message.FlowAnswer
}

// Tick must come at least every AskInterval while packets wait, and about every
// second otherwise.
type Tick struct{}

func (Waiting) routeEvent()    {}
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

// Release ends the wait of a packet: the runtime carries out the decision, which
// is never Ask, and frees the Ref.
type Release struct {
	Ref      Ref
	Decision Decision
}

// Count raises a counter by one.
type Count struct{ Reason Reason }

func (Send) routeAction()    {}
func (Release) routeAction() {}
func (Count) routeAction()   {}

// Step handles everything but the packets that Route decides about at once.
func (r *Router) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Waiting:
		return r.wait(now, ev)
	case FlowHint:
		return r.hint(now, ev)
	case FlowAnswer:
		return r.answer(now, ev)
	case Tick:
		return r.tick(now)
	}
	return nil
}

// hint stores a hint if its holder may get packets of the flow.
func (r *Router) hint(now time.Time, ev FlowHint) []Action {
	hash := ev.Msg.Flow.Hash()
	if ev.Msg.Holder == "" {
		if h := r.hints.get(hash); h != nil && h.holder == model.HashString(string(ev.From)) {
			r.hints.forget(hash)
		}
		return nil
	}
	holder := model.HashString(string(ev.Msg.Holder))
	if _, m := r.holder(now, r.addrs[ev.Msg.Flow.ServiceAddr()], holder, true); m == nil {
		return []Action{Count{ReasonHintIgnored}}
	}
	r.hints.put(hash, holder, now)
	return nil
}

// HintBytes returns the memory that the hint table takes, which never changes.
func (r *Router) HintBytes() int { return len(r.hints.places) * hintSize }

// WaitingPackets returns the number of packets that wait for an answer.
func (r *Router) WaitingPackets() int { return r.asks.waiting }
