package steer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// The store counts every call, and its rates grow more slowly than the fleet. A few
// balancers of each data centre, the readers, therefore watch the configuration and list
// agents and decision files. The others learn of configurations from hellos, and ask a
// reader when a reset needs a fresh listing. A balancer is a reader unless enough
// balancers of its data centre rank above it by a hash of their addresses. This needs no
// agreement: while views differ, more balancers read the store than necessary.
const (
	// readersPerDataCentre is the number of balancers of a data centre that read the
	// store. The loss of two at once leaves one.
	readersPerDataCentre = 3
	// readerTimeout is the time after its last hello at which a balancer no longer counts
	// as a reader: two lost hellos. The next in rank then has the rest of the propagation
	// bound to read the configuration.
	readerTimeout = 2*peerHelloInterval + 200*time.Millisecond
	// readerStartDelay is how long a balancer does not watch after its start. It reads the
	// configuration once at the start, and has the hellos of all others at the end.
	readerStartDelay = peerHelloInterval + 100*time.Millisecond
	// listingTimeout is the time after which a balancer lists the agents itself because the
	// reader has not answered. A reader starts a listing at most minListInterval after the
	// query, and the store answers in a few milliseconds.
	listingTimeout = minListInterval + 100*time.Millisecond
	// maxListingAskers is the maximum number of balancers that wait for one listing.
	maxListingAskers = 256
	// maxListingParts is the maximum number of parts of a listing, for 60,000 agents.
	maxListingParts = 1024
)

// listingQuery is a query to a reader.
type listingQuery struct {
	id       uint64
	reader   netip.AddrPort // the zero value if no query is outstanding
	sentAt   time.Time
	parts    [][]netip.AddrPort
	received int    // number of parts received
	epoch    uint64 // of the store, in the first part
}

func (q listingQuery) pending() bool { return q.reader.IsValid() }

// listingAsker is a balancer that waits for a listing started after receivedAt.
type listingAsker struct {
	addr       netip.AddrPort
	id         uint64
	receivedAt time.Time
}

func readerRank(a netip.AddrPort) uint64 { return model.HashString(a.String()) }

// ReadsStore reports whether the balancer is a reader.
func (c *Core) ReadsStore(now time.Time) bool {
	return now.Sub(c.started) >= readerStartDelay && len(c.readersAbove(now)) < readersPerDataCentre
}

// readersAbove returns the balancers of the data centre that can read the store and rank
// above this one, highest first. A balancer that cannot read the store ranks last.
func (c *Core) readersAbove(now time.Time) []netip.AddrPort {
	own := readerRank(c.options.Peer)
	if c.storeFailing {
		own = 0
	}
	var out []netip.AddrPort
	for a, p := range c.peers {
		if p.dataCentre == c.options.DataCentre && !p.noStore && now.Sub(p.lastHello) < readerTimeout && readerRank(a) > own {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b netip.AddrPort) int { return cmp.Compare(readerRank(b), readerRank(a)) })
	return out
}

// SetStoreReachable records whether the last call to the store succeeded. If it failed,
// the next in rank reads the store in its place.
func (c *Core) SetStoreReachable(ok bool) {
	if c.storeFailing == ok {
		c.storeFailing, c.advertiseSoon = !ok, true
	}
}

// chooseConfigSource returns the balancer to fetch a configuration from, one of the own
// data centre if possible. The choice is random to spread the load.
func (c *Core) chooseConfigSource(peers []*peer) netip.AddrPort {
	local := slices.DeleteFunc(slices.Clone(peers), func(p *peer) bool { return p.dataCentre != c.options.DataCentre })
	if len(local) > 0 {
		peers = local
	}
	slices.SortFunc(peers, func(a, b *peer) int { return a.addr.Compare(b.addr) })
	return peers[c.nextRandom()%uint64(len(peers))].addr
}

