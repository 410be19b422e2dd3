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

// fakeStore is the platform's object store in virtual time.
type fakeStore struct {
	rev         uint64
	epoch       uint64                  // rises when the store is restored
	files       map[string]message.File // including removed files
	log         []message.File          // all changes, in order of their versions
	unreachable bool
	answerDelay time.Duration // of an answer or event
	calls       int
}

func (s *fakeStore) put(name, content string, removed bool) message.File {
	s.rev++
	f := message.File{Name: name, Version: s.rev, Removed: removed, Content: []byte(content)}
	s.files[name] = f
	s.log = append(s.log, f)
	return f
}

func (s *fakeStore) list() confsync.StoreList {
	l := confsync.StoreList{Rev: s.rev, Epoch: s.epoch}
	for _, f := range s.files {
		if !f.Removed {
			l.Files = append(l.Files, f)
		}
	}
	slices.SortFunc(l.Files, func(a, b message.File) int { return int(a.Version) - int(b.Version) })
	return l
}

func (s *fakeStore) removedAfter(name string, version uint64) bool {
	return slices.ContainsFunc(s.log[version:], func(f message.File) bool { return f.Name == name && f.Removed })
}

// fileNode is one node that keeps decision files, across its restarts.
type fileNode struct {
	*host
	core       filesCore
	ready      bool
	watching   bool
	watchedRev uint64 // events up to this version were delivered
	epoch      uint64 // of the store that it watches
	pending    []dueEvent
	newest     map[string]message.File // newest versions that were in force, including removals
	rev        uint64
	err        error
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

// fileFleet is a simulated deployment of fileNodes with one store.
type fileFleet struct {
	*sim
	store fakeStore
	nodes []*fileNode
}

func newFileFleet(seed uint64, n int) *fileFleet {
	f := &fileFleet{sim: newSim(seed)}
	f.store = fakeStore{epoch: 1, files: map[string]message.File{}, answerDelay: 5 * time.Millisecond}
	for i := range 20 {
		f.store.put(fmt.Sprintf("%02d-start.yaml", i), "start", false)
	}
	for i := range n {
		f.nodes = append(f.nodes, &fileNode{newest: map[string]message.File{}})
		f.start(i, n)
	}
	return f
}

func peerAt(i int) gossip.Peer {
	return gossip.NewPeer(model.NodeID(fmt.Sprintf("balancer-%03d", i)), dcs[i%len(dcs)], addrOf(i))
}

// start starts or restarts a node.
func (f *fileFleet) start(i, n int) {
	h, self := f.nodes[i], peerAt(i)
	h.core = confsync.New(confsync.Options{Self: self, Seed: f.rng.Uint64()})
	h.ready, h.watching, h.pending = false, false, nil
	h.host = &host{id: self.ID, dc: self.DC, addr: self.Addr, step: func(now time.Time, in *packet) []packet { return f.step(h, in) }}
	f.addHost(h.host)
	h.host = f.byAddr[h.addr]
	var peers []gossip.Peer
	for k := range n {
		peers = append(peers, peerAt(k))
	}
	h.pending = append(h.pending, dueEvent{f.now, confsync.PeersChanged{Peers: peers}})
}

func (f *fileFleet) step(h *fileNode, in *packet) []packet {
	if in != nil {
		return f.handle(h, confsync.Received{From: in.from, FromAddr: in.src, Msg: in.msg})
	}
	out := f.handle(h, confsync.Tick{})
	if h.watching && f.store.unreachable {
		h.watching = false
		out = append(out, f.handle(h, confsync.StoreLost{})...)
	}
	if h.watching && h.epoch != f.store.epoch { // the client lists again
		h.epoch, h.watchedRev = f.store.epoch, f.store.rev
		h.pending = append(h.pending, dueEvent{f.now.Add(f.store.answerDelay), f.store.list()})
	}
	if h.watching && h.watchedRev < f.store.rev {
		for _, file := range f.store.log[h.watchedRev:] {
			f.store.calls++ // each event needs a new watch request
			h.pending = append(h.pending, dueEvent{f.now.Add(f.store.answerDelay), confsync.StoreEvent{File: file, Epoch: f.store.epoch}})
		}
		h.watchedRev = f.store.rev
	}
	due := h.pending
	h.pending = nil
	for _, d := range due {
		if d.at.After(f.now) {
			h.pending = append(h.pending, d)
		} else {
			out = append(out, f.handle(h, d.ev)...)
		}
	}
	return out
}

func (f *fileFleet) handle(h *fileNode, ev confsync.Event) []packet {
	var out []packet
	for _, a := range h.core.Step(f.now, ev) {
		switch a := a.(type) {
		case confsync.Send:
			out = append(out, packet{dst: a.Addr, msg: a.Msg})
		case confsync.List:
			f.store.calls++
			var ev confsync.Event = confsync.StoreLost{}
			if !f.store.unreachable {
				ev = f.store.list()
			}
			h.pending = append(h.pending, dueEvent{f.now.Add(f.store.answerDelay), ev})
		case confsync.Watch:
			h.watching, h.watchedRev, h.epoch = true, a.From, a.Epoch
		case confsync.Restore:
			f.store.writeBack(a.Writes)
			list := f.store.list()
			list.Restored = true
			h.pending = append(h.pending, dueEvent{f.now.Add(f.store.answerDelay), list})
		case confsync.Unwatch:
			h.watching = false
		case confsync.FilesChanged:
			f.checkMonotonic(h, a)
		case confsync.Ready:
			h.ready = true
		}
	}
	return out
}

// checkMonotonic records an error if a file or the revision goes back to an older
// version, also across restarts of a node.
func (f *fileFleet) checkMonotonic(h *fileNode, c confsync.FilesChanged) {
	fail := func(name string, from, to uint64) {
		h.err = errors.Join(h.err, fmt.Errorf("%v: %s replaced %s by an older version: %d to %d", f.now.Sub(epoch), h.id, name, from, to))
	}
	if c.Rev < h.rev {
		fail("the revision", h.rev, c.Rev)
	}
	h.rev = c.Rev
	listed := map[string]bool{}
	for _, file := range c.Files {
		listed[file.Name] = true
		if old := h.newest[file.Name]; file.Version < old.Version {
			fail(file.Name, old.Version, file.Version)
		}
		h.newest[file.Name] = file
	}
	if h.ready {
		return
	}
	// The first change after a start lists all files. A missing file is an error
	// unless it was removed in the meantime.
	for name, old := range h.newest {
		if !listed[name] && !old.Removed && !f.store.removedAfter(name, old.Version) {
			fail(name, old.Version, 0)
		}
	}
}

// firstError returns the error of the first node on which a version went back.
func (f *fileFleet) firstError() error {
	for _, h := range f.nodes {
		if h.err != nil {
			return h.err
		}
	}
	return nil
}

// inForce reports whether all live nodes are ready and have the files of the store.
func (f *fileFleet) inForce() bool {
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

// push sends an accepted file to a few nodes, as ctl does.
func (f *fileFleet) push(file message.File, to ...int) {
	for _, i := range to {
		f.send(f.nodes[i].host, f.handle(f.nodes[i], confsync.Pushed{File: file}))
	}
}

// Guards against a change that the store accepted just before an outage and that
// does not reach all nodes within 3 s.
func TestHistoryChangeInForceWithStoreLost(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		f := newFileFleet(seed, 64)
		_, err := f.runUntil(10*time.Second, f.inForce)
		is.NoErr(err)
		for k := range 5 {
			file := f.store.put(fmt.Sprintf("%02d-start.yaml", k), "changed", k == 2)
			f.store.unreachable = true // before any watch reports the change
			f.push(file, 10+k, 20+k, 31+k)
			took, err := f.runUntil(3*time.Second, f.inForce)
			is.NoErr(err)
			t.Logf("seed %d: in force on 64 nodes after %v", seed, took)
			f.store.unreachable = false
			is.NoErr(f.run(2*time.Second, f.firstError))
		}
	}
}

// Guards against a file that goes back to an older version on any node while nodes
// restart, files change and are removed, the store is unreachable for ten minutes
// and then slow, and links are cut.
func TestHistoryNoFileVersionDecreases(t *testing.T) {
	for seed := range uint64(4) {
		is := is.New(t)
		f := newFileFleet(seed, 24)
		_, err := f.runUntil(10*time.Second, f.inForce)
		is.NoErr(err)
		within := func(d time.Duration, from, to time.Duration) bool { return d >= from && d < to }
		for d := time.Duration(0); d < 16*time.Minute; d += time.Second {
			f.store.unreachable = within(d, 2*time.Minute, 12*time.Minute)
			f.store.answerDelay = 5 * time.Millisecond
			if d > 12*time.Minute {
				f.store.answerDelay = 3 * time.Second
			}
			f.setCut("dc-b", dcs, within(d, 5*time.Minute, 8*time.Minute))
			if f.rng.IntN(4) == 0 && !f.store.unreachable {
				name := fmt.Sprintf("%02d-start.yaml", f.rng.IntN(25))
				file := f.store.put(name, fmt.Sprint("change at ", d), f.rng.IntN(3) == 0)
				if f.rng.IntN(2) == 0 { // otherwise only watches report it
					f.push(file, f.rng.IntN(24), f.rng.IntN(24), f.rng.IntN(24))
				}
			}
			if d == 11*time.Minute { // accepted while ctl and all watches cannot reach the store
				f.store.put("07-start.yaml", "", true)
			}
			if f.rng.IntN(5) == 0 {
				f.start(f.rng.IntN(24), 24)
			}
			is.NoErr(f.run(time.Second, nil))
			if err := f.firstError(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		f.store.answerDelay = 5 * time.Millisecond
		took, err := f.runUntil(20*time.Second, f.inForce)
		is.NoErr(err)
		t.Logf("seed %d: %d versions, equal on all nodes %v after the last change", seed, f.store.rev, took)
	}
}

// Guards against an older version restored after a restart by deltas that arrive
// late, twice or out of order.
func TestFaultOldDeltaAfterRestart(t *testing.T) {
	is := is.New(t)
	f := newFileFleet(9, 12)
	_, err := f.runUntil(10*time.Second, f.inForce)
	is.NoErr(err)
	old := f.store.put("50-old.yaml", "old", false)
	f.push(old, 3)
	_, err = f.runUntil(3*time.Second, f.inForce)
	is.NoErr(err)
	f.push(f.store.put("50-old.yaml", "", true), 4)
	_, err = f.runUntil(3*time.Second, f.inForce)
	is.NoErr(err)
	f.store.unreachable = true
	f.start(5, 12)
	_, err = f.runUntil(10*time.Second, f.inForce)
	is.NoErr(err)
	for range 3 {
		f.send(f.nodes[5].host, f.handle(f.nodes[5], confsync.Received{From: "balancer-001", FromAddr: addrOf(1), Msg: message.FileDelta{Files: []message.File{old}}}))
		is.NoErr(f.run(time.Second, f.firstError))
	}
	is.True(f.inForce())
}

// Guards against file content above the size limit that leaves the previous version
// in force on some nodes, and against a node that serves while no node has the files.
func TestFaultOversizeAndColdStart(t *testing.T) {
	is := is.New(t)
	f := newFileFleet(10, 6)
	f.store.unreachable = true
	is.NoErr(f.run(30*time.Second, nil))
	for _, h := range f.nodes {
		is.True(!h.ready) // all nodes started together without files
	}
	f.store.unreachable = false
	_, err := f.runUntil(40*time.Second, f.inForce)
	is.NoErr(err)
	f.push(f.store.put("05-start.yaml", string(make([]byte, confsync.MaxFile+1)), false), 0)
	_, err = f.runUntil(3*time.Second, f.inForce)
	is.NoErr(err)
	refused := 0
	for _, h := range f.nodes {
		got, _ := h.core.Files()
		is.Equal(len(got[5].Content), 0)
		refused += h.core.(*confsync.Sync).Oversize()
	}
	is.True(refused > 0)
}
