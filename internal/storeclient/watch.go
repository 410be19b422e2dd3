package storeclient

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/bulrushshelf/bulrushshelf/internal/storeapi"
)

// Change is one change of an object.
type Change = storeapi.Change

// Batch is a group of changes delivered by a watch. It is empty if a wait ended
// without a change, which still shows that the store is reachable.
type Batch struct {
	Revision uint64 // version after which the watch continues
	// Reset means that Changes is the complete state as of Revision or later: any
	// object at or below Revision that it does not list was removed.
	Reset   bool
	Changes []Change
}

// Watch passes the changes under prefix after a version to handle, in order,
// until ctx is done or handle returns an error. If after is 0 or the store's
// history no longer reaches back to it, Watch first lists all objects. It retries
// failed calls.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, handle func(Batch) error) error {
	failures := 0
	for relist := after == 0; ctx.Err() == nil; {
		batch, err := c.nextBatch(ctx, prefix, after, relist)
		switch {
		case err == nil:
			failures, relist, after = 0, false, batch.Revision
			if err := handle(batch); err != nil {
				return err
			}
			continue
		case KindOf(err) == TooOld:
			relist = true
		}
		if ctx.Err() != nil {
			break
		}
		failures++
		c.opts.Counter.Count(CounterRetries, "watch_"+KindOf(err).String(), 1)
		if c.sleepBeforeRetry(ctx, failures, err) != nil {
			break
		}
	}
	return ctx.Err()
}

func (c *Client) nextBatch(ctx context.Context, prefix string, after uint64, relist bool) (Batch, error) {
	if relist {
		l, err := c.List(ctx, prefix)
		if err != nil {
			return Batch{}, err
		}
		b := Batch{Revision: l.Revision, Reset: true}
		for _, o := range l.Objects {
			b.Changes = append(b.Changes, Change{Object: o})
		}
		return b, nil
	}
	var out storeapi.Changes
	q := url.Values{
		"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(c.opts.WatchWait.Milliseconds(), 10)},
	}
	err := c.doOnce(ctx, call{method: http.MethodGet, path: storeapi.WatchPath, query: q, watchWait: c.opts.WatchWait}, &out)
	return Batch{Revision: out.Revision, Changes: out.Changes}, err
}
