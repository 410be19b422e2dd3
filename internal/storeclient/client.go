// Package storeclient is a client of the platform's object store, whose API is
// defined in package storeapi. Reads are retried. A write is sent once; if its
// response is lost, the client reads the object back to find out whether the
// write took effect.
package storeclient

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/storeapi"
)

// Counter names.
const (
	CounterRetries  = "store_retries"   // by error kind, with the prefix watch_ for watches
	CounterReadBack = "store_read_back" // by outcome
	CounterCalls    = "store_calls"     // attempts, by operation and first segment of the path
)

// Defaults of Options.
const (
	DefaultAttemptTimeout = 3 * time.Second
	DefaultReadTimeout    = time.Second
	DefaultReadAttempts   = 5
	DefaultBackoff        = 50 * time.Millisecond
	DefaultMaxBackoff     = 400 * time.Millisecond
	// DefaultWatchWait is short because a watch whose connection goes silent misses changes
	// until the wait has ended. Only a few processes of a data centre watch.
	DefaultWatchWait = 1200 * time.Millisecond
	// maxResponseBytes fits each page of a listing: base64 and JSON take less than twice the
	// size of the contents. The response to a watch may be larger.
	maxResponseBytes = 2 * (storeapi.MaxPageBytes + storeapi.MaxContentBytes)
)

// Counter counts calls, retries and read-backs; *telemetry.Metrics implements it.
type Counter interface {
	Count(name, reason string, n int64)
}

// Options configure a client. Zero values select the defaults.
type Options struct {
	URL            string        // http://IP:port of the store
	AttemptTimeout time.Duration // of a write, and the maximum of ReadTimeout
	// ReadTimeout is the timeout of the first attempt of a read, and of a watch call beyond
	// its wait. In case the store is slow, repeated calls have twice the time, and reads from
	// the third attempt on AttemptTimeout if that is longer.
	ReadTimeout  time.Duration
	ReadAttempts int           // attempts of a read, including the first
	Backoff      time.Duration // before the first retry; doubles with each retry
	MaxBackoff   time.Duration
	// WatchWait is the maximum wait of a watch call. It is shortened by a random time up to
	// WatchJitter, so that the watches of several clients do not all end at the same time.
	WatchWait, WatchJitter time.Duration
	MaxWriteDelay          time.Duration // after which a lost write no longer takes effect
	Seed                   uint64        // seed of the backoff jitter
	Counter                Counter       // may be nil
	// Transport sends the requests; nil opens a new connection for each call. An
	// adapter for a store with another API translates requests here.
	Transport http.RoundTripper
}

// Client calls one store. It is safe for concurrent use.
type Client struct {
	opts      Options
	base      *url.URL
	transport http.RoundTripper

	positions positions

	mu           sync.Mutex
	rand         *rand.Rand
	epoch        uint64        // highest epoch of a response, 0 for none
	epochChanged chan struct{} // closed when epoch rises
}

// New returns a client without contacting the store.
func New(opts Options) (*Client, error) {
	base, err := url.Parse(opts.URL)
	if err != nil || base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, trace.BadParameter("store URL %q must be http://host:port or https://host:port", opts.URL)
	}
	setDefault(&opts.AttemptTimeout, DefaultAttemptTimeout)
	setDefault(&opts.ReadTimeout, DefaultReadTimeout)
	opts.ReadTimeout = min(opts.ReadTimeout, opts.AttemptTimeout)
	setDefault(&opts.ReadAttempts, DefaultReadAttempts)
	setDefault(&opts.Backoff, DefaultBackoff)
	setDefault(&opts.MaxBackoff, DefaultMaxBackoff)
	setDefault(&opts.WatchWait, DefaultWatchWait)
	setDefault(&opts.MaxWriteDelay, storeapi.MaxWriteDelay)
	if opts.Counter == nil {
		opts.Counter = noopCounter{}
	}
	if opts.Transport == nil {
		opts.Transport = NewTransport()
	}
	return &Client{opts: opts, base: base, transport: opts.Transport, rand: rand.New(rand.NewPCG(opts.Seed, 0)), epochChanged: make(chan struct{})}, nil
}

// NewTransport returns a transport that opens a new connection for each call. An
// idle connection may be broken without notice, and net/http resends a read
// itself, uncounted, when a reused connection breaks. Calls are rare enough for
// the extra round trip.
func NewTransport() http.RoundTripper { return &http.Transport{DisableKeepAlives: true} }

type noopCounter struct{}

func (noopCounter) Count(string, string, int64) {}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// call describes one API call.
type call struct {
	method    string
	path      string
	query     url.Values
	body      []byte
	timeout   time.Duration // AttemptTimeout if zero
	watchWait time.Duration // wait requested from the store, added to the timeout
}

