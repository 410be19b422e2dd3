// Package steerwire is the codec of the messages between balancers and agents in
// pass-through mode, where targets terminate flows. Forwarded packets have a fixed
// header that is read in place, because every packet of every caller passes here; the
// lists of holder lookups have a compact encoding, and all other messages are CBOR.
// Messages carry no authentication: the deployment must keep the peer addresses
// reachable for its own VMs only.
package steerwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Format is the version of the message format. Messages of other versions are dropped.
const Format = 1

const (
	magic = 0xB5
	// headerLen is the length of magic, format and kind in bytes.
	headerLen = 3
	// forwardHeaderLen is the length of a Forward or Refuse without its packet: header,
	// reason, service and terms. The reason of a Forward and the terms of a Refuse are 0.
	forwardHeaderLen = headerLen + 1 + 8 + termsLen
	// termsLen is the length of Terms: priority, objective and deadline in milliseconds.
	termsLen = 1 + 2 + 2
	// MaxMessage is the maximum length of a message: a packet of a flow and the longest header.
	MaxMessage = 2048
	// MaxPeers is the maximum length of each list of addresses in a message, so that the
	// message fits in MaxMessage.
	MaxPeers = 64
	// MaxQueryEntries is the maximum number of entries in a query, an answer or hints, for
	// the same reason.
	MaxQueryEntries = 32
)

// Kind is the type of a message.
type Kind uint8

// The kinds of message.
const (
	KindForward      Kind = iota + 1 // balancer to agent: a packet of a flow
	KindRefuse                       // agent to balancer: returns a packet that was not delivered
	KindOpened                       // agent to balancer: the target answered the opening packet
	KindHolderQuery                  // balancer to agent: does the target hold the flow?
	KindHolderAnswer                 // agent to balancer: the answer to a KindHolderQuery
	KindHello                        // balancer to agents and other balancers
	KindReport                       // agent to balancers: state and load
	KindHintQuery                    // balancer to balancers of its data centre: which target holds the flow?
	KindHints                        // balancer to balancer: the answer to a KindHintQuery
	KindListingQuery                 // balancer to a store reader: which agents does the store list now?
	KindListing                      // store reader to balancer: one part of the answer to a KindListingQuery
)

// Reason is why an agent returns a packet.
type Reason uint8

// The reasons of a Refuse.
const (
	ReasonWrongService Reason = iota + 1 // the target serves another service
	ReasonDraining                       // the target drains or has exited, or its agent is stopping
	ReasonUnready                        // the target's state is unknown, or balancers may not know the agent yet
	ReasonSilent                         // the target stopped answering
	ReasonFull                           // the target bounced an opening packet, or the flow table is full
	ReasonNotHeld                        // the target does not hold the flow
	ReasonLost                           // the target held the flow and no longer does
	ReasonOtherFlow                      // the target holds another flow of the same addresses and ports

	ReasonEvacuated Reason = 20 // the data centre of the target is evacuated
	ReasonCold      Reason = 21 // the target is cold and has got as many flows as it bears
)

// String returns the reason as used in logs and counters.
func (r Reason) String() string {
	switch r {
	case ReasonEvacuated:
		return "evacuated"
	case ReasonCold:
		return "cold"
	}
	names := [...]string{"none", "wrong_service", "draining", "unready", "silent", "full", "not_held", "lost", "other_flow"}
	if int(r) < len(names) {
		return names[r]
	}
	return "invalid"
}

// Terms hold the priority, latency objective and deadline of a flow's requests. Times
// are truncated to milliseconds; 0 means none.
type Terms struct {
	Priority  uint8 // 0 is the highest
	Objective time.Duration
	Deadline  time.Duration
}

func (t Terms) append(dst []byte) []byte {
	dst = append(dst, t.Priority)
	dst = binary.BigEndian.AppendUint16(dst, clampMillis(t.Objective))
	return binary.BigEndian.AppendUint16(dst, clampMillis(t.Deadline))
}

// Class returns a number that is equal for requests of the same terms.
func (t Terms) Class() uint64 {
	return uint64(t.Priority)<<32 | uint64(clampMillis(t.Objective))<<16 | uint64(clampMillis(t.Deadline))
}

func decodeTerms(b []byte) Terms {
	return Terms{
		Priority:  b[0],
		Objective: time.Duration(binary.BigEndian.Uint16(b[1:])) * time.Millisecond,
		Deadline:  time.Duration(binary.BigEndian.Uint16(b[3:])) * time.Millisecond,
	}
}

