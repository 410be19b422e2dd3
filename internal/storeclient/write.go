package storeclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/storeapi"
)

// Outcome states whether a write took effect.
type Outcome uint8

// Outcomes of a write.
const (
	// Applied: the write took effect.
	Applied Outcome = iota + 1
	// NotApplied: the write did not take effect and will not.
	NotApplied
	// Unknown: the client could not determine whether the write took effect.
	Unknown
)

// String returns the outcome as used in counter reasons.
func (o Outcome) String() string {
	switch o {
	case Applied:
		return "applied"
	case NotApplied:
		return "not_applied"
	case Unknown:
		return "unknown"
	}
	return "invalid"
}

// WriteResult is the result of a write.
type WriteResult struct {
	Outcome Outcome
	// Version is the version assigned to an applied write. It is 0 for a delete
	// whose response was lost.
	Version uint64
	// Epoch is the epoch in which the write was applied. A store that has been restored
	// since may have lost it.
	Epoch uint64
	// Current is the object as read back if another write changed it; nil
	// otherwise.
	Current *Object
}

// writeOp describes a write.
type writeOp struct {
	path     string
	version  uint64 // expected before the write, 0 if the object must not exist
	content  []byte
	isDelete bool
}

// Create creates an object that must not exist. The error is nil if and only if
// the outcome is Applied.
func (c *Client) Create(ctx context.Context, path string, content []byte) (WriteResult, error) {
	return c.write(ctx, http.MethodPost, writeOp{path: path, content: content})
}

// Update replaces an object that must have the given version.
func (c *Client) Update(ctx context.Context, path string, version uint64, content []byte) (WriteResult, error) {
	return c.write(ctx, http.MethodPut, writeOp{path: path, version: version, content: content})
}

// Delete removes an object that must have the given version.
func (c *Client) Delete(ctx context.Context, path string, version uint64) (WriteResult, error) {
	return c.write(ctx, http.MethodDelete, writeOp{path: path, version: version, isDelete: true})
}

// DeleteAt removes an object that must have the version that it had at a position. It is
// refused as Outdated if the store has been restored since, because the version may now
// belong to another write.
func (c *Client) DeleteAt(ctx context.Context, path string, at Position) (WriteResult, error) {
	if epoch, _ := c.Epoch(); epoch > at.Epoch {
		return WriteResult{Outcome: NotApplied}, &Error{Kind: Outdated, Call: "DELETE " + path, Message: fmt.Sprintf("version %s, the store has epoch %d", at, epoch)}
	}
	return c.Delete(ctx, path, at.Revision)
}

// RestoreFile writes a decision file that a restored store has lost, in the folder prefix. It
// succeeds also if another process has changed the file since it was listed.
func (c *Client) RestoreFile(ctx context.Context, prefix string, w config.FileWrite) error {
	var err error
	switch {
	case w.Remove:
		_, err = c.Delete(ctx, prefix+w.Name, w.Version)
	case w.Version > 0:
		_, err = c.Update(ctx, prefix+w.Name, w.Version, w.Content)
	default:
		_, err = c.Create(ctx, prefix+w.Name, w.Content)
	}
	if kind := KindOf(err); kind == Conflict || kind == NotFound {
		return nil
	}
	return err
}

func (c *Client) write(ctx context.Context, method string, w writeOp) (WriteResult, error) {
	k := call{method: method, path: objectPath(w.path)}
	if method != http.MethodPost {
		k.query = url.Values{"version": {strconv.FormatUint(w.version, 10)}}
	}
	if !w.isDelete {
		body, err := json.Marshal(storeapi.WriteRequest{Content: w.content})
		if err != nil {
			return WriteResult{Outcome: NotApplied}, trace.Wrap(err)
		}
		k.body = body
	}
	var obj Object
	epoch, err := c.doOnce(ctx, k, &obj)
	switch {
	case err == nil:
		return WriteResult{Outcome: Applied, Version: obj.Version, Epoch: epoch}, nil
	case KindOf(err) != Lost:
		return WriteResult{Outcome: NotApplied}, err
	}
	result := c.readBack(ctx, w)
	c.opts.Counter.Count(CounterReadBack, result.Outcome.String(), 1)
	if result.Outcome == Applied {
		err = nil
	}
	return result, err
}

// readBack determines whether a write whose response was lost took effect. If the
// object is unchanged, the write may still be in flight, so NotApplied requires a
// second read after MaxWriteDelay.
func (c *Client) readBack(ctx context.Context, w writeOp) WriteResult {
	for attempt := 1; ; attempt++ {
		var obj Object
		epoch, err := c.read(ctx, call{method: http.MethodGet, path: objectPath(w.path)}, &obj)
		absent := KindOf(err) == NotFound
		switch {
		case err != nil && !absent:
			return WriteResult{Outcome: Unknown}
		case w.isDelete && absent:
			return WriteResult{Outcome: Applied, Epoch: epoch}
		case !w.isDelete && !absent && obj.Version > w.version && bytes.Equal(obj.Content, w.content):
			return WriteResult{Outcome: Applied, Version: obj.Version, Epoch: epoch}
		case !absent && obj.Version != w.version:
			return WriteResult{Outcome: Unknown, Current: &obj} // this write may have come first
		case absent && w.version != 0:
			return WriteResult{Outcome: Unknown} // another client removed the object
		}
		if attempt == 2 {
			return WriteResult{Outcome: NotApplied}
		}
		if sleep(ctx, c.opts.MaxWriteDelay) != nil {
			return WriteResult{Outcome: Unknown}
		}
	}
}
