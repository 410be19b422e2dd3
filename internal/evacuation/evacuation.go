// Package evacuation keeps the operator's evacuations of data centres as one view of the
// store: a data centre with an entry gets no new flows until the entry is removed. It has no
// I/O and no clock.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/storeapi"
)

// Listing is the complete set of entries in the store at a position.
type Listing struct {
	Position storeapi.Position
	Entries  map[model.DataCentre]uint64 // with the version of each object
	AsOf     time.Time                   // complete as of this time
}

// Entry is what is known about the evacuation of a data centre.
type Entry struct {
	Version uint64 // of the last known object
	// Lifted is set once the object was removed. The entry is kept to recognise the object
	// in a copy of the store from before its removal.
	Lifted bool
	// Missing is set if the store lost the object when it was restored. The data centre stays
	// evacuated until an object of its name has been listed and removed.
	Missing bool
}

// View is the state of all evacuations at a position of the store. Views are not modified.
type View struct {
	Position storeapi.Position // zero if nothing is known
	// Confirmed is set if the view follows from one before the last restoration of the store.
	Confirmed bool
	Entries   map[model.DataCentre]Entry
}

// Known reports whether the view is from the store.
func (v View) Known() bool { return v.Position != storeapi.Position{} }

// Evacuated reports whether a data centre gets no new flows.
func (v View) Evacuated(dc model.DataCentre) bool {
	e, ok := v.Entries[dc]
	return ok && !e.Lifted
}

// Active returns the evacuated data centres, sorted.
func (v View) Active() []model.DataCentre {
	var out []model.DataCentre
	for dc, e := range v.Entries {
		if !e.Lifted {
			out = append(out, dc)
		}
	}
	slices.Sort(out)
	return out
}

// Following returns the view after a listing, or v if the listing is not a later one.
func (v View) Following(l Listing) View {
	switch {
	case l.Position.Compare(v.Position) <= 0:
		return v
	case !v.Known():
		next := View{Position: l.Position, Confirmed: l.Position.Epoch <= storeapi.FirstEpoch, Entries: make(map[model.DataCentre]Entry, len(l.Entries))}
		for dc, version := range l.Entries {
			next.Entries[dc] = Entry{Version: version}
		}
		return next
	}
	restored := l.Position.Epoch > v.Position.Epoch
	next := View{Position: l.Position, Confirmed: v.Confirmed, Entries: maps.Clone(v.Entries)}
	if next.Entries == nil {
		next.Entries = make(map[model.DataCentre]Entry)
	}
	for dc, e := range v.Entries {
		if _, listed := l.Entries[dc]; listed {
			continue
		}
		switch {
		case restored && e.Lifted:
			delete(next.Entries, dc)
		case restored:
			next.Entries[dc] = Entry{Version: e.Version, Missing: true}
		case !e.Missing:
			next.Entries[dc] = Entry{Version: e.Version, Lifted: true}
		}
	}
	for dc, version := range l.Entries {
		if e, ok := v.Entries[dc]; !ok || !e.Lifted || e.Version != version {
			next.Entries[dc] = Entry{Version: version}
		}
	}
	return next
}

// Supersedes reports whether a view of another balancer replaces v: it is confirmed, and
// either later or v is not confirmed in the same store.
func (v View) Supersedes(old View) bool {
	if !v.Known() || !v.Confirmed || v.Position.Epoch < old.Position.Epoch {
		return false
	}
	return !old.Confirmed || v.Position.Compare(old.Position) > 0
}
