// Package config parses decision files and merges a folder of them into one snapshot.
// It does no I/O: the result depends only on the names and contents of the files.
package config

import (
	"time"
)

// Kind is the kind of subject to which a decision applies.
type Kind uint8

// The kinds of subject.
const (
	KindService Kind = iota + 1
	KindDataCentre
	KindTarget
)

// String returns the name of the field that names the subject.
func (k Kind) String() string {
	switch k {
	case KindService:
		return "service"
	case KindDataCentre:
		return "datacentre"
	case KindTarget:
		return "target"
	}
	return "invalid"
}

// Kinds returns all kinds in order.
func Kinds() []Kind { return []Kind{KindService, KindDataCentre, KindTarget} }

// Field is one field that a decision may set.
type Field uint8

// The fields, in the order in which explain and merge list them.
const (
	FieldAddresses Field = iota + 1
	FieldWeight
	FieldDrain
	FieldQueue
	FieldDeadline
	FieldWarmup
	FieldKeyRetention
	FieldIdempotentMethods
)

// Limits of the values.
const (
	// MinWeight is the smallest difference of weights that changes the fingerprint of a
	// view. A weight of 0 is not allowed: drain stops all new work.
	MinWeight = 0.001
	MaxWeight = 100.0
	// MaxQueue limits the memory of one target's queue.
	MaxQueue        = 100_000
	MinDeadline     = time.Millisecond
	MaxDeadline     = 24 * time.Hour
	MaxWarmup       = time.Hour
	MinKeyRetention = time.Minute
	MaxKeyRetention = 7 * 24 * time.Hour
	// MaxAddresses limits one list; with long addresses, the file size of 32 KB is the
	// tighter limit.
	MaxAddresses  = 4096
	maxNameLength = 128
)

// FieldInfo describes a field, for docs/CONFIGURATION.md and for the decoder.
type FieldInfo struct {
	Field   Field
	Name    string
	Kinds   []Kind
	Type    string
	Range   string
	Default string
	Doc     string
}

var fieldTable = []FieldInfo{
	{FieldAddresses, "addresses", []Kind{KindService}, "list of IP:port/protocol",
		"at most 4096; protocol tcp (when left out) or udp", "[]",
		"Addresses that callers connect to. The list replaces the list of earlier files as a whole."},
	{FieldWeight, "weight", []Kind{KindDataCentre, KindTarget}, "number", "0.001 to 100", "1",
		"Share of new work. It multiplies the weight that the agent advertises."},
	{FieldDrain, "drain", []Kind{KindDataCentre, KindTarget}, "true or false", "", "false",
		"Assigns no new work to the target, or to all targets of the data centre. Open flows continue."},
	{FieldQueue, "queue", []Kind{KindService}, "whole number", "0 to 100000", "64",
		"Requests that may wait per target; 0 refuses a request when no slot is free."},
	{FieldDeadline, "deadline", []Kind{KindService}, "duration", "1ms to 24h", "10s",
		"Deadline of requests that do not set one."},
	{FieldWarmup, "warmup", []Kind{KindService}, "duration", "0s to 1h", "30s",
		"Time over which the weight of a new target rises to its full value."},
	{FieldKeyRetention, "key_retention", []Kind{KindService}, "duration", "1m to 168h", "1h",
		"Time for which the response to an Idempotency-Key is kept."},
	{FieldIdempotentMethods, "idempotent_methods", []Kind{KindService}, "list of HTTP methods",
		"GET, HEAD, OPTIONS, TRACE, PUT, DELETE", "[GET, HEAD, OPTIONS]",
		"Methods whose requests may run more than once. The list replaces the list of earlier files as a whole."},
}

// Fields returns the documentation of all fields, in order.
func Fields() []FieldInfo { return append([]FieldInfo(nil), fieldTable...) }

// Info returns the documentation of the field.
func (f Field) Info() FieldInfo { return fieldTable[f-1] }

// String returns the name of the field in a file.
func (f Field) String() string { return f.Info().Name }

// appliesTo reports whether the field may be set for a kind of subject.
func (i FieldInfo) appliesTo(k Kind) bool {
	for _, x := range i.Kinds {
		if x == k {
			return true
		}
	}
	return false
}

// idempotentMethods are the methods allowed in idempotent_methods. POST, PATCH and
// CONNECT are not idempotent (RFC 9110): a retry could run the request twice.
var idempotentMethods = []string{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}

// StorePrefix is the key prefix of the decision files in the object store.
const StorePrefix = "decisions/"
