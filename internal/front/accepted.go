package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// acceptedTimeout is how long a stopping agent waits for the first request of an
	// accepted connection. Callers send it within a round trip of the handshake.
	acceptedTimeout = time.Second
	// unansweredPoll is the interval of the check for unanswered connections.
	unansweredPoll = 5 * time.Millisecond
)

// unansweredConns tracks the connections that have a request in progress, or are so new
// that their first request may be on its way. http.Server.Shutdown closes a connection
// without an answer if it reads the request during the shutdown, so these connections
// must be answered before it is called.
type unansweredConns struct {
	mu    sync.Mutex
	conns map[net.Conn]time.Time // when a new connection no longer counts; zero for one with a request
}

func newUnansweredConns() *unansweredConns {
	return &unansweredConns{conns: make(map[net.Conn]time.Time)}
}

// setState records a change in the state of a connection.
func (u *unansweredConns) setState(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch state {
	case http.StateNew:
		u.conns[conn] = time.Now().Add(acceptedTimeout)
	case http.StateActive:
		u.conns[conn] = time.Time{}
	default:
		delete(u.conns, conn)
	}
}

func (u *unansweredConns) any(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, expires := range u.conns {
		if expires.IsZero() || now.Before(expires) {
			return true
		}
	}
	return false
}

// wait returns when all connections are answered or ctx is done.
func (u *unansweredConns) wait(ctx context.Context) {
	ticker := time.NewTicker(unansweredPoll)
	defer ticker.Stop()
	for u.any(time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
