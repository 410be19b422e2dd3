package keys

import (
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// releasedLifetime is how long the ID of a released attempt is kept, so that a late duplicate of
	// its KeyBegin does not store the record again.
	releasedLifetime = 2 * time.Minute
	// maxReleased bounds the IDs of released attempts. If one is dropped too early, a late KeyBegin
	// may block its key, but the key never runs twice.
	maxReleased = 50000
	// maxRunTime bounds how long a run in progress keeps its record, for runs whose end is never
	// reported.
	maxRunTime = 24 * time.Hour
	// recordOverhead is the estimated size in bytes of a record's fields other than the answer.
	recordOverhead = 256
)

// record is what a home knows about a key.
type record struct {
	message.KeyRecord
	runnerVerdict message.KeyVerdict // verdict sent to the runner
	expiresAt     time.Time          // time of its valid entry in Core.expiryQueue
}

// expiryEntry is the time of the next expiry check of a record.
type expiryEntry struct {
	bucket int
	key    string
	at     time.Time
}

// attemptRef identifies one attempt of one runner.
type attemptRef struct {
	runner model.NodeID
	id     uint64
}

// releasedEntry is a released attempt and the time of its release.
type releasedEntry struct {
	attemptRef
	at time.Time
}

// handleKeyBegin replies to a runner with the verdict on a key. An existing record determines the
// verdict under any view; a new one is stored only if runner and home have the same view.
func (c *Core) handleKeyBegin(from model.NodeID, m message.KeyBegin) {
	b := bucketOf(c.opts.Service, m.Key)
	if m.Service != c.opts.Service || c.released[attemptRef{from, m.ID}] {
		return
	}
	reply := message.KeyReply{ID: m.ID, Key: m.Key}
	if r := c.records[b][m.Key]; r != nil {
		reply.Verdict = c.existingVerdict(r, from, m)
		if reply.Verdict == message.KeyAnswered {
			reply.Answer = r.Answer
		}
		c.send(from, reply)
		return
	}
	member, known := c.members[from]
	switch {
	case !known || c.now.Before(c.viewUntrustedUntil) || m.ViewHash != c.opts.Homes.Fingerprint(),
		m.Issued.After(c.now.Add(maxKeyAhead)):
		reply.Verdict = message.KeyRetry
	case c.recordCount >= c.opts.MaxRecords || c.answerBytes >= c.opts.MaxAnswerBytes:
		reply.Verdict = message.KeyRetry
		if c.rulesOutRun(b, m.Issued) {
			reply.Verdict = message.KeyRecordsFull
		}
	default:
		reply.Verdict = message.KeyNotCovered
		if c.rulesOutRun(b, m.Issued) {
			reply.Verdict = message.KeyGranted
		}
		c.storeRecord(b, &record{runnerVerdict: reply.Verdict, KeyRecord: message.KeyRecord{
			Key: m.Key, ID: m.ID, Fingerprint: m.Fingerprint, Runner: from, Incarnation: member.Incarnation, Recorded: c.now,
		}})
	}
	c.send(from, reply)
}

// existingVerdict returns the verdict of an existing record on a KeyBegin.
func (c *Core) existingVerdict(r *record, from model.NodeID, m message.KeyBegin) message.KeyVerdict {
	switch {
	case r.Outcome == 0 && r.Runner == from && r.ID == m.ID:
		return r.runnerVerdict
	case r.Fingerprint != 0 && r.Fingerprint != m.Fingerprint:
		return message.KeyMismatch
	case r.Outcome == message.OutcomeRan:
		return message.KeyAnswered
	case r.Outcome == message.OutcomeUnknown || c.runnerExited(r):
		return message.KeyOutcomeUnknown
	}
	return message.KeyInProgress
}

// runnerExited reports whether the incarnation of the runner that began the run has exited.
func (c *Core) runnerExited(r *record) bool {
	m, ok := c.members[r.Runner]
	return !ok || m.Incarnation > r.Incarnation
}

// storeRecord stores or replaces the record of a key. If the answers would exceed their limit, it
// keeps only the status of the answer.
func (c *Core) storeRecord(b int, r *record) {
	if c.records[b] == nil {
		c.records[b] = make(map[string]*record)
	}
	if old := c.records[b][r.Key]; old != nil {
		c.answerBytes -= answerSize(old.Answer)
	} else {
		c.recordCount++
	}
	c.scheduleExpiry(b, r, c.retainUntil(r))
	if c.answerBytes+answerSize(r.Answer) > c.opts.MaxAnswerBytes && r.Answer != nil {
		r.Answer = &message.Answer{Status: r.Answer.Status, Truncated: true}
	}
	c.answerBytes += answerSize(r.Answer)
	c.records[b][r.Key] = r
}

