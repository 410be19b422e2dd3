package front

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloseDelay is the idle time after which a leaving agent closes a caller's connection. It
// must be well above the time that a request takes to arrive: if a connection closes while a
// request is on its way, the caller can't tell whether the request ran.
const idleCloseDelay = 10 * time.Second

// idleConns tracks the connections of callers that have no request in progress.
type idleConns struct {
	mu           sync.Mutex
	idleSince    map[net.Conn]time.Time
	closingSince time.Time // when the agent started to leave; zero if it is not leaving
}

func newIdleConns() *idleConns { return &idleConns{idleSince: make(map[net.Conn]time.Time)} }

// setState records a change in the state of a connection.
func (c *idleConns) setState(now time.Time, conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idleSince[conn] = now
	} else {
		delete(c.idleSince, conn)
	}
}

// startClosing makes closeExpired close connections that are idle for idleCloseDelay after now.
func (c *idleConns) startClosing(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closingSince = now
}

// stopClosing undoes startClosing.
func (c *idleConns) stopClosing() { c.startClosing(time.Time{}) }

// closeExpired closes the connections that have been idle for idleCloseDelay, once that time
// has also passed since startClosing.
func (c *idleConns) closeExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closingSince.IsZero() || now.Sub(c.closingSince) < idleCloseDelay {
		return
	}
	for conn, idleSince := range c.idleSince {
		if now.Sub(idleSince) >= idleCloseDelay {
			_ = conn.Close()
			delete(c.idleSince, conn)
		}
	}
}
