package route

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	maxQueryRounds     = 3 // per lookup, as between agents
	maxBufferedPerFlow = 4 // packets; the caller retransmits later ones

	// maxCandidatesPerService bounds the members of one service that are queried about a flow.
	// The first two homes among them know a holder elsewhere.
	maxCandidatesPerService = 8
	// maxCandidates bounds the members queried about one flow, for addresses that many services
	// owned within the move window.
	maxCandidates = 32
)

// lookups holds the pending lookups of flows at former owners of their addresses.
type lookups struct {
	byFlow   map[model.Flow]*lookup
	byID     map[uint64]*lookup
	order    []*lookup // in order of creation
	lastID   uint64
	buffered int // packets
}

func newLookups() lookups {
	return lookups{byFlow: make(map[model.Flow]*lookup), byID: make(map[uint64]*lookup)}
}

// lookup is the pending search for the holder of one flow among the former owners of its address.
type lookup struct {
	id         uint64
	flow       model.Flow
	hash       uint64
	since      time.Time // move.since when the candidates were collected
	packets    []bufferedPacket
	candidates []candidate
	rounds     int // query rounds sent
	resendAt   time.Time
}

// bufferedPacket waits for the result of a lookup.
type bufferedPacket struct {
	ref     Ref
	opening bool
}

// candidate is a member that may hold the flow.
type candidate struct {
	svc       *service
	id        model.NodeID
	hash      uint64 // of id
	notHolder bool   // answered that it does not hold the flow
}

// bufferPacket adds a packet to the lookup of its flow, which it starts if there is none.
func (r *Router) bufferPacket(now time.Time, ev Buffered) []Action {
	addr := r.addrs[ev.Flow.ServiceAddr()]
	hash := ev.Flow.Hash()
	opening := ev.Opening && ev.Flow.Proto == model.TCP // as in Route
	if addr.move == nil {
		return []Action{Release{ev.Ref, r.forwardHome(now, addr.owner, hash, opening)}}
	}
	// An answer may have arrived since Route returned its verdict.
	if d := r.routeMoved(now, addr, hash, opening); d.Verdict != LookupHolder {
		return []Action{Release{ev.Ref, d}}
	}
	l := r.lookups.byFlow[ev.Flow]
	switch {
	case r.lookups.buffered >= r.opts.MaxBuffered || l != nil && len(l.packets) >= maxBufferedPerFlow:
		return []Action{Release{ev.Ref, Decision{Verdict: Drop, Reason: ReasonBufferFull}}}
	case l == nil && len(r.lookups.byFlow) >= r.opts.MaxLookups:
		return []Action{Release{ev.Ref, Decision{Verdict: Drop, Reason: ReasonLookupsFull}}}
	}
	r.lookups.buffered++
	p := bufferedPacket{ref: ev.Ref, opening: opening}
	if l != nil {
		l.packets = append(l.packets, p)
		return nil
	}
	l = &lookup{flow: ev.Flow, hash: hash, packets: []bufferedPacket{p}}
	r.lookups.byFlow[ev.Flow] = l
	r.lookups.order = append(r.lookups.order, l)
	return r.startLookup(now, l, addr)
}

// startLookup starts or restarts a lookup: it queries the current candidates.
func (r *Router) startLookup(now time.Time, l *lookup, addr address) []Action {
	delete(r.lookups.byID, l.id)
	r.lookups.lastID++
	l.id, l.since, l.rounds = r.lookups.lastID, addr.move.since, 0
	l.candidates = r.appendCandidates(now, l.candidates[:0], addr, l.hash)
	r.lookups.byID[l.id] = l
	return r.sendQueries(now, l)
}

// sendQueries sends a query to each candidate that has not answered.
func (r *Router) sendQueries(now time.Time, l *lookup) []Action {
	var out []Action
	for _, c := range l.candidates {
		if !c.notHolder {
			out = append(out, l.query(c))
		}
	}
	l.rounds++
	l.resendAt = now.Add(r.opts.QueryInterval)
	return out
}

