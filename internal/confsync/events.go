// Package confsync implements the core with which each balancer replicates the
// decision files: which balancers watch the store, how files spread between
// balancers, and when a restarted balancer has the complete state. No file goes
// back to an older version; see Sync for the rule and its limits.
package confsync

import (
	"net/netip"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/gossip"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Options of a Sync.
type Options struct {
	Self gossip.Peer
	Seed uint64 // of the random choice of peers
}

// Event is an input of Sync.
type Event interface{ event() }

// StoreList is the complete answer to a List action: all files as of the store
// version Rev in an epoch of the store.
type StoreList struct {
	Rev   uint64
	Epoch uint64
	Files []message.File
	// Restored is set if the listing followed the writes of a Restore action.
	Restored bool
}

// StoreEvent is one change reported by a watch. The version of a removal is the
// one at which the file was removed.
type StoreEvent struct {
	File  message.File
	Epoch uint64
}

// StoreLost reports that the store does not answer or that the watch ended.
type StoreLost struct{}

// StoreBack reports that the store answers again.
type StoreBack struct{}

// Received is a FileDelta, Digest or Pull from a peer. Other messages are ignored.
type Received struct {
	From     model.NodeID
	FromAddr netip.AddrPort
	Msg      message.Message
}

// Pushed is a file that the store accepted and that ctl pushed with its store version.
type Pushed struct {
	File  message.File
	Epoch uint64
}

// PeersChanged lists the live balancers; see membership.PeersChanged.
type PeersChanged struct{ Peers []gossip.Peer }

// Tick advances time. It is required at least every 50 ms.
type Tick struct{}

func (StoreList) event()    {}
func (StoreEvent) event()   {}
func (StoreLost) event()    {}
func (StoreBack) event()    {}
func (Received) event()     {}
func (Pushed) event()       {}
func (PeersChanged) event() {}
func (Tick) event()         {}

// Action is an output of Sync.
type Action interface{ action() }

// List requests one listing of all files.
type List struct{}

// Watch requests all changes after store version From of an epoch, until Unwatch or
// StoreLost.
type Watch struct {
	From  uint64
	Epoch uint64
}

// Restore requests the writes of files that the store lost when it was restored from a
// copy, and a listing after them, or StoreLost.
type Restore struct{ Writes []config.FileWrite }

// Unwatch ends the watch.
type Unwatch struct{}

// Send sends a message to a peer.
type Send struct {
	To   model.NodeID
	Addr netip.AddrPort
	Msg  message.Message
}

// FilesChanged lists the files whose version in force changed, in order of their
// names, including removed ones. Rev is the newest version that the node has.
type FilesChanged struct {
	Files []message.File
	Rev   uint64
}

// Ready reports, once, that the balancer has the complete state. The first
// FilesChanged precedes it and lists all files.
type Ready struct{}

func (List) action()         {}
func (Watch) action()        {}
func (Restore) action()      {}
func (Unwatch) action()      {}
func (Send) action()         {}
func (FilesChanged) action() {}
func (Ready) action()        {}
