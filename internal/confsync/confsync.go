package confsync

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/replica"
)

const (
	// MaxFile is the largest file that is accepted: a batch of updates must fit a
	// datagram. A larger file is kept without content, so that it is refused on
	// every node alike and its previous version does not stay in force on some.
	MaxFile = 32 << 10

	fileGroups = 16 // 256 buckets
	// horizon is the number of store versions for which a removed file is
	// remembered: a week at 8,600 changes a day.
	horizon = 1 << 16

	// listTimeout is how long a listing may take before it is asked for again;
	// it doubles up to listTimeoutMax while the store does not answer.
	listTimeout    = 5 * time.Second
	listTimeoutMax = 30 * time.Second
	// A watch may start at a listing that is not older than this.
	listFresh = time.Minute
	// peerWait is how long a node that has the store's listing waits for peers,
	// which may be newer than a slow listing.
	peerWait = time.Second
	// storeWait is how long a node that has the state of peers waits for the store.
	storeWait = 2 * time.Second
	readyWith = 2 // peers beside the store
	readyOnly = 3 // peers without the store
)

// Sync is the core of one balancer's decision files.
//
// A restarted node is ready, and its files come into force, when it has
//   - the store's listing, and the state of two peers or all if fewer; or
//   - the store's listing, and peerWait has passed without such peers; or
//   - the state of three peers, or all if fewer, and the store did not answer for
//     storeWait or is lost.
//
// Only peers that are ready count, and a peer counts when the digests of both
// whole maps were equal. The store's listing holds every change accepted before
// it was asked for, so with the store no node goes back. Without the store a
// node could go back only if every one of its three peers lacks a change that
// the node had in force before its restart: a change that reached no more than a
// few nodes, all of which died within the fraction of a second that the change
// needs to spread, while the store was down. If all nodes die while the store is
// down, none is ready until the store is back. A store that is restored to
// smaller versions is not followed. A removal is remembered for the next 65,536
// store versions, and without limit by a node that listed the store after it.
type Sync struct {
	opt     Options
	now     time.Time
	started time.Time

	files  *replica.Map[[]byte]
	queue  *gossip.Queue[message.File]
	repair *gossip.Repair[[]byte]
	peers  *gossip.Peers
	ready  bool

	storeLost bool
	listed    bool          // a listing was received in this life
	listRev   uint64        // its version
	listAt    time.Time     // when the last listing was asked for
	listing   bool          // it is not answered
	listWait  time.Duration // until the next try
	watching  bool

	oversize int
	changed  []message.File
	out      []Action
}

// New returns a core without files. It asks for a listing on its first step.
func New(opt Options) *Sync {
	s := &Sync{
		opt:   opt,
		files: replica.New[[]byte](replica.Options{Groups: fileGroups, Horizon: horizon}),
		queue: gossip.NewQueue(fileSize),
		peers: gossip.NewPeers(opt.Self, opt.Seed),
	}
	s.repair = gossip.NewRepair(message.MapFiles, s.files)
	s.listWait = listTimeout
	return s
}

func fileSize(f message.File) int { return 32 + len(f.Name) + len(f.Content) }

func entryOf(f message.File) replica.Entry[[]byte] {
	e := replica.Entry[[]byte]{Key: f.Name, Version: replica.Version{Hi: f.Version}, Value: f.Content}
	if f.Removed {
		e.Deleted, e.Value, e.Version.Rank = true, nil, replica.RankDeleted
	}
	return e
}

func fileOf(e replica.Entry[[]byte]) message.File {
	return message.File{Name: e.Key, Version: e.Version.Hi, Removed: e.Deleted, Content: e.Value}
}

// Files returns the files in force, in order of their names, and the newest version.
func (s *Sync) Files() ([]message.File, uint64) {
	if !s.ready {
		return nil, 0
	}
	return liveFiles(s.files), s.files.Highest()
}

func liveFiles(m *replica.Map[[]byte]) []message.File {
	var out []message.File
	for e := range m.All() {
		out = append(out, fileOf(e))
	}
	slices.SortFunc(out, byName)
	return out
}

func byName(a, b message.File) int { return cmp.Compare(a.Name, b.Name) }

// Oversize counts the contents refused because they are above MaxFile.
func (s *Sync) Oversize() int { return s.oversize }

// Watching tells whether this node watches the store for its data centre.
func (s *Sync) Watching() bool { return s.watching }

// Step handles one event.
func (s *Sync) Step(now time.Time, ev Event) []Action {
	s.now, s.out = now, nil
	if s.started.IsZero() {
		s.started = now
		s.list()
	}
	switch e := ev.(type) {
	case StoreList:
		s.onList(e)
	case StoreEvent:
		s.apply([]message.File{e.File}, 0, true, true)
	case Pushed:
		s.apply([]message.File{e.File}, 0, true, true)
	case StoreLost:
		s.storeLost, s.watching = true, false
	case StoreBack:
		s.storeLost = false
		if s.peers.IsRelay() || !s.listed {
			s.list()
		}
	case Received:
		s.received(e)
	case PeersChanged:
		s.peers.Set(e.Peers)
	case Tick:
		s.tick()
	}
	s.finish()
	return s.out
}

func (s *Sync) list() {
	s.listing, s.listAt = true, s.now
	s.out = append(s.out, List{})
}

