package node

import (
	"context"
	"strings"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/bulrushshelf/bulrushshelf/internal/balancer"
	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
)

// FilesPrefix is the folder of the decision files in the store.
const FilesPrefix = config.StorePrefix

// storeDuty lists and watches the decision files when the core asks for it.
type storeDuty struct {
	client *storeclient.Client
	logger *log.Logger
	// report hands an event to the core's loop and waits for room, so that no
	// change is lost between a watch and the core.
	report func(ctx context.Context, ev balancer.Event)

	stopWatch context.CancelFunc // owned by the loop
}

// list starts one listing. It runs on its own goroutine, since the store may
// take long to answer.
func (s *storeDuty) list(ctx context.Context, g *errgroup.Group) {
	if s.client == nil {
		return
	}
	g.Go(func() error {
		listing, err := s.client.List(ctx, FilesPrefix)
		if err != nil {
			s.logger.Warn("store listing failed", "err", err)
			s.report(ctx, balancer.StoreLost{})
			return nil
		}
		ev := balancer.StoreList{Rev: listing.Revision}
		for _, o := range listing.Objects {
			ev.Files = append(ev.Files, fileOf(storeclient.Change{Object: o}))
		}
		s.report(ctx, ev)
		return nil
	})
}

// watch replaces the watch. The client resumes it after failures by itself.
func (s *storeDuty) watch(ctx context.Context, g *errgroup.Group, from uint64) {
	s.unwatch()
	if s.client == nil {
		return
	}
	ctx, s.stopWatch = context.WithCancel(ctx)
	g.Go(func() error {
		_ = s.client.Watch(ctx, FilesPrefix, from, func(b storeclient.Batch) error {
			s.batch(ctx, b)
			return nil
		})
		return nil
	})
}

func (s *storeDuty) batch(ctx context.Context, b storeclient.Batch) {
	if !b.Reset {
		for _, c := range b.Changes {
			s.report(ctx, balancer.StoreEvent{File: fileOf(c)})
		}
		return
	}
	ev := balancer.StoreList{Rev: b.Revision}
	for _, c := range b.Changes {
		ev.Files = append(ev.Files, fileOf(c))
	}
	s.report(ctx, ev)
}

func (s *storeDuty) unwatch() {
	if s.stopWatch != nil {
		s.stopWatch()
		s.stopWatch = nil
	}
}

func fileOf(c storeclient.Change) message.File {
	return message.File{
		Name: strings.TrimPrefix(c.Path, FilesPrefix), Version: c.Version, Removed: c.Removed, Content: c.Content,
	}
}
