package passnode

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/steer"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
)

const (
	// decisionListInterval is the interval between listings of the decision files. People
	// edit the files, so it is enough that a change is in effect within 10 s, including the
	// age of a stale listing. A stale listing costs a tenth of a fresh one.
	decisionListInterval = 5 * time.Second
	// decisionRetryInterval is the interval after a failed listing, which has been tried
	// several times.
	decisionRetryInterval = time.Second
	// restoreRetryInterval is the interval of attempts to write files that a restored store
	// has lost.
	restoreRetryInterval = 500 * time.Millisecond
	// peerDecisionsTimeout is how long a balancer that starts shortly after the store was
	// restored waits for the decision files of a peer: a hello, its reply and the transfer.
	peerDecisionsTimeout      = 500 * time.Millisecond
	peerDecisionsPollInterval = 20 * time.Millisecond
	// maxDecisionFindings is the maximum number of log lines about refused files per change.
	maxDecisionFindings = 20
)

// CounterDecisions counts sets of decision files put into effect, by source, and failed
// listings.
const CounterDecisions = "passnode_decisions"

// sharedDecisions holds the decision files that balancers exchange.
type sharedDecisions struct {
	Epoch     uint64            `json:"epoch,omitempty"` // of the store at which they were read
	Revision  uint64            `json:"revision"`
	Files     map[string][]byte `json:"files,omitempty"`
	Versions  map[string]uint64 `json:"versions,omitempty"`  // of the files' objects
	Removed   map[string]uint64 `json:"removed,omitempty"`   // last known versions of removed files
	Confirmed bool              `json:"confirmed,omitempty"` // see steer.Decisions
}

// digest returns a hash of the files, 0 for none.
func (d *sharedDecisions) digest() uint64 {
	h := uint64(0)
	for _, name := range slices.Sorted(maps.Keys(d.Files)) {
		h = model.Mix(model.Mix(h^model.HashString(name)) ^ model.HashString(string(d.Files[name])))
	}
	return h
}

func (d *sharedDecisions) folder() config.Folder {
	f := config.Folder{Revision: d.Revision, Files: make(map[string]config.StoredFile, len(d.Files)), Removed: d.Removed}
	for name, content := range d.Files {
		f.Files[name] = config.StoredFile{Version: d.Versions[name], Content: content}
	}
	return f
}

// folderOf returns the decision files of a listing.
func folderOf(l storeclient.Listing) config.Folder {
	f := config.Folder{Revision: l.Position.Revision, Files: make(map[string]config.StoredFile, len(l.Objects))}
	for _, o := range l.Objects {
		f.Files[strings.TrimPrefix(o.Path, config.StorePrefix)] = config.StoredFile{Version: o.Version, Content: o.Content}
	}
	return f
}

// watchDecisions lists the decision files in the store at the start, then repeatedly while
// the balancer is a reader and whenever the core requests it, and applies changes.
func (b *Balancer) watchDecisions(ctx context.Context) error {
	first, current, requested := true, false, false // current: the last listing succeeded
	for ctx.Err() == nil {
		_, epochChanged := b.opts.Store.Epoch()
		l, err := b.listStore(ctx, config.StorePrefix, !current || requested)
		if err == nil {
			if first {
				b.awaitPeerDecisions(ctx, l.Position.Epoch)
			}
			l, err = b.restoreDecisions(ctx, l)
		}
		pause := decisionListInterval
		switch {
		case err == nil:
			b.applyListedDecisions(ctx, l)
			current = true
		case errors.Is(err, errRestoreLater):
			pause = restoreRetryInterval
		default:
			b.opts.Metrics.Count(CounterDecisions, "list_failed", 1)
			pause, current = decisionRetryInterval, false
			if known := b.decisions.Load(); known != nil && l.Position.Epoch > known.Epoch {
				pause = restoreRetryInterval
			}
		}
		if first {
			close(b.decisionsListed)
			first = false
		}
		requested = b.awaitDecisionsDue(ctx, epochChanged, pause)
	}
	return nil
}

// awaitDecisionsDue waits until the decision files are to be listed again, and reports
// whether the core has requested it.
func (b *Balancer) awaitDecisionsDue(ctx context.Context, epochChanged <-chan struct{}, pause time.Duration) (requested bool) {
	select {
	case <-ctx.Done():
	case <-epochChanged:
	case <-time.After(pause):
	case <-b.decisionRequests:
		return true
	}
	for reader, changed := b.reader.get(); !reader && ctx.Err() == nil; reader, changed = b.reader.get() {
		select {
		case <-ctx.Done():
		case <-changed:
		case <-b.decisionRequests:
			return true
		}
	}
	return false
}

// listStore returns a listing, which may be outdated by steer.MaxListingAge unless fresh is
// set. One whose age is not known is read again by readers only, because the cost of the
// others grows with the fleet.
func (b *Balancer) listStore(ctx context.Context, prefix string, fresh bool) (storeclient.Listing, error) {
	if !fresh {
		l, err := b.opts.Store.ListStale(ctx, prefix)
		if err != nil || time.Since(l.AsOf) <= steer.MaxListingAge || !b.reader.is() {
			return l, err
		}
		b.opts.Metrics.Count(CounterListings, "too_old", 1)
	}
	return b.opts.Store.List(ctx, prefix)
}

