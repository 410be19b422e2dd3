package admission

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// RequestID identifies one request in progress at one agent. It is never reused.
type RequestID uint64

// Event is an input of Core.Step.
type Event interface{ event() }

// Arrive reports a new request.
type Arrive struct {
	ID       RequestID
	Deadline time.Time // for the start of the answer
	// Idempotent is not used by the core. The sender of Finished decides whether a request may be
	// sent again after bytes were written.
	Idempotent bool
	FirstSend  bool // each first send adds to the retry budget
	// Moved is set for a request that another agent moved here; it is not moved again.
	Moved       bool
	From        model.NodeID // the agent that moved it
	Reservation uint64       // ID of the reservation that the request uses
}

// Started reports that the header of the answer arrived. A streaming answer frees its slot, because
// a feed may last for hours.
type Started struct {
	ID        RequestID
	Streaming bool
}

// Finished reports the end of a request that was run or moved.
type Finished struct {
	ID      RequestID
	Outcome message.Outcome
	Shed    bool // the target answered 503 and marked the request as not run
	// SafeToMove is set when sending the request again cannot run it twice. The core then keeps the
	// request and moves or refuses it.
	SafeToMove bool
}

// Cancelled reports that the caller closed the request.
type Cancelled struct{ ID RequestID }

// PeerLoad is a load report of another agent.
type PeerLoad struct {
	Node  model.NodeID
	Load  model.Load
	Slots int // 0 keeps the number of the view
}

// ViewChanged replaces the set of peers and the policy.
type ViewChanged struct{ View model.ServiceView }

// Leave starts the drain: no new request runs at this agent.
type Leave struct{}

// ReserveRequest is a message.Reserve received from a peer.
type ReserveRequest struct {
	From    model.NodeID
	ID      uint64
	Waited  time.Duration
	Queue   bool
	Release bool
}

// ReserveReply is a message.ReserveReply received from a peer.
type ReserveReply struct {
	From    model.NodeID
	ID      uint64
	Granted bool
	Waiting bool
	Load    model.Load
}

// Tick reports the passage of time. It is due at Core.Next.
type Tick struct{}

func (Arrive) event()         {}
func (Started) event()        {}
func (Finished) event()       {}
func (Cancelled) event()      {}
func (PeerLoad) event()       {}
func (ViewChanged) event()    {}
func (Leave) event()          {}
func (ReserveRequest) event() {}
func (ReserveReply) event()   {}
func (Tick) event()           {}

// Action is an output of Core.Step.
type Action interface{ action() }

// Run sends the request to the local target.
type Run struct{ ID RequestID }

// Refuse answers the caller without a run. Outcome is OutcomeNotRun unless an earlier send of an
// idempotent request may have run.
type Refuse struct {
	ID         RequestID
	Reason     Reason
	RetryAfter time.Duration
	Outcome    message.Outcome
}

// MoveTo sends the request to the agent that granted the reservation.
type MoveTo struct {
	ID          RequestID
	Node        model.NodeID
	Reservation uint64
	Reason      Reason
}

// Cancel stops a request that is running or was moved.
type Cancel struct{ ID RequestID }

// SendReserve sends a message.Reserve.
type SendReserve struct {
	To  model.NodeID
	Msg message.Reserve
}

// SendReserveReply sends a message.ReserveReply.
type SendReserveReply struct {
	To  model.NodeID
	Msg message.ReserveReply
}

// SendLoad sends a message.LoadReport.
type SendLoad struct {
	To   model.NodeID
	Load model.Load
}

func (Run) action()              {}
func (Refuse) action()           {}
func (MoveTo) action()           {}
func (Cancel) action()           {}
func (SendReserve) action()      {}
func (SendReserveReply) action() {}
func (SendLoad) action()         {}

// Reason is why a request was refused or moved. String gives the metric label.
type Reason uint8

// Reasons for a refusal, followed by reasons for a move.
const (
	ReasonQueueFull         Reason = iota + 1 // the queue is full
	ReasonCannotStart                         // by the estimate, the request cannot start by its deadline
	ReasonDeadlinePassed                      // the deadline passed while the request waited
	ReasonLeaving                             // the agent is leaving and no peer accepts the request
	ReasonTargetShed                          // the target shed the request and no peer accepts it
	ReasonTargetUnreachable                   // the target accepted no connection and no peer accepts the request
	ReasonRetryBudget                         // the retry budget is used up
	ReasonTooManyRequests                     // the agent is at its limit of requests in progress
	MoveBusy                                  // all local slots are busy
	MoveLeaving                               // the agent is leaving
	MoveShed                                  // the target shed the request; uses the retry budget
	MoveUnreachable                           // an earlier send reached no target; uses the retry budget
	reasonEnd
)

var reasonNames = [reasonEnd]string{
	ReasonQueueFull:         "queue_full",
	ReasonCannotStart:       "cannot_start_by_deadline",
	ReasonDeadlinePassed:    "deadline_passed",
	ReasonLeaving:           "leaving",
	ReasonTargetShed:        "target_shed",
	ReasonTargetUnreachable: "target_unreachable",
	ReasonRetryBudget:       "retry_budget",
	ReasonTooManyRequests:   "too_many_requests",
	MoveBusy:                "slots_busy",
	MoveLeaving:             "agent_leaving",
	MoveShed:                "retry_after_shed",
	MoveUnreachable:         "retry_after_unreachable",
}

// String returns the lower-case name of the reason.
func (r Reason) String() string {
	if r == 0 || r >= reasonEnd {
		return "invalid"
	}
	return reasonNames[r]
}
