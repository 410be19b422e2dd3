// Package steerwire is the codec of the messages between balancers and agents
// whose targets end flows themselves. Forwarded packets have a fixed head that
// is read in place, because every packet of every caller passes here; the lists of
// searches are packed, and all other messages are CBOR. Messages carry no authentication: the deployment must keep
// the peer addresses reachable for its own VMs only.
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

// Format is the version of the messages. Other versions are dropped.
const Format = 1

const (
	magic = 0xB5
	// headLen is the length of magic, format and kind.
	headLen = 3
	// forwardLen is the length of a Forward or Refuse without its packet: reason,
	// service and terms. A Forward has no reason, a Refuse no terms.
	forwardLen = headLen + 1 + 8 + termsLen
	// termsLen is the length of Terms: priority, objective and deadline in milliseconds.
	termsLen = 1 + 2 + 2
	// MaxMessage bounds a message: a packet of a flow and the longest head.
	MaxMessage = 2048
	// MaxPeers bounds the addresses in one message, so that it fits MaxMessage.
	MaxPeers = 64
	// MaxQuestions bounds the questions in one message, for the same reason.
	MaxQuestions = 32
)

// Kind tells the messages apart.
type Kind uint8

// The kinds of message.
const (
	KindForward Kind = iota + 1 // balancer to agent: a packet of a flow
	KindRefuse                  // agent to balancer: a packet that was not delivered
	KindOpened                  // agent to balancer: the target holds the flow
	KindAsk                     // balancer to agent: does the target hold the flow?
	KindAnswer                  // agent to balancer
	KindHello                   // balancer to agents and balancers
	KindReport                  // agent to balancers
	KindFind                    // balancer to balancers of its data centre: which target has the flow?
	KindHints                   // the answer
)

// Reason tells why an agent hands a packet back.
type Reason uint8

// The reasons of a Refuse.
const (
	ReasonWrongService Reason = iota + 1 // the target serves another service
	ReasonDraining                       // the target takes no new flows
	ReasonUnready                        // nothing is known of the target yet
	ReasonSilent                         // the target stopped answering
	ReasonFull                           // the target bounced the opening packet
	ReasonNotHeld                        // the flow is not at this target
	ReasonLost                           // the target held the flow and no longer does
)

// String returns the reason as used in logs and counters.
func (r Reason) String() string {
	names := [...]string{"none", "wrong_service", "draining", "unready", "silent", "full", "not_held", "lost"}
	if int(r) < len(names) {
		return names[r]
	}
	return "invalid"
}

// Terms tell how urgent the requests of a flow are. Times are rounded to
// milliseconds; 0 is none.
type Terms struct {
	Priority  uint8 // 0 is the most urgent
	Objective time.Duration
	Deadline  time.Duration
}

