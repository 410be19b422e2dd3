// Package route is the core of a balancer: it decides for each packet which
// agent gets it. A decision needs no state of the flow. Hints save a hop, and
// former holders are asked about packets on addresses that were moved between
// services.
package route

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/packet"
)

// HopLimit is the number of agents that may pass on a packet: the home, a holder
// that it names, and two more while views differ.
const HopLimit = 4

// Defaults of Options.
const (
	DefaultSettle       = 5 * time.Second
	DefaultMoveWindow   = 30 * time.Second
	DefaultAskInterval  = 100 * time.Millisecond
	DefaultHintCapacity = 1 << 16
	DefaultMaxAsks      = 1024
	DefaultMaxWaiting   = 2048
)

// Options configure a Router; zero fields get the defaults.
type Options struct {
	Self model.NodeID
	// Settle bounds how long an answer about a former holder is relied on,
	// unless that holder announces the address.
	Settle time.Duration
	// MoveWindow is how long a service is asked about an address after this
	// balancer saw the address move away from it.
	MoveWindow time.Duration
	// AskInterval is the time between the sends of an unanswered ask.
	AskInterval time.Duration
	// HintCapacity is the number of flows that hints are kept for.
	HintCapacity int
	// MaxAsks bounds the flows that are asked about at once, MaxWaiting the
	// packets that wait for the answers.
	MaxAsks, MaxWaiting int
}

// Verdict is what to do with a packet.
type Verdict uint8

// The verdicts.
const (
	// Forward: send the packet to Decision.To.
	Forward Verdict = iota + 1
	// Drop: count Decision.Reason.
	Drop
	// Reset: count Decision.Reason and send the caller a reset.
	Reset
	// Ask: keep the packet and hand its Ref to Step in a Waiting event.
	Ask
)

// Reason labels the counter of a drop, a reset or another event.
type Reason string

// The reasons.
const (
	// ReasonNoService: no service claims the destination address.
	ReasonNoService Reason = "no_service"
	// ReasonNoTarget: the service has no target that takes the packet.
	ReasonNoTarget Reason = "no_target"
	// ReasonAskTimeout: former holders did not answer about a packet that is not
	// an opening one.
	ReasonAskTimeout Reason = "ask_timeout"
	// ReasonOpenedUnanswered: an opening packet went to the owner of the address
	// without the answer of every former holder.
	ReasonOpenedUnanswered Reason = "opened_unanswered"
	// ReasonAsksFull: too many flows are asked about.
	ReasonAsksFull Reason = "asks_full"
	// ReasonWaitingFull: too many packets wait, of this flow or in all.
	ReasonWaitingFull Reason = "waiting_full"
	// ReasonAskRepeated: an ask was sent again.
	ReasonAskRepeated Reason = "ask_repeated"
	// ReasonHintIgnored: the holder of a hint is not a target of the service.
	ReasonHintIgnored Reason = "hint_ignored"
	// ReasonAnswerIgnored: an answer that nobody waits for.
	ReasonAnswerIgnored Reason = "answer_ignored"
)

// Decision is the verdict on one packet. To, Service and ViewHash are set for
// Forward, Reason is set for Drop and Reset.
type Decision struct {
	Verdict  Verdict
	To       model.NodeID
	Service  model.ServiceName // of the target, not of a former or later owner of the address
	ViewHash uint64
	Reason   Reason
}

// Router is the routing state of one balancer. It is not safe for concurrent use.
type Router struct {
	opts     Options
	services map[model.ServiceName]*service
	addrs    map[model.ServiceAddr]address
	moved    map[model.ServiceAddr]struct{} // the addresses with a move
	held     map[*service][]heldAddr
	hints    hintTable
	asks     asks
}

// New returns a router without services; it drops every packet until it has views.
func New(o Options) *Router {
	setDefault(&o.Settle, DefaultSettle)
	setDefault(&o.MoveWindow, DefaultMoveWindow)
	setDefault(&o.AskInterval, DefaultAskInterval)
	setDefault(&o.HintCapacity, DefaultHintCapacity)
	setDefault(&o.MaxAsks, DefaultMaxAsks)
	setDefault(&o.MaxWaiting, DefaultMaxWaiting)
	return &Router{
		opts:     o,
		services: make(map[model.ServiceName]*service),
		addrs:    make(map[model.ServiceAddr]address),
		moved:    make(map[model.ServiceAddr]struct{}),
		held:     make(map[*service][]heldAddr),
		hints:    newHintTable(o.HintCapacity),
		asks:     newAsks(),
	}
}

func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Route decides about one packet. It does not allocate.
func (r *Router) Route(now time.Time, p *packet.Info) Decision {
	at, ok := r.addrs[p.Flow.ServiceAddr()]
	if !ok {
		return Decision{Verdict: Drop, Reason: ReasonNoService}
	}
	hash := p.Flow.Hash()
	// A UDP packet does not tell whether it opens a flow, so it is treated like
	// a later packet of one.
	opening := p.Flow.Proto == model.TCP && p.Opening()
	if at.move != nil {
		return r.routeMoved(now, at, hash, opening)
	}
	if at.owner == nil {
		return Decision{Verdict: Drop, Reason: ReasonNoService}
	}
	if !opening && len(at.owner.members) > 1 {
		if h := r.hints.get(hash); h != nil {
			if m := at.owner.find(h.holder); m != nil {
				return r.forward(now, at.owner, m)
			}
		}
	}
	return r.toHome(now, at.owner, hash, opening)
}

// Home returns the decision about a packet that opens a flow which nobody holds.
func (r *Router) Home(now time.Time, f model.Flow) Decision {
	return r.toHome(now, r.addrs[f.ServiceAddr()].owner, f.Hash(), true)
}

// toHome sends a packet to the flow's home. Without an active target, packets
// of open flows still go to those that may hold them.
func (r *Router) toHome(now time.Time, s *service, hash uint64, opening bool) Decision {
	if s == nil {
		return Decision{Verdict: Drop, Reason: ReasonNoService}
	}
	r.refresh(now, s)
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

func (r *Router) forward(now time.Time, s *service, m *member) Decision {
	r.refresh(now, s)
	return Decision{Verdict: Forward, To: m.id, Service: s.name, ViewHash: s.fingerprint}
}
