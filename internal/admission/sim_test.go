package admission

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// simConfig configures one simulation of agents, with virtual time and seeded randomness.
type simConfig struct {
	seed         uint64
	agents       int
	slots        int
	load         float64 // offered load as a share of all slots
	mean         time.Duration
	heavyTailed  bool // lognormal service times, sigma 1.5
	deadline     time.Duration
	requests     int
	delay        time.Duration // one way, between agents
	loss, dup    float64       // of messages between agents
	cancels      float64       // share of the requests that their callers close
	shed         func(agent int, now time.Time) bool
	warmup       time.Duration // see Options.Warmup
	noPeers      bool          // agents know no peers: random placement
	leavingAgent int           // agent that leaves at half time, or -1
	misreporting int           // agent that always reports no load, or -1
}

type simRequest struct {
	arrived, started, deadline time.Time
	service                    time.Duration
	origin, runningAgent       int
	sends, runs, ends, retries int
	ran, cancelled             bool
	refused                    Reason
	retryAfter                 time.Duration
	outcome                    message.Outcome
	finishedAt                 time.Time
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
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type sim struct {
	simConfig
	rng                   *rand.Rand
	start                 time.Time
	now                   time.Time
	end                   time.Time // arrival of the last request
	events                simQueue
	seq                   int
	cores                 []*Core
	nextTicks             []time.Time
	runningByAgent        []int
	reqs                  []*simRequest
	violations            []string
	imbalance             float64 // sum over the samples, in shares of an agent's slots
	samples               int
	messages              int
	latestStartAfterLeave time.Duration // longest time from the leave to a start at the leaving agent
	leftAt                time.Time
}

func (s *sim) schedule(t time.Time, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{t, s.seq, do})
}

func (s *sim) addViolation(format string, args ...any) {
	if len(s.violations) < 5 {
		s.violations = append(s.violations, fmt.Sprintf("seed %d: ", s.seed)+fmt.Sprintf(format, args...))
	}
}

func simID(i int) model.NodeID { return model.NodeID(fmt.Sprintf("agent-%02d", i)) }

func simIndex(id model.NodeID) (i int) {
	fmt.Sscanf(string(id), "agent-%d", &i)
	return i
}

func (s *sim) serviceTime() time.Duration {
	if s.heavyTailed {
		const sigma = 1.5
		return time.Duration(float64(s.mean) * math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2))
	}
	return time.Duration(float64(s.mean) * (0.5 + s.rng.Float64()))
}

func newSim(cfg simConfig) *sim {
	s := &sim{simConfig: cfg, rng: rand.New(rand.NewPCG(cfg.seed, 7)), start: time.Unix(1000, 0)}
	s.now = s.start
	view := model.ServiceView{Service: "dispatch"}
	for i := range cfg.agents {
		view.Members = append(view.Members, model.Member{ID: simID(i), Kind: model.KindAgent, State: model.StateActive, Slots: cfg.slots})
	}
	s.runningByAgent = make([]int, cfg.agents)
	s.nextTicks = make([]time.Time, cfg.agents)
	for i := range cfg.agents {
		s.cores = append(s.cores, New(Options{Self: simID(i), Slots: cfg.slots, Seed: cfg.seed, Warmup: cfg.warmup}))
		if !cfg.noPeers {
			s.step(i, ViewChanged{View: view})
		}
	}
	gap := float64(cfg.mean) / (cfg.load * float64(cfg.agents*cfg.slots))
	t := s.start
	for i := range cfg.requests {
		t = t.Add(time.Duration(gap * s.rng.ExpFloat64()))
		r := &simRequest{arrived: t, deadline: t.Add(cfg.deadline), service: s.serviceTime(), origin: s.rng.IntN(cfg.agents)}
		s.reqs = append(s.reqs, r)
		s.schedule(t, func() {
			s.step(r.origin, Arrive{ID: RequestID(i + 1), Deadline: r.deadline, FirstSend: true})
		})
		if s.rng.Float64() < cfg.cancels {
			s.schedule(t.Add(time.Duration(s.rng.Int64N(int64(2*cfg.mean)))), func() { s.cancel(i) })
		}
	}
	s.end = t
	if cfg.leavingAgent >= 0 {
		s.schedule(s.start.Add(t.Sub(s.start)/2), func() {
			s.leftAt = s.now
			s.step(cfg.leavingAgent, Leave{})
		})
	}
	for at := s.start; at.Before(t); at = at.Add(cfg.mean / 4) {
		s.schedule(at, s.sample)
	}
	return s
}

