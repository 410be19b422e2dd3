// Package replica implements a replicated last-writer-wins map: the highest version of each key wins.
// Entries may be applied late, repeatedly and in any order; replicas that applied the same entries are
// equal. A digest in three levels finds the entries in which two replicas differ.
package replica

import (
	"cmp"
	"iter"
	"slices"
	"sort"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Version is the version of an entry. Versions are ordered by Hi, then Lo, then Rank.
type Version struct {
	Hi, Lo uint64
	Rank   uint8
}

// RankDeleted is the rank of a tombstone that a floor created. It is above all other ranks.
const RankDeleted = 255

// Compare returns -1, 0 or +1 as v is lower than, equal to or higher than w.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Hi, w.Hi), cmp.Compare(v.Lo, w.Lo), cmp.Compare(v.Rank, w.Rank))
}

// Entry is one version of a key. A deleted entry is a tombstone.
type Entry[V any] struct {
	Key     string
	Version Version
	Deleted bool
	Value   V
}

// packedEntry stores an Entry without the padding of its Version.
type packedEntry[V any] struct {
	key     string
	hi, lo  uint64
	rank    uint8
	deleted bool
	value   V
}

func (s *packedEntry[V]) version() Version { return Version{Hi: s.hi, Lo: s.lo, Rank: s.rank} }

func (s *packedEntry[V]) entry() Entry[V] {
	return Entry[V]{Key: s.key, Version: s.version(), Deleted: s.deleted, Value: s.value}
}

// hash returns what an entry adds to the digest. Tombstones with a time-based retention add nothing,
// because replicas drop them at different times. Those kept within a horizon are the same on all
// replicas and are included.
func (m *Map[V]) hash(s *packedEntry[V]) uint64 {
	if s.deleted && m.opts.Horizon == 0 {
		return 0
	}
	h := model.Mix(model.HashString(s.key) ^ s.hi)
	return model.Mix(h ^ model.Mix(s.lo) ^ uint64(s.rank))
}

// Options sets the size and the tombstone retention of a Map.
type Options struct {
	// Groups is the number of groups, and of buckets per group. It must be a power of two up to 256
	// and the same on all replicas.
	Groups int
	// Retention and MaxTombstones bound the tombstones; the oldest are dropped first. A replica that
	// was disconnected for longer may restore a deleted key.
	Retention     time.Duration
	MaxTombstones int
	// Horizon, if not 0, replaces both: a tombstone is kept while its Hi is at most Horizon below the
	// highest Hi of the map. Use it for versions that form one sequence over all keys.
	Horizon uint64
}

// Map is a last-writer-wins map. It is not safe for concurrent use.
type Map[V any] struct {
	opts       Options
	now        time.Time
	floor      uint64             // see SetFloor
	highest    uint64             // highest Hi of all entries ever applied
	live       int                // number of entries that are not tombstones
	buckets    [][]packedEntry[V] // each sorted by key
	leaves     []uint64           // per bucket: XOR of the hashes of its entries
	groups     []uint64           // per group: XOR of its leaves
	root       uint64             // XOR of the groups
	tombstones []tombstone        // by time
}

// tombstone is the retention entry of a deleted key. It is outdated if the key has a newer version.
type tombstone struct {
	key     string
	version Version
	at      time.Time
}

// New returns an empty map.
func New[V any](opts Options) *Map[V] {
	n := opts.Groups * opts.Groups
	return &Map[V]{opts: opts, buckets: make([][]packedEntry[V], n), leaves: make([]uint64, n), groups: make([]uint64, opts.Groups)}
}

// Len returns the number of live entries.
func (m *Map[V]) Len() int { return m.live }

// Tombstones returns the number of tombstones.
func (m *Map[V]) Tombstones() int { return len(m.tombstones) }

// Highest returns the highest Hi of all entries ever applied.
func (m *Map[V]) Highest() uint64 { return m.highest }

// Floor returns the floor set by SetFloor.
func (m *Map[V]) Floor() uint64 { return m.floor }

func (m *Map[V]) bucketOf(key string) int {
	return int(model.HashString(key) % uint64(len(m.buckets)))
}

