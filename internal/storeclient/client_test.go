package storeclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/standin/store"
	"github.com/bulrushshelf/bulrushshelf/internal/storeapi"
)

type counterMap struct {
	mu sync.Mutex
	m  map[string]int64
}

func (c *counterMap) Count(name, reason string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.m[name+"/"+reason] += n
}

func (c *counterMap) get(key string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.m[key]
}

// blackholeListener can stop the server from reading the connections accepted so
// far, without closing them.
type blackholeListener struct {
	net.Listener
	mu       sync.Mutex
	conns    []*blackholeConn
	accepted int
}

type blackholeConn struct {
	net.Conn
	mu         sync.Mutex
	blackholed bool
}

func (c *blackholeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blackholed && err == nil {
		select {} // blocks until the test process exits
	}
	return n, err
}

func (s *blackholeListener) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &blackholeConn{Conn: conn}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
	s.accepted++
	return c, nil
}

func (s *blackholeListener) blackholeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.mu.Lock()
		c.blackholed = true
		c.mu.Unlock()
	}
}

func startStore(t *testing.T, so store.Options, co Options) (*store.Store, *Client, *counterMap, *blackholeListener) {
	t.Helper()
	s := store.New(so)
	srv := httptest.NewUnstartedServer(s)
	ln := &blackholeListener{Listener: srv.Listener}
	srv.Listener = ln
	srv.Start()
	t.Cleanup(func() { go srv.Close() }) // Close would wait for the blackholed connections
	n := &counterMap{m: make(map[string]int64)}
	co.URL, co.Counter = srv.URL, n
	setDefault(&co.AttemptTimeout, 2*time.Second)
	setDefault(&co.Backoff, time.Millisecond)
	setDefault(&co.MaxBackoff, 5*time.Millisecond)
	setDefault(&co.MaxWriteDelay, 20*time.Millisecond)
	setDefault(&co.WatchWait, time.Second)
	c, err := New(co)
	is.New(t).NoErr(err)
	return s, c, n, ln
}

// Guards against treating a write whose response is lost as failed, or sending it again.
func TestLostResponseIsReadBack(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, c, n, _ := startStore(t, store.Options{}, Options{})
	s.SetFaults(store.Faults{LoseAnswers: 1})
	w, err := c.Create(ctx, "d/a.yaml", []byte("one"))
	is.NoErr(err)
	is.Equal(w, WriteResult{Outcome: Applied, Version: 1, Epoch: 1})
	s.SetFaults(store.Faults{LoseAnswers: 1})
	w, err = c.Update(ctx, "d/a.yaml", 1, []byte("two"))
	is.NoErr(err)
	is.Equal(w, WriteResult{Outcome: Applied, Version: 2, Epoch: 1})
	s.SetFaults(store.Faults{LoseAnswers: 1})
	w, err = c.Delete(ctx, "d/a.yaml", 2)
	is.NoErr(err)
	is.Equal(w.Outcome, Applied)
	is.Equal(s.Counts().Writes, uint64(3)) // no write was sent twice
	is.Equal(n.get(CounterReadBack+"/applied"), int64(3))

	// The lost response is a conflict with another operator's object.
	_, err = c.Create(ctx, "d/b.yaml", []byte("theirs"))
	is.NoErr(err)
	s.SetFaults(store.Faults{LoseAnswers: 1})
	w, err = c.Create(ctx, "d/b.yaml", []byte("ours"))
	is.Equal(KindOf(err), Lost)
	is.Equal(w.Outcome, Unknown)
	is.Equal(string(w.Current.Content), "theirs")
}

// Guards against reporting a write as not applied, or sending it again, while the
// store is down or slow.
func TestDownAndSlowStore(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, c, n, _ := startStore(t, store.Options{}, Options{AttemptTimeout: 100 * time.Millisecond, ReadAttempts: 3})
	s.SetFaults(store.Faults{Down: true})
	w, err := c.Create(ctx, "a", []byte("x"))
	is.Equal(w.Outcome, Unknown) // sent, but neither a response nor a read-back
	is.Equal(KindOf(err), Lost)
	is.Equal(s.Counts().Writes, uint64(1))
	_, err = c.Get(ctx, "a")
	is.Equal(KindOf(err), Lost)
	is.Equal(n.get(CounterRetries+"/lost"), int64(4)) // two reads, each sent three times

	s.SetFaults(store.Faults{Unavailable: true})
	w, err = c.Create(ctx, "a", []byte("x"))
	is.Equal(w.Outcome, NotApplied)
	is.Equal(KindOf(err), Unavailable)

	s.SetFaults(store.Faults{SlowMillis: 60_000})
	_, err = c.Get(ctx, "a")
	is.Equal(KindOf(err), Lost)

	refused, err := New(Options{URL: "http://" + closedPort(t)})
	is.NoErr(err)
	w, err = refused.Create(ctx, "a", nil)
	is.Equal(w.Outcome, NotApplied) // never sent
	is.Equal(KindOf(err), Unavailable)
}