// query returns the query to a candidate. It leaves FlowQuery.Opening unset: with it, the agent
// would record the balancer as the tentative holder.
func (l *lookup) query(c candidate) Action {
	return Send{c.id, message.FlowQuery{ID: l.id, Service: c.svc.name, Flow: l.flow}}
}

// appendCandidates appends the members to query: those that advertise the address, and the
// top-ranked ones of each service that owned it within the move window. If more than
// maxCandidatesPerService members of a service advertise the address, the top-ranked ones
// replace the rest, since the first two homes know the holder.
func (r *Router) appendCandidates(now time.Time, dst []candidate, addr address, hash uint64) []candidate {
	add := func(s *service, m *member) {
		known := slices.ContainsFunc(dst, func(a candidate) bool { return a.svc == s && a.hash == m.hash })
		if !known && len(dst) < maxCandidates {
			dst = append(dst, candidate{svc: s, id: m.id, hash: m.hash})
		}
	}
	advertised := make(map[*service]int)
	for _, a := range addr.move.advertisers {
		m := a.svc.findLive(a.hash)
		if m == nil || a.svc == addr.owner {
			continue
		}
		if advertised[a.svc]++; advertised[a.svc] <= maxCandidatesPerService {
			add(a.svc, m)
		} else if advertised[a.svc] == maxCandidatesPerService+1 {
			for _, m := range a.svc.topLive(hash, maxCandidatesPerService) {
				add(a.svc, m)
			}
		}
	}
	for _, f := range addr.move.former {
		s := r.currentService(f.svc)
		if s == addr.owner || !now.Before(f.until) {
			continue
		}
		for _, m := range s.topLive(hash, maxCandidatesPerService) {
			add(s, m)
		}
	}
	return dst
}

// handleAnswer processes a candidate's answer. An answer that names another holder may come from
// a stale record of a flow that has ended. Packets of an open flow follow it anyway; opening
// packets stay buffered until the named holder has answered.
func (r *Router) handleAnswer(now time.Time, ev FlowAnswer) []Action {
	l := r.lookups.byID[ev.Msg.ID]
	if l == nil || l.flow != ev.Msg.Flow {
		return []Action{Count{ReasonAnswerIgnored}}
	}
	i := slices.IndexFunc(l.candidates, func(c candidate) bool { return c.id == ev.From })
	if i < 0 {
		return []Action{Count{ReasonAnswerIgnored}}
	}
	if ev.Msg.Verdict != message.VerdictHeld {
		l.candidates[i].notHolder = true
		return r.finishIfAnswered(now, l)
	}
	addr := r.addrs[l.flow.ServiceAddr()]
	s, m := r.findHolder(now, addr, model.HashString(string(ev.Msg.Holder)), true)
	if m == nil {
		// This balancer does not know the holder, but the answering member does.
		if s, m = r.findHolder(now, addr, l.candidates[i].hash, true); m == nil {
			return []Action{Count{ReasonAnswerIgnored}}
		}
	}
	r.hints.put(l.hash, m.hash, now)
	d := r.forward(now, s, m)
	if ev.Msg.Holder == ev.From {
		return r.finish(l, d, d)
	}
	out := r.releaseNonOpening(l, d)
	if len(l.packets) == 0 {
		return append(out, r.finish(l, d, d)...)
	}
	l.candidates[i].notHolder = true
	known := slices.ContainsFunc(l.candidates, func(c candidate) bool { return c.id == m.id })
	if !known && s != addr.owner && len(l.candidates) < maxCandidates {
		named := candidate{svc: s, id: m.id, hash: m.hash}
		l.candidates = append(l.candidates, named)
		l.rounds, l.resendAt = 1, now.Add(r.opts.QueryInterval)
		out = append(out, l.query(named))
	}
	return append(out, r.finishIfAnswered(now, l)...)
}

