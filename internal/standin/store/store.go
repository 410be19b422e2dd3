package store

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/bulrushshelf/bulrushshelf/internal/storeapi"
)

// Options are the limits of a store. Zero values select the defaults.
type Options struct {
	ReadsPerSecond  float64          // default 2000
	WritesPerSecond float64          // default 300
	RetainedChanges int              // length of the history for watches, default 10000
	Now             func() time.Time // clock of the rate limits, default time.Now
}

// Store is the object store. It is an http.Handler.
type Store struct {
	now             func() time.Time
	reads, writes   *rate.Limiter
	retainedChanges int

	mu              sync.Mutex
	objects         map[string]storeapi.Object
	version         uint64
	epoch           uint64            // rises with each Restore
	history         []storeapi.Change // the latest changes, oldest first
	minWatchVersion uint64            // watches after an older version are refused
	changed         chan struct{}     // closed at the next change
	faults          Faults
	cutWatches      chan struct{} // closed to disconnect the waiting watches
	counts          Counts
}

// New returns an empty store.
func New(o Options) *Store {
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = 2000
	}
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = 300
	}
	if o.RetainedChanges == 0 {
		o.RetainedChanges = 10_000
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Store{
		now:             o.Now,
		reads:           rate.NewLimiter(rate.Limit(o.ReadsPerSecond), max(1, int(o.ReadsPerSecond))),
		writes:          rate.NewLimiter(rate.Limit(o.WritesPerSecond), max(1, int(o.WritesPerSecond))),
		retainedChanges: o.RetainedChanges,
		objects:         make(map[string]storeapi.Object),
		changed:         make(chan struct{}),
		cutWatches:      make(chan struct{}),
		epoch:           storeapi.FirstEpoch,
	}
}

// Backup is a copy of the contents of a store.
type Backup struct {
	objects map[string]storeapi.Object
	version uint64
}

// Backup returns a copy of the contents.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{maps.Clone(s.objects), s.version}
}

// Restore replaces the contents with a copy. Later versions are assigned again, the
// epoch rises, and the history before the copy is gone. Waiting watches are disconnected.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.version, s.epoch = maps.Clone(b.objects), b.version, s.epoch+1
	if s.objects == nil {
		s.objects = make(map[string]storeapi.Object) // a Backup without contents
	}
	s.history, s.minWatchVersion = nil, b.version
	close(s.cutWatches)
	s.cutWatches = make(chan struct{})
}

// currentEpoch returns the epoch of the next response.
func (s *Store) currentEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// SetFaults replaces the injected faults. Down and CutWatches also disconnect the
// watches that are waiting.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.CutWatches > 0 || f.Down {
		close(s.cutWatches)
		s.cutWatches = make(chan struct{})
	}
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// errNotFound reports that an object does not exist.
var errNotFound = errors.New("the object does not exist")

// conflictError reports a write that expected another version of the object.
type conflictError struct{ version uint64 }

func (conflictError) Error() string { return "the object has another version" }

func (s *Store) get(path string) (storeapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[path]
	if !ok {
		return storeapi.Object{}, errNotFound
	}
	return o, nil
}

func (s *Store) list(prefix, after string, limit int) storeapi.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	var paths []string
	for p := range s.objects {
		if strings.HasPrefix(p, prefix) && p > after {
			paths = append(paths, p)
		}
	}
	slices.Sort(paths)
	page := storeapi.Page{Revision: s.version, Objects: []storeapi.Object{}}
	size := 0
	for _, p := range paths {
		o := s.objects[p]
		size += len(o.Content)
		if len(page.Objects) == limit || (size > maxPageBytes && len(page.Objects) > 0) {
			page.More = true
			break
		}
		page.Objects = append(page.Objects, o)
	}
	return page
}

func (s *Store) create(path string, content []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[path]; ok {
		return 0, conflictError{o.Version}
	}
	return s.apply(storeapi.Change{Object: storeapi.Object{Path: path, Content: content}}), nil
}

// replace updates or removes an object if it has the given version.
func (s *Store) replace(path string, version uint64, content []byte, remove bool) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[path]
	if !ok {
		return 0, errNotFound
	}
	if o.Version != version {
		return 0, conflictError{o.Version}
	}
	return s.apply(storeapi.Change{Object: storeapi.Object{Path: path, Content: content}, Removed: remove}), nil
}

func (s *Store) apply(c storeapi.Change) uint64 {
	s.version++
	c.Version = s.version
	if c.Removed {
		delete(s.objects, c.Path)
	} else {
		s.objects[c.Path] = c.Object
	}
	s.history = append(s.history, c)
	if drop := len(s.history) - s.retainedChanges; drop > 0 {
		s.minWatchVersion = s.history[drop-1].Version
		s.history = slices.Clone(s.history[drop:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// changesSince returns the changes after a version, and channels that are closed
// at the next change and when watches are disconnected. covered is false if the
// history no longer holds all changes after the version, or if the version is
// newer than the store's.
func (s *Store) changesSince(prefix string, after uint64) (out storeapi.Changes, changed, cutWatches <-chan struct{}, covered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.minWatchVersion || after > s.version {
		return out, nil, nil, false
	}
	out.Revision, out.Changes = s.version, []storeapi.Change{}
	i, _ := slices.BinarySearchFunc(s.history, after+1, func(c storeapi.Change, v uint64) int { return int(c.Version) - int(v) })
	size := 0
	for _, c := range s.history[i:] {
		if !strings.HasPrefix(c.Path, prefix) {
			continue
		}
		if size += len(c.Content); size > maxPageBytes && len(out.Changes) > 0 {
			out.Revision = out.Changes[len(out.Changes)-1].Version // the next call returns the rest
			break
		}
		out.Changes = append(out.Changes, c)
	}
	return out, s.changed, s.cutWatches, true
}

// Preload creates an object directly, without an API call, for tests and the demo.
func (s *Store) Preload(path string, content []byte) (uint64, error) { return s.create(path, content) }
