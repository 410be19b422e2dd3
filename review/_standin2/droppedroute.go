package main

import (
	"fmt"
	"net/netip"
	"time"
)

// podas is the site podas-edge with fewer machines.
var podas = site{zone: "stgo-a", heartbeat: 1200 * time.Millisecond, linkMbps: 1000}

// configBound is config-propagation-ms of podas-edge.
const configBound = 3 * time.Second

// droppedRoute: a caller closes a flow, the operator drops its route, and the caller opens
// the next flows from the same port. Later the operator gives the address to another service.
func droppedRoute(rec *recorder, trouble bool) (bool, string) {
	w, err := newWorld(rec, podas)
	check(err)
	current = w
	kept := route{"r-kept", "facturador", "unsafe", w.addr(200, 8080)}
	dropped := route{"r-dropped", "facturador", "unsafe", w.addr(201, 8080)}
	w.store.put("config", "main", desiredState(1, 0, kept, dropped))
	for n := 10; n <= 11; n++ {
		w.addFront(n)
	}
	for n := 20; n <= 21; n++ {
		w.addAgent(n, "facturador", true)
		startPodasHost(w, n, "facturador", 0)
	}
	w.addAgent(22, "evidencias", true)
	startPodasHost(w, 22, "evidencias", 0)
	w.awaitReady()
	time.Sleep(5 * time.Second) // longer than stable-window-ms: all machines are in touch

	c, err := startClient(rec, w.addr(100, portDatagram), w.byHash(10, 11))
	check(err)
	f, err := c.open(reusedPort, dropped.addr)
	check(err)
	f.oneRequest = true
	check(f.request("before", "POST", 1500*time.Millisecond))
	check(f.close())
	rec.add("client: the flow is closed from both ends")
	time.Sleep(500 * time.Millisecond)
	if trouble {
		w.store.put("config", "main", desiredState(5, 0, kept))
		rec.add("operator: version 5 without r-dropped is acknowledged")
	}
	time.Sleep(configBound + time.Second)
	ranWrongly := 0
	for n := 1; n <= 3; n++ {
		// Another port shows that the version is in effect.
		other, same := c.send(reusedPort+2*uint16(n), dropped.addr, fmt.Sprintf("dropped-other-port-%d", n)), c.send(reusedPort, dropped.addr, fmt.Sprintf("dropped-same-port-%d", n))
		if trouble {
			ranWrongly += len(other) + len(same)
		}
		time.Sleep(4 * time.Second)
	}
	toOther := 0
	if trouble {
		dropped.service = "evidencias"
		w.store.put("config", "main", desiredState(9, 0, kept, dropped))
		rec.add("operator: version 9 with the address of r-dropped for evidencias is acknowledged")
		time.Sleep(configBound + time.Second)
		c.send(reusedPort+10, dropped.addr, "moved-other-port")
		for _, host := range c.send(reusedPort, dropped.addr, "moved-same-port") {
			if host != "i-22" {
				toOther++
			}
		}
	}
	return ranWrongly+toOther > 0, fmt.Sprintf("%d requests ran on the dropped route, %d at the service of the older version", ranWrongly, toOther)
}

// reusedPort is the port from which the caller opens its flows one after the other.
const reusedPort = 1024

// send sends a request on a flow of its own, closes the flow, and returns the hosts that ran
// the request.
func (c *client) send(port uint16, to netip.AddrPort, id string) []string {
	f, err := c.open(port, to)
	if err != nil {
		return nil
	}
	f.oneRequest = true
	if f.request(id, "POST", 1500*time.Millisecond) == nil {
		check(f.close())
	}
	return c.rec.ranBy(id)
}

func startPodasHost(w *world, n int, service string, firstHeartbeat time.Duration) *host {
	h, err := startHost(w.rec, hostOptions{
		id: fmt.Sprintf("i-%d", n), service: service, zone: w.zoneOf(n), app: w.addr(n, portApp), outbound: w.addr(n, portOutbound),
		control: w.addr(n, portControl), heartbeat: w.site.heartbeat, firstHeartbeat: firstHeartbeat, slots: 3, work: 20 * time.Millisecond,
	})
	check(err)
	return h
}