func clampMillis(d time.Duration) uint16 {
	return uint16(min(max(d.Milliseconds(), 0), math.MaxUint16))
}

// Forward carries a packet to an agent. Service is the hash of the name of the service
// that the packet is for, so that an agent whose address was reassigned to another
// service refuses the packet.
type Forward struct {
	Service uint64
	Terms   Terms
	Packet  []byte // aliases the buffer that was decoded
}

// Refuse returns a packet that the target has not processed.
type Refuse struct {
	Reason  Reason
	Service uint64
	Packet  []byte // aliases the buffer that was decoded
}

// Opened notifies the balancer that forwarded an opening packet: the target answered it.
type Opened struct {
	Flow model.Flow `cbor:"1,keyasint"`
}

// QueryEntry is the part of a Query about one flow.
type QueryEntry struct {
	Flow model.Flow
	// Ack is the acknowledgement number of the caller's packet. If two targets answered
	// the opening packet, it identifies the one that the caller chose.
	Ack uint32
}

// Query is sent to an agent or a balancer to look up at most MaxQueryEntries flows.
type Query struct {
	Queries []QueryEntry
}

// FlowStatus is what an agent knows about whether its target holds a flow.
type FlowStatus uint8

// The flow statuses. Unsure means that the agent started after its target and has seen no
// packet of the flow, or only a probe that is still pending, or that the target holds another
// flow of the same addresses and ports.
const (
	NotHeld FlowStatus = iota + 1
	Held
	Unsure
)

// AnswerEntry is the status of one flow.
type AnswerEntry struct {
	Flow       model.Flow
	FlowStatus FlowStatus
}

// Answer answers a Query, with one AnswerEntry for each QueryEntry.
type Answer struct {
	Answers []AnswerEntry
}

// Hint is the target of a flow according to a balancer's flow table.
type Hint struct {
	Flow   model.Flow
	Target netip.AddrPort // invalid for an unknown flow
}

// Hints answers a KindHintQuery, with one Hint for each QueryEntry.
type Hints struct {
	Hints []Hint
}

