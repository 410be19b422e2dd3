package pace_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/outcome"
	"github.com/bulrushshelf/bulrushshelf/internal/pace"
	"github.com/bulrushshelf/bulrushshelf/internal/strategy/leastload"
)

// The load is a service of 36 targets with two slots each: long flows that send a request of
// 13 ms every half second and cannot move, and short flows of one request of 17 ms, 3 in 100
// of which take seven times as long. Demand swings by half within 15 s. Six balancers have
// reports that are up to 370 ms old. Callers give up after 1.2 s and open another flow.
const (
	simTargets   = 36
	simSlots     = 2
	simBalancers = 6
	simLength    = 14 * time.Second
	longFlows    = 900
	shortRate    = 500.0 // flows a second
	objective    = 200 * time.Millisecond
	deadline     = 1200 * time.Millisecond
	coldTime     = 2 * time.Second
	faultStart   = 4 * time.Second
	faultEnd     = 9 * time.Second
)

type simLoad struct {
	name   string
	uneven bool    // a quarter of the targets serve at 0.55 of the speed, the others at 1.2
	starts int     // targets that start again at faultStart
	faulty int     // targets with the fault between faultStart and faultEnd
	slow   float64 // factor on their work
	hangs  bool    // they answer nothing
	flaps  bool    // they hang in every other 1.2 s
	sheds  bool    // they reject 45 in 100 requests at once
}

type simTarget struct {
	busy, opened      int
	queue             []*simRequest
	started           time.Duration
	answers           int           // since the start
	shortLog, longLog float64       // averages of the answer times, as seen by the gradient
	limit             float64       // of additive increase and multiplicative decrease
	best              time.Duration // shortest answer time
	tracker           pace.Tracker
	failures          outcome.Tracker
	reported          [simBalancers]leastload.Candidate
	times             [simBalancers][]pace.ClassTime
}

type simRequest struct {
	target            int
	class             pace.Class
	id                uint64
	arrived, began    time.Duration
	running, finished bool
	shed, hangs       bool // rejected by the target, or not answered
	done              func(ok bool)
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// simPolicy returns the speed of a target for placement, 0 for the fixed warm-up.
type simPolicy func(now time.Duration, t *simTarget) float64

type namedPolicy struct {
	name  string
	speed simPolicy
	queue bool // reports include the requests that wait at the agent
}

const (
	fixedWarmUp  = "fixed warm-up"
	measuredWork = "measured work"
)

var simPolicies = []namedPolicy{
	{name: fixedWarmUp},
	{name: "fixed warm-up, queue reported", queue: true},
	{"slow start by time", func(now time.Duration, t *simTarget) float64 { return min(max(0.1, (now-t.started).Seconds()/5), 1) }, true},
	{"additive increase", func(_ time.Duration, t *simTarget) float64 { return t.limit / simSlots }, true},
	{"gradient", func(_ time.Duration, t *simTarget) float64 {
		return min(max(math.Exp(t.longLog-t.shortLog), 1.0/16), 1)
	}, true},
	{"fixed probe", func(_ time.Duration, t *simTarget) float64 {
		if t.answers < 3 {
			return 1.0 / 16
		}
		return 1
	}, true},
	{name: measuredWork, queue: true}, // package pace
}

type sim struct {
	simLoad
	policy                namedPolicy
	r                     *rand.Rand
	now                   time.Duration
	events                simEvents
	seq                   int
	targets               []*simTarget
	total, inTime, failed int
	references            [simBalancers]pace.Reference
	referenceAt           [simBalancers]time.Duration
}

func (s *sim) clock() time.Time { return time.Unix(1000, 0).Add(s.now) }

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, run})
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

func (s *sim) faultyNow(i int) bool {
	return i < s.faulty && s.now >= faultStart && s.now < faultEnd &&
		(!s.flaps || (s.now-faultStart)/(1200*time.Millisecond)%2 == 0)
}

func (s *sim) report(b, i int) {
	t := s.targets[i]
	c := leastload.Candidate{
		Slots: simSlots, Busy: float64(min(t.busy+len(t.queue), simSlots+1)), Flows: t.opened,
		Cold: s.now-t.started < coldTime, FailureRate: t.failures.FailureRate(s.clock()),
	}
	if s.policy.queue {
		c.Busy = float64(t.busy + len(t.queue))
	}
	switch {
	case s.policy.name == measuredWork:
		t.times[b] = t.tracker.Times(s.clock())
	case s.policy.speed != nil:
		c.Speed = s.policy.speed(s.now, t)
	}
	t.reported[b] = c
	s.after(370*time.Millisecond, func() { s.report(b, i) })
}

