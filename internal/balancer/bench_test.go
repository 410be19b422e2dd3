package balancer

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

var benchStart = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// newServingCore returns a serving core with the given number of agents, two thirds as many
// services and one file per service.
func newServingCore(b testing.TB, agents int) (*Core, time.Time) {
	b.Helper()
	now := benchStart
	services := agents * 2 / 3
	c := New(Options{Self: model.Member{
		ID: "b1", DC: "dc1", Incarnation: 1, PeerAddr: netip.MustParseAddrPort("10.0.0.1:7000"), Weight: 1,
	}, Seed: 1})
	c.Step(now, Tick{})
	files := make([]message.File, 0, services)
	for i := range services {
		files = append(files, message.File{
			Name: fmt.Sprintf("10-s%05d.yaml", i), Version: uint64(i + 1),
			Content: fmt.Appendf(nil, "service: s%05d\naddresses: [10.%d.%d.%d:80]\n", i, 80+i>>16, i>>8&255, i&255),
		})
	}
	c.Step(now, StoreList{Rev: uint64(services), Files: files})
	for i := 0; i < agents; i += 50 {
		var delta message.MemberDelta
		for j := i; j < min(i+50, agents); j++ {
			delta.Members = append(delta.Members, benchAgent(j, services))
		}
		c.Step(now, Received{From: "b2", Incarnation: 1, Msg: delta})
	}
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		c.Step(now, Tick{})
	}
	if !c.Serving() || len(c.Members()) < agents {
		b.Fatalf("not serving: %v, %d members", c.Serving(), len(c.Members()))
	}
	return c, now
}

func benchAgent(i, services int) model.Member {
	return model.Member{
		ID: model.NodeID(fmt.Sprintf("dc2-s%05d-%d", i%services, i)), Kind: model.KindAgent, DC: "dc2",
		Service: model.ServiceName(fmt.Sprintf("s%05d", i%services)), Incarnation: 1, Seq: 1, State: model.StateActive,
		PeerAddr:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000),
		RequestAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7001),
		Slots:       3, MaxFlows: 2000, Weight: 1, Started: benchStart.Add(-time.Hour),
	}
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory reports the heap of a core per known agent, including two thirds of a service
// and of its file.
func BenchmarkMemory(b *testing.B) {
	for _, agents := range []int{6000, 20000, 59000} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				c, _ := newServingCore(b, agents)
				b.ReportMetric((heap()-before)/float64(agents), "B/agent")
				runtime.KeepAlive(c)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkControl reports the processing time of one second of control work without changes, and
// of one configuration change.
func BenchmarkControl(b *testing.B) {
	for _, agents := range []int{6000, 59000} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			c, now := newServingCore(b, agents)
			rev, seconds := uint64(1<<20), 0
			var idle, change time.Duration
			for b.Loop() {
				start := time.Now()
				for range 20 {
					now = now.Add(50 * time.Millisecond)
					c.Step(now, Tick{})
				}
				idle += time.Since(start)
				start = time.Now()
				rev++
				c.Step(now, Pushed{File: message.File{Name: "90-queue.yaml", Version: rev, Content: fmt.Appendf(nil, "service: s00001\nqueue: %d\n", rev%1000)}})
				change += time.Since(start)
				seconds++
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(idle.Seconds()*1e3/float64(seconds), "idle-ms/s")
			b.ReportMetric(change.Seconds()*1e3/float64(seconds), "ms/change")
		})
	}
}
