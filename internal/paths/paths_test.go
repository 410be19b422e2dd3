package paths

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// network ticks a Paths every 100 ms and answers the probes that arrive one
// tick later. Peers are in use until a time.
type network struct {
	p       *Paths
	now     time.Time
	peers   []model.NodeID
	use     bool
	arrives func(model.NodeID, int) bool
	acks    []Ack
	probes  int
	events  []string // silent and recovered paths
}

func newNetwork(o Options, peers int) *network {
	n := &network{p: New(o), now: start, use: true, arrives: func(model.NodeID, int) bool { return true }}
	for i := range peers {
		n.peers = append(n.peers, model.NodeID(fmt.Sprint("a", i)))
	}
	return n
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(100 * time.Millisecond) {
		for _, id := range n.peers {
			if n.use {
				n.p.Pick(n.now, id, 0)
			}
		}
		acks := n.acks
		n.acks = nil
		for _, a := range acks {
			n.do(n.p.Step(n.now, a))
		}
		n.do(n.p.Step(n.now, Tick{}))
	}
}

func (n *network) do(acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			n.probes++
			if n.arrives(a.To, a.Path) {
				n.acks = append(n.acks, Ack{a.To, message.ProbeAck(a.Msg)})
			}
		case Silent:
			n.events = append(n.events, fmt.Sprint("silent ", a.Peer, " ", a.Path))
		case Recovered:
			n.events = append(n.events, fmt.Sprint("recovered ", a.Peer, " ", a.Path))
		}
	}
}

// Guards against traffic that stays on a silent path, that leaves a good one, or
// that never returns.
func TestTrafficLeavesSilentPathAndReturns(t *testing.T) {
	is := is.New(t)
	n := newNetwork(Options{Paths: 3}, 2)
	n.run(20 * time.Second)
	is.Equal(n.p.Pick(n.now, "a0", 4), 1)
	n.arrives = func(id model.NodeID, path int) bool { return id != "a0" || path != 1 }
	// At most 9 s of rotation, the timeout, three fast turns, the timeout.
	n.run(12*time.Second + 500*time.Millisecond)
	is.Equal(n.events, []string{"silent a0 1"})
	is.Equal(n.p.Pick(n.now, "a0", 4), 2)
	is.Equal(n.p.Pick(n.now, "a0", 3), 0)
	is.Equal(n.p.Pick(n.now, "a1", 4), 1)
	n.arrives = func(model.NodeID, int) bool { return true }
	n.run(10 * time.Second)
	is.Equal(n.events[1:], []string{"recovered a0 1"})
	is.Equal(n.p.Pick(n.now, "a0", 4), 1)
}

// Guards against moving traffic for two lost probes. Three do not arrive, but the
// fourth is answered before the third one's time is over.
func TestTwoLostProbesAreNotEnough(t *testing.T) {
	is := is.New(t)
	n := newNetwork(Options{Paths: 2}, 1)
	lost := 0
	n.arrives = func(_ model.NodeID, path int) bool {
		lost += path
		return path == 0 || lost > 3
	}
	n.run(30 * time.Second)
	is.True(lost > 4)
	is.Equal(len(n.events), 0)
}

// Guards against an answer from before the losses that counts as one of another
// path meanwhile.
func TestEarlierAnswerProvesNothing(t *testing.T) {
	is := is.New(t)
	p := peer{paths: []path{{lost: silentAfter, firstLost: 10}, {acked: 9}}}
	is.Equal(len(p.judge(nil)), 0)
	p.paths[1].acked = 11
	is.Equal(len(p.judge(nil)), 1)
}

// Guards against paths that are marked silent because the peer is down, and
// against fast probing of such a peer without end.
func TestPeerThatIsDown(t *testing.T) {
	is := is.New(t)
	n := newNetwork(Options{Paths: 2}, 1)
	n.run(10 * time.Second)
	n.arrives = func(model.NodeID, int) bool { return false }
	n.run(20 * time.Second)
	n.probes = 0
	n.run(30 * time.Second)
	is.Equal(len(n.events), 0)
	is.True(n.probes > 5 && n.probes <= 11) // one each interval of 3 s
}

// Guards against control traffic that grows with the fleet: probes stay within
// the rate, also when a path of every peer is silent, reach every peer in turn,
// and end when the peers are no longer used.
func TestProbesStayWithinRate(t *testing.T) {
	is := is.New(t)
	const peers, rate = 400, 20
	for _, broken := range []bool{false, true} {
		n := newNetwork(Options{Paths: 2, Rate: rate, MaxPeers: peers}, peers+50)
		probed := map[model.NodeID]bool{}
		n.arrives = func(id model.NodeID, path int) bool {
			probed[id] = true
			return !broken || path == 0
		}
		n.run(60 * time.Second)
		is.Equal(n.p.Peers(), peers)
		is.True(n.probes >= 57*rate && n.probes <= 61*rate) // the first ones after 3 s, then a burst of 1 s
		is.True(broken || len(probed) == peers)
		n.use = false
		n.run(60 * time.Second)
		is.Equal(n.p.Peers(), 0)
	}
}

// Guards against answers that were never asked for, and against an allocation
// for each packet.
func TestStrayAnswersAndAllocations(t *testing.T) {
	is := is.New(t)
	n := newNetwork(Options{Paths: 2}, 1)
	n.arrives = func(_ model.NodeID, path int) bool { return path == 0 }
	n.run(20 * time.Second)
	is.Equal(n.events, []string{"silent a0 1"})
	for _, a := range []Ack{{"a0", message.ProbeAck{ID: 1 << 40, Path: 1}}, {"a0", message.ProbeAck{ID: 1, Path: 9}},
		{"x", message.ProbeAck{ID: 1, Path: 1}}, {"a0", message.ProbeAck{Path: 1}}} {
		is.Equal(len(n.p.Step(n.now, a)), 0)
	}
	is.Equal(testing.AllocsPerRun(100, func() { n.p.Pick(n.now, "a0", 1) }), 0.0)
}
