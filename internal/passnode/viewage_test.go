package passnode

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/store"
	"github.com/bulrushshelf/bulrushshelf/internal/steer"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

func counterKey(name, reason string) telemetry.CounterKey {
	return telemetry.CounterKey{Name: name, Reason: reason}
}

func decisionsAgeOf(ctx context.Context, b *Balancer) (age time.Duration) {
	_ = b.loop.call(ctx, func(now time.Time) { age = b.core.DecisionsAge(now) })
	return age
}

func TestFaultDecisionsAreLateAfterAnOutage(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, url, operator := startStore(t)
	b := runDecisionReader(ctx, t, url)
	eventually(t, "the files are listed", func() bool { return decisionsOf(ctx, b).Revision > 0 || decisionsAgeOf(ctx, b) > 0 })
	s.SetFaults(store.Faults{Unavailable: true})
	_ = b.loop.call(ctx, func(now time.Time) { b.execute(now, []steer.Action{{Kind: steer.ListDecisions}}) })
	eventually(t, "a listing fails", func() bool { return b.opts.Metrics.Totals()[counterKey(CounterDecisions, "list_failed")] > 0 })
	is.True(decisionsAgeOf(ctx, b) > 0)
	s.SetFaults(store.Faults{})
	_, err := operator.Create(ctx, config.StorePrefix+"90-drain.yaml", []byte("target: a\ndrain: true\n"))
	is.NoErr(err)
	back := time.Now()
	eventually(t, "the drain is known", func() bool { return decisionsOf(ctx, b).Digest != 0 })
	is.True(time.Since(back) < 2*decisionRetryInterval)
	is.True(decisionsAgeOf(ctx, b) < decisionRetryInterval)
}

func TestFaultStaleDecisionsOfANonReader(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, url, operator := startStore(t)
	b := runDecisionReader(ctx, t, url)
	eventually(t, "the files are listed", func() bool { return decisionsAgeOf(ctx, b) > 0 })
	b.reader.set(false)
	_, err := operator.Create(ctx, config.StorePrefix+"90-drain.yaml", []byte("target: a\ndrain: true\n"))
	is.NoErr(err)
	time.Sleep(300 * time.Millisecond)
	is.Equal(decisionsOf(ctx, b).Digest, uint64(0))
	_ = b.loop.call(ctx, func(now time.Time) { b.execute(now, []steer.Action{{Kind: steer.ListDecisions}}) })
	eventually(t, "the drain is known", func() bool { return decisionsOf(ctx, b).Digest != 0 })
}

func TestFaultAgeOfAListingIsNotKnown(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, url, _ := startStore(t)
	b := runDecisionReader(ctx, t, url)
	eventually(t, "the files are listed", func() bool { return decisionsAgeOf(ctx, b) > 0 })
	calls := func(label string) uint64 { return b.opts.Metrics.Totals()[counterKey("store_calls", label)] }
	l, err := b.listStore(ctx, "agents/", false)
	is.NoErr(err)
	is.True(time.Since(l.AsOf) < steer.MaxListingAge)
	is.Equal(calls("list_agents"), uint64(0)) // the listing of the decision files tells its age

	client, err := storeclient.New(storeclient.Options{URL: url, Counter: b.opts.Metrics})
	is.NoErr(err)
	cancel() // the loop no longer sets the role
	time.Sleep(50 * time.Millisecond)
	b.reader.set(true)
	b.opts.Store = client // it has seen nothing of the store
	l, err = b.listStore(context.Background(), "agents/", false)
	is.NoErr(err)
	is.True(time.Since(l.AsOf) < steer.MaxListingAge)
	is.Equal(calls("list_agents"), uint64(1))
}
