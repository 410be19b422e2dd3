package storeclient

import (
	"errors"
	"fmt"
	"time"
)

// ErrorKind classifies the errors of store calls.
type ErrorKind uint8

// Error kinds.
const (
	// NotFound: the object does not exist.
	NotFound ErrorKind = iota + 1
	// Conflict: the object already exists or has an unexpected version.
	Conflict
	// TooLarge: the content exceeds the store's limit.
	TooLarge
	// RateLimited: the call exceeded the store's rate limit.
	RateLimited
	// Unavailable: the store refused the call or could not be connected to; a
	// write did not take effect.
	Unavailable
	// Lost: the call was sent but no valid response arrived; a write may have taken effect.
	Lost
	// TooOld: the store's history no longer reaches back to the version to watch after.
	TooOld
	// Invalid: the store rejected the call as malformed.
	Invalid
	// Outdated: the response, or the version that the call expects, is from before the
	// store was restored.
	Outdated
	// Incomplete: the response to a read exceeds the client's limit, or ended early.
	Incomplete
)

// String returns the kind as used in counter reasons.
func (k ErrorKind) String() string {
	names := [...]string{"none", "not_found", "conflict", "too_large", "rate_limited", "unavailable", "lost", "too_old", "invalid", "outdated", "incomplete"}
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
	RetryAfter time.Duration // from the Retry-After header
	Err        error         // transport error, if any
}

// Error returns the call, the kind and the message of the store or the transport.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("store: %s: %s: %v", e.Call, e.Kind, e.Err)
	}
	return fmt.Sprintf("store: %s: %s: %s", e.Call, e.Kind, e.Message)
}

// Unwrap returns the transport error.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of a store error, or 0 for another error.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

func (k ErrorKind) retryable() bool {
	return k == RateLimited || k == Unavailable || k == Lost || k == Outdated || k == Incomplete
}
