package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// The commands of deploy/system.toml.
const (
	runBalancer = "target/platform-balancer"
	runAgent    = "target/platform-agent"
)

// Ports of all machines, as in a settings file of the platform.
const (
	datagramPort = 28172
	readyPort    = 28167
	controlPort  = 28166
	outboundPort = 28162
	appPort      = 28165
	peerPort     = 27720 // port-range
	lastPort     = 27735
	storePort    = 28169
)

// deployment is a small deployment with the stand-ins around it.
type deployment struct {
	rec       *recorder
	dir       string
	store     *store
	balancers []*process
	agents    []*process
	hosts     []*host
	router    *router
	clients   []*client
	service   netip.AddrPort // address of the platform
	net       int            // second byte of all addresses

	logs *logPipe // standard output of the first agent, in the case that needs it
}

func (d *deployment) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", d.net, group, n) }

func addrPort(ip string, port int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s:%d", ip, port))
}

// newDeployment starts the stand-ins and prepares the processes.
func newDeployment(rec *recorder, balancers, agents int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, store: newStore(), service: netip.MustParseAddrPort("127.0.113.1:8443")}
	if d.net, err = freeNet(); err != nil {
		return nil, err
	}
	d.putConfig(7, 0)
	var fabric, ready []netip.AddrPort
	for i := 1; i <= balancers; i++ {
		fabric, ready = append(fabric, addrPort(d.ip(1, i), datagramPort)), append(ready, addrPort(d.ip(1, i), readyPort))
		d.balancers = append(d.balancers, d.process(fmt.Sprintf("balancer-%d", i), runBalancer, "deploy/balancer.yaml.tmpl", d.ip(1, i), d.storeAddr(1, i)))
	}
	for i := 1; i <= agents; i++ {
		name := fmt.Sprintf("agent-%d", i)
		d.agents = append(d.agents, d.process(name, runAgent, "deploy/agent.yaml.tmpl", d.ip(2, i), d.storeAddr(2, i)))
		h := &host{
			id: fmt.Sprintf("i-%d", i), service: "facturador", zone: "stgo-a", addr: addrPort(d.ip(2, i), appPort), rec: rec,
			outbound: addrPort(d.ip(2, i), outboundPort), control: addrPort(d.ip(2, i), controlPort), beat: 1200 * time.Millisecond, work: 22 * time.Millisecond,
		}
		if err := h.start(); err != nil {
			return nil, err
		}
		d.hosts = append(d.hosts, h)
	}
	rec.hosts = d.hosts
	for group, n := range map[int]int{1: balancers, 2: agents} {
		for i := 1; i <= n; i++ {
			if err := d.store.listen(d.storeAddr(group, i)); err != nil {
				return nil, err
			}
		}
	}
	d.router = newRouter(fabric, ready)
	go d.router.check()
	c, err := newClient(addrPort(d.ip(3, 1), datagramPort), d.service, d.router, rec)
	if err != nil {
		return nil, err
	}
	d.clients = append(d.clients, c)
	return d, nil
}

// freeNet returns the second byte of loopback addresses that no other program uses.
func freeNet() (int, error) {
	for range 50 {
		n := 64 + rand.IntN(128)
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.%d.9.11:%d", n, storePort))
		if err == nil {
			return n, ln.Close()
		}
	}
	return 0, errors.New("no free loopback addresses")
}

// storeAddr returns the address of the store for one machine.
func (d *deployment) storeAddr(group, n int) string {
	return fmt.Sprintf("%s:%d", d.ip(9, 10*group+n), storePort)
}

// putConfig writes a desired state with the route in use, one on each of the ports, and idle
// routes without traffic. The return of the call is the ack.
func (d *deployment) putConfig(version, idle int, ports ...int) {
	routes := make([]map[string]any, 0, 1+len(ports)+idle)
	add := func(host string, port int) {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%s-%d", host, port), "host": host, "path-prefix": fmt.Sprintf("/%d/", port), "kind": "safe",
			"timeout-ms": 5000, "target-latency-ms": 500, "priority": 1, "service": "facturador", "attempts": 2,
		})
	}
	add(d.service.Addr().String(), int(d.service.Port()))
	for _, p := range ports {
		add(d.service.Addr().String(), p)
	}
	for i := range idle {
		add("127.0.114.1", 1000+i)
	}
	d.store.put("config", "main", map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{"idle-timeout-ms": 15000},
		"services": []map[string]any{{"name": "facturador", "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false}},
	})
}

// process prepares one process, with its settings as the platform fills in the template.
func (d *deployment) process(name, run, template, ip, store string) *process {
	raw, err := os.ReadFile(template)
	if err != nil {
		panic(err) // not started in the root of the repository
	}
	var seeds []string
	for i := 1; i <= 2; i++ {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", d.ip(1, i), controlPort)))
	}
	quote := func(port int) string { return fmt.Sprintf("%q", addrPort(ip, port).String()) }
	values := []string{
		"{{node-name|json}}", fmt.Sprintf("%q", name), "{{zone|json}}", `"stgo-a"`, "{{service|json}}", `"facturador"`,
		"{{listen.datagram-addr|json}}", quote(datagramPort), "{{listen.outbound|json}}", quote(outboundPort), "{{app|json}}", quote(appPort),
		"{{listen.control|json}}", quote(controlPort), "{{heartbeat-ms}}", "1200", "{{listen.ready-addr|json}}", quote(readyPort), "{{ip}}", ip,
		"{{port-range.0}}", fmt.Sprint(peerPort), "{{port-range.1}}", fmt.Sprint(lastPort), `{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, strings.Join(seeds, ", "),
		"{{platform.address}}", store, "{{bounds.flow-ttl-s}}", "60", "{{bounds.grace-s}}", fmt.Sprint(graceSeconds),
		"{{#limits.link-mbps}}", "", "{{limits.link-mbps}}", "1000.0", "{{/limits.link-mbps}}", "",
	}
	text := strings.NewReplacer(values...).Replace(string(raw))
	return &process{
		name: name, run: run, dir: d.dir, rec: d.rec,
		settings: strings.ReplaceAll(text, "{{bootstrap}}", "false"), first: strings.ReplaceAll(text, "{{bootstrap}}", "true"),
	}
}

func (d *deployment) processes() []*process {
	return append(append([]*process{}, d.agents...), d.balancers...)
}

// startAll starts all processes and waits until the balancers are in rotation.
func (d *deployment) startAll() error {
	for _, p := range d.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); d.router.inRotation() < len(d.balancers); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("the balancers did not become ready; logs in %s", filepath.Base(d.dir))
		}
	}
	time.Sleep(2 * time.Second) // all hosts have reported
	return nil
}

// stopAll ends all processes that were started.
func (d *deployment) stopAll() {
	for _, p := range d.processes() {
		if p.cmd != nil {
			p.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}
