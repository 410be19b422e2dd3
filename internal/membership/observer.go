package membership

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/replica"
)

const (
	memberGroups  = 64      // 4,096 buckets: about 17 members each at the planned size
	maxTombstones = 1 << 16 // removed members kept; the oldest are dropped first
	// pauseGap is the time between two steps above which the process was paused.
	// Heartbeats of that time are not missing: they are not read yet.
	pauseGap = time.Second
)

// Observer is the membership core of a balancer.
type Observer struct {
	opts    Options
	now     time.Time
	started time.Time
	sender  heartbeatSender
	records recordCodec

	members    *replica.Map[record]
	updates    *gossip.Queue[model.Member]
	repair     *gossip.Repair[record]
	peers      *gossip.Peers
	joined     bool
	nextSeedAt time.Time

	peersChanged   bool // the set of live balancers changed
	peersRebuiltAt time.Time

	observed     []*observedMember // members that this node observes, in order of their IDs
	observedByID map[model.NodeID]*observedMember
	reachability reachabilityTable
	services     serviceTable

	rankBuffer []int          // reused by updateObservation
	changedIDs []model.NodeID // members to report at the end of the step
	out        []Action
}

// NewObserver returns the core of a balancer that knows only its seeds.
func NewObserver(opts Options) *Observer {
	opts.Intervals = opts.Intervals.withDefaults()
	o := &Observer{
		opts:         opts,
		sender:       newHeartbeatSender(opts),
		records:      newRecordCodec(),
		members:      replica.New[record](replica.Options{Groups: memberGroups, Retention: opts.Retention, MaxTombstones: maxTombstones}),
		updates:      gossip.NewQueue(memberSize),
		observedByID: map[model.NodeID]*observedMember{},
		rankBuffer:   make([]int, 0, observerCount+1),
		peersChanged: true,
	}
	self := &o.sender.self
	o.peers = gossip.NewPeers(gossip.NewPeer(self.ID, self.DC, self.PeerAddr), opts.Seed)
	o.repair = gossip.NewRepair(message.MapMembers, o.members)
	o.reachability = newReachabilityTable()
	o.services = newServiceTable()
	return o
}

// Self returns the balancer's own record.
func (o *Observer) Self() model.Member { return o.sender.self }

// Member returns a member as this node must treat it.
func (o *Observer) Member(id model.NodeID) (model.Member, bool) {
	e, ok := o.members.Get(string(id))
	if !ok || e.Deleted {
		return model.Member{}, false
	}
	return o.effective(e), true
}

// Members returns all members as this node must treat them, in order of their IDs.
func (o *Observer) Members() []model.Member {
	out := make([]model.Member, 0, o.members.Len())
	for e := range o.members.All() {
		out = append(out, o.effective(e))
	}
	model.SortMembers(out)
	return out
}

// effective returns a record as this node must treat it: a member of an unreachable
// data centre is suspect, and the configured decisions apply.
func (o *Observer) effective(e replica.Entry[record]) model.Member {
	m := o.records.unpack(e)
	if m.State < model.StateSuspect && o.reachability.isUnreachable(m.DC) {
		m.State = model.StateSuspect
	}
	o.services.override(&m)
	return m
}

// Step handles one event.
func (o *Observer) Step(now time.Time, ev Event) []Action {
	o.out = nil
	if o.started.IsZero() {
		o.started, o.records.origin = now, now
		o.announceSelf()
	}
	if gap := now.Sub(o.now); !o.now.IsZero() && gap > pauseGap {
		o.skipPause(gap)
	}
	o.now = now
	switch e := ev.(type) {
	case Received:
		o.handleMessage(e)
	case Services:
		o.setServices(e)
	case SelfChanged:
		o.sender.self.State, o.sender.self.Weight = max(e.State, model.StateActive), e.Weight
		o.selfChanged()
	case Leave:
		o.sender.self.State = max(o.sender.self.State, model.StateLeaving)
		if e.Final {
			o.sender.self.State = model.StateGone
		}
		o.selfChanged()
	case SetLoad:
		o.sender.load, o.sender.fileRev = e.Load, e.FileRev
	case Tick:
		o.tick()
	}
	o.finishStep()
	return o.out
}

// skipPause moves the times of the last heartbeats forward by a pause of this node.
func (o *Observer) skipPause(gap time.Duration) {
	for _, w := range o.observed {
		w.lastSeen = w.lastSeen.Add(gap)
	}
	o.reachability.shiftLastSeen(gap)
}

func (o *Observer) send(to model.NodeID, p gossip.Peer, msg message.Message) {
	o.out = append(o.out, Send{To: to, Addr: p.Addr, Msg: msg})
}

func (o *Observer) selfChanged() {
	o.sender.recordChanged()
	o.announceSelf()
}

// announceSelf stores and spreads the balancer's own record.
func (o *Observer) announceSelf() {
	self := o.sender.self
	if len(o.members.Apply(o.records.pack(&self))) > 0 {
		o.updates.Add(string(self.ID), self, o.peers, true)
		o.handleMemberChange(self)
	}
}

// apply stores records and spreads the changed ones. joining is set for records that a
// joining node receives: they are not spread, because the other nodes have them.
func (o *Observer) apply(members []model.Member, joining bool) {
	for i := range members {
		m := members[i].Received(o.now)
		if !validMember(&m) {
			continue
		}
		if m.ID == o.sender.self.ID {
			if o.sender.supersede(m.Incarnation, m.Seq, m.State) {
				o.announceSelf()
			}
			continue
		}
		old, known := o.members.Get(string(m.ID))
		entry := o.records.pack(&m)
		if known && old.Version.Hi == entry.Version.Hi && old.Value.started != 0 {
			entry.Value.started = old.Value.started // the age in each message is a little too low
		}
		for _, e := range o.members.Apply(entry) {
			got := o.records.unpack(e)
			if known && old.Value.service != got.Service {
				o.services.remove(old.Value.service, got.ID)
			}
			if !joining {
				// Relays send only records of their own data centre to other data centres.
				o.updates.Add(e.Key, got, o.peers, got.DC == o.sender.self.DC)
			}
			o.handleMemberChange(got)
		}
	}
}