// finishIfAnswered ends a lookup when the address has no candidates any more, or when each live
// candidate has answered that it does not hold the flow. In the latter case, it restarts the lookup
// instead if the address has moved again meanwhile.
func (r *Router) finishIfAnswered(now time.Time, l *lookup) []Action {
	addr := r.addrs[l.flow.ServiceAddr()]
	if addr.move == nil || !r.hasCandidates(now, addr) {
		return r.finishWithOwner(now, l, addr)
	}
	for _, c := range l.candidates {
		if !c.notHolder && r.currentService(c.svc).findLive(c.hash) != nil {
			return nil
		}
	}
	if !addr.move.since.Equal(l.since) {
		return r.startLookup(now, l, addr)
	}
	r.hints.put(l.hash, noHolder, now)
	return r.finishWithOwner(now, l, addr)
}

// finishWithOwner ends a lookup and releases its packets to the owner of the address.
func (r *Router) finishWithOwner(now time.Time, l *lookup, addr address) []Action {
	return r.finish(l, r.forwardHome(now, addr.owner, l.hash, true), r.forwardHome(now, addr.owner, l.hash, false))
}

// finishTimedOut ends a lookup that is incomplete after the last query round. Opening packets go
// to the owner, so that new connections do not wait for an unreachable target. The hint sends
// later packets of the flow there too; without it they would be dropped until the view lists the
// unreachable target as gone.
func (r *Router) finishTimedOut(now time.Time, l *lookup) []Action {
	addr := r.addrs[l.flow.ServiceAddr()]
	opening := r.forwardHome(now, addr.owner, l.hash, true)
	var out []Action
	for _, p := range l.packets {
		if p.opening && opening.Verdict == Forward {
			r.hints.put(l.hash, model.HashString(string(opening.To)), now)
			out = append(out, Count{ReasonOpenedUnanswered})
		}
	}
	return append(out, r.finish(l, opening, Decision{Verdict: Drop, Reason: ReasonLookupTimeout})...)
}

// releaseNonOpening releases the packets that do not open a flow.
func (r *Router) releaseNonOpening(l *lookup, d Decision) []Action {
	var out []Action
	for _, p := range l.packets {
		if !p.opening {
			out = append(out, Release{p.ref, d})
		}
	}
	l.packets = slices.DeleteFunc(l.packets, func(p bufferedPacket) bool { return !p.opening })
	r.lookups.buffered -= len(out)
	return out
}

// finish ends a lookup and releases its packets, each with the decision for its kind.
func (r *Router) finish(l *lookup, opening, other Decision) []Action {
	out := make([]Action, 0, len(l.packets))
	for _, p := range l.packets {
		if p.opening {
			out = append(out, Release{p.ref, opening})
		} else {
			out = append(out, Release{p.ref, other})
		}
	}
	r.lookups.buffered -= len(l.packets)
	l.packets = nil
	delete(r.lookups.byFlow, l.flow)
	delete(r.lookups.byID, l.id)
	r.lookups.order = slices.DeleteFunc(r.lookups.order, func(o *lookup) bool { return o == l })
	return out
}

// handleTick ends expired moves, and repeats or ends the lookups that are due.
func (r *Router) handleTick(now time.Time) []Action {
	for a := range r.moved {
		r.pruneMove(now, a)
	}
	var out []Action
	for _, l := range slices.Clone(r.lookups.order) {
		if now.Before(l.resendAt) {
			continue
		}
		out = append(out, r.finishIfAnswered(now, l)...) // candidates may no longer be live
		switch {
		case r.lookups.byID[l.id] != l || now.Before(l.resendAt): // ended or restarted
		case l.rounds < maxQueryRounds:
			out = append(out, Count{ReasonQueryRepeated})
			out = append(out, r.sendQueries(now, l)...)
		default:
			out = append(out, r.finishTimedOut(now, l)...)
		}
	}
	return out
}
