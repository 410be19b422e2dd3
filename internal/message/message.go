// Package message defines the messages that balancers and agents send each
// other over UDP, as plain structs. Package wire encodes and authenticates them.
package message

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Message is a peer message. The set is closed: package wire knows each type.
type Message interface{ peerMessage() }

// Heartbeat goes from an agent to its observers, and from a balancer to the
// balancers that observe it. Member is set only when the observer does not have
// the record of this Incarnation and Seq yet: the short form keeps the heartbeats
// of 59,000 agents within the control budget.
type Heartbeat struct {
	Incarnation model.Incarnation `cbor:"1,keyasint,omitempty"`
	Seq         uint64            `cbor:"2,keyasint,omitempty"`
	Member      model.Member      `cbor:"3,keyasint,omitzero"`
	SliceDigest uint64            `cbor:"4,keyasint,omitempty"` // digest of the sender's slice; 0 asks for the whole slice
	FileRev     uint64            `cbor:"5,keyasint,omitempty"` // newest store version of a decision file the sender holds
	Load        model.Load        `cbor:"6,keyasint,omitzero"`
}

// HeartbeatAck answers a Heartbeat with the record that the observer has of the
// sender. A sender that finds itself suspect, gone or outdated there raises its
// sequence or incarnation.
type HeartbeatAck struct {
	Incarnation model.Incarnation `cbor:"1,keyasint,omitempty"` // 0: the incarnation of the heartbeat
	Seq         uint64            `cbor:"2,keyasint,omitempty"`
	State       model.State       `cbor:"3,keyasint,omitempty"` // 0: the observer has no record
	SliceDigest uint64            `cbor:"4,keyasint,omitempty"` // 0: no Slice follows
}

// Slice is what an agent needs to know: the view of its own service and the
// balancers that may forward packets to it.
type Slice struct {
	View      model.ServiceView
	Balancers []model.Member
	// AllBalancers is set when Balancers lists every live balancer. Above a few
	// dozen it lists only those of the agent's data centre that it should use.
	AllBalancers bool
	Digest       uint64
	FileRev      uint64
}

// MemberDelta spreads changed member records. Contacts stay within one data centre.
type MemberDelta struct {
	Members  []model.Member `cbor:"1,keyasint,omitempty"`
	Contacts []Contact      `cbor:"2,keyasint,omitempty"`
}

// Contact is a relay's statement whether it hears from another data centre. The
// highest Seq of a Relay and DC wins.
type Contact struct {
	Relay model.NodeID     `cbor:"1,keyasint"`
	DC    model.DataCentre `cbor:"2,keyasint"`
	Seq   uint64           `cbor:"3,keyasint"`
	Lost  bool             `cbor:"4,keyasint,omitempty"`
}

// Suspicion is one observer's opinion that a member is unreachable.
type Suspicion struct {
	ID          model.NodeID
	Incarnation model.Incarnation
	Seq         uint64
	Observer    model.NodeID
}

// File is one decision file at one store version. Removed files keep an entry
// without content so that an older delta cannot bring them back.
type File struct {
	Name    string
	Version uint64
	Removed bool
	Content []byte
}

// FileDelta spreads changed decision files. If Floor is not 0 the receiver
// drops each file it holds at or below Floor that Files does not list.
type FileDelta struct {
	Floor uint64
	Files []File
}

// MapID names a replicated map.
type MapID uint8

// The replicated maps.
const (
	MapMembers MapID = iota + 1
	MapFiles
)

// Digest summarises a replicated map at one of three levels: one hash of the
// whole map, one hash per group of buckets, or one hash per bucket of Groups.
type Digest struct {
	Map     MapID    `cbor:"1,keyasint"`
	Groups  []uint16 `cbor:"2,keyasint,omitempty"`
	Buckets []uint64 `cbor:"3,keyasint"`
	Reply   bool     `cbor:"4,keyasint,omitempty"` // the receiver must not answer with a digest of its own
	Joining bool     `cbor:"5,keyasint,omitempty"` // the sender has not taken over the state of its peers yet
}

// Pull asks for the entries of the named buckets.
type Pull struct {
	Map     MapID
	Buckets []uint16
}

// Forward carries one IP packet from a balancer or an agent to an agent.
type Forward struct {
	Service  model.ServiceName
	ViewHash uint64 // fingerprint of the view that the sender ranked by
	Hops     uint8  // agents that may still pass the packet on
	Assigned bool   // the flow's home chose the receiver as holder
	Packet   []byte
}

// FlowAsk asks whether the receiver holds a flow.
type FlowAsk struct {
	ID      uint64 // chosen by the asker, echoed in the answer
	Service model.ServiceName
	Flow    model.Flow
	Opening bool // the asker will open the flow when nobody holds it
}

// Verdict is the answer to a FlowAsk.
type Verdict uint8

// The verdicts.
const (
	// VerdictNone: the answerer neither holds the flow nor knows a holder.
	VerdictNone Verdict = iota + 1
	// VerdictHeld: FlowAnswer.Holder holds the flow or is opening it.
	VerdictHeld
)

// FlowAnswer answers a FlowAsk.
type FlowAnswer struct {
	ID      uint64
	Flow    model.Flow
	Verdict Verdict
	Holder  model.NodeID
}

// FlowRegister tells a home which flows the sender holds. Seq is echoed in the
// FlowAck; an unacknowledged batch is sent again.
type FlowRegister struct {
	Seq   uint64
	Flows []model.Flow
}

// FlowRelease tells a home that the sender no longer holds the flows.
type FlowRelease struct {
	Seq   uint64
	Flows []model.Flow
}

// FlowAck acknowledges a FlowRegister or FlowRelease.
type FlowAck struct {
	Seq uint64
}