// chooseWatcher starts or ends the watch: the relays of a data centre watch the
// store, so that what they see goes to the other data centres without a detour.
// A watch begins at the version of a listing.
func (s *Sync) chooseWatcher() {
	switch relay := s.peers.IsRelay(); {
	case !s.ready:
	case relay && !s.watching && s.listed && !s.listing && !s.storeLost && s.now.Sub(s.listAt) < listFresh:
		s.watching = true
		s.out = append(s.out, Watch{From: s.listRev})
	case relay && !s.watching && !s.listing && !s.storeLost:
		s.list()
	case !relay && s.watching:
		s.watching = false
		s.out = append(s.out, Unwatch{})
	}
}

func (s *Sync) onList(e StoreList) {
	s.listing, s.listed, s.storeLost = false, true, false
	s.listRev, s.listWait = max(s.listRev, e.Rev), listTimeout
	s.apply(e.Files, e.Rev, true, s.ready)
}

// apply takes over files. floor is the version as of which they are all files
// there are, or 0. spread is not set for what a starting node takes over: the
// others have it. crossing updates go to the other data centres too.
func (s *Sync) apply(files []message.File, floor uint64, crossing, spread bool) {
	entries := make([]replica.Entry[[]byte], 0, len(files))
	for _, f := range files {
		if f.Name == "" || f.Version == 0 {
			continue
		}
		if len(f.Content) > MaxFile {
			s.oversize++
			f.Content = nil
		}
		entries = append(entries, entryOf(f))
	}
	var changed []replica.Entry[[]byte]
	if floor > 0 {
		changed = s.files.SetFloor(floor, entries...)
	} else {
		changed = s.files.Apply(entries...)
	}
	for _, e := range changed {
		f := fileOf(e)
		s.changed = append(s.changed, f)
		if spread {
			s.queue.Add(f.Name, f, s.peers, crossing)
		}
	}
}

func (s *Sync) received(e Received) {
	if e.From == s.opt.Self.ID {
		return
	}
	switch m := e.Msg.(type) {
	case message.FileDelta:
		local := slices.ContainsFunc(s.peers.Local(), func(p gossip.Peer) bool { return p.ID == e.From })
		s.apply(m.Files, m.Floor, local, s.ready)
	case message.Digest:
		if m.Map != message.MapFiles {
			return
		}
		reply, buckets := s.repair.HandleDigest(e.From, m, s.peers)
		for _, msg := range reply {
			s.out = append(s.out, Send{To: e.From, Addr: e.FromAddr, Msg: msg})
		}
		s.sendBuckets(e, buckets)
	case message.Pull:
		if m.Map == message.MapFiles {
			s.sendBuckets(e, m.Buckets)
		}
	}
}

func (s *Sync) sendBuckets(e Received, buckets []uint16) {
	size := func(e replica.Entry[[]byte]) int { return fileSize(fileOf(e)) }
	for _, batch := range s.files.Batches(buckets, gossip.DatagramBudget, size) {
		files := make([]message.File, len(batch))
		for i := range batch {
			files[i] = fileOf(batch[i])
		}
		s.out = append(s.out, Send{To: e.From, Addr: e.FromAddr, Msg: message.FileDelta{Files: files}})
	}
}

func (s *Sync) tick() {
	s.files.Advance(s.now)
	unanswered := s.listing || (s.storeLost && (!s.listed || s.peers.IsRelay()))
	if unanswered && s.now.Sub(s.listAt) >= s.listWait {
		s.listWait = min(2*s.listWait, listTimeoutMax)
		s.list()
	}
	for _, p := range s.repair.DuePeers(s.now, s.peers, func(model.DataCentre) bool { return false }) {
		s.out = append(s.out, Send{To: p.ID, Addr: p.Addr, Msg: s.repair.RootDigest()})
	}
}

// isReady applies the rule given at Sync.
func (s *Sync) isReady() bool {
	others := s.peers.Count() - 1
	agreed := s.repair.AgreedPeers()
	if s.listed {
		return agreed >= min(readyWith, others) || s.now.Sub(s.started) >= peerWait
	}
	storeSilent := s.storeLost || s.now.Sub(s.started) >= storeWait
	return storeSilent && others > 0 && agreed >= min(readyOnly, others)
}

// finish reports and sends what the step changed.
func (s *Sync) finish() {
	if !s.ready && s.isReady() {
		s.ready = true
		s.repair.FinishJoin()
		all, rev := s.Files()
		s.out = append(s.out, FilesChanged{Files: all, Rev: rev}, Ready{})
		s.changed = nil
	}
	if s.ready && len(s.changed) > 0 {
		s.out = append(s.out, FilesChanged{Files: newestOf(s.changed), Rev: s.files.Highest()})
	}
	s.changed = nil
	s.chooseWatcher()
	for _, b := range s.queue.Flush(s.now, s.peers) {
		for _, p := range b.To {
			s.out = append(s.out, Send{To: p.ID, Addr: p.Addr, Msg: message.FileDelta{Files: b.Entries}})
		}
	}
}

// newestOf returns the last change of each file, in order of their names.
func newestOf(files []message.File) []message.File {
	slices.SortStableFunc(files, byName)
	var out []message.File
	for i, f := range files {
		if i+1 == len(files) || files[i+1].Name != f.Name {
			out = append(out, f)
		}
	}
	return out
}
