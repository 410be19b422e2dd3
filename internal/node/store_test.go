package node

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/bulrushshelf/bulrushshelf/internal/balancer"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/store"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
)

func TestFaultAgeOfTheWatchIsNotKnown(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	st := store.New(store.Options{})
	server := httptest.NewServer(st)
	defer func() { go server.Close() }()
	client, err := storeclient.New(storeclient.Options{URL: server.URL, WatchWait: 100 * time.Millisecond, MaxBackoff: 50 * time.Millisecond})
	is.NoErr(err)
	s := &storeSync{client: client, logger: log.New(io.Discard), post: func(context.Context, balancer.Event) {}}
	is.Equal(s.watchAge(), time.Duration(0))
	g, gctx := errgroup.WithContext(ctx)
	s.startWatch(gctx, g, storeclient.Position{})
	time.Sleep(400 * time.Millisecond)
	is.True(s.watchAge() < 300*time.Millisecond)
	st.SetFaults(store.Faults{Unavailable: true})
	time.Sleep(500 * time.Millisecond)
	is.True(s.watchAge() > 300*time.Millisecond)
	st.SetFaults(store.Faults{})
	time.Sleep(400 * time.Millisecond)
	is.True(s.watchAge() < 300*time.Millisecond)
	s.stopWatching()
	is.NoErr(g.Wait())
	is.Equal(s.watchAge(), time.Duration(0))
}
