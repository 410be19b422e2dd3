package wire

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// BenchmarkReplayTable reports the memory for each sender that an agent hears:
// all 12,000 balancers forward packets to it.
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
						if err := table.accept(model.NodeID(fmt.Sprintf("dk-east-a-entry-%05d", i)), 1, st, 1); err != nil {
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
