package passthrough

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/pacing"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// coldWindow is the span in which a cold target gets a limited number of new flows. It is a
// second, and the jitter between the agent and its target.
const coldWindow = 1050 * time.Millisecond

// ColdLimit bounds the new flows of a cold target in any second: Factor times the rate of its
// service, plus Slack. The zero value sets no bound.
type ColdLimit struct{ Factor, Slack float64 }

// coldGate counts the new flows of the target while it is cold. The agent is the one place
// that all of them pass.
type coldGate struct {
	rate    float64 // new flows a second that a cold target of the service bears, 0 for any
	version int64   // of the configuration with the rate
	recent  *pacing.Window
}

// recordColdRate records the rate of the service in a hello. A balancer of an earlier release
// names none.
func (c *Core) recordColdRate(h steerwire.Hello) {
	if h.ColdFlowsPerSecond != nil && h.ConfigVersion >= c.cold.version {
		c.cold.rate, c.cold.version = *h.ColdFlowsPerSecond, h.ConfigVersion
	}
}

// coldAdmits counts a new flow and reports whether the target may get it. A process that has
// just started does not know what the one before it let through.
func (c *Core) coldAdmits(now time.Time) bool {
	limit := int(c.cold.rate*c.opts.Cold.Factor + c.opts.Cold.Slack)
	if c.cold.rate <= 0 || limit <= 0 {
		return true
	}
	cold := now.Before(c.coldUntil)
	if cold && !c.opts.FirstStart && now.Sub(c.started) < coldWindow {
		return false
	}
	// Flows of a target that is not cold count too: it may have turned cold since the last heartbeat.
	admitted := c.cold.recent.Allow(now, limit)
	return admitted || !cold
}