// scheduleExpiry queues the next expiry check of a record. An earlier entry becomes invalid.
func (c *Core) scheduleExpiry(b int, r *record, at time.Time) {
	if len(c.expiryQueue) > 2*c.opts.MaxRecords+bucketCount {
		c.expiryQueue = slices.DeleteFunc(c.expiryQueue, func(e expiryEntry) bool {
			old := c.records[e.bucket][e.key]
			return old == nil || !old.expiresAt.Equal(e.at)
		})
	}
	r.expiresAt = at
	c.expiryQueue = append(c.expiryQueue, expiryEntry{b, r.Key, at})
}

func (c *Core) removeRecord(b int, key string) {
	if r := c.records[b][key]; r != nil {
		c.answerBytes -= answerSize(r.Answer)
		c.recordCount--
		delete(c.records[b], key)
	}
}

// answerSize estimates the memory of an answer in bytes.
func answerSize(a *message.Answer) int {
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

// retainUntil returns the time until which a record is kept.
func (c *Core) retainUntil(r *record) time.Time { return r.Recorded.Add(c.recordLifetime()) }

// recordLifetime returns the time for which a record is kept. A key with a timestamp is granted up
// to the retention after it by the clock of a home, and may have run maxKeyAhead before it by the
// clock of another, from which the record may have been pulled.
func (c *Core) recordLifetime() time.Duration {
	return c.opts.Retention + maxKeyAhead + 2*c.opts.MaxClockSkew
}

// handleKeyDone records the end of an attempt. Only the attempt that stored a record can release it,
// and the record of a completed run is never released.
func (c *Core) handleKeyDone(from model.NodeID, m message.KeyDone) {
	if m.Service != c.opts.Service {
		return
	}
	b := bucketOf(c.opts.Service, m.Key)
	r := c.records[b][m.Key]
	sameAttempt := r != nil && r.Runner == from && r.ID == m.ID
	switch {
	case m.Outcome == message.OutcomeNotRun:
		c.markReleased(attemptRef{from, m.ID})
		if sameAttempt && r.Outcome == 0 {
			c.removeRecord(b, m.Key)
		}
	case r == nil || r.Outcome == 0 || sameAttempt && r.Outcome == message.OutcomeUnknown:
		completed := &record{KeyRecord: message.KeyRecord{
			Key: m.Key, ID: m.ID, Runner: from, Incarnation: c.members[from].Incarnation,
			Outcome: m.Outcome, Answer: m.Answer, Recorded: c.now,
		}}
		if sameAttempt {
			completed.Fingerprint = r.Fingerprint
		}
		c.storeRecord(b, completed)
	}
	c.send(from, message.KeyDoneAck{ID: m.ID})
}

func (c *Core) markReleased(k attemptRef) {
	if c.released[k] {
		return
	}
	c.released[k] = true
	c.releasedQueue = append(c.releasedQueue, releasedEntry{k, c.now})
}

// expire drops the IDs of released attempts and, after the retention, the records of runs that are
// completed or whose runner has exited.
func (c *Core) expire() {
	n := 0
	for n < len(c.releasedQueue) && (c.now.Sub(c.releasedQueue[n].at) > releasedLifetime || len(c.releasedQueue)-n > maxReleased) {
		delete(c.released, c.releasedQueue[n].attemptRef)
		n++
	}
	c.releasedQueue = c.releasedQueue[n:]
	for range len(c.expiryQueue) {
		e := c.expiryQueue[0]
		if e.at.After(c.now) {
			return
		}
		c.expiryQueue = c.expiryQueue[1:]
		r := c.records[e.bucket][e.key]
		switch {
		case r == nil || !r.expiresAt.Equal(e.at):
		case c.retainUntil(r).After(c.now):
			c.scheduleExpiry(e.bucket, r, c.retainUntil(r))
		case r.Outcome == 0 && !c.runnerExited(r) && c.now.Sub(r.Recorded) < maxRunTime+c.opts.Retention:
			c.scheduleExpiry(e.bucket, r, c.now.Add(c.opts.Retention))
		default:
			c.removeRecord(e.bucket, e.key)
		}
	}
}
