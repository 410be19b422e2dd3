// Package node runs the cores of balancers and agents against sockets, timers
// and goroutines. Each duty has one goroutine; bounded rings join them.
package node

import "sync"

const bufferSize = 65536

// buffer holds one datagram.
type buffer struct {
	data []byte // the received part
	room [bufferSize]byte
}

var buffers = sync.Pool{New: func() any { return new(buffer) }}

func newBuffer() *buffer { return buffers.Get().(*buffer) }

func (b *buffer) free() {
	b.data = nil
	buffers.Put(b)
}
