package passthrough

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
	"github.com/bulrushshelf/bulrushshelf/internal/storeapi"
)

// evacuation is what balancers said last about the agent's data centre.
type evacuation struct {
	position storeapi.Position // of the view, in the store
	active   bool              // new flows are refused
}

// recordEvacuation records the view in a hello unless it is older than the last one. The agent
// hears all balancers, so it also refuses flows of one that has not heard of an evacuation.
func (c *Core) recordEvacuation(now time.Time, m *steerwire.Evacuations) {
	if m == nil {
		return // of an earlier release, or without a view
	}
	at := storeapi.Position{Epoch: m.Epoch, Revision: m.Revision}
	if at.Compare(c.evacuation.position) <= 0 {
		return
	}
	active := slices.ContainsFunc(m.Entries, func(e steerwire.EvacuationEntry) bool { return e.DataCentre == c.opts.DataCentre && !e.Lifted })
	changed := active != c.evacuation.active
	c.evacuation = evacuation{position: at, active: active}
	if !changed {
		return
	}
	event := "evacuation_begins"
	if !active {
		event = "evacuation_ends"
	}
	c.log(Entry{Event: event, Reason: at.String()})
	c.sendReports(now)
}
