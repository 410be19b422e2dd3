// Package paths keeps the health of the paths from this process to its peers.
// A path is a local socket: the network may carry one socket's datagrams to a
// peer and silently lose another's. Probes find such a path, and traffic moves
// to the others.
package paths

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Defaults of Options. A probe and its answer take about 70 bytes each, so 20
// probes a second are half of the control traffic that a node may use.
const (
	DefaultInterval     = 3 * time.Second
	DefaultFastInterval = 500 * time.Millisecond
	DefaultTimeout      = time.Second
	DefaultUsedFor      = 30 * time.Second
	DefaultMaxPeers     = 1 << 14
	DefaultRate         = 20
)

const (
	silentAfter = 3 // lost probes in a row

	// maxFastTurns ends the fast probing of a peer none of whose paths answers:
	// the peer is down, which is for membership to find.
	maxFastTurns = 10
)

// Options configure a Paths; zero fields get the defaults.
type Options struct {
	// Paths is the number of local sockets, at least 1.
	Paths int
	// Interval is the least time between two probes of a peer. Each probe takes
	// the next path.
	Interval time.Duration
	// FastInterval is the time between probes of all paths of a peer after a
	// probe was lost.
	FastInterval time.Duration
	// Timeout is the time after which an unanswered probe counts as lost.
	Timeout time.Duration
	// UsedFor is how long a peer is probed after the last packet to it.
	UsedFor time.Duration
	// MaxPeers bounds the peers that are probed. Others use all their paths.
	MaxPeers int
	// Rate bounds the probes a second to all peers. With more than Rate times
	// Interval peers in use, each is probed less often than every Interval.
	Rate int
}

// Paths is the health of all paths. It is not safe for concurrent use.
type Paths struct {
	opts   Options
	peers  map[model.NodeID]*peer
	normal queue // peers in rotation
	fast   queue // peers that lost a probe
	sent   []sentProbe
	lastID uint64
	tokens float64 // probes that may be sent now
	filled time.Time
}

type peer struct {
	id    model.NodeID
	paths []path
	used  time.Time
	turn  uint64 // matches the peer's only valid queue entry
	next  int    // path of the next probe in rotation
	fast  int    // fast turns left; set anew only after an answer
	alive bool   // answered since the fast turns ran out
}

type path struct {
	lost      int    // probes lost since the last answer
	firstLost uint64 // the first of them
	acked     uint64 // newest answered probe
	sent      uint64 // newest probe
	silent    bool
}

// sentProbe waits for its answer or its timeout.
type sentProbe struct {
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

// Tick must come about every 100 ms.
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

// Silent reports that traffic to a peer has moved off a path, Recovered that it
// uses the path again.
type Silent struct {
	Peer model.NodeID
	Path int
}

// Recovered is described at Silent.
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
	setDefault(&o.UsedFor, DefaultUsedFor)
	setDefault(&o.MaxPeers, DefaultMaxPeers)
	setDefault(&o.Rate, DefaultRate)
	return &Paths{opts: o, peers: make(map[model.NodeID]*peer)}
}

func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Pick returns the path for a packet to a peer and notes that the peer is in
// use. Packets of equal hash keep their path while it is healthy, so that they
// are not reordered. It allocates only for a peer that was not in use.
func (p *Paths) Pick(now time.Time, id model.NodeID, hash uint64) int {
	first := int(hash % uint64(p.opts.Paths))
	to := p.peers[id]
	if to == nil {
		if p.opts.Paths > 1 && len(p.peers) < p.opts.MaxPeers {
			to = &peer{id: id, paths: make([]path, p.opts.Paths), used: now, alive: true}
			p.peers[id] = to
			p.normal.push(to, now.Add(p.opts.Interval))
		}
		return first
	}
	to.used = now
	for i := range to.paths {
		if at := (first + i) % len(to.paths); !to.paths[at].silent {
			return at
		}
	}
	return first
}

// Peers returns the number of peers that are probed.
func (p *Paths) Peers() int { return len(p.peers) }

// Step handles the events.
func (p *Paths) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Ack:
		return p.ack(ev)
	case Tick:
		out := p.expire(now)
		p.fill(now)
		out = p.probe(now, &p.fast, out)
		return p.probe(now, &p.normal, out)
	}
	return nil
}

// ack clears the losses of a path. A late answer counts too: the path works.
func (p *Paths) ack(ev Ack) []Action {
	from := p.peers[ev.From]
	if from == nil || int(ev.Msg.Path) >= len(from.paths) {
		return nil
	}
	at := &from.paths[ev.Msg.Path]
	if ev.Msg.ID <= at.acked || ev.Msg.ID > at.sent {
		return nil
	}
	at.acked, at.lost = ev.Msg.ID, 0
	from.alive = true
	var out []Action
	if at.silent {
		at.silent = false
		out = append(out, Recovered{from.id, int(ev.Msg.Path)})
	}
	return from.judge(out)
}

// judge marks the paths silent that lost enough probes while another answered.
func (p *peer) judge(out []Action) []Action {
	for i := range p.paths {
		lost := &p.paths[i]
		if lost.silent || lost.lost < silentAfter {
			continue
		}
		for j := range p.paths {
			if other := &p.paths[j]; other.lost == 0 && other.acked > lost.firstLost {
				lost.silent = true
				out = append(out, Silent{p.id, i})
				break
			}
		}
	}
	return out
}
