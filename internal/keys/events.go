package keys

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Homes ranks the agents of the service. *placement.Table gives it.
type Homes interface {
	// Joint returns the sets of homes that must all take part now, the set under
	// the current view first, then those under recent views while the view is
	// unsettled.
	Joint(now time.Time, hash uint64, n int) [][]model.NodeID
	// Settled reports that the view has not changed for the settle time and that
	// the agent is in contact with its observers.
	Settled(now time.Time) bool
	// Fingerprint is equal for equal current views.
	Fingerprint() uint64
}

// Event is an input of Core.Step.
type Event interface{ event() }

// Begin asks whether a keyed request may run.
type Begin struct {
	ID          uint64 // of the request; not reused while it is in progress
	Key         string
	Fingerprint uint64 // of the method, path and body; not 0
	Deadline    time.Time
}

// Ended reports the end of a request that Proceed let run. Answer may be nil.
type Ended struct {
	ID      uint64
	Outcome message.Outcome
	Answer  *message.Answer
}

// Received is a message from another agent.
type Received struct {
	From model.NodeID
	Msg  message.Message
}

// ViewChanged reports a new view. Homes already ranks by it.
type ViewChanged struct{ View model.ServiceView }

// Tick reports the passage of time. It is due at Core.Next.
type Tick struct{}

func (Begin) event()       {}
func (Ended) event()       {}
func (Received) event()    {}
func (ViewChanged) event() {}
func (Tick) event()        {}

// Action is an output of Core.Step.
type Action interface{ action() }

// Proceed lets the request run. Ended must follow, whatever happens.
type Proceed struct{ ID uint64 }

// Replay answers the request with the answer of the key's first run.
type Replay struct {
	ID     uint64
	Answer *message.Answer
}

// Refuse answers the request without a run of this send. Outcome says what is
// known of the key: OutcomeNotRun only if no send of it has run.
type Refuse struct {
	ID         uint64
	Reason     Reason
	Outcome    message.Outcome
	RetryAfter time.Duration
}

// Send sends a message to another agent.
type Send struct {
	To  model.NodeID
	Msg message.Message
}

func (Proceed) action() {}
func (Replay) action()  {}
func (Refuse) action()  {}
func (Send) action()    {}

// Reason is why a keyed request was refused. String is a counter's reason.
type Reason uint8

// The reasons for a refusal.
const (
	ReasonInProgress  Reason = iota + 1 // another send of the key is running
	ReasonMismatch                      // the key stands for another request
	ReasonUnknown                       // the key's run has no known end
	ReasonNoCoverage                    // no home knows back to the key's age
	ReasonTruncated                     // it ran, but its answer was too large to keep
	ReasonHomeSilent                    // a home did not answer
	ReasonViewsDiffer                   // the homes did not agree on the view in time
	ReasonNoHome                        // the view has no home
	ReasonFull                          // no room for another record
	ReasonTimeAhead                     // the key's time is in the future
	ReasonNotOpen                       // the service does not take keys yet
	reasonEnd
)

var reasonNames = [reasonEnd]string{
	ReasonInProgress:  "key_in_progress",
	ReasonMismatch:    "key_mismatch",
	ReasonUnknown:     "key_outcome_unknown",
	ReasonNoCoverage:  "key_not_covered",
	ReasonTruncated:   "key_answer_too_large",
	ReasonHomeSilent:  "key_home_silent",
	ReasonViewsDiffer: "key_views_differ",
	ReasonNoHome:      "key_no_home",
	ReasonFull:        "key_records_full",
	ReasonTimeAhead:   "key_time_ahead",
	ReasonNotOpen:     "key_service_not_open",
}

// String returns the lower-case name of the reason.
func (r Reason) String() string {
	if r == 0 || r >= reasonEnd {
		return "invalid"
	}
	return reasonNames[r]
}
