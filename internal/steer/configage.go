package steer

import (
	"time"
)

// The configuration in effect contains every change that the store had accepted by some
// time in the past; its age is the time since then. Readers confirm it with each answer to
// their watch, and hellos pass the age on. A balancer that is not a reader and hears of no
// recent confirmation reads the store itself, at a rate that is limited for the whole fleet.
const (
	// configAgeLimit is the age above which the configuration is stale. Readers confirm it
	// every 1.5 s and their hellos are a second apart, but never all at the same time. With
	// the time that a read and the spread take, it leaves less than the propagation bound.
	configAgeLimit = 2200 * time.Millisecond
	// minConfirmInterval is the minimum interval between the reads of one balancer that
	// confirm a stale configuration.
	minConfirmInterval = time.Second
	// maxConfirmsPerSecond is the maximum rate of these reads in a fleet.
	maxConfirmsPerSecond = 4
)

// configAge is what a balancer knows about the age of its configuration.
type configAge struct {
	asOf        time.Time // the configuration is complete as of this time, zero if not known
	learnedAt   time.Time // when the first configuration came
	nextConfirm time.Time // earliest time of the next read, zero if the configuration is not stale
}

// ConfigCurrent records that the store has no later configuration as of a time than the
// one in effect.
func (c *Core) ConfigCurrent(now, asOf time.Time) []Action {
	c.actions = c.actions[:0]
	c.setConfigAsOf(now, asOf)
	return c.actions
}

// ConfigAge returns the age of the configuration in effect, 0 if there is none. Until the
// first confirmation it is the time since a balancer sent the first configuration.
func (c *Core) ConfigAge(now time.Time) time.Duration {
	switch {
	case c.base == nil:
		return 0
	case c.configAge.asOf.IsZero():
		return now.Sub(c.configAge.learnedAt)
	}
	return max(now.Sub(c.configAge.asOf), 0)
}

func (c *Core) setConfigAsOf(now, asOf time.Time) {
	if !asOf.After(c.configAge.asOf) {
		return
	}
	before := c.ConfigAge(now)
	c.configAge.asOf = asOf
	if !c.configAge.nextConfirm.IsZero() && now.Sub(asOf) < configAgeLimit {
		c.configAge.nextConfirm = time.Time{}
		c.log(Entry{Event: "configuration_current", Age: before})
	}
}

// adoptPeerConfigAge takes over the age of the balancers that have the same configuration
// in effect. Hellos that waited while the process was paused tell ages that are too low.
func (c *Core) adoptPeerConfigAge(now time.Time) {
	if c.base == nil || !c.unconfirmedSince.IsZero() {
		return
	}
	own := configStamp{c.base.Revision, c.base.Version}
	for _, p := range c.peers {
		if p.config == own {
			c.setConfigAsOf(now, p.configAsOf)
		}
	}
}

// configAgeMillis returns the age for hellos, rounded up; 0 if it is not known.
func (c *Core) configAgeMillis(now time.Time) int64 {
	if c.base == nil || c.configAge.asOf.IsZero() {
		return 0
	}
	return c.ConfigAge(now).Milliseconds() + 1
}

// confirmStaleConfig requests reads of the store while the configuration is stale. Readers
// need none, because their watch goes on.
func (c *Core) confirmStaleConfig(now time.Time) {
	if c.base == nil || c.ConfigAge(now) < configAgeLimit {
		return
	}
	next := c.configAge.nextConfirm
	if next.IsZero() {
		c.log(Entry{Event: "configuration_stale", Age: c.ConfigAge(now)})
	}
	if reads := c.ReadsStore(now); next.IsZero() || reads {
		c.configAge.nextConfirm = now.Add(c.randomUpTo(c.confirmInterval()))
		return
	}
	if !now.Before(next) {
		c.configAge.nextConfirm = now.Add(c.confirmInterval()/2 + c.randomUpTo(c.confirmInterval()))
		c.actions = append(c.actions, Action{Kind: ConfirmConfig})
	}
}

// confirmInterval returns the mean interval between the reads of one balancer. It grows
// with the number of balancers.
func (c *Core) confirmInterval() time.Duration {
	return max(minConfirmInterval, time.Duration(len(c.peers)+1)*time.Second/maxConfirmsPerSecond)
}

func (c *Core) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(c.nextRandom() % uint64(d))
}
