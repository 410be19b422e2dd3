package admission

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/matryer/is"
)

func baseConfig(seed uint64) simConfig {
	return simConfig{
		seed: seed, agents: 7, slots: 3, load: 0.8, mean: 50 * time.Millisecond, deadline: 2 * time.Second,
		requests: 3000, delay: 500 * time.Microsecond, leavingAgent: -1, misreporting: -1,
	}
}

func requireNoViolations(t *testing.T, s *sim) {
	t.Helper()
	for _, f := range s.checkRules() {
		t.Error(f)
	}
}

func alwaysShed(int, time.Time) bool { return true }

// Guards against requests that run twice, end twice or never, start after the deadline or exceed the
// slots, and against slots that are never freed, when messages between agents are lost, late,
// duplicated and reordered, callers cancel, targets shed and an agent leaves.
func TestHistoryLossyMessages(t *testing.T) {
	for seed := range uint64(30) {
		cfg := baseConfig(seed)
		cfg.load = 0.5 + float64(seed%4)*0.4
		cfg.heavyTailed = seed%2 == 1
		cfg.loss, cfg.dup, cfg.cancels = 0.2, 0.2, 0.05
		cfg.delay = 4 * time.Millisecond
		cfg.leavingAgent = int(seed % 7)
		cfg.shed = func(agent int, now time.Time) bool { return agent == 3 && now.UnixMilli()/500%3 == 0 }
		s := newSim(cfg).run()
		requireNoViolations(t, s)
		is.New(t).True(s.latestStartAfterLeave < 2*time.Second) // no new work 2 s after the leave
	}
}

// Guards against growing queues and falling goodput at 3 times the load.
func TestHistoryTripleLoad(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(4) {
		cfg := baseConfig(seed)
		cfg.deadline = 300 * time.Millisecond
		cfg.load, cfg.heavyTailed = 0.95, seed%2 == 1
		peak := newSim(cfg).run()
		requireNoViolations(t, peak)
		cfg.load = 3
		s := newSim(cfg).run()
		requireNoViolations(t, s)
		is.True(s.goodput() >= 0.9*peak.goodput()) // at 3 times the load
	}
}

// Guards against a retry storm when every target sheds: each request is retried at most once, retries
// stay within 10% of the first sends, and the targets get only probes.
func TestFaultAllTargetsShed(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		cfg := baseConfig(seed)
		cfg.shed = alwaysShed
		s := newSim(cfg).run()
		requireNoViolations(t, s)
		retries, sends := 0, 0
		for _, r := range s.reqs {
			retries += r.retries
			sends += r.sends
			is.Equal(r.runs, 0)
			is.True(r.refused != 0)
		}
		is.True(retries <= cfg.requests/10)
		is.True(sends <= cfg.requests/10) // with 7 probes per pause, most requests never reach a target
	}
}

// Guards against retries beyond the retry budget and against a second retry of a request, while peers
// with free slots are always known. Five of seven targets shed every other request, so that agents
// never see consecutive shed answers and don't pause.
func TestFaultEveryOtherRequestShed(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		cfg := baseConfig(seed)
		cfg.slots, cfg.load = 8, 0.1
		var n [7]int
		cfg.shed = func(agent int, _ time.Time) bool { n[agent]++; return agent < 5 && n[agent]%2 == 0 }
		s := newSim(cfg).run()
		requireNoViolations(t, s)
		first, retries := make([]int, cfg.agents), make([]int, cfg.agents)
		for _, r := range s.reqs {
			first[r.origin]++
			retries[r.origin] += r.retries
		}
		for i := range first {
			is.True(retries[i] <= first[i]/10+retryBudgetBurst)
		}
		is.True(retries[0] > 10)
	}
}

// Guards against goodput lost to an agent that reports wrong load. Its own count of slots denies
// reservations, so goodput stays at 97% of that with correct reports.
func TestFaultMisleadingReports(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(4) {
		cfg := baseConfig(seed)
		cfg.load = 0.9
		accurate := newSim(cfg).run()
		cfg.misreporting = 2
		s := newSim(cfg).run()
		requireNoViolations(t, s)
		is.True(s.goodput() >= 0.97*accurate.goodput())
	}
}

