package steer

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/evacuation"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
	"github.com/bulrushshelf/bulrushshelf/internal/storeapi"
)

// evacuationsAgeLimit is the age above which the view of the evacuations is stale. As for the
// configuration, it leaves less than the propagation bound for a read and its spread.
const evacuationsAgeLimit = configAgeLimit

// WatchesEvacuations reports whether the balancer watches the evacuations in the store for
// others: it is the highest reader of its data centre.
func (c *Core) WatchesEvacuations(now time.Time) bool {
	return c.options.Evacuations && now.Sub(c.started) >= readerStartDelay && len(c.readersAbove(now)) == 0
}

// Evacuations returns the evacuated data centres.
func (c *Core) Evacuations() []model.DataCentre { return c.evacuations.Active() }

// EvacuationsKnown reports whether the balancer has a view of the evacuations.
func (c *Core) EvacuationsKnown() bool { return c.evacuations.Known() }

// EvacuationsAge returns the age of the view of the evacuations, 0 if there is none.
func (c *Core) EvacuationsAge(now time.Time) time.Duration { return c.evacuationsAge.age(now) }

// SetEvacuations applies a listing of the evacuations in the store unless a later one is in
// effect. The first listing of a restored store waits until the views of all other balancers
// have arrived, because they tell what the store has lost.
func (c *Core) SetEvacuations(now time.Time, l evacuation.Listing) []Action {
	c.actions = c.actions[:0]
	c.setStoreEpoch(now, l.Position.Epoch, 0, "listing")
	switch {
	case l.Position.Epoch < c.store.epoch:
		c.count(CounterDropped, "old_listing")
		return c.actions
	case c.evacuations.Known() && l.Position.Epoch > c.evacuations.Position.Epoch && now.Sub(c.store.learnedAt) < restoreDecisionsAfter:
		return c.actions
	}
	next := c.evacuations.Following(l)
	next.Confirmed = next.Confirmed || c.decisionsSettled(now)
	if c.replaceEvacuations(now, next, "store") {
		c.lastPeerHello = now
		c.sendPeerHellos(now)
	}
	c.confirmView(now, &c.evacuationsAge, l.AsOf, evacuationsAgeLimit, "evacuations_current")
	return c.actions
}

// replaceEvacuations puts a view into effect, and reports whether it changes which data
// centres are evacuated. Their agents are told at once.
func (c *Core) replaceEvacuations(now time.Time, next evacuation.View, source string) (changed bool) {
	old := c.evacuations
	c.evacuations = next
	c.evacuationsAge.learn(now)
	for _, v := range []evacuation.View{old, next} {
		for _, dc := range v.Active() {
			if old.Evacuated(dc) == next.Evacuated(dc) {
				continue
			}
			event := "evacuation_begins"
			if old.Evacuated(dc) {
				event = "evacuation_ends"
			}
			c.log(Entry{Event: event, DataCentre: dc, Reason: source, Age: c.evacuationsAge.age(now), Detail: len(next.Active())})
			changed = true
		}
	}
	if !changed {
		return false
	}
	for _, a := range sortedKeys(c.targets) {
		t := c.targets[a]
		c.override(t)
		if dc := t.report.DataCentre; old.Evacuated(dc) != next.Evacuated(dc) {
			c.greet(now, t)
		}
	}
	return true
}

// handleEvacuations applies the view in a hello of another balancer if it is later.
func (c *Core) handleEvacuations(now time.Time, m *steerwire.Evacuations) {
	if m == nil || !c.options.Evacuations {
		return
	}
	v := evacuation.View{
		Position: storeapi.Position{Epoch: m.Epoch, Revision: m.Revision}, Confirmed: true,
		Entries: make(map[model.DataCentre]evacuation.Entry, len(m.Entries)),
	}
	for _, e := range m.Entries {
		v.Entries[e.DataCentre] = evacuation.Entry{Version: e.Version, Lifted: e.Lifted, Missing: e.Missing}
	}
	if v.Supersedes(c.evacuations) {
		c.replaceEvacuations(now, v, "hello")
	}
	// A view at a later position contains all that one at an earlier position does. Hellos that
	// waited while the process was paused tell ages that are too low.
	if m.Epoch == c.evacuations.Position.Epoch && c.unconfirmedSince.IsZero() {
		c.confirmView(now, &c.evacuationsAge, asOfHello(now, m.AgeMillis), evacuationsAgeLimit, "evacuations_current")
	}
}

// evacuationsForPeers returns the view for hellos to balancers. It is nil if the view is not
// confirmed or too large; they read the store then.
func (c *Core) evacuationsForPeers(now time.Time) *steerwire.Evacuations {
	v := c.evacuations
	if !v.Known() || !v.Confirmed {
		return nil
	}
	m := &steerwire.Evacuations{Epoch: v.Position.Epoch, Revision: v.Position.Revision, AgeMillis: c.evacuationsAge.millis(now)}
	for dc, e := range v.Entries {
		m.Entries = append(m.Entries, steerwire.EvacuationEntry{DataCentre: dc, Version: e.Version, Lifted: e.Lifted, Missing: e.Missing})
	}
	if !m.Fit() {
		return nil
	}
	return m
}

// evacuationsForAgent returns the view for hellos to an agent: whether its data centre is
// evacuated. It is nil before the agent's first report, which tells its data centre.
func (c *Core) evacuationsForAgent(t *target) *steerwire.Evacuations {
	v := c.evacuations
	if !v.Known() || !v.Confirmed || !t.reported {
		return nil
	}
	m := &steerwire.Evacuations{Epoch: v.Position.Epoch, Revision: v.Position.Revision}
	if dc := t.report.DataCentre; v.Evacuated(dc) {
		m.Entries = []steerwire.EvacuationEntry{{DataCentre: dc, Version: v.Entries[dc].Version}}
	}
	return m
}

// evacuatedOnly reports whether targets of a service are in evacuated data centres, and none
// elsewhere accepts flows.
func (c *Core) evacuatedOnly(service model.ServiceName) bool {
	evacuated := false
	for _, t := range c.byService[service] {
		switch {
		case c.evacuations.Evacuated(t.report.DataCentre) || t.report.Evacuated:
			evacuated = true
		case t.report.State == steerwire.TargetReady:
			return false
		}
	}
	return evacuated
}
