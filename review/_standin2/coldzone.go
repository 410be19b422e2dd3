package main

import (
	"fmt"
	"time"
)

// evacuationBound is evac-ms of strobl-lb-grown.
const evacuationBound = 5 * time.Second

// touchTime is longer than stable-window-ms of strobl-lb-grown.
const touchTime = 6 * time.Second

// startStrobl starts a deployment with hosts in two zones: machines 20 and above in the
// first, 30 and above in the second.
func startStrobl(rec *recorder, machines ...int) (*world, map[int]*host, route) {
	w, err := newWorld(rec, strobl)
	check(err)
	current = w
	r := route{"r-1", "ablese", "safe", w.addr(200, 8443)}
	w.store.put("config", "main", desiredState(1, coldPerSecond, r))
	for n := 10; n <= 11; n++ {
		w.addFront(n)
	}
	hosts := make(map[int]*host)
	for _, n := range machines {
		w.addAgent(n, "ablese", true)
		hosts[n] = startStroblHost(w, n, fmt.Sprintf("i-%d", n), 0, 0)
	}
	w.awaitReady()
	return w, hosts, r
}

func startStroblHost(w *world, n int, id string, firstHeartbeat, cold time.Duration) *host {
	h, err := startHost(w.rec, hostOptions{
		id: id, service: "ablese", zone: w.zoneOf(n), app: w.addr(n, portApp), outbound: w.addr(n, portOutbound),
		control: w.addr(n, portControl), heartbeat: w.site.heartbeat, firstHeartbeat: firstHeartbeat, slots: 3, work: 20 * time.Millisecond, cold: cold,
	})
	check(err)
	return h
}

// coldZone: a zone is evacuated, its host turns cold, and the evacuation is taken back.
func coldZone(rec *recorder, trouble bool) (bool, string) {
	w, hosts, r := startStrobl(rec, 20, 30, 31)
	h := hosts[20]
	c, err := startClient(rec, w.addr(100, portDatagram), w.byHash(10, 11))
	check(err)
	go offerNewFlows(c, r)
	time.Sleep(touchTime)
	if trouble {
		w.store.put("evacuations", w.site.zone, map[string]any{})
		rec.add("operator: the evacuation of %s is acknowledged", w.site.zone)
	}
	time.Sleep(evacuationBound + 2*time.Second)
	for last := h.lastSequence(); h.lastSequence() == last; {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	if trouble {
		h.turnCold(coldTime)
		time.Sleep(50 * time.Millisecond)
		w.store.remove("evacuations", w.site.zone)
		rec.add("operator: the evacuation is taken back")
	}
	time.Sleep(coldTime)
	most := h.mostWhileCold(h.started)
	return float64(most) > coldBound, seenWhileCold(most, "")
}