// Hello announces that its sender is alive, and asks an agent for a Report.
type Hello struct {
	Node        model.NodeID      `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	// Revision is the store revision of the configuration in effect, 0 for none.
	Revision uint64 `cbor:"3,keyasint,omitzero"`
	// Agents are addresses of recently started agents, or of all agents that the sender
	// reaches if the receiver has set WantAgents.
	Agents []netip.AddrPort `cbor:"4,keyasint,omitempty"`
	// WantAgents asks for all agents. A balancer sets it in the first seconds after its start.
	WantAgents bool `cbor:"5,keyasint,omitzero"`
	Reply      bool `cbor:"6,keyasint,omitzero"` // replies to a Hello and gets no reply itself
	// Lost are agents that have stopped reporting to the sender. Sent to balancers: an
	// agent that all balancers lost is unreachable, while the loss by a single balancer
	// may be due to its own link.
	Lost []netip.AddrPort `cbor:"7,keyasint,omitempty"`
	// Decisions is the store revision at which the decision files in effect were read.
	// DecisionDigest is a hash of them, 0 for no files.
	Decisions      uint64 `cbor:"8,keyasint,omitzero"`
	DecisionDigest uint64 `cbor:"9,keyasint,omitzero"`
	// DataCentre is the sender's data centre. Sent to balancers.
	DataCentre model.DataCentre `cbor:"10,keyasint,omitzero"`
	// NoStore is set if the sender cannot read the store for others: it is stopping, or its
	// last call to the store failed. Sent to balancers.
	NoStore bool `cbor:"11,keyasint,omitzero"`
	// ConfigVersion is the operator's version of the configuration in effect.
	ConfigVersion int64 `cbor:"12,keyasint,omitzero"`
	// Epoch is the highest known epoch of the store, 0 if it is not known.
	Epoch uint64 `cbor:"13,keyasint,omitzero"`
	// EpochAgeMillis is how long the sender has known the epoch, limited to an hour.
	EpochAgeMillis int64 `cbor:"14,keyasint,omitzero"`
	// DecisionsEpoch is the epoch of the store in which the decision files were read.
	DecisionsEpoch uint64 `cbor:"16,keyasint,omitzero"`
	// Unlisted is set if the store did not list the receiving agent lately. Sent to agents.
	Unlisted bool `cbor:"15,keyasint,omitzero"`
	// ConfigAgeMillis is the time since the configuration in effect was known to be the last
	// one in the store, rounded up; 0 if it is not known. Sent to balancers.
	ConfigAgeMillis int64 `cbor:"18,keyasint,omitzero"`
	// DecisionsAgeMillis is the same for the decision files.
	DecisionsAgeMillis int64 `cbor:"19,keyasint,omitzero"`
	// ID increases with each hello of the sending process to an agent. The first one is
	// random, so that the IDs of successive processes differ.
	ID uint64 `cbor:"17,keyasint,omitzero"`
	// Evacuations is nil if the sender has no view that others may rely on.
	Evacuations *Evacuations `cbor:"20,keyasint,omitempty"`
	// ColdFlowsPerSecond is the rate of new flows that a cold target of the receiving agent's
	// service bears, 0 for any, and nil if the configuration tells none. Sent to agents.
	ColdFlowsPerSecond *float64 `cbor:"21,keyasint,omitempty"`
}

// ListingQuery asks a store reader for a listing that starts after the receipt of the query.
type ListingQuery struct {
	ID uint64 `cbor:"1,keyasint"` // returned in the answer
}

// Listing is one part of the agents that the store listed after the receipt of a query.
type Listing struct {
	ID     uint64           `cbor:"1,keyasint"` // of the ListingQuery
	Part   int              `cbor:"2,keyasint"` // from 0
	Parts  int              `cbor:"3,keyasint"` // number of parts, at least 1
	Agents []netip.AddrPort `cbor:"4,keyasint,omitempty"`
	Epoch  uint64           `cbor:"5,keyasint,omitzero"` // of the store
}

// TargetState is the state of a target as reported by its agent.
type TargetState uint8

// The states of a target.
const (
	TargetUnknown  TargetState = iota // not known yet, or balancers may not know the agent yet
	TargetReady                       // accepts flows
	TargetDraining                    // keeps its flows, accepts no new ones
	TargetSilent                      // does not answer
	TargetGone                        // exited
)

// String returns the state as used in logs.
func (s TargetState) String() string {
	names := [...]string{"unknown", "ready", "draining", "silent", "gone"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// Report is an agent's state and load.
type Report struct {
	Node        model.NodeID      `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"` // of the agent
	Sequence    uint64            `cbor:"3,keyasint"` // increases within an incarnation
	DataCentre  model.DataCentre  `cbor:"4,keyasint"`
	Service     model.ServiceName `cbor:"5,keyasint"`
	State       TargetState       `cbor:"6,keyasint"`
	Slots       int               `cbor:"7,keyasint"`
	// BusyCenti is the average number of requests in progress, times 100.
	BusyCenti int `cbor:"8,keyasint,omitzero"`
	Flows     int `cbor:"9,keyasint,omitzero"`
	// ColdMillis is the remaining warm-up time of the target, in which it is slower.
	ColdMillis int `cbor:"10,keyasint,omitzero"`
	// Balancers are the peer addresses of balancers that send hellos to the agent.
	Balancers []netip.AddrPort `cbor:"11,keyasint,omitempty"`
	// TargetStartMillis is the target's start time by its own clock, in Unix milliseconds.
	TargetStartMillis int64 `cbor:"12,keyasint,omitzero"`
	// Empty is set if the target certainly holds no flow and accepts none.
	Empty bool `cbor:"13,keyasint,omitzero"`
	// FailingCenti is the percentage of the target's recent requests that failed.
	FailingCenti int `cbor:"14,keyasint,omitzero"`
	// Ended is set in the last report of an agent whose target has exited. No flow is left
	// at the target, and this incarnation of the agent reports no more.
	Ended bool `cbor:"15,keyasint,omitzero"`
	// HelloID is the ID of the receiver's last hello, 0 if the agent has received none. It
	// is nil in the reports of agents of an earlier release.
	HelloID *uint64 `cbor:"16,keyasint,omitempty"`
	// Evacuated is set if the agent refuses new flows because its data centre is evacuated.
	// The state is TargetDraining then.
	Evacuated bool `cbor:"20,keyasint,omitzero"`
	// CertainInMillis is the time until the agent expects to know all flows of its target. It
	// is 0 if the agent knows them, or has no reason to expect so before the idle timeout.
	CertainInMillis int `cbor:"25,keyasint,omitzero"`
	// MeasuresPace is set if the agent measures service times, even while it knows none.
	MeasuresPace bool `cbor:"35,keyasint,omitzero"`
	// ServiceTimes are the target's recent service times by class.
	ServiceTimes []ServiceTime `cbor:"36,keyasint,omitempty"`
	// Waiting is the number of requests that wait at the agent for a slot. It is reported
	// only together with MeasuresPace.
	Waiting int `cbor:"37,keyasint,omitzero"`
}

