package settings

import (
	"net/netip"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/strictyaml"
)

// Binaries for deployments whose targets terminate flows themselves.
const (
	BinarySteeringBalancer Binary = "platform-balancer"
	BinaryPassthroughAgent Binary = "platform-agent"
)

// PassthroughCommon holds the settings that balancers and agents share in deployments
// whose targets terminate flows themselves.
type PassthroughCommon struct {
	NodeID      model.NodeID
	DataCentre  model.DataCentre
	PeerAddr    netip.AddrPort // UDP, for balancers also TCP
	ReadyAddr   netip.AddrPort // TCP
	MetricsAddr netip.AddrPort // TCP; the zero value if no metrics are served
	Seeds       []netip.AddrPort
	SeedPort    int // peer port of all balancers
	StoreURL    string
	LogLevel    string
	Pace        bool // place new flows by the measured speed of targets
}

// SteeringBalancer holds the settings of platform-balancer.
type SteeringBalancer struct {
	PassthroughCommon
	FabricAddr netip.AddrPort // UDP; callers receive packets on the same port
	FlowTTL    time.Duration
	StopGrace  time.Duration // from SIGTERM until the platform kills the process
	LinkMbps   float64       // rate of the VM's link in Mbit/s; 0 if unknown
	// EvacuationBound is the time within which an evacuation of a data centre must be in
	// effect; 0 if the operator evacuates none.
	EvacuationBound time.Duration
}

// PassthroughAgent holds the settings of platform-agent.
type PassthroughAgent struct {
	PassthroughCommon
	Service           model.ServiceName
	LocalAddr         netip.AddrPort // UDP; the target sends its packets to it
	TargetAddr        netip.AddrPort // UDP, for health checks also TCP
	HeartbeatAddr     netip.AddrPort // TCP; the target sends its heartbeats to it
	HeartbeatInterval time.Duration
	FlowIdleTimeout   time.Duration
	ColdFactor        float64 // of the rate of a cold target
	ColdSlack         float64 // new flows
	FirstStart        bool    // the whole deployment starts for the first time: no flows are open
}

const (
	maxHeartbeatInterval = time.Minute
	maxFlowTimeout       = 24 * time.Hour
	maxStopGrace         = time.Hour
	maxEvacuationBound   = time.Hour
	maxPort              = 65_535
	maxLinkMbps          = 1_000_000
	maxColdFactor        = 1000
	maxColdSlack         = 1_000_000
)

// specs returns the settings that balancers and agents share, then those in more.
func (c *PassthroughCommon) specs(more ...spec) []spec {
	return append([]spec{
		{Field{Name: "node_id", Type: "text", Required: true, Doc: "Name of the process, unique in the deployment."}, yamlText, decodeNodeID(&c.NodeID)},
		{Field{Name: "datacentre", Type: "text", Required: true, Doc: "Data centre of the process."}, yamlText, decodeName(&c.DataCentre)},
		{Field{Name: "peer_address", Type: addrType, Required: true, Doc: "UDP address for messages from other processes. On a balancer, also the TCP address from which they fetch the configuration."}, yamlText, decodeAddress(&c.PeerAddr)},
		{Field{Name: "ready_address", Type: addrType, Required: true, Doc: "TCP address that serves the readiness check."}, yamlText, decodeAddress(&c.ReadyAddr)},
		{Field{Name: "metrics_address", Type: addrType, Doc: "TCP address that serves /metrics; not served if unset."}, yamlText, decodeAddress(&c.MetricsAddr)},
		{Field{Name: "seeds", Type: "list of IP:port", Range: "at most 64", Default: "[]", Doc: "Addresses of the balancers to contact first; seed_port replaces their ports."}, yamlList, decodeAddresses(&c.Seeds)},
		{Field{Name: "seed_port", Type: "whole number", Range: "1 to 65535", Required: true, Doc: "Port of the balancers' peer addresses."}, yamlScalar, decodeInt(&c.SeedPort, 1, maxPort)},
		{Field{Name: "store_url", Type: "URL", Required: true, Doc: "Address of the platform's object store."}, yamlText, decodeURL(&c.StoreURL, false)},
		{Field{Name: "log_level", Type: "text", Range: "debug, info, warn, error", Default: "info", Doc: "Lowest level that is logged."}, yamlText, decodeLogLevel(&c.LogLevel)},
		{Field{Name: "pace", Type: "true or false", Default: "false", Doc: "Agents measure the service times of their targets, and balancers place new flows by the speed found in place of a fixed warm-up. Both kinds of process need it."}, yamlScalar, decodeBool(&c.Pace)},
	}, more...)
}

