package route

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/packet"
)

// The largest planned deployment.
const (
	benchFlows   = 400_000
	benchTargets = 59_000
	benchAddrs   = 38_000
)

func benchAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 443)
}

// newBenchRouter returns a router with one service per address and one or two targets per service.
// Nothing else refers to their names, so BenchmarkKnownTarget counts them too.
func newBenchRouter() *Router {
	r := New(Options{HintCapacity: benchFlows})
	for i := range benchAddrs {
		v := model.ServiceView{Service: model.ServiceName(fmt.Sprint("service-", i)),
			Addrs:  []model.ServiceAddr{{Addr: benchAddr(i), Proto: model.TCP}},
			Policy: model.DefaultPolicy()}
		for t := i; t < benchTargets; t += benchAddrs {
			v.Members = append(v.Members, model.Member{ID: model.NodeID(fmt.Sprint("dk-east-a-target-", t)),
				Kind: model.KindAgent, Service: v.Service, State: model.StateActive, Weight: 1, Incarnation: 7})
		}
		r.SetView(start, v)
	}
	return r
}

func benchPackets() []packet.Info {
	rnd := rand.New(rand.NewPCG(1, 1))
	out := make([]packet.Info, benchFlows)
	for i := range out {
		src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)}), uint16(1024+rnd.IntN(60000)))
		out[i] = packet.Info{ACK: true, Flow: model.Flow{Src: src, Dst: benchAddr(rnd.IntN(benchAddrs)), Proto: model.TCP}}
	}
	return out
}

// BenchmarkRoute compares routing decisions at the planned size with reads of the same flows from
// one Go map. The bound per decision is 0 allocations and the time of 3 map reads.
func BenchmarkRoute(b *testing.B) {
	packets := benchPackets()
	flows := make(map[model.Flow]model.NodeID, benchFlows)
	for i := range packets {
		flows[packets[i].Flow] = "target"
	}
	order := rand.New(rand.NewPCG(2, 2)).Perm(benchFlows)
	for _, hinted := range []bool{false, true} {
		b.Run(fmt.Sprintf("hints=%v", hinted), func(b *testing.B) {
			r := newBenchRouter()
			if hinted {
				for i := range packets {
					f := packets[i].Flow
					to := r.Route(start, &packets[i]).To
					r.hints.put(f.Hash(), model.HashString(string(to)), start)
				}
			}
			b.ReportAllocs()
			var route, mapTime time.Duration
			found := 0
			b.ResetTimer()
			for done := 0; done < b.N; {
				// Alternating rounds run both under the same cache and clock conditions.
				n := min(b.N-done, 10_000)
				from := done % (benchFlows - n + 1)
				t0 := time.Now()
				for _, i := range order[from : from+n] {
					if r.Route(start, &packets[i]).Verdict == Forward {
						found++
					}
				}
				t1 := time.Now()
				for _, i := range order[from : from+n] {
					if flows[packets[i].Flow] != "" {
						found++
					}
				}
				route, mapTime = route+t1.Sub(t0), mapTime+time.Since(t1)
				done += n
			}
			if found != 2*b.N {
				b.Fatalf("%d of %d decisions and map reads succeeded", found, 2*b.N)
			}
			b.ReportMetric(float64(route)/float64(mapTime), "route/lookup")
			b.ReportMetric(float64(r.HintBytes())/benchFlows, "B/flow")
		})
	}
}

// BenchmarkKnownTarget reports the memory of a router per known target, including names. The bound
// is 256 bytes.
func BenchmarkKnownTarget(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heap()
		r := newBenchRouter()
		after := heap()
		b.ReportMetric(float64(after-before-uint64(r.HintBytes()))/benchTargets, "B/target")
		runtime.KeepAlive(r)
	}
}
