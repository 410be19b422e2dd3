package settings

import (
	"net/netip"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/strictyaml"
)

// The binaries for deployments whose targets end flows themselves.
const (
	BinarySteeringBalancer Binary = "platform-balancer"
	BinaryPassthroughAgent Binary = "platform-agent"
)

// PassCommon holds the settings that balancers and agents share where targets
// end flows themselves.
type PassCommon struct {
	NodeID      model.NodeID
	DataCentre  model.DataCentre
	PeerAddr    netip.AddrPort // UDP, for balancers also TCP
	ReadyAddr   netip.AddrPort // TCP
	MetricsAddr netip.AddrPort // TCP; invalid when no metrics are served
	Seeds       []netip.AddrPort
	SeedPort    int // peer port of balancers
	StoreURL    string
	LogLevel    string
}

// SteeringBalancer holds the settings of a balancer in that mode.
type SteeringBalancer struct {
	PassCommon
	FabricAddr netip.AddrPort // UDP; callers take packets at the same port
	FlowTTL    time.Duration
	StopGrace  time.Duration // from SIGTERM to the end of the process at the latest
	LinkMbps   float64       // rate of the VM's link in Mbit/s; 0 when not known
}

// PassthroughAgent holds the settings of an agent in that mode.
type PassthroughAgent struct {
	PassCommon
	Service       model.ServiceName
	LocalAddr     netip.AddrPort // UDP
	TargetAddr    netip.AddrPort // UDP
	HeartbeatAddr netip.AddrPort // TCP
	Heartbeat     time.Duration
	FlowIdle      time.Duration
	FirstStart    bool
}

const (
	maxHeartbeat = time.Minute
	maxFlowTime  = 24 * time.Hour
	maxGrace     = time.Hour
	maxPort      = 65_535
	maxLinkMbps  = 1_000_000
)

func (c *PassCommon) specs(more ...spec) []spec {
	return append([]spec{
		{Field{Name: "node_id", Type: "text", Required: true, Doc: "Name of the process, unique in the deployment."}, text, nodeID(&c.NodeID)},
		{Field{Name: "datacentre", Type: "text", Required: true, Doc: "Data centre of the process."}, text, name(&c.DataCentre)},
		{Field{Name: "peer_address", Type: addrType, Required: true, Doc: "UDP address for messages of other processes; of a balancer also the TCP address from which others get the configuration."}, text, address(&c.PeerAddr)},
		{Field{Name: "ready_address", Type: addrType, Required: true, Doc: "TCP address that answers whether the process is ready."}, text, address(&c.ReadyAddr)},
		{Field{Name: "metrics_address", Type: addrType, Doc: "TCP address that serves /metrics; none when left out."}, text, address(&c.MetricsAddr)},
		{Field{Name: "seeds", Type: "list of IP:port", Range: "at most 64", Default: "[]", Doc: "Addresses of balancers to contact first; seed_port replaces their ports."}, list, seeds(&c.Seeds)},
		{Field{Name: "seed_port", Type: "whole number", Range: "1 to 65535", Required: true, Doc: "Port of the balancers' peer addresses."}, scalar, count(&c.SeedPort, 1, maxPort)},
		{Field{Name: "store_url", Type: "URL", Required: true, Doc: "Address of the platform's object store."}, text, httpURL(&c.StoreURL, false)},
		{Field{Name: "log_level", Type: "text", Range: "debug, info, warn, error", Default: "info", Doc: "Least level that is logged."}, text, level(&c.LogLevel)},
	}, more...)
}

func (b *SteeringBalancer) specs() []spec {
	return b.PassCommon.specs(
		spec{Field{Name: "fabric_address", Type: addrType, Required: true, Doc: "UDP address at which packets of callers arrive; callers take packets at the same port."}, text, address(&b.FabricAddr)},
		spec{Field{Name: "flow_ttl", Type: "duration", Range: "0s to 24h", Default: "60s", Doc: "Age after which a flow may be forgotten while no configuration gives an idle time."}, text, duration(&b.FlowTTL, maxFlowTime)},
		spec{Field{Name: "stop_grace", Type: "duration", Range: "0s to 1h", Default: "6s", Doc: "Time from SIGTERM until the platform kills the process."}, text, duration(&b.StopGrace, maxGrace)},
		spec{Field{Name: "link_mbps", Type: "number", Range: "0 to 1000000", Default: "0", Doc: "Rate of the VM's link in Mbit/s, of which uploads may take 70%; 0 sets no limit."}, scalar, number(&b.LinkMbps, 0, maxLinkMbps)},
	)
}

func (a *PassthroughAgent) specs() []spec {
	return a.PassCommon.specs(
		spec{Field{Name: "service", Type: "text", Required: true, Doc: "Service that the target belongs to."}, text, name(&a.Service)},
		spec{Field{Name: "local_address", Type: addrType, Required: true, Doc: "UDP address to which the target sends its packets."}, text, address(&a.LocalAddr)},
		spec{Field{Name: "target_address", Type: addrType, Required: true, Doc: "Address at which the target takes packets over UDP and health checks over TCP."}, text, address(&a.TargetAddr)},
		spec{Field{Name: "heartbeat_address", Type: addrType, Required: true, Doc: "TCP address to which the target sends heartbeats."}, text, address(&a.HeartbeatAddr)},
		spec{Field{Name: "heartbeat_interval", Type: "duration", Range: "0s to 1m", Default: "1s", Doc: "Interval of the target's heartbeats."}, text, duration(&a.Heartbeat, maxHeartbeat)},
		spec{Field{Name: "flow_idle", Type: "duration", Range: "0s to 24h", Default: "60s", Doc: "Time without packets after which a flow is forgotten."}, text, duration(&a.FlowIdle, maxFlowTime)},
		spec{Field{Name: "first_start", Type: "true or false", Default: "false", Doc: "The whole deployment starts for the first time, so that no target holds flows yet."}, scalar, boolean(&a.FirstStart)},
	)
}

func boolean(out *bool) func(strictyaml.Value) {
	return func(v strictyaml.Value) { *out, _ = v.Bool() }
}

// LoadSteeringBalancer reads the settings from the command line.
func LoadSteeringBalancer(args []string) (*SteeringBalancer, error) {
	b := new(SteeringBalancer)
	return b, load(BinarySteeringBalancer, args, b.specs(), nil)
}

// LoadPassthroughAgent reads the settings from the command line.
func LoadPassthroughAgent(args []string) (*PassthroughAgent, error) {
	a := new(PassthroughAgent)
	return a, load(BinaryPassthroughAgent, args, a.specs(), nil)
}

// SeedPeers returns the peer addresses of the seeds.
func (c *PassCommon) SeedPeers() []netip.AddrPort {
	var out []netip.AddrPort
	for _, s := range c.Seeds {
		out = append(out, netip.AddrPortFrom(s.Addr(), uint16(c.SeedPort)))
	}
	return out
}
