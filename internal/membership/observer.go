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
	memberGroups  = 64 // 4,096 buckets: about 17 members each at the planned size
	maxTombstones = 1 << 16
	// A core that was not stepped for this long was paused; the heartbeats of
	// that time are not missing but unread.
	pauseGap = time.Second
)

// Observer is the membership core of a balancer.
type Observer struct {
	opt     Options
	now     time.Time
	started time.Time
	beat    beater
	intern  interner

	members  *replica.Map[record]
	queue    *gossip.Queue[model.Member]
	repair   *gossip.Repair[record]
	peers    *gossip.Peers
	joined   bool
	seedNext time.Time

	regroup   bool // the set of live balancers changed
	regrouped time.Time

	watch    []*watched // members of the own data centre that this node observes, by ID
	byID     map[model.NodeID]*watched
	contacts contactTable
	services serviceTable

	ranks   []int          // reused by rewatch
	changed []model.NodeID // members to report at the end of the step
	out     []Action
}

// NewObserver returns the core of a balancer that knows only its seeds.
func NewObserver(opt Options) *Observer {
	opt.Intervals = opt.Intervals.withDefaults()
	o := &Observer{
		opt:     opt,
		beat:    newBeater(opt),
		intern:  interner{},
		members: replica.New[record](replica.Options{Groups: memberGroups, Retention: opt.Retention, MaxTombstones: maxTombstones}),
		queue:   gossip.NewQueue(memberSize),
		byID:    map[model.NodeID]*watched{},
		ranks:   make([]int, 0, observerNum+1),
		regroup: true,
	}
	self := &o.beat.self
	o.peers = gossip.NewPeers(gossip.NewPeer(self.ID, self.DC, self.PeerAddr), opt.Seed)
	o.repair = gossip.NewRepair(message.MapMembers, o.members)
	o.contacts = newContactTable()
	o.services = newServiceTable()
	return o
}

// Self returns the balancer's own record.
func (o *Observer) Self() model.Member { return o.beat.self }

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

// effective returns a record with the local mark of unreachable data centres.
func (o *Observer) effective(e replica.Entry[record]) model.Member {
	m := unpack(e)
	if m.State < model.StateSuspect && o.contacts.unreachable(m.DC) {
		m.State = model.StateSuspect
	}
	o.services.override(&m)
	return m
}

// Step handles one event.
func (o *Observer) Step(now time.Time, ev Event) []Action {
	o.out = nil
	if o.started.IsZero() {
		o.started = now
		o.announceSelf()
	}
	if gap := now.Sub(o.now); !o.now.IsZero() && gap > pauseGap {
		o.resumed(gap)
	}
	o.now = now
	switch e := ev.(type) {
	case Received:
		o.received(e)
	case Services:
		o.setServices(e)
	case SelfChanged:
		o.beat.self.State, o.beat.self.Weight = max(e.State, model.StateActive), e.Weight
		o.selfChanged()
	case Leave:
		o.beat.self.State = max(o.beat.self.State, model.StateLeaving)
		if e.Final {
			o.beat.self.State = model.StateGone
		}
		o.selfChanged()
	case SetLoad:
		o.beat.load, o.beat.fileRev = e.Load, e.FileRev
	case Tick:
		o.tick()
	}
	o.finish()
	return o.out
}

// resumed moves the times of the last heartbeats over a pause of this node.
func (o *Observer) resumed(gap time.Duration) {
	for _, w := range o.watch {
		w.heard = w.heard.Add(gap)
	}
	o.contacts.shift(gap)
}

func (o *Observer) send(to model.NodeID, p gossip.Peer, msg message.Message) {
	o.out = append(o.out, Send{To: to, Addr: p.Addr, Msg: msg})
}

func (o *Observer) selfChanged() {
	o.beat.changed()
	o.announceSelf()
}

// announceSelf stores and spreads the own record.
func (o *Observer) announceSelf() {
	self := o.beat.self
	if len(o.members.Apply(o.intern.pack(&self))) > 0 {
		o.queue.Add(string(self.ID), self, o.peers, true)
		o.noteChange(self)
	}
}

