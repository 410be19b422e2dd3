package flows

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/clock"
	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the golden session")

// session drives one core and logs its events and actions as text.
type session struct {
	core        *Core
	now         time.Duration
	clock       *clock.Clock
	clockAt     time.Duration // value of now up to which the clock was advanced
	ref         Ref
	text        strings.Builder
	lastActions string // actions of the last event, as text
}

// newSession returns a session of agent t0. Its service has three agents, a settled view
// and the address addr(0).
func newSession(opt Options) *session {
	opt.Self, opt.Service = "t0", "s"
	s := &session{core: New(opt), clock: clock.New(epoch)}
	s.view(1, addr(0))
	s.advance(31 * time.Second)
	s.text.Reset()
	return s
}

func (s *session) step(ev Event) string {
	name := strings.TrimPrefix(fmt.Sprintf("%T%+v", ev, ev), "flows.")
	if v, ok := ev.(ViewChanged); ok {
		name = fmt.Sprintf("ViewChanged{Addrs:%v", v.View.Addrs)
		for _, m := range v.View.Members {
			name += fmt.Sprintf(" %s/%d/%s", m.ID, m.Incarnation, m.State)
		}
		name += "}"
	}
	s.lastActions = ""
	s.clock.Advance(s.now - s.clockAt)
	s.clockAt = s.now
	for _, a := range s.core.Step(s.clock.Now(), ev) {
		if send, ok := a.(Send); ok {
			s.lastActions += fmt.Sprintf("    Send{To:%s %T%+v}\n", send.To, send.Msg, send.Msg)
			continue
		}
		s.lastActions += "    " + strings.TrimPrefix(fmt.Sprintf("%T%+v\n", a, a), "flows.")
	}
	_, tick := ev.(Tick)
	_, contact := ev.(Contact)
	if !tick && !contact || s.lastActions != "" {
		fmt.Fprintf(&s.text, "%v %s\n%s", s.now, name, s.lastActions)
	}
	return s.lastActions
}

// view applies a view in which member t1 has the given incarnation.
func (s *session) view(inc model.Incarnation, addrs ...model.ServiceAddr) {
	v := model.ServiceView{Service: "s", Addrs: addrs, Policy: model.DefaultPolicy()}
	for i := range 3 {
		v.Members = append(v.Members, model.Member{ID: model.NodeID(fmt.Sprint("t", i)), Kind: model.KindAgent,
			Service: "s", Incarnation: 1, State: model.StateActive, Weight: 1, Started: epoch.Add(-time.Hour)})
	}
	v.Members[1].Incarnation = inc
	s.step(ViewChanged{v})
}

// advance advances the time by d with ticks and contacts, and returns all actions.
func (s *session) advance(d time.Duration) string {
	var all strings.Builder
	for end := s.now + d; s.now < end; {
		s.now += 50 * time.Millisecond
		if s.now%time.Second == 0 {
			s.step(Contact{})
		}
		all.WriteString(s.step(Tick{}))
	}
	return all.String()
}

// flow returns the n-th flow, counted from 0, whose home is the given agent.
func (s *session) flow(home model.NodeID, n int) model.Flow {
	for port := uint16(1); ; port++ {
		f := model.Flow{Src: netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port), Dst: addr(0).Addr, Proto: model.TCP}
		if s.core.table.Homes(epoch, f.Hash(), 1)[0] == home {
			if n--; n < 0 {
				return f
			}
		}
	}
}

func (s *session) packet(f model.Flow, edit func(*Packet)) string {
	s.ref++
	p := Packet{Ref: s.ref, Flow: f, Service: "s", ViewHash: s.core.table.Fingerprint(), Hops: 4, From: "b"}
	if edit != nil {
		edit(&p)
	}
	return s.step(p)
}

func (s *session) answer(from model.NodeID, f model.Flow, holder model.NodeID) string {
	m := message.FlowAnswer{ID: s.core.nextQueryID, Flow: f, Verdict: message.VerdictNone, Holder: holder}
	if holder != "" {
		m.Verdict = message.VerdictHeld
	}
	return s.step(Message{From: from, Msg: m})
}

func openingPacket(p *Packet) { p.Opening = true }

func openingFromOtherView(p *Packet) { p.Opening, p.ViewHash = true, 1 }

