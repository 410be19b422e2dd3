package config

import (
	"maps"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// shardCount is the number of shards of a map. With 256, one changed file copies about
// 0.4% of the entries: 150 of 38,000 services.
const shardCount = 256

// shardedMap is an immutable map. A modified copy shares all shards that are unchanged.
// The zero value is an empty map.
type shardedMap[K comparable, V any] struct {
	shards [shardCount]map[K]V
}

func (s *shardedMap[K, V]) get(hash uint64, k K) V { return s.shards[hash%shardCount][k] }

// each calls f for all entries, in no particular order.
func (s *shardedMap[K, V]) each(f func(K, V)) {
	for _, shard := range s.shards {
		for k, v := range shard {
			f(k, v)
		}
	}
}

// mapEditor modifies a copy of a shardedMap. It copies each shard before the first write.
type mapEditor[K comparable, V any] struct {
	*shardedMap[K, V]
	copied [shardCount]bool
}

// newMapEditor returns an editor for a copy of s.
func newMapEditor[K comparable, V any](s *shardedMap[K, V]) *mapEditor[K, V] {
	c := *s
	return &mapEditor[K, V]{shardedMap: &c}
}

// writableShard returns the shard of a hash and copies it first if it is still shared.
func (e *mapEditor[K, V]) writableShard(hash uint64) map[K]V {
	i := hash % shardCount
	if !e.copied[i] {
		if e.shards[i] == nil {
			e.shards[i] = make(map[K]V)
		} else {
			e.shards[i] = maps.Clone(e.shards[i])
		}
		e.copied[i] = true
	}
	return e.shards[i]
}

func (e *mapEditor[K, V]) put(hash uint64, k K, v V) { e.writableShard(hash)[k] = v }
func (e *mapEditor[K, V]) remove(hash uint64, k K)   { delete(e.writableShard(hash), k) }

func hashSubject(s Subject) uint64 { return model.HashString(s.Name) ^ uint64(s.Kind) }

func hashAddress(a model.ServiceAddr) uint64 {
	return model.Flow{Dst: a.Addr, Src: a.Addr, Proto: a.Proto}.Hash()
}
