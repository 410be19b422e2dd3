// Package storeapi defines the HTTP/JSON API by which balancers and
// bulrushshelf-ctl use the platform's object store.
//
// Every change raises one global version; the version of an object is that of
// its last change. Contents are base64 in JSON and at most MaxContent bytes.
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
// 413 answers a content that is too large, 429 with Retry-After a call over the
// rate limit, 503 a call that the store refused for now. An answer of 400 or
// above, other than 500, means that a write did not take effect. A write takes
// effect within WriteBound of its arrival or never, even if its connection is gone.
// Errors are Failure objects.
package storeapi

import "time"

const (
	// MaxContentBytes is the largest content of an object in bytes.
	MaxContentBytes = 1 << 20
	// MaxWriteDelay is the longest time from the arrival of a write to its effect.
	MaxWriteDelay = 2 * time.Second
	// MaxPageObjects is the largest number of objects on one page.
	MaxPageObjects = 1000
	// MaxWatchWait is the longest wait of a watch.
	MaxWatchWait = 60 * time.Second
)

// The paths of the API.
const (
	ObjectsPath = "/v1/objects"
	WatchPath   = "/v1/watch"
)

// The codes of failures.
const (
	CodeNotFound    = "not_found"
	CodeConflict    = "conflict"
	CodeTooLarge    = "too_large"
	CodeRateLimited = "rate_limited"
	CodeUnavailable = "unavailable"
	CodeTooOld      = "too_old"
	CodeInvalid     = "invalid"
)

// Object is one object. List and get fill all fields; writes answer without content.
type Object struct {
	Path    string `json:"path"`
	Version uint64 `json:"version"`
	Content []byte `json:"content,omitempty"`
}

// Page is one page of a listing. Revision is the newest global version at the
// time of the page.
type Page struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
	More     bool     `json:"more"`
}

// Change is one write. A removal has a version of its own.
type Change struct {
	Object
	Removed bool `json:"removed,omitempty"`
}

// Changes answers a watch. Revision is the version to watch after next.
type Changes struct {
	Revision uint64   `json:"revision"`
	Changes  []Change `json:"changes"`
}

// WriteRequest is the body of a create or an update.
type WriteRequest struct {
	Content []byte `json:"content"`
}

// ErrorResponse is the body of an error answer. Version is the object's current
// version on a conflict.
type ErrorResponse struct {
	Code    string `json:"error"`
	Message string `json:"message"`
	Version uint64 `json:"version,omitempty"`
}
