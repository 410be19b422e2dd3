// Package node connects the cores of balancers and agents to sockets, timers and
// goroutines. Each task has one goroutine; bounded queues connect them.
package node

import "sync"

const bufferSize = 65536 // bytes; larger than any UDP datagram

// buffer holds one datagram. Buffers are pooled.
type buffer struct {
	data    []byte // the received bytes, a part of storage
	storage [bufferSize]byte
}

var bufferPool = sync.Pool{New: func() any { return new(buffer) }}

func newBuffer() *buffer { return bufferPool.Get().(*buffer) }

func (b *buffer) release() {
	b.data = nil
	bufferPool.Put(b)
}
