// Package model holds the value types shared by the cores and the runtimes:
// identifiers, flows, members, views of a service and load counts. Types that
// are part of peer messages have integer CBOR keys, which are never reused.
package model

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// NodeID names one balancer or agent process.
type NodeID string

// ServiceName names a service, which has addresses and targets.
type ServiceName string

// DataCentre names a data centre.
type DataCentre string

// Incarnation distinguishes the successive processes of one NodeID. It is the
// boot time in Unix milliseconds, raised above any incarnation that peers report
// for the same NodeID.
type Incarnation uint64

// Protocol is an IP protocol number.
type Protocol uint8

// The protocols that a service address may use.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// String returns the lower-case name of the protocol.
func (p Protocol) String() string {
	switch p {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	}
	return "other"
}

// ServiceAddr is an address that callers connect to.
type ServiceAddr struct {
	Addr  netip.AddrPort `cbor:"1,keyasint,omitzero"`
	Proto Protocol       `cbor:"2,keyasint,omitzero"`
}

// Compare orders service addresses.
func (a ServiceAddr) Compare(b ServiceAddr) int {
	if c := a.Addr.Compare(b.Addr); c != 0 {
		return c
	}
	return cmp.Compare(a.Proto, b.Proto)
}

// String returns the address as "ip:port/protocol".
func (a ServiceAddr) String() string { return a.Addr.String() + "/" + a.Proto.String() }

// Flow is the 5-tuple of a packet from a caller. Src is the address of the
// caller, Dst the address of the service.
type Flow struct {
	Src   netip.AddrPort `cbor:"1,keyasint,omitzero"`
	Dst   netip.AddrPort `cbor:"2,keyasint,omitzero"`
	Proto Protocol       `cbor:"3,keyasint,omitzero"`
}

// ServiceAddr returns the service address that the flow is sent to.
func (f Flow) ServiceAddr() ServiceAddr { return ServiceAddr{Addr: f.Dst, Proto: f.Proto} }

// Compare orders flows, so that a set of flows is iterated in a deterministic order.
func (f Flow) Compare(g Flow) int {
	if c := f.Src.Compare(g.Src); c != 0 {
		return c
	}
	if c := f.Dst.Compare(g.Dst); c != 0 {
		return c
	}
	return cmp.Compare(f.Proto, g.Proto)
}

// Hash returns a hash of the 5-tuple that is the same on every node.
func (f Flow) Hash() uint64 {
	src, dst := f.Src.Addr().As16(), f.Dst.Addr().As16()
	h := uint64(f.Src.Port())<<32 | uint64(f.Dst.Port())<<16 | uint64(f.Proto)
	h = Mix(h ^ be64(src[:8]))
	h = Mix(h ^ be64(src[8:]))
	h = Mix(h ^ be64(dst[:8]))
	return Mix(h ^ be64(dst[8:]))
}

// HashString returns a hash of s that is the same on every node.
func HashString(s string) uint64 {
	h := uint64(14695981039346656037) // FNV-1a offset basis
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211 // FNV prime
	}
	return Mix(h)
}

// Mix is the finalizer of splitmix64.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func be64(b []byte) uint64 {
	_ = b[7]
	return uint64(b[0])<<56 | uint64(b[1])<<48 | uint64(b[2])<<40 | uint64(b[3])<<32 |
		uint64(b[4])<<24 | uint64(b[5])<<16 | uint64(b[6])<<8 | uint64(b[7])
}

// Kind is the role of a member.
type Kind uint8

// The kinds of member.
const (
	KindBalancer Kind = iota + 1
	KindAgent
)

// State is the state of a member.
type State uint8

// The states of a member, in order of precedence: at equal incarnation and
// sequence the later state wins.
const (
	// StateActive accepts new flows and requests.
	StateActive State = iota + 1
	// StateLeaving accepts no new work; its open flows and requests continue.
	StateLeaving
	// StateSuspect is unreachable for its observers; it gets no new work, but lookups
	// still query it.
	StateSuspect
	// StateGone is removed; only its incarnation is kept.
	StateGone
)

// String returns the lower-case name of the state.
func (s State) String() string {
	switch s {
	case StateActive:
		return "active"
	case StateLeaving:
		return "leaving"
	case StateSuspect:
		return "suspect"
	case StateGone:
		return "gone"
	}
	return "invalid"
}

