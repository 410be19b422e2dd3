package leastload

import (
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/matryer/is"
)

// policy chooses a target from the state that one balancer knows.
type policy func(r *rand.Rand, cands []Candidate) int

// twoChoices returns the cheaper of two randomly chosen candidates.
func twoChoices(r *rand.Rand, cands []Candidate) int {
	a, b := r.IntN(len(cands)), r.IntN(len(cands))
	if Cost(cands[b], 0) < Cost(cands[a], 0) {
		return b
	}
	return a
}

func randomChoice(r *rand.Rand, cands []Candidate) int { return r.IntN(len(cands)) }

// workload models the busiest minute of a day: one service with seven targets of three
// slots each, one flow per request, 25 ms of work per request on average, a latency objective
// of 150 ms, and six balancers with load reports that are up to 250 ms old.
type workload struct {
	name             string
	perSecond        int
	slowdown         float64 // factor on the service time of the first target; 0 means none
	firstUnreachable bool    // the first target answers no request; it is a candidate for 0.25 s
	allCold          bool    // all targets have just started: coldSlowdown applies for 2 s
}

const (
	simSeeds     = 10
	simTargets   = 7
	simSlots     = 3
	simBalancers = 6
	simMillis    = 10_000
	objective    = 150 // ms
)

// inTimeShare returns the share of requests answered within the objective, averaged over
// simSeeds simulations. A nil policy stands for one central queue in front of all slots,
// which is an upper bound for any set of balancers.
func (w workload) inTimeShare(choose policy) float64 {
	sum := 0.0
	for seed := range uint64(simSeeds) {
		sum += w.simulate(seed, choose)
	}
	return sum / simSeeds
}

func (w workload) simulate(seed uint64, choose policy) float64 {
	r := rand.New(rand.NewPCG(7, seed))
	free := make([][]float64, simTargets) // when each slot is free, in ms
	busy := make([][]float64, simTargets) // ends of requests in progress or waiting
	views := make([][]Candidate, simBalancers)
	for i := range free {
		free[i] = make([]float64, simSlots)
	}
	for b := range views {
		views[b] = make([]Candidate, simTargets)
	}
	nextReport := make([]float64, simBalancers) // per balancer, in ms
	for b := range nextReport {
		nextReport[b] = 250 * r.Float64()
	}
	served, total := 0, 0
	for now := 0.0; now < simMillis; now += r.ExpFloat64() * 1000 / float64(w.perSecond) {
		total++
		work := 25 * r.ExpFloat64()
		if w.allCold && now < 2000 {
			work *= coldSlowdown
		}
		b := r.IntN(simBalancers)
		if now >= nextReport[b] { // targets report within a few ms of the balancer's Hello
			nextReport[b] = now + 250
			for i := range views[b] {
				rest := busy[i][:0]
				for _, end := range busy[i] {
					if end > now {
						rest = append(rest, end)
					}
				}
				busy[i] = rest
				views[b][i] = Candidate{Slots: simSlots, Busy: float64(len(rest)), Cold: w.allCold && now < 2000}
			}
		}
		first := 0
		if w.firstUnreachable && now >= 250 {
			first = 1
		}
		target := 0
		if choose == nil {
			for i := first; i < simTargets; i++ {
				if i == first || sort.Float64Slice(free[i]).Less(0, 0) || free[i][0] < free[target][0] {
					target = i
				}
			}
		} else {
			target = first + choose(r, views[b][first:])
			views[b][target].Assigned++
		}
		if w.firstUnreachable && target == 0 {
			continue // the request gets no response
		}
		if w.slowdown > 0 && target == 0 {
			work *= w.slowdown
		}
		start := max(now, free[target][0])
		free[target][0] = start + work
		sort.Float64s(free[target])
		busy[target] = append(busy[target], start+work)
		if start+work-now <= objective {
			served++
		}
	}
	return float64(served) / float64(total)
}

// Simulates peak loads with each policy. Guards against a least-load policy that answers
// fewer requests in time than two choices or random choice.
func TestPlacementUnderPeakLoads(t *testing.T) {
	leastLoad := func(r *rand.Rand, cands []Candidate) int { return Pick(r.Uint64(), cands) }
	for _, w := range []workload{
		{name: "usual", perSecond: 370},
		{name: "burst of 1.7", perSecond: 630},
		{name: "burst with one of seven unreachable", perSecond: 630, firstUnreachable: true},
		{name: "one target five times slower", perSecond: 370, slowdown: 5},
		{name: "all targets cold", perSecond: 450, allCold: true},
	} {
		t.Run(w.name, func(t *testing.T) {
			is := is.New(t)
			least, two, random, central := w.inTimeShare(leastLoad), w.inTimeShare(twoChoices), w.inTimeShare(randomChoice), w.inTimeShare(nil)
			t.Logf("in time: least load %.3f, two choices %.3f, random %.3f, central queue %.3f", least, two, random, central)
			is.True(least >= two-0.01)
			is.True(least >= random)
		})
	}
}
