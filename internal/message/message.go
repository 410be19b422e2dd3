// Package message defines the messages that balancers and agents exchange over
// UDP, as plain structs. Package wire encodes and authenticates them. Fields have
// integer CBOR keys, which are never reused.
package message

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Message is a peer message. The set is closed: package wire lists each type.
type Message interface{ peerMessage() }

// Heartbeat is sent by an agent to its observers, and by a balancer to the
// balancers that observe it. Member is set only if the observer does not have
// the record of this Incarnation and Seq yet: the short form keeps the heartbeats
// of 59,000 agents within the budget of control traffic.
type Heartbeat struct {
	Incarnation model.Incarnation `cbor:"1,keyasint,omitempty"`
	Seq         uint64            `cbor:"2,keyasint,omitempty"`
	Member      model.Member      `cbor:"3,keyasint,omitzero"`
	SliceDigest uint64            `cbor:"4,keyasint,omitempty"` // of the sender's slice; 0 requests it whole
	FileRev     uint64            `cbor:"5,keyasint,omitempty"` // newest store version of a decision file that the sender has
	Load        model.Load        `cbor:"6,keyasint,omitzero"`
}

// HeartbeatAck answers a Heartbeat with the version and state of the observer's
// record of the sender. A sender whose record there is suspect, gone or outdated
// raises its sequence or incarnation.
type HeartbeatAck struct {
	Incarnation model.Incarnation `cbor:"1,keyasint,omitempty"` // 0: same as in the heartbeat
	Seq         uint64            `cbor:"2,keyasint,omitempty"`
	State       model.State       `cbor:"3,keyasint,omitempty"` // 0: the observer has no record
	SliceDigest uint64            `cbor:"4,keyasint,omitempty"` // 0: no Slice follows
}

// Superseded answers a message of an incarnation that the recipient refuses, because
// it has accepted a message of a higher one of the same NodeID. The sender raises its
// incarnation above it.
type Superseded struct {
	Incarnation model.Incarnation `cbor:"1,keyasint,omitempty"` // the highest accepted one
}

// Slice is what an agent needs of the membership and configuration: the view of
// its own service and the balancers that may forward packets to it.
type Slice struct {
	View      model.ServiceView `cbor:"1,keyasint,omitzero"`
	Balancers []model.Member    `cbor:"2,keyasint,omitzero"`
	// AllBalancers is set if Balancers lists every live balancer. If there are more
	// than a few dozen, it lists only those of the agent's data centre that the
	// agent should use.
	AllBalancers bool   `cbor:"3,keyasint,omitzero"`
	Digest       uint64 `cbor:"4,keyasint,omitzero"` // hash of the slice without FileRev, never 0
	FileRev      uint64 `cbor:"5,keyasint,omitzero"` // newest store version of a decision file
}

// MemberDelta spreads changed member records. Reachability is sent only within a
// data centre.
type MemberDelta struct {
	Members      []model.Member   `cbor:"1,keyasint,omitempty"`
	Reachability []DCReachability `cbor:"2,keyasint,omitempty"`
}

// DCReachability is a relay's report on whether it receives messages from another
// data centre. The highest Seq of a Relay and DC wins.
type DCReachability struct {
	Relay       model.NodeID     `cbor:"1,keyasint"`
	DC          model.DataCentre `cbor:"2,keyasint"`
	Seq         uint64           `cbor:"3,keyasint"`
	Unreachable bool             `cbor:"4,keyasint,omitempty"`
}

// Suspicion is one observer's report that a member is unreachable. Incarnation and
// Seq are the version of the member's record.
type Suspicion struct {
	ID          model.NodeID      `cbor:"1,keyasint,omitzero"`
	Incarnation model.Incarnation `cbor:"2,keyasint,omitzero"`
	Seq         uint64            `cbor:"3,keyasint,omitzero"`
	Observer    model.NodeID      `cbor:"4,keyasint,omitzero"`
}

// File is one decision file at one store version. A removed file keeps an entry
// without content, so that an older delta cannot restore it.
type File struct {
	Name    string `cbor:"1,keyasint,omitzero"`
	Version uint64 `cbor:"2,keyasint,omitzero"`
	Removed bool   `cbor:"3,keyasint,omitzero"`
	Content []byte `cbor:"4,keyasint,omitzero"`
}

