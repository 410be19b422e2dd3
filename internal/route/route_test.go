package route

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/packet"
	"github.com/bulrushshelf/bulrushshelf/internal/placement"
	"github.com/bulrushshelf/bulrushshelf/internal/strategy/hrw"
	"github.com/bulrushshelf/bulrushshelf/internal/strategy/warmup"
)

// ackOf returns a non-opening packet of flow number i.
func ackOf(i uint32) *packet.Info {
	src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(i >> 24), byte(i >> 16), byte(i >> 8)}), uint16(i)|1024)
	return &packet.Info{ACK: true, Flow: model.Flow{Src: src, Dst: addr("10.80.0.1:80").Addr, Proto: model.TCP}}
}

// Guards against a balancer that ranks members differently from the agents, so that each opening
// waits for a lookup. Homes must follow the effective weights, and fingerprints must be those that
// package placement computes in the agents, for equal and unequal weights and throughout a warm-up.
func TestHomesAndFingerprintsMatchAgents(t *testing.T) {
	is := is.New(t)
	for _, weight := range []float64{1, 2.5} {
		v := view([]string{"dispatch", "addr=10.80.0.1:80", "member=d3", "member=d1", "member=d2,leaving", "member=d4"})
		v.Members[0].Weight = weight
		v.Members[1].Started = start.Add(-5 * time.Second)
		v.Policy.Warmup = 30 * time.Second
		r := New(Options{})
		r.SetView(start, v)
		model.SortMembers(v.Members)
		for age := time.Duration(0); age < 40*time.Second; age += 500 * time.Millisecond {
			now := start.Add(age)
			agent := placement.New("d1", time.Second)
			agent.Apply(now, v)
			var cands []hrw.Candidate
			for _, m := range v.Members {
				weight := warmup.EffectiveWeight(m, v.Policy, now)
				if m.State != model.StateActive {
					weight = 0
				}
				cands = append(cands, hrw.Candidate{ID: model.HashString(string(m.ID)), Weight: weight})
			}
			for i := range uint32(50) {
				p := ackOf(i * 7919)
				d := r.Route(now, p)
				is.Equal(d.ViewHash, agent.Fingerprint())
				is.Equal(d.To, v.Members[hrw.First(p.Flow.Hash(), cands)].ID)
			}
		}
	}
}

// simulation generates random views, moves, hints and answers of three services and four
// addresses, and checks where each packet may go.
type simulation struct {
	t                *testing.T
	seed             uint64
	rnd              *rand.Rand
	r                *Router
	now              time.Time
	owner            [4]int          // service by address; 3 for none
	lostAt           [4][3]time.Time // when a service last lost an address, by address and service
	advertised       [4][3]bool      // by address and service
	buffered         map[Ref]simPacket
	lastFlow         model.Flow  // of the last packet that needed a lookup
	holderAnswer     *FlowAnswer // of this step, if the sender names itself as the holder
	bufferedCount    int
	releasedCount    int
	openingsToFormer int // opening packets released to former owners
}

// simPacket is a packet that the simulation sent.
type simPacket struct {
	addr    int // number of its address
	flow    model.Flow
	opening bool
}

// check fails the test if the decision sends a packet where it must not go.
func (w *simulation) check(p simPacket, d Decision) {
	addr := p.addr
	if d.Verdict != Forward {
		if p.opening && d.Reason == ReasonLookupTimeout || !p.opening && d.Verdict == Reset {
			w.t.Fatalf("seed %d: packet with opening=%v ended as %s", w.seed, p.opening, d.Reason)
		}
		return
	}
	s := int(d.Service[1] - '0')
	former := w.advertised[addr][s] || w.now.Sub(w.lostAt[addr][s]) < DefaultMoveWindow
	if p.opening && s != w.owner[addr] {
		former = former && w.holderAnswer != nil && w.holderAnswer.Msg.Flow == p.flow && w.holderAnswer.From == d.To
		w.openingsToFormer++
	}
	if d.To[:2] != model.NodeID(d.Service) || s != w.owner[addr] && !former {
		w.t.Fatalf("seed %d: packet on address %d of service %d sent to %s of %s", w.seed, addr, w.owner[addr], d.To, d.Service)
	}
}

func (w *simulation) setView(s int) {
	words := []string{fmt.Sprint("s", s)}
	for a, o := range w.owner {
		if o == s {
			words = append(words, fmt.Sprintf("addr=10.80.0.%d:80", a))
		}
	}
	for m := range 3 {
		word := fmt.Sprintf("member=s%dm%d,%s", s, m, []string{"active", "leaving", "suspect", "gone"}[w.rnd.IntN(4)])
		for a := range w.owner {
			if w.advertised[a][s] && m == 0 {
				word = fmt.Sprintf("member=s%dm0,leaving,10.80.0.%d:80", s, a)
			}
		}
		words = append(words, word)
	}
	w.r.SetView(w.now, view(words))
}

// moveAddr assigns an address to a service in one of ten calls.
func (w *simulation) moveAddr(addr, s int) {
	old := w.owner[addr]
	if old == s || w.rnd.IntN(10) != 0 {
		return
	}
	w.owner[addr] = s
	w.setView(s)
	if old < 3 {
		w.lostAt[addr][old] = w.now
		w.setView(old)
	}
}

// route sends a packet and returns the actions of the lookup that it needs, if any.
func (w *simulation) route(addr int, f model.Flow) []Action {
	opening := w.rnd.IntN(3) == 0
	d := w.r.Route(w.now, &packet.Info{Flow: f, SYN: opening, ACK: !opening})
	p := simPacket{addr, f, opening}
	w.check(p, d)
	if d.Verdict != LookupHolder {
		return nil
	}
	w.bufferedCount++
	w.buffered[Ref(w.bufferedCount)], w.lastFlow = p, f
	return w.r.Step(w.now, Buffered{Ref(w.bufferedCount), f, opening})
}

