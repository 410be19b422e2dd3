package node

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/bulrushshelf/bulrushshelf/internal/balancer"
	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
)

// DecisionFilesPrefix is the path prefix of the decision files in the store.
const DecisionFilesPrefix = config.StorePrefix

// storeSync lists and watches the decision files on the core's request.
type storeSync struct {
	client *storeclient.Client
	logger *log.Logger
	// post queues an event for the core and blocks while the queue is full, so that
	// no change is lost between a watch and the core.
	post func(ctx context.Context, ev balancer.Event)

	cancelWatch context.CancelFunc // used by the core's goroutine only
	// watchedAsOf is a time by which all changes that the store had accepted were posted,
	// nil while the balancer does not watch.
	watchedAsOf atomic.Pointer[time.Time]
}

// gaugeWatchAge is the age of the decision files of a balancer that watches the store, in
// milliseconds; 0 for the others, which learn of changes from those.
const gaugeWatchAge = "store_watch_age_ms"

// watchAge returns the time since the watch was last known to be complete, 0 without one.
func (s *storeSync) watchAge() time.Duration {
	asOf := s.watchedAsOf.Load()
	if asOf == nil {
		return 0
	}
	return time.Since(*asOf)
}

// startListing lists the decision files once, on its own goroutine because the
// store may be slow to answer.
func (s *storeSync) startListing(ctx context.Context, g *errgroup.Group) {
	if s.client == nil {
		return
	}
	g.Go(func() error {
		listing, err := s.client.List(ctx, DecisionFilesPrefix)
		if err != nil {
			s.logger.Warn("store listing failed", "err", err)
			s.post(ctx, balancer.StoreLost{})
			return nil
		}
		s.post(ctx, storeListOf(listing))
		return nil
	})
}

func storeListOf(l storeclient.Listing) balancer.StoreList {
	ev := balancer.StoreList{Rev: l.Position.Revision, Epoch: l.Position.Epoch}
	for _, o := range l.Objects {
		ev.Files = append(ev.Files, decisionFileOf(storeclient.Change{Object: o}))
	}
	return ev
}

// startRestore writes decision files that a restored store has lost, and lists the files
// again.
func (s *storeSync) startRestore(ctx context.Context, g *errgroup.Group, writes []config.FileWrite) {
	if s.client == nil {
		return
	}
	g.Go(func() error {
		for _, w := range writes {
			err := s.client.RestoreFile(ctx, DecisionFilesPrefix, w)
			s.logger.Info("decision file restored", "file", w.Name, "removed", w.Remove, "err", err)
			if err != nil {
				s.post(ctx, balancer.StoreLost{})
				return nil
			}
		}
		listing, err := s.client.List(ctx, DecisionFilesPrefix)
		if err != nil {
			s.logger.Warn("store listing failed", "err", err)
			s.post(ctx, balancer.StoreLost{})
			return nil
		}
		ev := storeListOf(listing)
		ev.Restored = true
		s.post(ctx, ev)
		return nil
	})
}

// startWatch starts a watch that replaces the current one. The client resumes it
// after failures.
func (s *storeSync) startWatch(ctx context.Context, g *errgroup.Group, from storeclient.Position) {
	s.stopWatching()
	if s.client == nil {
		return
	}
	ctx, s.cancelWatch = context.WithCancel(ctx)
	failing, now := false, time.Now()
	s.watchedAsOf.Store(&now) // until the first answer, which follows at once
	g.Go(func() error {
		_ = s.client.Watch(ctx, DecisionFilesPrefix, from, func(b storeclient.Batch) error {
			s.handleBatch(ctx, b)
			if failing {
				failing = false
				s.logger.Info("store watch answered again", "age_ms", s.watchAge().Milliseconds())
			}
			if ctx.Err() == nil {
				s.watchedAsOf.Store(&b.AsOf)
			}
			return nil
		}, storeclient.OnWatchError(func(err error) {
			if !failing {
				s.logger.Warn("store watch failed", "age_ms", s.watchAge().Milliseconds(), "err", err)
			}
			failing = true
		}))
		return nil
	})
}

func (s *storeSync) handleBatch(ctx context.Context, b storeclient.Batch) {
	if !b.Reset {
		for _, c := range b.Changes {
			s.post(ctx, balancer.StoreEvent{File: decisionFileOf(c), Epoch: b.Position.Epoch})
		}
		return
	}
	ev := balancer.StoreList{Rev: b.Position.Revision, Epoch: b.Position.Epoch}
	for _, c := range b.Changes {
		ev.Files = append(ev.Files, decisionFileOf(c))
	}
	s.post(ctx, ev)
}

func (s *storeSync) stopWatching() {
	if s.cancelWatch != nil {
		s.cancelWatch()
		s.cancelWatch = nil
		s.watchedAsOf.Store(nil)
	}
}

func decisionFileOf(c storeclient.Change) message.File {
	return message.File{
		Name: strings.TrimPrefix(c.Path, DecisionFilesPrefix), Version: c.Version, Removed: c.Removed, Content: c.Content,
	}
}