func (c call) String() string { return c.method + " " + c.path }

// label returns the operation and the first segment of the path or prefix, for
// CounterCalls. It never contains an object's name.
func (c call) label() string {
	path, single := strings.CutPrefix(c.path, storeapi.ObjectsPath+"/")
	operation := strings.ToLower(c.method)
	switch {
	case c.path == storeapi.WatchPath:
		operation, path = "watch", c.query.Get("prefix")
	case !single:
		operation, path = "list", c.query.Get("prefix")
		if c.query.Has("stale") {
			operation = "list_stale"
		}
	}
	segment, _, _ := strings.Cut(path, "/")
	return operation + "_" + segment
}

// Epoch returns the highest epoch of the store in any response, 0 if it is not known, and
// a channel that is closed when a response has a higher one.
func (c *Client) Epoch() (uint64, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch, c.epochChanged
}

// recordEpoch records the epoch of a response and returns the highest one.
func (c *Client) recordEpoch(epoch uint64) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch > c.epoch {
		c.epoch = epoch
		close(c.epochChanged)
		c.epochChanged = make(chan struct{})
	}
	return c.epoch
}

// doOnce makes one attempt, decodes the response into out and returns its epoch. The
// response to a read is refused as Outdated if a later epoch is known.
func (c *Client) doOnce(ctx context.Context, k call, out any) (epoch uint64, err error) {
	c.opts.Counter.Count(CounterCalls, k.label(), 1)
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(k.timeout, c.opts.AttemptTimeout)+k.watchWait)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	u := c.base.JoinPath(k.path)
	u.RawQuery = k.query.Encode()
	req, err := http.NewRequestWithContext(ctx, k.method, u.String(), bytes.NewReader(k.body))
	if err != nil {
		return 0, &Error{Kind: Invalid, Call: k.String(), Err: err}
	}
	resp, err := c.transport.RoundTrip(req)
	if err == nil {
		defer resp.Body.Close()
		epoch = epochOf(resp)
		latest := c.recordEpoch(epoch)
		var data []byte
		if data, err = ReadBody(resp); err == nil {
			if epoch != 0 && epoch < latest && k.method == http.MethodGet {
				return epoch, &Error{Kind: Outdated, Call: k.String(), Message: fmt.Sprintf("epoch %d, the store has %d", epoch, latest)}
			}
			return epoch, c.decodeResponse(k, resp, data, out)
		}
	}
	kind := Lost
	switch {
	case !connected.Load():
		kind = Unavailable
	case errors.Is(err, errIncomplete) && k.method == http.MethodGet:
		kind = Incomplete
	}
	return epoch, &Error{Kind: kind, Call: k.String(), Err: err}
}

// errIncomplete is the error of a response of which a part was read.
var errIncomplete = errors.New("the response is incomplete")

// ReadBody reads the body of a response of the store. It fails if the body exceeds the limit
// of the client. Adapters that read bodies return its errors as they are.
func ReadBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxResponseBytes {
		return nil, fmt.Errorf("%w: %d bytes, above the limit of %d", errIncomplete, resp.ContentLength, maxResponseBytes)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	switch {
	case len(data) > maxResponseBytes:
		return nil, fmt.Errorf("%w: above the limit of %d bytes", errIncomplete, maxResponseBytes)
	case err != nil && len(data) > 0:
		return nil, fmt.Errorf("%w: ends after %d bytes: %w", errIncomplete, len(data), err)
	}
	return data, err
}

// epochOf returns the epoch of a response, 0 if the store does not tell it.
func epochOf(resp *http.Response) uint64 {
	epoch, err := strconv.ParseUint(resp.Header.Get(storeapi.EpochHeader), 10, 64)
	if err != nil {
		return 0
	}
	return epoch
}

func (c *Client) decodeResponse(k call, resp *http.Response, data []byte, out any) error {
	if resp.StatusCode < 300 {
		if err := json.Unmarshal(data, out); err != nil {
			return &Error{Kind: Lost, Call: k.String(), Err: trace.Wrap(err, "decoding the response")}
		}
		return nil
	}
	var f storeapi.ErrorResponse
	_ = json.Unmarshal(data, &f) // the body is optional; the status determines the kind
	e := &Error{Call: k.String(), Message: f.Message, Version: f.Version}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		e.RetryAfter = time.Duration(seconds) * time.Second
	}
	switch resp.StatusCode {
	case http.StatusNotFound:
		e.Kind = NotFound
	case http.StatusConflict:
		e.Kind = Conflict
	case http.StatusRequestEntityTooLarge:
		e.Kind = TooLarge
	case http.StatusTooManyRequests:
		e.Kind = RateLimited
	case http.StatusServiceUnavailable:
		e.Kind = Unavailable
	case http.StatusGone:
		e.Kind = TooOld
	default:
		e.Kind = Invalid
		if resp.StatusCode >= 500 { // a gateway may have sent it without knowing the outcome
			e.Kind = Lost
		}
	}
	if e.Message == "" {
		e.Message = resp.Status
	}
	return e
}

