// Package gossip implements what membership and confsync share to spread
// updates: the ranking of balancers, the choice of random peers and of relays, a
// queue of updates with bounded retransmission, and the digest exchange.
package gossip

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/strategy/hrw"
)

// RelayCount is the number of balancers of a data centre that exchange updates
// with other data centres and watch the store.
const RelayCount = 3

// Peer is a balancer that takes part in the gossip.
type Peer struct {
	ID   model.NodeID
	DC   model.DataCentre
	Addr netip.AddrPort
	hash uint64
}

// NewPeer returns a peer ready for ranking.
func NewPeer(id model.NodeID, dc model.DataCentre, addr netip.AddrPort) Peer {
	return Peer{ID: id, DC: dc, Addr: addr, hash: model.HashString(string(id))}
}

// Top appends to dst the indices of the n peers that rank highest for a key,
// best first. The order is that of package hrw at equal weights. It avoids the
// logarithm of hrw, because each change of the balancers re-ranks them for every
// member of the data centre.
func Top(dst []int, key uint64, peers []Peer, n int) []int {
	return hrw.Top(dst, len(peers), n, func(i int) uint64 { return model.Mix(key ^ peers[i].hash) })
}

// Peers is one node's view of the live balancers. It includes the node itself for
// ranking, but never returns it as a random peer.
type Peers struct {
	self   Peer
	rng    *rand.Rand
	dcs    []model.DataCentre // in order
	byDC   [][]Peer           // in order of IDs, parallel to dcs
	relays [][]Peer           // by rank, parallel to dcs
	local  []Peer             // in the node's data centre, without the node itself
}

// NewPeers returns a view that contains only the node itself.
func NewPeers(self Peer, seed uint64) *Peers {
	p := &Peers{self: self, rng: rand.New(rand.NewPCG(seed, self.hash))}
	p.Set(nil)
	return p
}

// Rand returns the node's seeded source of randomness.
func (p *Peers) Rand() *rand.Rand { return p.rng }

// Set replaces the live balancers. It adds the node itself if it is missing.
func (p *Peers) Set(all []Peer) {
	all = slices.Clone(all)
	if !slices.ContainsFunc(all, func(q Peer) bool { return q.ID == p.self.ID }) {
		all = append(all, p.self)
	}
	slices.SortFunc(all, func(a, b Peer) int { return cmp.Or(cmp.Compare(a.DC, b.DC), cmp.Compare(a.ID, b.ID)) })
	p.dcs, p.byDC, p.relays, p.local = nil, nil, nil, nil
	for len(all) > 0 {
		dc := all[0].DC
		n := 1
		for n < len(all) && all[n].DC == dc {
			n++
		}
		var relays []Peer
		for _, i := range Top(nil, model.HashString("relay/"+string(dc)), all[:n], RelayCount) {
			relays = append(relays, all[i])
		}
		p.dcs, p.byDC, p.relays = append(p.dcs, dc), append(p.byDC, all[:n:n]), append(p.relays, relays)
		all = all[n:]
	}
	for _, q := range p.InDC(p.self.DC) {
		if q.ID != p.self.ID {
			p.local = append(p.local, q)
		}
	}
}

// InDC returns the live balancers of a data centre in order of their IDs.
func (p *Peers) InDC(dc model.DataCentre) []Peer {
	if i, ok := slices.BinarySearch(p.dcs, dc); ok {
		return p.byDC[i]
	}
	return nil
}

// Local returns the other live balancers of the node's data centre.
func (p *Peers) Local() []Peer { return p.local }

// Count returns the number of live balancers, this one included.
func (p *Peers) Count() int {
	n := 0
	for _, peers := range p.byDC {
		n += len(peers)
	}
	return n
}

// All returns all live balancers in order of data centre and ID.
func (p *Peers) All() []Peer { return slices.Concat(p.byDC...) }

// RemoteDCs returns the other data centres with live balancers, in order.
func (p *Peers) RemoteDCs() []model.DataCentre {
	return slices.DeleteFunc(slices.Clone(p.dcs), func(dc model.DataCentre) bool { return dc == p.self.DC })
}

// Relays returns the relays of a data centre by rank.
func (p *Peers) Relays(dc model.DataCentre) []Peer {
	if i, ok := slices.BinarySearch(p.dcs, dc); ok {
		return p.relays[i]
	}
	return nil
}

// IsRelay reports whether the node is a relay of its data centre.
func (p *Peers) IsRelay() bool {
	return slices.ContainsFunc(p.Relays(p.self.DC), func(q Peer) bool { return q.ID == p.self.ID })
}

// RandomLocal returns up to n different random peers of the node's data centre.
func (p *Peers) RandomLocal(n int) []Peer { return sample(p.rng, p.local, n) }

// RandomAnywhere returns up to n different random peers of any data centre.
func (p *Peers) RandomAnywhere(n int) []Peer {
	others := slices.DeleteFunc(p.All(), func(q Peer) bool { return q.ID == p.self.ID })
	return sample(p.rng, others, n)
}

// RandomRemote returns a random relay of another data centre. If anyBalancer is
// set it returns any balancer there, because all relays that this node knows may
// be unreachable.
func (p *Peers) RandomRemote(dc model.DataCentre, anyBalancer bool) []Peer {
	if anyBalancer {
		return sample(p.rng, p.InDC(dc), 1)
	}
	return sample(p.rng, p.Relays(dc), 1)
}

func sample(rng *rand.Rand, from []Peer, n int) []Peer {
	n = min(n, len(from))
	out := make([]Peer, 0, n)
	for len(out) < n {
		q := from[rng.IntN(len(from))]
		if !slices.ContainsFunc(out, func(o Peer) bool { return o.ID == q.ID }) {
			out = append(out, q)
		}
	}
	return out
}