func (b *SteeringBalancer) specs() []spec {
	return b.PassthroughCommon.specs(
		spec{Field{Name: "fabric_address", Type: addrType, Required: true, Doc: "UDP address that receives packets from callers; callers receive packets on the same port."}, yamlText, decodeAddress(&b.FabricAddr)},
		spec{Field{Name: "flow_ttl", Type: "duration", Range: "0s to 24h", Default: "60s", Doc: "Time without packets after which the entry of a flow may be dropped while no configuration sets an idle timeout."}, yamlText, decodeDuration(&b.FlowTTL, maxFlowTimeout)},
		spec{Field{Name: "stop_grace", Type: "duration", Range: "0s to 1h", Default: "6s", Doc: "Time from SIGTERM until the platform kills the process."}, yamlText, decodeDuration(&b.StopGrace, maxStopGrace)},
		spec{Field{Name: "link_mbps", Type: "number", Range: "0 to 1000000", Default: "0", Doc: "Rate of the VM's link in Mbit/s, of which uploads may use 70%; 0 sets no limit."}, yamlScalar, decodeFloat(&b.LinkMbps, 0, maxLinkMbps)},
		spec{Field{Name: "evacuation_bound", Type: "duration", Range: "0s to 1h", Default: "0s", Doc: "Time within which the operator's evacuation of a data centre must be in effect; 0s if the operator evacuates none."}, yamlText, decodeDuration(&b.EvacuationBound, maxEvacuationBound)},
	)
}

func (a *PassthroughAgent) specs() []spec {
	return a.PassthroughCommon.specs(
		spec{Field{Name: "service", Type: "text", Required: true, Doc: "Service that the target belongs to."}, yamlText, decodeName(&a.Service)},
		spec{Field{Name: "local_address", Type: addrType, Required: true, Doc: "UDP address to which the target sends its packets."}, yamlText, decodeAddress(&a.LocalAddr)},
		spec{Field{Name: "target_address", Type: addrType, Required: true, Doc: "Address on which the target accepts packets over UDP and health checks over TCP."}, yamlText, decodeAddress(&a.TargetAddr)},
		spec{Field{Name: "heartbeat_address", Type: addrType, Required: true, Doc: "TCP address to which the target sends heartbeats."}, yamlText, decodeAddress(&a.HeartbeatAddr)},
		spec{Field{Name: "heartbeat_interval", Type: "duration", Range: "0s to 1m", Default: "1s", Doc: "Interval of the target's heartbeats."}, yamlText, decodeDuration(&a.HeartbeatInterval, maxHeartbeatInterval)},
		spec{Field{Name: "flow_idle", Type: "duration", Range: "0s to 24h", Default: "60s", Doc: "Time without packets after which the entry of a flow is dropped."}, yamlText, decodeDuration(&a.FlowIdleTimeout, maxFlowTimeout)},
		spec{Field{Name: "cold_factor", Type: "number", Range: "0 to 1000", Default: "0", Doc: "A cold target gets at most cold_factor times the rate that its service bears, plus cold_slack, new flows in any second; 0 for both sets no bound."}, yamlScalar, decodeFloat(&a.ColdFactor, 0, maxColdFactor)},
		spec{Field{Name: "cold_slack", Type: "number", Range: "0 to 1000000", Default: "0", Doc: "New flows that a cold target gets in any second beyond its rate."}, yamlScalar, decodeFloat(&a.ColdSlack, 0, maxColdSlack)},
		spec{Field{Name: "first_start", Type: "true or false", Default: "false", Doc: "Set when the whole deployment starts for the first time, so that no target has open flows yet."}, yamlScalar, decodeBool(&a.FirstStart)},
	)
}

func decodeBool(out *bool) func(strictyaml.Value) {
	return func(v strictyaml.Value) { *out, _ = v.Bool() }
}

// LoadSteeringBalancer reads the settings of platform-balancer from the command line.
func LoadSteeringBalancer(args []string) (*SteeringBalancer, error) {
	b := new(SteeringBalancer)
	return b, load(BinarySteeringBalancer, args, b.specs(), nil)
}

// LoadPassthroughAgent reads the settings of platform-agent from the command line.
func LoadPassthroughAgent(args []string) (*PassthroughAgent, error) {
	a := new(PassthroughAgent)
	return a, load(BinaryPassthroughAgent, args, a.specs(), nil)
}

// SeedPeers returns the addresses of the seeds with the peer port of the balancers.
func (c *PassthroughCommon) SeedPeers() []netip.AddrPort {
	var out []netip.AddrPort
	for _, s := range c.Seeds {
		out = append(out, netip.AddrPortFrom(s.Addr(), uint16(c.SeedPort)))
	}
	return out
}