// reference returns the medians of a balancer, which it computes every 250 ms.
func (s *sim) reference(b int) pace.Reference {
	if s.policy.name != measuredWork || s.references[b] != nil && s.now-s.referenceAt[b] < 250*time.Millisecond {
		return s.references[b]
	}
	var all [][]pace.ClassTime
	for _, t := range s.targets {
		all = append(all, t.times[b])
	}
	s.references[b], s.referenceAt[b] = pace.NewReference(all), s.now
	return s.references[b]
}

func (s *sim) place(b int) int {
	cands := make([]leastload.Candidate, simTargets)
	ref := s.reference(b)
	for i, t := range s.targets {
		cands[i] = t.reported[b]
		if s.policy.name == measuredWork {
			speed, rejects := ref.Speed(t.times[b])
			if cands[i].Speed = speed; rejects {
				cands[i].FailureRate = 1
			}
		}
	}
	i := leastload.Pick(s.r.Uint64(), cands)
	s.targets[i].reported[b].Assigned++
	return i
}

// openLong opens a long flow, which lasts 20 requests or until one fails.
func (s *sim) openLong(b int) {
	i := s.place(b)
	t := s.targets[i]
	t.opened++
	n, started := 0, t.started
	var next func()
	end := func() { t.opened--; s.openLong(b) }
	next = func() {
		if t.started != started || n == 20 {
			end()
			return
		}
		n++
		s.send(&simRequest{target: i, class: 1, done: func(ok bool) {
			if !ok {
				end()
				return
			}
			s.after(seconds(s.r.ExpFloat64()*0.5/s.demand()), next)
		}})
	}
	s.after(seconds(s.r.Float64()*0.5), next)
}

func (s *sim) demand() float64 { return 1 + 0.55*math.Sin(2*math.Pi*s.now.Seconds()/15) }

func (s *sim) openShort() {
	b := s.r.IntN(simBalancers)
	i := s.place(b)
	s.targets[i].opened++
	s.send(&simRequest{target: i, class: 2, done: func(bool) { s.targets[i].opened-- }})
	s.after(seconds(s.r.ExpFloat64()/shortRate/s.demand()), s.openShort)
}

func (s *sim) send(q *simRequest) {
	s.total++
	q.arrived = s.now
	t := s.targets[q.target]
	t.queue = append(t.queue, q)
	s.after(deadline, func() {
		if q.finished {
			return
		}
		t.failures.Record(s.clock(), true)
		s.finish(q, false)
		if q.hangs {
			s.release(q, pace.Abandoned)
		}
	})
	s.run(t, q.target)
}

// finish tells the caller how its request ended.
func (s *sim) finish(q *simRequest, ok bool) {
	q.finished = true
	if ok && s.now-q.arrived <= objective {
		s.inTime++
	}
	if !ok {
		s.failed++
	}
	q.done(ok)
}

// run starts queued requests in free slots.
func (s *sim) run(t *simTarget, i int) {
	for t.busy < simSlots && len(t.queue) > 0 {
		q := t.queue[0]
		t.queue = t.queue[1:]
		if q.finished {
			continue
		}
		t.busy++
		q.began, q.running = s.now, true
		q.id = t.tracker.Start(s.clock(), q.class, simSlots)
		faulty := s.faultyNow(i)
		switch {
		case faulty && s.hangs:
			q.hangs = true
		case faulty && s.sheds && s.r.Float64() < 0.45:
			s.after(300*time.Microsecond, func() { s.release(q, pace.Answered) })
			q.shed = true
		default:
			s.after(s.work(t, i, q), func() { s.release(q, pace.Answered) })
		}
	}
}

func (s *sim) work(t *simTarget, i int, q *simRequest) time.Duration {
	w := 0.013 * math.Exp(0.47*s.r.NormFloat64()-0.11)
	if q.class == 2 {
		w *= 17.0 / 13
	}
	if s.r.Float64() < 0.03 {
		w *= 7
	}
	if s.now-t.started < coldTime {
		w *= 1.6
	}
	if s.uneven && i%4 == 0 {
		w /= 0.55
	} else if s.uneven {
		w /= 1.2
	}
	if s.faultyNow(i) && s.slow > 0 {
		w *= s.slow
	}
	return seconds(w)
}

