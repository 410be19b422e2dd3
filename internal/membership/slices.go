package membership

import (
	"maps"
	"slices"

	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// Up to maxFullBalancers balancers, a slice lists all. With more, it lists the
	// partialBalancers that rank highest for the agent in its data centre: the records
	// of 667 balancers do not fit a datagram, and an agent needs three observers and a
	// few in reserve.
	maxFullBalancers = 64
	partialBalancers = 8
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

// setServices applies a configuration and reports the agents whose effective state
// or weight it changes.
func (o *Observer) setServices(e Services) {
	old := o.services
	o.services.set(e)
	for _, c := range e.Services {
		o.markSlicesDirty(c.Service)
	}
	for _, name := range e.Removed {
		o.markSlicesDirty(name)
	}
	if maps.Equal(old.dcs, e.DataCentres) && maps.Equal(old.targets, e.Targets) {
		return
	}
	for rec := range o.members.All() {
		if rec.Value.kind != model.KindAgent {
			continue
		}
		before, after := o.records.unpack(rec), o.records.unpack(rec)
		old.override(&before)
		o.services.override(&after)
		if before.State != after.State || before.Weight != after.Weight {
			o.changedIDs = append(o.changedIDs, after.ID)
		}
	}
}

func (t *serviceTable) memberChanged(m model.Member) {
	if m.State == model.StateGone {
		t.remove(m.Service, m.ID)
		return
	}
	ids := t.members[m.Service]
	if i, found := slices.BinarySearch(ids, m.ID); !found {
		t.members[m.Service] = slices.Insert(ids, i, m.ID)
	}
}

func (t *serviceTable) remove(s model.ServiceName, id model.NodeID) {
	ids := t.members[s]
	i, found := slices.BinarySearch(ids, id)
	switch {
	case found && len(ids) == 1:
		delete(t.members, s)
	case found:
		t.members[s] = slices.Delete(ids, i, i+1)
	}
}

func (o *Observer) markAllSlicesDirty() {
	for _, w := range o.observed {
		w.sliceDirty = true
	}
}

func (o *Observer) markSlicesDirty(s model.ServiceName) {
	for _, id := range o.services.members[s] {
		if w := o.observedByID[id]; w != nil {
			w.sliceDirty = true
		}
	}
}

// flushSlices sends changed slices to the agents that this node observes.
func (o *Observer) flushSlices() {
	for _, w := range o.observed {
		if !w.sliceDirty || !w.isAgent {
			continue
		}
		w.sliceDirty = false
		rec, ok := o.members.Get(string(w.id))
		if !ok || rec.Deleted {
			continue
		}
		slice := o.sliceFor(o.records.unpack(rec))
		if slice.Digest != w.sliceDigest && w.sliceDigest != 0 {
			o.send(w.id, w.peer, slice)
		}
		if w.sliceDigest != 0 {
			w.sliceDigest = slice.Digest
		}
	}
}

// sliceFor builds the slice of an agent.
func (o *Observer) sliceFor(agent model.Member) message.Slice {
	conf := o.services.config[agent.Service]
	s := message.Slice{FileRev: o.services.fileRev}
	s.View = model.ServiceView{Service: agent.Service, Rev: conf.Rev, Addrs: conf.Addrs, Policy: conf.Policy}
	for _, id := range o.services.members[agent.Service] {
		if m, ok := o.Member(id); ok {
			s.View.Members = append(s.View.Members, m.Sent(o.now))
		}
	}
	s.AllBalancers = o.peers.Count() <= maxFullBalancers
	for _, p := range o.balancersFor(agent) {
		if m, ok := o.Member(p.ID); ok {
			s.Balancers = append(s.Balancers, model.Member{
				ID: m.ID, Kind: m.Kind, DC: m.DC, Incarnation: m.Incarnation, State: m.State, PeerAddr: m.PeerAddr,
			})
		}
	}
	s.Digest = sliceDigest(&s)
	return s
}

// balancersFor returns the balancers that the slice of an agent lists.
func (o *Observer) balancersFor(agent model.Member) []gossip.Peer {
	if o.peers.Count() <= maxFullBalancers {
		return o.peers.All()
	}
	cands := o.observerCandidates(agent.ID, agent.DC)
	var out []gossip.Peer
	for _, i := range gossip.Top(nil, observeKey(agent.ID), cands, partialBalancers) {
		out = append(out, cands[i])
	}
	return out
}

// sliceDigest returns a hash of a slice without its file revision: otherwise, each
// change of any file would cause every slice to be sent again. It is never 0.
func sliceDigest(s *message.Slice) uint64 {
	h := model.Mix(s.View.Fingerprint() ^ s.View.Rev)
	mix := func(v uint64) { h = model.Mix(h ^ v) }
	for i := range s.View.Members {
		m := &s.View.Members[i]
		mix(m.Seq)
		mix(uint64(m.State))
	}
	for _, a := range s.View.Addrs {
		mix(model.HashString(a.String()))
	}
	p := &s.View.Policy
	mix(uint64(p.Queue))
	mix(uint64(p.Deadline))
	mix(uint64(p.Warmup))
	mix(uint64(p.KeyRetention))
	for _, m := range p.IdempotentMethods {
		mix(model.HashString(m))
	}
	for i := range s.Balancers {
		b := &s.Balancers[i]
		mix(model.HashString(string(b.ID)) ^ uint64(b.Incarnation) ^ uint64(b.State)<<56)
	}
	return max(h, 1)
}
