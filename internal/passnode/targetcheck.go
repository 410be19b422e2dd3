package passnode

import (
	"context"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/passthrough"
)

// assessTarget runs a health check of the target. One that refuses it counts as not running
// only if it refuses a second check too and sends nothing in between; it is unhealthy
// otherwise. atStop is the time for a check by a stopping agent, zero for any other: it
// waits for the second check for maxRefusalWait at most, and serves flows until then.
func (a *Agent) assessTarget(ctx context.Context, atStop time.Duration) (passthrough.Health, error) {
	check := func() (passthrough.Health, error) {
		if atStop == 0 {
			return a.opts.CheckTarget(ctx)
		}
		bounded, cancel := context.WithTimeout(ctx, atStop)
		defer cancel()
		return a.opts.CheckTarget(bounded)
	}
	checkedAt := time.Now()
	health, err := check()
	for confirmed := false; health == passthrough.NotRunning; {
		at, silent := a.notRunningAt(ctx, checkedAt)
		wait := time.Until(at)
		switch {
		case !silent, atStop > 0 && time.Since(checkedAt)+wait > maxRefusalWait:
			return passthrough.Unhealthy, err
		case confirmed:
			return health, err
		case wait <= 0:
			health, err = check()
			confirmed = true
			continue
		}
		select {
		case <-ctx.Done():
			return passthrough.Unhealthy, err
		case <-a.targetExited:
			return passthrough.NotRunning, nil
		case <-time.After(min(wait, refusalPollInterval)):
		}
	}
	return health, err
}

// refusalPollInterval is the interval in which a target that refuses health checks is found
// to send packets or heartbeats.
const refusalPollInterval = 50 * time.Millisecond

// notRunningAt is NotRunningAt of the core. It returns false if the process ends.
func (a *Agent) notRunningAt(ctx context.Context, refused time.Time) (at time.Time, silent bool) {
	_ = a.loop.call(ctx, func(time.Time) { at, silent = a.core.NotRunningAt(refused) }) // fails only if the process ends
	return at, silent
}
