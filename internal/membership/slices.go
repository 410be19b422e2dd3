package membership

import (
	"maps"
	"slices"

	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// Up to this many balancers, a slice lists all of them. Above, it lists the
	// best by the agent's rank in its data centre: the records of 667 balancers do
	// not fit a datagram, and an agent needs three and a few in reserve.
	allBalancers   = 64
	sliceBalancers = 8
)

// serviceTable holds the configuration and the members of each service.
type serviceTable struct {
	fileRev uint64
	config  map[model.ServiceName]ServiceConfig
	members map[model.ServiceName][]model.NodeID // in order
	dcs     map[model.DataCentre]Override
	targets map[model.NodeID]Override
}

func newServiceTable() serviceTable {
	return serviceTable{config: map[model.ServiceName]ServiceConfig{}, members: map[model.ServiceName][]model.NodeID{}}
}

func (t *serviceTable) set(e Services) {
	t.fileRev = e.FileRev
	for _, name := range e.Removed {
		delete(t.config, name)
	}
	for _, c := range e.Services {
		t.config[c.Service] = c
	}
	t.dcs, t.targets = e.DataCentres, e.Targets
}

// override applies the decisions about an agent's data centre and target.
func (t *serviceTable) override(m *model.Member) {
	if m.Kind != model.KindAgent {
		return
	}
	apply := func(ov Override, decided bool) {
		if !decided {
			return
		}
		m.Weight *= ov.Weight
		if ov.Drain && m.State == model.StateActive {
			m.State = model.StateLeaving
		}
	}
	dc, ok := t.dcs[m.DC]
	apply(dc, ok)
	target, ok := t.targets[m.Target()]
	apply(target, ok)
}

// setServices takes over a configuration and reports the agents that it makes
// this node treat differently.
func (o *Observer) setServices(e Services) {
	olds := o.services
	o.services.set(e)
	for _, c := range e.Services {
		o.dirtyService(c.Service)
	}
	for _, name := range e.Removed {
		o.dirtyService(name)
	}
	if maps.Equal(olds.dcs, e.DataCentres) && maps.Equal(olds.targets, e.Targets) {
		return
	}
	for rec := range o.members.All() {
		if rec.Value.kind != model.KindAgent {
			continue
		}
		before, after := unpack(rec), unpack(rec)
		olds.override(&before)
		o.services.override(&after)
		if before.State != after.State || before.Weight != after.Weight {
			o.changed = append(o.changed, after.ID)
		}
	}
}

func (t *serviceTable) memberChanged(m model.Member) {
	if m.State == model.StateGone {
		t.remove(m.Service, m.ID)
		return
	}
	ids := t.members[m.Service]
	if i, held := slices.BinarySearch(ids, m.ID); !held {
		t.members[m.Service] = slices.Insert(ids, i, m.ID)
	}
}

func (t *serviceTable) remove(s model.ServiceName, id model.NodeID) {
	ids := t.members[s]
	i, held := slices.BinarySearch(ids, id)
	switch {
	case held && len(ids) == 1:
		delete(t.members, s)
	case held:
		t.members[s] = slices.Delete(ids, i, i+1)
	}
}

func (o *Observer) dirtyAll() {
	for _, w := range o.watch {
		w.dirty = true
	}
}

func (o *Observer) dirtyService(s model.ServiceName) {
	for _, id := range o.services.members[s] {
		if w := o.byID[id]; w != nil {
			w.dirty = true
		}
	}
}

// flushSlices sends a changed slice at once to each agent that this node observes.
func (o *Observer) flushSlices() {
	for _, w := range o.watch {
		if !w.dirty || !w.agent {
			continue
		}
		w.dirty = false
		rec, ok := o.members.Get(string(w.id))
		if !ok || rec.Deleted {
			continue
		}
		slice := o.sliceFor(unpack(rec))
		if slice.Digest != w.digest && w.digest != 0 {
			o.send(w.id, w.peer, slice)
		}
		if w.digest != 0 {
			w.digest = slice.Digest
		}
	}
}

// sliceFor builds what one agent must know.
func (o *Observer) sliceFor(agent model.Member) message.Slice {
	conf := o.services.config[agent.Service]
	s := message.Slice{FileRev: o.services.fileRev}
	s.View = model.ServiceView{Service: agent.Service, Rev: conf.Rev, Addrs: conf.Addrs, Policy: conf.Policy}
	for _, id := range o.services.members[agent.Service] {
		if m, ok := o.Member(id); ok {
			s.View.Members = append(s.View.Members, m)
		}
	}
	s.AllBalancers = o.peers.Count() <= allBalancers
	for _, p := range o.sliceBalancers(agent) {
		if m, ok := o.Member(p.ID); ok {
			s.Balancers = append(s.Balancers, model.Member{
				ID: m.ID, Kind: m.Kind, DC: m.DC, Incarnation: m.Incarnation, State: m.State, PeerAddr: m.PeerAddr,
			})
		}
	}
	s.Digest = digestOf(&s)
	return s
}

func (o *Observer) sliceBalancers(agent model.Member) []gossip.Peer {
	if o.peers.Count() <= allBalancers {
		return o.peers.All()
	}
	cands := o.observerCandidates(agent.ID, agent.DC)
	var out []gossip.Peer
	for _, i := range gossip.Top(nil, observeKey(agent.ID), cands, sliceBalancers) {
		out = append(out, cands[i])
	}
	return out
}

// digestOf covers all that a slice holds but the file revision: each change of
// any file would otherwise send every slice again.
func digestOf(s *message.Slice) uint64 {
	h := model.Mix(s.View.Fingerprint() ^ s.View.Rev)
	add := func(v uint64) { h = model.Mix(h ^ v) }
	for i := range s.View.Members {
		m := &s.View.Members[i]
		add(m.Seq)
		add(uint64(m.State))
	}
	for _, a := range s.View.Addrs {
		add(model.HashString(a.String()))
	}
	p := &s.View.Policy
	add(uint64(p.Queue))
	add(uint64(p.Deadline))
	add(uint64(p.Warmup))
	add(uint64(p.KeyRetention))
	for _, m := range p.IdempotentMethods {
		add(model.HashString(m))
	}
	for i := range s.Balancers {
		b := &s.Balancers[i]
		add(model.HashString(string(b.ID)) ^ uint64(b.Incarnation) ^ uint64(b.State)<<56)
	}
	return max(h, 1)
}
