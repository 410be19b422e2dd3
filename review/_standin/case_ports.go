package main

import (
	"net/netip"
	"sync"
	"time"
)

func init() {
	scenarios["ports"] = scenario{balancers: 2, agents: 4, play: playPorts}
}

// portPause is the time from the end of a flow to the next one from its port.
const portPause = time.Second

// playPorts opens flows through balancer-2 while balancer-1 restarts as planned. The hosts
// close them with the answer. After portPause, when balancer-1 is back in rotation, it opens
// flows from the same ports through balancer-1. The disruption: balancer-1 restarts again.
func playPorts(d *deployment, trouble bool) {
	c, none := d.clients[0], netip.AddrPort{}
	var ports []uint16
	for port := uint16(30000); len(ports) < 40; port++ {
		if d.router.route(netip.AddrPortFrom(c.addr, port)) == d.router.fabric[0] {
			ports = append(ports, port)
		}
	}
	d.rec.note("balancer-1 took %v to stop", d.balancers[0].restart())
	var first sync.WaitGroup
	for _, port := range ports {
		first.Add(1)
		go func() {
			defer first.Done()
			if f := c.openFrom(port, d.service, none); f != nil && f.requestLast(time.Second) != "answered" {
				d.rec.note("no answer on port %d", port)
			}
		}()
	}
	first.Wait()
	closed := time.Now()
	d.rec.note("the hosts have closed the first flows, and so have the clients")
	for d.router.inRotation() < 2 {
		time.Sleep(10 * time.Millisecond)
	}
	d.rec.note("balancer-1 is in rotation")
	rolled := make(chan struct{})
	go func() {
		time.Sleep(time.Until(closed.Add(portPause - 400*time.Millisecond)))
		if trouble {
			d.balancers[0].restart()
		}
		close(rolled)
	}()
	time.Sleep(time.Until(closed.Add(portPause)))
	var second sync.WaitGroup
	for _, port := range ports {
		second.Add(1)
		go func() {
			defer second.Done()
			f := c.openFrom(port, d.service, none)
			for n := 0; f != nil && n < 10 && f.request(4*time.Second) == "answered"; n++ {
				time.Sleep(400 * time.Millisecond)
			}
		}()
	}
	second.Wait()
	<-rolled
}
