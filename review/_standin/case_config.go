package main

import (
	"net/netip"
	"time"
)

func init() {
	scenarios["config"] = scenario{balancers: 2, agents: 3, play: playConfig}
}

const (
	idleRoutes    = 1750                   // five times the 350 routes of big_config
	stormGap      = 60 * time.Millisecond  // gap_s of config_storm
	stormVersions = 25                     // in its 1.5 s
	propagation   = 3 * time.Second        // config-propagation-ms
	watchFor      = 14 * time.Second       // from the end of the storm
	checkInterval = 500 * time.Millisecond // between two checks of all balancers
	firstPort     = 9000                   // of the routes that come and go
)

// playConfig writes desired states in quick succession. Each drops the route that the one
// before had added. The disruption: just before, the open connections to the store go silent.
func playConfig(d *deployment, trouble bool) {
	d.putConfig(10, idleRoutes, firstPort)
	time.Sleep(propagation)
	d.putConfig(11, idleRoutes, firstPort)
	time.Sleep(300 * time.Millisecond) // all balancers wait for the next change
	disrupted := time.Now()
	if trouble {
		d.store.silence()
		d.rec.note("all open connections to the store go silent for good; new ones work")
	}
	for i := 1; i <= stormVersions; i++ {
		d.putConfig(11+2*i, idleRoutes, firstPort+i)
		time.Sleep(stormGap)
	}
	acked, last := time.Now(), firstPort+stormVersions
	d.rec.note("ack of version %d, which has a route on port %d only", 11+2*stormVersions, last)
	inTouch := disrupted.Add(stableWindow)
	if bound := acked.Add(propagation); bound.After(inTouch) {
		inTouch = bound
	}
	time.Sleep(time.Until(inTouch.Add(200 * time.Millisecond)))
	for time.Since(acked) < watchFor {
		for i, via := range d.router.fabric {
			d.checkRoutes(i+1, via, last, time.Since(acked))
		}
		time.Sleep(checkInterval)
	}
}

// checkRoutes sends a request on the route of the last version, and one on each of some dropped routes,
// directly through one balancer.
func (d *deployment) checkRoutes(balancer int, via netip.AddrPort, last int, age time.Duration) {
	address := func(port int) netip.AddrPort { return netip.AddrPortFrom(d.service.Addr(), uint16(port)) }
	if d.clients[0].openAt(address(last), via) == nil {
		d.rec.broken("CONFIG", "%.1f s after the ack, balancer-%d refuses a flow on the route of the last version", age.Seconds(), balancer)
	}
	for port := firstPort; port < last; port += 4 {
		f := d.clients[0].openAt(address(port), via)
		if f != nil && f.request(1500*time.Millisecond) == "answered" {
			d.rec.broken("CONFIG", "%.1f s after the ack, a request through balancer-%d ran on the dropped route on port %d", age.Seconds(), balancer, port)
		}
	}
}