// handleMemberChange updates the state derived from a changed member.
func (o *Observer) handleMemberChange(m model.Member) {
	o.changedIDs = append(o.changedIDs, m.ID)
	if m.Kind == model.KindBalancer {
		o.peersChanged = true
	} else {
		o.services.memberChanged(m)
		o.markSlicesDirty(m.Service)
	}
	// After a change of the balancers, rebuildPeers updates the observations of all
	// remaining members.
	if o.mayObserve(m.ID, m.DC) && (!o.peersChanged || m.State == model.StateGone) {
		o.updateObservation(m)
	}
	if w := o.observedByID[m.ID]; w != nil {
		w.suspectSince = time.Time{}
	}
}

func (o *Observer) handleMessage(e Received) {
	if e.From == o.sender.self.ID {
		return
	}
	if rec, ok := o.members.Get(string(e.From)); ok {
		o.reachability.markSeen(rec.Value.dc, o.now)
	}
	switch m := e.Msg.(type) {
	case message.Heartbeat:
		o.handleHeartbeat(e, m)
	case message.HeartbeatAck:
		if o.sender.handleAck(o.now, e.From, m) {
			o.announceSelf()
		}
	case message.Superseded:
		if o.sender.handleSuperseded(m) {
			o.announceSelf()
		}
	case message.MemberDelta:
		o.apply(m.Members, o.repair.Joining())
		o.mergeReachability(m.Reachability)
	case message.Suspicion:
		o.handleSuspicion(m)
	case message.Digest:
		if m.Map == message.MapMembers {
			reply, buckets := o.repair.HandleDigest(e.From, m, o.peers)
			for _, msg := range reply {
				o.out = append(o.out, Send{To: e.From, Addr: e.FromAddr, Msg: msg})
			}
			o.sendBuckets(e, buckets)
		}
	case message.Pull:
		if m.Map == message.MapMembers {
			o.sendBuckets(e, m.Buckets)
		}
	}
}

func (o *Observer) sendBuckets(e Received, buckets []uint16) {
	for _, batch := range o.members.Batches(buckets, gossip.DatagramBudget, o.records.size) {
		members := make([]model.Member, len(batch))
		for i := range batch {
			members[i] = o.records.unpack(batch[i]).Sent(o.now)
		}
		o.out = append(o.out, Send{To: e.From, Addr: e.FromAddr, Msg: message.MemberDelta{Members: members}})
	}
}

func (o *Observer) tick() {
	o.members.Advance(o.now)
	o.tickSuspicion()
	o.tickReachability()
	for _, p := range o.repair.DuePeers(o.now, o.peers, o.dcSilent) {
		o.send(p.ID, p, o.repair.RootDigest())
	}
	o.tickSeeds()
	o.tickJoin()
}

// finishStep outputs the changes of the step: members, peers and messages.
func (o *Observer) finishStep() {
	// A joining node receives the balancers in many messages. It limits how often it
	// ranks them again.
	if o.peersChanged && (o.joined || o.now.Sub(o.peersRebuiltAt) >= gossip.JoinInterval) {
		o.peersChanged, o.peersRebuiltAt = false, o.now
		o.rebuildPeers()
	}
	o.reportChanges()
	o.out = append(o.out, o.sender.tick(o.now)...)
	o.flushSlices()
	for _, b := range o.updates.Flush(o.now, o.peers) {
		for i := range b.Entries {
			b.Entries[i] = b.Entries[i].Sent(o.now)
		}
		for _, p := range b.To {
			o.send(p.ID, p, message.MemberDelta{Members: b.Entries})
		}
	}
	o.flushReachability()
}

func (o *Observer) reportChanges() {
	if len(o.changedIDs) == 0 {
		return
	}
	slices.Sort(o.changedIDs)
	var members []model.Member
	for _, id := range slices.Compact(o.changedIDs) {
		if e, ok := o.members.Get(string(id)); ok {
			members = append(members, o.effective(e))
		}
	}
	o.changedIDs = o.changedIDs[:0]
	o.out = append(o.out, MembersChanged{Members: members})
}

// rebuildPeers derives the live balancers and all rankings from the members.
func (o *Observer) rebuildPeers() {
	var peers []gossip.Peer
	var dcs []model.DataCentre
	for e := range o.members.All() {
		r := &e.Value
		if r.kind != model.KindBalancer || r.state >= model.StateSuspect {
			continue
		}
		m := o.records.unpack(e)
		peers = append(peers, gossip.NewPeer(m.ID, m.DC, m.PeerAddr))
		// Reachability is tracked by messages of balancers, so only for data centres
		// that have one.
		if i, ok := slices.BinarySearch(dcs, r.dc); !ok {
			dcs = slices.Insert(dcs, i, r.dc)
		}
	}
	o.peers.Set(peers)
	o.reachability.setDCs(slices.DeleteFunc(dcs, func(dc model.DataCentre) bool { return dc == o.sender.self.DC }), o.now)
	self := &o.sender.self
	others := slices.DeleteFunc(slices.Clone(o.observerCandidates(self.ID, self.DC)), func(p gossip.Peer) bool { return p.ID == self.ID })
	o.sender.selectObservers(o.now, others)
	o.updateObservations()
	o.markAllSlicesDirty()
	if o.joined {
		o.out = append(o.out, PeersChanged{Peers: o.peers.All()})
	}
}
