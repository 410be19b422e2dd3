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

// network simulates the network of a Paths: it ticks the Paths every 100 ms and answers delivered
// probes one tick later.
type network struct {
	p         *Paths
	now       time.Time
	peers     []model.NodeID
	inUse     bool
	delivered func(model.NodeID, int) bool
	acks      []Ack
	probes    int
	events    []string // Silent and Recovered actions
}

func newNetwork(o Options, peers int) *network {
	n := &network{p: New(o), now: start, inUse: true, delivered: func(model.NodeID, int) bool { return true }}
	for i := range peers {
		n.peers = append(n.peers, model.NodeID(fmt.Sprint("a", i)))
	}
	return n
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(100 * time.Millisecond) {
		for _, id := range n.peers {
			if n.inUse {
				n.p.Pick(n.now, id, 0)
			}
		}
		acks := n.acks
		n.acks = nil
		for _, a := range acks {
			n.apply(n.p.Step(n.now, a))
		}
		n.apply(n.p.Step(n.now, Tick{}))
	}
}

func (n *network) apply(acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			n.probes++
			if n.delivered(a.To, a.Path) {
				n.acks = append(n.acks, Ack{a.To, message.ProbeAck(a.Msg)})
			}
		case Silent:
			n.events = append(n.events, fmt.Sprint("silent ", a.Peer, " ", a.Path))
		case Recovered:
			n.events = append(n.events, fmt.Sprint("recovered ", a.Peer, " ", a.Path))
		}
	}
}

// Guards against traffic that stays on a silent path, that leaves a working path, or that does not
// return to a recovered path.
func TestTrafficLeavesSilentPathAndReturns(t *testing.T) {
	is := is.New(t)
	n := newNetwork(Options{Paths: 3}, 2)
	n.run(20 * time.Second)
	is.Equal(n.p.Pick(n.now, "a0", 4), 1)
	n.delivered = func(id model.NodeID, path int) bool { return id != "a0" || path != 1 }
	// At most 9 s of rotation, the timeout, three fast rounds, the timeout.
	n.run(12*time.Second + 500*time.Millisecond)
	is.Equal(n.events, []string{"silent a0 1"})
	is.Equal(n.p.Pick(n.now, "a0", 4), 2)
	is.Equal(n.p.Pick(n.now, "a0", 3), 0)
	is.Equal(n.p.Pick(n.now, "a1", 4), 1)
	n.delivered = func(model.NodeID, int) bool { return true }
	n.run(10 * time.Second)
	is.Equal(n.events[1:], []string{"recovered a0 1"})
	is.Equal(n.p.Pick(n.now, "a0", 4), 1)
}

// Guards against marking a path silent after two lost probes. Three probes are lost here, but the
// fourth is answered before the timeout of the third.
func TestTwoLostProbesAreNotEnough(t *testing.T) {
	is := is.New(t)
	n := newNetwork(Options{Paths: 2}, 1)
	lost := 0
	n.delivered = func(_ model.NodeID, path int) bool {
		lost += path
		return path == 0 || lost > 3
	}
	n.run(30 * time.Second)
	is.True(lost > 4)
	is.Equal(len(n.events), 0)
}

// Guards against treating an answer that another path gave before the losses as a sign that the
// other path works now.
func TestAnswerBeforeLossesIsIgnored(t *testing.T) {
	is := is.New(t)
	p := peer{paths: []path{{lost: silentThreshold, firstLost: 10}, {lastAcked: 9}}}
	is.Equal(len(p.markSilent(nil)), 0)
	p.paths[1].lastAcked = 11
	is.Equal(len(p.markSilent(nil)), 1)
}

// Guards against paths that are marked silent when the peer is down, and against fast probing
// of such a peer without limit.
func TestPeerThatIsDown(t *testing.T) {
	is := is.New(t)
	n := newNetwork(Options{Paths: 2}, 1)
	n.run(10 * time.Second)
	n.delivered = func(model.NodeID, int) bool { return false }
	n.run(20 * time.Second)
	n.probes = 0
	n.run(30 * time.Second)
	is.Equal(len(n.events), 0)
	is.True(n.probes > 5 && n.probes <= 11) // one per interval of 3 s
}

// Guards against control traffic that grows with the number of peers. Probes must stay within the
// rate, also when every peer has a silent path; they must reach every peer and end when the peers
// are no longer in use.
func TestProbesStayWithinRate(t *testing.T) {
	is := is.New(t)
	const peers, rate = 400, 20
	for _, broken := range []bool{false, true} {
		n := newNetwork(Options{Paths: 2, Rate: rate, MaxPeers: peers}, peers+50)
		probed := map[model.NodeID]bool{}
		n.delivered = func(id model.NodeID, path int) bool {
			probed[id] = true
			return !broken || path == 0
		}
		n.run(60 * time.Second)
		is.Equal(n.p.Peers(), peers)
		is.True(n.probes >= 57*rate && n.probes <= 61*rate) // the first ones after 3 s, then a burst of 1 s
		is.True(broken || len(probed) == peers)
		n.inUse = false
		n.run(60 * time.Second)
		is.Equal(n.p.Peers(), 0)
	}
}

// Guards against unsolicited answers that take effect, and against an allocation per packet.
func TestStrayAnswersAndAllocations(t *testing.T) {
	is := is.New(t)
	n := newNetwork(Options{Paths: 2}, 1)
	n.delivered = func(_ model.NodeID, path int) bool { return path == 0 }
	n.run(20 * time.Second)
	is.Equal(n.events, []string{"silent a0 1"})
	for _, a := range []Ack{{"a0", message.ProbeAck{ID: 1 << 40, Path: 1}}, {"a0", message.ProbeAck{ID: 1, Path: 9}},
		{"x", message.ProbeAck{ID: 1, Path: 1}}, {"a0", message.ProbeAck{Path: 1}}} {
		is.Equal(len(n.p.Step(n.now, a)), 0)
	}
	is.Equal(testing.AllocsPerRun(100, func() { n.p.Pick(n.now, "a0", 1) }), 0.0)
}