// Member is the record that a balancer or an agent advertises about itself.
// Only the member raises Incarnation and Seq; observers set State to
// StateSuspect or StateGone at the same Incarnation and Seq.
type Member struct {
	ID          NodeID      `cbor:"1,keyasint,omitzero"`
	Kind        Kind        `cbor:"2,keyasint,omitzero"`
	DC          DataCentre  `cbor:"3,keyasint,omitzero"`
	Service     ServiceName `cbor:"4,keyasint,omitzero"` // empty for a balancer
	Incarnation Incarnation `cbor:"5,keyasint,omitzero"`
	Seq         uint64      `cbor:"6,keyasint,omitzero"`
	State       State       `cbor:"7,keyasint,omitzero"`

	PeerAddr    netip.AddrPort `cbor:"8,keyasint,omitzero"`  // UDP: peer messages and forwarded packets
	RequestAddr netip.AddrPort `cbor:"9,keyasint,omitzero"`  // TCP: requests forwarded between agents
	AdminAddr   netip.AddrPort `cbor:"10,keyasint,omitzero"` // TCP: ctl

	Slots    int       `cbor:"11,keyasint,omitzero"` // requests the target runs at once
	MaxFlows int       `cbor:"12,keyasint,omitzero"` // connections the target accepts
	Weight   float64   `cbor:"13,keyasint,omitzero"` // relative share of new work, 1 by default
	Started  time.Time `cbor:"14,keyasint,omitzero"` // start of the warm-up, by the clock of the node that has the record

	// HeldAddrs lists, in order, the addresses that are no longer configured for
	// Service but on which the agent still holds flows.
	HeldAddrs []ServiceAddr `cbor:"15,keyasint,omitzero"`

	// Age is the time since Started. Only records in messages have it, see Sent and Received.
	Age time.Duration `cbor:"16,keyasint,omitzero"`
}

// Sent returns the record as a message carries it.
func (m Member) Sent(now time.Time) Member {
	if !m.Started.IsZero() {
		m.Age = max(now.Sub(m.Started), 1) // 0 stands for a sender that does not know the field
	}
	return m
}

// Received returns a record of a message with Started by the receiver's steady clock. The clocks of
// two nodes may differ and step, so only the age is comparable.
func (m Member) Received(now time.Time) Member {
	if m.Started.IsZero() {
		m.Age = 0
		return m
	}
	if m.Age <= 0 {
		m.Age = now.Sub(m.Started)
	}
	m.Started, m.Age = now.Add(-m.Age), 0
	return m
}

// Target returns the name of the target that an agent serves: its NodeID up to
// the first slash. During a replacement, the old and the new agent of a target run
// side by side; their NodeIDs differ after the slash.
func (m Member) Target() NodeID {
	target, _, _ := strings.Cut(string(m.ID), "/")
	return NodeID(target)
}

// Newer reports whether m replaces old.
func (m Member) Newer(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Seq != old.Seq {
		return m.Seq > old.Seq
	}
	return m.State > old.State
}

// ServiceView is a node's view of one service: its configuration and its
// members, in order of their IDs.
type ServiceView struct {
	Service ServiceName   `cbor:"1,keyasint,omitzero"`
	Addrs   []ServiceAddr `cbor:"2,keyasint,omitzero"`
	Members []Member      `cbor:"3,keyasint,omitzero"`
	Policy  ServicePolicy `cbor:"4,keyasint,omitzero"`

	// Rev increases with each configuration change that affects the service,
	// including one that restores earlier values: a node that received only the
	// views before a change and after its reversal still detects that there were
	// changes. It is not part of the fingerprint.
	Rev uint64 `cbor:"5,keyasint,omitzero"`
}

// Fingerprint returns a hash by which nodes compare their views of a service. It covers
// the service name and the IDs, incarnations, states and configured weights (in thousandths)
// of the members. Effective weights are left out: nodes reach a warm-up step at different times.
func (v ServiceView) Fingerprint() uint64 {
	h := HashString(string(v.Service))
	for i := range v.Members {
		m := &v.Members[i]
		h = Mix(h ^ HashString(string(m.ID)))
		h = Mix(h ^ uint64(m.Incarnation))
		h = Mix(h ^ uint64(m.State)<<32 ^ uint64(int64(m.Weight*1000)))
	}
	return h
}

// SortMembers sorts members by ID.
func SortMembers(ms []Member) {
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
}

// ServicePolicy is the part of a service's configuration that agents apply.
type ServicePolicy struct {
	Queue             int           `cbor:"1,keyasint,omitzero"` // limit of queued requests per target
	Deadline          time.Duration `cbor:"2,keyasint,omitzero"` // of requests that carry none
	Warmup            time.Duration `cbor:"3,keyasint,omitzero"` // ramp of a new target's weight
	KeyRetention      time.Duration `cbor:"4,keyasint,omitzero"` // of the answer to a keyed request
	IdempotentMethods []string      `cbor:"5,keyasint,omitzero"`
}

// DefaultPolicy returns the values of the fields that no decision file sets.
func DefaultPolicy() ServicePolicy {
	return ServicePolicy{
		Queue:             64,
		Deadline:          10 * time.Second,
		Warmup:            30 * time.Second,
		KeyRetention:      time.Hour,
		IdempotentMethods: []string{"GET", "HEAD", "OPTIONS"},
	}
}

// Load is the current load of an agent, counted by the agent itself.
type Load struct {
	Flows  int `cbor:"1,keyasint,omitzero"` // open flows held
	Busy   int `cbor:"2,keyasint,omitzero"` // slots in use
	Queued int `cbor:"3,keyasint,omitzero"` // queued requests
}
