package keys

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/matryer/is"
)

// chaos plans crashes, restarts, pauses and leaves.
func (s *sim) chaos(over time.Duration) {
	for range 1 + s.rng.IntN(4) {
		i := s.rng.IntN(len(s.agents))
		at := 15*time.Second + s.random(over)
		switch s.rng.IntN(3) {
		case 0:
			s.after(at, func() { s.crash(i, s.random(9*time.Second)) })
		case 1:
			s.after(at, func() { s.pause(i, time.Second+s.random(8*time.Second)) })
		case 2:
			s.after(at, func() {
				s.change(i, func(m *model.Member) { m.State = model.StateLeaving; m.Seq++ })
				s.after(s.random(12*time.Second), func() {
					s.change(i, func(m *model.Member) { m.State = model.StateActive; m.Seq++ })
				})
			})
		}
	}
}

// crash ends a life; the others suspect the agent after 3 s unless it is back.
func (s *sim) crash(i int, downtime time.Duration) {
	a := s.agents[i]
	if a.dead {
		return
	}
	a.dead = true
	inc := s.view.Members[i].Incarnation
	s.after(3500*time.Millisecond, func() {
		if s.view.Members[i].Incarnation == inc && a.dead {
			s.change(i, func(m *model.Member) { m.State = model.StateSuspect; m.Seq++ })
		}
	})
	s.after(downtime, func() {
		s.change(i, func(m *model.Member) { m.State = model.StateActive; m.Incarnation++; m.Seq = 0 })
		s.boot(i)
	})
}

func (s *sim) pause(i int, d time.Duration) {
	a, inc := s.agents[i], s.view.Members[i].Incarnation
	if a.dead {
		return
	}
	a.paused = s.now.Add(d)
	if d < 3500*time.Millisecond {
		return
	}
	s.after(3500*time.Millisecond, func() {
		if s.view.Members[i].Incarnation == inc {
			s.change(i, func(m *model.Member) { m.State = model.StateSuspect; m.Seq++ })
		}
	})
	s.after(d+100*time.Millisecond, func() {
		if s.view.Members[i].Incarnation == inc && !a.dead {
			s.change(i, func(m *model.Member) { m.State = model.StateActive; m.Seq++ })
		}
	})
}

type tally map[string]int

func (s *sim) tally(into tally) {
	for _, o := range s.sends {
		switch {
		case o.run != 0:
			into["ran"]++
		case o.replay != 0:
			into["replayed"]++
		case o.refused != 0:
			into[o.refused.String()]++
		default:
			into["no answer or refused by admission"]++
		}
	}
}

// Guards against a key that runs twice, a replay of a wrong answer and a false
// not-run, when messages are lost, doubled and late, agents crash, restart,
// pause and leave, views differ, and sends of a key meet at several agents.
func TestHistoryKeyRunsAtMostOnce(t *testing.T) {
	sum := tally{}
	for seed := range uint64(150) {
		s := newSim(seed, 1+int(seed%5))
		s.loss, s.dup = 0.15, 0.15
		if seed%2 == 0 {
			s.opens = s.start.Add(12 * time.Second)
		}
		for i := range s.agents {
			s.boot(i)
		}
		for range 60 {
			s.addKey(s.random(60*time.Second), s.rng.IntN(2) == 0, 25*time.Second)
		}
		s.chaos(45 * time.Second)
		s.runUntil(2 * time.Minute)
		for _, f := range s.check() {
			t.Error(f)
		}
		s.tally(sum)
	}
	t.Log(sum)
	is := is.New(t)
	is.True(sum["ran"] > 1000) // the check is empty if nothing runs
	is.True(sum["replayed"] > 500)
	is.True(sum["key_in_progress"] > 50)
}

// quiet returns agents without faults that have settled and been open for a while.
func quiet(agents int) *sim {
	s := newSim(1, agents)
	s.opens = s.start.Add(10 * time.Second)
	for i := range s.agents {
		s.boot(i)
	}
	s.runUntil(15 * time.Second)
	return s
}