// FileDelta spreads changed decision files. If Floor is not 0, the receiver drops
// each file that it has at a version up to Floor and that Files does not list.
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
// whole map, one hash per group of buckets, or one hash per bucket of the groups
// in Groups.
type Digest struct {
	Map     MapID    `cbor:"1,keyasint"`
	Groups  []uint16 `cbor:"2,keyasint,omitempty"`
	Buckets []uint64 `cbor:"3,keyasint"`
	Reply   bool     `cbor:"4,keyasint,omitempty"` // the receiver must not answer with its own digest
	Joining bool     `cbor:"5,keyasint,omitempty"` // the sender does not have the state of its peers yet
}

// Pull requests the entries of the listed buckets.
type Pull struct {
	Map     MapID    `cbor:"1,keyasint,omitzero"`
	Buckets []uint16 `cbor:"2,keyasint,omitzero"`
}

// Forward carries one IP packet from a balancer or an agent to an agent.
type Forward struct {
	Service  model.ServiceName `cbor:"1,keyasint,omitzero"`
	ViewHash uint64            `cbor:"2,keyasint,omitzero"` // of the view by which the sender ranked
	Hops     uint8             `cbor:"3,keyasint,omitzero"` // remaining forwards between agents
	Assigned bool              `cbor:"4,keyasint,omitzero"` // the flow's home chose the receiver as holder
	Packet   []byte            `cbor:"5,keyasint,omitzero"`
}

// FlowQuery queries whether the receiver holds a flow or knows its holder.
type FlowQuery struct {
	ID      uint64            `cbor:"1,keyasint,omitzero"` // chosen by the sender, echoed in the answer
	Service model.ServiceName `cbor:"2,keyasint,omitzero"`
	Flow    model.Flow        `cbor:"3,keyasint,omitzero"`
	Opening bool              `cbor:"4,keyasint,omitzero"` // the sender opens the flow if no agent holds it
}

// Verdict is the answer to a FlowQuery.
type Verdict uint8

// The verdicts.
const (
	// VerdictNone: the answering agent neither holds the flow nor knows its holder.
	VerdictNone Verdict = iota + 1
	// VerdictHeld: FlowAnswer.Holder holds the flow or is opening it.
	VerdictHeld
)

// FlowAnswer answers a FlowQuery.
type FlowAnswer struct {
	ID      uint64       `cbor:"1,keyasint,omitzero"`
	Flow    model.Flow   `cbor:"2,keyasint,omitzero"`
	Verdict Verdict      `cbor:"3,keyasint,omitzero"`
	Holder  model.NodeID `cbor:"4,keyasint,omitzero"`
}

// FlowRegister reports to a home which flows the sender holds. Seq is echoed in
// the FlowAck; an unacknowledged batch is resent.
type FlowRegister struct {
	Seq   uint64       `cbor:"1,keyasint,omitzero"`
	Flows []model.Flow `cbor:"2,keyasint,omitzero"`
}

// FlowRelease reports to a home that the sender no longer holds the flows.
type FlowRelease struct {
	Seq   uint64       `cbor:"1,keyasint,omitzero"`
	Flows []model.Flow `cbor:"2,keyasint,omitzero"`
}

// FlowAck acknowledges a FlowRegister or FlowRelease.
type FlowAck struct {
	Seq uint64 `cbor:"1,keyasint,omitzero"`
}

// FlowHint notifies a balancer of the holder of a flow. It saves a hop; correct
// routing never depends on it.
type FlowHint struct {
	Flow   model.Flow   `cbor:"1,keyasint,omitzero"`
	Holder model.NodeID `cbor:"2,keyasint,omitzero"`
}

// LoadReport carries an agent's load to the agents of the same service.
type LoadReport struct {
	Load model.Load `cbor:"1,keyasint,omitzero"`
}

// Reserve requests a slot of an agent for a request that the sender will forward
// to it. If Release is set it cancels the reservation.
type Reserve struct {
	// ID grows with each Reserve. The reply and the forwarded request echo it.
	ID uint64 `cbor:"1,keyasint,omitzero"`
	// Waited is the waiting time of the sender's oldest request. A free slot is
	// assigned to the sender whose request has waited longest.
	Waited time.Duration `cbor:"2,keyasint,omitzero"`
	// Queue is set by a leaving sender: a place in the queue suffices.
	Queue   bool `cbor:"3,keyasint,omitzero"`
	Release bool `cbor:"4,keyasint,omitzero"`
}