// CounterListings counts listings that were read again because they were too old.
const CounterListings = "passnode_listings"

// awaitPeerDecisions waits until the core has decision files of a peer, if it needs them
// to find out what a restored store has lost.
func (b *Balancer) awaitPeerDecisions(ctx context.Context, epoch uint64) {
	for deadline := time.Now().Add(peerDecisionsTimeout); time.Now().Before(deadline); {
		awaits := false
		_ = b.loop.call(ctx, func(now time.Time) { // fails only at shutdown
			b.execute(now, b.core.SetStoreEpoch(now, epoch))
			awaits = b.core.AwaitsPeerDecisions(now)
		})
		if !awaits {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(peerDecisionsPollInterval):
		}
	}
}

// errRestoreLater is returned while another balancer may have later decision files.
var errRestoreLater = errors.New("decision files of other balancers are awaited")

// restoreDecisions writes the decision files that the store has lost since the balancer
// listed them, if a listing shows that it was restored, and lists again. It fails while
// that is not possible; the files from before stay in effect until then.
func (b *Balancer) restoreDecisions(ctx context.Context, l storeclient.Listing) (storeclient.Listing, error) {
	known := b.decisions.Load()
	if known == nil || known.Epoch == 0 || l.Position.Epoch <= known.Epoch {
		return l, nil
	}
	may := false
	_ = b.loop.call(ctx, func(now time.Time) { // fails only at shutdown
		b.execute(now, b.core.SetStoreEpoch(now, l.Position.Epoch))
		may = b.core.MayRestoreDecisions(now)
	})
	if !may {
		return l, errRestoreLater
	}
	fresh, err := b.opts.Store.List(ctx, config.StorePrefix)
	if err != nil {
		return l, err
	}
	writes := config.RestoreWrites(known.folder(), folderOf(fresh))
	if len(writes) == 0 {
		return fresh, nil
	}
	for _, w := range writes {
		err := b.opts.Store.RestoreFile(ctx, config.StorePrefix, w)
		b.opts.Metrics.Count(CounterDecisions, "restored", 1)
		b.logViaLoop(ctx, "decision_restored", "file", w.Name, "removed", w.Remove, "epoch", fresh.Position.Epoch, "known_epoch", known.Epoch, "known_revision", known.Revision, "err", errText(err))
		if err != nil {
			return fresh, err
		}
	}
	return b.opts.Store.List(ctx, config.StorePrefix)
}

// applyListedDecisions puts the decision files of a listing into effect.
func (b *Balancer) applyListedDecisions(ctx context.Context, l storeclient.Listing) {
	f := folderOf(l)
	next := sharedDecisions{Epoch: l.Position.Epoch, Revision: f.Revision, Files: f.Contents(), Versions: make(map[string]uint64, len(f.Files))}
	for name, file := range f.Files {
		next.Versions[name] = file.Version
	}
	if known := b.decisions.Load(); known != nil {
		next.Removed = f.Following(known.folder()).Removed
		next.Confirmed = known.Confirmed || known.Epoch < next.Epoch && known.Epoch != 0
	}
	b.applyDecisions(ctx, next, "store", l.AsOf)
}

// applyDecisions puts decision files into effect if they are newer than the current
// ones, and logs and counts a change of their content. asOf is when files from the store
// were complete; it is not used for those of a peer, which tells their age in its hellos.
func (b *Balancer) applyDecisions(ctx context.Context, next sharedDecisions, source string, asOf time.Time) {
	s, findings := config.Merge(next.Files)
	d := steer.Decisions{Epoch: next.Epoch, Revision: next.Revision, Digest: next.digest(), Files: s, Confirmed: next.Confirmed}
	_ = b.loop.call(ctx, func(now time.Time) { // fails only at shutdown
		old := b.core.Decisions()
		if source == "store" {
			b.execute(now, b.core.SetDecisions(now, d))
			b.execute(now, b.core.DecisionsCurrent(now, asOf))
		} else {
			b.execute(now, b.core.SetPeerDecisions(now, d))
		}
		current := b.core.Decisions()
		if current.Epoch == old.Epoch && current.Revision == old.Revision {
			return
		}
		next.Epoch = current.Epoch
		b.decisions.Store(&next)
		if d.Digest == old.Digest {
			return
		}
		b.opts.Metrics.Count(CounterDecisions, source, 1)
		b.logWriter.enqueue(now, "decisions_in_effect", "source", source, "epoch", next.Epoch, "revision", next.Revision, "files", len(next.Files), "findings", len(findings))
		for _, f := range findings[:min(len(findings), maxDecisionFindings)] {
			b.logWriter.enqueue(now, "decision_refused", "finding", f.String(), "revision", next.Revision)
		}
	})
}
