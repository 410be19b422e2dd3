package steersim

import (
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/segment"
)

// Guards against packets of a service at a target of another one: a hint to a target that has
// ended must not lead to the agent that now has its address.
func TestFaultHintToAnEndedTargetWhoseAddressIsReused(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		h := &history{sim: newSim(t, seed, 6, services)}
		h.run(2 * time.Second)
		first, second, f := h.balancers[0], h.balancers[3], h.unusedFlow(1)
		first.receive(segment.Segment{Flow: f, Flags: segment.SYN, Seq: 1})
		h.run(50 * time.Millisecond)
		var holder *agent
		for _, a := range h.agents {
			if a.target.flows[f] != nil {
				holder = a
			}
		}
		request := segment.Segment{Flow: f, Flags: segment.ACK, Seq: 2, Ack: holder.target.flows[f].seq + 1, DataLen: 50}
		first.receive(request)
		h.run(time.Second)
		holder.release(0, func() {})
		h.run(7 * time.Second)
		next := h.addAgentAt("alpha", holder)
		h.run(time.Second)
		next.restartPlanned(100 * time.Millisecond)
		h.run(time.Second)
		request.Seq += 50
		second.receive(request) // deliverToTarget checks the service
		h.run(time.Second)
	})
}
