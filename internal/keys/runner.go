package keys

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	// resendAfter and maxSends bound the wait for a silent home to 300 ms.
	resendAfter = 100 * time.Millisecond
	maxSends    = 3
	// closeRetryMax is the longest pause between two sends of a KeyDone.
	closeRetryMax = 2 * time.Second
	// closeFor bounds the retries of a KeyDone to a home that stays in the view
	// but does not answer.
	closeFor = 10 * time.Minute
	// fullRetryAfter is the wait suggested when records are full.
	fullRetryAfter = 5 * time.Second
	retryAfter     = time.Second
)

type phase uint8

const (
	asking  phase = iota
	running       // all homes granted
	closing       // homes are told the end until they acknowledge
)

// askedHome is one home of an attempt.
type askedHome struct {
	id       model.NodeID
	verdict  message.KeyVerdict // 0 before a reply
	viewHash uint64             // of the last KeyBegin
	granted  uint64             // view under which it granted, 0 if it did not
	sends    int
	skipped  bool // home of a former view only, and silent
	closed   bool // acknowledged the end
}

// attempt is one send of a keyed request at its runner.
type attempt struct {
	Begin
	id      uint64
	bucket  int
	issued  time.Time
	phase   phase
	homes   []*askedHome
	next    time.Time // of the next send
	done    message.KeyDone
	pause   time.Duration
	giveUp  time.Time
	waiting model.NodeID // the home being asked
}

func (c *Core) refuse(id uint64, why Reason, o message.Outcome, after time.Duration) {
	c.out = append(c.out, Refuse{ID: id, Reason: why, Outcome: o, RetryAfter: after})
}

func (c *Core) begin(e Begin) {
	issued := Issued(e.Key)
	switch {
	case c.attempts[e.ID] != nil:
		return
	case len(c.order) >= c.o.MaxAttempts:
		c.refuse(e.ID, ReasonFull, message.OutcomeUnknown, fullRetryAfter)
		return
	case c.now.Before(c.o.Opens): // no run can precede the opening
		c.refuse(e.ID, ReasonNotOpen, message.OutcomeNotRun, c.o.Opens.Sub(c.now))
		return
	case issued.After(c.now.Add(clockSkew)):
		// No home grants a key before its time, so it has not run.
		c.refuse(e.ID, ReasonTimeAhead, message.OutcomeNotRun, issued.Sub(c.now))
		return
	}
	c.lastID++
	a := &attempt{Begin: e, id: c.lastID, bucket: bucketOf(c.o.Service, e.Key), issued: issued}
	c.attempts[e.ID] = a
	c.byID[a.id] = a
	c.order = append(c.order, a)
	c.ask(a)
}

func (a *attempt) home(id model.NodeID) *askedHome {
	for _, h := range a.homes {
		if h.id == id {
			return h
		}
	}
	return nil
}

// ask sends a KeyBegin to the first home whose grant is missing or was given
// under another view. When none is left, the attempt is judged.
func (c *Core) ask(a *attempt) {
	sets := c.joint(a.bucket)
	if len(sets) == 0 || len(sets[0]) == 0 {
		c.abort(a, ReasonNoHome, message.OutcomeUnknown, retryAfter)
		return
	}
	view := c.o.Homes.Fingerprint()
	for _, id := range askOrder(a.bucket, sets) {
		h := a.home(id)
		if h == nil {
			h = &askedHome{id: id}
			a.homes = append(a.homes, h)
		}
		if h.skipped && !slices.Contains(sets[0], id) || h.granted == view && h.granted != 0 {
			continue
		}
		a.waiting = id
		h.verdict, h.granted, h.sends = 0, 0, 0
		c.sendBegin(a, h)
		return
	}
	c.judge(a, sets)
}