func (t Terms) append(dst []byte) []byte {
	dst = append(dst, t.Priority)
	dst = binary.BigEndian.AppendUint16(dst, clampMillis(t.Objective))
	return binary.BigEndian.AppendUint16(dst, clampMillis(t.Deadline))
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

// Forward carries a packet to an agent. Service is the hash of the name of the
// service that the balancer means, so that an address that was given to another
// service refuses it.
type Forward struct {
	Service uint64
	Terms   Terms
	Packet  []byte // aliases the buffer that was decoded
}

// Refuse hands a packet back. The target has not processed it.
type Refuse struct {
	Reason  Reason
	Service uint64
	Packet  []byte // aliases the buffer that was decoded
}

// Opened tells the balancer that forwarded the opening packet that the target answered it.
type Opened struct {
	Flow model.Flow `cbor:"1,keyasint"`
}

// Question asks whether the target holds a flow.
type Question struct {
	Flow model.Flow
	// Ack is the acknowledgement number of the caller's packet. It tells which of
	// two targets that answered the opening packet the caller chose.
	Ack uint32
}

// Ask carries at most MaxQuestions questions.
type Ask struct {
	Questions []Question
}

// Holding is an agent's knowledge of a flow.
type Holding uint8

// The values of Holding. Unsure means that the agent started after its target
// and has not seen the flow.
const (
	NotHeld Holding = iota + 1
	Held
	Unsure
)

// Verdict is an agent's knowledge of one flow.
type Verdict struct {
	Flow    model.Flow
	Holding Holding
}

// Answer answers an Ask, question by question.
type Answer struct {
	Verdicts []Verdict
}

// Hint tells which target has a flow, as a balancer remembers it.
type Hint struct {
	Flow   model.Flow
	Target netip.AddrPort // invalid for an unknown flow
}

// Hints answers the questions of a KindFind, one by one.
type Hints struct {
	Hints []Hint
}

// Hello tells a peer that its sender lives and asks an agent for a Report.
type Hello struct {
	Node        model.NodeID      `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	// Revision is the store revision of the configuration in effect, 0 for none.
	Revision uint64 `cbor:"3,keyasint,omitzero"`
	// Agents are addresses of agents that the sender heard of lately, or all
	// that it knows if the receiver wants them.
	Agents []netip.AddrPort `cbor:"4,keyasint,omitempty"`
	// WantAgents asks for all agents, from a balancer that started.
	WantAgents bool `cbor:"5,keyasint,omitzero"`
	Reply      bool `cbor:"6,keyasint,omitzero"` // answers a Hello; is not answered
	// Lost are agents that the sender has not heard for long, for other balancers:
	// what all of them lost is gone, what one lost may be its own fault.
	Lost []netip.AddrPort `cbor:"7,keyasint,omitempty"`
	// Decisions is the store revision at which the decision files in effect were read,
	// DecisionDigest a hash of them, 0 for no files.
	Decisions      uint64 `cbor:"8,keyasint,omitzero"`
	DecisionDigest uint64 `cbor:"9,keyasint,omitzero"`
	// DataCentre is that of a balancer, for other balancers.
	DataCentre model.DataCentre `cbor:"10,keyasint,omitzero"`
}

// TargetState is what an agent says of its target.
type TargetState uint8

// The states of a target.
const (
	TargetUnknown  TargetState = iota // the agent has not heard from it
	TargetReady                       // takes flows
	TargetDraining                    // keeps its flows, takes no new ones
	TargetSilent                      // does not answer
	TargetGone                        // ended
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
	Sequence    uint64            `cbor:"3,keyasint"` // rises within an incarnation
	DataCentre  model.DataCentre  `cbor:"4,keyasint"`
	Service     model.ServiceName `cbor:"5,keyasint"`
	State       TargetState       `cbor:"6,keyasint"`
	Slots       int               `cbor:"7,keyasint"`
	// BusyCenti is the average number of requests in progress, in hundredths.
	BusyCenti int `cbor:"8,keyasint,omitzero"`
	Flows     int `cbor:"9,keyasint,omitzero"`
	// ColdMillis is how much longer the target stays slow after its start.
	ColdMillis int `cbor:"10,keyasint,omitzero"`
	// Balancers are the peer addresses of balancers that the agent hears from.
	Balancers []netip.AddrPort `cbor:"11,keyasint,omitempty"`
	// BornMillis is the start of the target, Unix milliseconds by its clock.
	BornMillis int64 `cbor:"12,keyasint,omitzero"`
	// Empty means that the target certainly holds no flow and takes none.
	Empty bool `cbor:"13,keyasint,omitzero"`
	// FailingCenti is the share of the target's requests that failed lately, in hundredths.
	FailingCenti int `cbor:"14,keyasint,omitzero"`
}

// Message is one decoded message; only the field of its kind is set.
type Message struct {
	Kind    Kind
	Forward Forward
	Refuse  Refuse
	Opened  Opened
	Ask     Ask // also of a KindFind
	Answer  Answer
	Hints   Hints
	Hello   Hello
	Report  Report
}

// ErrMalformed is the error of a datagram that is no message of this format.
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
	case KindAsk, KindFind:
		return m.Ask.append(append(dst, magic, Format, byte(m.Kind))), nil
	case KindHints:
		return m.Hints.append(append(dst, magic, Format, byte(m.Kind))), nil
	case KindAnswer:
		return m.Answer.append(append(dst, magic, Format, byte(m.Kind))), nil
	case KindHello:
		body = m.Hello
	case KindReport:
		body = m.Report
	default:
		return dst, fmt.Errorf("%w: kind %d", ErrMalformed, m.Kind)
	}
	b, err := cbor.Marshal(body)
	if err != nil {
		return dst, err
	}
	return append(append(dst, magic, Format, byte(m.Kind)), b...), nil
}

// Decode reads a datagram. Packets alias b.
func Decode(b []byte) (Message, error) {
	if len(b) < headLen || b[0] != magic || b[1] != Format {
		return Message{}, ErrMalformed
	}
	m := Message{Kind: Kind(b[2])}
	var body any
	switch m.Kind {
	case KindForward, KindRefuse:
		if len(b) < forwardLen {
			return Message{}, ErrMalformed
		}
		service, packet := binary.BigEndian.Uint64(b[headLen+1:]), b[forwardLen:]
		if m.Kind == KindForward {
			m.Forward = Forward{Service: service, Terms: decodeTerms(b[headLen+9:]), Packet: packet}
		} else {
			m.Refuse = Refuse{Reason: Reason(b[headLen]), Service: service, Packet: packet}
		}
		return m, nil
	case KindOpened:
		body = &m.Opened
	case KindAsk, KindFind:
		return m, m.Ask.decode(b[headLen:])
	case KindHints:
		return m, m.Hints.decode(b[headLen:])
	case KindAnswer:
		return m, m.Answer.decode(b[headLen:])
	case KindHello:
		body = &m.Hello
	case KindReport:
		body = &m.Report
	default:
		return Message{}, fmt.Errorf("%w: kind %d", ErrMalformed, b[2])
	}
	if err := cbor.Unmarshal(b[headLen:], body); err != nil {
		return Message{}, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return m, nil
}
