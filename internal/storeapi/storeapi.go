// Package storeapi defines the HTTP/JSON API by which balancers and
// bulrushshelf-ctl use the platform's object store.
//
// Every change increments one global version. The version of an object is the
// global version of its last change. Contents are base64 in JSON and have at
// most MaxContentBytes bytes.
//
//	GET    /v1/objects/PATH              200 Object; 404
//	GET    /v1/objects?prefix=&after=&limit=   200 Page, in byte order of paths, after the path `after`;
//	                                     with stale=1 it may be seconds old
//	POST   /v1/objects/PATH {content}    201 Object without content; 409 if it exists
//	PUT    /v1/objects/PATH?version=V {content}   200; 404; 409 if the version is not V
//	DELETE /v1/objects/PATH?version=V    200; 404; 409 if the version is not V
//	GET    /v1/watch?prefix=&after=V&wait_ms=N   200 Changes after version V, at once if there are any,
//	                                     else after at most N ms; 410 if V is no longer covered
//
// The store responds with 413 if the content is too large, 429 with Retry-After
// if the rate limit is exceeded and 503 if it is temporarily unavailable. A
// status of 400 or above, other than 500, means that a write did not take
// effect. A write takes effect within MaxWriteDelay of its arrival or never,
// even if its connection was closed. The body of an error is an ErrorResponse.
// A watch covers the versions in the store's history, which is limited.
//
// Every response has the header Store-Epoch. A store that is restored from a copy loses
// the changes since then and assigns their versions again; its epoch rises by one, so
// that versions of one epoch are not taken for those of another. A store that is never
// restored may leave the header out.
package storeapi

import (
	"cmp"
	"fmt"
	"time"
)

// EpochHeader is the response header with the store's epoch, a decimal number.
const EpochHeader = "Store-Epoch"

// FirstEpoch is the epoch of a store that has never been restored. 0 is not known.
const FirstEpoch = 1

// Position is a point in the history of the store. Revision is a global version, and
// comparable only within one epoch.
type Position struct {
	Epoch    uint64
	Revision uint64
}

// Compare orders positions by epoch, then by revision.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Revision, q.Revision))
}

// String returns the position as used in logs, such as 2.15.
func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Epoch, p.Revision) }

const (
	// MaxContentBytes is the maximum size of an object's content.
	MaxContentBytes = 1 << 20
	// MaxWriteDelay is the maximum time from the arrival of a write to its effect.
	MaxWriteDelay = 2 * time.Second
	// MaxPageBytes is the size of the contents after which a page ends, with the object that
	// exceeds it or before. The response to a watch may hold all changes of the history.
	MaxPageBytes = 1 << 20
	// MaxPageObjects is the maximum number of objects on one page.
	MaxPageObjects = 1000
	// MaxWatchWait is the maximum time that a watch call waits for a change.
	MaxWatchWait = 60 * time.Second
)

// The paths of the API.
const (
	ObjectsPath = "/v1/objects"
	WatchPath   = "/v1/watch"
)

// Error codes.
const (
	CodeNotFound    = "not_found"
	CodeConflict    = "conflict"
	CodeTooLarge    = "too_large"
	CodeRateLimited = "rate_limited"
	CodeUnavailable = "unavailable"
	CodeTooOld      = "too_old"
	CodeInvalid     = "invalid"
)

// Object is a stored object. Responses to writes leave Content empty.
type Object struct {
	Path    string `json:"path"`
	Version uint64 `json:"version"`
	Content []byte `json:"content,omitempty"`
}

// Page is one page of a listing. Revision is the global version at the time the
// page was read.
type Page struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
	More     bool     `json:"more"`
}

// Change is one write. A removal also increments the global version.
type Change struct {
	Object
	Removed bool `json:"removed,omitempty"`
}

// Changes is the response to a watch. The next watch starts after Revision.
type Changes struct {
	Revision uint64   `json:"revision"`
	Changes  []Change `json:"changes"`
}

// WriteRequest is the body of a create or update.
type WriteRequest struct {
	Content []byte `json:"content"`
}

// ErrorResponse is the body of an error response. Version is the object's
// current version on a conflict.
type ErrorResponse struct {
	Code    string `json:"error"`
	Message string `json:"message"`
	Version uint64 `json:"version,omitempty"`
}
