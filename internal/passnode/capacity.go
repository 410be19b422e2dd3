package passnode

import (
	"sync/atomic"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/steer"
)

// GaugeCapacity is the measured capacity of all targets that take flows, in hundredths of a
// slot at the median speed of its service. It is served with the setting pace only.
const GaugeCapacity = "passnode_capacity_centislots"

// capacityInterval is the interval between updates of the gauge.
const capacityInterval = time.Second

// capacityGauge holds the value of GaugeCapacity.
type capacityGauge struct {
	value     atomic.Int64
	enabled   bool
	updatedAt time.Time
}

func (g *capacityGauge) register(opts BalancerOptions) error {
	if g.enabled = opts.Core.Pace; !g.enabled {
		return nil
	}
	return opts.Metrics.Gauge(GaugeCapacity, g.value.Load)
}

func (g *capacityGauge) update(now time.Time, core *steer.Core) {
	if g.enabled && now.Sub(g.updatedAt) >= capacityInterval {
		g.value.Store(core.CapacityCenti(now))
		g.updatedAt = now
	}
}