// Guards against new work at a leaving agent, and against refusals while a peer could accept the
// request.
func TestFaultRequestsAtLeavingAgent(t *testing.T) {
	is := is.New(t)
	cfg := baseConfig(1)
	cfg.agents, cfg.load, cfg.leavingAgent = 3, 0.5, 0
	s := newSim(cfg).run()
	requireNoViolations(t, s)
	moved := 0
	for _, r := range s.reqs {
		if r.origin == 0 && r.arrived.After(s.leftAt) {
			is.True(r.runningAgent != 0 || r.runs == 0) // not run at the leaving agent
			if r.ran {
				moved++
			}
			is.True(r.ran) // the two others have free slots
		}
	}
	is.True(moved > 100)

	alone := New(Options{Slots: 1})
	alone.Step(s.now, Leave{})
	got := alone.Step(s.now, Arrive{ID: 1, Deadline: s.now.Add(time.Second), FirstSend: true})
	is.Equal(got[0].(Refuse).Reason, ReasonLeaving)
	is.Equal(got[0].(Refuse).Outcome, message.OutcomeNotRun)
}

// Guards against a refusal at a leaving agent because one reply of its only peer was lost or late,
// and against a request that waits forever.
func TestFaultReserveReplyLostAtLeavingAgent(t *testing.T) {
	for _, replies := range []bool{true, false} {
		is := is.New(t)
		now := time.Unix(1000, 0)
		c := New(Options{Self: "a", Slots: 1})
		c.Step(now, ViewChanged{View: model.ServiceView{Members: []model.Member{
			{ID: "a", Kind: model.KindAgent, State: model.StateLeaving, Slots: 1},
			{ID: "b", Kind: model.KindAgent, State: model.StateActive, Slots: 1},
		}}})
		c.Step(now, Leave{})
		reservations, moved, refused := 0, 0, 0
		act := func(actions []Action) {
			for _, a := range slices.Clone(actions) {
				switch a := a.(type) {
				case SendReserve:
					if reservations++; reservations == 2 && replies {
						for _, a := range c.Step(now, ReserveReply{From: "b", ID: a.Msg.ID, Granted: true}) {
							if m, ok := a.(MoveTo); ok && m.ID == 1 {
								moved++
							}
						}
					}
				case Refuse:
					refused++
				}
			}
		}
		act(c.Step(now, Arrive{ID: 1, Deadline: now.Add(10 * time.Second), FirstSend: true}))
		for range 100 { // 2 s
			now = now.Add(20 * time.Millisecond)
			act(c.Step(now, Tick{}))
		}
		if replies {
			is.Equal([]int{reservations, moved, refused}, []int{2, 1, 0})
		} else {
			is.Equal([]int{moved, refused}, []int{0, 1})
		}
	}
}

// Guards against a cold target that gets work for all its slots at once, and against a ramp that
// never ends.
func TestFaultColdStart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := New(Options{Slots: 8, Warmup: 30 * time.Second})
	runs := func() (n int) {
		for id := range RequestID(20) {
			for _, a := range c.Step(now, Arrive{ID: id + 1, Deadline: now.Add(time.Minute)}) {
				if _, ok := a.(Run); ok {
					n++
				}
			}
		}
		return n
	}
	is.Equal(runs(), 2)
	is.Equal(c.Load().Busy, 8) // peers see no free slot
	now = now.Add(30 * time.Second)
	c.Step(now, Tick{})
	is.Equal(c.Busy(), 8)
}

// Guards against a request that waits although it cannot start in time, and against the refusal of
// one that can.
func TestFaultCannotStartByDeadline(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := New(Options{Slots: 1})
	arrive := func(id RequestID, within time.Duration) Action {
		if out := c.Step(now, Arrive{ID: id, Deadline: now.Add(within), FirstSend: true}); len(out) > 0 {
			return out[0]
		}
		return nil
	}
	arrive(1, time.Second)
	now = now.Add(100 * time.Millisecond) // the service time observed
	c.Step(now, Finished{ID: 1, Outcome: message.OutcomeRan})
	is.Equal(arrive(2, time.Second), Run{ID: 2})
	is.Equal(arrive(3, time.Second), nil) // queued
	refused, ok := arrive(4, 250*time.Millisecond).(Refuse)
	is.True(ok)
	is.Equal(refused.Reason, ReasonCannotStart)
	is.Equal(refused.Outcome, message.OutcomeNotRun)
	is.Equal(arrive(5, 350*time.Millisecond), nil)
	is.True(!c.Next().After(now.Add(350 * time.Millisecond))) // a tick is due at the deadline
}

