package keys

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/clock"
)

const simSettle = 5 * time.Second

// fakeHomes ranks as package placement does: sets of homes under the current view and under views
// that ended within the settle time.
type fakeHomes struct {
	views   []model.ServiceView
	since   []time.Time
	contact bool
}

func rankSet(v model.ServiceView, hash uint64, n int) []model.NodeID {
	var ids []model.NodeID
	for _, m := range v.Members {
		if m.State == model.StateActive {
			ids = append(ids, m.ID)
		}
	}
	rank := func(id model.NodeID) uint64 { return model.Mix(hash ^ model.HashString(string(id))) }
	slices.SortFunc(ids, func(a, b model.NodeID) int { return cmp.Compare(rank(a), rank(b)) })
	return ids[:min(n, len(ids))]
}

func (h *fakeHomes) HomeSets(now time.Time, hash uint64, n int) (sets [][]model.NodeID) {
	for i := len(h.views) - 1; i >= 0; i-- {
		if i < len(h.views)-1 && now.Sub(h.since[i+1]) >= simSettle {
			break
		}
		sets = append(sets, rankSet(h.views[i], hash, n))
	}
	return sets
}

func (h *fakeHomes) Settled(now time.Time) bool {
	return h.contact && len(h.since) > 0 && now.Sub(h.since[len(h.since)-1]) >= simSettle
}

func (h *fakeHomes) Fingerprint() uint64 {
	if len(h.views) == 0 {
		return 1
	}
	return h.views[len(h.views)-1].Fingerprint()
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	if c := q[i].at.Compare(q[j].at); c != 0 {
		return c < 0
	}
	return q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// simAgent is one agent. The incarnation changes at each start; events scheduled for an earlier one
// are dropped.
type simAgent struct {
	core        *Core
	homes       *fakeHomes
	incarnation int
	crashed     bool
	pausedUntil time.Time
	nextTick    time.Time
	clock       *clock.Clock
	clockAt     time.Time // virtual time up to which the clock was advanced
}

// send is one send of a key, as its caller sees it.
type send struct {
	key                int
	call, ret          time.Time
	incarnation, agent int
	run                int // number of the run that it caused, 0 if none
	replay             int // number of the run whose answer it got
	refused            Reason
	outcome            message.Outcome
	done               bool
}

type sim struct {
	seed       uint64
	rng        *rand.Rand
	start, now time.Time
	events     simQueue
	seq        int
	agents     []*simAgent
	view       model.ServiceView // latest view; agents receive it with a delay
	sends      []*send
	keys       []string
	opens      time.Time
	clockSkew  time.Duration // MaxClockSkew of the agents
	loss, dup  float64
	runs       map[int]int // by key
	totalRuns  int
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, do})
}