// askOrder returns all homes in an order that does not depend on the view, so
// that two runners with different views meet at the first common home instead
// of refusing each other.
func askOrder(bucket int, sets [][]model.NodeID) []model.NodeID {
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

func (c *Core) sendBegin(a *attempt, h *askedHome) {
	h.sends++
	h.viewHash = c.o.Homes.Fingerprint()
	a.next = c.now.Add(resendAfter)
	c.send(h.id, message.KeyBegin{
		ID: a.id, Service: c.o.Service, Key: a.Key, Fingerprint: a.Fingerprint, ViewHash: h.viewHash, Issued: a.issued,
	})
}

// judge decides after all homes stored the record: one of them must know the
// key back to its age, and of each former set one must have taken part.
func (c *Core) judge(a *attempt, sets [][]model.NodeID) {
	covered := false
	for _, h := range a.homes {
		covered = covered || h.verdict == message.KeyGranted
	}
	for _, set := range sets {
		took := slices.ContainsFunc(set, func(id model.NodeID) bool { return a.home(id).granted != 0 })
		if !took {
			c.abort(a, ReasonHomeSilent, message.OutcomeUnknown, retryAfter)
			return
		}
	}
	if !covered {
		c.abort(a, ReasonNoCoverage, message.OutcomeUnknown, retryAfter)
		return
	}
	a.phase = running
	a.next = time.Time{}
	c.out = append(c.out, Proceed{ID: a.ID})
}

func (c *Core) keyReply(from model.NodeID, m message.KeyReply) {
	a := c.byID[m.ID]
	if a == nil || a.phase != asking || a.Key != m.Key {
		return
	}
	h := a.home(from)
	if h == nil || a.waiting != from {
		return
	}
	switch m.Verdict {
	case message.KeyGranted, message.KeyNoted:
		h.verdict, h.granted = m.Verdict, h.viewHash
		c.ask(a)
	case message.KeyRetry:
		h.sends = 0 // it is not silent; ask again at the next due time
	case message.KeyInProgress:
		c.abort(a, ReasonInProgress, message.OutcomeUnknown, retryAfter)
	case message.KeyMismatch:
		c.abort(a, ReasonMismatch, message.OutcomeUnknown, 0)
	case message.KeyUnknown:
		c.abort(a, ReasonUnknown, message.OutcomeUnknown, 0)
	case message.KeyFull:
		c.abort(a, ReasonFull, message.OutcomeNotRun, fullRetryAfter)
	case message.KeyAnswered:
		if m.Answer == nil || m.Answer.Truncated {
			c.abort(a, ReasonTruncated, message.OutcomeRan, 0)
			return
		}
		c.out = append(c.out, Replay{ID: a.ID, Answer: m.Answer})
		c.close(a, message.OutcomeNotRun, nil)
	}
}

// abort refuses the request and releases the homes that may have stored it.
func (c *Core) abort(a *attempt, why Reason, o message.Outcome, after time.Duration) {
	c.refuse(a.ID, why, o, after)
	c.close(a, message.OutcomeNotRun, nil)
}

func (c *Core) ended(e Ended) {
	a := c.attempts[e.ID]
	switch {
	case a == nil:
	case a.phase == running:
		if e.Outcome == 0 {
			e.Outcome = message.OutcomeUnknown
		}
		c.close(a, e.Outcome, c.fit(e.Answer))
	case a.phase == asking: // the caller left before a decision
		c.close(a, message.OutcomeNotRun, nil)
	}
}

// fit returns the answer, without its body if it is too large to keep.
func (c *Core) fit(ans *message.Answer) *message.Answer {
	if ans == nil || len(ans.Body) <= c.o.MaxAnswer && !ans.Truncated {
		return ans
	}
	return &message.Answer{Status: ans.Status, Truncated: true}
}

// close tells the end to all homes that were asked and, after a run, to the
// homes of now, until each acknowledges.
func (c *Core) close(a *attempt, o message.Outcome, ans *message.Answer) {
	delete(c.attempts, a.ID)
	a.phase = closing
	a.done = message.KeyDone{ID: a.id, Service: c.o.Service, Key: a.Key, Outcome: o, Answer: ans}
	a.pause = resendAfter
	a.giveUp = c.now.Add(closeFor)
	if o != message.OutcomeNotRun {
		for _, id := range askOrder(a.bucket, c.joint(a.bucket)) {
			if a.home(id) == nil {
				a.homes = append(a.homes, &askedHome{id: id})
			}
		}
	}
	c.sendDone(a)
}

func (c *Core) sendDone(a *attempt) {
	for _, h := range a.homes {
		if h.closed {
			continue
		}
		if _, ok := c.members[h.id]; !ok && h.id != c.o.Self {
			h.closed = true // gone with its records
			continue
		}
		c.send(h.id, a.done)
	}
	a.next = c.now.Add(a.pause)
	a.pause = min(2*a.pause, closeRetryMax)
}

func (c *Core) keyDoneAck(from model.NodeID, m message.KeyDoneAck) {
	a := c.byID[m.ID]
	if a == nil || a.phase != closing {
		return
	}
	if h := a.home(from); h != nil {
		h.closed = true
	}
}

// driveAttempts sends again what is due and forgets closed attempts.
func (c *Core) driveAttempts() {
	for _, a := range slices.Clone(c.order) {
		if a.phase == asking && !a.Deadline.After(c.now) {
			c.abort(a, ReasonViewsDiffer, message.OutcomeUnknown, retryAfter)
		}
		if a.next.IsZero() || a.next.After(c.now) {
			continue
		}
		switch a.phase {
		case asking:
			c.askAgain(a)
		case closing:
			c.sendDone(a)
		}
	}
	c.order = slices.DeleteFunc(c.order, func(a *attempt) bool {
		open := slices.ContainsFunc(a.homes, func(h *askedHome) bool { return !h.closed })
		if a.phase != closing || open && a.giveUp.After(c.now) {
			return false
		}
		delete(c.byID, a.id)
		return true
	})
}

// askAgain repeats the KeyBegin that waits for a reply. A silent home ends the
// attempt, unless it is a home of a former view only and its observers miss it
// too: a home that lives must know each run.
func (c *Core) askAgain(a *attempt) {
	h := a.home(a.waiting)
	if h.sends < maxSends {
		c.sendBegin(a, h)
		return
	}
	sets := c.joint(a.bucket)
	m, known := c.members[h.id]
	lives := known && m.State != model.StateSuspect
	if lives || len(sets) > 0 && slices.Contains(sets[0], h.id) {
		c.abort(a, ReasonHomeSilent, message.OutcomeUnknown, retryAfter)
		return
	}
	h.skipped = true
	c.ask(a)
}
