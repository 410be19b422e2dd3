package config

import (
	"maps"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// shardCount splits each map so that one changed file copies about 0.4% of it:
// at 38,000 services 150 entries instead of all.
const shardCount = 256

// shards is an immutable map that is copied one shard at a time. The zero value
// is empty.
type shards[K comparable, V any] struct {
	parts [shardCount]map[K]V
}

func (s *shards[K, V]) get(hash uint64, k K) V { return s.parts[hash%shardCount][k] }

// each calls f for all entries in no particular order.
func (s *shards[K, V]) each(f func(K, V)) {
	for _, part := range s.parts {
		for k, v := range part {
			f(k, v)
		}
	}
}

// editor changes a copy of shards and copies each part at most once.
type editor[K comparable, V any] struct {
	*shards[K, V]
	copied [shardCount]bool
}

// edit returns an editor of a copy of s.
func edit[K comparable, V any](s *shards[K, V]) *editor[K, V] {
	c := *s
	return &editor[K, V]{shards: &c}
}

func (e *editor[K, V]) part(hash uint64) map[K]V {
	i := hash % shardCount
	if !e.copied[i] {
		if e.parts[i] == nil {
			e.parts[i] = make(map[K]V)
		} else {
			e.parts[i] = maps.Clone(e.parts[i])
		}
		e.copied[i] = true
	}
	return e.parts[i]
}

func (e *editor[K, V]) put(hash uint64, k K, v V) { e.part(hash)[k] = v }
func (e *editor[K, V]) remove(hash uint64, k K)   { delete(e.part(hash), k) }

func hashSubject(s Subject) uint64 { return model.HashString(s.Name) ^ uint64(s.Kind) }

func hashAddress(a model.ServiceAddr) uint64 {
	return model.Flow{Dst: a.Addr, Src: a.Addr, Proto: a.Proto}.Hash()
}
