package route

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	maxSends       = 3 // of one question, as between agents
	maxWaitPerFlow = 4 // packets; the caller sends later ones again

	// maxAskedPerService is the number of members of one service that are asked
	// about a flow. The first two homes among them know a holder elsewhere.
	maxAskedPerService = 8
	// maxAsked bounds the members asked about one flow when many services owned
	// the address lately.
	maxAsked = 32
)

// asks holds the questions to former holders that are not answered yet.
type asks struct {
	byFlow  map[model.Flow]*ask
	byID    map[uint64]*ask
	order   []*ask // by time of the first send
	lastID  uint64
	waiting int // packets
}

func newAsks() asks {
	return asks{byFlow: make(map[model.Flow]*ask), byID: make(map[uint64]*ask)}
}

// ask is one flow that former holders are asked about.
type ask struct {
	id      uint64
	flow    model.Flow
	hash    uint64
	since   time.Time // of the move that the asked members belong to
	packets []waitingPacket
	asked   []asked
	sends   int
	resend  time.Time
}

type waitingPacket struct {
	ref     Ref
	opening bool
}

type asked struct {
	svc  *service
	id   model.NodeID
	hash uint64 // of id
	none bool   // answered that it does not hold the flow
}

// wait takes a packet of a flow that must be asked about.
func (r *Router) wait(now time.Time, ev Waiting) []Action {
	at := r.addrs[ev.Flow.ServiceAddr()]
	hash := ev.Flow.Hash()
	opening := ev.Opening && ev.Flow.Proto == model.TCP // as in Route
	if at.move == nil {
		return []Action{Release{ev.Ref, r.toHome(now, at.owner, hash, opening)}}
	}
	// An answer may have come since Route gave its verdict.
	if d := r.routeMoved(now, at, hash, opening); d.Verdict != Ask {
		return []Action{Release{ev.Ref, d}}
	}
	q := r.asks.byFlow[ev.Flow]
	switch {
	case r.asks.waiting >= r.opts.MaxWaiting || q != nil && len(q.packets) >= maxWaitPerFlow:
		return []Action{Release{ev.Ref, Decision{Verdict: Drop, Reason: ReasonWaitingFull}}}
	case q == nil && len(r.asks.byFlow) >= r.opts.MaxAsks:
		return []Action{Release{ev.Ref, Decision{Verdict: Drop, Reason: ReasonAsksFull}}}
	}
	r.asks.waiting++
	p := waitingPacket{ref: ev.Ref, opening: opening}
	if q != nil {
		q.packets = append(q.packets, p)
		return nil
	}
	q = &ask{flow: ev.Flow, hash: hash, packets: []waitingPacket{p}}
	r.asks.byFlow[ev.Flow] = q
	r.asks.order = append(r.asks.order, q)
	return r.start(now, q, at)
}

// start asks the present former holders about a flow.
func (r *Router) start(now time.Time, q *ask, at address) []Action {
	delete(r.asks.byID, q.id)
	r.asks.lastID++
	q.id, q.since, q.sends = r.asks.lastID, at.move.since, 0
	q.asked = r.formerHolders(now, q.asked[:0], at, q.hash)
	r.asks.byID[q.id] = q
	return r.send(now, q)
}

// send asks the members that have not answered.
func (r *Router) send(now time.Time, q *ask) []Action {
	var out []Action
	for _, a := range q.asked {
		if !a.none {
			out = append(out, q.sendTo(a))
		}
	}
	q.sends++
	q.resend = now.Add(r.opts.AskInterval)
	return out
}

// sendTo never sets FlowAsk.Opening: an agent would record the balancer as the
// tentative holder.
func (q *ask) sendTo(a asked) Action {
	return Send{a.id, message.FlowAsk{ID: q.id, Service: a.svc.name, Flow: q.flow}}
}

// formerHolders appends the members to ask: of each service that owned the
// address within the move window the top ones by rank, and those that announced
// the address. Where too many announced it, the top ones of the service stand
// in for them, as the first two homes know the holder.
func (r *Router) formerHolders(now time.Time, dst []asked, at address, hash uint64) []asked {
	add := func(s *service, m *member) {
		known := slices.ContainsFunc(dst, func(a asked) bool { return a.svc == s && a.hash == m.hash })
		if !known && len(dst) < maxAsked {
			dst = append(dst, asked{svc: s, id: m.id, hash: m.hash})
		}
	}
	announced := make(map[*service]int)
	for _, a := range at.move.announcers {
		m := a.svc.find(a.hash)
		if m == nil || a.svc == at.owner {
			continue
		}
		if announced[a.svc]++; announced[a.svc] <= maxAskedPerService {
			add(a.svc, m)
		} else if announced[a.svc] == maxAskedPerService+1 {
			for _, m := range a.svc.topLive(hash, maxAskedPerService) {
				add(a.svc, m)
			}
		}
	}
	for _, f := range at.move.former {
		s := r.current(f.svc)
		if s == at.owner || !now.Before(f.until) {
			continue
		}
		for _, m := range s.topLive(hash, maxAskedPerService) {
			add(s, m)
		}
	}
	return dst
}

