package balancer

import (
	"maps"
	"slices"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/confsync"
	"github.com/bulrushshelf/bulrushshelf/internal/membership"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// updateMember stores a changed member and marks the views that contain it for rebuilding.
func (c *Core) updateMember(m model.Member) {
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
	ids := c.agentsByService[m.Service]
	if i, found := slices.BinarySearch(ids, m.ID); !found {
		c.agentsByService[m.Service] = slices.Insert(ids, i, m.ID)
	}
	c.changedServices[m.Service] = struct{}{}
}

// removeAgent removes an agent from its service and marks the view for rebuilding.
func (c *Core) removeAgent(m model.Member) {
	if m.Kind != model.KindAgent {
		return
	}
	ids := c.agentsByService[m.Service]
	if i, found := slices.BinarySearch(ids, m.ID); found {
		c.agentsByService[m.Service] = slices.Delete(ids, i, i+1)
	}
	if len(c.agentsByService[m.Service]) == 0 {
		delete(c.agentsByService, m.Service)
	}
	c.changedServices[m.Service] = struct{}{}
}

// updateConfig merges changed files into the configuration in force.
func (c *Core) updateConfig(a confsync.FilesChanged) {
	changes := make([]config.FileChange, 0, len(a.Files))
	for _, f := range a.Files {
		changes = append(changes, config.FileChange{Name: f.Name, Content: f.Content, Removed: f.Removed})
	}
	next, diff := c.snapshot.Update(changes)
	c.snapshot, c.rev = next, a.Rev
	affectedServices := c.affectedServices(diff)
	for _, name := range affectedServices {
		c.changedServices[name] = struct{}{}
		c.serviceRevs[name] = a.Rev
	}
	c.out = append(c.out, ConfigChanged{Rev: a.Rev, Services: next.NumServices(), Findings: next.Findings()})
	c.stepObserver(c.servicesEvent(affectedServices, diff))
}

// affectedServices returns the services that a change affects: those whose own configuration
// differs, and those of agents whose drain or weight it changes.
func (c *Core) affectedServices(diff config.Changes) []model.ServiceName {
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

// servicesEvent returns the configuration that the membership core puts into the agents' slices.
func (c *Core) servicesEvent(affected []model.ServiceName, diff config.Changes) membership.Services {
	c.updateOverrides(diff)
	ev := membership.Services{FileRev: c.rev, DataCentres: c.dcOverrides, Targets: c.targetOverrides}
	for _, name := range affected {
		s, configured := c.snapshot.Service(name)
		if !configured {
			ev.Removed = append(ev.Removed, name)
			continue
		}
		ev.Services = append(ev.Services, membership.ServiceConfig{
			Service: name, Rev: c.serviceRevs[name], Addrs: s.Addresses, Policy: s.Policy,
		})
	}
	return ev
}

// updateOverrides applies changed decisions about data centres and targets. The membership core
// keeps a reference to the maps, so a changed map is copied first.
func (c *Core) updateOverrides(diff config.Changes) {
	if len(diff.DataCentres) > 0 {
		c.dcOverrides = maps.Clone(c.dcOverrides)
	}
	for _, dc := range diff.DataCentres {
		c.dcOverrides[dc] = membership.Override(c.snapshot.DataCentre(dc))
	}
	if len(diff.Targets) > 0 {
		c.targetOverrides = maps.Clone(c.targetOverrides)
	}
	for _, id := range diff.Targets {
		if ov := c.snapshot.Target(id); ov != (config.Override{Weight: 1}) {
			c.targetOverrides[id] = membership.Override(ov)
		} else {
			delete(c.targetOverrides, id)
		}
	}
}

// rebuildViews passes changed views to the router, in order of the service names.
func (c *Core) rebuildViews() {
	if !c.serving || len(c.changedServices) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.changedServices)) {
		s, configured := c.snapshot.Service(name)
		if !configured {
			c.router.RemoveService(c.now, name)
			continue
		}
		view := model.ServiceView{Service: name, Rev: c.serviceRevs[name], Addrs: s.Addresses, Policy: s.Policy}
		for _, id := range c.agentsByService[name] {
			view.Members = append(view.Members, c.members[id])
		}
		c.router.SetView(c.now, view)
	}
	clear(c.changedServices)
}
