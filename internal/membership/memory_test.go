package membership

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// BenchmarkMemoryPerTarget reports the memory that a balancer uses for each of
// 59,000 targets in 38,000 services, without the strings of ID and service.
func BenchmarkMemoryPerTarget(b *testing.B) {
	const n, services = 59000, 38000
	members := make([]model.Member, n)
	for i := range members {
		members[i] = model.Member{
			ID: model.NodeID(fmt.Sprintf("dk-east-a-agent-%06d", i)), Kind: model.KindAgent, DC: "dk-east-a",
			Service: model.ServiceName(fmt.Sprintf("service-%05d", i%services)), Incarnation: 1, Seq: 1, State: model.StateActive,
			PeerAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 4000),
			Weight:   1, Started: time.Unix(1_800_000_000, 0),
		}
	}
	self := model.Member{ID: "balancer", Kind: model.KindBalancer, DC: "dk-east-b", Incarnation: 1}
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		o := NewObserver(Options{Self: self})
		o.apply(members, true)
		o.changedIDs = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/target")
		runtime.KeepAlive(o)
	}
	runtime.KeepAlive(members)
}
