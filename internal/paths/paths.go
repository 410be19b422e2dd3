// Package paths tracks the health of the paths from this process to its peers. A path is a local
// socket: the network may deliver the datagrams of one socket to a peer and silently lose those of
// another. Probes detect such a path, and traffic moves to the others.
package paths

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// The defaults of Options. A probe and its answer take about 70 bytes each, so 20 probes per second
// use half of the control traffic that a node is allowed.
const (
	DefaultInterval     = 3 * time.Second
	DefaultFastInterval = 500 * time.Millisecond
	DefaultTimeout      = time.Second
	DefaultIdleTimeout  = 30 * time.Second
	DefaultMaxPeers     = 1 << 14
	DefaultRate         = 20
)

const (
	silentThreshold = 3 // consecutive lost probes

	// maxFastRounds limits the fast probing of a peer that answers on no path: the peer is down,
	// which package membership detects.
	maxFastRounds = 10
)

// Options configures a Paths. Zero values stand for the defaults.
type Options struct {
	// Paths is the number of local sockets, at least 1.
	Paths int
	// Interval is the minimum time between two probes of a peer. The probes rotate through the
	// paths.
	Interval time.Duration
	// FastInterval is the time between two rounds of probes on all paths of a peer, which start
	// when a probe is lost.
	FastInterval time.Duration
	// Timeout is the time after which an unanswered probe is lost.
	Timeout time.Duration
	// IdleTimeout is the time after the last packet to a peer at which its probing ends.
	IdleTimeout time.Duration
	// MaxPeers bounds the peers that are probed. Traffic to other peers uses all paths.
	MaxPeers int
	// Rate bounds the probes per second to all peers. With more than Rate times Interval (in
	// seconds) peers in use, each is probed less often than every Interval.
	Rate int
}

// Paths tracks the health of all paths. It is not safe for concurrent use.
type Paths struct {
	opts       Options
	peers      map[model.NodeID]*peer
	rotation   queue // peers probed on one path every Interval, in rotation
	fast       queue // peers probed on all paths every FastInterval
	pending    []pendingProbe
	lastID     uint64
	tokens     float64 // probes that may be sent now
	refilledAt time.Time
}

// peer is the state of a peer in use.
type peer struct {
	id          model.NodeID
	paths       []path
	lastUsed    time.Time
	generation  uint64 // of the peer's only valid queue entry
	nextPath    int    // path of the next probe in rotation
	fastRounds  int    // rounds of fast probing left
	fastAllowed bool   // the peer is new or has answered since fast probing last started
}

// path is the state of one path to a peer.
type path struct {
	lost      int    // probes lost since the last answer
	firstLost uint64 // ID of the first of them
	lastAcked uint64 // ID of the newest answered probe
	lastSent  uint64 // ID of the newest probe
	silent    bool   // not used for traffic, see markSilent
}

// pendingProbe is a probe before its timeout.
type pendingProbe struct {
	peer *peer
	path int
	id   uint64
	due  time.Time
}

// Event is an input of Step.
type Event interface{ pathsEvent() }

// Ack is the answer to a probe.
type Ack struct {
	From model.NodeID
	Msg  message.ProbeAck
}

// Tick is due about every 100 ms.
type Tick struct{}

func (Ack) pathsEvent()  {}
func (Tick) pathsEvent() {}

// Action is an output of Step.
type Action interface{ pathsAction() }

// Send sends a probe over a path. The peer answers over the same path.
type Send struct {
	To   model.NodeID
	Path int
	Msg  message.Probe
}

// Silent reports that traffic to a peer no longer uses a path.
type Silent struct {
	Peer model.NodeID
	Path int
}

// Recovered reports that traffic to a peer uses a path again that was silent.
type Recovered struct {
	Peer model.NodeID
	Path int
}

func (Send) pathsAction()      {}
func (Silent) pathsAction()    {}
func (Recovered) pathsAction() {}

// New returns a Paths in which all paths are healthy.
func New(o Options) *Paths {
	setDefault(&o.Paths, 1)
	setDefault(&o.Interval, DefaultInterval)
	setDefault(&o.FastInterval, DefaultFastInterval)
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.MaxPeers, DefaultMaxPeers)
	setDefault(&o.Rate, DefaultRate)
	return &Paths{opts: o, peers: make(map[model.NodeID]*peer)}
}

func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Pick returns the path for a packet to a peer and records that the peer is in use. Packets of
// equal hash use the same path while it is healthy, so that they are not reordered. It allocates
// only for a peer that was not in use.
func (p *Paths) Pick(now time.Time, id model.NodeID, hash uint64) int {
	first := int(hash % uint64(p.opts.Paths))
	to := p.peers[id]
	if to == nil {
		if p.opts.Paths > 1 && len(p.peers) < p.opts.MaxPeers {
			to = &peer{id: id, paths: make([]path, p.opts.Paths), lastUsed: now, fastAllowed: true}
			p.peers[id] = to
			p.rotation.push(to, now.Add(p.opts.Interval))
		}
		return first
	}
	to.lastUsed = now
	for i := range to.paths {
		if idx := (first + i) % len(to.paths); !to.paths[idx].silent {
			return idx
		}
	}
	return first
}

// Peers returns the number of peers that are probed.
func (p *Paths) Peers() int { return len(p.peers) }

// Step handles one event.
func (p *Paths) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Ack:
		return p.handleAck(ev)
	case Tick:
		out := p.expireProbes(now)
		p.refillTokens(now)
		out = p.sendDueProbes(now, &p.fast, out)
		return p.sendDueProbes(now, &p.rotation, out)
	}
	return nil
}

// handleAck resets the losses of a path. An answer after the timeout does so too, since the path
// works.
func (p *Paths) handleAck(ev Ack) []Action {
	from := p.peers[ev.From]
	if from == nil || int(ev.Msg.Path) >= len(from.paths) {
		return nil
	}
	acked := &from.paths[ev.Msg.Path]
	if ev.Msg.ID <= acked.lastAcked || ev.Msg.ID > acked.lastSent {
		return nil
	}
	acked.lastAcked, acked.lost = ev.Msg.ID, 0
	from.fastAllowed = true
	var out []Action
	if acked.silent {
		acked.silent = false
		out = append(out, Recovered{from.id, int(ev.Msg.Path)})
	}
	return from.markSilent(out)
}

// markSilent marks as silent each path that lost silentThreshold probes while another path answered
// a probe sent after the first of them.
func (p *peer) markSilent(out []Action) []Action {
	for i := range p.paths {
		candidate := &p.paths[i]
		if candidate.silent || candidate.lost < silentThreshold {
			continue
		}
		for j := range p.paths {
			if other := &p.paths[j]; other.lost == 0 && other.lastAcked > candidate.firstLost {
				candidate.silent = true
				out = append(out, Silent{p.id, i})
				break
			}
		}
	}
	return out
}
