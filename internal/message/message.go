// Package message defines the messages that balancers and agents send each
// other over UDP, as plain structs. Package wire encodes and authenticates them.
// Fields have integer CBOR keys, which are never reused.
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
	View      model.ServiceView `cbor:"1,keyasint,omitzero"`
	Balancers []model.Member    `cbor:"2,keyasint,omitzero"`
	// AllBalancers is set when Balancers lists every live balancer. Above a few
	// dozen it lists only those of the agent's data centre that it should use.
	AllBalancers bool   `cbor:"3,keyasint,omitzero"`
	Digest       uint64 `cbor:"4,keyasint,omitzero"`
	FileRev      uint64 `cbor:"5,keyasint,omitzero"`
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
	ID          model.NodeID      `cbor:"1,keyasint,omitzero"`
	Incarnation model.Incarnation `cbor:"2,keyasint,omitzero"`
	Seq         uint64            `cbor:"3,keyasint,omitzero"`
	Observer    model.NodeID      `cbor:"4,keyasint,omitzero"`
}

// File is one decision file at one store version. Removed files keep an entry
// without content so that an older delta cannot bring them back.
type File struct {
	Name    string `cbor:"1,keyasint,omitzero"`
	Version uint64 `cbor:"2,keyasint,omitzero"`
	Removed bool   `cbor:"3,keyasint,omitzero"`
	Content []byte `cbor:"4,keyasint,omitzero"`
}

// FileDelta spreads changed decision files. If Floor is not 0 the receiver
// drops each file it holds at or below Floor that Files does not list.
type FileDelta struct {
	Floor uint64 `cbor:"1,keyasint,omitzero"`
	Files []File `cbor:"2,keyasint,omitzero"`
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
	Map     MapID    `cbor:"1,keyasint,omitzero"`
	Buckets []uint16 `cbor:"2,keyasint,omitzero"`
}

// Forward carries one IP packet from a balancer or an agent to an agent.
type Forward struct {
	Service  model.ServiceName `cbor:"1,keyasint,omitzero"`
	ViewHash uint64            `cbor:"2,keyasint,omitzero"` // fingerprint of the view that the sender ranked by
	Hops     uint8             `cbor:"3,keyasint,omitzero"` // agents that may still pass the packet on
	Assigned bool              `cbor:"4,keyasint,omitzero"` // the flow's home chose the receiver as holder
	Packet   []byte            `cbor:"5,keyasint,omitzero"`
}

// FlowAsk asks whether the receiver holds a flow.
type FlowAsk struct {
	ID      uint64            `cbor:"1,keyasint,omitzero"` // chosen by the asker, echoed in the answer
	Service model.ServiceName `cbor:"2,keyasint,omitzero"`
	Flow    model.Flow        `cbor:"3,keyasint,omitzero"`
	Opening bool              `cbor:"4,keyasint,omitzero"` // the asker will open the flow when nobody holds it
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
	ID      uint64       `cbor:"1,keyasint,omitzero"`
	Flow    model.Flow   `cbor:"2,keyasint,omitzero"`
	Verdict Verdict      `cbor:"3,keyasint,omitzero"`
	Holder  model.NodeID `cbor:"4,keyasint,omitzero"`
}

// FlowRegister tells a home which flows the sender holds. Seq is echoed in the
// FlowAck; an unacknowledged batch is sent again.
type FlowRegister struct {
	Seq   uint64       `cbor:"1,keyasint,omitzero"`
	Flows []model.Flow `cbor:"2,keyasint,omitzero"`
}

// FlowRelease tells a home that the sender no longer holds the flows.
type FlowRelease struct {
	Seq   uint64       `cbor:"1,keyasint,omitzero"`
	Flows []model.Flow `cbor:"2,keyasint,omitzero"`
}

// FlowAck acknowledges a FlowRegister or FlowRelease.
type FlowAck struct {
	Seq uint64 `cbor:"1,keyasint,omitzero"`
}

// FlowHint tells a balancer the holder of a flow. It saves a hop and is never
// needed for a right decision.
type FlowHint struct {
	Flow   model.Flow   `cbor:"1,keyasint,omitzero"`
	Holder model.NodeID `cbor:"2,keyasint,omitzero"`
}

// LoadReport carries an agent's own counts to agents of the same service.
type LoadReport struct {
	Load model.Load `cbor:"1,keyasint,omitzero"`
}

// Reserve asks an agent to keep a slot for a request that the sender will move
// there. With Release set it gives the reservation back.
type Reserve struct {
	ID      uint64        `cbor:"1,keyasint,omitzero"` // grows with each Reserve; echoed in the reply and in the moved request
	Waited  time.Duration `cbor:"2,keyasint,omitzero"` // by the sender's oldest request; free slots go to the oldest
	Queue   bool          `cbor:"3,keyasint,omitzero"` // a place in the queue is enough, because the sender is leaving
	Release bool          `cbor:"4,keyasint,omitzero"`
}

