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
	pullEvery = time.Second
	// maxPulled bounds the agents asked for records; larger services ask those
	// first in rank.
	maxPulled = 64
	// partBytes and maxParts bound one answer to a KeyPull; the rest is pulled
	// next. A part fits a datagram with one answer of the largest size.
	partBytes = 24 << 10
	maxParts  = 32
)

// coverage is what a home knows about a bucket: every run begun since a time.
type coverage struct {
	known  bool
	since  time.Time // zero is always
	home   bool      // under the last settled view
	former bool      // home under the settled view before that one
	lapsed bool      // not a home under some view since then
	set    uint64    // hash of the current homes
	away   int       // changes of the homes since the agent was one
}

// covers reports whether a key without a record has certainly not run.
//
// A key with a time was never granted before it, less the clock skew, and its
// record is kept for the retention after it. A key without a time counts as not
// run when the retention has passed since the coverage began.
func (c *Core) covers(b int, issued time.Time) bool {
	cov := &c.cover[b]
	if !cov.known || !cov.home {
		return false
	}
	if !issued.IsZero() {
		return c.now.Sub(issued) <= c.o.Retention && !issued.Add(-2*clockSkew).Before(cov.since)
	}
	return cov.since.IsZero() || c.now.Sub(cov.since) >= c.o.Retention+2*clockSkew
}

// lapse drops all coverage until the view has settled again.
func (c *Core) lapse() {
	c.settled = false
	for b := range c.cover {
		c.cover[b].lapsed = true
		c.cover[b].known = false
	}
}

// settle acts on a view that no agent contradicts any more: from now on each
// run of a bucket needs a grant of its current homes.
func (c *Core) settle() {
	c.settled = true
	c.generation++
	for b := range c.cover {
		cov := &c.cover[b]
		switch {
		case c.isHome(b):
			if !cov.home || cov.lapsed || !cov.known {
				cov.since = c.now
				if c.now.Before(c.o.Opens) {
					cov.since = time.Time{}
				}
			}
			cov.known, cov.home, cov.former = true, true, false
		case cov.home && cov.known && cov.away <= 1:
			cov.home, cov.former = false, true // answers pulls of the new homes
		default:
			*cov = coverage{set: cov.set, away: cov.away}
			for _, key := range slices.Collect(maps.Keys(c.records[b])) {
				c.remove(b, key)
			}
		}
		cov.lapsed = false
	}
	clear(c.pulls)
	c.nextPull = c.now
}

// pull is the state of asking one agent for records.
type pull struct {
	id       uint64
	answered map[uint16]bool
	parts    map[int]message.KeyCopy
	idle     bool // nothing left to ask it for
}

// pullCoverage asks the other agents of the service for the records of buckets
// whose coverage does not reach back by the retention.
func (c *Core) pullCoverage() {
	if !c.settled || c.now.Before(c.nextPull) {
		return
	}
	c.nextPull = c.now.Add(pullEvery)
	for _, id := range c.pullFrom() {
		p := c.pulls[id]
		if p == nil {
			p = &pull{answered: make(map[uint16]bool)}
			c.pulls[id] = p
		}
		if !p.idle {
			c.sendPull(id, p)
		}
	}
}

func (c *Core) sendPull(to model.NodeID, p *pull) {
	var want []uint16
	for b := range c.cover {
		cov := &c.cover[b]
		if cov.home && !p.answered[uint16(b)] && !c.reachesBack(cov) {
			want = append(want, uint16(b))
		}
	}
	if len(want) == 0 {
		p.idle = true
		return
	}
	c.lastID++
	p.id, p.parts = c.lastID, make(map[int]message.KeyCopy)
	c.send(to, message.KeyPull{ID: p.id, Service: c.o.Service, ViewHash: c.o.Homes.Fingerprint(), Buckets: want})
}

// reachesBack reports whether more coverage would change no verdict.
func (c *Core) reachesBack(cov *coverage) bool {
	return cov.since.IsZero() || c.now.Sub(cov.since) >= c.o.Retention+2*clockSkew
}

func (c *Core) pullFrom() []model.NodeID {
	var ids []model.NodeID
	for _, id := range c.memberIDs {
		if id != c.o.Self {
			ids = append(ids, id)
		}
	}
	if len(ids) > maxPulled {
		self := model.HashString(string(c.o.Self))
		rank := func(id model.NodeID) uint64 { return model.Mix(self ^ model.HashString(string(id))) }
		slices.SortFunc(ids, func(x, y model.NodeID) int { return cmp.Compare(rank(x), rank(y)) })
		ids = ids[:maxPulled]
	}
	return ids
}

// keyPull answers with the records of the asked buckets, under the same settled
// view: then each later run needs a grant of the asker too.
func (c *Core) keyPull(from model.NodeID, m message.KeyPull) {
	if m.Service != c.o.Service || !c.settled || m.ViewHash != c.o.Homes.Fingerprint() {
		return
	}
	parts := []message.KeyCopy{{}}
	bytes := 0
	var answered []uint16
	since := make(map[time.Time][]uint16)
	for _, b := range m.Buckets {
		if int(b) >= buckets {
			continue
		}
		if len(parts) >= maxParts {
			break
		}
		answered = append(answered, b)
		cov := &c.cover[b]
		if !cov.known || !cov.home && !cov.former {
			continue
		}
		since[cov.since] = append(since[cov.since], b)
		for _, key := range slices.Sorted(maps.Keys(c.records[b])) {
			r := c.records[b][key].KeyRecord
			n := len(key) + size(r.Answer) + recordOverhead
			if bytes > 0 && bytes+n > partBytes {
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
		p.ID, p.Service, p.Part, p.Parts = m.ID, c.o.Service, i, len(parts)
		c.send(from, p)
	}
}

// keyCopy takes one part of an answer; the whole answer takes effect at once.
func (c *Core) keyCopy(from model.NodeID, m message.KeyCopy) {
	p := c.pulls[from]
	if p == nil || p.id != m.ID || m.Service != c.o.Service || !c.settled || m.Part < 0 || m.Part >= m.Parts {
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
			if !c.merge(r) {
				conflicts[bucketOf(c.o.Service, r.Key)] = true
			}
		}
	}
	last := p.parts[m.Parts-1]
	for _, cover := range last.Covers {
		for _, b := range cover.Buckets {
			if int(b) < buckets && !conflicts[int(b)] {
				c.extend(int(b), cover.Since)
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

func (c *Core) extend(b int, since time.Time) {
	cov := &c.cover[b]
	if cov.home && cov.known && since.Before(cov.since) {
		cov.since = since
	}
}

// merge takes a copied record. It returns false if another attempt of the key
// is open here: one of the two ends soon, and the bucket is pulled again.
func (c *Core) merge(r message.KeyRecord) bool {
	b := bucketOf(c.o.Service, r.Key)
	old := c.records[b][r.Key]
	same := old != nil && old.Runner == r.Runner && old.ID == r.ID
	switch {
	case old == nil && c.count >= 2*c.o.MaxRecords:
		return false // without the record there is no coverage
	case old == nil && r.Outcome == 0 && c.released[attemptKey{r.Runner, r.ID}]:
		return true
	case old == nil, old.Outcome == 0 && r.Outcome != 0, same && r.Outcome == message.OutcomeRan:
		c.store(b, &record{KeyRecord: r, verdict: message.KeyNoted})
		return true
	}
	return same || old.Outcome != 0
}