func (s *sim) cancel(i int) {
	if r := s.reqs[i]; r.ends == 0 {
		r.cancelled = true
		r.ends++
		s.step(r.origin, Cancelled{ID: RequestID(i + 1)})
	}
}

func (s *sim) sample() {
	s.imbalance += float64(slices.Max(s.runningByAgent)-slices.Min(s.runningByAgent)) / float64(s.slots)
	s.samples++
}

// run processes all events, with an extra minute at the end for late messages.
func (s *sim) run() *sim {
	limit := s.end.Add(time.Minute)
	for n := 0; len(s.events) > 0; n++ {
		if n > 1000*s.requests {
			s.addViolation("no progress after %d events", n)
			break
		}
		e := heap.Pop(&s.events).(simEvent)
		if e.at.After(limit) {
			break
		}
		s.now = e.at
		e.do()
	}
	return s
}

func (s *sim) step(a int, ev Event) {
	c := s.cores[a]
	for _, act := range slices.Clone(c.Step(s.now, ev)) {
		s.act(a, act)
	}
	if len(c.queue) > c.opts.Queue || len(c.grants) > 8*s.slots+c.opts.Queue {
		s.addViolation("agent %d has %d queued requests and %d grants", a, len(c.queue), len(c.grants))
	}
	if next := c.Next(); !next.IsZero() && (s.nextTicks[a].IsZero() || !s.nextTicks[a].After(s.now) || next.Before(s.nextTicks[a])) {
		s.nextTicks[a] = next
		s.schedule(next, func() { s.step(a, Tick{}) })
	}
}

// send delivers an event from one agent to another, with losses, duplicates and jitter.
func (s *sim) send(from, to int, ev Event) {
	s.messages++
	for range 2 {
		if s.rng.Float64() >= s.loss {
			jitter := time.Duration(0)
			if s.loss > 0 {
				jitter = time.Duration(s.rng.Int64N(int64(s.delay) * 4))
			}
			s.schedule(s.now.Add(s.delay+jitter), func() { s.step(to, ev) })
		}
		if s.rng.Float64() >= s.dup {
			return
		}
	}
}

func (s *sim) act(a int, act Action) {
	switch x := act.(type) {
	case Run:
		s.runOnTarget(a, x.ID)
	case Refuse:
		s.reportEnd(a, x.ID, x.Outcome, func(r *simRequest) { r.refused, r.retryAfter = x.Reason, x.RetryAfter })
	case MoveTo:
		r := s.reqs[x.ID-1]
		if x.Reason == MoveShed || x.Reason == MoveUnreachable {
			r.retries++
		}
		to := simIndex(x.Node)
		s.schedule(s.now.Add(s.delay), func() {
			s.step(to, Arrive{ID: x.ID, Deadline: r.deadline, Moved: true, From: simID(a), Reservation: x.Reservation})
		})
	case SendReserve:
		s.send(a, simIndex(x.To), ReserveRequest{From: simID(a), ID: x.Msg.ID, Waited: x.Msg.Waited, Queue: x.Msg.Queue, Release: x.Msg.Release})
	case SendReserveReply:
		s.send(a, simIndex(x.To), ReserveReply{From: simID(a), ID: x.Msg.ID, Granted: x.Msg.Granted, Waiting: x.Msg.Waiting, Load: x.Msg.Load})
	case SendLoad:
		load := x.Load
		if s.misreporting == a {
			load = model.Load{}
		}
		s.send(a, simIndex(x.To), PeerLoad{Node: simID(a), Load: load})
	}
}

func (s *sim) runOnTarget(a int, id RequestID) {
	r := s.reqs[id-1]
	r.sends++
	if s.shed != nil && s.shed(a, s.now) {
		s.schedule(s.now.Add(time.Millisecond), func() {
			s.step(a, Finished{ID: id, Outcome: message.OutcomeNotRun, Shed: true, SafeToMove: true})
		})
		return
	}
	r.runs++
	r.runningAgent, r.started = a, s.now
	if s.now.After(r.deadline) {
		s.addViolation("request %d starts %v after its deadline", id, s.now.Sub(r.deadline))
	}
	if a == s.leavingAgent && !s.leftAt.IsZero() {
		s.latestStartAfterLeave = max(s.latestStartAfterLeave, s.now.Sub(s.leftAt))
	}
	s.runningByAgent[a]++
	if s.runningByAgent[a] > s.slots {
		s.addViolation("agent %d runs %d requests in %d slots", a, s.runningByAgent[a], s.slots)
	}
	s.schedule(s.now.Add(r.service), func() {
		s.runningByAgent[a]--
		s.step(a, Finished{ID: id, Outcome: message.OutcomeRan})
		s.reportEnd(a, id, message.OutcomeRan, func(r *simRequest) { r.ran = true })
	})
}

