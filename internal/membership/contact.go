package membership

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	contactRefresh  = 5 * time.Second  // between repeats of a statement that a data centre is lost
	contactLifetime = 15 * time.Second // of a statement that is not repeated
	contactQuorum   = 2                // relays that must have lost a data centre
)

// contactTable holds what this node and the relays of its data centre know about
// contact with other data centres. A data centre that dies as a whole has nobody
// left to suspect its members, and one that is cut off must not lose them. So
// its members are marked unreachable on each node by the statements of the
// node's own relays, and their records stay as they are.
type contactTable struct {
	dcs        []dcContact // of the other data centres, in order
	statements []statement // in order of arrival of the first
	queue      *gossip.Queue[message.DCReachability]
}

type dcContact struct {
	dc    model.DataCentre
	heard time.Time // last message from there, or when the data centre became known
	lost  bool      // most relays of the own data centre lost it
	own   bool      // this node said that it lost it
	next  time.Time // next repeat of the statement
}

type statement struct {
	message.DCReachability
	at time.Time
}

func newContactTable() contactTable {
	size := func(c message.DCReachability) int { return 16 + len(c.Relay) + len(c.DC) }
	return contactTable{queue: gossip.NewQueue(size)}
}

func (t *contactTable) find(dc model.DataCentre) (int, bool) {
	return slices.BinarySearchFunc(t.dcs, dc, func(c dcContact, dc model.DataCentre) int {
		return compareIDs(model.NodeID(c.dc), model.NodeID(dc))
	})
}

func (t *contactTable) heard(dc model.DataCentre, now time.Time) {
	if i, ok := t.find(dc); ok {
		t.dcs[i].heard = now
	}
}

func (t *contactTable) unreachable(dc model.DataCentre) bool {
	i, ok := t.find(dc)
	return ok && t.dcs[i].lost
}

func (t *contactTable) setDCs(dcs []model.DataCentre, now time.Time) {
	next := make([]dcContact, len(dcs))
	for k, dc := range dcs {
		next[k] = dcContact{dc: dc, heard: now}
		if i, ok := t.find(dc); ok {
			next[k] = t.dcs[i]
		}
	}
	t.dcs = next
}

func (t *contactTable) shift(gap time.Duration) {
	for i := range t.dcs {
		t.dcs[i].heard = t.dcs[i].heard.Add(gap)
	}
}

// put stores a statement and reports whether it is news.
func (t *contactTable) put(c message.DCReachability, now time.Time) bool {
	i := slices.IndexFunc(t.statements, func(s statement) bool { return s.Relay == c.Relay && s.DC == c.DC })
	if i < 0 {
		t.statements = append(t.statements, statement{DCReachability: c, at: now})
		return true
	}
	if c.Seq <= t.statements[i].Seq {
		return false
	}
	t.statements[i] = statement{DCReachability: c, at: now}
	return true
}

// says counts the relays whose valid statement is that the data centre is lost.
func (t *contactTable) says(dc model.DataCentre, relays []gossip.Peer) int {
	n := 0
	for _, s := range t.statements {
		if s.DC == dc && s.Unreachable && slices.ContainsFunc(relays, func(p gossip.Peer) bool { return p.ID == s.Relay }) {
			n++
		}
	}
	return n
}

func (o *Observer) takeContacts(contacts []message.DCReachability) {
	for _, c := range contacts {
		if o.contacts.put(c, o.now) {
			o.contacts.queue.Add(string(c.Relay)+" "+string(c.DC), c, o.peers, false)
		}
	}
}

// quietDC reports whether nothing came from a data centre for half the time
// after which it counts as lost, so that its relays may all be dead.
func (o *Observer) quietDC(dc model.DataCentre) bool {
	i, ok := o.contacts.find(dc)
	return ok && o.now.Sub(o.contacts.dcs[i].heard) > o.opt.Silence/2
}

// tickContacts states which data centres this node lost, if it is a relay, and
// updates the marks from the statements of all relays.
func (o *Observer) tickContacts() {
	t := &o.contacts
	t.statements = slices.DeleteFunc(t.statements, func(s statement) bool { return o.now.Sub(s.at) > contactLifetime })
	relay := o.peers.IsRelay()
	relays := o.peers.Relays(o.beat.self.DC)
	for i := range t.dcs {
		c := &t.dcs[i]
		if !relay {
			// A node that becomes a relay starts to count from then.
			c.heard, c.own = o.now, false
		}
		o.state(c)
		lost := t.says(c.dc, relays) >= min(contactQuorum, len(relays))
		if lost != c.lost {
			c.lost = lost
			o.reachChanged(c.dc)
		}
	}
}

func (o *Observer) state(c *dcContact) {
	lost := o.now.Sub(c.heard) > o.opt.Silence
	if lost == c.own && (!lost || o.now.Before(c.next)) {
		return
	}
	c.own, c.next = lost, o.now.Add(contactRefresh)
	o.takeContacts([]message.DCReachability{{
		Relay: o.beat.self.ID, DC: c.dc, Seq: uint64(o.now.UnixMilli()), Unreachable: lost,
	}})
}

// reachChanged reports all members of a data centre anew.
func (o *Observer) reachChanged(dc model.DataCentre) {
	for e := range o.members.All() {
		if e.Value.dc == dc {
			o.changed = append(o.changed, model.NodeID(e.Key))
		}
	}
	o.dirtyAll()
}

func (o *Observer) flushContacts() {
	for _, b := range o.contacts.queue.Flush(o.now, o.peers) {
		for _, p := range b.To {
			o.send(p.ID, p, message.MemberDelta{Reachability: b.Entries})
		}
	}
}
