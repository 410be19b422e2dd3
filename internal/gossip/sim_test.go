package gossip_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// packet is one message on the simulated network.
type packet struct {
	from     model.NodeID
	src, dst netip.AddrPort
	msg      message.Message
	at       time.Time
	order    uint64
}

// packets is a heap of packets by time of delivery.
type packets []packet

func (p packets) Len() int { return len(p) }
func (p packets) Less(i, j int) bool {
	if !p[i].at.Equal(p[j].at) {
		return p[i].at.Before(p[j].at)
	}
	return p[i].order < p[j].order
}
func (p packets) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *packets) Push(x any)   { *p = append(*p, x.(packet)) }
func (p *packets) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

// host is one simulated process. step handles a packet, or a tick if in is nil,
// and returns the packets to send; the simulator sets their source.
type host struct {
	id       model.NodeID
	dc       model.DataCentre
	addr     netip.AddrPort
	down     bool
	step     func(now time.Time, in *packet) []packet
	nextTick time.Time
}

// sim is a network in virtual time. Each packet has a random delay, so packets are
// reordered.
type sim struct {
	rng       *rand.Rand
	now       time.Time
	lossRate  float64
	dupRate   float64
	min, max  time.Duration                // delay of a packet
	cut       map[[2]model.DataCentre]bool // per direction
	noInbound map[netip.AddrPort]bool      // hosts that receive nothing
	hosts     []*host
	byAddr    map[netip.AddrPort]*host
	queue     packets
	order     uint64
	onSend    func(p packet) // called for each packet sent, including lost ones
}

var epoch = time.UnixMilli(1_800_000_000_000).UTC()

const tickInterval = 50 * time.Millisecond

func newSim(seed uint64) *sim {
	return &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), now: epoch,
		lossRate: 0.05, dupRate: 0.01, min: 3 * time.Millisecond, max: 40 * time.Millisecond,
		cut: map[[2]model.DataCentre]bool{}, byAddr: map[netip.AddrPort]*host{}, noInbound: map[netip.AddrPort]bool{},
	}
}

func addrOf(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 4000)
}

// addHost starts a host. It replaces a host at the same address.
func (s *sim) addHost(h *host) {
	h.nextTick = s.now.Add(time.Duration(s.rng.Int64N(int64(tickInterval))))
	if old := s.byAddr[h.addr]; old != nil {
		*old = *h
		return
	}
	s.hosts = append(s.hosts, h)
	s.byAddr[h.addr] = h
}

// setCut cuts or restores a data centre's links to all others.
func (s *sim) setCut(dc model.DataCentre, others []model.DataCentre, cut bool) {
	for _, o := range others {
		if o != dc {
			s.cut[[2]model.DataCentre{dc, o}], s.cut[[2]model.DataCentre{o, dc}] = cut, cut
		}
	}
}

func (s *sim) send(from *host, out []packet) {
	for _, p := range out {
		p.from, p.src = from.id, from.addr
		if s.onSend != nil {
			s.onSend(p)
		}
		to := s.byAddr[p.dst]
		if to == nil || s.noInbound[p.dst] || s.cut[[2]model.DataCentre{from.dc, to.dc}] || s.rng.Float64() < s.lossRate {
			continue
		}
		s.deliver(p)
		if s.rng.Float64() < s.dupRate {
			s.deliver(p)
		}
	}
}

func (s *sim) deliver(p packet) {
	p.at = s.now.Add(s.min + time.Duration(s.rng.Int64N(int64(s.max-s.min))))
	s.order++
	p.order = s.order
	heap.Push(&s.queue, p)
}

// run advances virtual time by d. If check is not nil, it is called after each
// millisecond with a packet or tick; its error ends the run.
func (s *sim) run(d time.Duration, check func() error) error {
	end := s.now.Add(d)
	for ; s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		busy := false
		for len(s.queue) > 0 && !s.queue[0].at.After(s.now) {
			p := heap.Pop(&s.queue).(packet)
			if h := s.byAddr[p.dst]; !h.down {
				busy = true
				s.send(h, h.step(s.now, &p))
			}
		}
		for _, h := range s.hosts {
			if h.down || h.nextTick.After(s.now) {
				continue
			}
			busy = true
			h.nextTick = h.nextTick.Add(tickInterval)
			s.send(h, h.step(s.now, nil))
		}
		if check != nil && busy {
			if err := check(); err != nil {
				return fmt.Errorf("after %v: %w", s.now.Sub(epoch), err)
			}
		}
	}
	return nil
}

// runUntil runs until done returns true and returns the time that it took, or an
// error after limit.
func (s *sim) runUntil(limit time.Duration, done func() bool) (time.Duration, error) {
	start := s.now
	for s.now.Sub(start) < limit {
		if done() {
			return s.now.Sub(start), nil
		}
		if err := s.run(10*time.Millisecond, nil); err != nil {
			return 0, err
		}
	}
	return limit, fmt.Errorf("not done after %v", limit)
}