// find returns the bucket of a key and the position of its entry in it, or the position at which to
// insert it.
func (m *Map[V]) find(key string) (bucket, pos int, found bool) {
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

// Advance sets the time that new tombstones are recorded with, and drops expired ones.
func (m *Map[V]) Advance(now time.Time) {
	m.now = now
	if m.opts.Horizon > 0 {
		return
	}
	n := 0
	for n < len(m.tombstones) && now.Sub(m.tombstones[n].at) >= m.opts.Retention {
		n++
	}
	m.dropTombstones(n)
}

func (m *Map[V]) dropTombstones(n int) {
	for _, t := range m.tombstones[:n] {
		m.dropTombstone(t)
	}
	m.tombstones = slices.Delete(m.tombstones, 0, n)
}

func (m *Map[V]) dropTombstone(t tombstone) {
	b, i, ok := m.find(t.key)
	if !ok || !m.buckets[b][i].deleted || m.buckets[b][i].version() != t.version {
		return
	}
	m.updateHashes(b, m.hash(&m.buckets[b][i]))
	m.buckets[b] = slices.Delete(m.buckets[b], i, i+1)
}

// beyondHorizon reports whether a tombstone with this Hi is older than the horizon allows.
func (m *Map[V]) beyondHorizon(hi uint64) bool {
	return m.opts.Horizon > 0 && m.highest > m.opts.Horizon && hi < m.highest-m.opts.Horizon
}

// trimTombstones drops the tombstones that exceed the limit or the horizon after an Apply.
func (m *Map[V]) trimTombstones() {
	if m.opts.Horizon == 0 {
		m.dropTombstones(max(0, len(m.tombstones)-m.opts.MaxTombstones))
		return
	}
	m.tombstones = slices.DeleteFunc(m.tombstones, func(t tombstone) bool {
		if m.beyondHorizon(t.version.Hi) {
			m.dropTombstone(t)
			return true
		}
		return false
	})
}

// Apply stores the entries that are newer than those of the map and returns what it stored. A key that
// is not live and whose new entry is at or below the floor was deleted before the floor: Apply stores
// and returns a tombstone instead, which corrects the sender.
func (m *Map[V]) Apply(entries ...Entry[V]) (changed []Entry[V]) {
	for _, e := range entries {
		b, i, found := m.find(e.Key)
		if found && e.Version.Compare(m.buckets[b][i].version()) <= 0 {
			continue
		}
		if !e.Deleted && e.Version.Hi <= m.floor && (!found || m.buckets[b][i].deleted) {
			e = Entry[V]{Key: e.Key, Version: Version{Hi: m.floor, Rank: RankDeleted}, Deleted: true}
		}
		if !found && e.Deleted && m.beyondHorizon(e.Version.Hi) {
			continue
		}
		m.store(b, i, found, e)
		changed = append(changed, e)
	}
	if len(changed) > 0 {
		m.trimTombstones()
	}
	return changed
}

func (m *Map[V]) store(b, i int, found bool, e Entry[V]) {
	if !found {
		if bucket := m.buckets[b]; len(bucket) == cap(bucket) {
			// Buckets are short: growing by a quarter wastes less memory than doubling.
			m.buckets[b] = append(make([]packedEntry[V], 0, len(bucket)+max(2, len(bucket)/4)), bucket...)
		}
		m.buckets[b] = slices.Insert(m.buckets[b], i, packedEntry[V]{key: e.Key, deleted: true})
	}
	s := &m.buckets[b][i]
	var diff uint64
	if found {
		diff = m.hash(s)
	}
	if !s.deleted {
		m.live--
	}
	s.hi, s.lo, s.rank = e.Version.Hi, e.Version.Lo, e.Version.Rank
	s.deleted, s.value = e.Deleted, e.Value
	if e.Deleted {
		m.tombstones = append(m.tombstones, tombstone{key: e.Key, version: e.Version, at: m.now})
	} else {
		m.live++
	}
	m.highest = max(m.highest, s.hi)
	m.updateHashes(b, diff^m.hash(s))
}

// updateHashes applies a change of a bucket's hash at all levels.
func (m *Map[V]) updateHashes(bucket int, diff uint64) {
	m.leaves[bucket] ^= diff
	m.groups[bucket/m.opts.Groups] ^= diff
	m.root ^= diff
}

// SetFloor applies the complete set of live entries as of version floor. Live keys at or below the
// floor that are not listed are deleted, and later entries at or below the floor for keys that are
// not live are rejected. A floor that is not above the current one only applies the entries.
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
