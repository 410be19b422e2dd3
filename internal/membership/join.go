package membership

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
)

const (
	joinQuorum = 2 // peers whose whole state a joining balancer must have
	// joinAloneTimeout is the time after which a balancer serves if no peer that has
	// the state answered, after some 30 digests: all balancers are starting together.
	joinAloneTimeout = 2 * time.Second
	// joinTimeout is the time after which a balancer serves if peers have the state,
	// but the digests were never equal because the state keeps changing.
	joinTimeout = 15 * time.Second
	// seedInterval is the time between digests to seeds. The halves of a partitioned
	// data centre remove each other's balancers and find each other through seeds.
	seedInterval = 10 * time.Second
)

// tickSeeds sends a digest to a seed every seedInterval, and more often while a
// joining node knows no peer.
func (o *Observer) tickSeeds() {
	seeds := o.sender.seeds
	if len(seeds) == 0 || o.now.Before(o.nextSeedAt) {
		return
	}
	o.nextSeedAt = o.now.Add(seedInterval)
	if !o.joined && o.peers.Count() == 1 {
		o.nextSeedAt = o.now.Add(gossip.JoinInterval)
	}
	addr := seeds[o.peers.Rand().IntN(len(seeds))]
	o.out = append(o.out, Send{Addr: addr, Msg: o.repair.RootDigest()})
}

func (o *Observer) tickJoin() {
	if o.joined {
		return
	}
	others := o.peers.Count() - 1
	age := o.now.Sub(o.started)
	switch {
	case others == 0 && len(o.sender.seeds) == 0:
	case others > 0 && o.repair.AgreedPeers() >= min(joinQuorum, others):
	case age >= joinAloneTimeout && !o.repair.SeenServingPeer():
	case age >= joinTimeout:
	default:
		return
	}
	o.joined = true
	o.repair.FinishJoin()
	o.queueSelf()
	o.peersChanged = true // finishStep then outputs PeersChanged
	o.out = append(o.out, Joined{})
}

// queueSelf queues the balancer's own record for the peers found while joining.
func (o *Observer) queueSelf() {
	o.updates.Add(string(o.sender.self.ID), o.sender.self, o.peers, true)
}
