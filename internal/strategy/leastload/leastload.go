// Package leastload assigns a new flow to the target with the lowest estimated
// load. It is meant for a mix of short flows that carry one request and long
// flows that send requests for minutes and cannot be moved.
package leastload

// Factors and terms of a target's cost. Costs are in requests in progress per slot.
const (
	// coldSlowdown is the ratio of the service time right after a target's start to
	// its normal service time.
	coldSlowdown = 1.6
	// remoteCost is added for a target in another data centre: responses cross the
	// costly links between data centres only if that evens out the load.
	remoteCost = 0.15
	// assignedShare is the fraction of the flows assigned since the last report that
	// is still in progress when the next flow is assigned.
	assignedShare = 0.5
	// failingCost is added for a target that fails all requests. It equals eight
	// queued requests per slot, a wait of about the shortest latency objective, so
	// that a failing target is used only if all others are full.
	failingCost = 8
)

// Candidate is a target to which the flow may be assigned.
type Candidate struct {
	Slots       int     // requests that the target runs concurrently
	Weight      float64 // share of new flows, set by operators; 0 is treated as 1
	Busy        float64 // average number of requests in progress, running or queued
	Flows       int     // open flows
	Assigned    float64 // flows assigned since Busy and Flows were reported
	Cold        bool    // started recently and still slow; not used if Speed is known
	Speed       float64 // work per slot, as a multiple of the service's median; 0 if unknown
	Remote      bool    // in a data centre other than the caller's
	FailureRate float64 // share of recent requests that failed, 0 to 1
}

// work returns the work in progress per unit of time, in requests in progress at a target
// of the median speed. A target that is twice as slow has twice the requests in progress.
func (c Candidate) work() float64 {
	if c.Speed > 0 {
		return c.Busy * c.Speed
	}
	return c.Busy
}

// Cost returns the estimated load per slot of a target after one more flow is
// assigned to it. flowShare is the service's average work in progress per open flow. It accounts for flows that were idle when the target reported.
func Cost(c Candidate, flowShare float64) float64 {
	if c.Slots <= 0 {
		c.Slots = 1
	}
	expected := (c.work() + flowShare*float64(c.Flows)) / 2
	cost := (expected + (c.Assigned+1)*assignedShare) / float64(c.Slots)
	if c.Weight > 0 {
		cost /= c.Weight
	}
	switch {
	case c.Speed > 0:
		cost /= c.Speed
	case c.Cold:
		cost *= coldSlowdown
	}
	if c.Remote {
		cost += remoteCost
	}
	return cost + failingCost*c.FailureRate
}

// Pick returns the index of the candidate with the lowest cost, or -1 if there is
// none. The seed breaks ties, so that balancers with equal reports choose
// different targets.
func Pick(seed uint64, cands []Candidate) int {
	flows, busy := 0, 0.0
	for _, c := range cands {
		flows += c.Flows
		busy += c.work()
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
