package evacuation

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/storeapi"
)

func listing(epoch, revision uint64, entries map[model.DataCentre]uint64) Listing {
	return Listing{Position: storeapi.Position{Epoch: epoch, Revision: revision}, Entries: entries}
}

type entries = map[model.DataCentre]uint64

// Guards against evacuations that end early, stay after they were taken back, or come back
// from a late answer or from an older copy of the store.
func TestViewFollowsTheStore(t *testing.T) {
	for name, c := range map[string]struct {
		listings []Listing
		want     bool
	}{
		"begins":                     {[]Listing{listing(1, 1, nil), listing(1, 2, entries{"a": 2})}, true},
		"taken back":                 {[]Listing{listing(1, 2, entries{"a": 2}), listing(1, 3, nil)}, false},
		"late answer":                {[]Listing{listing(1, 2, entries{"a": 2}), listing(1, 3, nil), listing(1, 2, entries{"a": 2})}, false},
		"written again":              {[]Listing{listing(1, 2, entries{"a": 2}), listing(1, 3, nil), listing(1, 4, entries{"a": 4})}, true},
		"lost by a restoration":      {[]Listing{listing(1, 5, entries{"a": 5}), listing(2, 4, nil), listing(2, 6, nil)}, true},
		"lost, written, taken back":  {[]Listing{listing(1, 5, entries{"a": 5}), listing(2, 4, nil), listing(2, 5, entries{"a": 5}), listing(2, 6, nil)}, false},
		"back by a restoration":      {[]Listing{listing(1, 5, entries{"a": 5}), listing(1, 6, nil), listing(2, 5, entries{"a": 5}), listing(2, 7, entries{"a": 5})}, false},
		"back, then written":         {[]Listing{listing(1, 5, entries{"a": 5}), listing(1, 6, nil), listing(2, 5, entries{"a": 5}), listing(2, 7, entries{"a": 7})}, true},
		"forgotten, then written":    {[]Listing{listing(1, 5, entries{"a": 5}), listing(1, 6, nil), listing(2, 4, nil), listing(2, 5, entries{"a": 5})}, true},
		"answer of an earlier epoch": {[]Listing{listing(2, 5, nil), listing(1, 9, entries{"a": 9})}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var v View
			for _, l := range c.listings {
				v = v.Following(l)
			}
			is.New(t).Equal(v.Evacuated("a"), c.want)
		})
	}
}

// Guards against views of balancers that started in a restored store and replace those of
// balancers that knew the one before.
func TestUnconfirmedViewsReplaceNothing(t *testing.T) {
	is := is.New(t)
	known := View{}.Following(listing(1, 5, entries{"a": 5})).Following(listing(2, 4, nil))
	fresh := View{}.Following(listing(2, 6, nil))
	is.True(!fresh.Supersedes(known))
	is.True(known.Supersedes(fresh))
	is.True(known.Following(listing(2, 7, nil)).Supersedes(known))
	is.True(!known.Supersedes(known))
}
