package gossip_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/confsync"
	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/matryer/is"
)

// storeFake is the platform's object store in virtual time.
type storeFake struct {
	rev   uint64
	files map[string]message.File // with removed ones
	log   []message.File          // all changes, in order of their versions
	lost  bool
	delay time.Duration // of an answer or event
	calls int
}

func (s *storeFake) put(name, content string, removed bool) message.File {
	s.rev++
	f := message.File{Name: name, Version: s.rev, Removed: removed, Content: []byte(content)}
	s.files[name] = f
	s.log = append(s.log, f)
	return f
}

func (s *storeFake) list() confsync.StoreList {
	l := confsync.StoreList{Rev: s.rev}
	for _, f := range s.files {
		if !f.Removed {
			l.Files = append(l.Files, f)
		}
	}
	slices.SortFunc(l.Files, func(a, b message.File) int { return int(a.Version) - int(b.Version) })
	return l
}

func (s *storeFake) removedAfter(name string, version uint64) bool {
	return slices.ContainsFunc(s.log[version:], func(f message.File) bool { return f.Name == name && f.Removed })
}

// holder is one node that keeps decision files, over all its lives.
type holder struct {
	*host
	core    filesCore
	ready   bool
	watch   bool
	watched uint64 // events up to this version were given
	later   []dueEvent
	seen    map[string]message.File // the newest that was in force, with removals
	rev     uint64
	fault   error
}

// filesCore is a confsync.Sync or its baseline.
type filesCore interface {
	Step(now time.Time, ev confsync.Event) []confsync.Action
	Files() ([]message.File, uint64)
}

type dueEvent struct {
	at time.Time
	ev confsync.Event
}

type files struct {
	*sim
	store storeFake
	nodes []*holder
}

func newFiles(seed uint64, n int) *files {
	f := &files{sim: newSim(seed)}
	f.store = storeFake{files: map[string]message.File{}, delay: 5 * time.Millisecond}
	for i := range 20 {
		f.store.put(fmt.Sprintf("%02d-start.yaml", i), "start", false)
	}
	for i := range n {
		f.nodes = append(f.nodes, &holder{seen: map[string]message.File{}})
		f.start(i, n)
	}
	return f
}

func peerAt(i int) gossip.Peer {
	return gossip.NewPeer(model.NodeID(fmt.Sprintf("balancer-%03d", i)), dcs[i%len(dcs)], addrOf(i))
}

// start begins a new life of a node.
func (f *files) start(i, n int) {
	h, self := f.nodes[i], peerAt(i)
	h.core = confsync.New(confsync.Options{Self: self, Seed: f.rng.Uint64()})
	h.ready, h.watch, h.later = false, false, nil
	h.host = &host{id: self.ID, dc: self.DC, addr: self.Addr, step: func(now time.Time, in *packet) []packet { return f.step(h, in) }}
	f.add(h.host)
	h.host = f.byAddr[h.addr]
	var peers []gossip.Peer
	for k := range n {
		peers = append(peers, peerAt(k))
	}
	h.later = append(h.later, dueEvent{f.now, confsync.PeersChanged{Peers: peers}})
}

func (f *files) step(h *holder, in *packet) []packet {
	if in != nil {
		return f.handle(h, confsync.Received{From: in.from, FromAddr: in.src, Msg: in.msg})
	}
	out := f.handle(h, confsync.Tick{})
	if h.watch && f.store.lost {
		h.watch = false
		out = append(out, f.handle(h, confsync.StoreLost{})...)
	}
	if h.watch && h.watched < f.store.rev {
		for _, file := range f.store.log[h.watched:] {
			f.store.calls++ // the watch is asked for again
			h.later = append(h.later, dueEvent{f.now.Add(f.store.delay), confsync.StoreEvent{File: file}})
		}
		h.watched = f.store.rev
	}
	due := h.later
	h.later = nil
	for _, d := range due {
		if d.at.After(f.now) {
			h.later = append(h.later, d)
		} else {
			out = append(out, f.handle(h, d.ev)...)
		}
	}
	return out
}

func (f *files) handle(h *holder, ev confsync.Event) []packet {
	var out []packet
	for _, a := range h.core.Step(f.now, ev) {
		switch a := a.(type) {
		case confsync.Send:
			out = append(out, packet{dst: a.Addr, msg: a.Msg})
		case confsync.List:
			f.store.calls++
			var ev confsync.Event = confsync.StoreLost{}
			if !f.store.lost {
				ev = f.store.list()
			}
			h.later = append(h.later, dueEvent{f.now.Add(f.store.delay), ev})
		case confsync.Watch:
			h.watch, h.watched = true, a.From
		case confsync.Unwatch:
			h.watch = false
		case confsync.FilesChanged:
			f.record(h, a)
		case confsync.Ready:
			h.ready = true
		}
	}
	return out
}

// record checks that no file and no revision goes back, over all lives of a node.
func (f *files) record(h *holder, c confsync.FilesChanged) {
	fail := func(name string, from, to uint64) {
		h.fault = errors.Join(h.fault, fmt.Errorf("%v: %s took %s back from version %d to %d", f.now.Sub(epoch), h.id, name, from, to))
	}
	if c.Rev < h.rev {
		fail("the revision", h.rev, c.Rev)
	}
	h.rev = c.Rev
	given := map[string]bool{}
	for _, file := range c.Files {
		given[file.Name] = true
		if old := h.seen[file.Name]; file.Version < old.Version {
			fail(file.Name, old.Version, file.Version)
		}
		h.seen[file.Name] = file
	}
	if h.ready {
		return
	}
	// The first change of a life lists all files: one that is missing was removed
	// later, or it went back.
	for name, old := range h.seen {
		if !given[name] && !old.Removed && !f.store.removedAfter(name, old.Version) {
			fail(name, old.Version, 0)
		}
	}
}

