package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// client is a caller at one address. Each flow has a port of its own.
type client struct {
	addr netip.Addr
	rec  *recorder
	conn *net.UDPConn
	// route returns the balancer to which the routers give the packets of a flow.
	route func(key flowKey) netip.AddrPort

	mu    sync.Mutex
	flows map[uint16]*clientFlow
}

// clientFlow is the caller's end of a flow.
type clientFlow struct {
	c              *client
	key            flowKey
	next, received uint32
	accepted       bool // a SYN+ACK has arrived
	reset          bool
	resetBySystem  bool
	// oneRequest makes the caller ask the host to close the flow after its answer.
	oneRequest  bool
	finReceived bool
	unacked     []*sentPacket
	answer      []byte
	changed     chan struct{}
}

var (
	errReset   = errors.New("the flow was reset")
	errTimeout = errors.New("no answer in time")
)

func startClient(rec *recorder, addr netip.AddrPort, route func(flowKey) netip.AddrPort) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	c := &client{addr: addr.Addr(), rec: rec, conn: conn, route: route, flows: make(map[uint16]*clientFlow)}
	go c.read()
	go c.retransmit()
	return c, nil
}

func (c *client) read() {
	buf := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			return
		}
		p, genuine, ok := decode(buf[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		if f := c.flows[p.dst.Port()]; f != nil && p.src == f.key.dst {
			f.receive(p, genuine)
		}
		c.mu.Unlock()
	}
}

func (f *clientFlow) receive(p packet, genuine bool) {
	switch {
	case f.reset:
		return
	case !genuine && (!p.has(flagRST) || p.sum != 0 || len(p.data) > 0):
		f.c.rec.add("client got a packet that nobody sent: %s>%s", p.src, p.dst)
		return
	case p.has(flagRST):
		if f.accepted && p.seq-f.received > resetWindow && f.received-p.seq > resetWindow {
			return
		}
		f.reset, f.resetBySystem = true, !genuine
		f.c.rec.add("client: %s>%s is reset, by the system: %v", f.key.src, f.key.dst, !genuine)
	case p.has(flagSYN):
		if !f.accepted {
			f.accepted, f.received = true, p.seq+1
			f.unacked = nil
		}
	case !f.accepted:
		return
	default:
		f.acknowledge(p)
	}
	f.wake()
}

func (f *clientFlow) acknowledge(p packet) {
	rest := f.unacked[:0]
	for _, s := range f.unacked {
		if int32(s.p.end()-p.ack) > 0 {
			rest = append(rest, s)
		}
	}
	f.unacked = rest
	if len(p.data) == 0 && !p.has(flagFIN) {
		return
	}
	if p.seq == f.received {
		f.received = p.end()
		f.answer = append(f.answer, p.data...)
		f.finReceived = f.finReceived || p.has(flagFIN)
	}
	f.send(packet{flags: flagACK}, false)
}

func (f *clientFlow) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *clientFlow) send(p packet, reliable bool) {
	p.seq, p.ack, p.src, p.dst = f.next, f.received, f.key.src, f.key.dst
	f.next = p.end()
	if reliable {
		f.unacked = append(f.unacked, &sentPacket{p: p, sentAt: time.Now(), after: firstRetransmit})
	}
	f.c.write(f.key, p)
}

func (c *client) write(key flowKey, p packet) {
	if to := c.route(key); to.IsValid() {
		_, _ = c.conn.WriteToUDPAddrPort(p.encode(), to) // lost like any datagram
	}
}

func (c *client) retransmit() {
	for {
		time.Sleep(10 * time.Millisecond)
		c.mu.Lock()
		for _, f := range c.flows {
			for _, s := range f.unacked {
				if f.reset || time.Since(s.sentAt) < s.after {
					continue
				}
				s.tries, s.sentAt, s.after = s.tries+1, time.Now(), min(2*s.after, maxRetransmit)
				if s.p.has(flagSYN) {
					s.p.ack = uint32(s.tries) // counts the copies
					s.after = 400 * time.Millisecond
				} else {
					s.p.ack = f.received
				}
				c.write(f.key, s.p)
			}
		}
		c.mu.Unlock()
	}
}

