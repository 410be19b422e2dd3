package membership

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// droppedRetention is how long an agent remembers the version of a member that
// left its slice, so that a slice of another, slower observer cannot bring it back.
const droppedRetention = time.Minute

// Announcer is the membership core of an agent. It announces the agent to its
// observers and keeps the slice they send. Membership of the slice follows one
// observer, its source; newer records are taken from any.
type Announcer struct {
	now      time.Time
	beat     beater
	source   model.NodeID
	slice    message.Slice
	dropped  []droppedMember
	contacts int
	out      []Action
}

type droppedMember struct {
	member model.Member
	at     time.Time
}

// NewAnnouncer returns the core of an agent that knows only its seeds.
func NewAnnouncer(opt Options) *Announcer {
	opt.Intervals = opt.Intervals.withDefaults()
	return &Announcer{beat: newBeater(opt)}
}

// Self returns the agent's own record.
func (a *Announcer) Self() model.Member { return a.beat.self }

// Slice returns the slice as last given by SliceChanged.
func (a *Announcer) Slice() message.Slice { return a.slice }

// Step handles one event.
func (a *Announcer) Step(now time.Time, ev Event) []Action {
	a.now, a.out = now, nil
	switch e := ev.(type) {
	case Received:
		a.received(e)
	case SetMember:
		m, self := e.Member, a.beat.self
		m.ID, m.Kind, m.DC, m.Incarnation, m.Seq = self.ID, self.Kind, self.DC, self.Incarnation, self.Seq
		m.State = max(m.State, model.StateActive)
		a.beat.self = m
		a.beat.changed()
	case SetLoad:
		a.beat.load, a.beat.fileRev = e.Load, e.FileRev
	case Leave:
		a.beat.self.State = max(a.beat.self.State, model.StateLeaving)
		if e.Final {
			a.beat.self.State = model.StateGone
		}
		a.beat.changed()
	case Tick:
	}
	a.chooseObservers()
	a.out = append(a.out, a.beat.tick(now)...)
	if n := a.beat.answering(now); n != a.contacts {
		a.contacts = n
		a.out = append(a.out, Contact{Observers: n})
	}
	return a.out
}

func (a *Announcer) received(e Received) {
	switch m := e.Msg.(type) {
	case message.HeartbeatAck:
		a.beat.ack(a.now, e.From, m)
	case message.Slice:
		a.takeSlice(e.From, m)
	}
}

// chooseObservers ranks the balancers of the own data centre, or all of them if
// the slice lists none there, and leaves a source that is silent.
func (a *Announcer) chooseObservers() {
	var local, all []gossip.Peer
	for i := range a.slice.Balancers {
		m := &a.slice.Balancers[i]
		if m.State != model.StateActive && m.State != model.StateLeaving {
			continue
		}
		p := gossip.NewPeer(m.ID, m.DC, m.PeerAddr)
		all = append(all, p)
		if m.DC == a.beat.self.DC {
			local = append(local, p)
		}
	}
	if len(local) == 0 {
		local = all
	}
	a.beat.observers(a.now, local)
	if a.source == "" {
		return
	}
	if t := a.beat.target(a.source); t == nil || a.beat.silent(a.now, t) {
		a.source = ""
		// A digest of 0 asks for whole slices: the next one decides the membership.
		for _, t := range a.beat.targets {
			t.digest = 0
		}
	}
}

func (a *Announcer) takeSlice(from model.NodeID, s message.Slice) {
	a.dropped = slices.DeleteFunc(a.dropped, func(d droppedMember) bool { return a.now.Sub(d.at) > droppedRetention })
	t := a.beat.target(from)
	// While no known observer answers, the slice of a seed names new ones.
	if a.source == "" && (t != nil || a.beat.answering(a.now) == 0) {
		a.source = from
	}
	if t != nil {
		t.digest = s.Digest
	}
	leading := a.source == from
	next := a.slice
	if leading {
		next = s
	}
	next.FileRev = max(a.slice.FileRev, s.FileRev)
	next.View.Members = a.mergeMembers(a.slice.View.Members, s, leading)
	if !leading && a.slice.Digest == s.Digest {
		return
	}
	a.slice = next
	a.out = append(a.out, SliceChanged{Slice: next})
}

// mergeMembers never takes an older record of a member. Only a leading slice
// removes members.
func (a *Announcer) mergeMembers(held []model.Member, s message.Slice, leading bool) []model.Member {
	var out []model.Member
	given := s.View.Members
	for _, m := range given {
		i := slices.IndexFunc(held, func(h model.Member) bool { return h.ID == m.ID })
		switch {
		case i >= 0 && sameRecord(held[i], m):
			if s.FileRev < a.slice.FileRev {
				m = held[i]
			}
		case i >= 0 && held[i].Newer(m):
			m = held[i]
		case i < 0 && !leading && !a.unknownOrNewer(m):
			continue
		}
		out = append(out, m)
	}
	for _, h := range held {
		if slices.ContainsFunc(given, func(m model.Member) bool { return m.ID == h.ID }) {
			continue
		}
		if leading {
			a.dropped = append(a.dropped, droppedMember{member: h, at: a.now})
		} else {
			out = append(out, h)
		}
	}
	model.SortMembers(out)
	return out
}

// sameRecord reports whether two records differ at most by what decision files
// say about the member. A drain by a file makes a record leaving without a new
// sequence, and the reversal makes it active again.
func sameRecord(a, b model.Member) bool {
	return a.Incarnation == b.Incarnation && a.Seq == b.Seq && a.State < model.StateSuspect && b.State < model.StateSuspect
}

func (a *Announcer) unknownOrNewer(m model.Member) bool {
	for _, d := range a.dropped {
		if d.member.ID == m.ID && !m.Newer(d.member) {
			return false
		}
	}
	return true
}
