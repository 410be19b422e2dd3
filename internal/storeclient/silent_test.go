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
	silent    atomic.Bool
	endsWaits atomic.Bool // watches do not wait
	calls     atomic.Int64
	ended     context.Context // ends the calls without an answer
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
	if q := r.URL.Query(); s.endsWaits.Load() && q.Has("wait_ms") {
		q.Set("wait_ms", "0")
		r.URL.RawQuery = q.Encode()
	}
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

func TestFaultWatchConnectionGoesSilent(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, c, _, ln := startStore(t, store.Options{}, Options{ReadTimeout: 100 * time.Millisecond, WatchWait: 400 * time.Millisecond})
	_, err := s.Preload("d/a", []byte("one"))
	is.NoErr(err)
	got := watchContents(ctx, c)
	expectContent(t, got, "one", 5*time.Second)
	time.Sleep(50 * time.Millisecond) // the watch waits
	ln.blackholeConns()
	_, err = s.Preload("d/b", []byte("two"))
	is.NoErr(err)
	expectContent(t, got, "two", c.MaxWatchAge()+200*time.Millisecond)
}

func TestFaultSlowStoreIsNeverRead(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, c, _, _ := startStore(t, store.Options{}, Options{ReadTimeout: 200 * time.Millisecond})
	_, err := s.Preload("d/a", []byte("one"))
	is.NoErr(err)
	s.SetFaults(store.Faults{SlowMillis: 300})
	_, err = c.Get(ctx, "d/a")
	is.NoErr(err)
	_, err = c.List(ctx, "d/")
	is.NoErr(err)
	s.SetFaults(store.Faults{SlowMillis: 700})
	_, err = c.Get(ctx, "d/a")
	is.NoErr(err)
}

func TestFaultEndlessWatchCalls(t *testing.T) {
	is := is.New(t)
	s, c := startSilentStore(t, Options{WatchWait: time.Second})
	s.endsWaits.Store(true)
	c.opts.MaxBackoff = 100 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	is.Equal(c.Watch(ctx, "d/", Position{}, func(Batch) error { return nil }), context.DeadlineExceeded)
	is.True(s.calls.Load() <= 15)
}