// wait waits until done returns true.
func (f *clientFlow) wait(timeout time.Duration, done func() bool) error {
	end := time.After(timeout)
	for {
		f.c.mu.Lock()
		ok, reset, changed := done(), f.reset, f.changed
		f.c.mu.Unlock()
		switch {
		case ok:
			return nil
		case reset:
			return errReset
		}
		select {
		case <-changed:
		case <-end:
			return errTimeout
		}
	}
}

// openTimeout is the time for which a caller waits for the answer to its opening packet.
const openTimeout = 1400 * time.Millisecond

// open opens a flow from a port.
func (c *client) open(port uint16, dst netip.AddrPort) (*clientFlow, error) {
	f := &clientFlow{c: c, key: flowKey{netip.AddrPortFrom(c.addr, port), dst}, next: rand.Uint32(), changed: make(chan struct{})}
	c.mu.Lock()
	c.flows[port] = f
	f.send(packet{flags: flagSYN}, true)
	c.mu.Unlock()
	err := f.wait(openTimeout, func() bool { return f.accepted })
	if err != nil {
		c.mu.Lock()
		f.unacked = nil
		c.mu.Unlock()
	}
	return f, err
}

// retryDelay is the pause before a caller opens a flow again after a reset.
const retryDelay = 30 * time.Millisecond

// openAny opens a flow from the first of the ports from which it succeeds.
func (c *client) openAny(port uint16, dst netip.AddrPort, timeout time.Duration) (*clientFlow, error) {
	for end := time.Now().Add(timeout); ; port++ {
		f, err := c.open(port, dst)
		if err == nil || time.Now().After(end) {
			return f, err
		}
		time.Sleep(retryDelay)
	}
}

// request sends a request on the flow and waits for its answer.
func (f *clientFlow) request(id, method string, timeout time.Duration) error {
	body := strings.Repeat("x", 900)
	if method == "GET" {
		body = ""
	}
	connection := ""
	if f.oneRequest {
		connection = closeHeader
	}
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: %s\r\nX-Bulrushshelf-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", method, id, f.key.dst, id, connection, len(body), body)
	f.c.rec.add("client sends request %s on %s>%s", id, f.key.src, f.key.dst)
	f.c.mu.Lock()
	f.answer = nil
	f.send(packet{flags: flagACK, data: []byte(text)}, true)
	f.c.mu.Unlock()
	err := f.wait(timeout, func() bool { return strings.Contains(string(f.answer), "Request-Id: "+id+"\r\n") })
	if err != nil {
		f.c.rec.add("client: request %s has no answer: %v", id, err)
		f.giveUp()
		return err
	}
	f.c.rec.add("client: request %s is answered", id)
	return nil
}

// giveUp sends the caller's FIN, and no data again.
func (f *clientFlow) giveUp() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	f.unacked = nil
	if !f.reset {
		f.send(packet{flags: flagACK | flagFIN}, true)
	}
}

// close closes the flow from both ends. The host goes first if it was asked to.
func (f *clientFlow) close() error {
	if f.oneRequest {
		if err := f.wait(2*time.Second, func() bool { return f.finReceived }); err != nil {
			return err
		}
	}
	f.c.mu.Lock()
	f.send(packet{flags: flagACK | flagFIN}, true)
	f.c.mu.Unlock()
	return f.wait(2*time.Second, func() bool { return f.finReceived && len(f.unacked) == 0 })
}

// wasResetBySystem reports whether a reset of the system ended the flow.
func (f *clientFlow) wasResetBySystem() bool {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	return f.resetBySystem
}

const closeHeader = "Connection: close\r\n"

const idHeader = "X-Bulrushshelf-Request-Id: "

// requestID returns the id of a request.
func requestID(data []byte) string {
	_, rest, _ := strings.Cut(string(data), idHeader)
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

// response returns a host's response to a request.
func response(id, host string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Bulrushshelf-Server-Stamp: %s\r\n%s%s\r\nContent-Length: 2\r\n\r\nok", host, idHeader, id)
}
