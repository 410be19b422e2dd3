package keys

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// resendInterval is the time between two sends of a KeyBegin, and maxSends is their number. They
	// bound the wait for a home that does not reply to 300 ms.
	resendInterval = 100 * time.Millisecond
	maxSends       = 3
	// maxCloseRetryInterval is the longest interval between two sends of a KeyDone.
	maxCloseRetryInterval = 2 * time.Second
	// closeTimeout bounds the retries of a KeyDone to a home that stays in the view but does not
	// reply.
	closeTimeout = 10 * time.Minute
	// fullRetryAfter is the Retry-After when the records are full.
	fullRetryAfter = 5 * time.Second
	// defaultRetryAfter is the Retry-After of other refusals that may pass soon.
	defaultRetryAfter = time.Second
)

// phase is the state of an attempt.
type phase uint8

const (
	requestingGrants phase = iota // a KeyBegin is sent to one home after the other
	running                       // all homes granted
	closing                       // the end is sent to the homes until they acknowledge it
)

// homeProgress is the state of one home in an attempt.
type homeProgress struct {
	id           model.NodeID
	verdict      message.KeyVerdict // 0 until a reply
	viewHash     uint64             // of the last KeyBegin
	grantedView  uint64             // view under which the home granted, 0 if it did not
	sends        int
	skipped      bool // did not reply, and is a home under a former view only
	acknowledged bool // acknowledged the end
}

// attempt is one send of a keyed request at its runner.
type attempt struct {
	Begin
	id                 uint64
	bucket             int
	issued             time.Time
	phase              phase
	homes              []*homeProgress
	due                time.Time // time of the next send
	doneMessage        message.KeyDone
	closeRetryInterval time.Duration
	closeDeadline      time.Time
	awaiting           model.NodeID // home that the next reply must come from
}

func (c *Core) refuse(id uint64, reason Reason, outcome message.Outcome, retryAfter time.Duration) {
	c.actions = append(c.actions, Refuse{ID: id, Reason: reason, Outcome: outcome, RetryAfter: retryAfter})
}

func (c *Core) handleBegin(e Begin) {
	issued := Issued(e.Key)
	switch {
	case c.attemptsByRequest[e.ID] != nil:
		return
	case len(c.attempts) >= c.opts.MaxAttempts:
		c.refuse(e.ID, ReasonFull, message.OutcomeUnknown, fullRetryAfter)
		return
	case c.now.Before(c.opts.Opens):
		outcome := message.OutcomeUnknown
		if c.certainlyBeforeOpening() { // no run can precede the opening
			outcome = message.OutcomeNotRun
		}
		c.refuse(e.ID, ReasonNotOpen, outcome, c.opts.Opens.Sub(c.now))
		return
	case issued.After(c.now.Add(maxKeyAhead)):
		outcome := message.OutcomeUnknown
		if issued.After(c.now.Add(maxKeyAhead + c.opts.MaxClockSkew)) { // ahead of the clock of any home
			outcome = message.OutcomeNotRun
		}
		c.refuse(e.ID, ReasonTimeAhead, outcome, issued.Sub(c.now))
		return
	}
	c.lastID++
	a := &attempt{Begin: e, id: c.lastID, bucket: bucketOf(c.opts.Service, e.Key), issued: issued}
	c.attemptsByRequest[e.ID] = a
	c.attemptsByID[a.id] = a
	c.attempts = append(c.attempts, a)
	c.requestNextGrant(a)
}

func (a *attempt) home(id model.NodeID) *homeProgress {
	for _, h := range a.homes {
		if h.id == id {
			return h
		}
	}
	return nil
}

// requestNextGrant sends a KeyBegin to the first home that has not granted under the current view. If
// all have, it decides the attempt.
func (c *Core) requestNextGrant(a *attempt) {
	sets := c.homeSets(a.bucket)
	if len(sets) == 0 || len(sets[0]) == 0 {
		c.abort(a, ReasonNoHome, message.OutcomeUnknown, defaultRetryAfter)
		return
	}
	view := c.opts.Homes.Fingerprint()
	for _, id := range homeOrder(a.bucket, sets) {
		h := a.home(id)
		if h == nil {
			h = &homeProgress{id: id}
			a.homes = append(a.homes, h)
		}
		if h.skipped && !slices.Contains(sets[0], id) || h.grantedView == view && h.grantedView != 0 {
			continue
		}
		a.awaiting = id
		h.verdict, h.grantedView, h.sends = 0, 0, 0
		c.sendBegin(a, h)
		return
	}
	c.decide(a, sets)
}

