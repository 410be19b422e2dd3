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

// scheduleFaults schedules one to four crashes, pauses and leaves with returns.
func (s *sim) scheduleFaults(over time.Duration) {
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
				s.changeMember(i, func(m *model.Member) { m.State = model.StateLeaving; m.Seq++ })
				s.after(s.random(12*time.Second), func() {
					s.changeMember(i, func(m *model.Member) { m.State = model.StateActive; m.Seq++ })
				})
			})
		}
	}
}

// crash stops an agent and restarts it after the downtime. Its state becomes suspect after 3.5 s,
// unless it is back.
func (s *sim) crash(i int, downtime time.Duration) {
	a := s.agents[i]
	if a.crashed {
		return
	}
	a.crashed = true
	incarnation := s.view.Members[i].Incarnation
	s.after(3500*time.Millisecond, func() {
		if s.view.Members[i].Incarnation == incarnation && a.crashed {
			s.changeMember(i, func(m *model.Member) { m.State = model.StateSuspect; m.Seq++ })
		}
	})
	s.after(downtime, func() {
		s.changeMember(i, func(m *model.Member) { m.State = model.StateActive; m.Incarnation++; m.Seq = 0 })
		s.boot(i)
	})
}

// pause stops the steps of an agent for d. Its state is suspect from 3.5 s on until shortly after the
// pause.
func (s *sim) pause(i int, d time.Duration) {
	a, incarnation := s.agents[i], s.view.Members[i].Incarnation
	if a.crashed {
		return
	}
	a.pausedUntil = s.now.Add(d)
	if d < 3500*time.Millisecond {
		return
	}
	s.after(3500*time.Millisecond, func() {
		if s.view.Members[i].Incarnation == incarnation {
			s.changeMember(i, func(m *model.Member) { m.State = model.StateSuspect; m.Seq++ })
		}
	})
	s.after(d+100*time.Millisecond, func() {
		if s.view.Members[i].Incarnation == incarnation && !a.crashed {
			s.changeMember(i, func(m *model.Member) { m.State = model.StateActive; m.Seq++ })
		}
	})
}

// tally counts sends by their result.
type tally map[string]int

// tally adds the results of the simulation's sends.
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

// Guards against a key that runs twice, a replay of a wrong answer and a false not-run, when messages
// are lost, duplicated and late, agents crash, restart, pause and leave, views differ, and sends of
// a key arrive at several agents.
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
		s.scheduleFaults(45 * time.Second)
		s.runUntil(2 * time.Minute)
		for _, f := range s.checkHistory() {
			t.Error(f)
		}
		s.tally(sum)
	}
	t.Log(sum)
	is := is.New(t)
	is.True(sum["ran"] > 1000) // with few runs the history would prove little
	is.True(sum["replayed"] > 500)
	is.True(sum["key_in_progress"] > 50)
}

// newSettledSim returns a simulation without faults whose views have settled after the opening.
func newSettledSim(agents int) *sim {
	s := newSim(1, agents)
	s.opens = s.start.Add(12 * time.Second)
	for i := range s.agents {
		s.boot(i)
	}
	s.runUntil(15 * time.Second)
	return s
}

// sendAt sends a key to an agent now and returns the send after wait.
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
	s.step(i, Begin{ID: uint64(len(s.sends) - 1), Key: key, Fingerprint: 7, Deadline: s.timeAt(i).Add(5 * time.Second)})
	s.runUntil(s.now.Sub(s.start) + wait)
	return o
}

// ranKey returns a key that ran with an answer; timed selects a key with a timestamp. It skips sends
// that the simulated admission refused or whose target connection broke.
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