func (w *simulation) step() {
	w.now = w.now.Add(time.Duration(w.rnd.IntN(200)) * time.Millisecond)
	addr, s := w.rnd.IntN(4), w.rnd.IntN(3)
	f := flow(fmt.Sprint(1024+w.rnd.IntN(6)), fmt.Sprintf("10.80.0.%d:80", addr), "")
	from := model.NodeID(fmt.Sprintf("s%dm%d", s, w.rnd.IntN(3)))
	var acts []Action
	w.holderAnswer = nil
	switch w.rnd.IntN(8) {
	case 0:
		w.moveAddr(addr, s)
	case 1:
		for a := range w.owner { // at most one address, since setView lists only one
			w.advertised[a][s] = a == addr && w.rnd.IntN(2) == 0
		}
		w.setView(s)
	case 2:
		acts = w.r.Step(w.now, FlowHint{from, message.FlowHint{Flow: f, Holder: from}})
	case 3:
		acts = w.r.Step(w.now, Tick{})
	case 4:
		acts = w.answer(f, from)
	default:
		acts = w.route(addr, f)
	}
	for _, a := range acts {
		if rel, ok := a.(Release); ok {
			w.releasedCount++
			w.check(w.buffered[rel.Ref], rel.Decision)
			delete(w.buffered, rel.Ref)
		}
	}
}

// answer generates an answer that matches the last lookup or none. It names the sender, another
// member of its service, or no holder.
func (w *simulation) answer(f model.Flow, from model.NodeID) []Action {
	if w.rnd.IntN(2) == 0 {
		f = w.lastFlow
	}
	ev := FlowAnswer{from, message.FlowAnswer{ID: w.r.lookups.lastID, Flow: f, Verdict: message.VerdictNone}}
	if w.rnd.IntN(2) == 0 {
		ev.Msg.Verdict, ev.Msg.Holder = message.VerdictHeld, from
		if w.rnd.IntN(3) == 0 {
			ev.Msg.Holder = model.NodeID(fmt.Sprintf("%sm%d", from[:2], w.rnd.IntN(4)))
		}
	}
	if ev.Msg.Holder == from {
		w.holderAnswer = &ev
	}
	return w.r.Step(w.now, ev)
}

// Guards against a packet that reaches a target of a service that neither owns nor advertises the
// address, and did not own it within the move window. An opening packet may go to a former owner's
// member only if that member has just answered that it holds this flow. Also guards against a
// packet that is never released or released twice.
func TestNoPacketReachesAnotherService(t *testing.T) {
	for seed := range uint64(20) {
		w := simulation{t: t, seed: seed, rnd: rand.New(rand.NewPCG(seed, 7)), now: start, owner: [4]int{3, 3, 3, 3},
			r: New(Options{HintCapacity: 64, MaxLookups: 4, MaxBuffered: 8}), buffered: map[Ref]simPacket{}}
		for range 3000 {
			w.step()
			if w.bufferedCount-w.releasedCount != w.r.BufferedPackets() {
				t.Fatalf("seed %d: %d packets needed a lookup, %d released, %d buffered", seed, w.bufferedCount, w.releasedCount, w.r.BufferedPackets())
			}
		}
		if w.bufferedCount == 0 || w.releasedCount == 0 || w.openingsToFormer == 0 {
			t.Fatalf("seed %d: %d packets needed a lookup, %d released, %d opening packets to former owners", seed, w.bufferedCount, w.releasedCount, w.openingsToFormer)
		}
	}
}

// Guards against an allocation per packet, also when a warm-up step is due or the address has
// moved.
func TestRouteDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	r := New(Options{})
	v := view([]string{"dispatch", "addr=10.80.0.1:80", "member=d1", "member=d2", "member=d3"})
	v.Members[0].Started, v.Policy.Warmup = start, 30*time.Second
	r.SetView(start, v)
	r.SetView(start, view([]string{"intake", "addr=10.80.0.2:80", "member=w1"}))
	now := start
	run := func(p *packet.Info, want Verdict) {
		is.Equal(testing.AllocsPerRun(100, func() {
			now = now.Add(200 * time.Millisecond)
			is.Equal(r.Route(now, p).Verdict, want)
		}), 0.0)
	}
	run(ackOf(1), Forward)
	r.SetView(now, view([]string{"intake", "addr=10.80.0.1:80", "member=w1"}))
	moved := now
	run(ackOf(1), LookupHolder)
	now = moved // both runs fall within the move window
	syn := ackOf(1)
	syn.SYN, syn.ACK = true, false
	run(syn, LookupHolder)
}

// Guards against a hint table of more than 64 bytes per flow, and against one that keeps hints for
// less than 95 % of the flows in its capacity.
func TestHintTableSize(t *testing.T) {
	is := is.New(t)
	for _, flows := range []int{1000, 32_500, 400_000} {
		table := newHintTable(flows)
		is.True(len(table.entries)*hintSize <= 64*flows)
		for i := range flows {
			table.put(model.Mix(uint64(i)), 1, start.Add(time.Duration(i)))
		}
		kept := 0
		for i := range flows {
			if table.get(model.Mix(uint64(i))) != nil {
				kept++
			}
		}
		is.True(kept*100 >= flows*95)
	}
	table := newHintTable(hintWays * 2 / 3) // one set: the oldest is replaced
	for i := range uint64(hintWays + 1) {
		table.put(i+1, 1, start.Add(time.Duration(i)))
	}
	is.Equal(slices.IndexFunc(table.entries, func(h hint) bool { return h.flow == 1 }), -1)
	is.True(table.get(2) != nil)
}