func closedPort(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer ln.Close()
	return ln.Addr().String()
}

// Guards against reporting a write as not applied because it takes effect only
// after the first read-back.
func TestLateWriteIsFoundBySecondRead(t *testing.T) {
	is := is.New(t)
	s := store.New(store.Options{})
	firstRead, applied := make(chan struct{}), make(chan struct{})
	var first sync.Once
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			body, _ := io.ReadAll(r.Body)
			r.Body = io.NopCloser(bytes.NewReader(body)) // the client disconnects meanwhile
			<-firstRead
			s.ServeHTTP(w, r)
			close(applied)
			return
		}
		second := true
		first.Do(func() {
			second = false
			s.ServeHTTP(w, r)
			close(firstRead)
		})
		if second {
			<-applied
			s.ServeHTTP(w, r)
		}
	}))
	defer srv.Close()
	c, err := New(Options{URL: srv.URL, AttemptTimeout: 300 * time.Millisecond, MaxWriteDelay: time.Millisecond, ReadAttempts: 50})
	is.NoErr(err)
	w, err := c.Create(context.Background(), "a", []byte("x"))
	is.NoErr(err)
	is.Equal(w, WriteResult{Outcome: Applied, Version: 1, Epoch: 1})
	is.Equal(s.Counts().Writes, uint64(1))
}

// Guards against reporting a lost write as not applied without a second read.
func TestWriteThatNeverArrivedIsNotApplied(t *testing.T) {
	is := is.New(t)
	s := store.New(store.Options{})
	posts := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			posts++
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		s.ServeHTTP(w, r)
	}))
	defer srv.Close()
	c, err := New(Options{URL: srv.URL, MaxWriteDelay: time.Millisecond})
	is.NoErr(err)
	w, err := c.Create(context.Background(), "a", []byte("x"))
	is.Equal(w.Outcome, NotApplied)
	is.Equal(KindOf(err), Lost)
	is.Equal(posts, 1)
	is.Equal(s.Counts().Reads, uint64(2))
}

// Guards against reusing a connection that no longer delivers data.
func TestCallsUseFreshConnections(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, c, n, ln := startStore(t, store.Options{}, Options{})
	_, err := c.Create(ctx, "a", []byte("x"))
	is.NoErr(err)
	ln.blackholeConns()
	o, err := c.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(string(o.Content), "x")
	is.Equal(n.get(CounterRetries+"/lost"), int64(0))
	ln.mu.Lock()
	defer ln.mu.Unlock()
	is.Equal(ln.accepted, 2)
}

// Guards against retrying rate-limited writes, not retrying rate-limited reads,
// and errors that lose their kind.
func TestRefusalsAreTyped(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	now := time.Unix(0, 0)
	s, c, n, _ := startStore(t, store.Options{ReadsPerSecond: 2, WritesPerSecond: 4, Now: func() time.Time { return now }}, Options{ReadAttempts: 3})
	_, err := c.Update(ctx, "a", 1, nil)
	is.Equal(KindOf(err), NotFound)
	_, err = c.Create(ctx, "a", make([]byte, storeapi.MaxContentBytes+1))
	is.Equal(KindOf(err), TooLarge)
	_, err = c.Create(ctx, "a", make([]byte, storeapi.MaxContentBytes))
	is.NoErr(err)
	w, err := c.Update(ctx, "a", 7, nil)
	is.Equal(w.Outcome, NotApplied)
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Version, uint64(1))
	w, err = c.Create(ctx, "b", nil)
	is.Equal(w.Outcome, NotApplied)
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, RateLimited)
	is.Equal(e.RetryAfter, time.Second)
	is.Equal(s.Counts().Writes, uint64(5))
	_, _ = c.Get(ctx, "a")
	_, _ = c.Get(ctx, "a")
	_, err = c.Get(ctx, "a")
	is.Equal(KindOf(err), RateLimited)
	is.Equal(n.get(CounterRetries+"/rate_limited"), int64(2))
	is.Equal(s.Counts(), store.Counts{Reads: 5, Writes: 5, RateLimited: 4})
}

