package settings

import (
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/strictyaml"
)

// yamlType is the YAML type of a setting. It determines how the text of a flag is
// decoded.
type yamlType uint8

const (
	yamlText yamlType = iota + 1
	yamlScalar
	yamlList
)

// spec describes one setting: its documentation and how its value is decoded.
type spec struct {
	Field
	yamlType yamlType
	decode   func(strictyaml.Value)
}

// Limits of the values.
const (
	maxPaths             = 16
	maxSlots             = 10_000
	maxConnections       = 1_000_000
	maxHintTableSize     = 1 << 24 // entries; 1 GB at 64 bytes each
	maxDrainTimeout      = 30 * 24 * time.Hour
	maxSeeds             = 64
	maxKeys              = 2 // the current key and, during a rotation, a second one
	maxRequestsPerSecond = 1e6
	// MinWeight and MaxWeight limit the weight that an agent advertises for its target.
	MinWeight = 0.001
	MaxWeight = 100.0
)

const (
	addrType  = "IP:port"
	maxNodeID = 128 // bytes
)

// specs returns the settings in first, then those that balancers and agents share.
func (c *Common) specs(first ...spec) []spec {
	return append(first,
		spec{Field{Name: "node_id", Type: "text", Required: true,
			Doc: "Name of the process, unique in the deployment. An agent uses the name of its target, as decisions do; a second agent of the same target appends a slash and a suffix."}, yamlText, decodeNodeID(&c.NodeID)},
		spec{Field{Name: "datacentre", Type: "text", Required: true, Doc: "Data centre of the process."}, yamlText, decodeName(&c.DataCentre)},
		spec{Field{Name: "peer_address", Type: addrType, Required: true, Doc: "UDP address for peer messages and forwarded packets."}, yamlText, decodeAddress(&c.PeerAddr)},
		spec{Field{Name: "admin_address", Type: addrType, Required: true, Doc: "TCP address for bulrushshelf-ctl."}, yamlText, decodeAddress(&c.AdminAddr)},
		spec{Field{Name: "metrics_address", Type: addrType, Doc: "TCP address that serves /metrics; not served if unset."}, yamlText, decodeAddress(&c.MetricsAddr)},
		spec{Field{Name: "seeds", Type: "list of IP:port", Range: "at most 64", Default: "[]", Doc: "Peer addresses of balancers to contact first."}, yamlList, decodeAddresses(&c.Seeds)},
		spec{Field{Name: "keys", Type: "list of base64 text", Range: "1 or 2, each at least 32 bytes", NoFlag: true,
			Doc: "Shared keys of the deployment. The first authenticates what the process sends; both are accepted. Set either keys or key_file."}, yamlList, decodeKeys(&c.Keys)},
		spec{Field{Name: "log_level", Type: "text", Range: "debug, info, warn, error", Default: "info", Doc: "Lowest level that is logged."}, yamlText, decodeLogLevel(&c.LogLevel)},
	)
}

func (b *Balancer) specs() []spec {
	return b.Common.specs(
		spec{Field{Name: "fabric_address", Type: addrType, Required: true, Doc: "UDP address at which packets from the fabric arrive."}, yamlText, decodeAddress(&b.FabricAddr)},
		spec{Field{Name: "fabric_return_address", Type: addrType,
			Doc: "UDP address to which resets for callers are sent, the same as in the agents' settings. If unset, callers of a service without targets wait until they time out."}, yamlText, decodeAddress(&b.ReturnAddr)},
		spec{Field{Name: "paths", Type: "whole number", Range: "1 to 16", Default: "2",
			Doc: "Sockets over which packets are forwarded. With 1, there is no alternative path if packets stop getting through."}, yamlScalar, decodeInt(&b.Paths, 1, maxPaths)},
		spec{Field{Name: "store_url", Type: "URL", Required: true, Doc: "Address of the platform's object store."}, yamlText, decodeURL(&b.StoreURL, false)},
		spec{Field{Name: "hint_table_size", Type: "whole number", Range: "0 to 16777216", Default: "65536", Doc: "Flows for which the balancer remembers the holder as a hint; 0 keeps none."}, yamlScalar, decodeInt(&b.HintTableSize, 0, maxHintTableSize)},
	)
}

func (a *Agent) specs() []spec {
	return a.Common.specs(
		spec{Field{Name: "service", Type: "text", Required: true, Doc: "Service that the target belongs to."}, yamlText, decodeName(&a.Service)},
		spec{Field{Name: "target_url", Type: "URL", Required: true, Doc: "Address of the target, on a loopback address."}, yamlText, decodeURL(&a.TargetURL, true)},
		spec{Field{Name: "slots", Type: "whole number", Range: "1 to 10000", Required: true, Doc: "Requests that the target runs concurrently."}, yamlScalar, decodeInt(&a.Slots, 1, maxSlots)},
		spec{Field{Name: "max_connections", Type: "whole number", Range: "1 to 1000000", Required: true, Doc: "Connections that the target accepts."}, yamlScalar, decodeInt(&a.MaxFlows, 1, maxConnections)},
		spec{Field{Name: "weight", Type: "number", Range: "0.001 to 100", Default: "1", Doc: "Share of new work relative to other targets of the service."}, yamlScalar, decodeFloat(&a.Weight, MinWeight, MaxWeight)},
		spec{Field{Name: "request_address", Type: addrType, Required: true, Doc: "TCP address that accepts requests moved from other agents."}, yamlText, decodeAddress(&a.RequestAddr)},
		spec{Field{Name: "fabric_return_address", Type: addrType, Required: true, Doc: "UDP address to which packets for callers are sent."}, yamlText, decodeAddress(&a.ReturnAddr)},
		spec{Field{Name: "drain_timeout", Type: "duration", Range: "0s to 720h", Default: "0s",
			Doc: "Maximum time to wait at shutdown for flows to end; 0s waits without limit."}, yamlText, decodeDuration(&a.DrainTimeout, maxDrainTimeout)},
	)
}

