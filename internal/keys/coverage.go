package keys

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// pullInterval is the time between two rounds of KeyPulls.
	pullInterval = time.Second
	// maxPullPeers bounds the agents that records are pulled from. In larger services, each agent
	// pulls from those that it ranks first.
	maxPullPeers = 64
	// maxPartBytes and maxParts bound one answer to a KeyPull; the next pull gets the rest. A part
	// with one answer of the largest size still fits a datagram.
	maxPartBytes = 24 << 10
	maxParts     = 32
)

// bucketCoverage holds the time since which a home has records of all runs in a bucket.
type bucketCoverage struct {
	known            bool
	since            time.Time // zero means all times
	isHome           bool      // home under the last settled view
	wasHome          bool      // home under the settled view before that one
	interrupted      bool      // since the last settled view: not a home, or view not trusted
	homesHash        uint64    // hash of the current homes
	changesSinceHome int       // changes of the homes since this agent last was one
}

// rulesOutRun reports whether a key without a record certainly has not run.
//
// Homes grant a key with a timestamp no earlier than maxKeyAhead before that time, by their clocks,
// and keep its record for the retention after it. A key without a timestamp is treated as not run
// once the retention has passed since the start of the coverage.
func (c *Core) rulesOutRun(b int, issued time.Time) bool {
	cov := &c.coverage[b]
	if !cov.known || !cov.isHome {
		return false
	}
	if !issued.IsZero() {
		return c.now.Sub(issued) <= c.opts.Retention && !issued.Add(-maxKeyAhead-c.opts.MaxClockSkew).Before(cov.since)
	}
	return c.coversRetention(cov)
}

// dropCoverage drops all coverage until the view has settled again.
func (c *Core) dropCoverage() {
	c.settled = false
	for b := range c.coverage {
		c.coverage[b].interrupted = true
		c.coverage[b].known = false
	}
}

// certainlyBeforeOpening reports whether the service is not open yet by the clock of any agent.
func (c *Core) certainlyBeforeOpening() bool {
	return c.now.Add(c.opts.MaxClockSkew).Before(c.opts.Opens)
}

// applySettledView updates the coverage once all agents agree on the view. From then on every run
// of a bucket needs grants of its current homes.
func (c *Core) applySettledView() {
	c.settled = true
	c.generation++
	for b := range c.coverage {
		cov := &c.coverage[b]
		switch {
		case c.isHomeOf(b):
			if !cov.isHome || cov.interrupted || !cov.known {
				cov.since = c.now
				if c.certainlyBeforeOpening() {
					cov.since = time.Time{}
				}
			}
			cov.known, cov.isHome, cov.wasHome = true, true, false
		case cov.isHome && cov.known && cov.changesSinceHome <= 1:
			cov.isHome, cov.wasHome = false, true // still answers pulls of the new homes
		default:
			*cov = bucketCoverage{homesHash: cov.homesHash, changesSinceHome: cov.changesSinceHome}
			for _, key := range slices.Collect(maps.Keys(c.records[b])) {
				c.removeRecord(b, key)
			}
		}
		cov.interrupted = false
	}
	clear(c.pulls)
	c.nextPull = c.now
}

// pullState is the progress of pulling records from one agent.
type pullState struct {
	id       uint64                  // of the pending KeyPull, 0 if there is none
	answered map[uint16]bool         // buckets that need no further pull
	parts    map[int]message.KeyCopy // parts received for the pending KeyPull
	complete bool                    // nothing left to pull from this agent
}

// pullCoverage pulls records for the buckets whose coverage is shorter than the retention.
func (c *Core) pullCoverage() {
	if !c.settled || c.now.Before(c.nextPull) {
		return
	}
	c.nextPull = c.now.Add(pullInterval)
	for _, id := range c.pullPeers() {
		p := c.pulls[id]
		if p == nil {
			p = &pullState{answered: make(map[uint16]bool)}
			c.pulls[id] = p
		}
		if !p.complete {
			c.sendPull(id, p)
		}
	}
}

// sendPull pulls the buckets that this agent is a home of and that still lack coverage.
func (c *Core) sendPull(to model.NodeID, p *pullState) {
	var want []uint16
	for b := range c.coverage {
		cov := &c.coverage[b]
		if cov.isHome && !p.answered[uint16(b)] && !c.coversRetention(cov) {
			want = append(want, uint16(b))
		}
	}
	if len(want) == 0 {
		p.complete = true
		return
	}
	c.lastID++
	p.id, p.parts = c.lastID, make(map[int]message.KeyCopy)
	c.send(to, message.KeyPull{ID: p.id, Service: c.opts.Service, ViewHash: c.opts.Homes.Fingerprint(), Buckets: want})
}

