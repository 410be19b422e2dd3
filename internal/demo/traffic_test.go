package demo

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/netstack"
)

// Guards against a demonstration that reports no broken flow while a feed
// stands still: it once looked only for ends and gaps.
func TestFaultStalledFeedIsReported(t *testing.T) {
	is := is.New(t)
	b := newBed(t, 12, 2, netstack.Keepalive{})
	tr, err := startTraffic(b.Cluster)
	is.NoErr(err)
	defer tr.end()
	b.eventually("all feeds are open", func() bool {
		return int(tr.feedsOpen.Load()) == feedsPerHost*(b.Spec.Services[0].Hosts+b.Spec.Services[1].Hosts)
	})
	is.Equal(tr.feedsBroken.Load(), int64(0))
	b.Fabric.Blackhole(tr.callers[0].Addr)
	b.eventually("the stalled feed is reported", func() bool { return tr.feedsBroken.Load() > 0 })
	time.Sleep(feedInterval) // another feed that was cut by mistake would show by now
	is.Equal(tr.feedsBroken.Load(), int64(1))
	tr.mu.Lock()
	defer tr.mu.Unlock()
	is.True(strings.Contains(tr.broken[0], "stood still")) // not an end by TCP keepalive
}
