// Package replica implements a replicated map in which the highest version of
// each key wins. Entries may be applied late, twice and in any order; replicas
// that saw the same entries are equal. A digest in three levels finds the
// entries in which two replicas differ.
package replica

import (
	"cmp"
	"iter"
	"slices"
	"sort"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Version orders the entries of one key: by Hi, then Lo, then Rank.
type Version struct {
	Hi, Lo uint64
	Rank   uint8
}

// RankDeleted is the rank of a tombstone that a floor created; it is above
// every other rank.
const RankDeleted = 255

// Compare orders versions.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Hi, w.Hi), cmp.Compare(v.Lo, w.Lo), cmp.Compare(v.Rank, w.Rank))
}

// Entry is one key at one version. A deleted entry is a tombstone.
type Entry[V any] struct {
	Key     string
	Version Version
	Deleted bool
	Value   V
}

// slot is an Entry without the padding of its Version.
type slot[V any] struct {
	key     string
	hi, lo  uint64
	rank    uint8
	deleted bool
	value   V
}

func (s *slot[V]) version() Version { return Version{Hi: s.hi, Lo: s.lo, Rank: s.rank} }

func (s *slot[V]) entry() Entry[V] {
	return Entry[V]{Key: s.key, Version: s.version(), Deleted: s.deleted, Value: s.value}
}

// hash covers what the digest compares. Tombstones kept for a time count as
// absent, because replicas drop them at different times; those within a horizon
// are the same on all replicas and count.
func (m *Map[V]) hash(s *slot[V]) uint64 {
	if s.deleted && m.opt.Horizon == 0 {
		return 0
	}
	h := model.Mix(model.HashString(s.key) ^ s.hi)
	return model.Mix(h ^ model.Mix(s.lo) ^ uint64(s.rank))
}

// Options set the size and the tombstone retention of a Map.
type Options struct {
	// Groups is the number of bucket groups; each group has as many buckets.
	// It must be a power of two up to 256 and equal on all replicas.
	Groups int
	// Retention and MaxTombstones bound the tombstones; the oldest go first. A
	// replica that was cut off for longer may bring a deleted key back.
	Retention     time.Duration
	MaxTombstones int
	// Horizon, if not 0, replaces both: a tombstone is kept while its Hi is at
	// most Horizon below the highest Hi of the map. It suits versions that are
	// one sequence over all keys.
	Horizon uint64
}

// Map is a last-writer-wins map. It is not safe for concurrent use.
type Map[V any] struct {
	opt     Options
	now     time.Time
	floor   uint64
	highest uint64 // Hi of all entries
	live    int
	buckets [][]slot[V] // in order of keys
	leaves  []uint64    // XOR of the hashes of a bucket
	groups  []uint64    // XOR of the leaves of a group
	root    uint64
	tombs   []tombstone // in order of time
}

type tombstone struct {
	key     string
	version Version
	at      time.Time
}

// New returns an empty map.
func New[V any](opt Options) *Map[V] {
	n := opt.Groups * opt.Groups
	return &Map[V]{opt: opt, buckets: make([][]slot[V], n), leaves: make([]uint64, n), groups: make([]uint64, opt.Groups)}
}

// Len returns the number of live entries.
func (m *Map[V]) Len() int { return m.live }

// Tombstones returns the number of tombstones kept.
func (m *Map[V]) Tombstones() int { return len(m.tombs) }

// Highest returns the highest Hi of any entry ever held.
func (m *Map[V]) Highest() uint64 { return m.highest }

// Floor returns the version set by SetFloor.
func (m *Map[V]) Floor() uint64 { return m.floor }

func (m *Map[V]) bucketOf(key string) int {
	return int(model.HashString(key) % uint64(len(m.buckets)))
}

func (m *Map[V]) find(key string) (bucket, pos int, held bool) {
	bucket = m.bucketOf(key)
	b := m.buckets[bucket]
	pos = sort.Search(len(b), func(i int) bool { return b[i].key >= key })
	return bucket, pos, pos < len(b) && b[pos].key == key
}

// Get returns the entry of a key, which may be a tombstone.
func (m *Map[V]) Get(key string) (Entry[V], bool) {
	b, i, ok := m.find(key)
	if !ok {
		return Entry[V]{}, false
	}
	return m.buckets[b][i].entry(), true
}

// All yields the live entries in an order that depends only on the keys.
func (m *Map[V]) All() iter.Seq[Entry[V]] {
	return func(yield func(Entry[V]) bool) {
		for _, b := range m.buckets {
			for i := range b {
				if !b[i].deleted && !yield(b[i].entry()) {
					return
				}
			}
		}
	}
}

