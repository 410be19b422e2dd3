package pace

import (
	"math"
	"slices"
)

const (
	// unknownSpeed is the speed of a target without answers, so that it gets some work but
	// is not flooded.
	unknownSpeed = 0.5
	// priorSamples is the number of answers that weigh as much as unknownSpeed.
	priorSamples = 3
	// minSpeed keeps a slow target in use: without work it could not show that it recovered.
	minSpeed = 1.0 / 16
	// maxSpeed is the speed above which a target is taken to reject work without doing it.
	maxSpeed = 8
)

// Reference holds the usual service time of each class at the targets of a service.
type Reference map[Class]float64 // logarithm, in seconds

// NewReference returns the medians over the targets of a service. With an even number of
// targets it is the shorter one of both in the middle.
func NewReference(targets [][]ClassTime) Reference {
	logs := map[Class][]float64{}
	for _, times := range targets {
		for _, ct := range times {
			if ct.Samples >= priorSamples && ct.Time > 0 {
				logs[ct.Class] = append(logs[ct.Class], math.Log(ct.Time.Seconds()))
			}
		}
	}
	out := Reference{}
	for c, l := range logs {
		slices.Sort(l)
		out[c] = l[(len(l)-1)/2]
	}
	return out
}

// Speed returns the work that a target does per slot, as a multiple of what the median of
// its service does. It is lower while few answers are known. rejects is set if the target
// answers so early that it does no work.
func (r Reference) Speed(times []ClassTime) (speed float64, rejects bool) {
	sum, weight := priorSamples*math.Log(unknownSpeed), float64(priorSamples)
	ratio, samples := 0.0, 0.0
	for _, ct := range times {
		ref, known := r[ct.Class]
		if !known || ct.Time <= 0 {
			continue
		}
		ratio += ct.Samples * (ref - math.Log(ct.Time.Seconds()))
		samples += ct.Samples
	}
	if samples >= minSamples && ratio/samples > math.Log(maxSpeed) {
		return 1, true
	}
	return min(max(math.Exp((sum+ratio)/(weight+samples)), minSpeed), maxSpeed), false
}
