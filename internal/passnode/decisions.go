package passnode

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/steer"
)

const (
	// decisionInterval is the pause between listings of the decision files. People
	// change them, a listing that may be old costs a tenth of a call, and with the
	// age of its answer a change is in effect within 10 s.
	decisionInterval = 5 * time.Second
	// decisionWait is how long the first configuration waits for the first listing,
	// which is asked for at the same time: twenty times what the store takes.
	decisionWait = 100 * time.Millisecond
	// maxDecisionFindings bounds the log lines on files that were refused.
	maxDecisionFindings = 20
)

// CounterDecisions counts decision files taken into effect by source, and
// listings that failed.
const CounterDecisions = "passnode_decisions"

// sharedDecisions are decision files as balancers hand them on.
type sharedDecisions struct {
	Revision uint64            `json:"revision"`
	Files    map[string][]byte `json:"files,omitempty"`
}

// digest returns a hash of the files, 0 for none.
func (d *sharedDecisions) digest() uint64 {
	h := uint64(0)
	for _, name := range slices.Sorted(maps.Keys(d.Files)) {
		h = model.Mix(model.Mix(h^model.HashString(name)) ^ model.HashString(string(d.Files[name])))
	}
	return h
}

// watchDecisions keeps the decision files in step with the store.
func (b *Balancer) watchDecisions(ctx context.Context) error {
	list, first := b.o.Store.List, true
	for ctx.Err() == nil {
		l, err := list(ctx, config.StorePrefix)
		if err != nil {
			b.o.Metrics.Count(CounterDecisions, "list_failed", 1)
		} else {
			files := make(map[string][]byte, len(l.Objects))
			for _, o := range l.Objects {
				files[strings.TrimPrefix(o.Path, config.StorePrefix)] = o.Content
			}
			b.offerDecisions(ctx, sharedDecisions{Revision: l.Revision, Files: files}, "store")
			list = b.o.Store.ListStale
		}
		if first {
			close(b.decided)
			first = false
		}
		select {
		case <-ctx.Done():
		case <-time.After(decisionInterval):
		}
	}
	return nil
}

// offerDecisions puts decision files into effect if they are newer than the
// present ones and differ from them.
func (b *Balancer) offerDecisions(ctx context.Context, next sharedDecisions, source string) {
	s, found := config.Merge(next.Files)
	d := steer.Decisions{Revision: next.Revision, Digest: next.digest(), Files: s}
	_ = b.loop.do(ctx, func(now time.Time) { // fails only when the process stops
		old := b.core.Decisions()
		b.perform(now, b.core.SetDecisions(now, d))
		if d.Revision <= old.Revision {
			return
		}
		b.decisions.Store(&next)
		if d.Digest == old.Digest {
			return
		}
		b.o.Metrics.Count(CounterDecisions, source, 1)
		b.logs.put(now, "decisions_in_effect", "source", source, "revision", next.Revision, "files", len(next.Files), "findings", len(found))
		for _, f := range found[:min(len(found), maxDecisionFindings)] {
			b.logs.put(now, "decision_refused", "finding", f.String(), "revision", next.Revision)
		}
	})
}
