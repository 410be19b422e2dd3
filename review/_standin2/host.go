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

// hostOptions describe a host, the stand-in of a target that ends flows itself.
type hostOptions struct {
	id, service, zone string
	app, outbound     netip.AddrPort
	control           netip.AddrPort
	heartbeat         time.Duration
	// firstHeartbeat is the time from the start to the first heartbeat.
	firstHeartbeat time.Duration
	slots          int
	work           time.Duration // of a request
	cold           time.Duration // for which the host is slow after its start
}

// host is one boot of a host.
type host struct {
	opts    hostOptions
	rec     *recorder
	started time.Time
	conn    *net.UDPConn
	health  net.Listener

	mu       sync.Mutex
	flows    map[flowKey]*hostFlow
	sequence uint64
	draining bool
	// The host is slow between these times.
	coldSince, coldAt time.Time
	stopped           bool
	opened            []time.Time // arrivals of the opening packets that were accepted
	firstAck          time.Time   // when a heartbeat was first acknowledged
}

type flowKey struct{ src, dst netip.AddrPort }

// hostFlow is the host's end of a flow.
type hostFlow struct {
	isn, received, sent uint32 // numbers after what was received and sent
	firstSeq            uint32
	open, ended         bool
	finReceived         bool
	finSent             bool
	unacked             []*sentPacket
	lastSeen            time.Time
}

// sentPacket is a packet that waits for its acknowledgement.
type sentPacket struct {
	p      packet
	sentAt time.Time
	after  time.Duration
	tries  int
}

const (
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
	maxHostTries    = 8
)

func startHost(rec *recorder, o hostOptions) (*host, error) {
	h := &host{opts: o, rec: rec, started: time.Now(), coldSince: time.Now(), coldAt: time.Now().Add(o.cold), flows: make(map[flowKey]*hostFlow)}
	var err error
	if h.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.app)); err != nil {
		return nil, err
	}
	if h.health, err = net.Listen("tcp4", o.app.String()); err != nil {
		return nil, err
	}
	rec.add("host %s starts at %s", o.id, o.app)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	go func() { _ = http.Serve(h.health, mux) }()
	go h.read()
	go h.retransmit()
	go h.sendHeartbeats()
	return h, nil
}

// crash ends the host without a word. Its flows are gone.
func (h *host) crash() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	_ = h.conn.Close()
	_ = h.health.Close()
	h.rec.add("host %s crashes", h.opts.id)
}

func (h *host) running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.stopped
}

func (h *host) sendHeartbeats() {
	time.Sleep(h.opts.firstHeartbeat)
	for h.running() {
		go h.heartbeat()
		time.Sleep(h.opts.heartbeat)
	}
}

func (h *host) heartbeat() {
	h.mu.Lock()
	h.sequence++
	n, state, cold := h.sequence, "ready", max(time.Until(h.coldAt), 0).Milliseconds()
	if h.draining {
		state = "draining"
	}
	h.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"service": h.opts.service, "address": h.opts.app.String(), "zone": h.opts.zone, "version": "v1", "slots": h.opts.slots, "state": state,
		"cold-remaining-ms": cold, "sequence": n, "born": h.started.UnixMilli(),
	})
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post(fmt.Sprintf("http://%s/bulrushshelf/instances/%s/heartbeat", h.opts.control, h.opts.id), "application/json", bytes.NewReader(body))
	status := "no answer"
	if err == nil {
		status = resp.Status
		resp.Body.Close()
		h.mu.Lock()
		if resp.StatusCode < 300 && h.firstAck.IsZero() {
			h.firstAck = time.Now()
		}
		h.mu.Unlock()
	}
	h.rec.add("host %s heartbeat %d (%s, cold for %d ms): %s", h.opts.id, n, state, cold, status)
}

func (h *host) read() {
	buf := make([]byte, 2048)
	for {
		n, err := h.conn.Read(buf)
		if err != nil {
			return
		}
		p, genuine, ok := decode(buf[:n])
		if !ok || !genuine {
			h.rec.add("host %s got a packet that nobody sent", h.opts.id)
			continue
		}
		h.mu.Lock()
		h.receive(p)
		h.mu.Unlock()
	}
}

func (h *host) write(b []byte) {
	_, _ = h.conn.WriteToUDPAddrPort(b, h.opts.outbound) // lost like any datagram
}

func (h *host) bounce(p packet) {
	p.flags |= flagBounced
	h.write(p.encode())
}

func (h *host) receive(p packet) {
	if h.stopped {
		return
	}
	key := flowKey{p.src, p.dst}
	f := h.flows[key]
	if p.has(flagSYN) {
		h.receiveSYN(key, f, p)
		return
	}
	switch {
	case f == nil, !f.open && p.ack != f.isn+1:
		h.bounce(p)
		return
	case p.has(flagRST):
		delete(h.flows, key)
		return
	case f.ended && p.has(flagFIN):
		h.send(key, f, packet{flags: flagACK}, false)
		return
	case f.ended && len(p.data) > 0:
		h.send(key, f, packet{flags: flagRST}, false)
		return
	}
	if !f.open {
		f.open = true
		h.rec.add("host %s flow %s>%s is open", h.opts.id, p.src, p.dst)
	}
	f.lastSeen = time.Now()
	f.acknowledge(p.ack)
	h.receiveData(key, f, p)
}