// Checks the actions for requests beyond the slot, a delayed grant of a peer, a shed answer and a
// refusal.
func TestGoldenSession(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	base := uint64(now.UnixMilli()) << 20
	c := New(Options{Self: "a", Slots: 1, Queue: 1})
	view := model.ServiceView{Members: []model.Member{
		{ID: "a", State: model.StateActive, Slots: 1}, {ID: "b", State: model.StateActive, Slots: 1},
	}}
	var got []string
	step := func(ev Event) {
		for _, a := range c.Step(now, ev) {
			if _, ok := a.(SendLoad); !ok {
				line := fmt.Sprintf("%T%+v", a, a)
				got = append(got, strings.ReplaceAll(line, fmt.Sprint(base/10), "#"))
			}
		}
		now = now.Add(time.Millisecond)
	}
	end := now.Add(time.Second)
	step(ViewChanged{View: view})
	step(Arrive{ID: 1, Deadline: end, FirstSend: true})
	step(Arrive{ID: 2, Deadline: end, FirstSend: true}) // queued
	step(Arrive{ID: 3, Deadline: end, FirstSend: true}) // queue full
	step(ReserveReply{From: "b", ID: base + 1, Waiting: true, Load: model.Load{Busy: 1}})
	step(ReserveReply{From: "b", ID: base + 1, Granted: true})
	step(Finished{ID: 2, Outcome: message.OutcomeRan})
	step(Finished{ID: 1, Outcome: message.OutcomeNotRun, Shed: true, SafeToMove: true})
	step(ReserveReply{From: "b", ID: base + 2, Load: model.Load{Busy: 1}})
	is.Equal(got, []string{
		"admission.Run{ID:1}",
		"admission.SendReserve{To:b Msg:{ID:#1 Waited:0s Queue:false Release:false}}",
		"admission.Refuse{ID:3 Reason:queue_full RetryAfter:1s Outcome:not-run}",
		"admission.MoveTo{ID:2 Node:b Reservation:#1 Reason:slots_busy}",
		"admission.SendReserve{To:b Msg:{ID:#2 Waited:6ms Queue:false Release:false}}",
		"admission.Refuse{ID:1 Reason:target_shed RetryAfter:1s Outcome:not-run}",
	})
}

// Guards against a reason without a name.
func TestGoldenReasons(t *testing.T) {
	is := is.New(t)
	for r := Reason(1); r < reasonEnd; r++ {
		is.True(r.String() != "")
	}
	is.Equal(reasonEnd.String(), "invalid")
}

// BenchmarkQueueing compares the waits and the imbalance of busy slots with those of one central queue
// and of random placement.
func BenchmarkQueueing(b *testing.B) {
	for _, heavyTailed := range []bool{false, true} {
		for _, load := range []float64{0.6, 0.8, 0.95} {
			b.Run(fmt.Sprintf("heavy=%t/load=%v", heavyTailed, load), func(b *testing.B) {
				for b.Loop() {
					cfg := baseConfig(1)
					cfg.heavyTailed, cfg.load, cfg.deadline, cfg.requests = heavyTailed, load, time.Minute, 60000
					s := newSim(cfg).run()
					waits := s.sortedWaits()
					central, centralImbalance := s.centralQueue()
					cfg.noPeers = true
					random := newSim(cfg).run()
					ms := func(d time.Duration) float64 { return float64(d) / 1e6 }
					b.ReportMetric(ms(p99(waits)), "p99-ms")
					b.ReportMetric(ms(p99(central)), "central-p99-ms")
					b.ReportMetric(ms(p99(random.sortedWaits())), "random-p99-ms")
					b.ReportMetric(s.imbalance/float64(s.samples), "imbalance")
					b.ReportMetric(centralImbalance, "central-imbalance")
					b.ReportMetric(random.imbalance/float64(random.samples), "random-imbalance")
					b.ReportMetric(float64(s.messages)/s.end.Sub(s.start).Seconds()/float64(s.agents), "msg/s/agent")
				}
			})
		}
	}
}

// BenchmarkOverload reports the goodput at 3 times the load as a share of the peak, and the retries
// when all targets shed.
func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		cfg := baseConfig(1)
		cfg.deadline, cfg.requests = 300*time.Millisecond, 60000
		peak := 0.0
		for _, load := range []float64{0.8, 0.95, 1.1} {
			cfg.load = load
			peak = max(peak, newSim(cfg).run().goodput())
		}
		cfg.load = 3
		b.ReportMetric(newSim(cfg).run().goodput()/peak, "goodput-3x/peak")
		cfg.shed = alwaysShed
		retries := 0
		for _, r := range newSim(cfg).run().reqs {
			retries += r.retries
		}
		b.ReportMetric(float64(retries)/float64(cfg.requests), "retries-all-shed/first-sends")
	}
}
