// Package route decides for each packet of a balancer which agent it is forwarded to. A decision
// does not require state of the flow; hints save a hop. For an address that moved between services,
// the package queries the former owners' members for the holder of the flow.
package route

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/packet"
)

// HopLimit is the number of agents that may forward a packet: the home, the holder that it names,
// and two more while views differ.
const HopLimit = 4

// The defaults of Options.
const (
	DefaultAnswerTTL     = 5 * time.Second
	DefaultMoveWindow    = 30 * time.Second
	DefaultQueryInterval = 100 * time.Millisecond
	DefaultHintCapacity  = 1 << 16
	DefaultMaxLookups    = 1024
	DefaultMaxBuffered   = 2048
)

// Options configures a Router. Zero values stand for the defaults.
type Options struct {
	Self model.NodeID
	// AnswerTTL bounds how long a lookup result is valid, unless the holder that it names
	// advertises the address.
	AnswerTTL time.Duration
	// MoveWindow is how long the members of a service are queried about an address after this
	// balancer applied the view in which the service lost it.
	MoveWindow time.Duration
	// QueryInterval is the time between two query rounds of a lookup.
	QueryInterval time.Duration
	// HintCapacity is the number of flows that hints are kept for.
	HintCapacity int
	// MaxLookups bounds the pending lookups, MaxBuffered the packets that wait for their results.
	MaxLookups, MaxBuffered int
}

// Verdict is the action to take on a packet.
type Verdict uint8

// The verdicts.
const (
	// Forward: send the packet to Decision.To.
	Forward Verdict = iota + 1
	// Drop: drop the packet and count Decision.Reason.
	Drop
	// Reset: drop the packet, count Decision.Reason and send the caller a reset.
	Reset
	// LookupHolder: buffer the packet and pass its Ref to Step in a Buffered event.
	LookupHolder
)

// Reason labels the counter of a drop, a reset or another event.
type Reason string

// The reasons.
const (
	// ReasonNoService: no service claims the destination address.
	ReasonNoService Reason = "no_service"
	// ReasonNoTarget: the service has no target that accepts the packet.
	ReasonNoTarget Reason = "no_target"
	// ReasonLookupTimeout: some candidates did not answer, and the packet does not open a flow.
	ReasonLookupTimeout Reason = "ask_timeout"
	// ReasonOpenedUnanswered: an opening packet was forwarded to the owner of the address although
	// some candidates did not answer.
	ReasonOpenedUnanswered Reason = "opened_unanswered"
	// ReasonLookupsFull: too many lookups are pending.
	ReasonLookupsFull Reason = "asks_full"
	// ReasonBufferFull: too many packets are buffered, of this flow or in total.
	ReasonBufferFull Reason = "waiting_full"
	// ReasonQueryRepeated: a query round was repeated.
	ReasonQueryRepeated Reason = "ask_repeated"
	// ReasonHintIgnored: a hint names a holder that must not receive packets of the flow.
	ReasonHintIgnored Reason = "hint_ignored"
	// ReasonAnswerIgnored: an answer matches no pending lookup.
	ReasonAnswerIgnored Reason = "answer_ignored"
)

// Decision is the verdict on one packet. To, Service and ViewHash are set for
// Forward, Reason is set for Drop and Reset.
type Decision struct {
	Verdict  Verdict
	To       model.NodeID
	Service  model.ServiceName // of the target, which need not be the owner of the address
	ViewHash uint64
	Reason   Reason
}

// Router is the routing state of one balancer. It is not safe for concurrent use.
type Router struct {
	opts           Options
	services       map[model.ServiceName]*service
	addrs          map[model.ServiceAddr]address
	moved          map[model.ServiceAddr]struct{} // keys of addrs with a move
	advertisements map[*service][]advertisement
	hints          hintTable
	lookups        lookups
}

// New returns a router without services. It drops every packet until SetView is called.
func New(o Options) *Router {
	setDefault(&o.AnswerTTL, DefaultAnswerTTL)
	setDefault(&o.MoveWindow, DefaultMoveWindow)
	setDefault(&o.QueryInterval, DefaultQueryInterval)
	setDefault(&o.HintCapacity, DefaultHintCapacity)
	setDefault(&o.MaxLookups, DefaultMaxLookups)
	setDefault(&o.MaxBuffered, DefaultMaxBuffered)
	return &Router{
		opts:           o,
		services:       make(map[model.ServiceName]*service),
		addrs:          make(map[model.ServiceAddr]address),
		moved:          make(map[model.ServiceAddr]struct{}),
		advertisements: make(map[*service][]advertisement),
		hints:          newHintTable(o.HintCapacity),
		lookups:        newLookups(),
	}
}

func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Route returns the decision about one packet. It does not allocate.
func (r *Router) Route(now time.Time, p *packet.Info) Decision {
	addr, ok := r.addrs[p.Flow.ServiceAddr()]
	if !ok {
		return Decision{Verdict: Drop, Reason: ReasonNoService}
	}
	hash := p.Flow.Hash()
	// A UDP packet does not show whether it opens a flow, so it is treated as not opening.
	opening := p.Flow.Proto == model.TCP && p.Opening()
	if addr.move != nil {
		return r.routeMoved(now, addr, hash, opening)
	}
	if addr.owner == nil {
		return Decision{Verdict: Drop, Reason: ReasonNoService}
	}
	if !opening && len(addr.owner.members) > 1 {
		if h := r.hints.get(hash); h != nil {
			if m := addr.owner.findLive(h.holder); m != nil {
				return r.forward(now, addr.owner, m)
			}
		}
	}
	return r.forwardHome(now, addr.owner, hash, opening)
}

// Home returns the decision about an opening packet of a flow without a holder.
func (r *Router) Home(now time.Time, f model.Flow) Decision {
	return r.forwardHome(now, r.addrs[f.ServiceAddr()].owner, f.Hash(), true)
}

// forwardHome forwards a packet to the flow's home. Without an active target, packets of open flows
// still go to a member that may hold them.
func (r *Router) forwardHome(now time.Time, s *service, hash uint64, opening bool) Decision {
	if s == nil {
		return Decision{Verdict: Drop, Reason: ReasonNoService}
	}
	r.refreshWeights(now, s)
	if m := s.home(hash); m != nil {
		return r.forward(now, s, m)
	}
	if opening {
		return Decision{Verdict: Reset, Reason: ReasonNoTarget}
	}
	if m := s.anyLive(hash); m != nil {
		return r.forward(now, s, m)
	}
	return Decision{Verdict: Drop, Reason: ReasonNoTarget}
}

// forward returns the decision to forward a packet to m, a member of s.
func (r *Router) forward(now time.Time, s *service, m *member) Decision {
	r.refreshWeights(now, s)
	return Decision{Verdict: Forward, To: m.id, Service: s.name, ViewHash: s.fingerprint}
}