// coversRetention reports whether longer coverage would change no verdict.
func (c *Core) coversRetention(cov *bucketCoverage) bool {
	return cov.since.IsZero() || c.now.Sub(cov.since) >= c.recordLifetime()
}

// pullPeers returns the agents to pull records from.
func (c *Core) pullPeers() []model.NodeID {
	var ids []model.NodeID
	for _, id := range c.memberIDs {
		if id != c.opts.Self {
			ids = append(ids, id)
		}
	}
	if len(ids) > maxPullPeers {
		self := model.HashString(string(c.opts.Self))
		rank := func(id model.NodeID) uint64 { return model.Mix(self ^ model.HashString(string(id))) }
		slices.SortFunc(ids, func(x, y model.NodeID) int { return cmp.Compare(rank(x), rank(y)) })
		ids = ids[:maxPullPeers]
	}
	return ids
}

// handleKeyPull answers a KeyPull with the records of its buckets. It does so only under the same
// settled view: every later run then needs a grant of the pulling agent too.
func (c *Core) handleKeyPull(from model.NodeID, m message.KeyPull) {
	if m.Service != c.opts.Service || !c.settled || m.ViewHash != c.opts.Homes.Fingerprint() {
		return
	}
	parts := []message.KeyCopy{{}}
	bytes := 0
	var answered []uint16
	since := make(map[time.Time][]uint16)
	for _, b := range m.Buckets {
		if int(b) >= bucketCount {
			continue
		}
		if len(parts) >= maxParts {
			break
		}
		answered = append(answered, b)
		cov := &c.coverage[b]
		if !cov.known || !cov.isHome && !cov.wasHome {
			continue
		}
		since[cov.since] = append(since[cov.since], b)
		for _, key := range slices.Sorted(maps.Keys(c.records[b])) {
			r := c.records[b][key].KeyRecord
			n := len(key) + answerSize(r.Answer) + recordOverhead
			if bytes > 0 && bytes+n > maxPartBytes {
				parts, bytes = append(parts, message.KeyCopy{}), 0
			}
			bytes += n
			last := &parts[len(parts)-1]
			last.Records = append(last.Records, r)
		}
	}
	last := &parts[len(parts)-1]
	last.Answered = answered
	for _, t := range slices.SortedFunc(maps.Keys(since), time.Time.Compare) {
		last.Covers = append(last.Covers, message.KeyCoverage{Since: t, Buckets: since[t]})
	}
	for i, p := range parts {
		p.ID, p.Service, p.Part, p.Parts = m.ID, c.opts.Service, i, len(parts)
		c.send(from, p)
	}
}

// handleKeyCopy collects the parts of an answer to a pull and applies them once it is complete.
func (c *Core) handleKeyCopy(from model.NodeID, m message.KeyCopy) {
	p := c.pulls[from]
	if p == nil || p.id != m.ID || m.Service != c.opts.Service || !c.settled || m.Part < 0 || m.Part >= m.Parts {
		return
	}
	p.parts[m.Part] = m
	if len(p.parts) < m.Parts {
		return
	}
	p.id = 0
	conflicts := make(map[int]bool)
	for i := range m.Parts {
		for _, r := range p.parts[i].Records {
			if !c.mergeRecord(r) {
				conflicts[bucketOf(c.opts.Service, r.Key)] = true
			}
		}
	}
	last := p.parts[m.Parts-1]
	for _, cover := range last.Covers {
		for _, b := range cover.Buckets {
			if int(b) < bucketCount && !conflicts[int(b)] {
				c.extendCoverage(int(b), cover.Since)
			}
		}
	}
	for _, b := range last.Answered {
		p.answered[b] = !conflicts[int(b)]
	}
	if len(last.Answered) > 0 {
		c.sendPull(from, p)
	}
}

func (c *Core) extendCoverage(b int, since time.Time) {
	cov := &c.coverage[b]
	if cov.isHome && cov.known && since.Before(cov.since) {
		cov.since = since
	}
}

// mergeRecord merges a pulled record. It returns false if the records are full, or while another
// attempt of the key is in progress here; one of the two ends soon, and the bucket is pulled again.
func (c *Core) mergeRecord(r message.KeyRecord) bool {
	b := bucketOf(c.opts.Service, r.Key)
	old := c.records[b][r.Key]
	sameAttempt := old != nil && old.Runner == r.Runner && old.ID == r.ID
	switch {
	case old == nil && c.recordCount >= 2*c.opts.MaxRecords:
		return false // no coverage without the record
	case old == nil && r.Outcome == 0 && c.released[attemptRef{r.Runner, r.ID}]:
		return true
	case old == nil, old.Outcome == 0 && r.Outcome != 0, sameAttempt && r.Outcome == message.OutcomeRan:
		c.storeRecord(b, &record{KeyRecord: r, runnerVerdict: message.KeyNotCovered})
		return true
	}
	return sameAttempt || old.Outcome != 0
}