// Guards against a second run or an unknown outcome after one home was lost, where the answer should
// be replayed, and against a second run after both homes were lost.
func TestFaultHomesLost(t *testing.T) {
	is := is.New(t)
	for _, timed := range []bool{false, true} {
		s := newSettledSim(3)
		key, first := ranKey(t, s, 0, timed)
		homes := s.agents[0].homes.HomeSets(s.now, bucketHash(s.view.Service, bucketOf(s.view.Service, key)), 2)[0]
		index := func(id model.NodeID) (i int) { fmt.Sscanf(string(id), "agent-%d", &i); return i }
		s.crash(index(homes[0]), time.Second)
		s.runUntil(s.now.Sub(s.start) + 20*time.Second)
		is.Equal(s.sendAt(0, key, 6*time.Second).replay, first.run) // the other home has the record
		s.crash(index(homes[1]), time.Second)
		s.runUntil(s.now.Sub(s.start) + 20*time.Second)
		is.Equal(s.sendAt(1, key, 6*time.Second).replay, first.run) // the record was copied in between

		s.crash(index(homes[0]), time.Second)
		s.crash(index(homes[1]), time.Second)
		s.runUntil(s.now.Sub(s.start) + 30*time.Second)
		o := s.sendAt(2, key, 6*time.Second)
		is.Equal(o.refused, ReasonNoCoverage)
		is.Equal(o.outcome, message.OutcomeUnknown)
		is.Equal(s.checkHistory(), nil)

		_, later := ranKey(t, s, 1, true) // keys with a later timestamp run
		is.True(later.run > 0)
	}
}

// Guards against an unknown outcome while the view is unsettled: the homes of the previous view
// still have the record, and the new ones copy it from them.
func TestFaultBothHomesLeave(t *testing.T) {
	is := is.New(t)
	s := newSettledSim(5)
	key, first := ranKey(t, s, 0, false)
	homes := s.agents[0].homes.HomeSets(s.now, bucketHash(s.view.Service, bucketOf(s.view.Service, key)), 2)[0]
	runner := 0
	for simID(runner) == homes[0] || simID(runner) == homes[1] {
		runner++
	}
	members := slices.Clone(s.view.Members)
	for i := range members {
		if slices.Contains(homes, members[i].ID) {
			members[i].State, members[i].Seq = model.StateLeaving, 1
		}
	}
	s.view.Members = members
	for i := range s.agents {
		s.deliverView(i, s.random(time.Second))
	}
	s.runUntil(s.now.Sub(s.start) + 2*time.Second)
	is.True(!s.agents[runner].homes.Settled(s.now))
	is.Equal(s.sendAt(runner, key, time.Second).replay, first.run)
	s.runUntil(s.now.Sub(s.start) + 20*time.Second)
	is.Equal(s.sendAt(runner, key, time.Second).replay, first.run) // by the new homes
}

// Guards against a second run of a key whose runner crashed during the run.
func TestFaultRunnerDies(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		s := newSettledSim(3)
		s.rng.Uint64N(seed + 1)
		key := s.uuid7(s.now, int(seed))
		homes := s.agents[0].homes.HomeSets(s.now, bucketHash(s.view.Service, bucketOf(s.view.Service, key)), 2)[0]
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
		is.Equal(s.checkHistory(), nil)
	}
}

// Guards against a restarted single agent that runs a key again, and against one that refuses keys
// issued after its restart.
func TestFaultSingleAgentRestarts(t *testing.T) {
	is := is.New(t)
	s := newSettledSim(1)
	timed, _ := ranKey(t, s, 0, true)
	plain, _ := ranKey(t, s, 0, false)
	s.crash(0, time.Second)
	s.runUntil(s.now.Sub(s.start) + 20*time.Second)
	is.Equal(s.sendAt(0, timed, time.Second).refused, ReasonNoCoverage)
	is.Equal(s.sendAt(0, plain, time.Second).refused, ReasonNoCoverage)
	ranKey(t, s, 0, true)
	s.runUntil(s.now.Sub(s.start) + time.Hour + time.Minute)
	ranKey(t, s, 0, false) // a key without a timestamp may run after the retention
	is.Equal(s.sendAt(0, timed, time.Second).refused, ReasonNoCoverage)
}

// stepKeyBegin returns the verdict of a home on a KeyBegin.
func stepKeyBegin(c *Core, now time.Time, m message.KeyBegin) message.KeyVerdict {
	for _, a := range c.Step(now, Received{From: "runner", Msg: m}) {
		if r, ok := a.(Send).Msg.(message.KeyReply); ok {
			return r.Verdict
		}
	}
	return 0
}