// sendAt sends a key at an agent now and returns how that ended.
func (s *sim) sendAt(i int, key string, wait time.Duration) *send {
	n := 0
	for n < len(s.keys) && s.keys[n] != key {
		n++
	}
	if n == len(s.keys) {
		s.keys = append(s.keys, key)
	}
	o := &send{key: n, call: s.now, agent: i}
	s.sends = append(s.sends, o)
	s.step(i, Begin{ID: uint64(len(s.sends) - 1), Key: key, Fingerprint: 7, Deadline: s.now.Add(5 * time.Second)})
	s.runUntil(s.now.Sub(s.start) + wait)
	return o
}

// ranKey returns a key that ran with an answer; sends that the simulated
// admission refused or the target broke off are passed over.
func ranKey(t *testing.T, s *sim, agent int, timed bool) (string, *send) {
	t.Helper()
	for n := range 50 {
		key := fmt.Sprint("key-", n)
		if timed {
			key = s.uuid7(s.now, n)
		}
		if o := s.sendAt(agent, key, 6*time.Second); o.outcome == message.OutcomeRan {
			return key, o
		}
	}
	t.Fatal("no key ran")
	return "", nil
}

// Guards against a second run after one home, and an unknown that should be a
// replay; and against a second run after both homes were lost.
func TestFaultHomesLost(t *testing.T) {
	is := is.New(t)
	for _, timed := range []bool{false, true} {
		s := quiet(3)
		key, first := ranKey(t, s, 0, timed)
		homes := s.agents[0].homes.Joint(s.now, bucketHash(s.view.Service, bucketOf(s.view.Service, key)), 2)[0]
		index := func(id model.NodeID) (i int) { fmt.Sscanf(string(id), "agent-%d", &i); return i }
		s.crash(index(homes[0]), time.Second)
		s.runUntil(s.now.Sub(s.start) + 20*time.Second)
		is.Equal(s.sendAt(0, key, 6*time.Second).replay, first.run) // the other home knows it
		s.crash(index(homes[1]), time.Second)
		s.runUntil(s.now.Sub(s.start) + 20*time.Second)
		is.Equal(s.sendAt(1, key, 6*time.Second).replay, first.run) // it was copied in between

		s.crash(index(homes[0]), time.Second)
		s.crash(index(homes[1]), time.Second)
		s.runUntil(s.now.Sub(s.start) + 30*time.Second)
		o := s.sendAt(2, key, 6*time.Second)
		is.Equal(o.refused, ReasonNoCoverage)
		is.Equal(o.outcome, message.OutcomeUnknown)
		is.Equal(s.check(), nil)

		_, later := ranKey(t, s, 1, true) // keys issued since then run
		is.True(later.run > 0)
	}
}

// Guards against an unknown while the view is unsettled: the homes of the view
// before still know the key, and the new ones copy it from them.
func TestFaultBothHomesLeave(t *testing.T) {
	is := is.New(t)
	s := quiet(5)
	key, first := ranKey(t, s, 0, false)
	homes := s.agents[0].homes.Joint(s.now, bucketHash(s.view.Service, bucketOf(s.view.Service, key)), 2)[0]
	asker := 0
	for simID(asker) == homes[0] || simID(asker) == homes[1] {
		asker++
	}
	members := slices.Clone(s.view.Members)
	for i := range members {
		if slices.Contains(homes, members[i].ID) {
			members[i].State, members[i].Seq = model.StateLeaving, 1
		}
	}
	s.view.Members = members
	for i := range s.agents {
		s.learn(i, s.random(time.Second))
	}
	s.runUntil(s.now.Sub(s.start) + 2*time.Second)
	is.True(!s.agents[asker].homes.Settled(s.now))
	is.Equal(s.sendAt(asker, key, time.Second).replay, first.run)
	s.runUntil(s.now.Sub(s.start) + 20*time.Second)
	is.Equal(s.sendAt(asker, key, time.Second).replay, first.run) // by the new homes
}

