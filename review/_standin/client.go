package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// router forwards the packets of clients to the balancers in rotation.
type router struct {
	mu       sync.Mutex
	fabric   []netip.AddrPort // of the balancers
	ready    []netip.AddrPort
	misses   []int
	rotation []bool
}

func newRouter(fabric, ready []netip.AddrPort) *router {
	return &router{fabric: fabric, ready: ready, misses: make([]int, len(fabric)), rotation: make([]bool, len(fabric))}
}

// check asks all balancers twice a second whether they are ready.
func (r *router) check() {
	client := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ; ; time.Sleep(500 * time.Millisecond) {
		for i, a := range r.ready {
			go func() {
				resp, err := client.Get("http://" + a.String() + "/bulrushshelf/ready")
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_ = resp.Body.Close()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				if ok {
					r.misses[i], r.rotation[i] = 0, true
				} else if r.misses[i]++; r.misses[i] >= 2 {
					r.rotation[i] = false
				}
			}()
		}
	}
}

// route returns the balancer for a flow: by hash over those in rotation, over all if there
// are fewer than half.
func (r *router) route(client netip.AddrPort) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []netip.AddrPort
	for i, ok := range r.rotation {
		if ok {
			in = append(in, r.fabric[i])
		}
	}
	if 2*len(in) < len(r.fabric) {
		in = r.fabric
	}
	return in[(int(client.Port())*7919>>3+int(client.Addr().As4()[3]))%len(in)]
}

func (r *router) inRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, ok := range r.rotation {
		if ok {
			n++
		}
	}
	return n
}

// client is one machine with clients.
type client struct {
	conn    *net.UDPConn
	addr    netip.Addr
	service netip.AddrPort // address of the platform
	router  *router
	rec     *recorder

	mu    sync.Mutex
	flows map[uint16]chan packet
	port  uint16
}

func newClient(addr netip.AddrPort, service netip.AddrPort, r *router, rec *recorder) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, addr: addr.Addr(), service: service, router: r, rec: rec, flows: map[uint16]chan packet{}, port: 20000}
	go c.read()
	return c, nil
}

func (c *client) read() {
	buf := make([]byte, 4096)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			continue
		}
		p, ok := decode(buf[:n])
		if !ok {
			continue
		}
		if !p.genuine() && !(p.has(flagRST) && p.sum == 0 && len(p.data) == 0) {
			c.rec.broken("MIXED", "client port %d got a packet that its sender did not write so", p.dst.Port())
			continue
		}
		if p.has(flagRST) && p.sum == 0 {
			c.rec.systemReset(p.dst)
		}
		c.mu.Lock()
		ch := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if ch != nil {
			select {
			case ch <- p:
			default:
			}
		}
	}
}

// flow is a flow of a client. Only one goroutine uses it.
type flow struct {
	c        *client
	at       netip.AddrPort
	in       chan packet
	seq      uint32
	ack      uint32
	requests int
	born     uint32 // first sequence number, which tells flows of one port apart
	reset    bool
	to       netip.AddrPort // address of the platform
	via      netip.AddrPort // balancer for a flow that is sent directly to one, else invalid
}

func (f *flow) send(p packet) {
	p.src, p.dst = f.at, f.to
	via := f.via
	if !via.IsValid() {
		via = f.c.router.route(f.at)
	}
	_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), via)
}

// open opens a flow: an opening packet with copies after 200 and 600 ms, given up after 1.4 s.
func (c *client) open() *flow { return c.openAt(c.service, netip.AddrPort{}) }

// openAt opens a flow to an address of the platform, directly through one balancer if via is
// valid. It returns nil if the flow did not open.
func (c *client) openAt(to, via netip.AddrPort) *flow {
	c.mu.Lock()
	c.port++
	port := c.port
	c.mu.Unlock()
	return c.openFrom(port, to, via)
}

// openFrom is openAt from a given port.
func (c *client) openFrom(port uint16, to, via netip.AddrPort) *flow {
	c.mu.Lock()
	f := &flow{c: c, at: netip.AddrPortFrom(c.addr, port), in: make(chan packet, 64), seq: rand.Uint32(), to: to, via: via}
	f.born = f.seq
	c.flows[port] = f.in
	c.mu.Unlock()
	start, copies := time.Now(), []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	for i := range 3 {
		f.send(packet{flags: flagSYN, seq: f.seq, ack: uint32(i)})
		timeout := time.After(time.Until(start.Add(copies[i+1])))
		for waiting := true; waiting; {
			select {
			case p := <-f.in:
				if p.has(flagRST) {
					return nil
				}
				if p.has(flagSYN) && p.has(flagACK) {
					f.seq++
					f.ack = p.seq + 1
					f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
					return f
				}
			case <-timeout:
				waiting = false
			}
		}
	}
	return nil
}

// request sends a request on an open flow and waits for its answer within the budget.
func (f *flow) request(budget time.Duration) string { return f.exchange("", budget) }

// requestLast is request, and the host closes the flow with the answer. So does the client.
func (f *flow) requestLast(budget time.Duration) string { return f.exchange(lastRequest, budget) }

// exchange sends a request with a prefix, repeats it until the answer comes, and returns how it
// ended.
func (f *flow) exchange(prefix string, budget time.Duration) string {
	f.requests++
	id := prefix + fmt.Sprintf("request %d of port %d from %d", f.requests, f.at.Port(), f.born)
	f.c.rec.sent(f.at, id)
	data, pause, deadline := []byte(id), 200*time.Millisecond, time.After(budget)
	for {
		f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack, data: data})
		timer := time.After(pause)
		pause = min(2*pause, 1600*time.Millisecond)
		for waiting := true; waiting; {
			select {
			case p := <-f.in:
				switch {
				case p.has(flagRST):
					f.reset = true
					return "reset"
				case len(p.data) > 0 && p.seq == f.ack:
					f.ack += uint32(len(p.data))
					f.seq += uint32(len(data))
					if p.has(flagFIN) {
						f.ack++
						f.send(packet{flags: flagFIN | flagACK, seq: f.seq, ack: f.ack})
					} else {
						f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
					}
					f.c.rec.answered(f.at, id, string(p.data))
					return "answered"
				case len(p.data) > 0: // a copy of an earlier answer
					f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
				}
			case <-timer:
				waiting = false
			case <-deadline:
				f.c.rec.note("no answer within %v: %s", budget, id)
				return "timeout"
			}
		}
	}
}
