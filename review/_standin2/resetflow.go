package main

import (
	"fmt"
	"syscall"
	"time"
)

// resetFlow: the agent beside a host that has just started is stopped and started, after a
// caller has opened a flow and before the host's first heartbeat. The caller pauses and
// then goes on.
func resetFlow(rec *recorder, trouble bool) (bool, string) {
	w, err := newWorld(rec, podas)
	check(err)
	current = w
	r := route{"r-1", "facturador", "safe", w.addr(200, 8443)}
	w.store.put("config", "main", desiredState(1, 0, r))
	for n := 10; n <= 11; n++ {
		w.addFront(n)
	}
	w.addAgent(20, "facturador", true)
	old := startPodasHost(w, 20, "facturador", 0)
	w.awaitReady()
	time.Sleep(5 * time.Second) // longer than stable-window-ms: all machines are in touch

	rec.add("release: a new host and its agent start, the old host drains")
	agent := w.addAgent(21, "facturador", false)
	next := startPodasHost(w, 21, "facturador", w.site.heartbeat)
	old.drain()
	c, err := startClient(rec, w.addr(100, portDatagram), w.byHash(10, 11))
	check(err)
	f, err := c.openAny(1024, r.addr, time.Second)
	check(err)
	check(f.request("first", "GET", 1200*time.Millisecond))
	if !next.holds(f.key) {
		check(fmt.Errorf("the new host does not hold the flow"))
	}
	if trouble {
		w.restart(agent, syscall.SIGTERM, 200*time.Millisecond)
	}
	time.Sleep(7 * time.Second) // longer than stable-window-ms, shorter than idle-timeout-ms
	err = f.request("second", "GET", 1200*time.Millisecond)
	alive := next.holds(f.key)
	seen := fmt.Sprintf("answer to the second request: %v; the host lives and holds the flow: %v; reset by the system: %v", err, alive, f.wasResetBySystem())
	return f.wasResetBySystem() && alive, seen
}
