// Package store is a development stand-in for the platform's object store. It
// implements the API of package storeapi in memory, with fault injection. Its
// contents are lost at exit. In addition to the API it serves
//
//	GET  /v1/dev/counts   200 Counts
//	PUT  /v1/dev/faults   200; sets Faults
package store

// maxPageBytes limits the contents on a page, so that a response stays near the
// size limit of an object.
const maxPageBytes = 1 << 20

// Paths of the development endpoints.
const (
	CountsPath = "/v1/dev/counts"
	FaultsPath = "/v1/dev/faults"
)

// Counts are the numbers of calls received, including refused ones.
type Counts struct {
	Reads       uint64 `json:"reads"` // gets and list pages
	Writes      uint64 `json:"writes"`
	Watches     uint64 `json:"watches"`
	RateLimited uint64 `json:"rate_limited"`
}

// Faults are the injected faults.
type Faults struct {
	// Down closes the connection of every call before it has any effect.
	Down bool `json:"down,omitempty"`
	// Unavailable responds to every call with 503.
	Unavailable bool `json:"unavailable,omitempty"`
	// SlowMillis delays every call. A write that would be delayed by more than
	// MaxWriteDelay is refused with 503.
	SlowMillis int `json:"slow_ms,omitempty"`
	// LoseAnswers is the number of next writes whose connections are closed after
	// they took effect.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// CutWatches is the number of next watches whose connections are closed.
	CutWatches int `json:"cut_watches,omitempty"`
}
