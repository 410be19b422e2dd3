package leastload

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Guards against a choice that ignores a term of the cost.
func TestPick(t *testing.T) {
	for _, test := range []struct {
		name  string
		cands []Candidate
		want  int
	}{
		{"none", nil, -1},
		{"least busy", []Candidate{{Slots: 3, Busy: 2}, {Slots: 3, Busy: 1}}, 1},
		{"more slots", []Candidate{{Slots: 3, Busy: 2}, {Slots: 6, Busy: 2}}, 1},
		{"assigned since the report", []Candidate{{Slots: 3, Busy: 1, Assigned: 3}, {Slots: 3, Busy: 1}}, 1},
		{"cold", []Candidate{{Slots: 3, Busy: 1, Cold: true}, {Slots: 3, Busy: 1}}, 1},
		{"remote", []Candidate{{Slots: 3, Busy: 1, Remote: true}, {Slots: 3, Busy: 1}}, 1},
		{"remote and much less busy", []Candidate{{Slots: 3, Remote: true}, {Slots: 3, Busy: 4}}, 0},
		{"weight", []Candidate{{Slots: 3, Busy: 1, Weight: 0.1}, {Slots: 3, Busy: 2}}, 1},
		{"flows that are idle now", []Candidate{{Slots: 3, Flows: 30}, {Slots: 3, Busy: 1, Flows: 2}, {Slots: 3, Busy: 9, Flows: 30}}, 1},
		{"fails", []Candidate{{Slots: 3, FailureRate: 0.5}, {Slots: 3, Busy: 6}}, 1},
		{"all fail equally", []Candidate{{Slots: 3, FailureRate: 0.5, Busy: 2}, {Slots: 3, FailureRate: 0.5, Busy: 1}}, 1},
		{"fails rarely", []Candidate{{Slots: 3, FailureRate: 0.02}, {Slots: 3, Busy: 2}}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(Pick(0, test.cands), test.want)
		})
	}
}

// Simulates 20 s of requests, one flow per request, on ten targets with load reports that
// are up to 250 ms old. One target fails each request immediately and so is always idle.
// Guards against a failing target that attracts the load of its service: with one of ten
// targets failing, at most one request in fifty may fail.
func TestFailingTargetAttractsNoLoad(t *testing.T) {
	simulate := func(withOutcomes bool) (failed float64) {
		const targets, slots, perSecond, millis = 10, 3, 500, 20_000
		r := rand.New(rand.NewPCG(1, 2))
		cands := make([]Candidate, targets)
		busy := make([][]int, targets) // end of each request in progress, in ms
		lost, total, share := 0, 0, 0.0
		for ms := range millis {
			for i := range busy {
				rest := busy[i][:0]
				for _, end := range busy[i] {
					if end > ms {
						rest = append(rest, end)
					}
				}
				busy[i] = rest
			}
			if ms%250 == 0 {
				for i := range cands {
					cands[i] = Candidate{Slots: slots, Busy: float64(len(busy[i]))}
				}
				if withOutcomes {
					cands[0].FailureRate = share
				}
				share *= 0.92 // decays with a time constant of 3 s
			}
			if r.IntN(1000) >= perSecond {
				continue
			}
			total++
			i := Pick(r.Uint64(), cands)
			cands[i].Assigned++
			if i == 0 {
				lost++
				share += 0.1 * (1 - share)
				continue
			}
			wait := max(0, len(busy[i])+1-slots) * 25 / slots
			busy[i] = append(busy[i], ms+wait+25)
		}
		return float64(lost) / float64(total)
	}
	is := is.New(t)
	loadOnly, withOutcomes := simulate(false), simulate(true)
	t.Logf("failed requests: %.3f by load alone, %.3f with outcomes", loadOnly, withOutcomes)
	is.True(loadOnly > 0.1) // without failure rates, the failing target attracts load
	is.True(withOutcomes <= 0.02)
}
