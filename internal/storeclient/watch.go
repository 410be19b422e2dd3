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

// Batch is what a watch hands over at a time. It is empty when a wait ended
// without a change, which still shows that the store answers.
type Batch struct {
	Revision uint64
	// Reset means that Changes is the whole state at Revision or later: objects
	// at or below Revision that it does not list are gone.
	Reset   bool
	Changes []Change
}

// Watch hands over the changes under prefix after a version, in order, until
// ctx is done or handle fails. With after 0, or when the version is no longer
// covered, it lists everything first. It goes on by itself after failures.
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