// Guards against two concurrent creates that both report success.
func TestConcurrentCreatesHaveOneWinner(t *testing.T) {
	is := is.New(t)
	_, c, _, _ := startStore(t, store.Options{}, Options{})
	var wg sync.WaitGroup
	results := make([]WriteResult, 8)
	for i := range results {
		wg.Go(func() { results[i], _ = c.Create(context.Background(), "same", fmt.Append(nil, i)) })
	}
	wg.Wait()
	o, err := c.Get(context.Background(), "same")
	is.NoErr(err)
	for i, w := range results {
		is.Equal(w.Outcome == Applied, string(o.Content) == fmt.Sprint(i))
	}
}

// Guards against a watch that ends, skips or repeats a change when its connection
// is closed, and against one that misses removals when its version is too old.
func TestWatchResumesAndRelists(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, c, n, _ := startStore(t, store.Options{RetainedChanges: 3}, Options{})
	for i := range 1100 { // more than one page
		_, err := s.Preload(fmt.Sprintf("d/%04d", i), []byte("x"))
		is.NoErr(err)
	}
	batches := make(chan Batch)
	go func() {
		_ = c.Watch(ctx, "d/", Position{}, func(b Batch) error { batches <- b; return nil })
	}()
	b := <-batches
	is.True(b.Reset)
	is.Equal(len(b.Changes), 1100)
	is.Equal(b.Position.Revision, uint64(1100))

	s.SetFaults(store.Faults{CutWatches: 2})
	for i := 0; n.get(CounterRetries+"/watch_lost") < 2; i++ {
		is.True(i < 10_000)
		time.Sleep(time.Millisecond)
	}
	_, err := s.Preload("d/new", []byte("y"))
	is.NoErr(err)
	_, err = s.Preload("other", []byte("y"))
	is.NoErr(err)
	var got []Change
	for len(got) == 0 {
		b = <-batches
		is.True(!b.Reset)
		got = append(got, b.Changes...)
	}
	is.Equal(got, []Change{{Object: Object{Path: "d/new", Version: 1101, Content: []byte("y")}}})

	old, err := New(Options{URL: c.opts.URL})
	is.NoErr(err)
	stop := errors.New("stop")
	err = old.Watch(ctx, "d/", Position{Revision: 5}, func(b Batch) error {
		is.True(b.Reset)
		is.Equal(len(b.Changes), 1101)
		return stop
	})
	is.Equal(err, stop)
}

// Guards against many clients retrying at the same moment.
func TestBackoffGrowsWithJitterFromSeed(t *testing.T) {
	is := is.New(t)
	backoffs := func(seed uint64) (out []time.Duration) {
		c, err := New(Options{URL: "http://127.0.0.1:1", Seed: seed})
		is.NoErr(err)
		for n := 1; n < 30; n++ {
			d := c.backoff(n)
			full := min(DefaultMaxBackoff, DefaultBackoff<<min(n-1, 20))
			is.True(d >= full/2 && d <= full)
			out = append(out, d)
		}
		return out
	}
	is.Equal(backoffs(1), backoffs(1))
	is.True(fmt.Sprint(backoffs(1)) != fmt.Sprint(backoffs(2)))
}

// Guards against calls that are not counted, or counted under the name of an object.
func TestCallsAreCountedByOperationAndKind(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, c, n, _ := startStore(t, store.Options{}, Options{WatchWait: 10 * time.Millisecond})
	w, err := c.Create(ctx, "agents/10.0.0.1-7000", []byte(`{}`))
	is.NoErr(err)
	w, err = c.Update(ctx, "agents/10.0.0.1-7000", w.Version, []byte(`{"a":1}`))
	is.NoErr(err)
	_, err = c.Get(ctx, "agents/10.0.0.1-7000")
	is.NoErr(err)
	_, err = c.List(ctx, "agents/")
	is.NoErr(err)
	_, err = c.ListStale(ctx, "agents/")
	is.NoErr(err)
	end := errors.New("enough")
	is.Equal(c.Watch(ctx, "config/", Position{Revision: w.Version}, func(Batch) error { return end }), end)
	_, err = c.Delete(ctx, "agents/10.0.0.1-7000", w.Version)
	is.NoErr(err)
	for _, label := range []string{"post_agents", "put_agents", "get_agents", "list_agents", "list_stale_agents", "watch_config", "delete_agents"} {
		is.Equal(n.get(CounterCalls+"/"+label), int64(1)) // label
	}
}
