package confsync

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// playOutage runs a balancer of a data centre of twelve, whose listings fail 10 s after
// their requests for five minutes. It returns the number of requests and the longest time
// between a failure and the next request.
func playOutage(id model.NodeID) (requests int, longest time.Duration, relay bool) {
	var peers []gossip.Peer
	for i := range byte(12) {
		peers = append(peers, gossip.NewPeer(model.NodeID(fmt.Sprintf("b%d", i)), "dc", netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 7000)))
	}
	i := slices.IndexFunc(peers, func(p gossip.Peer) bool { return p.ID == id })
	s, now := New(Options{Self: peers[i], Seed: 1}), time.Unix(0, 0)
	s.Step(now, PeersChanged{Peers: peers})
	failAt, failedAt := now.Add(10*time.Second), time.Time{}
	for end := now.Add(5 * time.Minute); now.Before(end); now = now.Add(50 * time.Millisecond) {
		var ev Event = Tick{}
		if !failAt.IsZero() && !now.Before(failAt) {
			ev, failAt, failedAt = StoreLost{}, time.Time{}, now
		}
		for _, a := range s.Step(now, ev) {
			if _, ok := a.(List); !ok {
				continue
			}
			requests++
			if !failedAt.IsZero() {
				longest = max(longest, now.Sub(failedAt))
			}
			failAt, failedAt = now.Add(10*time.Second), time.Time{}
		}
	}
	return requests, longest, s.peers.IsRelay()
}

func TestFaultRelayIsLateAfterAnOutage(t *testing.T) {
	is := is.New(t)
	relays := 0
	for i := range 12 {
		requests, longest, relay := playOutage(model.NodeID(fmt.Sprintf("b%d", i)))
		if relay {
			relays++
			is.True(longest <= relayListDelay+50*time.Millisecond)
		} else {
			is.True(requests <= 14) // the others ask less and less often
		}
	}
	is.Equal(relays, gossip.RelayCount)
}
