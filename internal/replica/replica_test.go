package replica

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testOptions = Options{Groups: 4, Retention: time.Hour, MaxTombstones: 1000}

func randomEntries(rng *rand.Rand, n int) []Entry[int] {
	out := make([]Entry[int], n)
	for i := range out {
		v := Version{Hi: rng.Uint64N(20), Lo: rng.Uint64N(3)}
		// Equal versions have equal values, as when one owner writes the key.
		out[i] = Entry[int]{Key: fmt.Sprint("k", rng.IntN(30)), Version: v, Deleted: v.Hi%5 == 4, Value: int(v.Hi*3 + v.Lo)}
		if out[i].Deleted {
			out[i].Value = 0
		}
	}
	return out
}

func liveEntries(m *Map[int]) string {
	s := ""
	for e := range m.All() {
		s += fmt.Sprintf("%s=%d@%v ", e.Key, e.Value, e.Version)
	}
	return s
}

// Guards against a state that depends on the order or the number of deliveries.
func TestHistoryOrderAndRepeatsGiveOneResult(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		all := randomEntries(rng, 200)
		a, b := New[int](testOptions), New[int](testOptions)
		a.Apply(all...)
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		b.Apply(all...)
		b.Apply(all[:50]...)
		is.Equal(liveEntries(a), liveEntries(b))
		is.Equal(a.Digest(), b.Digest())
		fresh := New[int](testOptions)
		for e := range a.All() {
			fresh.Apply(e)
		}
		is.Equal(fresh.Digest(), a.Digest()) // the incremental digest equals one built from scratch
	}
}

// repair runs one digest exchange between a and b, started by a.
func repair(a, b *Map[int]) {
	d := a.Digest()
	for range 20 {
		diff := b.Diff(d, 0)
		for _, batch := range b.Batches(diff.Send, 200, func(Entry[int]) int { return 50 }) {
			a.Apply(batch...)
		}
		for _, batch := range a.Batches(diff.Pull, 200, func(Entry[int]) int { return 50 }) {
			b.Apply(batch...)
		}
		if diff.Next == nil {
			return
		}
		a, b, d = b, a, *diff.Next
	}
}

// Guards against differences that the digest exchange does not find or repair.
func TestHistoryDigestExchangeRepairs(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 2))
		a, b := New[int](testOptions), New[int](testOptions)
		for _, e := range randomEntries(rng, 200) {
			if rng.IntN(3) > 0 {
				a.Apply(e)
			}
			if rng.IntN(3) > 0 {
				b.Apply(e)
			}
		}
		for range 4 { // an exchange compares up to 8 groups, more than the map has
			repair(a, b)
		}
		is.Equal(liveEntries(a), liveEntries(b))
		is.Equal(a.Digest(), b.Digest())
	}
}

// Guards against an old delta that restores a key deleted before the floor, and against a floor that
// deletes newer or listed keys.
func TestFaultOldDeltaAfterFloor(t *testing.T) {
	is := is.New(t)
	m := New[int](testOptions)
	m.Apply(Entry[int]{Key: "stale", Version: Version{Hi: 3}}, Entry[int]{Key: "newer", Version: Version{Hi: 12}})
	changed := m.SetFloor(10, Entry[int]{Key: "listed", Version: Version{Hi: 4}, Value: 1})
	is.Equal(len(changed), 2)
	is.Equal(m.Len(), 2) // listed and newer
	for _, key := range []string{"stale", "never"} {
		corrections := m.Apply(Entry[int]{Key: key, Version: Version{Hi: 9}})
		is.True(len(corrections) == 0 || corrections[0].Deleted) // the sender is corrected, the key stays deleted
		is.True(m.Len() == 2)
	}
	is.Equal(len(m.Apply(Entry[int]{Key: "stale", Version: Version{Hi: 11}})), 1)
}

// Guards against unbounded tombstones, and against tombstones that expire early.
func TestFaultTombstonesAreBounded(t *testing.T) {
	is := is.New(t)
	m := New[int](Options{Groups: 4, Retention: time.Hour, MaxTombstones: 100})
	start := time.Unix(1000, 0)
	m.Advance(start)
	for i := range 300 {
		m.Apply(Entry[int]{Key: fmt.Sprint(i), Version: Version{Hi: 2}, Deleted: true})
	}
	is.Equal(m.Tombstones(), 100)
	is.Equal(len(m.Apply(Entry[int]{Key: "299", Version: Version{Hi: 1}})), 0)
	m.Advance(start.Add(time.Hour - 1))
	is.Equal(m.Tombstones(), 100)
	m.Advance(start.Add(time.Hour))
	is.Equal(m.Tombstones(), 0)
	_, found := m.Get("299")
	is.True(!found)
}

// BenchmarkMemory reports the memory of the map per entry at 59,000 targets, with an empty value and
// 22-byte keys, whose strings are not counted.
func BenchmarkMemory(b *testing.B) {
	const n = 59000
	entries := make([]Entry[struct{}], n)
	for i := range entries {
		entries[i] = Entry[struct{}]{Key: fmt.Sprintf("dk-east-a-agent-%06d", i), Version: Version{Hi: 1}}
	}
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := New[struct{}](Options{Groups: 64, Retention: time.Hour, MaxTombstones: 1000})
		m.Apply(entries...)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/entry")
		runtime.KeepAlive(m)
	}
	runtime.KeepAlive(entries)
}
