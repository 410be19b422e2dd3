package steer

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/storeapi"
)

// The store may be restored from a copy that is some seconds old. It then lacks objects
// that agents have written since, and lists those of agents that have removed theirs.
// Its epoch rises by one. Balancers learn of it from any response of the store and from
// each other's hellos. The readers list the agents at once and tell those that are
// missing, which write their objects again.
const (
	// restoredListingDelay is the time from a restoration of the store until listings are
	// complete again: until a reader notices it and until the agents have written.
	restoredListingDelay = 3 * time.Second
	// restoredDecisionsDelay is the time from a restoration of the store until decision files
	// that are read from it need no confirmation: the readers have written lost files again.
	restoredDecisionsDelay = 30 * time.Second
	// restoreDecisionsAfter is the time from the first knowledge of a restoration after which
	// a balancer writes lost decision files again: until hellos of all others have arrived, so
	// that one that was paused or cut off does not write files that were removed meanwhile.
	restoreDecisionsAfter = peerHelloInterval + 200*time.Millisecond
	// unlistedHelloPeriod is how long after a listing hellos tell agents that they are not
	// in it. It spans two listings of a reader.
	unlistedHelloPeriod = 5 * time.Second
	// maxEpochAge limits the age of an epoch in hellos.
	maxEpochAge = time.Hour
)

// storeHistory is what a balancer knows about restorations of the store.
type storeHistory struct {
	epoch       uint64    // highest epoch of the store, 0 if it is not known
	epochSince  time.Time // when any balancer first knew it; zero if the store was never restored
	learnedAt   time.Time // when this balancer first knew it
	listedEpoch uint64    // of the last listing of the agents
	listedAt    time.Time // when it was received
}

// SetStoreEpoch records the epoch of a response of the store.
func (c *Core) SetStoreEpoch(now time.Time, epoch uint64) []Action {
	c.actions = c.actions[:0]
	c.setStoreEpoch(now, epoch, 0, "store")
	return c.actions
}

// setStoreEpoch records an epoch that the source has known for a time.
func (c *Core) setStoreEpoch(now time.Time, epoch uint64, known time.Duration, source string) {
	since := now.Add(-known)
	switch {
	case epoch < c.store.epoch:
	case epoch == c.store.epoch:
		if since.Before(c.store.epochSince) {
			c.store.epochSince = since
		}
	case epoch <= storeapi.FirstEpoch:
		c.store.epoch = epoch
	default:
		event := "store_restored"
		if c.store.epoch == 0 {
			event = "store_epoch" // it may have been restored before the start of this process
		}
		c.log(Entry{Event: event, Reason: source, Detail: int(epoch), Age: known})
		c.store.epoch, c.store.epochSince, c.store.learnedAt, c.advertiseSoon = epoch, since, now, true
		if c.ReadsStore(now) {
			c.actions = append(c.actions, Action{Kind: ListAgents})
		}
	}
}

// epochAgeMillis returns how long the epoch has been known, for hellos.
func (c *Core) epochAgeMillis(now time.Time) int64 {
	if c.store.epochSince.IsZero() {
		return 0
	}
	return min(now.Sub(c.store.epochSince), maxEpochAge).Milliseconds()
}

// listingsComplete reports whether a listing of the store names all agents that have
// registered.
func (c *Core) listingsComplete(now time.Time) bool {
	return c.store.epochSince.IsZero() || now.Sub(c.store.epochSince) >= restoredListingDelay
}

// unlisted reports whether a recent listing of the current epoch lacks an agent that
// reports. The agent itself knows whether it has registered since.
func (c *Core) unlisted(now time.Time, t *target) bool {
	return t.reported && !t.listed && !t.ended() && c.store.listedEpoch == c.store.epoch &&
		!c.store.listedAt.IsZero() && now.Sub(c.store.listedAt) < unlistedHelloPeriod
}

// greetUnlisted sends hellos to the agents that the first listing of an epoch lacks.
func (c *Core) greetUnlisted(now time.Time) {
	for _, a := range sortedKeys(c.targets) {
		if t := c.targets[a]; c.unlisted(now, t) {
			c.greet(now, t)
		}
	}
}
