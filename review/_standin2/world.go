package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Ports of all machines of a deployment, as in the settings.
const (
	portDatagram = 8172
	portReady    = 8167
	portControl  = 8166
	portOutbound = 8162
	portApp      = 8165
	portPeer     = 7720 // first of port-range
	portMetrics  = 7735 // second of port-range
	portStore    = 8169
)

// site holds what the settings of a site say.
type site struct {
	zone         string
	secondZone   string // of machines with a number of 30 or more
	heartbeat    time.Duration
	linkMbps     int
	agentArgs    []string
	balancerArgs []string
}

// world is a small deployment on loopback addresses.
type world struct {
	site    site
	rec     *recorder
	dir     string // settings and logs
	prefix  string // of the loopback addresses
	store   *store
	fronts  []*process
	started []*process
}

// process is one program of the project.
type process struct {
	name, ip string
	args     []string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	exited   chan struct{}
}

func newWorld(rec *recorder, s site) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{site: s, rec: rec, dir: dir, store: newStore()}
	w.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	ln, err := net.Listen("tcp4", w.addr(250, portStore).String())
	if err != nil {
		return nil, err
	}
	go w.store.serve(ln)
	return w, nil
}

// addr returns the address of machine n.
func (w *world) addr(n, port int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s%d:%d", w.prefix, n, port))
}

// zoneOf returns the zone of machine n.
func (w *world) zoneOf(n int) string {
	if n >= 30 && w.site.secondZone != "" {
		return w.site.secondZone
	}
	return w.site.zone
}

func (w *world) seeds() string {
	return fmt.Sprintf("[%q, %q]", w.addr(10, portControl).String(), w.addr(11, portControl).String())
}

// addFront starts the balancer on machine n.
func (w *world) addFront(n int) *process {
	text := fmt.Sprintf(`node_id: "front-%d"
datacentre: %q
fabric_address: %q
peer_address: %q
ready_address: %q
metrics_address: %q
seeds: %s
seed_port: %d
store_url: "http://%s"
flow_ttl: 60s
stop_grace: 6s
link_mbps: %d
pace: false
`, n, w.zoneOf(n), w.addr(n, portDatagram), w.addr(n, portPeer), w.addr(n, portReady), w.addr(n, portMetrics), w.seeds(), portPeer, w.addr(250, portStore), w.site.linkMbps)
	p := w.newProcess(fmt.Sprintf("front-%d", n), n, text, append([]string{"target/platform-balancer"}, w.site.balancerArgs...))
	w.fronts = append(w.fronts, p)
	return p
}

// addAgent starts the agent on machine n.
func (w *world) addAgent(n int, service string, bootstrap bool) *process {
	return w.newProcess(fmt.Sprintf("side-%d", n), n, w.agentSettings(n, service, bootstrap), append([]string{"target/platform-agent"}, w.site.agentArgs...))
}

func (w *world) agentSettings(n int, service string, bootstrap bool) string {
	return fmt.Sprintf(`node_id: "side-%d"
datacentre: %q
service: %q
peer_address: %q
local_address: %q
target_address: %q
heartbeat_address: %q
heartbeat_interval: %dms
ready_address: %q
metrics_address: %q
seeds: %s
seed_port: %d
store_url: "http://%s"
flow_idle: 60s
first_start: %v
pace: false
`, n, w.zoneOf(n), service, w.addr(n, portDatagram), w.addr(n, portOutbound), w.addr(n, portApp), w.addr(n, portControl), w.site.heartbeat.Milliseconds(),
		w.addr(n, portReady), w.addr(n, portMetrics), w.seeds(), portPeer, w.addr(250, portStore), bootstrap)
}

func (w *world) newProcess(name string, n int, settings string, args []string) *process {
	p := &process{name: name, ip: w.addr(n, 0).Addr().String(), args: args, settings: filepath.Join(w.dir, name+".yaml")}
	check(os.WriteFile(p.settings, []byte(settings), 0o644))
	var err error
	p.log, err = os.Create(filepath.Join(w.dir, name+".log"))
	check(err)
	w.started = append(w.started, p)
	w.start(p)
	return p
}

// start starts a process with its settings.
func (w *world) start(p *process) {
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BULRUSHSHELF_SETTINGS=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	check(p.cmd.Start())
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
	w.rec.add("%s starts", p.name)
}

func (w *world) signal(p *process, s syscall.Signal) {
	w.rec.add("%s gets %s", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// restart stops a process as the platform does and starts it again after a pause. change,
// if any, edits its settings.
func (w *world) restart(p *process, s syscall.Signal, pause time.Duration) {
	w.signal(p, s)
	select {
	case <-p.exited:
	case <-time.After(6 * time.Second):
		w.signal(p, syscall.SIGKILL)
		<-p.exited
	}
	w.rec.add("%s has ended", p.name)
	time.Sleep(pause)
	w.start(p)
}

// stop ends all processes and removes the folder. KEEP=1 keeps it.
func (w *world) stop() {
	for _, p := range w.started {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

func ready(p *process) bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/bulrushshelf/ready", p.ip, portReady))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all balancers are ready.
func (w *world) awaitReady() {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, p := range w.fronts {
			if ready(p) {
				n++
			}
		}
		switch {
		case n == len(w.fronts):
			return
		case time.Now().After(end):
			check(fmt.Errorf("%d of %d balancers are ready", n, len(w.fronts)))
		}
	}
}

// byHash spreads flows over the balancers on these machines, as the routers do.
func (w *world) byHash(machines ...int) func(flowKey) netip.AddrPort {
	return func(k flowKey) netip.AddrPort {
		return w.addr(machines[int(k.src.Port())%len(machines)], portDatagram)
	}
}

// route is one route of the operator's desired state.
type route struct {
	name, service, kind string
	addr                netip.AddrPort
}

// desiredState returns the operator's object config/main.
func desiredState(version int, coldPerSecond float64, routes ...route) map[string]any {
	list, services, known := []any{}, []any{}, map[string]bool{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": r.addr.Addr().String(), "path-prefix": fmt.Sprintf("/%d/", r.addr.Port()), "kind": r.kind,
			"timeout-ms": 1500, "target-latency-ms": 150, "priority": 1, "service": r.service, "attempts": 2,
		})
		if known[r.service] {
			continue
		}
		known[r.service] = true
		services = append(services, map[string]any{
			"name": r.service, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false, "cold-start-s": 2.0, "cold-per-s": coldPerSecond,
		})
	}
	return map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
