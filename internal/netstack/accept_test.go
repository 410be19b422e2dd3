package netstack

import (
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against connections that were accepted by the stack and are cut off because the
// listener closes before the server has taken them.
func TestFaultCloseWithAcceptedConnections(t *testing.T) {
	for range 50 { // select is random
		is := is.New(t)
		l := &Listener{conns: make(chan net.Conn, 4), closed: make(chan struct{})}
		for range 3 {
			c, _ := net.Pipe()
			l.conns <- c
		}
		is.NoErr(l.Close())
		for range 3 {
			_, err := l.Accept()
			is.NoErr(err)
		}
		_, err := l.Accept()
		is.True(errors.Is(err, net.ErrClosed))
	}
}
