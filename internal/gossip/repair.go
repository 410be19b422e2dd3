package gossip

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/replica"
)

// Intervals of the digest exchange.
const (
	DigestInterval = 2 * time.Second        // of a node that serves
	JoinInterval   = 200 * time.Millisecond // of a node that takes over the state
)

// Repair exchanges digests of one replicated map with peers.
type Repair[V any] struct {
	id      message.MapID
	m       *replica.Map[V]
	joining bool
	next    time.Time
	turn    int
	serving bool           // a peer that is not joining was heard
	agreed  []model.NodeID // serving peers whose whole digest equalled ours, while joining
}

// NewRepair returns the digest exchange of a map, in the joining state.
func NewRepair[V any](id message.MapID, m *replica.Map[V]) *Repair[V] {
	return &Repair[V]{id: id, m: m, joining: true}
}

// Agreed returns how many serving peers had the same state since the node joined.
func (r *Repair[V]) Agreed() int { return len(r.agreed) }

// HeardServing tells whether any peer that has the state answered.
func (r *Repair[V]) HeardServing() bool { return r.serving }

// Joining tells whether Done was not called yet.
func (r *Repair[V]) Joining() bool { return r.joining }

// Done ends the joining state: this node's state counts for other joining nodes.
func (r *Repair[V]) Done() { r.joining, r.agreed = false, nil }

// Due returns the peers that get a digest now. A joining node asks three peers of
// any data centre at a time; otherwise one of its own data centre, and a relay also one relay of
// each other data centre, or any balancer there if silent says that it heard nothing.
func (r *Repair[V]) Due(now time.Time, peers *Peers, silent func(model.DataCentre) bool) []Peer {
	if now.Before(r.next) {
		return nil
	}
	if r.joining {
		r.next = now.Add(JoinInterval)
		r.turn++
		// Every second time any data centre: all local peers may be joining too.
		if to := peers.Random(fanout); len(to) == fanout && r.turn%2 == 1 {
			return to
		}
		return peers.RandomAnywhere(fanout)
	}
	r.next = now.Add(DigestInterval)
	to := peers.Random(1)
	if peers.IsRelay() {
		for _, dc := range peers.Remote() {
			to = append(to, peers.RandomRemote(dc, silent(dc))...)
		}
	}
	return to
}

// Root returns the digest that starts an exchange.
func (r *Repair[V]) Root() message.Digest { return r.digest(r.m.Digest(), false) }

func (r *Repair[V]) digest(d replica.Digest, reply bool) message.Digest {
	return message.Digest{Map: r.id, Groups: d.Groups, Buckets: d.Hashes, Reply: reply, Joining: r.joining}
}

// Answer handles a peer's digest: it returns the messages to send back and the
// buckets whose entries go to the peer.
func (r *Repair[V]) Answer(from model.NodeID, d message.Digest, peers *Peers) (send []message.Message, buckets []uint16) {
	whole := len(d.Groups) == 0 && len(d.Buckets) == 1
	r.serving = r.serving || !d.Joining
	diff := r.m.Diff(replica.Digest{Groups: d.Groups, Hashes: d.Buckets}, peers.rng.Uint64())
	if whole && diff.Equal && r.joining && !d.Joining && !slices.Contains(r.agreed, from) {
		r.agreed = append(r.agreed, from)
	}
	if whole && diff.Equal && !d.Reply {
		return []message.Message{r.digest(r.m.Digest(), true)}, nil
	}
	if diff.Next != nil && !d.Reply {
		send = append(send, r.digest(*diff.Next, false))
	}
	if len(diff.Pull) > 0 {
		send = append(send, message.Pull{Map: r.id, Buckets: diff.Pull})
	}
	return send, diff.Send
}