// Advance sets the time at which tombstones are recorded and drops old ones.
func (m *Map[V]) Advance(now time.Time) {
	m.now = now
	if m.opt.Horizon > 0 {
		return
	}
	n := 0
	for n < len(m.tombs) && now.Sub(m.tombs[n].at) >= m.opt.Retention {
		n++
	}
	m.dropTombstones(n)
}

func (m *Map[V]) dropTombstones(n int) {
	for _, t := range m.tombs[:n] {
		m.dropTombstone(t)
	}
	m.tombs = slices.Delete(m.tombs, 0, n)
}

func (m *Map[V]) dropTombstone(t tombstone) {
	b, i, ok := m.find(t.key)
	if !ok || !m.buckets[b][i].deleted || m.buckets[b][i].version() != t.version {
		return
	}
	m.xor(b, m.hash(&m.buckets[b][i]))
	m.buckets[b] = slices.Delete(m.buckets[b], i, i+1)
}

// beyond reports whether a tombstone of this Hi is older than the horizon.
func (m *Map[V]) beyond(hi uint64) bool {
	return m.opt.Horizon > 0 && m.highest > m.opt.Horizon && hi < m.highest-m.opt.Horizon
}

// trim drops the tombstones that Apply made too many or too old.
func (m *Map[V]) trim() {
	if m.opt.Horizon == 0 {
		m.dropTombstones(max(0, len(m.tombs)-m.opt.MaxTombstones))
		return
	}
	m.tombs = slices.DeleteFunc(m.tombs, func(t tombstone) bool {
		if m.beyond(t.version.Hi) {
			m.dropTombstone(t)
			return true
		}
		return false
	})
}

// Apply takes over the entries that are newer than the map's own and returns
// what it stored. A key that is not live and comes at or below the floor was
// deleted before the floor: Apply stores and returns a tombstone in its place,
// which corrects the sender.
func (m *Map[V]) Apply(entries ...Entry[V]) (changed []Entry[V]) {
	for _, e := range entries {
		b, i, held := m.find(e.Key)
		if held && e.Version.Compare(m.buckets[b][i].version()) <= 0 {
			continue
		}
		if !e.Deleted && e.Version.Hi <= m.floor && (!held || m.buckets[b][i].deleted) {
			e = Entry[V]{Key: e.Key, Version: Version{Hi: m.floor, Rank: RankDeleted}, Deleted: true}
		}
		if !held && e.Deleted && m.beyond(e.Version.Hi) {
			continue
		}
		m.store(b, i, held, e)
		changed = append(changed, e)
	}
	if len(changed) > 0 {
		m.trim()
	}
	return changed
}

func (m *Map[V]) store(b, i int, held bool, e Entry[V]) {
	if !held {
		if bucket := m.buckets[b]; len(bucket) == cap(bucket) {
			// Growth by a quarter wastes less memory than doubling: buckets are short.
			m.buckets[b] = append(make([]slot[V], 0, len(bucket)+max(2, len(bucket)/4)), bucket...)
		}
		m.buckets[b] = slices.Insert(m.buckets[b], i, slot[V]{key: e.Key, deleted: true})
	}
	s := &m.buckets[b][i]
	var diff uint64
	if held {
		diff = m.hash(s)
	}
	if !s.deleted {
		m.live--
	}
	s.hi, s.lo, s.rank = e.Version.Hi, e.Version.Lo, e.Version.Rank
	s.deleted, s.value = e.Deleted, e.Value
	if e.Deleted {
		m.tombs = append(m.tombs, tombstone{key: e.Key, version: e.Version, at: m.now})
	} else {
		m.live++
	}
	m.highest = max(m.highest, s.hi)
	m.xor(b, diff^m.hash(s))
}

// xor changes the hashes that cover a bucket.
func (m *Map[V]) xor(bucket int, diff uint64) {
	m.leaves[bucket] ^= diff
	m.groups[bucket/m.opt.Groups] ^= diff
	m.root ^= diff
}

// SetFloor applies the complete set of live entries as of version floor: each
// live key at or below the floor that is not listed is deleted, and later
// entries of unknown keys at or below the floor are refused. A floor that is
// not above the current one only applies the entries.
func (m *Map[V]) SetFloor(floor uint64, entries ...Entry[V]) (changed []Entry[V]) {
	changed = m.Apply(entries...)
	if floor <= m.floor {
		return changed
	}
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	var absent []Entry[V]
	for e := range m.All() {
		if e.Version.Hi <= floor && !listed[e.Key] {
			absent = append(absent, Entry[V]{Key: e.Key, Version: Version{Hi: floor, Rank: RankDeleted}, Deleted: true})
		}
	}
	changed = append(changed, m.Apply(absent...)...)
	m.floor = floor
	return changed
}
