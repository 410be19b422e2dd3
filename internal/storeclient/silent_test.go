package storeclient

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/standin/store"
)

// silentStore is a store that can stop answering calls, and that has never been restored
// and does not tell its epoch.
type silentStore struct {
	*store.Store
	silent atomic.Bool
	calls  atomic.Int64
	ended  context.Context // ends the calls without an answer
}

// startSilentStore returns a client of a store that can stop answering.
func startSilentStore(t *testing.T, opts Options) (*silentStore, *Client) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &silentStore{Store: store.New(store.Options{}), ended: ctx}
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	t.Cleanup(cancel)
	opts.URL, opts.Backoff, opts.MaxBackoff = srv.URL, time.Millisecond, 5*time.Millisecond
	c, err := New(opts)
	is.New(t).NoErr(err)
	return s, c
}

// ServeHTTP answers a call unless the store is silent when it arrives or when its answer
// is ready.
func (s *silentStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	answer := httptest.NewRecorder()
	if !s.silent.Load() {
		s.Store.ServeHTTP(answer, r)
	}
	if s.silent.Load() {
		<-s.ended.Done()
		return
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

func TestFaultWatchWaitsAfterASilentStore(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const attempt, wait = 100 * time.Millisecond, time.Second
	s, c := startSilentStore(t, Options{AttemptTimeout: attempt, WatchWait: wait})
	_, err := s.Preload("d/a", []byte("one"))
	is.NoErr(err)
	got := watchContents(ctx, c)
	expectContent(t, got, "one", 5*time.Second)
	time.Sleep(attempt)
	s.silent.Store(true)
	time.Sleep(wait + 2*attempt) // the call that waited is given up and repeated
	_, err = s.Preload("d/b", []byte("two"))
	is.NoErr(err)
	s.silent.Store(false)
	expectContent(t, got, "two", wait/2)
}
