package passnode

import (
	"sync"
	"time"
)

// viewConfig is the balancer's view of the configuration in the store.
const viewConfig = "configuration"

// views records up to when the views of the store are known to be complete. It is safe for
// concurrent use.
type views struct {
	mu   sync.Mutex
	asOf map[string]time.Time
}

func newViews() *views { return &views{asOf: make(map[string]time.Time)} }

// confirm records that a view contains every change that the store had accepted by asOf.
func (v *views) confirm(view string, asOf time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if asOf.After(v.asOf[view]) {
		v.asOf[view] = asOf
	}
}

// age returns the time since a view was last known to be complete, 0 if it has never been.
func (v *views) age(view string, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	asOf := v.asOf[view]
	if asOf.IsZero() {
		return 0
	}
	return now.Sub(asOf)
}
