package membership

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	sayInterval     = time.Second     // between repeats of a suspicion
	opinionLifetime = 3 * time.Second // of another observer's suspicion
	suspectQuorum   = 2               // observers that must miss a member
)

// watched is a member that this node observes.
type watched struct {
	id           model.NodeID
	peer         gossip.Peer   // where slices go
	others       []gossip.Peer // the other observers
	heard        time.Time     // last heartbeat
	nextSay      time.Time
	opinions     []opinion
	suspectSince time.Time

	agent  bool
	dirty  bool   // the slice may have changed since it was sent
	digest uint64 // of the slice that the agent has or was sent last
}

type opinion struct {
	suspicion message.Suspicion
	at        time.Time
}

// observerCandidates returns the balancers that the observers of a member are
// chosen from: the others of its data centre, or all where it has no other.
func (o *Observer) observerCandidates(id model.NodeID, dc model.DataCentre) []gossip.Peer {
	local := o.peers.InDC(dc)
	if len(local) == 0 || len(local) == 1 && local[0].ID == id {
		return o.peers.All()
	}
	return local
}

// observes reports whether this node may be an observer of a member.
func (o *Observer) observes(id model.NodeID, dc model.DataCentre) bool {
	return dc == o.beat.self.DC || len(o.observerCandidates(id, dc)) > len(o.peers.InDC(dc))
}

// rewatchAll brings all observations in line with the live balancers.
func (o *Observer) rewatchAll() {
	var candidates []model.Member
	for e := range o.members.All() {
		if o.observes(model.NodeID(e.Key), e.Value.dc) {
			candidates = append(candidates, unpack(e))
		}
	}
	for _, w := range slices.Clone(o.watch) {
		if !o.observes(w.id, w.peer.DC) {
			o.watch = slices.DeleteFunc(o.watch, func(other *watched) bool { return other == w })
			delete(o.byID, w.id)
		}
	}
	for _, m := range candidates {
		o.rewatch(m)
	}
}

// rewatch starts or stops the observation of a member.
func (o *Observer) rewatch(m model.Member) {
	if m.ID == o.beat.self.ID {
		return
	}
	cands := o.observerCandidates(m.ID, m.DC)
	var others []gossip.Peer
	observes := false
	left := observerNum
	for _, i := range gossip.Top(o.ranks[:0], observeKey(m.ID), cands, observerNum+1) {
		if cands[i].ID == m.ID || left == 0 {
			continue
		}
		left--
		if cands[i].ID == o.beat.self.ID {
			observes = true
		} else {
			others = append(others, cands[i])
		}
	}
	pos, held := slices.BinarySearchFunc(o.watch, m.ID, func(w *watched, id model.NodeID) int {
		return compareIDs(w.id, id)
	})
	switch {
	case !observes || m.State == model.StateGone:
		if held {
			o.watch = slices.Delete(o.watch, pos, pos+1)
			delete(o.byID, m.ID)
		}
		return
	case !held:
		w := &watched{id: m.ID, heard: o.now.Add(newObserverGrace), agent: m.Kind == model.KindAgent}
		o.watch = slices.Insert(o.watch, pos, w)
		o.byID[m.ID] = w
	}
	w := o.byID[m.ID]
	w.peer = gossip.NewPeer(m.ID, m.DC, m.PeerAddr)
	w.others = others
}

func compareIDs(a, b model.NodeID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (o *Observer) onHeartbeat(e Received, hb message.Heartbeat) {
	if hb.Member.ID == e.From {
		o.apply([]model.Member{hb.Member}, false)
	}
	rec, ok := o.members.Get(string(e.From))
	ack := message.HeartbeatAck{}
	if ok {
		ack.Seq, ack.State = rec.Version.Lo, rec.Value.state
		if inc := model.Incarnation(rec.Version.Hi); inc != hb.Incarnation {
			ack.Incarnation = inc
		}
	}
	// A heartbeat of an older life says nothing about the current one.
	if w := o.byID[e.From]; w != nil && ok && uint64(hb.Incarnation) >= rec.Version.Hi {
		if o.now.After(w.heard) {
			w.heard = o.now
		}
		w.opinions = nil
	}
	if ok && !rec.Deleted && rec.Value.kind == model.KindAgent {
		slice := o.sliceFor(unpack(rec))
		if w := o.byID[e.From]; w != nil {
			w.digest = slice.Digest
		}
		if slice.Digest != hb.SliceDigest {
			ack.SliceDigest = slice.Digest
			o.out = append(o.out, Send{To: e.From, Addr: e.FromAddr, Msg: slice})
		}
	}
	o.out = append(o.out, Send{To: e.From, Addr: e.FromAddr, Msg: ack})
}

func (o *Observer) onSuspicion(s message.Suspicion) {
	w := o.byID[s.ID]
	if w == nil {
		return
	}
	w.opinions = slices.DeleteFunc(w.opinions, func(p opinion) bool { return p.suspicion.Observer == s.Observer })
	w.opinions = append(w.opinions, opinion{suspicion: s, at: o.now})
}

// tickSuspicion acts on members whose heartbeats are missing. An observer that
// hears the member itself never follows the others.
func (o *Observer) tickSuspicion() {
	for _, w := range slices.Clone(o.watch) {
		if o.now.Sub(w.heard) < o.opt.Miss {
			continue
		}
		rec, ok := o.members.Get(string(w.id))
		if !ok || rec.Deleted {
			continue
		}
		m := unpack(rec)
		own := message.Suspicion{ID: m.ID, Incarnation: m.Incarnation, Seq: m.Seq, Observer: o.beat.self.ID}
		if !o.now.Before(w.nextSay) {
			w.nextSay = o.now.Add(sayInterval)
			for _, p := range w.others {
				o.send(p.ID, p, own)
			}
		}
		switch {
		case m.State != model.StateSuspect:
			if o.agreeing(w, own) >= min(suspectQuorum, len(w.others)+1) {
				m.State = model.StateSuspect
				o.apply([]model.Member{m}, false)
			}
		case w.suspectSince.IsZero():
			w.suspectSince = o.now
		case o.now.Sub(w.suspectSince) >= o.opt.Gone:
			m.State = model.StateGone
			o.apply([]model.Member{m}, false)
		}
	}
}

// agreeing counts the observers, this one included, that miss the member in the
// same version of its record.
func (o *Observer) agreeing(w *watched, own message.Suspicion) int {
	n := 1
	for _, p := range w.opinions {
		same := p.suspicion.Incarnation == own.Incarnation && p.suspicion.Seq == own.Seq
		if same && o.now.Sub(p.at) <= opinionLifetime {
			n++
		}
	}
	return n
}