// check reports what went back.
func (f *files) check() error {
	for _, h := range f.nodes {
		if h.fault != nil {
			return h.fault
		}
	}
	return nil
}

// inForce reports whether all live nodes are ready and hold what the store holds.
func (f *files) inForce() bool {
	want := 0
	for _, file := range f.store.files {
		if !file.Removed {
			want++
		}
	}
	for _, h := range f.nodes {
		if h.down {
			continue
		}
		got, rev := h.core.Files()
		if !h.ready || len(got) != want || rev != f.store.rev {
			return false
		}
		for _, file := range got {
			if f.store.files[file.Name].Version != file.Version {
				return false
			}
		}
	}
	return true
}

// push gives an accepted file to a few nodes, as ctl does.
func (f *files) push(file message.File, to ...int) {
	for _, i := range to {
		f.send(f.nodes[i].host, f.handle(f.nodes[i], confsync.Pushed{File: file}))
	}
}

// Guards against a change that was accepted just before a store outage and that
// does not reach all nodes in 3 s.
func TestHistoryChangeInForceWithStoreLost(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		f := newFiles(seed, 64)
		_, err := f.until(10*time.Second, f.inForce)
		is.NoErr(err)
		for k := range 5 {
			file := f.store.put(fmt.Sprintf("%02d-start.yaml", k), "changed", k == 2)
			f.store.lost = true // before any watcher saw the change
			f.push(file, 10+k, 20+k, 31+k)
			took, err := f.until(3*time.Second, f.inForce)
			is.NoErr(err)
			t.Logf("seed %d: in force on 64 nodes after %v", seed, took)
			f.store.lost = false
			is.NoErr(f.run(2*time.Second, f.check))
		}
	}
}

// Guards against a file that goes back on any node while nodes restart, changes
// come and go, the store is lost for ten minutes and then slow, and links are cut.
func TestHistoryNoNodeGoesBack(t *testing.T) {
	for seed := range uint64(4) {
		is := is.New(t)
		f := newFiles(seed, 24)
		_, err := f.until(10*time.Second, f.inForce)
		is.NoErr(err)
		at := func(d time.Duration, from, to time.Duration) bool { return d >= from && d < to }
		for d := time.Duration(0); d < 16*time.Minute; d += time.Second {
			f.store.lost = at(d, 2*time.Minute, 12*time.Minute)
			f.store.delay = 5 * time.Millisecond
			if d > 12*time.Minute {
				f.store.delay = 3 * time.Second
			}
			f.setCut("dc-b", dcs, at(d, 5*time.Minute, 8*time.Minute))
			if f.rng.IntN(4) == 0 && !f.store.lost {
				name := fmt.Sprintf("%02d-start.yaml", f.rng.IntN(25))
				file := f.store.put(name, fmt.Sprint("change at ", d), f.rng.IntN(3) == 0)
				if f.rng.IntN(2) == 0 { // the rest only through the watchers
					f.push(file, f.rng.IntN(24), f.rng.IntN(24), f.rng.IntN(24))
				}
			}
			if d == 11*time.Minute { // accepted while ctl and all watches lost the store
				f.store.put("07-start.yaml", "", true)
			}
			if f.rng.IntN(5) == 0 {
				f.start(f.rng.IntN(24), 24)
			}
			is.NoErr(f.run(time.Second, nil))
			if err := f.check(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		f.store.delay = 5 * time.Millisecond
		took, err := f.until(20*time.Second, f.inForce)
		is.NoErr(err)
		t.Logf("seed %d: %d versions, equal everywhere %v after the end", seed, f.store.rev, took)
	}
}

// Guards against deltas that come late, twice or out of order, after a restart.
func TestFaultOldDeltaAfterRestart(t *testing.T) {
	is := is.New(t)
	f := newFiles(9, 12)
	_, err := f.until(10*time.Second, f.inForce)
	is.NoErr(err)
	old := f.store.put("50-old.yaml", "old", false)
	f.push(old, 3)
	_, err = f.until(3*time.Second, f.inForce)
	is.NoErr(err)
	f.push(f.store.put("50-old.yaml", "", true), 4)
	_, err = f.until(3*time.Second, f.inForce)
	is.NoErr(err)
	f.store.lost = true
	f.start(5, 12)
	_, err = f.until(10*time.Second, f.inForce)
	is.NoErr(err)
	for range 3 {
		f.send(f.nodes[5].host, f.handle(f.nodes[5], confsync.Received{From: "balancer-001", FromAddr: addrOf(1), Msg: message.FileDelta{Files: []message.File{old}}}))
		is.NoErr(f.run(time.Second, f.check))
	}
	is.True(f.inForce())
}

// Guards against a content above the limit that keeps the previous version in
// force on some nodes, and against a node that serves while nobody has the files.
func TestFaultOversizeAndColdStart(t *testing.T) {
	is := is.New(t)
	f := newFiles(10, 6)
	f.store.lost = true
	is.NoErr(f.run(30*time.Second, nil))
	for _, h := range f.nodes {
		is.True(!h.ready) // all started together, and none has the files
	}
	f.store.lost = false
	_, err := f.until(40*time.Second, f.inForce)
	is.NoErr(err)
	f.push(f.store.put("05-start.yaml", string(make([]byte, confsync.MaxFile+1)), false), 0)
	_, err = f.until(3*time.Second, f.inForce)
	is.NoErr(err)
	refused := 0
	for _, h := range f.nodes {
		got, _ := h.core.Files()
		is.Equal(len(got[5].Content), 0)
		refused += h.core.(*confsync.Sync).Oversize()
	}
	is.True(refused > 0)
}
