package balancer

import (
	"maps"
	"slices"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/confsync"
	"github.com/bulrushshelf/bulrushshelf/internal/membership"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// memberChanged takes over one record and marks the views that contain it.
func (c *Core) memberChanged(m model.Member) {
	old, known := c.members[m.ID]
	if known && old.Service != m.Service {
		c.removeAgent(old)
	}
	if m.State == model.StateGone {
		c.removeAgent(old)
		delete(c.members, m.ID)
		return
	}
	c.members[m.ID] = m
	if m.Kind != model.KindAgent {
		return
	}
	ids := c.agents[m.Service]
	if i, held := slices.BinarySearch(ids, m.ID); !held {
		c.agents[m.Service] = slices.Insert(ids, i, m.ID)
	}
	c.changed[m.Service] = struct{}{}
}

func (c *Core) removeAgent(m model.Member) {
	if m.Kind != model.KindAgent {
		return
	}
	ids := c.agents[m.Service]
	if i, held := slices.BinarySearch(ids, m.ID); held {
		c.agents[m.Service] = slices.Delete(ids, i, i+1)
	}
	if len(c.agents[m.Service]) == 0 {
		delete(c.agents, m.Service)
	}
	c.changed[m.Service] = struct{}{}
}

// filesChanged merges the changed files into the configuration in force.
func (c *Core) filesChanged(a confsync.FilesChanged) {
	changes := make([]config.FileChange, 0, len(a.Files))
	for _, f := range a.Files {
		changes = append(changes, config.FileChange{Name: f.Name, Content: f.Content, Removed: f.Removed})
	}
	next, diff := c.snapshot.Update(changes)
	c.snapshot, c.rev = next, a.Rev
	affected := c.affected(diff)
	for _, name := range affected {
		c.changed[name] = struct{}{}
		c.serviceRev[name] = a.Rev
	}
	c.out = append(c.out, ConfigChanged{Rev: a.Rev, Services: next.NumServices(), Findings: next.Findings()})
	c.observe(c.servicesEvent(affected, diff))
}

// affected returns the services that a change concerns: those whose own
// configuration differs and those of the agents that it drains or weights.
func (c *Core) affected(diff config.Changes) []model.ServiceName {
	out := slices.Clone(diff.Services)
	if len(diff.Targets) == 0 && len(diff.DataCentres) == 0 {
		return out
	}
	for _, m := range c.members {
		if m.Kind == model.KindAgent && (slices.Contains(diff.Targets, m.Target()) || slices.Contains(diff.DataCentres, m.DC)) {
			out = append(out, m.Service)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// servicesEvent gives the membership core what the slices of agents contain.
func (c *Core) servicesEvent(affected []model.ServiceName, diff config.Changes) membership.Services {
	c.decide(diff)
	ev := membership.Services{FileRev: c.rev, DataCentres: c.dcs, Targets: c.targets}
	for _, name := range affected {
		s, configured := c.snapshot.Service(name)
		if !configured {
			ev.Removed = append(ev.Removed, name)
			continue
		}
		ev.Services = append(ev.Services, membership.ServiceConfig{
			Service: name, Rev: c.serviceRev[name], Addrs: s.Addresses, Policy: s.Policy,
		})
	}
	return ev
}

// decide takes over the decisions about data centres and targets. The membership
// core keeps the maps, so changed ones are copied.
func (c *Core) decide(diff config.Changes) {
	if len(diff.DataCentres) > 0 {
		c.dcs = maps.Clone(c.dcs)
	}
	for _, dc := range diff.DataCentres {
		c.dcs[dc] = membership.Override(c.snapshot.DataCentre(dc))
	}
	if len(diff.Targets) > 0 {
		c.targets = maps.Clone(c.targets)
	}
	for _, id := range diff.Targets {
		if ov := c.snapshot.Target(id); ov != (config.Override{Weight: 1}) {
			c.targets[id] = membership.Override(ov)
		} else {
			delete(c.targets, id)
		}
	}
}

// rebuildViews gives the router the views that changed, in order of their names.
func (c *Core) rebuildViews() {
	if !c.serving || len(c.changed) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.changed)) {
		s, configured := c.snapshot.Service(name)
		if !configured {
			c.router.RemoveService(c.now, name)
			continue
		}
		view := model.ServiceView{Service: name, Rev: c.serviceRev[name], Addrs: s.Addresses, Policy: s.Policy}
		for _, id := range c.agents[name] {
			view.Members = append(view.Members, c.members[id])
		}
		c.router.SetView(c.now, view)
	}
	clear(c.changed)
}