// Guards against a run whose runner died being started again.
func TestFaultRunnerDies(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		s := quiet(3)
		s.rng.Uint64N(seed + 1)
		key := s.uuid7(s.now, int(seed))
		homes := s.agents[0].homes.Joint(s.now, bucketHash(s.view.Service, bucketOf(s.view.Service, key)), 2)[0]
		runner := 0
		for simID(runner) == homes[0] || simID(runner) == homes[1] {
			runner++
		}
		s.sendAt(runner, key, 60*time.Millisecond) // all homes granted
		s.crash(runner, time.Second)
		o := s.sendAt((runner+1)%3, key, time.Second)
		is.Equal(o.refused, ReasonInProgress)
		s.runUntil(s.now.Sub(s.start) + 20*time.Second)
		o = s.sendAt((runner+1)%3, key, time.Second)
		is.Equal(o.refused, ReasonUnknown)
		is.Equal(s.check(), nil)
	}
}

// Guards against a restarted single agent that runs a key again, and against
// one that refuses keys issued after its restart.
func TestFaultSingleAgentRestarts(t *testing.T) {
	is := is.New(t)
	s := quiet(1)
	timed, _ := ranKey(t, s, 0, true)
	plain, _ := ranKey(t, s, 0, false)
	s.crash(0, time.Second)
	s.runUntil(s.now.Sub(s.start) + 20*time.Second)
	is.Equal(s.sendAt(0, timed, time.Second).refused, ReasonNoCoverage)
	is.Equal(s.sendAt(0, plain, time.Second).refused, ReasonNoCoverage)
	ranKey(t, s, 0, true)
	s.runUntil(s.now.Sub(s.start) + time.Hour + time.Minute)
	ranKey(t, s, 0, false) // a key without a time counts as new after the retention
	is.Equal(s.sendAt(0, timed, time.Second).refused, ReasonNoCoverage)
}

// begin returns the verdict of a home on a KeyBegin.
func begin(c *Core, now time.Time, m message.KeyBegin) message.KeyVerdict {
	for _, a := range c.Step(now, Received{From: "runner", Msg: m}) {
		if r, ok := a.(Send).Msg.(message.KeyReply); ok {
			return r.Verdict
		}
	}
	return 0
}

// Golden session of a home: duplicates, a late copy after the end and after a
// release, another body, another runner, a full store.
func TestGoldenHomeSession(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	view := model.ServiceView{Service: "s", Members: []model.Member{
		{ID: "home", State: model.StateActive}, {ID: "runner", State: model.StateLeaving}, {ID: "other", State: model.StateLeaving},
	}}
	homes := &fakeHomes{contact: true, views: []model.ServiceView{view}, since: []time.Time{now.Add(-time.Hour)}}
	c := New(Options{Self: "home", Service: "s", Homes: homes, Opens: now.Add(time.Hour), MaxRecords: 2})
	c.Step(now, ViewChanged{View: view})
	m := message.KeyBegin{ID: 5, Service: "s", Key: "k", Fingerprint: 1, ViewHash: homes.Fingerprint()}
	is.Equal(begin(c, now, m), message.KeyGranted)
	is.Equal(begin(c, now, m), message.KeyGranted) // the same attempt
	second := m
	second.ID = 6
	is.Equal(begin(c, now, second), message.KeyInProgress)
	second.Fingerprint = 2
	is.Equal(begin(c, now, second), message.KeyMismatch)
	done := message.KeyDone{ID: 5, Service: "s", Key: "k", Outcome: message.OutcomeRan, Answer: &message.Answer{Status: 200}}
	c.Step(now, Received{From: "runner", Msg: done})
	is.Equal(begin(c, now, m), message.KeyAnswered) // late, after the end
	done.Outcome = message.OutcomeNotRun
	c.Step(now, Received{From: "runner", Msg: done}) // must not remove what ran
	second.Fingerprint = 1
	is.Equal(begin(c, now, second), message.KeyAnswered)

	other := message.KeyBegin{ID: 7, Service: "s", Key: "k2", Fingerprint: 1, ViewHash: m.ViewHash}
	is.Equal(begin(c, now, other), message.KeyGranted)
	c.Step(now, Received{From: "runner", Msg: message.KeyDone{ID: 7, Service: "s", Key: "k2", Outcome: message.OutcomeNotRun}})
	is.Equal(begin(c, now, other), message.KeyVerdict(0)) // a late copy after the release
	other.ID = 8
	other.ViewHash++
	is.Equal(begin(c, now, other), message.KeyRetry) // another view
	other.ViewHash--
	is.Equal(begin(c, now, other), message.KeyGranted)
	other.ID, other.Key = 9, "k3"
	is.Equal(begin(c, now, other), message.KeyFull)
	other.Issued = now.Add(time.Minute)
	is.Equal(begin(c, now, other), message.KeyRetry) // its time is ahead
}