// reportEnd reports the end of a request to its caller, through the agent that it arrived at.
func (s *sim) reportEnd(a int, id RequestID, o message.Outcome, record func(*simRequest)) {
	r := s.reqs[id-1]
	if a != r.origin {
		s.schedule(s.now.Add(s.delay), func() {
			s.step(r.origin, Finished{ID: id, Outcome: o})
			s.reportEnd(r.origin, id, o, record)
		})
		return
	}
	r.outcome = o
	r.finishedAt = s.now
	record(r)
	if !r.cancelled {
		r.ends++
	}
}

// checkRules returns violations of the rules that hold for every history.
func (s *sim) checkRules() []string {
	for i, r := range s.reqs {
		switch {
		case r.ends != 1:
			s.addViolation("request %d ended %d times", i+1, r.ends)
		case r.runs > 1:
			s.addViolation("request %d ran %d times", i+1, r.runs)
		case r.refused != 0 && r.outcome == message.OutcomeNotRun && r.runs > 0:
			s.addViolation("request %d was refused as not-run after a run", i+1)
		case r.retries > 1:
			s.addViolation("request %d was sent again %d times", i+1, r.retries)
		case r.refused != 0 && r.retryAfter < time.Second:
			s.addViolation("request %d was refused without Retry-After", i+1)
		case r.refused != 0 && r.finishedAt.After(r.deadline.Add(4*s.delay)):
			s.addViolation("request %d was refused %v after its deadline", i+1, r.finishedAt.Sub(r.deadline))
		}
	}
	for i, c := range s.cores {
		if !c.Idle() || c.running != 0 || c.reservedSlots() != 0 || len(c.pendingReservations) != 0 {
			s.addViolation("agent %d still has %d requests, %d running, %d reserved slots", i, len(c.requests), c.running, c.reservedSlots())
		}
	}
	return s.violations
}

func (s *sim) sortedWaits() []time.Duration {
	var out []time.Duration
	for _, r := range s.reqs[len(s.reqs)/10:] {
		if r.runs > 0 {
			out = append(out, r.started.Sub(r.arrived))
		}
	}
	slices.Sort(out)
	return out
}

func p99(ws []time.Duration) time.Duration { return ws[len(ws)*99/100] }

// goodput returns the service time of requests answered in time, as a share of the slots' capacity.
func (s *sim) goodput() float64 {
	var work time.Duration
	for _, r := range s.reqs {
		if r.ran && !r.finishedAt.After(r.deadline.Add(r.service)) {
			work += r.service
		}
	}
	return float64(work) / (float64(s.end.Sub(s.start)) * float64(s.agents*s.slots))
}

// centralQueue returns the waits and the imbalance of busy slots for the same requests with one
// queue in front of all slots.
func (s *sim) centralQueue() (waits []time.Duration, imbalance float64) {
	type slot struct {
		free  time.Time
		agent int
	}
	slots := make([]slot, s.agents*s.slots)
	for i := range slots {
		slots[i].agent = i % s.agents
	}
	next, n := s.start, 0
	for i, r := range s.reqs {
		for ; next.Before(r.arrived); next = next.Add(s.mean / 4) {
			busy := make([]int, s.agents)
			for _, x := range slots {
				if x.free.After(next) {
					busy[x.agent]++
				}
			}
			imbalance += float64(slices.Max(busy)-slices.Min(busy)) / float64(s.slots)
			n++
		}
		busy := make([]int, s.agents)
		for _, x := range slots {
			if x.free.After(r.arrived) {
				busy[x.agent]++
			}
		}
		slices.SortStableFunc(slots, func(a, b slot) int {
			af, bf := a.free, b.free
			if !af.After(r.arrived) && !bf.After(r.arrived) {
				return cmp.Compare(busy[a.agent], busy[b.agent])
			}
			return af.Compare(bf)
		})
		begin := r.arrived
		if slots[0].free.After(begin) {
			begin = slots[0].free
		}
		slots[0].free = begin.Add(r.service)
		if i >= len(s.reqs)/10 {
			waits = append(waits, begin.Sub(r.arrived))
		}
	}
	slices.Sort(waits)
	return waits, imbalance / float64(n)
}
