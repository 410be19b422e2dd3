package front

import (
	"context"
	"net"
	"time"
)

const (
	// dialTimeout is the time after which a target or agent that accepts no connection is
	// unreachable.
	dialTimeout = time.Second
	// maxDialDelay is the time beyond dialTimeout after which a failed attempt shows that this
	// process did not run, and nothing about the other end.
	maxDialDelay = 50 * time.Millisecond
	// maxDials bounds the attempts, in case the process gets little processor time for longer.
	maxDials = 5
)

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// redialAfterPause returns a dial function that repeats an attempt that timed out because the
// process was paused, until ctx is done.
func redialAfterPause(dial dialFunc, now func() time.Time) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		for n := 1; ; n++ {
			began := now()
			conn, err := dial(ctx, network, addr)
			if err == nil || n == maxDials || ctx.Err() != nil || now().Sub(began) <= dialTimeout+maxDialDelay {
				return conn, err
			}
		}
	}
}
