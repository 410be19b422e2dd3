package node

import (
	"context"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/bulrushshelf/bulrushshelf/internal/wire"
)

// Guards against a stop that leaves sockets open: the receiving goroutines would
// block, and the process would never exit.
func TestTransportStopsWithContext(t *testing.T) {
	is := is.New(t)
	codec, err := wire.New(wire.Options{Self: "a", Keys: [][]byte{make([]byte, 32)}, SequenceCounters: 1})
	is.NoErr(err)
	for range 300 { // the order in which goroutines see the cancelled context varies
		tr, err := newTransport(netip.MustParseAddrPort("127.0.0.1:0"), 2, codec, nil)
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		tr.run(ctx, &g, func(receivedMessage) {})
		cancel()
		is.NoErr(g.Wait())
	}
}