func (h *host) receiveSYN(key flowKey, f *hostFlow, p packet) {
	if f == nil || f.firstSeq != p.seq {
		f = &hostFlow{isn: rand.Uint32(), firstSeq: p.seq, received: p.seq + 1, lastSeen: time.Now()}
		f.sent = f.isn + 1
		h.flows[key] = f
		h.opened = append(h.opened, time.Now())
		h.rec.add("host %s (%s) takes the opening packet of %s>%s", h.opts.id, h.opts.service, p.src, p.dst)
	}
	h.write(packet{flags: flagSYN | flagACK, seq: f.isn, ack: f.received, src: p.dst, dst: p.src}.encode())
}

func (h *host) receiveData(key flowKey, f *hostFlow, p packet) {
	if len(p.data) == 0 && !p.has(flagFIN) {
		return
	}
	if p.seq != f.received {
		h.send(key, f, packet{flags: flagACK}, false)
		return
	}
	f.received = p.end()
	if len(p.data) > 0 {
		id, last := requestID(p.data), bytes.Contains(p.data, []byte(closeHeader))
		h.rec.add("host %s (%s) runs request %s of %s>%s", h.opts.id, h.opts.service, id, key.src, key.dst)
		h.rec.ran(id, h.opts.id)
		time.AfterFunc(h.opts.work, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			if !h.stopped && h.flows[key] == f {
				h.send(key, f, packet{flags: flagACK, data: response(id, h.opts.id)}, true)
				if last {
					h.close(key, f)
				}
			}
		})
	}
	if p.has(flagFIN) {
		f.finReceived = true
		h.close(key, f)
		return
	}
	h.send(key, f, packet{flags: flagACK}, false)
}

// close sends the host's FIN, if it has not been sent.
func (h *host) close(key flowKey, f *hostFlow) {
	if !f.finSent {
		f.finSent = true
		h.send(key, f, packet{flags: flagACK | flagFIN}, true)
	} else {
		h.send(key, f, packet{flags: flagACK}, false)
	}
	f.ended = f.finReceived && f.finSent
}

// send sends a packet of a flow, and again until it is acknowledged if reliable is set.
func (h *host) send(key flowKey, f *hostFlow, p packet, reliable bool) {
	p.seq, p.ack, p.src, p.dst = f.sent, f.received, key.dst, key.src
	f.sent = p.end()
	if reliable {
		f.unacked = append(f.unacked, &sentPacket{p: p, sentAt: time.Now(), after: firstRetransmit})
	}
	h.write(p.encode())
}

func (f *hostFlow) acknowledge(ack uint32) {
	rest := f.unacked[:0]
	for _, s := range f.unacked {
		if int32(s.p.end()-ack) > 0 {
			rest = append(rest, s)
		}
	}
	f.unacked = rest
}

func (h *host) retransmit() {
	for h.running() {
		time.Sleep(20 * time.Millisecond)
		h.mu.Lock()
		for _, f := range h.flows {
			for _, s := range f.unacked {
				if s.tries < maxHostTries && time.Since(s.sentAt) >= s.after {
					s.tries, s.sentAt, s.after = s.tries+1, time.Now(), min(2*s.after, maxRetransmit)
					s.p.ack = f.received
					h.write(s.p.encode())
				}
			}
		}
		h.mu.Unlock()
	}
}

// holds reports whether the host runs and holds an open flow.
func (h *host) holds(key flowKey) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[key]
	return !h.stopped && f != nil && f.open && !f.ended
}

// firstAcknowledged returns when a heartbeat was first acknowledged, zero if none was.
func (h *host) firstAcknowledged() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.firstAck
}

// mostWhileCold returns the largest number of new flows that the host accepted within one
// second after a time while it was cold.
func (h *host) mostWhileCold(after time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	most := 0
	for i, t := range h.opened {
		n := 0
		for _, u := range h.opened[i:] {
			if u.Sub(t) < time.Second && u.Before(h.coldAt) {
				n++
			}
		}
		if t.After(after) && t.After(h.coldSince) {
			most = max(most, n)
		}
	}
	return most
}

// turnCold makes the host slow for a time. Its next heartbeat tells it.
func (h *host) turnCold(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.coldSince, h.coldAt = time.Now(), time.Now().Add(d)
	h.rec.add("host %s is cold for %s", h.opts.id, d)
}

// lastSequence returns the sequence of the last heartbeat.
func (h *host) lastSequence() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sequence
}

// drain makes the host say that it leaves.
func (h *host) drain() {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	h.heartbeat()
}
