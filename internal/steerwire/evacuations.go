package steerwire

import "github.com/bulrushshelf/bulrushshelf/internal/model"

// Evacuations is the sender's view of the operator's evacuations of data centres, in a Hello.
// To an agent it has the entry of the agent's data centre only, and to balancers all entries.
type Evacuations struct {
	// Epoch and Revision are the position in the store at which the view is complete.
	Epoch    uint64 `cbor:"1,keyasint,omitzero"`
	Revision uint64 `cbor:"2,keyasint,omitzero"`
	// AgeMillis is the time since the view was known to be the last one in the store,
	// rounded up; 0 if it is not known. Sent to balancers.
	AgeMillis int64             `cbor:"3,keyasint,omitzero"`
	Entries   []EvacuationEntry `cbor:"4,keyasint,omitempty"`
}

// EvacuationEntry is what is known about the evacuation of one data centre.
type EvacuationEntry struct {
	DataCentre model.DataCentre `cbor:"1,keyasint"`
	Version    uint64           `cbor:"2,keyasint,omitzero"` // of the last known object in the store
	Lifted     bool             `cbor:"3,keyasint,omitzero"` // the object was removed
	Missing    bool             `cbor:"4,keyasint,omitzero"` // the store lost the object in a restoration
}

// MaxEvacuationBytes is the maximum size of the entries in a hello, so that it fits in
// MaxMessage. entryOverhead is the size of an entry without its name.
const (
	MaxEvacuationBytes = 700
	entryOverhead      = 18
)

// Fit reports whether the entries fit in a hello.
func (e *Evacuations) Fit() bool {
	size := 0
	for _, x := range e.Entries {
		size += len(x.DataCentre) + entryOverhead
	}
	return size <= MaxEvacuationBytes
}