// homeOrder returns all homes in an order that is independent of the view, so that two runners with
// different views compete at the first common home instead of refusing each other.
func homeOrder(bucket int, sets [][]model.NodeID) []model.NodeID {
	var all []model.NodeID
	for _, s := range sets {
		for _, id := range s {
			if !slices.Contains(all, id) {
				all = append(all, id)
			}
		}
	}
	rank := func(id model.NodeID) uint64 { return model.Mix(uint64(bucket) ^ model.HashString(string(id))) }
	slices.SortFunc(all, func(x, y model.NodeID) int { return cmp.Compare(rank(x), rank(y)) })
	return all
}

// sendBegin sends a KeyBegin to a home and schedules the next send.
func (c *Core) sendBegin(a *attempt, h *homeProgress) {
	h.sends++
	h.viewHash = c.opts.Homes.Fingerprint()
	a.due = c.now.Add(resendInterval)
	c.send(h.id, message.KeyBegin{
		ID: a.id, Service: c.opts.Service, Key: a.Key, Fingerprint: a.Fingerprint, ViewHash: h.viewHash, Issued: a.issued,
	})
}

// decide lets the request run or refuses it, once all homes have stored the record. One of them must
// have coverage back to the age of the key, and at least one home of each former set must have granted.
func (c *Core) decide(a *attempt, sets [][]model.NodeID) {
	covered := false
	for _, h := range a.homes {
		covered = covered || h.verdict == message.KeyGranted
	}
	for _, set := range sets {
		participated := slices.ContainsFunc(set, func(id model.NodeID) bool { return a.home(id).grantedView != 0 })
		if !participated {
			c.abort(a, ReasonHomeSilent, message.OutcomeUnknown, defaultRetryAfter)
			return
		}
	}
	if !covered {
		c.abort(a, ReasonNoCoverage, message.OutcomeUnknown, defaultRetryAfter)
		return
	}
	a.phase = running
	a.due = time.Time{}
	c.actions = append(c.actions, Proceed{ID: a.ID})
}

func (c *Core) handleKeyReply(from model.NodeID, m message.KeyReply) {
	a := c.attemptsByID[m.ID]
	if a == nil || a.phase != requestingGrants || a.Key != m.Key {
		return
	}
	h := a.home(from)
	if h == nil || a.awaiting != from {
		return
	}
	switch m.Verdict {
	case message.KeyGranted, message.KeyNotCovered:
		h.verdict, h.grantedView = m.Verdict, h.viewHash
		c.requestNextGrant(a)
	case message.KeyRetry:
		h.sends = 0 // the home is reachable; repeat the KeyBegin at the next due time
	case message.KeyInProgress:
		c.abort(a, ReasonInProgress, message.OutcomeUnknown, defaultRetryAfter)
	case message.KeyMismatch:
		c.abort(a, ReasonMismatch, message.OutcomeUnknown, 0)
	case message.KeyOutcomeUnknown:
		c.abort(a, ReasonUnknown, message.OutcomeUnknown, 0)
	case message.KeyRecordsFull:
		c.abort(a, ReasonFull, message.OutcomeNotRun, fullRetryAfter)
	case message.KeyAnswered:
		if m.Answer == nil || m.Answer.Truncated {
			c.abort(a, ReasonTruncated, message.OutcomeRan, 0)
			return
		}
		c.actions = append(c.actions, Replay{ID: a.ID, Answer: m.Answer})
		c.close(a, message.OutcomeNotRun, nil)
	}
}

// abort refuses the request and releases the records that homes may have stored.
func (c *Core) abort(a *attempt, reason Reason, outcome message.Outcome, retryAfter time.Duration) {
	c.refuse(a.ID, reason, outcome, retryAfter)
	c.close(a, message.OutcomeNotRun, nil)
}