// ServiceTime is the average service time of the requests of one class.
type ServiceTime struct {
	Class   uint64 `cbor:"1,keyasint"` // see Terms.Class
	Micros  int64  `cbor:"2,keyasint"`
	Samples int    `cbor:"3,keyasint"` // number of recent answers behind the average
}

// Message is a decoded message. Only the field of its kind is set.
type Message struct {
	Kind    Kind
	Forward Forward
	Refuse  Refuse
	Opened  Opened
	Query   Query // of a KindHolderQuery or KindHintQuery
	Answer  Answer
	Hints   Hints
	Hello   Hello
	Report  Report

	ListingQuery ListingQuery
	Listing      Listing
}

// ErrMalformed is returned for a datagram that is not a valid message of this format.
var ErrMalformed = errors.New("malformed peer message")

// AppendForward appends the encoding of f.
func AppendForward(dst []byte, f Forward) []byte {
	dst = append(dst, magic, Format, byte(KindForward), 0)
	return append(f.Terms.append(binary.BigEndian.AppendUint64(dst, f.Service)), f.Packet...)
}

// AppendRefuse appends the encoding of r.
func AppendRefuse(dst []byte, r Refuse) []byte {
	dst = append(dst, magic, Format, byte(KindRefuse), byte(r.Reason))
	return append(Terms{}.append(binary.BigEndian.AppendUint64(dst, r.Service)), r.Packet...)
}

// Append appends the encoding of m.
func Append(dst []byte, m Message) ([]byte, error) {
	var body any
	switch m.Kind {
	case KindForward:
		return AppendForward(dst, m.Forward), nil
	case KindRefuse:
		return AppendRefuse(dst, m.Refuse), nil
	case KindOpened:
		body = m.Opened
	case KindHolderQuery, KindHintQuery:
		return m.Query.append(append(dst, magic, Format, byte(m.Kind))), nil
	case KindHints:
		return m.Hints.append(append(dst, magic, Format, byte(m.Kind))), nil
	case KindHolderAnswer:
		return m.Answer.append(append(dst, magic, Format, byte(m.Kind))), nil
	case KindHello:
		body = m.Hello
	case KindReport:
		body = m.Report
	case KindListingQuery:
		body = m.ListingQuery
	case KindListing:
		body = m.Listing
	default:
		return dst, fmt.Errorf("%w: kind %d", ErrMalformed, m.Kind)
	}
	b, err := cbor.Marshal(body)
	if err != nil {
		return dst, err
	}
	return append(append(dst, magic, Format, byte(m.Kind)), b...), nil
}

// Decode decodes a datagram. The packet of a Forward or Refuse aliases b.
func Decode(b []byte) (Message, error) {
	if len(b) < headerLen || b[0] != magic || b[1] != Format {
		return Message{}, ErrMalformed
	}
	m := Message{Kind: Kind(b[2])}
	var body any
	switch m.Kind {
	case KindForward, KindRefuse:
		if len(b) < forwardHeaderLen {
			return Message{}, ErrMalformed
		}
		service, packet := binary.BigEndian.Uint64(b[headerLen+1:]), b[forwardHeaderLen:]
		if m.Kind == KindForward {
			m.Forward = Forward{Service: service, Terms: decodeTerms(b[headerLen+9:]), Packet: packet}
		} else {
			m.Refuse = Refuse{Reason: Reason(b[headerLen]), Service: service, Packet: packet}
		}
		return m, nil
	case KindOpened:
		body = &m.Opened
	case KindHolderQuery, KindHintQuery:
		return m, m.Query.decode(b[headerLen:])
	case KindHints:
		return m, m.Hints.decode(b[headerLen:])
	case KindHolderAnswer:
		return m, m.Answer.decode(b[headerLen:])
	case KindHello:
		body = &m.Hello
	case KindReport:
		body = &m.Report
	case KindListingQuery:
		body = &m.ListingQuery
	case KindListing:
		body = &m.Listing
	default:
		return Message{}, fmt.Errorf("%w: kind %d", ErrMalformed, b[2])
	}
	if err := cbor.Unmarshal(b[headerLen:], body); err != nil {
		return Message{}, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return m, nil
}
