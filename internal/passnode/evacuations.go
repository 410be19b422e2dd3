package passnode

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/evacuation"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
)

const (
	// firstEvacuationsDelay is how long a balancer that starts waits for the view of another
	// one before it lists the evacuations itself. Until then agents refuse its flows.
	firstEvacuationsDelay = 2 * time.Second
	// evacuationsRetryInterval is the interval after a failed listing, which has been tried
	// several times.
	evacuationsRetryInterval = time.Second
)

// GaugeEvacuations is the number of evacuated data centres, and GaugeEvacuationsAge the age of
// the view of them in milliseconds.
const (
	GaugeEvacuations    = "passnode_evacuations"
	GaugeEvacuationsAge = "passnode_evacuations_age_ms"
)

// CounterEvacuations counts failed calls about evacuations.
const CounterEvacuations = "passnode_evacuation_calls"

// watchEvacuations applies each change of the evacuations in the store while the balancer
// watches them for others.
func (b *Balancer) watchEvacuations(ctx context.Context) error {
	var after storeclient.Position // where the last watch ended
	entries := make(map[model.DataCentre]uint64)
	for ctx.Err() == nil {
		watchCtx, stop := b.evacuationWatcher.whileReader(ctx)
		err := b.opts.Store.Watch(watchCtx, b.opts.EvacuationPrefix, after, func(batch storeclient.Batch) error {
			after = batch.Position
			if batch.Reset {
				clear(entries)
			}
			for _, ch := range batch.Changes {
				b.applyEvacuationChange(entries, ch)
			}
			b.applyEvacuations(watchCtx, evacuation.Listing{Position: batch.Position, Entries: maps.Clone(entries), AsOf: batch.AsOf})
			return watchCtx.Err()
		}, storeclient.OnWatchError(func(err error) {
			b.opts.Metrics.Count(CounterEvacuations, "watch_failed", 1)
			b.logViaLoop(watchCtx, "evacuations_watch_failed", "err", err.Error())
		}))
		ended := watchCtx.Err() != nil
		stop()
		if !ended {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (b *Balancer) applyEvacuationChange(entries map[model.DataCentre]uint64, ch storeclient.Change) {
	dc := b.evacuatedDataCentre(ch.Path)
	if ch.Removed {
		delete(entries, dc)
	} else {
		entries[dc] = ch.Version
	}
}

// evacuatedDataCentre returns the data centre of an entry, which is its name. Its content
// does not matter.
func (b *Balancer) evacuatedDataCentre(path string) model.DataCentre {
	return model.DataCentre(strings.TrimPrefix(path, b.opts.EvacuationPrefix))
}

// listEvacuations lists the evacuations after the start unless another balancer has passed
// on its view by then, and whenever the core requests it.
func (b *Balancer) listEvacuations(ctx context.Context) error {
	known := false
	for pause := firstEvacuationsDelay; ctx.Err() == nil; pause = evacuationsRetryInterval {
		var due <-chan time.Time
		if !known {
			due = time.After(pause)
		}
		requested := false
		select {
		case <-ctx.Done():
			return nil
		case <-due:
		case <-b.evacuationRequests:
			requested = true
		}
		_ = b.loop.call(ctx, func(time.Time) { known = b.core.EvacuationsKnown() }) // fails only at shutdown
		if known && !requested {
			continue
		}
		l, err := b.opts.Store.List(ctx, b.opts.EvacuationPrefix)
		if err != nil {
			b.opts.Metrics.Count(CounterEvacuations, "list_failed", 1)
			continue
		}
		entries := make(map[model.DataCentre]uint64, len(l.Objects))
		for _, o := range l.Objects {
			entries[b.evacuatedDataCentre(o.Path)] = o.Version
		}
		b.applyEvacuations(ctx, evacuation.Listing{Position: l.Position, Entries: entries, AsOf: l.AsOf})
	}
	return nil
}

func (b *Balancer) applyEvacuations(ctx context.Context, l evacuation.Listing) {
	_ = b.loop.call(ctx, func(now time.Time) { b.execute(now, b.core.SetEvacuations(now, l)) }) // fails only at shutdown
}

// publishEvacuations updates the gauges and the role of the balancer.
func (b *Balancer) publishEvacuations(now time.Time, reads bool) {
	b.evacuations.Store(int64(len(b.core.Evacuations())))
	b.evacuationsAge.Store(b.core.EvacuationsAge(now).Milliseconds())
	if watches := reads && b.core.WatchesEvacuations(now); b.evacuationWatcher.set(watches) {
		b.logWriter.enqueue(now, "evacuations_watcher", "watcher", watches)
	}
}
