package membership

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	suspicionInterval = time.Second     // between repeated suspicions of a member
	suspicionLifetime = 3 * time.Second // of another observer's suspicion
	suspectQuorum     = 2               // observers that must suspect a member
)

// observedMember is a member that this node observes.
type observedMember struct {
	id              model.NodeID
	peer            gossip.Peer   // destination of slices
	otherObservers  []gossip.Peer // without this node
	lastSeen        time.Time     // receipt of the last heartbeat
	nextSuspicionAt time.Time
	suspicions      []receivedSuspicion
	suspectSince    time.Time

	isAgent     bool
	sliceDirty  bool   // the slice may have changed since it was sent
	sliceDigest uint64 // of the last slice built or sent for the agent; 0: no heartbeat received yet
}

type receivedSuspicion struct {
	suspicion  message.Suspicion
	receivedAt time.Time
}

// observerCandidates returns the balancers from which the observers of a member are
// chosen: those of its data centre, or all if there is no other one there.
func (o *Observer) observerCandidates(id model.NodeID, dc model.DataCentre) []gossip.Peer {
	local := o.peers.InDC(dc)
	if len(local) == 0 || len(local) == 1 && local[0].ID == id {
		return o.peers.All()
	}
	return local
}

// mayObserve reports whether this node is a candidate for the observers of a member.
func (o *Observer) mayObserve(id model.NodeID, dc model.DataCentre) bool {
	return dc == o.sender.self.DC || len(o.observerCandidates(id, dc)) > len(o.peers.InDC(dc))
}

// updateObservations updates all observations after a change of the live balancers.
func (o *Observer) updateObservations() {
	var candidates []model.Member
	for e := range o.members.All() {
		if o.mayObserve(model.NodeID(e.Key), e.Value.dc) {
			candidates = append(candidates, o.records.unpack(e))
		}
	}
	for _, w := range slices.Clone(o.observed) {
		if !o.mayObserve(w.id, w.peer.DC) {
			o.observed = slices.DeleteFunc(o.observed, func(other *observedMember) bool { return other == w })
			delete(o.observedByID, w.id)
		}
	}
	for _, m := range candidates {
		o.updateObservation(m)
	}
}

// updateObservation starts or stops the observation of a member.
func (o *Observer) updateObservation(m model.Member) {
	if m.ID == o.sender.self.ID {
		return
	}
	cands := o.observerCandidates(m.ID, m.DC)
	var otherObservers []gossip.Peer
	observes := false
	left := observerCount
	for _, i := range gossip.Top(o.rankBuffer[:0], observeKey(m.ID), cands, observerCount+1) {
		if cands[i].ID == m.ID || left == 0 {
			continue
		}
		left--
		if cands[i].ID == o.sender.self.ID {
			observes = true
		} else {
			otherObservers = append(otherObservers, cands[i])
		}
	}
	pos, found := slices.BinarySearchFunc(o.observed, m.ID, func(w *observedMember, id model.NodeID) int {
		return compareIDs(w.id, id)
	})
	switch {
	case !observes || m.State == model.StateGone:
		if found {
			o.observed = slices.Delete(o.observed, pos, pos+1)
			delete(o.observedByID, m.ID)
		}
		return
	case !found:
		w := &observedMember{id: m.ID, lastSeen: o.now.Add(newObserverGrace), isAgent: m.Kind == model.KindAgent}
		o.observed = slices.Insert(o.observed, pos, w)
		o.observedByID[m.ID] = w
	}
	w := o.observedByID[m.ID]
	w.peer = gossip.NewPeer(m.ID, m.DC, m.PeerAddr)
	w.otherObservers = otherObservers
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

func (o *Observer) handleHeartbeat(e Received, hb message.Heartbeat) {
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
	// A heartbeat of an older incarnation does not show that the current one runs.
	if w := o.observedByID[e.From]; w != nil && ok && uint64(hb.Incarnation) >= rec.Version.Hi {
		if o.now.After(w.lastSeen) {
			w.lastSeen = o.now
		}
		w.suspicions = nil
	}
	if ok && !rec.Deleted && rec.Value.kind == model.KindAgent {
		slice := o.sliceFor(o.records.unpack(rec))
		if w := o.observedByID[e.From]; w != nil {
			w.sliceDigest = slice.Digest
		}
		if slice.Digest != hb.SliceDigest {
			ack.SliceDigest = slice.Digest
			o.out = append(o.out, Send{To: e.From, Addr: e.FromAddr, Msg: slice})
		}
	}
	o.out = append(o.out, Send{To: e.From, Addr: e.FromAddr, Msg: ack})
}

func (o *Observer) handleSuspicion(s message.Suspicion) {
	w := o.observedByID[s.ID]
	if w == nil {
		return
	}
	w.suspicions = slices.DeleteFunc(w.suspicions, func(p receivedSuspicion) bool { return p.suspicion.Observer == s.Observer })
	w.suspicions = append(w.suspicions, receivedSuspicion{suspicion: s, receivedAt: o.now})
}

// tickSuspicion suspects and removes members whose heartbeats are missing. An
// observer that receives the member's heartbeats ignores the suspicions of others.
func (o *Observer) tickSuspicion() {
	for _, w := range slices.Clone(o.observed) {
		if o.now.Sub(w.lastSeen) < o.opts.HeartbeatTimeout {
			continue
		}
		rec, ok := o.members.Get(string(w.id))
		if !ok || rec.Deleted {
			continue
		}
		m := o.records.unpack(rec)
		own := message.Suspicion{ID: m.ID, Incarnation: m.Incarnation, Seq: m.Seq, Observer: o.sender.self.ID}
		if !o.now.Before(w.nextSuspicionAt) {
			w.nextSuspicionAt = o.now.Add(suspicionInterval)
			for _, p := range w.otherObservers {
				o.send(p.ID, p, own)
			}
		}
		switch {
		case m.State != model.StateSuspect:
			if o.countSuspicions(w, own) >= min(suspectQuorum, len(w.otherObservers)+1) {
				m.State = model.StateSuspect
				o.apply([]model.Member{m}, false)
			}
		case w.suspectSince.IsZero():
			w.suspectSince = o.now
		case o.now.Sub(w.suspectSince) >= o.opts.RemovalDelay:
			m.State = model.StateGone
			o.apply([]model.Member{m}, false)
		}
	}
}

// countSuspicions counts the observers, including this one, that suspect the member
// at the same version of its record.
func (o *Observer) countSuspicions(w *observedMember, own message.Suspicion) int {
	n := 1
	for _, p := range w.suspicions {
		same := p.suspicion.Incarnation == own.Incarnation && p.suspicion.Seq == own.Seq
		if same && o.now.Sub(p.receivedAt) <= suspicionLifetime {
			n++
		}
	}
	return n
}