// ReserveReply answers a Reserve. After a reply with Waiting set, a second one
// grants the slot when it becomes free.
type ReserveReply struct {
	ID      uint64     `cbor:"1,keyasint,omitzero"`
	Granted bool       `cbor:"2,keyasint,omitzero"`
	Waiting bool       `cbor:"3,keyasint,omitzero"` // not granted yet; a grant follows when a slot is free
	Load    model.Load `cbor:"4,keyasint,omitzero"`
}

// KeyBegin requests that a home records a key before the key's request runs.
type KeyBegin struct {
	ID          uint64            `cbor:"1,keyasint,omitzero"`
	Service     model.ServiceName `cbor:"2,keyasint,omitzero"`
	Key         string            `cbor:"3,keyasint,omitzero"`
	Fingerprint uint64            `cbor:"4,keyasint,omitzero"` // of the request's method, path and body
	ViewHash    uint64            `cbor:"5,keyasint,omitzero"`
	Issued      time.Time         `cbor:"6,keyasint,omitzero"` // timestamp in the key, zero if it has none
}

// KeyVerdict is a home's answer to a KeyBegin.
type KeyVerdict uint8

// The key verdicts.
const (
	// KeyGranted: the key is recorded; the request may run once all homes granted.
	KeyGranted KeyVerdict = iota + 1
	// KeyInProgress: the record belongs to another attempt with the same key.
	KeyInProgress
	// KeyAnswered: the request ran; Answer holds the whole answer.
	KeyAnswered
	// KeyMismatch: the key was used for a different request.
	KeyMismatch
	// KeyOutcomeUnknown: the home cannot know whether the key's request ran.
	KeyOutcomeUnknown
	// KeyRetry: the home cannot record the key now, for example because its view
	// differs from the sender's; the sender retries shortly.
	KeyRetry
	// KeyNotCovered: the key is recorded, but the home's coverage is too short to rule
	// out an earlier run. The request may run if another home granted.
	KeyNotCovered
	// KeyRecordsFull: the home has no room for a record; the key's request did not run.
	KeyRecordsFull
)

// Answer is a stored answer to a keyed request.
type Answer struct {
	Status int                 `cbor:"1,keyasint,omitzero"`
	Header map[string][]string `cbor:"2,keyasint,omitzero"`
	Body   []byte              `cbor:"3,keyasint,omitzero"`
	// Truncated is set if the body exceeded the size limit of a record: the request
	// ran, but its answer cannot be repeated.
	Truncated bool `cbor:"4,keyasint,omitzero"`
}

// KeyReply answers a KeyBegin.
type KeyReply struct {
	ID      uint64     `cbor:"1,keyasint,omitzero"`
	Key     string     `cbor:"2,keyasint,omitzero"`
	Verdict KeyVerdict `cbor:"3,keyasint,omitzero"`
	Answer  *Answer    `cbor:"4,keyasint,omitzero"`
}

// KeyDone reports to a home that the request of a key ended. A nil Answer with
// OutcomeNotRun removes the record.
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

// Outcome states whether a request ran.
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
	ID          uint64            `cbor:"2,keyasint,omitzero"` // of the KeyBegin
	Fingerprint uint64            `cbor:"3,keyasint,omitzero"`
	Runner      model.NodeID      `cbor:"4,keyasint,omitzero"` // agent that sent the KeyBegin
	Incarnation model.Incarnation `cbor:"5,keyasint,omitzero"` // of the runner
	Outcome     Outcome           `cbor:"6,keyasint,omitzero"` // 0 while the request runs
	Answer      *Answer           `cbor:"7,keyasint,omitzero"`
	Recorded    time.Time         `cbor:"8,keyasint,omitzero"`
}

// KeyPull requests the records of the key buckets that the sender has become a
// home of.
type KeyPull struct {
	ID       uint64            `cbor:"1,keyasint,omitzero"`
	Service  model.ServiceName `cbor:"2,keyasint,omitzero"`
	ViewHash uint64            `cbor:"3,keyasint,omitzero"`
	Buckets  []uint16          `cbor:"4,keyasint,omitzero"`
}

// KeyCoverage states since when an agent knows every key of some buckets. The
// zero time means always.
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
	// Answered lists the requested buckets that the sender answers for, Covers those
	// of them that it covers. Only the last part has them.
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
func (Superseded) peerMessage()   {}
func (Slice) peerMessage()        {}
func (MemberDelta) peerMessage()  {}
func (Suspicion) peerMessage()    {}
func (FileDelta) peerMessage()    {}
func (Digest) peerMessage()       {}
func (Pull) peerMessage()         {}
func (Forward) peerMessage()      {}
func (FlowQuery) peerMessage()    {}
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