func (s *sim) random(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

func simID(i int) model.NodeID { return model.NodeID(fmt.Sprintf("agent-%d", i)) }

func newSim(seed uint64, agents int) *sim {
	s := &sim{seed: seed, rng: rand.New(rand.NewPCG(seed, 3)), start: time.Unix(1_800_000_000, 0), runs: map[int]int{}, clockSkew: 5 * time.Second}
	s.now = s.start
	s.view = model.ServiceView{Service: "facturador", Policy: model.DefaultPolicy()}
	for i := range agents {
		s.view.Members = append(s.view.Members, model.Member{ID: simID(i), State: model.StateActive, Weight: 1, Incarnation: 1})
		s.agents = append(s.agents, &simAgent{clock: clock.New(s.start), clockAt: s.start})
	}
	return s
}

// boot starts an incarnation of an agent, which receives the view shortly after.
func (s *sim) boot(i int) {
	a := s.agents[i]
	a.incarnation++
	a.crashed = false
	a.homes = &fakeHomes{contact: true}
	a.core = New(Options{Self: simID(i), Service: s.view.Service, Homes: a.homes, Settle: simSettle, Opens: s.opens, MaxClockSkew: s.clockSkew})
	a.nextTick = time.Time{}
	s.deliverView(i, s.random(200*time.Millisecond))
}

// changeMember changes a member in the current view. Each agent receives the view within 2 s.
func (s *sim) changeMember(i int, edit func(m *model.Member)) {
	members := slices.Clone(s.view.Members)
	edit(&members[i])
	s.view.Members = members
	for j := range s.agents {
		s.deliverView(j, s.random(2*time.Second))
	}
}

func (s *sim) deliverView(i int, d time.Duration) {
	v := s.view
	s.runAt(i, d, func(a *simAgent) {
		if n := len(a.homes.views); n > 0 && s.notNewer(v, a.homes.views[n-1]) {
			return // already has a newer view
		}
		a.homes.views = append(a.homes.views, v)
		a.homes.since = append(a.homes.since, s.timeAt(i))
		s.step(i, ViewChanged{View: v})
	})
}

// notNewer reports whether v is no newer than w, by the sequence numbers of the members.
func (s *sim) notNewer(v, w model.ServiceView) bool {
	var a, b uint64
	for i := range v.Members {
		a += uint64(v.Members[i].Incarnation)<<20 + v.Members[i].Seq
		b += uint64(w.Members[i].Incarnation)<<20 + w.Members[i].Seq
	}
	return a <= b
}

// runAt runs do at an agent after d, unless the agent restarts first. At a paused agent it runs after
// the pause.
func (s *sim) runAt(i int, d time.Duration, do func(*simAgent)) {
	a, incarnation := s.agents[i], s.agents[i].incarnation
	s.after(d, func() {
		switch {
		case a.crashed || a.incarnation != incarnation:
		case a.pausedUntil.After(s.now):
			s.runAt(i, a.pausedUntil.Sub(s.now), do)
		default:
			do(a)
		}
	})
}

// timeAt returns the time by the clock of an agent.
func (s *sim) timeAt(i int) time.Time {
	a := s.agents[i]
	a.clock.Advance(s.now.Sub(a.clockAt))
	a.clockAt = s.now
	return a.clock.Now()
}

func (s *sim) step(i int, ev Event) {
	a, now := s.agents[i], s.timeAt(i)
	for _, act := range slices.Clone(a.core.Step(now, ev)) {
		s.act(i, act)
	}
	if next := a.core.Next(); !a.nextTick.After(now) || next.Before(a.nextTick) {
		a.nextTick = next
		s.runAt(i, max(next.Sub(now), time.Millisecond), func(a *simAgent) { s.step(i, Tick{}) })
	}
}

func (s *sim) act(i int, act Action) {
	switch x := act.(type) {
	case Send:
		to := slices.IndexFunc(s.view.Members, func(m model.Member) bool { return m.ID == x.To })
		for range 2 {
			if s.rng.Float64() >= s.loss {
				d := s.random(8 * time.Millisecond)
				if s.rng.Float64() < 0.05 {
					d = s.random(10 * time.Second) // very late
				}
				s.runAt(to, d, func(*simAgent) { s.step(to, Received{From: simID(i), Msg: x.Msg}) })
			}
			if s.rng.Float64() >= s.dup {
				break
			}
		}
	case Proceed:
		s.run(i, s.sends[x.ID])
	case Replay:
		var n int
		fmt.Sscan(string(x.Answer.Body), &n)
		s.finish(s.sends[x.ID], func(o *send) { o.replay = n })
	case Refuse:
		s.finish(s.sends[x.ID], func(o *send) { o.refused, o.outcome = x.Reason, x.Outcome })
	}
}

func (s *sim) finish(o *send, record func(*send)) {
	if !o.done {
		o.done, o.ret = true, s.now
		record(o)
	}
}

// run simulates admission and the target: after a delay, the request runs or is refused.
func (s *sim) run(i int, o *send) {
	id := uint64(slices.Index(s.sends, o))
	s.runAt(i, s.random(time.Second), func(*simAgent) {
		if s.rng.IntN(6) == 0 { // refused by admission
			s.finish(o, func(o *send) { o.outcome = message.OutcomeNotRun })
			s.step(i, Ended{ID: id, Outcome: message.OutcomeNotRun})
			return
		}
		s.totalRuns++
		o.run = s.totalRuns
		s.runs[o.key]++
		s.runAt(i, s.random(3*time.Second), func(*simAgent) {
			if s.rng.IntN(8) == 0 { // the target's connection broke
				s.finish(o, func(o *send) { o.outcome = message.OutcomeUnknown })
				s.step(i, Ended{ID: id, Outcome: message.OutcomeUnknown})
				return
			}
			s.finish(o, func(o *send) { o.outcome = message.OutcomeRan })
			s.step(i, Ended{ID: id, Outcome: message.OutcomeRan, Answer: &message.Answer{Status: 200, Body: fmt.Append(nil, o.run)}})
		})
	})
}

// uuid7 returns a UUIDv7 key with the given time.
func (s *sim) uuid7(at time.Time, n int) string {
	ms := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", ms>>16, ms&0xffff, n&0xfff, n>>12&0xfff, n)
}

// addKey schedules one to four sends of a new key at random agents.
func (s *sim) addKey(at time.Duration, timed bool, over time.Duration) {
	n := len(s.keys)
	key := fmt.Sprint("invoice-", n)
	if timed {
		skew := s.random(8*time.Second) - 4*time.Second
		key = s.uuid7(s.start.Add(at+skew), n)
	}
	s.keys = append(s.keys, key)
	for range 1 + s.rng.IntN(4) {
		i := s.rng.IntN(len(s.agents))
		s.after(at+s.random(over), func() {
			s.runAt(i, 0, func(a *simAgent) {
				o := &send{key: n, call: s.now, agent: i, incarnation: a.incarnation}
				s.sends = append(s.sends, o)
				s.step(i, Begin{ID: uint64(len(s.sends) - 1), Key: key, Fingerprint: 7, Deadline: s.timeAt(i).Add(5 * time.Second)})
			})
		})
	}
}

func (s *sim) runUntil(d time.Duration) {
	end := s.start.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// checkHistory returns violations of these rules: a key runs at most once, a replay is the answer of
// that run, and a key refused as not-run has not run.
func (s *sim) checkHistory() []string {
	var out []string
	for k := range s.keys {
		if s.runs[k] > 1 {
			out = append(out, fmt.Sprintf("seed %d: key %d ran %d times", s.seed, k, s.runs[k]))
		}
	}
	if len(out) > 0 {
		return out // the linearizability check would take long and fail anyway
	}
	var history []porcupine.Operation
	for i, o := range s.sends {
		ret := s.now.Add(time.Hour) // no answer: it may take effect at any time
		if o.done {
			ret = o.ret
		}
		history = append(history, porcupine.Operation{ClientId: i, Input: o.key, Call: o.call.UnixNano(), Output: *o, Return: ret.UnixNano()})
	}
	if !porcupine.CheckOperations(keyRegister, history) {
		out = append(out, fmt.Sprintf("seed %d: the history of a key is not linearizable as a request that runs at most once", s.seed))
	}
	return out
}

// keyRegister models each key as a register that one run sets once. 0 means not run.
var keyRegister = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		var parts [][]porcupine.Operation
		for _, op := range history {
			for len(parts) <= op.Input.(int) {
				parts = append(parts, nil)
			}
			parts[op.Input.(int)] = append(parts[op.Input.(int)], op)
		}
		return slices.DeleteFunc(parts, func(p []porcupine.Operation) bool { return len(p) == 0 })
	},
	Init: func() any { return 0 },
	Step: func(state, _, output any) (bool, any) {
		o := output.(send)
		switch {
		case o.run != 0:
			return state == 0, o.run
		case o.replay != 0:
			return state == o.replay, state
		case o.refused != 0 && o.outcome == message.OutcomeNotRun:
			return state == 0, state
		}
		return true, state
	},
}
