package paths

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
)

// queue holds peers by the time of their next turn. All entries of a queue wait
// for the same interval, so the order of pushes is the order of the times.
type queue struct{ entries []entry }

type entry struct {
	peer *peer
	turn uint64
	due  time.Time
}

// push sets the peer's next turn; an entry that it has in any queue is void.
func (q *queue) push(p *peer, due time.Time) {
	p.turn++
	q.entries = append(q.entries, entry{p, p.turn, due})
}

// pop returns the next peer whose turn has come, or nil.
func (q *queue) pop(now time.Time) *peer {
	for len(q.entries) > 0 && !now.Before(q.entries[0].due) {
		e := q.entries[0]
		q.entries[0] = entry{}
		q.entries = q.entries[1:]
		if e.peer.turn == e.turn {
			return e.peer
		}
	}
	return nil
}

// fill adds the probes that have become free since the last call, at most those
// of one second.
func (p *Paths) fill(now time.Time) {
	rate := float64(p.opts.Rate)
	if p.filled.IsZero() {
		p.tokens = rate
	} else if d := now.Sub(p.filled); d > 0 {
		p.tokens = min(rate, p.tokens+rate*d.Seconds())
	}
	p.filled = now
}

// probe takes the turns that are due while probes are free. A fast turn may use
// more than are free, which later turns wait for.
func (p *Paths) probe(now time.Time, q *queue, out []Action) []Action {
	for p.tokens >= 1 {
		to := q.pop(now)
		if to == nil {
			break
		}
		if now.Sub(to.used) > p.opts.UsedFor {
			delete(p.peers, to.id)
			continue
		}
		if q == &p.fast {
			to.fast--
			for i := range to.paths {
				out = append(out, p.send(now, to, i))
			}
		} else {
			out = append(out, p.send(now, to, to.next))
			to.next = (to.next + 1) % len(to.paths)
		}
		p.schedule(now, to)
	}
	return out
}

// schedule sets the peer's next turn: a fast one while a path has lost probes
// and is not yet known to be silent.
func (p *Paths) schedule(now time.Time, to *peer) {
	if to.fast > 0 && to.doubtful() {
		p.fast.push(to, now.Add(p.opts.FastInterval))
		return
	}
	to.fast = 0
	p.normal.push(to, now.Add(p.opts.Interval))
}

func (p *peer) doubtful() bool {
	for i := range p.paths {
		if p.paths[i].lost > 0 && !p.paths[i].silent {
			return true
		}
	}
	return false
}

func (p *Paths) send(now time.Time, to *peer, path int) Action {
	p.tokens--
	p.lastID++
	to.paths[path].sent = p.lastID
	p.sent = append(p.sent, sentProbe{to, path, p.lastID, now.Add(p.opts.Timeout)})
	return Send{to.id, path, message.Probe{ID: p.lastID, Path: uint8(path)}}
}

// expire counts the probes whose time is over as lost, unless they or later ones
// on their path were answered.
func (p *Paths) expire(now time.Time) []Action {
	var out []Action
	for len(p.sent) > 0 && !now.Before(p.sent[0].due) {
		s := p.sent[0]
		p.sent[0] = sentProbe{}
		p.sent = p.sent[1:]
		at := &s.peer.paths[s.path]
		if s.id <= at.acked || p.peers[s.peer.id] != s.peer {
			continue
		}
		if at.lost == 0 {
			at.firstLost = s.id
		}
		at.lost++
		out = s.peer.judge(out)
		if s.peer.fast == 0 && s.peer.alive && s.peer.doubtful() {
			s.peer.fast, s.peer.alive = maxFastTurns, false
			p.fast.push(s.peer, now.Add(p.opts.FastInterval))
		}
	}
	return out
}