// read makes a read-only call with retries and returns the epoch of the response.
func (c *Client) read(ctx context.Context, k call, out any) (epoch uint64, err error) {
	for attempt := 1; ; attempt++ {
		k.timeout = c.readTimeout(attempt)
		epoch, err := c.doOnce(ctx, k, out)
		if err == nil || attempt >= c.opts.ReadAttempts || !KindOf(err).retryable() || ctx.Err() != nil {
			return epoch, err
		}
		c.opts.Counter.Count(CounterRetries, KindOf(err).String(), 1)
		if c.sleepBeforeRetry(ctx, attempt, err) != nil {
			return epoch, err
		}
	}
}

// readTimeout returns the timeout of an attempt of a read, counted from 1.
func (c *Client) readTimeout(attempt int) time.Duration {
	switch attempt {
	case 1:
		return c.opts.ReadTimeout
	case 2:
		return 2 * c.opts.ReadTimeout
	}
	return max(2*c.opts.ReadTimeout, c.opts.AttemptTimeout)
}

// sleepBeforeRetry waits before retry n for the backoff or the store's Retry-After,
// whichever is longer. Retry-After is capped at MaxBackoff.
func (c *Client) sleepBeforeRetry(ctx context.Context, n int, err error) error {
	d := c.backoff(n)
	var e *Error
	if errors.As(err, &e) {
		d = max(d, min(e.RetryAfter, c.opts.MaxBackoff))
	}
	return sleep(ctx, d)
}

// backoff returns the wait before retry n. Half of it is random, so that clients
// that failed together do not retry together.
func (c *Client) backoff(n int) time.Duration {
	d := c.opts.MaxBackoff
	if n < 20 {
		d = min(d, c.opts.Backoff<<(n-1))
	}
	return d/2 + c.randomUpTo(d/2)
}

func (c *Client) randomUpTo(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rand.Int64N(int64(d) + 1))
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Object is an object of the store.
type Object = storeapi.Object

// Get returns one object.
func (c *Client) Get(ctx context.Context, path string) (Object, error) {
	var o Object
	_, err := c.read(ctx, call{method: http.MethodGet, path: objectPath(path)}, &o)
	return o, err
}

// Listing is the result of List. A watch continues after Position, that of the first
// page; it also reports changes made while the later pages were read. All pages are of
// one epoch.
type Listing struct {
	Position Position
	// AsOf is a time by which all changes that the store had accepted are in the listing.
	// It is zero if that is not known of a listing that may be outdated.
	AsOf    time.Time
	Objects []Object // in byte order of paths
}

// Position is a point in the history of the store.
type Position = storeapi.Position

// List returns all objects whose paths start with prefix.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	return c.list(ctx, url.Values{"prefix": {prefix}})
}

// ListStale is like List, but the result may be seconds old, which costs the store less.
func (c *Client) ListStale(ctx context.Context, prefix string) (Listing, error) {
	return c.list(ctx, url.Values{"prefix": {prefix}, "stale": {"1"}})
}

func (c *Client) list(ctx context.Context, q url.Values) (Listing, error) {
	var out Listing
	after, sentAt := "", time.Now()
	for first := true; ; first = false {
		var page storeapi.Page
		q.Set("after", after)
		epoch, err := c.read(ctx, call{method: http.MethodGet, path: storeapi.ObjectsPath, query: q}, &page)
		if err != nil {
			return Listing{}, err
		}
		if first {
			out.Position = Position{Epoch: epoch, Revision: page.Revision}
		} else if epoch != out.Position.Epoch {
			return c.list(ctx, q) // the first pages are from before the store was restored
		}
		out.Objects = append(out.Objects, page.Objects...)
		if !page.More {
			if out.AsOf = sentAt; q.Has("stale") {
				out.AsOf = c.positions.asOf(out.Position)
			} else {
				c.positions.record(out.Position, sentAt)
			}
			return out, nil
		}
		if len(page.Objects) == 0 {
			return Listing{}, &Error{Kind: Lost, Call: "list " + q.Get("prefix"), Message: "a page that is not the last one has no objects"}
		}
		after = page.Objects[len(page.Objects)-1].Path
	}
}

// objectPath returns the URL path of an object. JoinPath escapes it except for slashes.
func objectPath(path string) string {
	return storeapi.ObjectsPath + "/" + strings.TrimPrefix(path, "/")
}