// FlowHint tells a balancer the holder of a flow. It saves a hop and is never
// needed for a right decision.
type FlowHint struct {
	Flow   model.Flow
	Holder model.NodeID
}

// LoadReport carries an agent's own counts to agents of the same service.
type LoadReport struct {
	Load model.Load
}

// Reserve asks an agent to keep a slot for a request that the sender will move
// there. With Release set it gives the reservation back.
type Reserve struct {
	ID      uint64        // grows with each Reserve; echoed in the reply and in the moved request
	Waited  time.Duration // by the sender's oldest request; free slots go to the oldest
	Queue   bool          // a place in the queue is enough, because the sender is leaving
	Release bool
}

// ReserveReply answers a Reserve, a second time when a slot becomes free for a
// sender that was told to wait.
type ReserveReply struct {
	ID      uint64
	Granted bool
	Waiting bool // not granted yet; a grant follows when a slot is free
	Load    model.Load
}

// KeyBegin asks a home to record a key before its request runs.
type KeyBegin struct {
	ID          uint64
	Service     model.ServiceName
	Key         string
	Fingerprint uint64 // of the request's method, path and body
	ViewHash    uint64
	Issued      time.Time // the key's own time, zero if it has none
}

// KeyVerdict is a home's answer to a KeyBegin.
type KeyVerdict uint8

// The key verdicts.
const (
	// KeyGranted: the record stands; the request may run once all homes granted.
	KeyGranted KeyVerdict = iota + 1
	// KeyInProgress: another send of the key holds the record.
	KeyInProgress
	// KeyAnswered: the request ran; Answer holds the whole answer.
	KeyAnswered
	// KeyMismatch: the key stands for another request.
	KeyMismatch
	// KeyUnknown: the home cannot know whether the key's request ran.
	KeyUnknown
	// KeyRetry: the views of asker and home differ; ask again shortly.
	KeyRetry
	// KeyNoted: the record stands, but the home's coverage does not reach back to
	// the key's age. The request may run if another home granted.
	KeyNoted
	// KeyFull: the home has no room for a record; the key's request did not run.
	KeyFull
)

// Answer is a stored answer to a keyed request.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Truncated is set when the body was larger than a record may hold; the
	// request ran, but its answer cannot be repeated.
	Truncated bool
}

// KeyReply answers a KeyBegin.
type KeyReply struct {
	ID      uint64
	Key     string
	Verdict KeyVerdict
	Answer  *Answer
}

// KeyDone tells a home that the request of a key ended. A nil Answer with
// Outcome OutcomeNotRun removes the record.
type KeyDone struct {
	ID      uint64
	Service model.ServiceName
	Key     string
	Outcome Outcome
	Answer  *Answer
}

// KeyDoneAck acknowledges a KeyDone.
type KeyDoneAck struct {
	ID uint64
}

// Outcome says whether a request ran.
type Outcome uint8

// The outcomes.
const (
	OutcomeNotRun Outcome = iota + 1
	OutcomeUnknown
	OutcomeRan
)

// String returns the value of the Bulrushshelf-Outcome header.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not-run"
	case OutcomeUnknown:
		return "unknown"
	case OutcomeRan:
		return "ran"
	}
	return "invalid"
}

// KeyRecord is a key's record as copied between homes.
type KeyRecord struct {
	Key         string
	ID          uint64 // of the runner's KeyBegin
	Fingerprint uint64
	Runner      model.NodeID
	Incarnation model.Incarnation // of the runner
	Outcome     Outcome           // 0 while the request runs
	Answer      *Answer
	Recorded    time.Time
}

// KeyPull asks an agent for the records of key buckets that the sender is a
// home of now.
type KeyPull struct {
	ID       uint64
	Service  model.ServiceName
	ViewHash uint64
	Buckets  []uint16
}

// KeyCoverage says since when an agent knows every key of some buckets. The
// zero time stands for always.
type KeyCoverage struct {
	Since   time.Time
	Buckets []uint16
}

// KeyCopy answers a KeyPull in one or more parts.
type KeyCopy struct {
	ID      uint64
	Service model.ServiceName
	Part    int // from 0
	Parts   int
	Records []KeyRecord
	// Answered lists the buckets that this answer is about, Covers those of them
	// that the sender covers. Both are in the last part.
	Answered []uint16
	Covers   []KeyCoverage
}

// Probe tests one path between two nodes; ProbeAck answers it over the same path.
type Probe struct {
	ID   uint64
	Path uint8
}

// ProbeAck answers a Probe.
type ProbeAck struct {
	ID   uint64
	Path uint8
}

func (Heartbeat) peerMessage()    {}
func (HeartbeatAck) peerMessage() {}
func (Slice) peerMessage()        {}
func (MemberDelta) peerMessage()  {}
func (Suspicion) peerMessage()    {}
func (FileDelta) peerMessage()    {}
func (Digest) peerMessage()       {}
func (Pull) peerMessage()         {}
func (Forward) peerMessage()      {}
func (FlowAsk) peerMessage()      {}
func (FlowAnswer) peerMessage()   {}
func (FlowRegister) peerMessage() {}
func (FlowRelease) peerMessage()  {}
func (FlowAck) peerMessage()      {}
func (FlowHint) peerMessage()     {}
func (LoadReport) peerMessage()   {}
func (Reserve) peerMessage()      {}
func (ReserveReply) peerMessage() {}
func (KeyBegin) peerMessage()     {}
func (KeyReply) peerMessage()     {}
func (KeyDone) peerMessage()      {}
func (KeyDoneAck) peerMessage()   {}
func (KeyPull) peerMessage()      {}
func (KeyCopy) peerMessage()      {}
func (Probe) peerMessage()        {}
func (ProbeAck) peerMessage()     {}
