package main

import (
	"sync"
	"time"
)

func init() {
	scenarios["health"] = scenario{balancers: 2, agents: 7, play: playHealth}
}

// checkFailure is how long the liveness check of the host fails.
const checkFailure = 6 * time.Second

// playHealth restarts one agent as planned while flows are open at its host, some of them
// idle. The disruption: the host is healthy while its liveness check fails. The idle flows
// are used again when all of it has been over for longer than stable-window-ms.
func playHealth(d *deployment, trouble bool) {
	stop := make(chan struct{})
	wait := d.users(14, 300*time.Millisecond, 1500*time.Millisecond, stop)
	time.Sleep(2 * time.Second)
	var idle []*flow
	for range 42 {
		if f := d.clients[0].open(); f != nil && f.request(1500*time.Millisecond) == "answered" {
			idle = append(idle, f)
		}
	}
	d.rec.note("%d flows fall idle", len(idle))
	end := time.Now().Add(checkFailure)
	if trouble {
		d.rec.note("the liveness check of %s fails from now on, for %v", d.hosts[0].id, checkFailure)
		d.rec.excuse(d.hosts[0].id, end)
		d.hosts[0].refuseChecks()
	}
	time.Sleep(time.Second)
	d.rec.note("agent-1 took %v to stop", d.agents[0].restart())
	time.Sleep(time.Until(end))
	if trouble {
		if err := d.hosts[0].acceptChecks(); err != nil {
			d.rec.note("%v", err)
		}
		d.rec.note("the liveness check of %s succeeds again", d.hosts[0].id)
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	d.rec.note("the idle flows are used again")
	var requests sync.WaitGroup
	for _, f := range idle {
		requests.Add(1)
		go func() {
			defer requests.Done()
			f.request(1500 * time.Millisecond)
		}()
	}
	requests.Wait()
	close(stop)
	wait()
}
