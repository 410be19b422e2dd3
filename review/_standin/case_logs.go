package main

import (
	"errors"
	"time"
)

func init() {
	scenarios["logs"] = scenario{balancers: 2, agents: 7, prepare: prepareLogs, play: playLogs}
}

// prepareLogs gives the first agent a pipe as standard output.
func prepareLogs(d *deployment) error {
	l, err := newLogPipe()
	if err != nil {
		return err
	}
	d.logs, d.agents[0].output = l, l.output
	go l.collect()
	return nil
}

// playLogs restarts one agent as planned while flows are open. The disruption: the collector
// of its log has stopped reading.
func playLogs(d *deployment, trouble bool) {
	stop := make(chan struct{})
	wait := d.users(42, 300*time.Millisecond, 5*time.Second, stop)
	time.Sleep(3 * time.Second)
	if trouble {
		d.rec.note("the collector of the log of agent-1 stops reading")
		if err := errors.Join(d.logs.stop(), d.logs.fill()); err != nil {
			d.rec.note("%v", err)
		}
	}
	time.Sleep(3 * time.Second)
	d.rec.note("agent-1 took %v to stop", d.agents[0].restart())
	time.Sleep(5 * time.Second)
	close(stop)
	wait()
}
