package keys

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// releasedFor is how long a released attempt is remembered, so that a late
	// copy of its KeyBegin does not store it again.
	releasedFor = 2 * time.Minute
	// maxReleased bounds them; a forgotten one can only block its key.
	maxReleased = 50000
	// maxRun bounds the time that a run in progress keeps its record. It ends
	// records whose end never arrived.
	maxRun = 24 * time.Hour
	// recordOverhead counts the fields of a record besides its answer.
	recordOverhead = 256
)

// record is what a home knows about a key.
type record struct {
	message.KeyRecord
	verdict message.KeyVerdict // given to the runner
	expires time.Time          // of its entry in Core.expiry
}

type expiring struct {
	bucket int
	key    string
	at     time.Time
}

// attemptKey names one attempt of one runner.
type attemptKey struct {
	runner model.NodeID
	id     uint64
}

type releasedAt struct {
	attemptKey
	at time.Time
}

// keyBegin answers a runner. What a record says holds under any view; a new
// record needs equal views.
func (c *Core) keyBegin(from model.NodeID, m message.KeyBegin) {
	b := bucketOf(c.o.Service, m.Key)
	if m.Service != c.o.Service || c.released[attemptKey{from, m.ID}] {
		return
	}
	reply := message.KeyReply{ID: m.ID, Key: m.Key}
	if r := c.records[b][m.Key]; r != nil {
		reply.Verdict = c.verdictOf(r, from, m)
		if reply.Verdict == message.KeyAnswered {
			reply.Answer = r.Answer
		}
		c.send(from, reply)
		return
	}
	member, known := c.members[from]
	switch {
	case !known || c.now.Before(c.distrustUntil) || m.ViewHash != c.o.Homes.Fingerprint(),
		m.Issued.After(c.now.Add(clockSkew)):
		reply.Verdict = message.KeyRetry
	case c.count >= c.o.MaxRecords || c.answerBytes >= c.o.MaxAnswerBytes:
		reply.Verdict = message.KeyRetry
		if c.covers(b, m.Issued) {
			reply.Verdict = message.KeyFull
		}
	default:
		reply.Verdict = message.KeyNoted
		if c.covers(b, m.Issued) {
			reply.Verdict = message.KeyGranted
		}
		c.store(b, &record{verdict: reply.Verdict, KeyRecord: message.KeyRecord{
			Key: m.Key, ID: m.ID, Fingerprint: m.Fingerprint, Runner: from, Incarnation: member.Incarnation, Recorded: c.now,
		}})
	}
	c.send(from, reply)
}

// verdictOf returns the answer that an existing record gives to a KeyBegin.
func (c *Core) verdictOf(r *record, from model.NodeID, m message.KeyBegin) message.KeyVerdict {
	switch {
	case r.Outcome == 0 && r.Runner == from && r.ID == m.ID:
		return r.verdict
	case r.Fingerprint != 0 && r.Fingerprint != m.Fingerprint:
		return message.KeyMismatch
	case r.Outcome == message.OutcomeRan:
		return message.KeyAnswered
	case r.Outcome == message.OutcomeUnknown || c.runnerGone(r):
		return message.KeyUnknown
	}
	return message.KeyInProgress
}

// runnerGone reports that the runner's life that began the run has ended.
func (c *Core) runnerGone(r *record) bool {
	m, ok := c.members[r.Runner]
	return !ok || m.Incarnation > r.Incarnation
}

func (c *Core) store(b int, r *record) {
	if c.records[b] == nil {
		c.records[b] = make(map[string]*record)
	}
	if old := c.records[b][r.Key]; old != nil {
		c.answerBytes -= size(old.Answer)
	} else {
		c.count++
	}
	c.schedule(b, r, c.keepUntil(r))
	if c.answerBytes+size(r.Answer) > c.o.MaxAnswerBytes && r.Answer != nil {
		r.Answer = &message.Answer{Status: r.Answer.Status, Truncated: true}
	}
	c.answerBytes += size(r.Answer)
	c.records[b][r.Key] = r
}

// schedule notes when to look at a record again; an older entry is void.
func (c *Core) schedule(b int, r *record, at time.Time) {
	if len(c.expiry) > 2*c.o.MaxRecords+buckets {
		c.expiry = slices.DeleteFunc(c.expiry, func(e expiring) bool {
			old := c.records[e.bucket][e.key]
			return old == nil || !old.expires.Equal(e.at)
		})
	}
	r.expires = at
	c.expiry = append(c.expiry, expiring{b, r.Key, at})
}

func (c *Core) remove(b int, key string) {
	if r := c.records[b][key]; r != nil {
		c.answerBytes -= size(r.Answer)
		c.count--
		delete(c.records[b], key)
	}
}

func size(a *message.Answer) int {
	if a == nil {
		return 0
	}
	n := len(a.Body) + recordOverhead
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// keepUntil leaves room for clock differences: a key with a time is granted up
// to the retention after its time, and its record must outlive that.
func (c *Core) keepUntil(r *record) time.Time {
	return r.Recorded.Add(c.o.Retention + 2*clockSkew)
}

// keyDone takes the end of a run. Only the attempt that stored a record can
// release it, and nothing releases the record of a run that ended.
func (c *Core) keyDone(from model.NodeID, m message.KeyDone) {
	if m.Service != c.o.Service {
		return
	}
	b := bucketOf(c.o.Service, m.Key)
	r := c.records[b][m.Key]
	own := r != nil && r.Runner == from && r.ID == m.ID
	switch {
	case m.Outcome == message.OutcomeNotRun:
		c.noteReleased(attemptKey{from, m.ID})
		if own && r.Outcome == 0 {
			c.remove(b, m.Key)
		}
	case r == nil || r.Outcome == 0 || own && r.Outcome == message.OutcomeUnknown:
		done := &record{KeyRecord: message.KeyRecord{
			Key: m.Key, ID: m.ID, Runner: from, Incarnation: c.members[from].Incarnation,
			Outcome: m.Outcome, Answer: m.Answer, Recorded: c.now,
		}}
		if own {
			done.Fingerprint = r.Fingerprint
		}
		c.store(b, done)
	}
	c.send(from, message.KeyDoneAck{ID: m.ID})
}

func (c *Core) noteReleased(k attemptKey) {
	if c.released[k] {
		return
	}
	c.released[k] = true
	c.releasedSeq = append(c.releasedSeq, releasedAt{k, c.now})
}

// expire forgets released attempts and, after the retention, ended runs and
// those whose runner is gone.
func (c *Core) expire() {
	n := 0
	for n < len(c.releasedSeq) && (c.now.Sub(c.releasedSeq[n].at) > releasedFor || len(c.releasedSeq)-n > maxReleased) {
		delete(c.released, c.releasedSeq[n].attemptKey)
		n++
	}
	c.releasedSeq = c.releasedSeq[n:]
	for range len(c.expiry) {
		e := c.expiry[0]
		if e.at.After(c.now) {
			return
		}
		c.expiry = c.expiry[1:]
		r := c.records[e.bucket][e.key]
		switch {
		case r == nil || !r.expires.Equal(e.at):
		case c.keepUntil(r).After(c.now):
			c.schedule(e.bucket, r, c.keepUntil(r))
		case r.Outcome == 0 && !c.runnerGone(r) && c.now.Sub(r.Recorded) < maxRun+c.o.Retention:
			c.schedule(e.bucket, r, c.now.Add(c.o.Retention))
		default:
			c.remove(e.bucket, e.key)
		}
	}
}
