package admission

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// RequestID names one request in progress at one agent. It is never reused.
type RequestID uint64

// Event is an input of Core.Step.
type Event interface{ event() }

// Arrive announces a request.
type Arrive struct {
	ID       RequestID
	Deadline time.Time // for the start of the answer
	// Idempotent is informative: whether a request may be sent again after
	// bytes were written is decided by the sender of Finished.
	Idempotent bool
	FirstSend  bool // the retry budget grows with first sends
	// Moved is set when the request came from another agent; it is not moved again.
	Moved       bool
	From        model.NodeID // the agent that moved it
	Reservation uint64       // the reservation it was moved on
}

// Started reports that the header of the answer arrived. A streaming answer
// gives its slot back, because a feed may last for hours.
type Started struct {
	ID        RequestID
	Streaming bool
}

// Finished reports the end of a request that was run or moved.
type Finished struct {
	ID      RequestID
	Outcome message.Outcome
	Shed    bool // the target marked its 503 answer as not run
	// SafeToMove is set when sending the request again cannot run it twice.
	// The request then stays with the core, which moves, runs or refuses it.
	SafeToMove bool
}

// Cancelled reports that the caller is gone.
type Cancelled struct{ ID RequestID }

// PeerLoad is an agent's report about itself.
type PeerLoad struct {
	Node  model.NodeID
	Load  model.Load
	Slots int // 0 keeps the number from the view
}

// ViewChanged replaces the set of peers and the policy.
type ViewChanged struct{ View model.ServiceView }

// Leave starts the drain: no new request runs at this agent.
type Leave struct{}

// ReserveRequest is a peer's message.Reserve.
type ReserveRequest struct {
	From    model.NodeID
	ID      uint64
	Waited  time.Duration
	Queue   bool
	Release bool
}

// ReserveReply is a peer's message.ReserveReply.
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

// Refuse answers the caller without a run. Outcome is OutcomeNotRun unless an
// earlier send of an idempotent request may have run.
type Refuse struct {
	ID         RequestID
	Reason     Reason
	RetryAfter time.Duration
	Outcome    message.Outcome
}

// MoveTo sends the request to another agent on a reservation.
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

// Reason is why a request was refused or moved. String is a counter's reason.
type Reason uint8

// The reasons for a refusal, followed by the reasons for a move.
const (
	ReasonQueueFull         Reason = iota + 1 // the queue has no place
	ReasonCannotStart                         // by the estimate it cannot start by its deadline
	ReasonDeadlinePassed                      // its deadline passed while it waited
	ReasonLeaving                             // the agent is leaving and no peer takes the request
	ReasonTargetShed                          // the target shed it and no peer takes the request
	ReasonTargetUnreachable                   // the target took no connection and no peer takes the request
	ReasonRetryBudget                         // the retry budget is spent
	ReasonTooManyRequests                     // the agent holds its limit of requests
	MoveBusy                                  // the local slots are busy
	MoveLeaving                               // the agent is leaving
	MoveShed                                  // the target shed it; counts as a retry
	MoveUnreachable                           // an earlier send reached nobody; counts as a retry
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