func (s *Store) specs() []spec {
	return []spec{
		{Field{Name: "listen_address", Type: addrType, Default: "127.0.0.1:9400", Doc: "TCP address of the store's API."}, yamlText, decodeAddress(&s.ListenAddr)},
		{Field{Name: "reads_per_second", Type: "number", Range: "1 to 1000000", Default: "2000", Doc: "Rate limit for gets, lists and watches."}, yamlScalar, decodeFloat(&s.ReadsPerSecond, 1, maxRequestsPerSecond)},
		{Field{Name: "writes_per_second", Type: "number", Range: "1 to 1000000", Default: "300", Doc: "Rate limit for creates, updates and deletes."}, yamlScalar, decodeFloat(&s.WritesPerSecond, 1, maxRequestsPerSecond)},
		{Field{Name: "log_level", Type: "text", Range: "debug, info, warn, error", Default: "info", Doc: "Lowest level that is logged."}, yamlText, decodeLogLevel(&s.LogLevel)},
	}
}

// The decode functions return a function that decodes a value into out, or records a
// finding if the value is invalid.

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,127}$`)

func decodeName[T ~string](out *T) func(strictyaml.Value) {
	return func(v strictyaml.Value) {
		s, ok := v.Text()
		if ok && !validName.MatchString(s) {
			v.AddFinding("%q must be lower-case letters, digits, '.', '_' and '-', at most 128 bytes", s)
			return
		}
		*out = T(s)
	}
}

var validNodeID = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*(/[a-z0-9._-]+)?$`)

func decodeNodeID(out *model.NodeID) func(strictyaml.Value) {
	return func(v strictyaml.Value) {
		s, ok := v.Text()
		if ok && (len(s) > maxNodeID || !validNodeID.MatchString(s)) {
			v.AddFinding("%q must be lower-case letters, digits, '.', '_' and '-', at most %d bytes; the name of an agent may have a suffix after one '/'", s, maxNodeID)
			return
		}
		*out = model.NodeID(s)
	}
}

func decodeAddress(out *netip.AddrPort) func(strictyaml.Value) {
	return func(v strictyaml.Value) {
		s, ok := v.Text()
		if !ok {
			return
		}
		a, err := netip.ParseAddrPort(s)
		if err != nil || a.Port() == 0 {
			v.AddFinding("%q is not IP:port with a port from 1 to 65535", s)
			return
		}
		*out = a
	}
}

func decodeInt(out *int, low, high int) func(strictyaml.Value) {
	return func(v strictyaml.Value) { *out, _ = v.Int(low, high) }
}

func decodeFloat(out *float64, low, high float64) func(strictyaml.Value) {
	return func(v strictyaml.Value) { *out, _ = v.Float(low, high) }
}

func decodeDuration(out *time.Duration, high time.Duration) func(strictyaml.Value) {
	return func(v strictyaml.Value) { *out, _ = v.Duration(0, high) }
}

func decodeLogLevel(out *string) func(strictyaml.Value) {
	levels := []string{"debug", "info", "warn", "error"}
	return func(v strictyaml.Value) {
		s, ok := v.Text()
		if ok && !slices.Contains(levels, s) {
			v.AddFinding("log level %q is not one of %s", s, strings.Join(levels, ", "))
		}
		*out = s
	}
}

func decodeURL(out *string, loopback bool) func(strictyaml.Value) {
	return func(v strictyaml.Value) {
		s, ok := v.Text()
		if !ok {
			return
		}
		u, err := url.Parse(s)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.User != nil {
			v.AddFinding("%q is not http://host:port or https://host:port", s)
			return
		}
		ip, err := netip.ParseAddr(u.Hostname())
		if loopback && u.Hostname() != "localhost" && (err != nil || !ip.IsLoopback()) {
			v.AddFinding("%q is not on localhost", s)
		}
		*out = s
	}
}

func decodeAddresses(out *[]netip.AddrPort) func(strictyaml.Value) {
	return func(v strictyaml.Value) {
		items, _ := v.List(maxSeeds)
		*out = nil
		for _, item := range items {
			var a netip.AddrPort
			decodeAddress(&a)(item)
			*out = append(*out, a)
		}
	}
}

func decodeKeys(out *[]Secret) func(strictyaml.Value) {
	return func(v strictyaml.Value) {
		items, ok := v.List(maxKeys)
		*out = nil
		for _, item := range items {
			s, ok := item.Text()
			if !ok {
				continue
			}
			key, err := ParseSecret(s)
			if err != nil {
				item.AddFinding("%v", err)
				continue
			}
			*out = append(*out, key)
		}
		if ok && len(items) == 0 {
			v.AddFinding("at least one key is needed")
		}
	}
}
