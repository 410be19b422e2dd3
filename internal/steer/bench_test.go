package steer

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

func benchCore(b *testing.B, agents int) *Core {
	b.Helper()
	var addrs []netip.AddrPort
	for i := range agents {
		var ip [4]byte
		binary.BigEndian.PutUint32(ip[:], 0x0a010000+uint32(i))
		addrs = append(addrs, netip.AddrPortFrom(netip.AddrFrom4(ip), 7000))
	}
	c := newCore(addrs...)
	ready(c, start, 1, addrs...)
	return c
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{2, 10, 50} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			c := benchCore(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s := syn(uint16(i))
				c.Packet(start, s, raw)
				delete(c.flows, s.Flow)
				c.sentOpenings = c.sentOpenings[:0]
			}
		})
	}
}

func BenchmarkFollow(b *testing.B) {
	c := benchCore(b, 10)
	c.Packet(start, syn(1), raw)
	s := data(1)
	b.ReportAllocs()
	for b.Loop() {
		c.Packet(start, s, raw)
	}
}

func BenchmarkHelloAndReport(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			c := benchCore(b, n)
			now := start
			var out []byte
			seq := uint64(1)
			for b.Loop() {
				now = now.Add(c.agentHelloInterval())
				seq++
				for _, a := range c.Tick(now) {
					if a.Kind == SendMessage {
						out, _ = steerwire.Append(out[:0], a.Message)
					}
				}
				for _, t := range sortedKeys(c.targets) {
					out, _ = steerwire.Append(out[:0], steerwire.Message{Kind: steerwire.KindReport, Report: steerwire.Report{
						Node: "side-stgo-a-1", Incarnation: 1, Sequence: seq, Service: "alpha", DataCentre: "stgo-a", State: steerwire.TargetReady, Slots: 3,
					}})
					m, err := steerwire.Decode(out)
					if err != nil {
						b.Fatal(err)
					}
					c.Message(now, t, m, segment.Segment{})
				}
			}
			b.ReportMetric(float64(b.Elapsed())/float64(b.N)/float64(n)/float64(time.Microsecond), "us/agent")
		})
	}
}
