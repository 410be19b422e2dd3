package passnode

import (
	"context"
	"io"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/store"
	"github.com/bulrushshelf/bulrushshelf/internal/steer"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

// startStore starts a stand-in of the store. It returns its URL and an operator's client.
func startStore(t *testing.T) (*store.Store, string, *storeclient.Client) {
	t.Helper()
	s := store.New(store.Options{})
	server := httptest.NewServer(s)
	t.Cleanup(func() { go server.Close() })
	operator, err := storeclient.New(storeclient.Options{URL: server.URL})
	is.New(t).NoErr(err)
	return s, server.URL, operator
}

// runDecisionReader runs the part of a balancer that reads decision files.
func runDecisionReader(ctx context.Context, t *testing.T, url string) *Balancer {
	t.Helper()
	is := is.New(t)
	m, err := telemetry.NewMetrics("test")
	is.NoErr(err)
	client, err := storeclient.New(storeclient.Options{URL: url, Counter: m, Backoff: time.Millisecond})
	is.NoErr(err)
	b, err := NewBalancer(BalancerOptions{
		FabricAddr: netip.MustParseAddrPort("127.0.0.1:0"), PeerAddr: netip.MustParseAddrPort("127.0.0.1:0"),
		Store: client, Metrics: m, Logger: log.New(io.Discard),
	})
	is.NoErr(err)
	b.reader.set(true)
	go func() { _ = b.loop.run(ctx) }()
	go func() {
		_ = watchEpochs(ctx, client, func(epoch, _ uint64) {
			_ = b.loop.call(ctx, func(now time.Time) { b.execute(now, b.core.SetStoreEpoch(now, epoch)) })
		})
	}()
	go func() { _ = b.watchDecisions(ctx) }()
	return b
}

func decisionsOf(ctx context.Context, b *Balancer) (d steer.Decisions) {
	_ = b.loop.call(ctx, func(time.Time) { d = b.core.Decisions() })
	return d
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !cond(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// Guards against a drain that ends, and a removed file that is in effect again, because the
// store was restored from a copy.
func TestFaultStoreLosesDecisionFiles(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, url, operator := startStore(t)
	const drain, claim = config.StorePrefix + "90-drain.yaml", config.StorePrefix + "20-claim.yaml"
	w, err := operator.Create(ctx, claim, []byte("service: beta\naddresses: [198.18.0.1:443]\n"))
	is.NoErr(err)
	backup := s.Backup()
	_, err = operator.Create(ctx, drain, []byte("target: a\ndrain: true\n"))
	is.NoErr(err)
	_, err = operator.Delete(ctx, claim, w.Version)
	is.NoErr(err)
	b := runDecisionReader(ctx, t, url)
	eventually(t, "the drain is known", func() bool { return decisionsOf(ctx, b).Digest != 0 })
	before := decisionsOf(ctx, b)
	is.Equal(b.decisions.Load().Removed, nil)
	b.decisions.Load().Removed = map[string]uint64{"20-claim.yaml": w.Version} // as if listed before the removal

	s.Restore(backup)
	_, err = b.opts.Store.Get(ctx, claim) // any call shows the epoch
	is.NoErr(err)
	eventually(t, "the files of the restored store are in effect", func() bool {
		d := decisionsOf(ctx, b)
		is.Equal(d.Digest, before.Digest) // at no moment others
		return d.Epoch == 2
	})
	is.True(decisionsOf(ctx, b).Confirmed)
	l, err := operator.List(ctx, config.StorePrefix)
	is.NoErr(err)
	is.Equal(len(l.Objects), 1)
	is.Equal(l.Objects[0].Path, drain)

	s.Restore(backup) // once more
	_, err = b.opts.Store.Get(ctx, claim)
	is.NoErr(err)
	eventually(t, "the files of the store restored twice are in effect", func() bool {
		d := decisionsOf(ctx, b)
		is.Equal(d.Digest, before.Digest)
		return d.Epoch == 3
	})
}

// Guards against files that stay in effect for ever because the store refuses to take them back.
func TestFaultStoreRefusesLostDecisionFiles(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, url, operator := startStore(t)
	backup := s.Backup()
	_, err := operator.Create(ctx, config.StorePrefix+"90-drain.yaml", []byte("target: a\ndrain: true\n"))
	is.NoErr(err)
	b := runDecisionReader(ctx, t, url)
	eventually(t, "the drain is known", func() bool { return decisionsOf(ctx, b).Digest != 0 })
	s.SetFaults(store.Faults{Unavailable: true})
	s.Restore(backup)
	_, err = b.opts.Store.Get(ctx, "x") // refused, but shows the epoch
	is.Equal(storeclient.KindOf(err), storeclient.Unavailable)
	time.Sleep(2 * time.Second) // past the time at which it writes
	is.Equal(decisionsOf(ctx, b).Epoch, uint64(1))
	s.SetFaults(store.Faults{})
	eventually(t, "the file is in the store again", func() bool {
		_, err := operator.Get(ctx, config.StorePrefix+"90-drain.yaml")
		return err == nil
	})
	eventually(t, "the files of the restored store are in effect", func() bool { return decisionsOf(ctx, b).Epoch == 2 })
}

// Guards against a removed file that is taken for a new one after the store was restored,
// because the balancer does not remember its removal.
func TestRemovedDecisionFilesAreRemembered(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := newTestBalancer(t)
	go func() { _ = b.loop.run(ctx) }()
	listing := func(revision uint64, objects ...storeclient.Object) storeclient.Listing {
		return storeclient.Listing{Position: storeclient.Position{Epoch: 1, Revision: revision}, Objects: objects}
	}
	claim := storeclient.Object{Path: config.StorePrefix + "20-claim.yaml", Version: 7, Content: []byte("service: beta\n")}
	b.applyListedDecisions(ctx, listing(10, claim))
	b.applyListedDecisions(ctx, listing(11))
	is.Equal(b.decisions.Load().Removed, map[string]uint64{"20-claim.yaml": 7})
}

// Guards against a drain that ends because a balancer that starts in a restored store takes
// the files there for complete, although a peer knows those that it lost.
func TestFaultBalancerStartsInARestoredStore(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, url, operator := startStore(t)
	s.Restore(s.Backup())
	b := runDecisionReader(ctx, t, url)
	time.Sleep(peerDecisionsTimeout / 2) // until the peer's files arrive
	b.applyDecisions(ctx, sharedDecisions{
		Epoch: 1, Revision: 40, Files: map[string][]byte{"90-drain.yaml": []byte("target: a\ndrain: true\n")},
		Versions: map[string]uint64{"90-drain.yaml": 32},
	}, "peer", time.Time{})
	eventually(t, "the drain is in the store again", func() bool {
		_, err := operator.Get(ctx, config.StorePrefix+"90-drain.yaml")
		return err == nil
	})
	eventually(t, "the drain is in effect in the new epoch", func() bool {
		d := decisionsOf(ctx, b)
		return d.Epoch == 2 && d.Digest != 0
	})
}
