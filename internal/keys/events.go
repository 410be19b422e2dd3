package keys

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Homes ranks the agents of the service by bucket. *placement.Table implements it.
type Homes interface {
	// HomeSets returns the sets of the first n homes for a hash that must all participate now: the set
	// under the current view first, then, while the view is unsettled, those under recent views.
	HomeSets(now time.Time, hash uint64, n int) [][]model.NodeID
	// Settled reports whether the view has not changed for the settle time and the agent is in
	// contact with its observers.
	Settled(now time.Time) bool
	// Fingerprint returns a hash of the current view; equal views have equal fingerprints.
	Fingerprint() uint64
}

// Event is an input of Core.Step.
type Event interface{ event() }

// Begin starts an attempt to run a keyed request. Proceed, Replay or Refuse is the decision.
type Begin struct {
	ID          uint64 // ID of the request; not reused while it is in progress
	Key         string
	Fingerprint uint64 // hash of the method, path and body; not 0
	Deadline    time.Time
}

// Ended reports the end of a request after Proceed, or that the caller closed it. Answer may be nil.
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

// ViewChanged reports a new view. Homes must already rank by it.
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

// Proceed lets the request run. An Ended must follow in every case.
type Proceed struct{ ID uint64 }

// Replay answers the request with the answer of the key's first run.
type Replay struct {
	ID     uint64
	Answer *message.Answer
}

// Refuse answers the request without running it. Outcome is what is known of the key; it is
// OutcomeNotRun only if no send of the key has run.
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

// Reason is why a keyed request was refused. String gives the metric label.
type Reason uint8

// Reasons for a refusal.
const (
	ReasonInProgress  Reason = iota + 1 // another send of the key is in progress
	ReasonMismatch                      // the key was used for a different request
	ReasonUnknown                       // the outcome of an earlier run of the key is unknown
	ReasonNoCoverage                    // no home has coverage back to the age of the key
	ReasonTruncated                     // the key ran, but its answer was too large to keep
	ReasonHomeSilent                    // a home did not reply
	ReasonViewsDiffer                   // the homes did not agree on the view by the deadline
	ReasonNoHome                        // the view has no home for the key
	ReasonFull                          // the limit of records or of attempts is reached
	ReasonTimeAhead                     // the timestamp of the key is in the future
	ReasonNotOpen                       // the service does not accept keys yet
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
