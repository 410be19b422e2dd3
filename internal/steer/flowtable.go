package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// flow is an entry of the balancer's flow table.
type flow struct {
	target   netip.AddrPort
	tried    [maxTried]netip.AddrPort // targets that were sent the opening packet or are to be probed
	ntried   uint8
	refused  uint8 // bit set of the tried targets that returned the opening packet
	transfer bool  // a full-sized packet was forwarded
	opened   bool  // the target answered the opening packet or holds the flow by its own report
	// unanswered is set while the target's answer to the opening packet is outstanding.
	unanswered bool
	openingAt  time.Time // when the last opening packet was sent or queued
	lastSeen   time.Time
	service    model.ServiceName
	syn        []byte // copy of the opening packet, for retries at other targets
	seq, ack   uint32 // sequence and acknowledgement numbers of the caller's last packet
}

func (f *flow) wasTried(a netip.AddrPort) bool { return slices.Contains(f.tried[:f.ntried], a) }

func (f *flow) addTried(a netip.AddrPort) {
	f.target = a
	if !f.wasTried(a) && f.ntried < maxTried {
		f.tried[f.ntried] = a
		f.ntried++
	}
}

// removeTried removes a target that does not hold the flow from the tried targets.
func (f *flow) removeTried(a netip.AddrPort) {
	if i := slices.Index(f.tried[:f.ntried], a); i >= 0 {
		copy(f.tried[i:], f.tried[i+1:f.ntried])
		low := uint8(1)<<i - 1
		f.refused = f.refused&low | f.refused>>1&^low
		f.ntried--
	}
}

// addRefused records that a tried target returned the opening packet.
func (f *flow) addRefused(a netip.AddrPort) {
	if i := slices.Index(f.tried[:f.ntried], a); i >= 0 {
		f.refused |= 1 << i
	}
}

// flowOpening refers to a flow whose opening packet was sent or queued at openingAt.
type flowOpening struct {
	flow      model.Flow
	openingAt time.Time
}