func (c *Core) handleEnded(e Ended) {
	a := c.attemptsByRequest[e.ID]
	switch {
	case a == nil:
	case a.phase == running:
		if e.Outcome == 0 {
			e.Outcome = message.OutcomeUnknown
		}
		c.close(a, e.Outcome, c.truncateAnswer(e.Answer))
	case a.phase == requestingGrants: // the caller closed the request before a decision
		c.close(a, message.OutcomeNotRun, nil)
	}
}

// truncateAnswer returns the answer, or only its status if it is too large to keep.
func (c *Core) truncateAnswer(answer *message.Answer) *message.Answer {
	if answer == nil || len(answer.Body) <= c.opts.MaxAnswer && !answer.Truncated {
		return answer
	}
	return &message.Answer{Status: answer.Status, Truncated: true}
}

// close sends the end of an attempt to all homes that it contacted and, after a run, to the current
// homes, until each acknowledges it.
func (c *Core) close(a *attempt, outcome message.Outcome, answer *message.Answer) {
	delete(c.attemptsByRequest, a.ID)
	a.phase = closing
	a.doneMessage = message.KeyDone{ID: a.id, Service: c.opts.Service, Key: a.Key, Outcome: outcome, Answer: answer}
	a.closeRetryInterval = resendInterval
	a.closeDeadline = c.now.Add(closeTimeout)
	if outcome != message.OutcomeNotRun {
		for _, id := range homeOrder(a.bucket, c.homeSets(a.bucket)) {
			if a.home(id) == nil {
				a.homes = append(a.homes, &homeProgress{id: id})
			}
		}
	}
	c.sendDone(a)
}

// sendDone sends the KeyDone to the homes that have not acknowledged it.
func (c *Core) sendDone(a *attempt) {
	for _, h := range a.homes {
		if h.acknowledged {
			continue
		}
		if _, ok := c.members[h.id]; !ok && h.id != c.opts.Self {
			h.acknowledged = true // removed from the view, and its records with it
			continue
		}
		c.send(h.id, a.doneMessage)
	}
	a.due = c.now.Add(a.closeRetryInterval)
	a.closeRetryInterval = min(2*a.closeRetryInterval, maxCloseRetryInterval)
}

func (c *Core) handleKeyDoneAck(from model.NodeID, m message.KeyDoneAck) {
	a := c.attemptsByID[m.ID]
	if a == nil || a.phase != closing {
		return
	}
	if h := a.home(from); h != nil {
		h.acknowledged = true
	}
}

// advanceAttempts sends messages that are due and drops closed attempts.
func (c *Core) advanceAttempts() {
	for _, a := range slices.Clone(c.attempts) {
		if a.phase == requestingGrants && !a.Deadline.After(c.now) {
			c.abort(a, ReasonViewsDiffer, message.OutcomeUnknown, defaultRetryAfter)
		}
		if a.due.IsZero() || a.due.After(c.now) {
			continue
		}
		switch a.phase {
		case requestingGrants:
			c.resendOrSkip(a)
		case closing:
			c.sendDone(a)
		}
	}
	c.attempts = slices.DeleteFunc(c.attempts, func(a *attempt) bool {
		unacknowledged := slices.ContainsFunc(a.homes, func(h *homeProgress) bool { return !h.acknowledged })
		if a.phase != closing || unacknowledged && a.closeDeadline.After(c.now) {
			return false
		}
		delete(c.attemptsByID, a.id)
		return true
	})
}

// resendOrSkip repeats a KeyBegin without a reply. If the home still does not reply, the attempt
// ends, unless it is a home under a former view only and its observers suspect it too: a home that
// still runs must have a record of each run.
func (c *Core) resendOrSkip(a *attempt) {
	h := a.home(a.awaiting)
	if h.sends < maxSends {
		c.sendBegin(a, h)
		return
	}
	sets := c.homeSets(a.bucket)
	m, known := c.members[h.id]
	alive := known && m.State != model.StateSuspect
	if alive || len(sets) > 0 && slices.Contains(sets[0], h.id) {
		c.abort(a, ReasonHomeSilent, message.OutcomeUnknown, defaultRetryAfter)
		return
	}
	h.skipped = true
	c.requestNextGrant(a)
}
