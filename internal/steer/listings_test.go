package steer

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// listingQueryIn returns the listing query among actions and its receiver.
func listingQueryIn(actions []Action) (netip.AddrPort, uint64) {
	for _, a := range actions {
		if a.Kind == SendMessage && a.Message.Kind == steerwire.KindListingQuery {
			return a.To, a.Message.ListingQuery.ID
		}
	}
	return netip.AddrPort{}, 0
}

// Guards against a balancer that gets no listing for seconds, because it asks the reader again
// before the answer can arrive and then ignores that answer.
func TestListingQueryIsNotReplacedBeforeItsAnswer(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	for i := range 8 {
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)}), 7000)
		hello := steerwire.Hello{Node: "peer", Incarnation: 1, DataCentre: "dc-1", Reply: true}
		c.Message(ms(1), from, steerwire.Message{Kind: steerwire.KindHello, Hello: hello}, segment.Segment{})
	}
	c.listingWanted = true
	reader, id := listingQueryIn(c.Tick(ms(200)))
	is.True(id != 0)
	c.listingWanted = true // by a lookup
	_, again := listingQueryIn(c.Tick(ms(305)))
	is.Equal(again, uint64(0))
	listing := steerwire.Listing{ID: id, Parts: 1, Agents: []netip.AddrPort{agentA}}
	c.Message(ms(309), reader, steerwire.Message{Kind: steerwire.KindListing, Listing: listing}, segment.Segment{})
	is.True(!c.listingQuery.pending())
	_, again = listingQueryIn(c.Tick(ms(410)))
	is.True(again != 0)
}
