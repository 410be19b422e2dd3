package paths

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
)

// queue holds peers in order of the time at which their next probing is due. All entries of a queue
// wait for the same interval, so they are due in the order in which they were pushed.
type queue struct{ entries []entry }

type entry struct {
	peer       *peer
	generation uint64
	due        time.Time
}

// push schedules the peer's next probing. It invalidates the peer's entry in any queue.
func (q *queue) push(p *peer, due time.Time) {
	p.generation++
	q.entries = append(q.entries, entry{p, p.generation, due})
}

// pop removes and returns the next peer whose probing is due, or returns nil.
func (q *queue) pop(now time.Time) *peer {
	for len(q.entries) > 0 && !now.Before(q.entries[0].due) {
		e := q.entries[0]
		q.entries[0] = entry{}
		q.entries = q.entries[1:]
		if e.peer.generation == e.generation {
			return e.peer
		}
	}
	return nil
}

// refillTokens adds the tokens of the time since the last call, up to those of one second.
func (p *Paths) refillTokens(now time.Time) {
	rate := float64(p.opts.Rate)
	if p.refilledAt.IsZero() {
		p.tokens = rate
	} else if d := now.Sub(p.refilledAt); d > 0 {
		p.tokens = min(rate, p.tokens+rate*d.Seconds())
	}
	p.refilledAt = now
}

// sendDueProbes probes the peers of a queue that are due, while tokens remain. A fast round may
// overdraw the tokens, which delays later probes.
func (p *Paths) sendDueProbes(now time.Time, q *queue, out []Action) []Action {
	for p.tokens >= 1 {
		to := q.pop(now)
		if to == nil {
			break
		}
		if now.Sub(to.lastUsed) > p.opts.IdleTimeout {
			delete(p.peers, to.id)
			continue
		}
		if q == &p.fast {
			to.fastRounds--
			for i := range to.paths {
				out = append(out, p.sendProbe(now, to, i))
			}
		} else {
			out = append(out, p.sendProbe(now, to, to.nextPath))
			to.nextPath = (to.nextPath + 1) % len(to.paths)
		}
		p.scheduleNext(now, to)
	}
	return out
}

// scheduleNext schedules the peer's next probing: a fast round while rounds are left and a path
// that is not silent has lost probes, else the rotation.
func (p *Paths) scheduleNext(now time.Time, to *peer) {
	if to.fastRounds > 0 && to.hasUnresolvedLosses() {
		p.fast.push(to, now.Add(p.opts.FastInterval))
		return
	}
	to.fastRounds = 0
	p.rotation.push(to, now.Add(p.opts.Interval))
}

// hasUnresolvedLosses reports whether a path that is not marked silent has lost probes.
func (p *peer) hasUnresolvedLosses() bool {
	for i := range p.paths {
		if p.paths[i].lost > 0 && !p.paths[i].silent {
			return true
		}
	}
	return false
}

func (p *Paths) sendProbe(now time.Time, to *peer, path int) Action {
	p.tokens--
	p.lastID++
	to.paths[path].lastSent = p.lastID
	p.pending = append(p.pending, pendingProbe{to, path, p.lastID, now.Add(p.opts.Timeout)})
	return Send{to.id, path, message.Probe{ID: p.lastID, Path: uint8(path)}}
}

// expireProbes counts the probes that timed out as lost, unless they or later ones on their path
// were answered.
func (p *Paths) expireProbes(now time.Time) []Action {
	var out []Action
	for len(p.pending) > 0 && !now.Before(p.pending[0].due) {
		probe := p.pending[0]
		p.pending[0] = pendingProbe{}
		p.pending = p.pending[1:]
		path := &probe.peer.paths[probe.path]
		if probe.id <= path.lastAcked || p.peers[probe.peer.id] != probe.peer {
			continue
		}
		if path.lost == 0 {
			path.firstLost = probe.id
		}
		path.lost++
		out = probe.peer.markSilent(out)
		if probe.peer.fastRounds == 0 && probe.peer.fastAllowed && probe.peer.hasUnresolvedLosses() {
			probe.peer.fastRounds, probe.peer.fastAllowed = maxFastRounds, false
			p.fast.push(probe.peer, now.Add(p.opts.FastInterval))
		}
	}
	return out
}