// release ends a request at its target and records what each policy measures.
func (s *sim) release(q *simRequest, o pace.Outcome) {
	if !q.running {
		return
	}
	q.running = false
	t := s.targets[q.target]
	t.busy--
	_, result := t.tracker.End(s.clock(), q.id, o)
	if o == pace.Answered {
		t.measure(s.now - q.began)
		t.failures.Record(s.clock(), s.policy.name == measuredWork && result == pace.Quick)
	}
	if !q.finished {
		s.finish(q, o == pace.Answered && !q.shed)
	}
	s.run(t, q.target)
}

func (t *simTarget) measure(d time.Duration) {
	l := math.Log(d.Seconds())
	if t.answers++; t.answers == 1 {
		t.shortLog, t.longLog, t.best = l, l, d
	}
	t.shortLog += 0.05 * (l - t.shortLog)
	t.longLog += 0.002 * (l - t.longLog)
	t.best = min(t.best, d)
	if d > 8*t.best {
		t.limit = max(0.7*t.limit, 0.1)
	} else {
		t.limit = min(t.limit+0.1, simSlots)
	}
}

// restart starts a target again: its flows and requests end.
func (s *sim) restart(t *simTarget) {
	queue := t.queue
	*t = simTarget{started: s.now, limit: 0.2, busy: t.busy, opened: t.opened, reported: t.reported}
	for _, q := range queue {
		if !q.finished {
			s.finish(q, false)
		}
	}
}

func simulate(l simLoad, policy namedPolicy, seed uint64) *sim {
	s := &sim{simLoad: l, policy: policy, r: rand.New(rand.NewPCG(41, seed))}
	for range simTargets {
		s.targets = append(s.targets, &simTarget{limit: 0.2, started: -coldTime})
	}
	for b := range simBalancers {
		for i := range s.targets {
			s.after(seconds(0.37*s.r.Float64()), func() { s.report(b, i) })
		}
	}
	s.after(400*time.Millisecond, func() {
		for f := range longFlows {
			s.openLong(f % simBalancers)
		}
		s.openShort()
	})
	s.after(faultStart, func() {
		for i := range l.starts {
			s.restart(s.targets[(i*7)%simTargets])
		}
	})
	for s.now < simLength {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return s
}

var simLoads = []simLoad{
	{name: "even"},
	{name: "uneven", uneven: true},
	{name: "all start again", uneven: true, starts: simTargets},
	{name: "a third starts again", uneven: true, starts: simTargets / 3},
	{name: "slow", uneven: true, faulty: 6, slow: 6.3},
	{name: "hang", uneven: true, faulty: 4, hangs: true},
	{name: "flap", uneven: true, faulty: 4, hangs: true, flaps: true},
	{name: "shed", uneven: true, faulty: 5, sheds: true},
}

// play returns the shares of requests that were not answered in time and that failed.
func play(l simLoad, p namedPolicy, seeds uint64) (late, failed float64) {
	for seed := range seeds {
		s := simulate(l, p, seed)
		late += float64(s.total-s.inTime) / float64(s.total) / float64(seeds)
		failed += float64(s.failed) / float64(s.total) / float64(seeds)
	}
	return late, failed
}

// Guards against placement by measured work that serves callers of any load worse than the
// fixed warm-up does. sampling is three standard deviations at 1 late request in 100 of 35,000.
func TestPlacementByMeasuredWork(t *testing.T) {
	const sampling = 0.001
	for _, l := range simLoads {
		t.Run(l.name, func(t *testing.T) {
			is := is.New(t)
			before, _ := play(l, simPolicies[0], 2)
			after, _ := play(l, simPolicies[len(simPolicies)-1], 2)
			t.Logf("not in time: %.4f with the %s, %.4f by %s", before, fixedWarmUp, after, measuredWork)
			is.True(after <= before+sampling)
		})
	}
}

// Prints what callers get with each policy.
func BenchmarkPolicies(b *testing.B) {
	for _, l := range simLoads {
		for _, p := range simPolicies {
			b.Run(l.name+"/"+p.name, func(b *testing.B) {
				for range b.N {
					late, failed := play(l, p, 3)
					b.ReportMetric(100*late, "%late")
					b.ReportMetric(100*failed, "%failed")
				}
			})
		}
	}
}
