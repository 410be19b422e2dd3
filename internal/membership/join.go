package membership

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
)

const (
	joinPeers = 2 // peers whose whole state a joining balancer must hold
	// Without a peer that has the state, a balancer serves after joinAlone, some 30
	// tries at an answer: all balancers start together. With one, it serves after joinLate although the
	// state never was equal at one instant.
	joinAlone = 2 * time.Second
	joinLate  = 15 * time.Second
	// A data centre cut in two forgets the balancers of the other half; the seeds
	// bring the halves together again.
	seedInterval = 10 * time.Second
)

// tickSeeds sends digests to seeds while no peer is known, and now and then later.
func (o *Observer) tickSeeds() {
	seeds := o.beat.seeds
	if len(seeds) == 0 || o.now.Before(o.seedNext) {
		return
	}
	o.seedNext = o.now.Add(seedInterval)
	if !o.joined && o.peers.Count() == 1 {
		o.seedNext = o.now.Add(gossip.JoinInterval)
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
	case others == 0 && len(o.beat.seeds) == 0:
	case others > 0 && o.repair.AgreedPeers() >= min(joinPeers, others):
	case age >= joinAlone && !o.repair.SeenServingPeer():
	case age >= joinLate:
	default:
		return
	}
	o.joined = true
	o.repair.FinishJoin()
	o.announceAgain()
	o.regroup = true // reports the peers
	o.out = append(o.out, Joined{})
}

// announceAgain spreads the own record among the peers found while joining.
func (o *Observer) announceAgain() {
	o.queue.Add(string(o.beat.self.ID), o.beat.self, o.peers, true)
}
