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
	// MaxFile is the largest accepted file, in bytes: a batch of updates must fit a
	// datagram. A larger file is kept without content, so that every node refuses it
	// and no node keeps its previous version in force.
	MaxFile = 32 << 10

	fileGroups = 16 // 256 buckets
	// tombstoneVersions is the number of store versions for which the removal of a
	// file is kept: a week at 8,600 changes a day.
	tombstoneVersions = 1 << 16

	// listTimeout is the time after which an unanswered listing is requested again. It
	// doubles up to listTimeoutMax while the store does not answer.
	listTimeout    = 5 * time.Second
	listTimeoutMax = 30 * time.Second
	// relayListDelay is the delay of a relay after a listing failed. There are few relays,
	// and the other balancers of the data centre learn of changes from them.
	relayListDelay = time.Second
	// listMaxAge is the age up to which a watch may start at the version of a listing.
	// An older listing is requested again.
	listMaxAge = time.Minute
	// peerTimeout limits how long a node that has the store's listing waits for the
	// state of peers, which may be newer than a slow listing.
	peerTimeout = time.Second
	// storeTimeout limits how long a node that has the state of peers waits for the
	// store.
	storeTimeout           = 2 * time.Second
	readyPeersWithStore    = 2 // peers beside the store
	readyPeersWithoutStore = 3 // peers without the store
)

// Sync is the core that keeps the decision files of one balancer.
//
// A restarted node is ready, and its files come into force, when it has
//   - the store's listing, and the state of two peers, or of all if there are fewer; or
//   - the store's listing, and peerTimeout has passed without the state of such peers; or
//   - the state of three peers, or of all if there are fewer, and the store did not
//     answer for storeTimeout or is unreachable.
//
// A node has the state of a peer when the digests of their whole maps were equal
// and the peer was ready.
//
// The store's listing contains every change accepted before it was requested, so
// a node that reaches the store never goes back to an older version. Without the
// store, a node goes back only if all of its three peers lack a change that it had
// in force before its restart: the change had reached only a few nodes, and all of
// them crashed within the fraction of a second that a change takes to spread, while
// the store was unreachable.
//
// If all nodes restart while the store is unreachable, none is ready until the
// store is reachable again. If the store is restored from a copy, its epoch rises; nodes
// keep their files, and those that list the store write back what it lost. A removal is kept for the next 65,536 store versions; a
// node that listed the store after the removal keeps it without limit.
type Sync struct {
	opts    Options
	now     time.Time
	started time.Time

	files  *replica.Map[[]byte]
	queue  *gossip.Queue[message.File]
	repair *gossip.Repair[[]byte]
	peers  *gossip.Peers
	ready  bool

	storeLost       bool
	listReceived    bool          // since the start of the process
	listRev         uint64        // newest store version of a listing in epoch
	epoch           uint64        // of the store, of the last listing that was applied
	restoredAt      time.Time     // first listing of a later epoch, not applied yet
	listRequestedAt time.Time     // time of the last request for a listing
	listPending     bool          // the last request is not answered
	listRetryDelay  time.Duration // until the request is repeated
	listFailedAt    time.Time     // when the last request failed, zero if it did not
	watching        bool

	oversizeCount int
	changed       []message.File
	out           []Action
}

// New returns a core without files. It requests a listing on its first step.
func New(opts Options) *Sync {
	s := &Sync{
		opts:  opts,
		files: replica.New[[]byte](replica.Options{Groups: fileGroups, Horizon: tombstoneVersions}),
		queue: gossip.NewQueue(fileSize),
		peers: gossip.NewPeers(opts.Self, opts.Seed),
	}
	s.repair = gossip.NewRepair(message.MapFiles, s.files)
	s.listRetryDelay = listTimeout
	return s
}

func fileSize(f message.File) int { return 32 + len(f.Name) + len(f.Content) }

func entryFromFile(f message.File) replica.Entry[[]byte] {
	e := replica.Entry[[]byte]{Key: f.Name, Version: replica.Version{Hi: f.Version}, Value: f.Content}
	if f.Removed {
		e.Deleted, e.Value, e.Version.Rank = true, nil, replica.RankDeleted
	}
	return e
}

func fileFromEntry(e replica.Entry[[]byte]) message.File {
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
		out = append(out, fileFromEntry(e))
	}
	slices.SortFunc(out, compareNames)
	return out
}

func compareNames(a, b message.File) int { return cmp.Compare(a.Name, b.Name) }

// Oversize returns the number of files refused because they exceed MaxFile.
func (s *Sync) Oversize() int { return s.oversizeCount }

// Watching reports whether this node watches the store for its data centre.
func (s *Sync) Watching() bool { return s.watching }

// Step handles one event.
func (s *Sync) Step(now time.Time, ev Event) []Action {
	s.now, s.out = now, nil
	if s.started.IsZero() {
		s.started = now
		s.requestList()
	}
	switch e := ev.(type) {
	case StoreList:
		s.handleList(e)
	case StoreEvent:
		s.apply(ordered(e.Epoch, []message.File{e.File}), 0, true, true)
	case Pushed:
		s.apply(ordered(e.Epoch, []message.File{e.File}), 0, true, true)
	case StoreLost:
		s.storeLost, s.watching, s.listFailedAt = true, false, s.now
	case StoreBack:
		s.storeLost = false
		if s.peers.IsRelay() || !s.listReceived {
			s.requestList()
		}
	case Received:
		s.handleMessage(e)
	case PeersChanged:
		s.peers.Set(e.Peers)
	case Tick:
		s.tick()
	}
	s.finishStep()
	return s.out
}

