package flows

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/fxamacker/cbor/v2"
)

// imbalance returns the ratio of maximum to mean of the flows held by active agents,
// and the same ratio if those flows were placed by plain rendezvous hashing.
func (s *sim) imbalance() (held, plain float64) {
	var byHolder, byHash []float64
	n := map[model.NodeID]int{}
	for f, c := range s.callers {
		if !c.ended && c.established {
			n[s.balancers[0].tables[0].Homes(epoch.Add(time.Hour), f.Hash(), 1)[0]]++
		}
	}
	for _, a := range s.agents {
		if a.member.State == model.StateActive {
			byHolder = append(byHolder, float64(a.core.held.size))
			byHash = append(byHash, float64(n[a.member.ID]))
		}
	}
	return maxOverMean(byHolder), maxOverMean(byHash)
}

func maxOverMean(xs []float64) float64 {
	top, sum := 0.0, 0.0
	for _, x := range xs {
		top, sum = max(top, x), sum+x
	}
	return top * float64(len(xs)) / sum
}

// newOpeningsOnlySim returns a simulation of one service whose callers send only opening
// packets, with about 2,000 flows that last 30 s on average.
func newOpeningsOnlySim(seed uint64, targets int) *sim {
	s := newSim(seed, targets)
	s.openingsOnly, s.loss = true, 0.01
	s.views[0].Policy.Warmup = 10 * time.Second
	s.publish()
	s.run(8 * time.Second)
	s.churn(67, 30*time.Second, 200*time.Second)
	s.run(90 * time.Second)
	return s
}

// controlSize returns the size of a message in bytes: plain CBOR, 28 bytes of IP and UDP
// headers, and 56 bytes of envelope with MAC. It returns 0 unless measure is set.
func controlSize(s Send, measure bool) int {
	if !measure {
		return 0
	}
	body, err := cbor.Marshal(s.Msg)
	if err != nil {
		panic(err)
	}
	return 28 + 56 + len(body)
}

// BenchmarkImbalance reports the ratio of maximum to mean connections per target,
// averaged over 20 s in steady state, and its greatest value from 10 s to 30 s after
// one drain and one join, compared with plain rendezvous hashing. It also estimates
// the control traffic that each agent sends in steady state.
func BenchmarkImbalance(b *testing.B) {
	for _, targets := range []int{7, 3} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			var steady, plain, top, changed, flows, handed, control float64
			for i := range b.N {
				s := newOpeningsOnlySim(uint64(i), targets)
				s.controlBytes = 0
				for range 20 {
					s.run(time.Second)
					h, p := s.imbalance()
					steady, plain, top = steady+h/20, plain+p/20, max(top, h)
				}
				control += float64(s.controlBytes) / 20 / float64(targets)
				flows += float64(len(s.callers))
				handed += float64(s.counts[ReasonHandedOver])
				s.leave(s.agents[0])
				s.addAgent(0, s.now)
				s.publish()
				s.run(10 * time.Second)
				for range 20 {
					h, _ := s.imbalance()
					changed = max(changed, h)
					s.run(time.Second)
				}
			}
			n := float64(b.N)
			b.ReportMetric(steady/n, "steady")
			b.ReportMetric(top, "steady-max")
			b.ReportMetric(plain/n, "plainhash")
			b.ReportMetric(changed, "changed-max")
			b.ReportMetric(control/n, "control-B/s/node")
			b.ReportMetric(handed/flows, "handed/flow")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkMemory reports the size in bytes of a held flow that is registered with two
// homes, and of an exception.
func BenchmarkMemory(b *testing.B) {
	const n = 65536
	flow := func(i int) model.Flow {
		src := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		return model.Flow{Src: netip.AddrPortFrom(src, 5000), Dst: addr(0).Addr, Proto: model.TCP}
	}
	c := newSim(1, 3).agents[0].core
	for i := range b.N {
		before := heapBytes()
		c.held = newFlowTable[heldFlow]()
		for i := range n {
			f := flow(i)
			c.held.put(f.Hash(), f)
		}
		held := heapBytes()
		c.exceptions = newFlowTable[exception]()
		for i := range n {
			f := flow(i)
			c.recordHolder(epoch, f.Hash(), f, "s0-01", 1, 0)
		}
		if i == 0 {
			b.ReportMetric(float64(held-before)/n, "B/held")
			b.ReportMetric(float64(heapBytes()-held)/n, "B/exception")
		}
	}
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(c)
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