// Checks the verdicts of a home on duplicates, late duplicates after the end and after a release, a
// different request with the same key, another view, full records and a timestamp in the future.
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
	is.Equal(stepKeyBegin(c, now, m), message.KeyGranted)
	is.Equal(stepKeyBegin(c, now, m), message.KeyGranted) // the same attempt
	second := m
	second.ID = 6
	is.Equal(stepKeyBegin(c, now, second), message.KeyInProgress)
	second.Fingerprint = 2
	is.Equal(stepKeyBegin(c, now, second), message.KeyMismatch)
	done := message.KeyDone{ID: 5, Service: "s", Key: "k", Outcome: message.OutcomeRan, Answer: &message.Answer{Status: 200}}
	c.Step(now, Received{From: "runner", Msg: done})
	is.Equal(stepKeyBegin(c, now, m), message.KeyAnswered) // late duplicate after the end
	done.Outcome = message.OutcomeNotRun
	c.Step(now, Received{From: "runner", Msg: done}) // must not remove the record of a completed run
	second.Fingerprint = 1
	is.Equal(stepKeyBegin(c, now, second), message.KeyAnswered)

	other := message.KeyBegin{ID: 7, Service: "s", Key: "k2", Fingerprint: 1, ViewHash: m.ViewHash}
	is.Equal(stepKeyBegin(c, now, other), message.KeyGranted)
	c.Step(now, Received{From: "runner", Msg: message.KeyDone{ID: 7, Service: "s", Key: "k2", Outcome: message.OutcomeNotRun}})
	is.Equal(stepKeyBegin(c, now, other), message.KeyVerdict(0)) // late duplicate after the release
	other.ID = 8
	other.ViewHash++
	is.Equal(stepKeyBegin(c, now, other), message.KeyRetry) // another view
	other.ViewHash--
	is.Equal(stepKeyBegin(c, now, other), message.KeyGranted)
	other.ID, other.Key = 9, "k3"
	is.Equal(stepKeyBegin(c, now, other), message.KeyRecordsFull)
	other.Issued = now.Add(time.Minute)
	is.Equal(stepKeyBegin(c, now, other), message.KeyRetry) // its timestamp is ahead
}

// Guards against a home that grants keys after it was paused or lost contact: others may have run
// them without it.
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
		answersPull := func(viewHash uint64) bool {
			out := c.Step(now, Received{From: "runner", Msg: message.KeyPull{ID: 1, Service: "s", ViewHash: viewHash, Buckets: []uint16{1}}})
			return len(out) > 0
		}
		m := message.KeyBegin{ID: 1, Service: "s", Key: "before", Fingerprint: 1, ViewHash: homes.Fingerprint()}
		tick(120)
		is.Equal(stepKeyBegin(c, now, m), message.KeyGranted)
		is.True(answersPull(homes.Fingerprint()))
		is.True(!answersPull(homes.Fingerprint() + 1)) // would miss runs under the other view
		m.ID, m.Key = 2, "after"
		if paused {
			now = now.Add(10 * time.Second)
			is.Equal(stepKeyBegin(c, now, m), message.KeyRetry)
			is.True(!answersPull(homes.Fingerprint()))
		} else {
			homes.contact = false
			tick(1)
			is.True(!answersPull(homes.Fingerprint()))
			homes.contact = true
		}
		tick(10)
		is.Equal(stepKeyBegin(c, now, m), message.KeyNotCovered) // stored, but without coverage
	}
}

// Guards against a key whose timestamp is misread, and against a reason without a name.
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

// Guards against records that are dropped within the retention or kept forever, and against answers
// beyond the memory bound.
func TestFaultRetentionAndBounds(t *testing.T) {
	is := is.New(t)
	s := newSettledSim(1)
	c := s.agents[0].core
	key, first := ranKey(t, s, 0, false)
	s.runUntil(s.now.Sub(s.start) + 59*time.Minute)
	is.Equal(s.sendAt(0, key, time.Second).replay, first.run)
	s.runUntil(s.now.Sub(s.start) + 3*time.Minute)
	is.Equal(c.recordCount, 0)
	is.Equal(c.answerBytes, 0)
	is.Equal(len(c.attempts), 0)

	big := c.truncateAnswer(&message.Answer{Status: 200, Body: make([]byte, defaultMaxAnswer+1)})
	is.True(big.Truncated && big.Body == nil)
}