func (s *Sync) requestList() {
	s.listPending, s.listRequestedAt, s.listFailedAt = true, s.now, time.Time{}
	s.out = append(s.out, List{})
}

// updateWatch starts or ends the watch. The relays of a data centre watch the
// store, so that changes reach the other data centres without an extra hop. A watch
// starts at the version of a listing.
func (s *Sync) updateWatch() {
	switch relay := s.peers.IsRelay(); {
	case !s.ready:
	case relay && !s.watching && s.listReceived && !s.listPending && !s.storeLost && s.now.Sub(s.listRequestedAt) < listMaxAge:
		s.watching = true
		s.out = append(s.out, Watch{From: s.listRev, Epoch: s.epoch})
	case relay && !s.watching && !s.listPending && !s.storeLost:
		s.requestList()
	case !relay && s.watching:
		s.watching = false
		s.out = append(s.out, Unwatch{})
	}
}

// apply stores files. If floor is not 0, files lists all files as of that version.
// queueUpdates spreads changes to peers; it is not set for the state that a
// starting node receives, because the others have it. If crossDC is set, changes
// also go to the other data centres.
func (s *Sync) apply(files []message.File, floor uint64, crossDC, queueUpdates bool) {
	entries := make([]replica.Entry[[]byte], 0, len(files))
	for _, f := range files {
		if f.Name == "" || f.Version == 0 {
			continue
		}
		if len(f.Content) > MaxFile {
			s.oversizeCount++
			f.Content = nil
		}
		entries = append(entries, entryFromFile(f))
	}
	var changed []replica.Entry[[]byte]
	if floor > 0 {
		changed = s.files.SetFloor(floor, entries...)
	} else {
		changed = s.files.Apply(entries...)
	}
	for _, e := range changed {
		f := fileFromEntry(e)
		s.changed = append(s.changed, f)
		if queueUpdates {
			s.queue.Add(f.Name, f, s.peers, crossDC)
		}
	}
}

func (s *Sync) handleMessage(e Received) {
	if e.From == s.opts.Self.ID {
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
	size := func(e replica.Entry[[]byte]) int { return fileSize(fileFromEntry(e)) }
	for _, batch := range s.files.Batches(buckets, gossip.DatagramBudget, size) {
		files := make([]message.File, len(batch))
		for i := range batch {
			files[i] = fileFromEntry(batch[i])
		}
		s.out = append(s.out, Send{To: e.From, Addr: e.FromAddr, Msg: message.FileDelta{Files: files}})
	}
}

func (s *Sync) tick() {
	s.files.Advance(s.now)
	unanswered := s.listPending || (s.storeLost && (!s.listReceived || s.peers.IsRelay()))
	switch {
	case !unanswered:
	case s.peers.IsRelay() && !s.listFailedAt.IsZero() && s.now.Sub(s.listFailedAt) >= relayListDelay:
		s.requestList()
	case s.now.Sub(s.listRequestedAt) >= s.listRetryDelay:
		s.listRetryDelay = min(2*s.listRetryDelay, listTimeoutMax)
		s.requestList()
	}
	for _, p := range s.repair.DuePeers(s.now, s.peers, func(model.DataCentre) bool { return false }) {
		s.out = append(s.out, Send{To: p.ID, Addr: p.Addr, Msg: s.repair.RootDigest()})
	}
}

// isReady applies the rule in the doc comment of Sync.
func (s *Sync) isReady() bool {
	others := s.peers.Count() - 1
	agreed := s.repair.AgreedPeers()
	if s.listReceived {
		return agreed >= min(readyPeersWithStore, others) || s.now.Sub(s.started) >= peerTimeout
	}
	storeSilent := s.storeLost || s.now.Sub(s.started) >= storeTimeout
	return storeSilent && others > 0 && agreed >= min(readyPeersWithoutStore, others)
}

// finishStep outputs the changes of the step: files in force, watch and messages.
func (s *Sync) finishStep() {
	if !s.ready && s.isReady() {
		s.ready = true
		s.repair.FinishJoin()
		all, rev := s.Files()
		s.out = append(s.out, FilesChanged{Files: all, Rev: rev}, Ready{})
		s.changed = nil
	}
	if s.ready && len(s.changed) > 0 {
		s.out = append(s.out, FilesChanged{Files: lastChanges(s.changed), Rev: s.files.Highest()})
	}
	s.changed = nil
	s.updateWatch()
	for _, b := range s.queue.Flush(s.now, s.peers) {
		for _, p := range b.To {
			s.out = append(s.out, Send{To: p.ID, Addr: p.Addr, Msg: message.FileDelta{Files: b.Entries}})
		}
	}
}

// lastChanges returns the last change of each file, in order of file names.
func lastChanges(files []message.File) []message.File {
	slices.SortStableFunc(files, compareNames)
	var out []message.File
	for i, f := range files {
		if i+1 == len(files) || files[i+1].Name != f.Name {
			out = append(out, f)
		}
	}
	return out
}
