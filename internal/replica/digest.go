package replica

// Digest summarises a map. Without Groups, Hashes has one hash of the whole map or one per group. With
// Groups, it has one per bucket of these groups.
type Digest struct {
	Groups []uint16
	Hashes []uint64
}

// maxGroups bounds the groups whose buckets are compared in one step, and with them the entries that
// one comparison sends.
const maxGroups = 8

// Digest returns the digest of the whole map: its root hash.
func (m *Map[V]) Digest() Digest { return Digest{Hashes: []uint64{m.root}} }

// Difference is the result of comparing a peer's digest with the map.
type Difference struct {
	Equal bool
	Next  *Digest  // finer digest that the peer compares next
	Send  []uint16 // buckets whose entries the peer may lack
	Pull  []uint16 // buckets whose entries the map may lack
}

// Diff compares a peer's digest with the map. start selects the first group to compare when more
// groups differ than fit one step, so that a new replica gets different parts from different peers.
// A digest of a different shape is never equal.
func (m *Map[V]) Diff(d Digest, start uint64) Difference {
	switch {
	case len(d.Groups) > 0:
		return m.diffBuckets(d)
	case len(d.Hashes) == 1:
		if d.Hashes[0] == m.root {
			return Difference{Equal: true}
		}
		return Difference{Next: &Digest{Hashes: append([]uint64(nil), m.groups...)}}
	case len(d.Hashes) == len(m.groups):
		return m.diffGroups(d.Hashes, start)
	}
	return Difference{}
}

// diffGroups returns the bucket hashes of the groups that differ, at most maxGroups.
func (m *Map[V]) diffGroups(hashes []uint64, start uint64) Difference {
	var next Digest
	n := len(m.groups)
	for k := range n {
		g := int((start + uint64(k)) % uint64(n))
		if hashes[g] == m.groups[g] {
			continue
		}
		next.Groups = append(next.Groups, uint16(g))
		next.Hashes = append(next.Hashes, m.leaves[g*n:(g+1)*n]...)
		if len(next.Groups) == maxGroups {
			break
		}
	}
	if next.Groups == nil {
		return Difference{Equal: true}
	}
	return Difference{Next: &next}
}

// diffBuckets returns the buckets that differ.
func (m *Map[V]) diffBuckets(d Digest) Difference {
	var out Difference
	n := len(m.groups)
	if len(d.Hashes) != len(d.Groups)*n {
		return out
	}
	out.Equal = true
	for i, g := range d.Groups {
		if int(g) >= n {
			return Difference{}
		}
		for j := range n {
			leaf := int(g)*n + j
			peerHash := d.Hashes[i*n+j]
			if peerHash == m.leaves[leaf] {
				continue
			}
			out.Equal = false
			if len(m.buckets[leaf]) > 0 {
				out.Send = append(out.Send, uint16(leaf))
			}
			// A bucket without live entries at the peer may hold a tombstone that the map lacks.
			out.Pull = append(out.Pull, uint16(leaf))
		}
	}
	return out
}

// Batches returns the entries of the buckets, tombstones included, in batches whose total size is at
// most budget. An entry above the budget forms a batch with no other entries.
func (m *Map[V]) Batches(buckets []uint16, budget int, size func(Entry[V]) int) [][]Entry[V] {
	var out [][]Entry[V]
	var batch []Entry[V]
	used := 0
	for _, b := range buckets {
		if int(b) >= len(m.buckets) {
			continue
		}
		for i := range m.buckets[b] {
			e := m.buckets[b][i].entry()
			n := size(e)
			if used+n > budget && len(batch) > 0 {
				out, batch, used = append(out, batch), nil, 0
			}
			batch, used = append(batch, e), used+n
		}
	}
	if len(batch) > 0 {
		out = append(out, batch)
	}
	return out
}