// startListing asks the highest reader for a listing of the agents. The highest reader
// itself lists them, and so does each balancer of a data centre of readers only, because
// the answer of another one takes up to minListInterval longer.
func (c *Core) startListing(now time.Time) {
	if c.listingQuery.pending() {
		c.listingWanted = true // a new query would make the answer to this one void
		return
	}
	readers := slices.DeleteFunc(c.readersAbove(now), func(a netip.AddrPort) bool { return c.peers[a].unresponsive })
	if len(readers) == 0 || len(c.hintPeers(now)) < readersPerDataCentre {
		c.actions = append(c.actions, Action{Kind: ListAgents})
		return
	}
	c.listingQuery = listingQuery{id: c.nextRandom(), reader: readers[0], sentAt: now}
	c.send(readers[0], steerwire.Message{Kind: steerwire.KindListingQuery, ListingQuery: steerwire.ListingQuery{ID: c.listingQuery.id}})
}

// checkListingQuery lists the agents from the store if the reader has not answered.
func (c *Core) checkListingQuery(now time.Time) {
	q := c.listingQuery
	if !q.pending() || now.Sub(q.sentAt) < listingTimeout {
		return
	}
	if p := c.peers[q.reader]; p != nil {
		p.unresponsive = true
	}
	c.log(Entry{Event: "balancer", Target: q.reader, Reason: "no_listing", Age: now.Sub(q.sentAt)})
	c.listingQuery, c.lastListing = listingQuery{}, now
	c.actions = append(c.actions, Action{Kind: ListAgents})
}

// handleListingQuery queues a balancer for the next listing.
func (c *Core) handleListingQuery(now time.Time, from netip.AddrPort, q steerwire.ListingQuery) {
	c.listingAskers = slices.DeleteFunc(c.listingAskers, func(a listingAsker) bool { return now.Sub(a.receivedAt) > listingTimeout })
	if len(c.listingAskers) >= maxListingAskers {
		c.count(CounterDropped, "listing_queue_full")
		return
	}
	c.listingAskers = append(c.listingAskers, listingAsker{addr: from, id: q.ID, receivedAt: now})
	c.listingWanted = true
	c.requestListing(now)
}

// answerListingAskers answers the balancers whose queries arrived before the listing
// started. The others wait for the next one.
func (c *Core) answerListingAskers(listed []netip.AddrPort, asOf time.Time) {
	parts := slices.Collect(slices.Chunk(listed, steerwire.MaxPeers))
	if len(parts) == 0 {
		parts = [][]netip.AddrPort{nil}
	}
	waiting := c.listingAskers[:0]
	for _, a := range c.listingAskers {
		if a.receivedAt.After(asOf) {
			waiting = append(waiting, a)
			continue
		}
		for i, part := range parts {
			l := steerwire.Listing{ID: a.id, Part: i, Parts: len(parts), Agents: part, Epoch: c.store.epoch}
			c.send(a.addr, steerwire.Message{Kind: steerwire.KindListing, Listing: l})
		}
	}
	c.listingAskers = waiting
	c.listingWanted = c.listingWanted || len(waiting) > 0
}

// handleListing applies a reader's listing once all its parts have arrived. The reader
// started it after the query was sent, so it is complete as of that time.
func (c *Core) handleListing(now time.Time, from netip.AddrPort, l steerwire.Listing) {
	q := &c.listingQuery
	valid := q.reader == from && q.id == l.ID && l.Part >= 0 && l.Part < l.Parts && l.Parts <= maxListingParts
	if valid && q.parts == nil {
		q.parts = make([][]netip.AddrPort, l.Parts)
	}
	if valid && q.received == 0 {
		q.epoch = l.Epoch
	}
	if !valid || l.Epoch != q.epoch || len(q.parts) != l.Parts || q.parts[l.Part] != nil {
		c.count(CounterDropped, "old_listing")
		return
	}
	q.parts[l.Part] = append([]netip.AddrPort{}, l.Agents...)
	if q.received++; q.received < l.Parts {
		return
	}
	listing := AgentListing{Agents: slices.Concat(q.parts...), Epoch: q.epoch, AsOf: q.sentAt}
	c.listingQuery = listingQuery{}
	c.setAgents(now, listing)
}
