package main

import (
	"fmt"
	"time"
)

// strobl is the site strobl-lb-grown with fewer machines.
var strobl = site{
	zone: "muc-a", secondZone: "muc-b", heartbeat: 770 * time.Millisecond, linkMbps: 200,
	agentArgs: []string{"--cold-factor=1.5", "--cold-slack=5"}, balancerArgs: []string{"--evacuation-bound=5000ms"},
}

// Figures of the case. A cold host may get coldPerSecond x cold-over + cold-slack new flows
// in one second.
const (
	coldPerSecond = 4
	coldBound     = 4*1.5 + 5
	coldTime      = 2 * time.Second
	downTime      = 500 * time.Millisecond
	longFlows     = 30
	newFlowsEvery = 5 * time.Millisecond
)

// offerNewFlows opens a flow for a request again and again.
func offerNewFlows(c *client, r route) {
	for port := uint16(20000); ; port++ {
		time.Sleep(newFlowsEvery)
		go callOnce(c, port, r)
	}
}

func seenWhileCold(n int, when string) string {
	return fmt.Sprintf("at most %d new flows in one second reached the cold host%s; the bound is %v", n, when, coldBound)
}

// coldRestart: a host goes down and comes up again while callers have flows open there.
// Only what reaches it after its first heartbeat was acknowledged counts.
func coldRestart(rec *recorder, trouble bool) (bool, string) {
	w, hosts, r := startStrobl(rec, 20, 21, 22)
	last := hosts[22]
	c, err := startClient(rec, w.addr(100, portDatagram), w.byHash(10, 11))
	check(err)
	for i := range longFlows {
		go callRepeatedly(c, uint16(2000+100*i), r, i)
	}
	go offerNewFlows(c, r)
	time.Sleep(touchTime)
	if trouble {
		last.crash()
		time.Sleep(downTime)
		last = startStroblHost(w, 22, "i-22-again", w.site.heartbeat, coldTime)
	}
	time.Sleep(coldTime + time.Second)
	most := last.mostWhileCold(last.firstAcknowledged())
	return float64(most) > coldBound, seenWhileCold(most, " after its first heartbeat was acknowledged")
}

// coldAddition: a host and its agent are added. Both start at the same moment, so that the
// host's first heartbeat finds nobody.
func coldAddition(rec *recorder, trouble bool) (bool, string) {
	w, _, r := startStrobl(rec, 20, 21)
	c, err := startClient(rec, w.addr(100, portDatagram), w.byHash(10, 11))
	check(err)
	go offerNewFlows(c, r)
	time.Sleep(touchTime)
	most := 0
	if trouble {
		added := startStroblHost(w, 22, "i-22", 0, coldTime)
		w.addAgent(22, "ablese", false)
		time.Sleep(coldTime)
		most = added.mostWhileCold(added.started)
	} else {
		time.Sleep(coldTime)
	}
	return float64(most) > coldBound, seenWhileCold(most, "")
}

// callRepeatedly keeps a flow open for requests, and opens another one when it ends.
func callRepeatedly(c *client, port uint16, r route, i int) {
	for ; ; port++ {
		f, err := c.open(port, r.addr)
		for n := 0; err == nil; n++ {
			err = f.request(fmt.Sprintf("long-%d-%d-%d", i, port, n), "GET", 1200*time.Millisecond)
			time.Sleep(time.Second)
		}
		time.Sleep(retryDelay)
	}
}

// callOnce sends one request on a flow of its own.
func callOnce(c *client, port uint16, r route) {
	f, err := c.open(port, r.addr)
	if err != nil {
		return // counted by nobody: the caller may try again
	}
	f.oneRequest = true
	if f.request(fmt.Sprintf("once-%d", port), "GET", 1200*time.Millisecond) == nil {
		_ = f.close()
	}
}
