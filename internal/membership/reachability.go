package membership

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	reachabilityInterval = 5 * time.Second  // between repeated reports that a data centre is unreachable
	reachabilityLifetime = 15 * time.Second // of a report that is not repeated
	unreachableQuorum    = 2                // relays that must report a data centre as unreachable
	reportSeqBits        = 20               // lower bits of the sequence of a report, which count within an incarnation
)

// reachabilityTable holds what this node and the relays of its data centre know
// about the reachability of other data centres. If a data centre fails as a whole,
// no observer is left to suspect its members; if it is partitioned, its members must
// not be removed. So each node treats the members of a data centre as suspect if the
// relays of the node's own data centre report it as unreachable, and the members'
// records do not change.
type reachabilityTable struct {
	dcs     []dcState     // of the other data centres, in order
	reports []relayReport // in order of the first report of each relay and data centre
	queue   *gossip.Queue[message.DCReachability]

	reportCount uint64 // own reports
}

type dcState struct {
	dc          model.DataCentre
	lastSeen    time.Time // last message from there, or when the data centre became known
	unreachable bool      // as reported by a quorum of the relays of this node's data centre
	reported    bool      // this node reported it as unreachable
	nextReport  time.Time // next repeat of that report
}

type relayReport struct {
	message.DCReachability
	receivedAt time.Time
}

func newReachabilityTable() reachabilityTable {
	size := func(c message.DCReachability) int { return 16 + len(c.Relay) + len(c.DC) }
	return reachabilityTable{queue: gossip.NewQueue(size)}
}

func (t *reachabilityTable) find(dc model.DataCentre) (int, bool) {
	return slices.BinarySearchFunc(t.dcs, dc, func(c dcState, dc model.DataCentre) int {
		return compareIDs(model.NodeID(c.dc), model.NodeID(dc))
	})
}

func (t *reachabilityTable) markSeen(dc model.DataCentre, now time.Time) {
	if i, ok := t.find(dc); ok {
		t.dcs[i].lastSeen = now
	}
}

func (t *reachabilityTable) isUnreachable(dc model.DataCentre) bool {
	i, ok := t.find(dc)
	return ok && t.dcs[i].unreachable
}

func (t *reachabilityTable) setDCs(dcs []model.DataCentre, now time.Time) {
	next := make([]dcState, len(dcs))
	for k, dc := range dcs {
		next[k] = dcState{dc: dc, lastSeen: now}
		if i, ok := t.find(dc); ok {
			next[k] = t.dcs[i]
		}
	}
	t.dcs = next
}

// shiftLastSeen moves all times of the last message forward by gap.
func (t *reachabilityTable) shiftLastSeen(gap time.Duration) {
	for i := range t.dcs {
		t.dcs[i].lastSeen = t.dcs[i].lastSeen.Add(gap)
	}
}

// addReport adds a report or replaces an older one of the same relay and data centre.
// It returns false if the report is not newer.
func (t *reachabilityTable) addReport(c message.DCReachability, now time.Time) bool {
	i := slices.IndexFunc(t.reports, func(r relayReport) bool { return r.Relay == c.Relay && r.DC == c.DC })
	if i < 0 {
		t.reports = append(t.reports, relayReport{DCReachability: c, receivedAt: now})
		return true
	}
	if c.Seq <= t.reports[i].Seq {
		return false
	}
	t.reports[i] = relayReport{DCReachability: c, receivedAt: now}
	return true
}

// countUnreachable counts the relays that report the data centre as unreachable.
func (t *reachabilityTable) countUnreachable(dc model.DataCentre, relays []gossip.Peer) int {
	n := 0
	for _, r := range t.reports {
		if r.DC == dc && r.Unreachable && slices.ContainsFunc(relays, func(p gossip.Peer) bool { return p.ID == r.Relay }) {
			n++
		}
	}
	return n
}

// mergeReachability stores reports and spreads the new ones in the data centre.
func (o *Observer) mergeReachability(reports []message.DCReachability) {
	for _, c := range reports {
		if o.reachability.addReport(c, o.now) {
			o.reachability.queue.Add(string(c.Relay)+" "+string(c.DC), c, o.peers, false)
		}
	}
}

// dcSilent reports whether nothing was received from a data centre for half of
// DCTimeout. Its known relays may then all be unreachable.
func (o *Observer) dcSilent(dc model.DataCentre) bool {
	i, ok := o.reachability.find(dc)
	return ok && o.now.Sub(o.reachability.dcs[i].lastSeen) > o.opts.DCTimeout/2
}

// tickReachability reports the data centres that this node cannot reach, if it is a
// relay, and updates the reachability from the reports of all relays.
func (o *Observer) tickReachability() {
	t := &o.reachability
	t.reports = slices.DeleteFunc(t.reports, func(r relayReport) bool { return o.now.Sub(r.receivedAt) > reachabilityLifetime })
	relay := o.peers.IsRelay()
	relays := o.peers.Relays(o.sender.self.DC)
	for i := range t.dcs {
		c := &t.dcs[i]
		if !relay {
			// The timeout of a node that becomes a relay starts at that moment.
			c.lastSeen, c.reported = o.now, false
		}
		o.reportReachability(c)
		unreachable := t.countUnreachable(c.dc, relays) >= min(unreachableQuorum, len(relays))
		if unreachable != c.unreachable {
			c.unreachable = unreachable
			o.dcReachabilityChanged(c.dc)
		}
	}
}

// reportReachability sends a report if the reachability changed or a repeat is due.
func (o *Observer) reportReachability(c *dcState) {
	unreachable := o.now.Sub(c.lastSeen) > o.opts.DCTimeout
	if unreachable == c.reported && (!unreachable || o.now.Before(c.nextReport)) {
		return
	}
	c.reported, c.nextReport = unreachable, o.now.Add(reachabilityInterval)
	o.mergeReachability([]message.DCReachability{{
		Relay: o.sender.self.ID, DC: c.dc, Seq: o.nextReportSeq(), Unreachable: unreachable,
	}})
}

// nextReportSeq returns a number above those of all earlier reports of this node: the
// incarnation is above those of its earlier processes.
func (o *Observer) nextReportSeq() uint64 {
	o.reachability.reportCount++
	return uint64(o.sender.self.Incarnation)<<reportSeqBits + o.reachability.reportCount
}

// dcReachabilityChanged reports all members of a data centre again.
func (o *Observer) dcReachabilityChanged(dc model.DataCentre) {
	for e := range o.members.All() {
		if e.Value.dc == dc {
			o.changedIDs = append(o.changedIDs, model.NodeID(e.Key))
		}
	}
	o.markAllSlicesDirty()
}

func (o *Observer) flushReachability() {
	for _, b := range o.reachability.queue.Flush(o.now, o.peers) {
		for _, p := range b.To {
			o.send(p.ID, p, message.MemberDelta{Reachability: b.Entries})
		}
	}
}