// apply takes over records and spreads those that are news. quiet is set for the
// bulk that a joining node takes over: all others have it.
func (o *Observer) apply(members []model.Member, quiet bool) {
	for i := range members {
		m := &members[i]
		if !valid(m) {
			continue
		}
		if m.ID == o.beat.self.ID {
			if o.beat.outdated(m.Incarnation, m.Seq, m.State) {
				o.announceSelf()
			}
			continue
		}
		old, held := o.members.Get(string(m.ID))
		for _, e := range o.members.Apply(o.intern.pack(m)) {
			got := unpack(e)
			if held && old.Value.service != got.Service {
				o.services.remove(old.Value.service, got.ID)
			}
			if !quiet {
				// Each data centre's relays tell the others about its own members only.
				o.queue.Add(e.Key, got, o.peers, got.DC == o.beat.self.DC)
			}
			o.noteChange(got)
		}
	}
}

// noteChange updates what is derived from the members.
func (o *Observer) noteChange(m model.Member) {
	o.changed = append(o.changed, m.ID)
	if m.Kind == model.KindBalancer {
		o.regroup = true
	} else {
		o.services.memberChanged(m)
		o.dirtyService(m.Service)
	}
	if o.observes(m.ID, m.DC) && (!o.regroup || m.State == model.StateGone) {
		o.rewatch(m)
	}
	if w := o.byID[m.ID]; w != nil {
		w.suspectSince = time.Time{}
	}
}

func (o *Observer) received(e Received) {
	if e.From == o.beat.self.ID {
		return
	}
	if rec, ok := o.members.Get(string(e.From)); ok {
		o.contacts.heard(rec.Value.dc, o.now)
	}
	switch m := e.Msg.(type) {
	case message.Heartbeat:
		o.onHeartbeat(e, m)
	case message.HeartbeatAck:
		if o.beat.ack(o.now, e.From, m) {
			o.announceSelf()
		}
	case message.MemberDelta:
		o.apply(m.Members, o.repair.Joining())
		o.takeContacts(m.Reachability)
	case message.Suspicion:
		o.onSuspicion(m)
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
	for _, batch := range o.members.Batches(buckets, gossip.DatagramBudget, recordSize) {
		members := make([]model.Member, len(batch))
		for i := range batch {
			members[i] = unpack(batch[i])
		}
		o.out = append(o.out, Send{To: e.From, Addr: e.FromAddr, Msg: message.MemberDelta{Members: members}})
	}
}

func (o *Observer) tick() {
	o.members.Advance(o.now)
	o.tickSuspicion()
	o.tickContacts()
	for _, p := range o.repair.DuePeers(o.now, o.peers, o.quietDC) {
		o.send(p.ID, p, o.repair.RootDigest())
	}
	o.tickSeeds()
	o.tickJoin()
}

// finish reports and sends what the step changed.
func (o *Observer) finish() {
	// A joining node gets the balancers in many messages; it ranks once for several.
	if o.regroup && (o.joined || o.now.Sub(o.regrouped) >= gossip.JoinInterval) {
		o.regroup, o.regrouped = false, o.now
		o.rebuildPeers()
	}
	o.reportChanges()
	o.out = append(o.out, o.beat.tick(o.now)...)
	o.flushSlices()
	for _, b := range o.queue.Flush(o.now, o.peers) {
		for _, p := range b.To {
			o.send(p.ID, p, message.MemberDelta{Members: b.Entries})
		}
	}
	o.flushContacts()
}

func (o *Observer) reportChanges() {
	if len(o.changed) == 0 {
		return
	}
	slices.Sort(o.changed)
	var members []model.Member
	for _, id := range slices.Compact(o.changed) {
		if e, ok := o.members.Get(string(id)); ok {
			members = append(members, o.effective(e))
		}
	}
	o.changed = o.changed[:0]
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
		m := unpack(e)
		peers = append(peers, gossip.NewPeer(m.ID, m.DC, m.PeerAddr))
		// Contact is kept with relays, so with data centres that have a balancer.
		if i, ok := slices.BinarySearch(dcs, r.dc); !ok {
			dcs = slices.Insert(dcs, i, r.dc)
		}
	}
	o.peers.Set(peers)
	o.contacts.setDCs(slices.DeleteFunc(dcs, func(dc model.DataCentre) bool { return dc == o.beat.self.DC }), o.now)
	self := &o.beat.self
	others := slices.DeleteFunc(slices.Clone(o.observerCandidates(self.ID, self.DC)), func(p gossip.Peer) bool { return p.ID == self.ID })
	o.beat.observers(o.now, others)
	o.rewatchAll()
	o.dirtyAll()
	if o.joined {
		o.out = append(o.out, PeersChanged{Peers: o.peers.All()})
	}
}
