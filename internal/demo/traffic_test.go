package demo

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/netstack"
)

// Guards against a report without a broken flow although a feed has stalled. The
// check once covered only feeds that ended or skipped an event.
func TestFaultStalledFeedIsReported(t *testing.T) {
	is := is.New(t)
	b := newTestCluster(t, 12, 2, netstack.Keepalive{})
	tr, err := startTraffic(b.Cluster)
	is.NoErr(err)
	defer tr.stopAndWait()
	defer func() {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		t.Logf("broken feeds: %q", tr.broken)
	}()
	b.eventually("all feeds are open", func() bool {
		return int(tr.feedsOpen.Load()) == feedsPerTarget*(b.Spec.Services[0].Targets+b.Spec.Services[1].Targets)
	})
	is.Equal(tr.feedsBroken.Load(), int64(0))
	b.Fabric.Blackhole(tr.callers[0].Addr)
	b.eventually("the stalled feed is reported", func() bool { return tr.feedsBroken.Load() > 0 })
	time.Sleep(feedInterval) // time for other feeds to be reported by mistake
	is.Equal(tr.feedsBroken.Load(), int64(1))
	tr.mu.Lock()
	reported := tr.broken[0]
	tr.mu.Unlock()
	is.True(strings.Contains(reported, "received no event")) // and not ended by TCP keepalive
}
