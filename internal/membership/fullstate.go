package membership

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/replica"
)

// FullState is the baseline for measurements of Observer: each balancer sends all
// its records to one random peer each second. It has no observers, suspicions or
// slices.
type FullState struct {
	iv      Intervals
	records recordCodec
	members *replica.Map[record]
	peers   *gossip.Peers
	next    time.Time
}

// NewFullState returns a baseline balancer that initially knows members.
func NewFullState(opt Options, members []model.Member) *FullState {
	f := &FullState{
		iv:      opt.Intervals.withDefaults(),
		records: newRecordCodec(),
		members: replica.New[record](replica.Options{Groups: memberGroups, Retention: time.Hour, MaxTombstones: maxTombstones}),
		peers:   gossip.NewPeers(gossip.NewPeer(opt.Self.ID, opt.Self.DC, opt.Self.PeerAddr), opt.Seed),
	}
	f.apply(append([]model.Member{opt.Self}, members...))
	return f
}

func (f *FullState) apply(members []model.Member) (changed []model.Member) {
	for i := range members {
		if !validMember(&members[i]) {
			continue
		}
		for _, e := range f.members.Apply(f.records.pack(&members[i])) {
			changed = append(changed, f.records.unpack(e))
		}
	}
	if len(changed) == 0 {
		return nil
	}
	var peers []gossip.Peer
	for e := range f.members.All() {
		if m := f.records.unpack(e); m.Kind == model.KindBalancer {
			peers = append(peers, gossip.NewPeer(m.ID, m.DC, m.PeerAddr))
		}
	}
	f.peers.Set(peers)
	return changed
}

// Step handles a Received MemberDelta or a Tick; it ignores other events.
func (f *FullState) Step(now time.Time, ev Event) []Action {
	if r, ok := ev.(Received); ok {
		if d, ok := r.Msg.(message.MemberDelta); ok {
			if changed := f.apply(d.Members); len(changed) > 0 {
				return []Action{MembersChanged{Members: changed}}
			}
		}
		return nil
	}
	if _, ok := ev.(Tick); !ok || now.Before(f.next) {
		return nil
	}
	f.next = now.Add(f.iv.HeartbeatInterval)
	all := make([]uint16, memberGroups*memberGroups)
	for i := range all {
		all[i] = uint16(i)
	}
	var out []Action
	to := f.peers.RandomAnywhere(1)
	for _, batch := range f.members.Batches(all, gossip.DatagramBudget, f.records.size) {
		members := make([]model.Member, len(batch))
		for i := range batch {
			members[i] = f.records.unpack(batch[i])
		}
		for _, p := range to {
			out = append(out, Send{To: p.ID, Addr: p.Addr, Msg: message.MemberDelta{Members: members}})
		}
	}
	return out
}
