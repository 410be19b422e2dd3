package membership

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// removedRetention is the time for which an agent keeps the version of a member
// that was removed from its slice, so that an older slice of another observer cannot
// restore the member.
const removedRetention = time.Minute

// Announcer is the membership core of an agent. It advertises the agent to its
// observers and keeps the slice that they send. One observer, the primary,
// determines which members the slice has; newer records are accepted from any
// observer.
type Announcer struct {
	now       time.Time
	sender    heartbeatSender
	primary   model.NodeID
	slice     message.Slice
	removed   []removedMember
	reachable int // observers, as last reported by ObserverCountChanged
	out       []Action
}

type removedMember struct {
	member    model.Member
	removedAt time.Time
}

// NewAnnouncer returns the core of an agent that knows only its seeds.
func NewAnnouncer(opt Options) *Announcer {
	opt.Intervals = opt.Intervals.withDefaults()
	return &Announcer{sender: newHeartbeatSender(opt)}
}

// Self returns the agent's own record.
func (a *Announcer) Self() model.Member { return a.sender.self }

// Slice returns the slice that SliceChanged last reported.
func (a *Announcer) Slice() message.Slice { return a.slice }

// Step handles one event.
func (a *Announcer) Step(now time.Time, ev Event) []Action {
	a.now, a.out = now, nil
	switch e := ev.(type) {
	case Received:
		a.handleMessage(e)
	case SetMember:
		m, self := e.Member, a.sender.self
		m.ID, m.Kind, m.DC, m.Incarnation, m.Seq = self.ID, self.Kind, self.DC, self.Incarnation, self.Seq
		m.State = max(m.State, model.StateActive)
		a.sender.self = m
		a.sender.recordChanged()
	case SetLoad:
		a.sender.load, a.sender.fileRev = e.Load, e.FileRev
	case Leave:
		a.sender.self.State = max(a.sender.self.State, model.StateLeaving)
		if e.Final {
			a.sender.self.State = model.StateGone
		}
		a.sender.recordChanged()
	case Tick:
	}
	a.chooseObservers()
	a.out = append(a.out, a.sender.tick(now)...)
	if n := a.sender.reachableObservers(now); n != a.reachable {
		a.reachable = n
		a.out = append(a.out, ObserverCountChanged{Observers: n})
	}
	return a.out
}

func (a *Announcer) handleMessage(e Received) {
	switch m := e.Msg.(type) {
	case message.HeartbeatAck:
		a.sender.handleAck(a.now, e.From, m)
	case message.Superseded:
		a.sender.handleSuperseded(m)
	case message.Slice:
		a.mergeSlice(e.From, a.received(m))
	}
}

// chooseObservers selects observers among the balancers of the agent's data centre,
// or among all if the slice lists none there. It drops a primary that is unreachable
// or no longer an observer.
func (a *Announcer) chooseObservers() {
	var local, all []gossip.Peer
	for i := range a.slice.Balancers {
		m := &a.slice.Balancers[i]
		if m.State != model.StateActive && m.State != model.StateLeaving {
			continue
		}
		p := gossip.NewPeer(m.ID, m.DC, m.PeerAddr)
		all = append(all, p)
		if m.DC == a.sender.self.DC {
			local = append(local, p)
		}
	}
	if len(local) == 0 {
		local = all
	}
	a.sender.selectObservers(a.now, local)
	if a.primary == "" {
		return
	}
	if obs := a.sender.observer(a.primary); obs == nil || a.sender.unreachable(a.now, obs) {
		a.primary = ""
		// A digest of 0 requests whole slices. The sender of the next one becomes
		// the primary.
		for _, obs := range a.sender.observers {
			obs.digest = 0
		}
	}
}

// received converts the start times in a slice. It keeps the start time of a process that
// is known already, so that the delay of a message does not look like a change.
func (a *Announcer) received(s message.Slice) message.Slice {
	s.View.Members = slices.Clone(s.View.Members)
	for i, m := range s.View.Members {
		m = m.Received(a.now)
		k := slices.IndexFunc(a.slice.View.Members, func(h model.Member) bool { return h.ID == m.ID && h.Incarnation == m.Incarnation })
		if k >= 0 && !m.Started.IsZero() && !a.slice.View.Members[k].Started.IsZero() {
			m.Started = a.slice.View.Members[k].Started
		}
		s.View.Members[i] = m
	}
	return s
}

func (a *Announcer) mergeSlice(from model.NodeID, s message.Slice) {
	a.removed = slices.DeleteFunc(a.removed, func(d removedMember) bool { return a.now.Sub(d.removedAt) > removedRetention })
	obs := a.sender.observer(from)
	// While no known observer answers, a seed may be the primary: its slice lists
	// new observers.
	if a.primary == "" && (obs != nil || a.sender.reachableObservers(a.now) == 0) {
		a.primary = from
	}
	if obs != nil {
		obs.digest = s.Digest
	}
	fromPrimary := a.primary == from
	next := a.slice
	if fromPrimary {
		next = s
	}
	next.FileRev = max(a.slice.FileRev, s.FileRev)
	next.View.Members = a.mergeMembers(a.slice.View.Members, s, fromPrimary)
	if !fromPrimary && a.slice.Digest == s.Digest {
		return
	}
	a.slice = next
	a.out = append(a.out, SliceChanged{Slice: next})
}

// mergeMembers merges the members of a slice into the current ones. It never
// replaces a record by an older one. Of two records of the same version, it keeps the
// one with the newer file revision. Only a slice of the primary removes members.
func (a *Announcer) mergeMembers(current []model.Member, s message.Slice, fromPrimary bool) []model.Member {
	var out []model.Member
	listed := s.View.Members
	for _, m := range listed {
		i := slices.IndexFunc(current, func(h model.Member) bool { return h.ID == m.ID })
		switch {
		case i >= 0 && sameVersion(current[i], m):
			if s.FileRev < a.slice.FileRev {
				m = current[i]
			}
		case i >= 0 && current[i].Newer(m):
			m = current[i]
		case i < 0 && !fromPrimary && !a.newerThanRemoved(m):
			continue
		}
		out = append(out, m)
	}
	for _, h := range current {
		if slices.ContainsFunc(listed, func(m model.Member) bool { return m.ID == h.ID }) {
			continue
		}
		if fromPrimary {
			a.removed = append(a.removed, removedMember{member: h, removedAt: a.now})
		} else {
			out = append(out, h)
		}
	}
	model.SortMembers(out)
	return out
}

// sameVersion reports whether two records are the same apart from the effect of
// decision files. A drain by a decision file changes the state to leaving, and its
// reversal back to active, without a new sequence.
func sameVersion(a, b model.Member) bool {
	return a.Incarnation == b.Incarnation && a.Seq == b.Seq && a.State < model.StateSuspect && b.State < model.StateSuspect
}

// newerThanRemoved reports whether m was not removed or is newer than the removed
// record.
func (a *Announcer) newerThanRemoved(m model.Member) bool {
	for _, d := range a.removed {
		if d.member.ID == m.ID && !m.Newer(d.member) {
			return false
		}
	}
	return true
}
