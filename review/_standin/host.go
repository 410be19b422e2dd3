package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// lastRequest is the start of a request after which the host closes the flow.
const lastRequest = "last "

// hostFlow is a flow that a host holds.
type hostFlow struct {
	isn      uint32 // of the host
	open     bool   // the client has acknowledged isn
	next     uint32 // sequence number that the client sends next
	sent     uint32 // sequence number that the host sends next
	lastAck  uint32
	answered map[uint32]bool
}

// host is a stand-in of an application host beside an agent.
type host struct {
	id, service, zone string
	addr              netip.AddrPort // app: UDP and health checks
	outbound, control netip.AddrPort
	beat              time.Duration
	work              time.Duration
	rec               *recorder

	mu       sync.Mutex
	conn     *net.UDPConn
	checks   net.Listener                 // of liveness checks, nil while they are refused
	flows    map[netip.AddrPort]*hostFlow // by client and port; one address of the platform
	closed   map[netip.AddrPort]bool      // flows that have ended
	draining bool
	ended    bool
	born     int64
	sequence uint64
	drainAck time.Time
}

func (h *host) start() error {
	var err error
	if h.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.addr)); err != nil {
		return err
	}
	h.closed = map[netip.AddrPort]bool{}
	h.flows, h.born = map[netip.AddrPort]*hostFlow{}, time.Now().UnixMilli()
	if err := h.acceptChecks(); err != nil {
		return err
	}
	go h.read()
	go h.sendHeartbeats()
	return nil
}

// acceptChecks opens the port of the liveness check.
func (h *host) acceptChecks() error {
	ln, err := net.Listen("tcp4", h.addr.String())
	if err != nil {
		return err
	}
	h.checks = ln
	go func() { _ = http.Serve(ln, http.HandlerFunc(h.health)) }()
	return nil
}

// refuseChecks makes the liveness check fail: its connections are refused. The host goes on
// serving its flows and sending heartbeats.
func (h *host) refuseChecks() {
	_ = h.checks.Close()
}

func (h *host) health(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining || h.ended {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (h *host) sendHeartbeats() {
	for ; ; time.Sleep(h.beat) {
		h.mu.Lock()
		if h.ended {
			h.mu.Unlock()
			return
		}
		h.mu.Unlock()
		h.heartbeat()
	}
}

func (h *host) heartbeat() {
	h.mu.Lock()
	h.sequence++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": h.service, "address": h.addr.String(), "zone": h.zone, "version": "v1", "slots": 3, "state": state,
		"cold-remaining-ms": 0, "sequence": h.sequence, "born": h.born,
	})
	h.mu.Unlock()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post(fmt.Sprintf("http://%s/bulrushshelf/instances/%s/heartbeat", h.control, h.id), "application/json", bytes.NewReader(body))
	if err != nil {
		return
	}
	defer resp.Body.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	if resp.StatusCode/100 == 2 && state == "draining" && h.drainAck.IsZero() {
		h.drainAck = time.Now()
	}
}

func (h *host) read() {
	buf := make([]byte, 4096)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			continue
		}
		p, ok := decode(buf[:n])
		if !ok {
			continue
		}
		h.handle(p, buf[:n])
	}
}

func (h *host) send(p packet) {
	_, _ = h.conn.WriteToUDPAddrPort(p.encode(), h.outbound)
}

// bounce returns a packet of a flow that the host does not hold.
func (h *host) bounce(raw []byte) {
	b := append([]byte(nil), raw...)
	b[2] |= flagBounced
	_, _ = h.conn.WriteToUDPAddrPort(b, h.outbound)
}

func (h *host) handle(p packet, raw []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !p.genuine() {
		h.rec.broken("UNASKED", "host %s got a packet that its sender did not write so: flags %d from %s", h.id, p.flags, p.src)
		return
	}
	h.rec.packetAt(p.src, h.id)
	f := h.flows[p.src]
	switch {
	case p.has(flagSYN):
		delete(h.closed, p.src)
		if f == nil {
			f = &hostFlow{isn: rand.Uint32(), next: p.seq + 1, answered: map[uint32]bool{}}
			f.sent = f.isn + 1
			h.flows[p.src] = f
		}
		h.send(packet{flags: flagSYN | flagACK, seq: f.isn, ack: f.next, src: p.dst, dst: p.src})
		return
	case h.closed[p.src]:
		h.answerEnded(p)
		return
	case f == nil || !f.open && p.ack != f.isn+1:
		h.rec.stray(p.src, h.id)
		h.bounce(raw)
		return
	case p.has(flagRST):
		delete(h.flows, p.src)
		return
	}
	if !f.open {
		f.open = true
		h.rec.opened(p.src, h.id)
	}
	f.lastAck = p.ack
	if p.has(flagFIN) {
		delete(h.flows, p.src)
		h.closed[p.src] = true
		h.rec.ended(p.src, h.id)
		h.send(packet{flags: flagACK, seq: f.sent, ack: p.seq + 1, src: p.dst, dst: p.src})
		return
	}
	if len(p.data) > 0 && p.seq == f.next {
		f.next += uint32(len(p.data))
		h.rec.ran(p.src, h.id, string(p.data))
		go h.answer(p, f)
		return
	}
	if len(p.data) > 0 {
		h.send(packet{flags: flagACK, seq: f.sent, ack: f.next, src: p.dst, dst: p.src})
	}
}

// answerEnded answers a packet of a flow that has ended: a FIN with an ACK, data with a reset.
func (h *host) answerEnded(p packet) {
	h.rec.stray(p.src, h.id)
	switch {
	case p.has(flagFIN):
		h.send(packet{flags: flagACK, seq: p.ack, ack: p.seq + 1, src: p.dst, dst: p.src})
	case len(p.data) > 0:
		h.rec.hostReset(p.src, h.id)
		h.send(packet{flags: flagRST | flagACK, seq: p.ack, ack: p.seq, src: p.dst, dst: p.src})
	}
}

// answer answers a request and repeats the answer until the client acknowledges it.
func (h *host) answer(p packet, f *hostFlow) {
	time.Sleep(h.work)
	h.mu.Lock()
	out := packet{flags: flagACK, seq: f.sent, ack: f.next, src: p.dst, dst: p.src, data: append([]byte("answer to "), p.data...)}
	f.sent += uint32(len(out.data))
	if bytes.HasPrefix(p.data, []byte(lastRequest)) { // the host closes the flow after the answer
		out.flags |= flagFIN
		f.sent++
	}
	h.mu.Unlock()
	pause := 200 * time.Millisecond
	for range 9 {
		h.mu.Lock()
		done := h.ended || h.flows[p.src] != f || int32(f.lastAck-out.seq) > 0
		if !done {
			out.ack = f.next
			h.send(out)
		}
		h.mu.Unlock()
		if done {
			return
		}
		time.Sleep(pause)
		pause = min(2*pause, 1600*time.Millisecond)
	}
}

// holds reports whether the host lives and holds an open flow of a client.
func (h *host) holds(client netip.AddrPort) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[client]
	return !h.ended && f != nil && f.open
}