// ReserveReply answers a Reserve, a second time when a slot becomes free for a
// sender that was told to wait.
type ReserveReply struct {
	ID      uint64     `cbor:"1,keyasint,omitzero"`
	Granted bool       `cbor:"2,keyasint,omitzero"`
	Waiting bool       `cbor:"3,keyasint,omitzero"` // not granted yet; a grant follows when a slot is free
	Load    model.Load `cbor:"4,keyasint,omitzero"`
}

// KeyBegin asks a home to record a key before its request runs.
type KeyBegin struct {
	ID          uint64            `cbor:"1,keyasint,omitzero"`
	Service     model.ServiceName `cbor:"2,keyasint,omitzero"`
	Key         string            `cbor:"3,keyasint,omitzero"`
	Fingerprint uint64            `cbor:"4,keyasint,omitzero"` // of the request's method, path and body
	ViewHash    uint64            `cbor:"5,keyasint,omitzero"`
	Issued      time.Time         `cbor:"6,keyasint,omitzero"` // the key's own time, zero if it has none
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
	Status int                 `cbor:"1,keyasint,omitzero"`
	Header map[string][]string `cbor:"2,keyasint,omitzero"`
	Body   []byte              `cbor:"3,keyasint,omitzero"`
	// Truncated is set when the body was larger than a record may hold; the
	// request ran, but its answer cannot be repeated.
	Truncated bool `cbor:"4,keyasint,omitzero"`
}

// KeyReply answers a KeyBegin.
type KeyReply struct {
	ID      uint64     `cbor:"1,keyasint,omitzero"`
	Key     string     `cbor:"2,keyasint,omitzero"`
	Verdict KeyVerdict `cbor:"3,keyasint,omitzero"`
	Answer  *Answer    `cbor:"4,keyasint,omitzero"`
}

// KeyDone tells a home that the request of a key ended. A nil Answer with
// Outcome OutcomeNotRun removes the record.
type KeyDone struct {
	ID      uint64            `cbor:"1,keyasint,omitzero"`
	Service model.ServiceName `cbor:"2,keyasint,omitzero"`
	Key     string            `cbor:"3,keyasint,omitzero"`
	Outcome Outcome           `cbor:"4,keyasint,omitzero"`
	Answer  *Answer           `cbor:"5,keyasint,omitzero"`
}

// KeyDoneAck acknowledges a KeyDone.
type KeyDoneAck struct {
	ID uint64 `cbor:"1,keyasint,omitzero"`
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
	Key         string            `cbor:"1,keyasint,omitzero"`
	ID          uint64            `cbor:"2,keyasint,omitzero"` // of the runner's KeyBegin
	Fingerprint uint64            `cbor:"3,keyasint,omitzero"`
	Runner      model.NodeID      `cbor:"4,keyasint,omitzero"`
	Incarnation model.Incarnation `cbor:"5,keyasint,omitzero"` // of the runner
	Outcome     Outcome           `cbor:"6,keyasint,omitzero"` // 0 while the request runs
	Answer      *Answer           `cbor:"7,keyasint,omitzero"`
	Recorded    time.Time         `cbor:"8,keyasint,omitzero"`
}

// KeyPull asks an agent for the records of key buckets that the sender is a
// home of now.
type KeyPull struct {
	ID       uint64            `cbor:"1,keyasint,omitzero"`
	Service  model.ServiceName `cbor:"2,keyasint,omitzero"`
	ViewHash uint64            `cbor:"3,keyasint,omitzero"`
	Buckets  []uint16          `cbor:"4,keyasint,omitzero"`
}

// KeyCoverage says since when an agent knows every key of some buckets. The
// zero time stands for always.
type KeyCoverage struct {
	Since   time.Time `cbor:"1,keyasint,omitzero"`
	Buckets []uint16  `cbor:"2,keyasint,omitzero"`
}

// KeyCopy answers a KeyPull in one or more parts.
type KeyCopy struct {
	ID      uint64            `cbor:"1,keyasint,omitzero"`
	Service model.ServiceName `cbor:"2,keyasint,omitzero"`
	Part    int               `cbor:"3,keyasint,omitzero"` // from 0
	Parts   int               `cbor:"4,keyasint,omitzero"`
	Records []KeyRecord       `cbor:"5,keyasint,omitzero"`
	// Answered lists the buckets that this answer is about, Covers those of them
	// that the sender covers. Both are in the last part.
	Answered []uint16      `cbor:"6,keyasint,omitzero"`
	Covers   []KeyCoverage `cbor:"7,keyasint,omitzero"`
}

// Probe tests one path between two nodes; ProbeAck answers it over the same path.
type Probe struct {
	ID   uint64 `cbor:"1,keyasint,omitzero"`
	Path uint8  `cbor:"2,keyasint,omitzero"`
}

// ProbeAck answers a Probe.
type ProbeAck struct {
	ID   uint64 `cbor:"1,keyasint,omitzero"`
	Path uint8  `cbor:"2,keyasint,omitzero"`
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
