package storeclient

import (
	"errors"
	"fmt"
	"time"
)

// ErrorKind classes the errors of store calls.
type ErrorKind uint8

// The kinds of error.
const (
	// NotFound: the object does not exist.
	NotFound ErrorKind = iota + 1
	// Conflict: the object exists, or has another version than expected.
	Conflict
	// TooLarge: the content exceeds the store's limit.
	TooLarge
	// RateLimited: the store refused the call because there were too many.
	RateLimited
	// Unavailable: the store refused the call, or no connection was made; a
	// write did not take effect.
	Unavailable
	// Lost: the call was sent and no answer came; a write may have taken effect.
	Lost
	// TooOld: the version to watch after is no longer covered.
	TooOld
	// Invalid: the store did not accept the form of the call.
	Invalid
)

// String returns the kind as used for reasons of counters.
func (k ErrorKind) String() string {
	names := [...]string{"none", "not_found", "conflict", "too_large", "rate_limited", "unavailable", "lost", "too_old", "invalid"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid"
}

// Error is the error of a store call.
type Error struct {
	Kind       ErrorKind
	Call       string // method and path
	Message    string
	Version    uint64        // current version of the object on a conflict, if known
	RetryAfter time.Duration // wait that the store asked for
	Err        error         // error of the transport, if any
}

// Error returns the call, the kind and what the store or the transport said.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("store: %s: %s: %v", e.Call, e.Kind, e.Err)
	}
	return fmt.Sprintf("store: %s: %s: %s", e.Call, e.Kind, e.Message)
}

// Unwrap returns the error of the transport.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of a store error, or 0 for another error.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

func (k ErrorKind) retryable() bool { return k == RateLimited || k == Unavailable || k == Lost }
