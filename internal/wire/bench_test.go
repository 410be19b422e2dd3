package wire

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// BenchmarkReplayTable reports the memory per sender of an agent to which 12,000
// balancers send control messages, or control messages and packets.
func BenchmarkReplayTable(b *testing.B) {
	const senders = 12_000
	for name, sts := range map[string][]stream{"control": {streamControl}, "forward": {streamControl, streamForward}} {
		b.Run(name, func(b *testing.B) {
			var table *replayTable
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				table = newReplayTable(DefaultMaxSenders)
				for i := range senders {
					for _, st := range sts {
						if err := accept(table, model.NodeID(fmt.Sprintf("dk-east-a-entry-%05d", i)), 1, st, 1); err != nil {
							b.Fatal(err)
						}
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/senders, "B/sender")
			}
			runtime.KeepAlive(table)
		})
	}
}

// BenchmarkMessages reports the cost and size of the frequent messages. The size
// of Forward excludes the packet.
func BenchmarkMessages(b *testing.B) {
	const packetSize = 1400
	load := model.Load{Flows: 32_500, Busy: 3, Queued: 12}
	flow := model.Flow{
		Src:   netip.MustParseAddrPort("198.51.100.7:40000"),
		Dst:   netip.MustParseAddrPort("10.80.0.1:80"),
		Proto: model.TCP,
	}
	const hash = 0x9e3779b97f4a7c15
	for _, c := range []struct {
		name    string
		payload int
		msg     message.Message
	}{
		{"Heartbeat", 0, message.Heartbeat{Incarnation: 1_790_000_000_000, Seq: 9, SliceDigest: hash, FileRev: 8600, Load: load}},
		{"HeartbeatAck", 0, message.HeartbeatAck{Seq: 9, State: model.StateActive, SliceDigest: hash}},
		{"LoadReport", 0, message.LoadReport{Load: load}},
		{"Forward", packetSize, message.Forward{Service: "dispatch", ViewHash: hash, Hops: 4, Packet: make([]byte, packetSize)}},
		{"FlowQuery", 0, message.FlowQuery{ID: 1_000_000, Service: "dispatch", Flow: flow, Opening: true}},
	} {
		from := newTestCodec(b, "dk-east-a-entry-1", 1_790_000_000_000, oldKey)
		const to = "dk-east-a-dispatch-1"
		b.Run("Seal/"+c.name, func(b *testing.B) {
			b.ReportAllocs()
			var buf []byte
			var err error
			for b.Loop() {
				if buf, err = from.Seal(buf[:0], to, c.msg); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(buf)-c.payload), "wire-B")
		})
		b.Run("Open/"+c.name, func(b *testing.B) {
			receiver := newTestCodec(b, to, 1, oldKey)
			datagram := mustSeal(b, from, to, c.msg)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := receiver.Open(datagram); err != nil {
					b.Fatal(err)
				}
				// Clears the replay windows, so that the same datagram is accepted again.
				s := receiver.replay.shards[model.HashString(string(from.self))%replayShards].byID[from.self]
				s.highest, s.control = [numStreams]uint64{}, [controlWords]uint64{}
				if s.forward != nil {
					clear(s.forward[:])
				}
			}
		})
	}
}
