package front

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// leaveIdle is how long a leaving agent keeps an idle connection of a caller.
// It must be well above the time that a request takes to arrive, since a caller
// cannot tell whether a request on a connection that was just closed has run.
const leaveIdle = 10 * time.Second

// idleConns holds the callers' connections without a request.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
	left  time.Time // start of the leave; zero before
}

func newIdleConns() *idleConns { return &idleConns{since: make(map[net.Conn]time.Time)} }

// note follows the state of a connection.
func (c *idleConns) note(now time.Time, conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.since[conn] = now
	} else {
		delete(c.since, conn)
	}
}

// leave starts the time after which idle connections are closed.
func (c *idleConns) leave(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = now
}

// stay ends the closing of idle connections.
func (c *idleConns) stay() { c.leave(time.Time{}) }

// closeOld closes the connections that have been idle for leaveIdle since the
// start of the leave.
func (c *idleConns) closeOld(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left.IsZero() || now.Sub(c.left) < leaveIdle {
		return
	}
	for conn, since := range c.since {
		if now.Sub(since) >= leaveIdle {
			_ = conn.Close()
			delete(c.since, conn)
		}
	}
}
