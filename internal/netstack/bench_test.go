package netstack_test

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/netstack"
)

// BenchmarkMemory reports the memory of one end of an idle connection: half of
// the growth, since both ends are in this process.
func BenchmarkMemory(b *testing.B) {
	const conns = 1000
	for b.Loop() {
		var client, server *netstack.Stack
		client, err := netstack.New(netstack.Options{
			Addrs:  []netip.Addr{netip.MustParseAddr("10.1.0.1")},
			Output: func(p []byte) { server.Inject(p) },
		})
		if err != nil {
			b.Fatal(err)
		}
		ready := make(chan struct{})
		server, err = netstack.New(netstack.Options{Output: func(p []byte) { <-ready; client.Inject(p) }})
		if err != nil {
			b.Fatal(err)
		}
		close(ready)
		ln, err := server.ListenAll()
		if err != nil {
			b.Fatal(err)
		}
		before := memoryInUse()
		var open []net.Conn
		for i := range conns {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			c, err := client.Dial(ctx, netip.AddrPortFrom(netip.MustParseAddr("10.80.0.1"), uint16(1000+i)))
			cancel()
			if err != nil {
				b.Fatal(err)
			}
			s, err := ln.Accept()
			if err != nil {
				b.Fatal(err)
			}
			open = append(open, c, s)
		}
		b.ReportMetric((memoryInUse()-before)/conns/2, "B/connection")
		runtime.KeepAlive(open)
		client.Close()
		server.Close()
	}
	b.ReportMetric(0, "ns/op")
}

func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
