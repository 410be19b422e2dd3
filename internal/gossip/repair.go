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
	DigestInterval = 2 * time.Second        // of a serving node
	JoinInterval   = 200 * time.Millisecond // of a joining node
)

// Repair exchanges digests of one replicated map with peers and finds the entries
// that either side lacks.
type Repair[V any] struct {
	id          message.MapID
	entries     *replica.Map[V]
	joining     bool
	nextDigest  time.Time
	joinRounds  int
	seenServing bool           // a digest of a peer that is not joining was received
	agreed      []model.NodeID // serving peers whose whole digest equalled ours while this node was joining
}

// NewRepair returns the digest exchange of a map, in the joining state.
func NewRepair[V any](id message.MapID, entries *replica.Map[V]) *Repair[V] {
	return &Repair[V]{id: id, entries: entries, joining: true}
}

// AgreedPeers returns the number of serving peers that had the same state as the
// joining node.
func (r *Repair[V]) AgreedPeers() int { return len(r.agreed) }

// SeenServingPeer reports whether a digest of a serving peer was received.
func (r *Repair[V]) SeenServingPeer() bool { return r.seenServing }

// Joining reports whether the node is joining: FinishJoin has not been called yet.
func (r *Repair[V]) Joining() bool { return r.joining }

// FinishJoin ends the joining state. From then on, other joining nodes may rely on
// this node's state.
func (r *Repair[V]) FinishJoin() { r.joining, r.agreed = false, nil }

// DuePeers returns the peers to send a digest to now. A joining node sends to three
// peers of any data centre at a time. Any other node sends to one peer of its data
// centre; if it is a relay it also sends to one relay of each other data centre, or
// to any balancer there if silent reports that nothing was received from that data
// centre.
func (r *Repair[V]) DuePeers(now time.Time, peers *Peers, silent func(model.DataCentre) bool) []Peer {
	if now.Before(r.nextDigest) {
		return nil
	}
	if r.joining {
		r.nextDigest = now.Add(JoinInterval)
		r.joinRounds++
		// Every second round includes all data centres: all local peers may be
		// joining too.
		if to := peers.RandomLocal(fanout); len(to) == fanout && r.joinRounds%2 == 1 {
			return to
		}
		return peers.RandomAnywhere(fanout)
	}
	r.nextDigest = now.Add(DigestInterval)
	to := peers.RandomLocal(1)
	if peers.IsRelay() {
		for _, dc := range peers.RemoteDCs() {
			to = append(to, peers.RandomRemote(dc, silent(dc))...)
		}
	}
	return to
}

// RootDigest returns the digest with one hash of the whole map, which starts an exchange.
func (r *Repair[V]) RootDigest() message.Digest { return r.digest(r.entries.Digest(), false) }

func (r *Repair[V]) digest(d replica.Digest, reply bool) message.Digest {
	return message.Digest{Map: r.id, Groups: d.Groups, Buckets: d.Hashes, Reply: reply, Joining: r.joining}
}

// HandleDigest handles a peer's digest. It returns the messages to send back and
// the buckets whose entries the peer needs.
func (r *Repair[V]) HandleDigest(from model.NodeID, d message.Digest, peers *Peers) (send []message.Message, buckets []uint16) {
	whole := len(d.Groups) == 0 && len(d.Buckets) == 1
	r.seenServing = r.seenServing || !d.Joining
	diff := r.entries.Diff(replica.Digest{Groups: d.Groups, Hashes: d.Buckets}, peers.rng.Uint64())
	if whole && diff.Equal && r.joining && !d.Joining && !slices.Contains(r.agreed, from) {
		r.agreed = append(r.agreed, from)
	}
	if whole && diff.Equal && !d.Reply {
		return []message.Message{r.digest(r.entries.Digest(), true)}, nil
	}
	if diff.Next != nil && !d.Reply {
		send = append(send, r.digest(*diff.Next, false))
	}
	if len(diff.Pull) > 0 {
		send = append(send, message.Pull{Map: r.id, Buckets: diff.Pull})
	}
	return send, diff.Send
}
