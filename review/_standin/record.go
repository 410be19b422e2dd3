package main

import (
	"fmt"
	"net/netip"
	"os"
	"sync"
	"time"
)

// The bounds of the rule FLOW: flow-stray-ms, the number of packets of its part (b), and
// stable-window-ms.
const (
	strayWindow  = 2 * time.Second
	strayPackets = 3
	stableWindow = 4 * time.Second // stable-window-ms
)

// recorder writes record.txt and judges what clients and hosts see.
type recorder struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	hosts  []*host
	owner  map[netip.AddrPort]string      // host at which a flow is open
	strays map[netip.AddrPort][]time.Time // packets at other hosts since the last at the own one
	faults []string
	count  map[string]int
	// excused are the times up to which FLOW does not count for a host: the end of a
	// disruption on it and stable-window-ms.
	excused map[string]time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, start: time.Now(), owner: map[netip.AddrPort]string{}, strays: map[netip.AddrPort][]time.Time{}, count: map[string]int{}, excused: map[string]time.Time{}}, err
}

func (r *recorder) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// note records an event.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// broken records that a rule was broken.
func (r *recorder) broken(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breakLocked(rule, format, args...)
}

func (r *recorder) breakLocked(rule, format string, args ...any) {
	text := rule + " BROKEN: " + fmt.Sprintf(format, args...)
	r.faults = append(r.faults, text)
	r.write("%s", text)
}

func (r *recorder) opened(flow netip.AddrPort, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owner[flow] = host
	r.write("flow of port %d open at %s", flow.Port(), host)
}

// ended records that a flow has ended at a host.
func (r *recorder) ended(flow netip.AddrPort, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owner[flow] == host {
		delete(r.owner, flow)
		delete(r.strays, flow)
	}
}

// hostReset judges FLOW (a) for a reset that a host sends: no other host holds the flow.
func (r *recorder) hostReset(flow netip.AddrPort, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if owner, open := r.owner[flow]; open && owner != host {
		r.breakLocked("FLOW", "port %d gets a reset of %s, where an earlier flow ended, while host %s holds its flow", flow.Port(), host, owner)
	}
}

// packetAt records that a packet of a flow reached a host.
func (r *recorder) packetAt(flow netip.AddrPort, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owner[flow] == host {
		delete(r.strays, flow)
	}
}

// stray records a packet at a host that does not hold its flow, and judges FLOW (b).
func (r *recorder) stray(flow netip.AddrPort, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	owner, open := r.owner[flow]
	r.write("packet of port %d at %s, which does not hold its flow (open at %q)", flow.Port(), host, owner)
	if !open || owner == host {
		return
	}
	r.strays[flow] = append(r.strays[flow], time.Now())
	if s := r.strays[flow]; len(s) >= strayPackets && time.Since(s[0]) >= strayWindow {
		r.breakLocked("FLOW", "for %.1f s, %d packets of port %d reached other hosts and none its own", time.Since(s[0]).Seconds(), len(s), flow.Port())
		delete(r.strays, flow)
	}
}

func (r *recorder) sent(flow netip.AddrPort, id string) { r.note("sent %s", id) }

func (r *recorder) ran(flow netip.AddrPort, host, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count["ran "+id]++
	r.write("ran %s at %s", id, host)
	if r.count["ran "+id] > 1 {
		r.breakLocked("UNASKED", "%s ran twice", id)
	}
}

func (r *recorder) answered(flow netip.AddrPort, id, answer string) {
	r.note("answered %s", id)
	if answer != "answer to "+id {
		r.broken("MIXED", "%s was answered with %q", id, answer)
	}
}

// systemReset judges FLOW (a): a reset of the system on a flow that a living host holds.
func (r *recorder) systemReset(flow netip.AddrPort) {
	for _, h := range r.hosts {
		if h.holds(flow) && r.isExcused(h.id) {
			r.note("port %d got a reset of the system while host %s holds its flow: not counted, the host has been under disruption within %v", flow.Port(), h.id, stableWindow)
			return
		}
		if h.holds(flow) {
			r.broken("FLOW", "port %d got a reset of the system while host %s holds its flow", flow.Port(), h.id)
			return
		}
	}
	r.note("port %d got a reset of the system; no host holds its flow", flow.Port())
}

// excuse excuses FLOW for a host whose disruption ends at a time.
func (r *recorder) excuse(host string, end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excused[host] = end.Add(stableWindow)
}

func (r *recorder) isExcused(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.excused[host])
}

// finish writes the result and returns the exit code.
func (r *recorder) finish() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.faults) == 0 {
		r.write("RESULT: held")
		return 0
	}
	r.write("RESULT: broken, %d times", len(r.faults))
	return 1
}
