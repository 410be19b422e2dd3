// Package leastload places a new flow on the target that will be least loaded
// with it. It answers load of mixed flows: short ones that carry one request, and
// long ones that send requests for minutes and cannot be moved.
package leastload

// Weights of the parts of a target's cost, in requests in progress per slot.
const (
	// coldSlowdown is how many times as long a target works right after its start.
	coldSlowdown = 1.6
	// remoteCost is what a target in another data centre must be less loaded by, so
	// that answers cross the costly links between data centres only to even out load.
	remoteCost = 0.15
	// assignedShare is the part of a flow placed since the last report that is
	// still in progress at the target when the next flow is placed.
	assignedShare = 0.5
	// failingCost is what a target costs that fails all requests: as much as eight
	// requests a slot, behind which a request waits for about the shortest objective.
	// A target that fails is so used only where all others are full.
	failingCost = 8
)

// Candidate is a target that may take the flow.
type Candidate struct {
	Slots    int     // requests that it runs at once
	Weight   float64 // share of new flows, set by operators; 0 counts as 1
	Busy     float64 // average number of requests in progress, running or queued
	Flows    int     // open flows
	Assigned float64 // flows placed since Busy and Flows were reported
	Cold     bool    // still slow after its start
	Remote   bool    // in another data centre than the caller
	Failing  float64 // share of its requests that failed lately
}

// Cost returns the load per slot with one flow more. flowShare is the service's
// average of requests in progress per open flow, by which the flows that a target
// holds count even when they are idle at the moment of the report.
func Cost(c Candidate, flowShare float64) float64 {
	if c.Slots <= 0 {
		c.Slots = 1
	}
	expected := (c.Busy + flowShare*float64(c.Flows)) / 2
	cost := (expected + (c.Assigned+1)*assignedShare) / float64(c.Slots)
	if c.Weight > 0 {
		cost /= c.Weight
	}
	if c.Cold {
		cost *= coldSlowdown
	}
	if c.Remote {
		cost += remoteCost
	}
	return cost + failingCost*c.Failing
}

// Pick returns the index of the candidate with the least cost, or -1 if there is
// none. Ties go by seed, so that balancers with equal reports differ.
func Pick(seed uint64, cands []Candidate) int {
	flows, busy := 0, 0.0
	for _, c := range cands {
		flows += c.Flows
		busy += c.Busy
	}
	share := 0.0
	if flows > 0 {
		share = busy / float64(flows)
	}
	best, bestCost := -1, 0.0
	for i := range cands {
		j := (i + int(seed%uint64(len(cands)))) % len(cands)
		if cost := Cost(cands[j], share); best < 0 || cost < bestCost {
			best, bestCost = j, cost
		}
	}
	return best
}
