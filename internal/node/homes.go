package node

import (
	"sync"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/placement"
)

// keyHomes ranks the homes of idempotency keys for package front. It has its own
// placement table, because flows and requests are handled on different
// goroutines.
type keyHomes struct {
	mu    sync.Mutex
	table *placement.Table
}

func newKeyHomes(self model.NodeID, settle time.Duration) *keyHomes {
	return &keyHomes{table: placement.New(self, settle)}
}

// recordContact records that an observer acknowledged a heartbeat.
func (h *keyHomes) recordContact(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Contact(now)
}

// Apply replaces the view.
func (h *keyHomes) Apply(now time.Time, v model.ServiceView) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Apply(now, v)
}

// HomeSets implements keys.Homes.
func (h *keyHomes) HomeSets(now time.Time, hash uint64, n int) [][]model.NodeID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.HomeSets(now, hash, n)
}

// Settled implements keys.Homes.
func (h *keyHomes) Settled(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Settled(now)
}

// Fingerprint implements keys.Homes.
func (h *keyHomes) Fingerprint() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Fingerprint()
}
