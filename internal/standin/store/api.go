// Package store is a development stand-in for the platform's object store: an
// in-memory fake with the API of package storeapi and switches for its faults.
// It keeps nothing when the process ends. Beside the API it serves
//
//	GET  /v1/dev/counts   200 Counts
//	PUT  /v1/dev/faults   200; sets Faults
package store

// maxPageBytes ends a page early so that an answer stays near the object limit.
const maxPageBytes = 1 << 20

// The paths of the development switches.
const (
	CountsPath = "/v1/dev/counts"
	FaultsPath = "/v1/dev/faults"
)

// Counts counts the calls that arrived, whatever their answer.
type Counts struct {
	Reads       uint64 `json:"reads"` // gets and pages
	Writes      uint64 `json:"writes"`
	Watches     uint64 `json:"watches"`
	RateLimited uint64 `json:"rate_limited"`
}

// Faults are the faults in force.
type Faults struct {
	// Down closes the connection of every call before it has any effect.
	Down bool `json:"down,omitempty"`
	// Unavailable answers every call with 503.
	Unavailable bool `json:"unavailable,omitempty"`
	// SlowMillis delays every call. A write that waited longer than WriteBound
	// is refused with 503.
	SlowMillis int `json:"slow_ms,omitempty"`
	// LoseAnswers closes the connections of the next writes after they took effect.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// CutWatches closes the connections of the next watches.
	CutWatches int `json:"cut_watches,omitempty"`
}