// answer handles an answer of a former holder. An answer that names another
// holder may rest on a record of a flow that has ended: packets of an open flow
// are sent by it, opening packets wait for the answer of the named holder.
func (r *Router) answer(now time.Time, ev FlowAnswer) []Action {
	q := r.asks.byID[ev.Msg.ID]
	if q == nil || q.flow != ev.Msg.Flow {
		return []Action{Count{ReasonAnswerIgnored}}
	}
	i := slices.IndexFunc(q.asked, func(a asked) bool { return a.id == ev.From })
	if i < 0 {
		return []Action{Count{ReasonAnswerIgnored}}
	}
	if ev.Msg.Verdict != message.VerdictHeld {
		q.asked[i].none = true
		return r.settle(now, q)
	}
	at := r.addrs[q.flow.ServiceAddr()]
	s, m := r.holder(now, at, model.HashString(string(ev.Msg.Holder)), true)
	if m == nil {
		// A holder that this balancer does not know: the answering member does.
		if s, m = r.holder(now, at, q.asked[i].hash, true); m == nil {
			return []Action{Count{ReasonAnswerIgnored}}
		}
	}
	r.hints.put(q.hash, m.hash, now)
	d := r.forward(now, s, m)
	if ev.Msg.Holder == ev.From {
		return r.finish(q, d, d)
	}
	out := r.releaseOthers(q, d)
	if len(q.packets) == 0 {
		return append(out, r.finish(q, d, d)...)
	}
	q.asked[i].none = true
	known := slices.ContainsFunc(q.asked, func(a asked) bool { return a.id == m.id })
	if !known && s != at.owner && len(q.asked) < maxAsked {
		named := asked{svc: s, id: m.id, hash: m.hash}
		q.asked = append(q.asked, named)
		q.sends, q.resend = 1, now.Add(r.opts.AskInterval)
		out = append(out, q.sendTo(named))
	}
	return append(out, r.settle(now, q)...)
}

// settle ends a question when all members that are not gone answered that they
// do not hold the flow, or when nobody is left to ask. After another move it asks again.
func (r *Router) settle(now time.Time, q *ask) []Action {
	at := r.addrs[q.flow.ServiceAddr()]
	if at.move == nil || !r.anyFormer(now, at) {
		return r.finishAtOwner(now, q, at)
	}
	for _, a := range q.asked {
		if !a.none && r.current(a.svc).find(a.hash) != nil {
			return nil
		}
	}
	if !at.move.since.Equal(q.since) {
		return r.start(now, q, at)
	}
	r.hints.put(q.hash, notFormer, now)
	return r.finishAtOwner(now, q, at)
}

func (r *Router) finishAtOwner(now time.Time, q *ask, at address) []Action {
	return r.finish(q, r.toHome(now, at.owner, q.hash, true), r.toHome(now, at.owner, q.hash, false))
}

// finishUnanswered ends a question that is still open after the last send. New
// connections must not wait for a dead target, so opening packets go to the
// owner. The hint makes the packets that follow go there too, instead of being
// dropped until the target is gone.
func (r *Router) finishUnanswered(now time.Time, q *ask) []Action {
	at := r.addrs[q.flow.ServiceAddr()]
	opening := r.toHome(now, at.owner, q.hash, true)
	var out []Action
	for _, p := range q.packets {
		if p.opening && opening.Verdict == Forward {
			r.hints.put(q.hash, model.HashString(string(opening.To)), now)
			out = append(out, Count{ReasonOpenedUnanswered})
		}
	}
	return append(out, r.finish(q, opening, Decision{Verdict: Drop, Reason: ReasonAskTimeout})...)
}

// releaseOthers ends the wait of the packets that are not opening ones.
func (r *Router) releaseOthers(q *ask, d Decision) []Action {
	var out []Action
	for _, p := range q.packets {
		if !p.opening {
			out = append(out, Release{p.ref, d})
		}
	}
	q.packets = slices.DeleteFunc(q.packets, func(p waitingPacket) bool { return !p.opening })
	r.asks.waiting -= len(out)
	return out
}

// finish ends a question and the wait of its packets: opening packets get one
// decision, all others the other.
func (r *Router) finish(q *ask, opening, other Decision) []Action {
	out := make([]Action, 0, len(q.packets))
	for _, p := range q.packets {
		if p.opening {
			out = append(out, Release{p.ref, opening})
		} else {
			out = append(out, Release{p.ref, other})
		}
	}
	r.asks.waiting -= len(q.packets)
	q.packets = nil
	delete(r.asks.byFlow, q.flow)
	delete(r.asks.byID, q.id)
	r.asks.order = slices.DeleteFunc(r.asks.order, func(o *ask) bool { return o == q })
	return out
}

// tick ends moves whose window is over, and repeats or ends the questions that
// are due.
func (r *Router) tick(now time.Time) []Action {
	for a := range r.moved {
		r.prune(now, a)
	}
	var out []Action
	for _, q := range slices.Clone(r.asks.order) {
		if now.Before(q.resend) {
			continue
		}
		out = append(out, r.settle(now, q)...) // members that are gone count as answers
		switch {
		case r.asks.byID[q.id] != q || now.Before(q.resend): // ended, or asked anew
		case q.sends < maxSends:
			out = append(out, Count{ReasonAskRepeated})
			out = append(out, r.send(now, q)...)
		default:
			out = append(out, r.finishUnanswered(now, q)...)
		}
	}
	return out
}
