package steer

import "time"

// The configuration and the decision files in effect are views of the store: each contains
// every change that the store had accepted by some time in the past, and its age is the time
// since then. Readers confirm them with the answers of the store, and hellos pass the ages
// on. A balancer that is not a reader and hears of no recent confirmation reads the store
// itself, at a rate that is limited for the whole fleet.
const (
	// configAgeLimit is the age above which the configuration is stale. Readers confirm it
	// every 1.5 s and their hellos are a second apart, but never all at the same time. With
	// the time that a read and the spread take, it leaves less than the propagation bound.
	configAgeLimit = 2200 * time.Millisecond
	// decisionsAgeLimit is the same for the decision files, which readers list every 5 s. A
	// listing may be outdated by MaxListingAge.
	decisionsAgeLimit = 9 * time.Second
	// MaxListingAge is the age above which an outdated listing is replaced by a fresh one.
	MaxListingAge = 3 * time.Second
	// minConfirmInterval is the minimum interval between the reads of one balancer that
	// confirm a stale view.
	minConfirmInterval = time.Second
	// maxConfirmsPerSecond is the maximum rate of these reads in a fleet, for each view.
	maxConfirmsPerSecond = 4
)

// viewAge is what a balancer knows about the age of a view.
type viewAge struct {
	asOf        time.Time // the view is complete as of this time, zero if not known
	learnedAt   time.Time // when its first content came, zero if it has none
	nextConfirm time.Time // earliest time of the next read, zero if the view is not stale
}

// age returns the age of a view, 0 if it has no content. Until the first confirmation it is
// the time since a balancer sent the first content.
func (v *viewAge) age(now time.Time) time.Duration {
	switch {
	case v.learnedAt.IsZero():
		return 0
	case v.asOf.IsZero():
		return max(now.Sub(v.learnedAt), 0)
	}
	return max(now.Sub(v.asOf), 0)
}

// millis returns the age for hellos, rounded up; 0 if it is not known.
func (v *viewAge) millis(now time.Time) int64 {
	if v.learnedAt.IsZero() || v.asOf.IsZero() {
		return 0
	}
	return v.age(now).Milliseconds() + 1
}

// learn records that the view has content.
func (v *viewAge) learn(now time.Time) {
	if v.learnedAt.IsZero() {
		v.learnedAt = now
	}
}

// asOfHello returns the time as of which the sender's view is complete, zero if not known.
func asOfHello(now time.Time, ageMillis int64) time.Time {
	if ageMillis <= 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ageMillis) * time.Millisecond)
}

// ConfigCurrent records that the store has no later configuration as of a time than the
// one in effect.
func (c *Core) ConfigCurrent(now, asOf time.Time) []Action {
	c.actions = c.actions[:0]
	c.confirmView(now, &c.configAge, asOf, configAgeLimit, "configuration_current")
	return c.actions
}

// DecisionsCurrent records the same for the decision files.
func (c *Core) DecisionsCurrent(now, asOf time.Time) []Action {
	c.actions = c.actions[:0]
	c.decisionsAge.learn(now)
	c.confirmView(now, &c.decisionsAge, asOf, decisionsAgeLimit, "decisions_current")
	return c.actions
}

// ConfigAge returns the age of the configuration in effect, 0 if there is none.
func (c *Core) ConfigAge(now time.Time) time.Duration { return c.configAge.age(now) }

// DecisionsAge returns the age of the decision files in effect, 0 if they are not known.
func (c *Core) DecisionsAge(now time.Time) time.Duration { return c.decisionsAge.age(now) }

func (c *Core) confirmView(now time.Time, v *viewAge, asOf time.Time, limit time.Duration, event string) {
	if !asOf.After(v.asOf) {
		return
	}
	before := v.age(now)
	v.asOf = asOf
	if !v.nextConfirm.IsZero() && now.Sub(asOf) < limit {
		v.nextConfirm = time.Time{}
		c.log(Entry{Event: event, Age: before})
	}
}

// adoptPeerAges takes over the ages of the balancers that have the same configuration or
// decision files in effect. Hellos that waited while the process was paused tell ages that
// are too low.
func (c *Core) adoptPeerAges(now time.Time) {
	if !c.unconfirmedSince.IsZero() {
		return
	}
	for _, p := range c.peers {
		if c.base != nil && p.config.sameAs(configStamp{c.base.Revision, c.base.Version}) {
			c.confirmView(now, &c.configAge, p.configAsOf, configAgeLimit, "configuration_current")
		}
		if c.decisions.Revision > 0 && p.decisions.Revision > 0 && p.decisions.Epoch == c.decisions.Epoch && p.decisions.Digest == c.decisions.Digest {
			c.confirmView(now, &c.decisionsAge, p.decisionsAsOf, decisionsAgeLimit, "decisions_current")
		}
	}
}

// confirmStaleViews requests reads of the store while views are stale.
func (c *Core) confirmStaleViews(now time.Time) {
	reads := c.ReadsStore(now)
	if c.confirmDue(now, &c.configAge, configAgeLimit, "configuration_stale", reads) {
		c.actions = append(c.actions, Action{Kind: ConfirmConfig})
	}
	if c.confirmDue(now, &c.decisionsAge, decisionsAgeLimit, "decisions_stale", reads) {
		c.actions = append(c.actions, Action{Kind: ListDecisions})
	}
	if c.confirmDue(now, &c.evacuationsAge, evacuationsAgeLimit, "evacuations_stale", c.WatchesEvacuations(now)) {
		c.actions = append(c.actions, Action{Kind: ListEvacuations})
	}
}

// confirmDue reports whether a stale view is to be read from the store now. A balancer that
// watches or lists it anyway needs no further read.
func (c *Core) confirmDue(now time.Time, v *viewAge, limit time.Duration, event string, watches bool) bool {
	age := v.age(now)
	if age < limit {
		return false
	}
	if v.nextConfirm.IsZero() {
		c.log(Entry{Event: event, Age: age})
	} else if !watches {
		if now.Before(v.nextConfirm) {
			return false
		}
		v.nextConfirm = now.Add(c.confirmInterval()/2 + c.randomUpTo(c.confirmInterval()))
		return true
	}
	// The first read waits too, because a whole fleet may become stale at once.
	v.nextConfirm = now.Add(c.randomUpTo(c.confirmInterval()))
	return false
}

// confirmInterval returns the mean interval between the reads of one balancer. It grows
// with the number of balancers.
func (c *Core) confirmInterval() time.Duration {
	return max(minConfirmInterval, time.Duration(len(c.peers)+1)*time.Second/maxConfirmsPerSecond)
}

func (c *Core) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(c.nextRandom() % uint64(d))
}