// Guards against a home that vouches for keys after it was paused or lost
// contact: others may have run them without it.
func TestFaultHomePausedOrCutOff(t *testing.T) {
	is := is.New(t)
	for _, paused := range []bool{true, false} {
		now := time.Unix(1_800_000_000, 0)
		view := model.ServiceView{Service: "s", Members: []model.Member{{ID: "home", State: model.StateActive}, {ID: "runner", State: model.StateLeaving}}}
		homes := &fakeHomes{contact: true, views: []model.ServiceView{view}, since: []time.Time{now.Add(-time.Hour)}}
		c := New(Options{Self: "home", Service: "s", Homes: homes, Opens: now.Add(time.Minute)})
		c.Step(now, ViewChanged{View: view})
		tick := func(n int) {
			for range n {
				now = now.Add(time.Second)
				c.Step(now, Tick{})
			}
		}
		answers := func(viewHash uint64) bool {
			out := c.Step(now, Received{From: "runner", Msg: message.KeyPull{ID: 1, Service: "s", ViewHash: viewHash, Buckets: []uint16{1}}})
			return len(out) > 0
		}
		m := message.KeyBegin{ID: 1, Service: "s", Key: "before", Fingerprint: 1, ViewHash: homes.Fingerprint()}
		tick(120)
		is.Equal(begin(c, now, m), message.KeyGranted)
		is.True(answers(homes.Fingerprint()))
		is.True(!answers(homes.Fingerprint() + 1)) // the asker would miss runs of the other view
		m.ID, m.Key = 2, "after"
		if paused {
			now = now.Add(10 * time.Second)
			is.Equal(begin(c, now, m), message.KeyRetry)
			is.True(!answers(homes.Fingerprint()))
		} else {
			homes.contact = false
			tick(1)
			is.True(!answers(homes.Fingerprint()))
			homes.contact = true
		}
		tick(10)
		is.Equal(begin(c, now, m), message.KeyNoted) // stored, but not vouched for
	}
}

// Guards against a key whose time is misread, and a reason without a name.
func TestGoldenIssuedAndReasons(t *testing.T) {
	is := is.New(t)
	is.Equal(Issued("017f22e2-79b0-7cc3-98c4-dc0c0c07398f").UnixMilli(), int64(0x017f22e279b0)) // RFC 9562, A.6
	is.Equal(Issued(`"017F22E2-79B0-7CC3-98C4-DC0C0C07398F"`).UnixMilli(), int64(0x017f22e279b0))
	for _, key := range []string{"", "k", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-18c4-dc0c0c07398f", "017f22e2-79b0-7cc3-98c4-dc0c0c07398g", "z17f22e2-79b0-7cc3-98c4-dc0c0c07398f"} {
		is.True(Issued(key).IsZero())
	}
	for r := Reason(1); r < reasonEnd; r++ {
		is.True(r.String() != "")
	}
}

// Guards against records that are dropped while the retention lasts or kept
// forever, and against answers beyond the bound on memory.
func TestFaultRetentionAndBounds(t *testing.T) {
	is := is.New(t)
	s := quiet(1)
	c := s.agents[0].core
	key, first := ranKey(t, s, 0, false)
	s.runUntil(s.now.Sub(s.start) + 59*time.Minute)
	is.Equal(s.sendAt(0, key, time.Second).replay, first.run)
	s.runUntil(s.now.Sub(s.start) + 3*time.Minute)
	is.Equal(c.count, 0)
	is.Equal(c.answerBytes, 0)
	is.Equal(len(c.order), 0)

	big := c.fit(&message.Answer{Status: 200, Body: make([]byte, defaultMaxAnswer+1)})
	is.True(big.Truncated && big.Body == nil)
}