// Guards against unintended changes of the core's actions in a session with openings,
// lookups, concurrent openings, hand-overs, a moved address and a leave.
func TestGoldenSession(t *testing.T) {
	s := newSession(Options{Seed: 1})
	s.packet(s.flow("t0", 0), openingPacket)
	s.packet(s.flow("t0", 1), openingFromOtherView)
	s.packet(s.flow("t0", 1), nil)
	s.answer("t1", s.flow("t0", 1), "t2")
	s.answer("t2", s.flow("t0", 1), "t2")
	s.packet(s.flow("t1", 0), openingFromOtherView)
	s.advance(400 * time.Millisecond)
	for _, home := range []model.NodeID{"t0", "t1"} { // the home outranks the other agent
		s.packet(s.flow(home, 2), openingFromOtherView)
		s.step(Message{From: "t1", Incarnation: 1, Msg: message.FlowQuery{ID: 9, Service: "s", Flow: s.flow(home, 2), Opening: true}})
	}
	s.step(Message{From: "t2", Incarnation: 1, Msg: message.FlowRegister{Seq: 3, Flows: []model.Flow{s.flow("t0", 7)}}})
	s.packet(s.flow("t0", 7), nil)
	s.step(Message{From: "t2", Incarnation: 1, Msg: message.FlowRelease{Seq: 4, Flows: []model.Flow{s.flow("t0", 7)}}})
	s.advance(time.Second)
	s.step(Message{From: "t1", Msg: message.LoadReport{Load: model.Load{Flows: 9}}})
	s.step(Message{From: "t2", Msg: message.LoadReport{Load: model.Load{Flows: 0}}})
	for n := range 5 {
		s.packet(s.flow("t0", 20+n), openingPacket)
	}
	s.view(2, addr(1))
	s.packet(s.flow("t0", 0), nil)
	s.packet(s.flow("t0", 30), openingPacket)
	s.advance(1500 * time.Millisecond)
	s.step(Closed{s.flow("t0", 0)})
	s.view(2, addr(1), addr(0))
	s.advance(4 * time.Second)
	s.packet(s.flow("t0", 31), openingPacket)
	s.step(Leave{})
	s.packet(s.flow("t0", 5), nil)
	s.packet(s.flow("t0", 32), func(p *Packet) { p.Opening, p.Assigned, p.From = true, true, "t2" })
	s.packet(s.flow("t0", 33), func(p *Packet) { p.Opening, p.Hops = true, 0 })
	const file = "testdata/session.golden"
	if *update {
		if err := os.WriteFile(file, []byte(s.text.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	got, lines := strings.Split(s.text.String(), "\n"), strings.Split(string(want), "\n")
	for i := range max(len(got), len(lines)) {
		if i >= len(got) || i >= len(lines) || got[i] != lines[i] {
			t.Fatalf("the session differs from line %d of %s:\n%s", i+1, file, strings.Join(got[min(i, len(got)-1):min(i+3, len(got))], "\n"))
		}
	}
}

// Guards against a reset of a live connection if a candidate does not answer, the view
// has not settled, or the address was added recently.
func TestFaultResetNeedsAllAnswersAndSettledView(t *testing.T) {
	is := is.New(t)
	s := newSession(Options{})
	lookup := func(n int, answers ...model.NodeID) string {
		f := s.flow("t0", n)
		s.packet(f, nil)
		out := ""
		for _, from := range answers {
			out += s.answer(from, f, "")
		}
		return out + s.advance(300*time.Millisecond)
	}
	is.True(strings.Contains(lookup(0, "t1", "t2"), "Reset{"))
	unanswered := lookup(1, "t1")
	is.True(!strings.Contains(unanswered, "Reset{"))
	is.True(strings.Contains(unanswered, "Reason:unknown_flow"))
	is.Equal(strings.Count(unanswered, "Send{To:t2 message.FlowQuery"), 2) // retransmissions of the first query
	s.view(2, addr(0))
	is.True(!strings.Contains(lookup(2, "t1", "t2"), "Reset{")) // the view has not settled
	s.view(2)
	s.view(2, addr(0))
	s.advance(20 * time.Second)
	is.True(!strings.Contains(lookup(3, "t1", "t2"), "Reset{")) // the address was added 20 s ago
	s.advance(15 * time.Second)
	is.True(strings.Contains(lookup(4, "t1", "t2"), "Reset{"))
}

// Guards against state that grows without bound under a flood of packets and
// registrations.
func TestFaultFloodStaysBounded(t *testing.T) {
	is := is.New(t)
	s := newSession(Options{MaxLookups: 8, MaxExceptions: 16})
	for n := range 6 {
		for range 6 {
			s.packet(s.flow("t0", n), nil)
		}
	}
	is.True(strings.Contains(s.lastActions, "Reason:hold_full"))
	for n := range 30 {
		s.packet(s.flow("t0", n), nil)
	}
	is.True(strings.Contains(s.lastActions, "Reason:asks_full"))
	is.Equal(len(s.core.lookups), 8)
	for n := range 60 {
		s.step(Message{From: "t1", Msg: message.FlowRegister{Seq: 1, Flows: []model.Flow{s.flow("t1", n)}}})
	}
	is.Equal(s.core.exceptions.size, 16)
	is.Equal(len(s.core.exceptions.slots), 16)
	is.True(strings.Contains(s.lastActions, "Reason:evicted"))
}
