package storeclient

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/storeapi"
)

// Change is one change of an object.
type Change = storeapi.Change

// Batch is a group of changes delivered by a watch. It is empty if a wait ended
// without a change, which still shows that the store is reachable.
type Batch struct {
	Position Position // after which the watch continues
	// AsOf is a time by which all changes that the store had accepted are in the batches up
	// to this one: that of the call, or the end of its wait.
	AsOf time.Time
	// Reset means that Changes is the complete state as of Position or later: any
	// object at or below Position that it does not list was removed.
	Reset   bool
	Changes []Change
}

// WatchOption is an option of Watch.
type WatchOption func(*watch)

// OnWatchError calls f after each failed call of a watch, before the call is repeated.
func OnWatchError(f func(err error)) WatchOption { return func(w *watch) { w.onError = f } }

// Watch passes the changes under prefix after a position to handle, in order, until ctx
// is done or handle returns an error. It lists all objects first if the position is
// zero, and again if the store's history no longer reaches back to it, the changes since
// are more than a response may hold, or the store has been restored since. It retries
// failed calls.
func (c *Client) Watch(ctx context.Context, prefix string, after Position, handle func(Batch) error, options ...WatchOption) error {
	w := watch{client: c, prefix: prefix, after: after, relist: after == Position{}}
	for _, o := range options {
		o(&w)
	}
	for ctx.Err() == nil {
		listing := w.relist
		batch, err := w.next(ctx)
		if err == nil {
			w.failures = 0
			if err := handle(batch); err != nil {
				return err
			}
			continue
		}
		if ctx.Err() != nil {
			break
		}
		c.opts.Counter.Count(CounterRetries, "watch_"+KindOf(err).String(), 1)
		if w.onError != nil {
			w.onError(err)
		}
		w.failures++
		if kind := KindOf(err); kind == TooOld || kind == Outdated || kind == Incomplete && !listing {
			w.failures = 1 // the store answers, so the listing need not wait long
		}
		if c.sleepBeforeRetry(ctx, w.failures, err) != nil {
			break
		}
	}
	return ctx.Err()
}

// MaxWatchAge returns the maximum time from a change to its delivery by Watch while the
// store answers new calls: a connection that has gone silent is given up after the wait
// and the timeout, and the next call does not wait. After an outage it is the timeout and
// the pause of a call that the store did not get.
func (c *Client) MaxWatchAge() time.Duration {
	return max(c.opts.WatchWait+c.opts.ReadTimeout+c.opts.Backoff, c.readTimeout(2)+c.opts.MaxBackoff)
}

// watch is the state of one Watch.
type watch struct {
	client *Client
	prefix string
	after  Position
	relist bool // the state must be listed before the watch continues
	// confirmed is set while after is known to be of the store's current epoch. A watch
	// after a revision of an earlier epoch may wait although there are changes, so the first
	// call does not wait if there are epochs. Those after a failure never do, because a call
	// that waits takes long to fail if the store does not answer.
	confirmed bool
	failures  int             // consecutive failed calls
	onError   func(err error) // may be nil
}

func (w *watch) next(ctx context.Context) (Batch, error) {
	if w.relist {
		return w.list(ctx)
	}
	epoch, epochChanged := w.client.Epoch()
	if w.after.Epoch != 0 && epoch > w.after.Epoch {
		return w.list(ctx)
	}
	k := call{method: http.MethodGet, path: storeapi.WatchPath, timeout: w.client.readTimeout(min(w.failures+1, 2))}
	switch {
	case w.confirmed:
		// The store is told whole milliseconds.
		k.watchWait = (w.client.opts.WatchWait - w.client.randomUpTo(w.client.opts.WatchJitter)).Truncate(time.Millisecond)
	case epoch == 0 && w.failures == 0:
		k.watchWait = w.client.opts.WatchWait
	}
	w.confirmed = false
	sentAt := time.Now()
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-epochChanged:
			cancel()
		case <-callCtx.Done():
		}
	}()
	var out storeapi.Changes
	k.query = url.Values{
		"prefix": {w.prefix}, "after": {strconv.FormatUint(w.after.Revision, 10)},
		"wait_ms": {strconv.FormatInt(k.watchWait.Milliseconds(), 10)},
	}
	epoch, err := w.client.doOnce(callCtx, k, &out)
	latest, _ := w.client.Epoch()
	switch {
	case w.after.Epoch != 0 && latest > w.after.Epoch:
		w.relist = true
		return Batch{}, &Error{Kind: Outdated, Call: "watch " + w.prefix, Message: fmt.Sprintf("after %s, the store has epoch %d", w.after, latest)}
	case KindOf(err) == TooOld, KindOf(err) == Incomplete:
		// The same call would fail again: a response only grows until the store drops the
		// history. The pages of a listing are limited.
		w.relist = true
		return Batch{}, err
	case err != nil:
		return Batch{}, err
	}
	w.after, w.confirmed = Position{Epoch: epoch, Revision: out.Revision}, true
	batch := Batch{Position: w.after, AsOf: sentAt, Changes: out.Changes}
	switch rest := k.watchWait - time.Since(sentAt); {
	case len(out.Changes) > 0:
	case rest > 0: // the store cut the wait short
		_ = sleep(ctx, min(rest, w.client.opts.MaxBackoff))
	default:
		batch.AsOf = sentAt.Add(k.watchWait)
	}
	w.client.positions.record(w.after, batch.AsOf)
	return batch, nil
}

func (w *watch) list(ctx context.Context) (Batch, error) {
	w.relist = true
	l, err := w.client.List(ctx, w.prefix)
	if err != nil {
		return Batch{}, err
	}
	w.after, w.relist, w.confirmed = l.Position, false, true
	b := Batch{Position: l.Position, AsOf: l.AsOf, Reset: true}
	for _, o := range l.Objects {
		b.Changes = append(b.Changes, Change{Object: o})
	}
	return b, nil
}
