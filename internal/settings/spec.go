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

// shape is the YAML type of a setting; it decides how a flag's text is read.
type shape uint8

const (
	text shape = iota + 1
	scalar
	list
)

// spec is one setting: its documentation and how its value is read.
type spec struct {
	Field
	shape shape
	read  func(strictyaml.Value)
}

// Ranges of the values.
const (
	maxPaths        = 16
	maxSlots        = 10_000
	maxFlows        = 1_000_000
	maxHintSlots    = 1 << 24 // 1 GB at 64 bytes each
	maxDrainTimeout = 30 * 24 * time.Hour
	maxSeeds        = 64
	maxKeys         = 2 // the current one and, during a rotation, another
	maxRate         = 1e6
	// MinWeight and MaxWeight are the range of a target's own weight.
	MinWeight = 0.001
	MaxWeight = 100.0
)

const (
	addrType  = "IP:port"
	maxNodeID = 128
)

func (c *Common) specs(first ...spec) []spec {
	return append(first,
		spec{Field{Name: "node_id", Type: "text", Required: true,
			Doc: "Name of the process, unique in the deployment. An agent has the name of its target, which decisions use, and a second agent beside it that name, a slash and a suffix."}, text, nodeID(&c.NodeID)},
		spec{Field{Name: "datacentre", Type: "text", Required: true, Doc: "Data centre of the process."}, text, name(&c.DataCentre)},
		spec{Field{Name: "peer_address", Type: addrType, Required: true, Doc: "UDP address for peer messages and forwarded packets."}, text, address(&c.PeerAddr)},
		spec{Field{Name: "admin_address", Type: addrType, Required: true, Doc: "TCP address for bulrushshelf-ctl."}, text, address(&c.AdminAddr)},
		spec{Field{Name: "metrics_address", Type: addrType, Doc: "TCP address that serves /metrics; none when left out."}, text, address(&c.MetricsAddr)},
		spec{Field{Name: "seeds", Type: "list of IP:port", Range: "at most 64", Default: "[]", Doc: "Peer addresses of balancers to contact first."}, list, seeds(&c.Seeds)},
		spec{Field{Name: "keys", Type: "list of base64 text", Range: "1 or 2, each at least 32 bytes", NoFlag: true,
			Doc: "Shared keys of the deployment. The first authenticates what the process sends; both are accepted. Set either keys or key_file."}, list, secrets(&c.Keys)},
		spec{Field{Name: "log_level", Type: "text", Range: "debug, info, warn, error", Default: "info", Doc: "Least level that is logged."}, text, level(&c.LogLevel)},
	)
}

func (b *Balancer) specs() []spec {
	return b.Common.specs(
		spec{Field{Name: "fabric_address", Type: addrType, Required: true, Doc: "UDP address at which packets from the fabric arrive."}, text, address(&b.FabricAddr)},
		spec{Field{Name: "fabric_return_address", Type: addrType,
			Doc: "UDP address that resets to callers are sent to, as in the agents' settings. When left out, callers of a service without targets run into their timeout."}, text, address(&b.ReturnAddr)},
		spec{Field{Name: "paths", Type: "whole number", Range: "1 to 16", Default: "2",
			Doc: "Sockets over which packets are forwarded. With 1 there is no other path when one goes silent."}, scalar, count(&b.Paths, 1, maxPaths)},
		spec{Field{Name: "store_url", Type: "URL", Required: true, Doc: "Address of the platform's object store."}, text, httpURL(&b.StoreURL, false)},
		spec{Field{Name: "hint_table_size", Type: "whole number", Range: "0 to 16777216", Default: "65536", Doc: "Entries of the table of flow holders; 0 keeps none."}, scalar, count(&b.HintSlots, 0, maxHintSlots)},
	)
}

func (a *Agent) specs() []spec {
	return a.Common.specs(
		spec{Field{Name: "service", Type: "text", Required: true, Doc: "Service that the target belongs to."}, text, name(&a.Service)},
		spec{Field{Name: "target_url", Type: "URL", Required: true, Doc: "Address of the target, on a loopback address."}, text, httpURL(&a.TargetURL, true)},
		spec{Field{Name: "slots", Type: "whole number", Range: "1 to 10000", Required: true, Doc: "Requests that the target runs at once."}, scalar, count(&a.Slots, 1, maxSlots)},
		spec{Field{Name: "max_connections", Type: "whole number", Range: "1 to 1000000", Required: true, Doc: "Connections that the target accepts."}, scalar, count(&a.MaxFlows, 1, maxFlows)},
		spec{Field{Name: "weight", Type: "number", Range: "0.001 to 100", Default: "1", Doc: "Share of new work relative to other targets of the service."}, scalar, number(&a.Weight, MinWeight, MaxWeight)},
		spec{Field{Name: "request_address", Type: addrType, Required: true, Doc: "TCP address for requests moved from other agents."}, text, address(&a.RequestAddr)},
		spec{Field{Name: "fabric_return_address", Type: addrType, Required: true, Doc: "UDP address that packets to callers are sent to."}, text, address(&a.ReturnAddr)},
		spec{Field{Name: "drain_timeout", Type: "duration", Range: "0s to 720h", Default: "0s",
			Doc: "Longest wait for flows at shutdown; 0s waits for the last flow."}, text, duration(&a.DrainTimeout, maxDrainTimeout)},
	)
}

func (s *Store) specs() []spec {
	return []spec{
		{Field{Name: "listen_address", Type: addrType, Default: "127.0.0.1:9400", Doc: "TCP address of the store's API."}, text, address(&s.ListenAddr)},
		{Field{Name: "reads_per_second", Type: "number", Range: "1 to 1000000", Default: "2000", Doc: "Rate limit of gets, lists and watches."}, scalar, number(&s.ReadsPerSecond, 1, maxRate)},
		{Field{Name: "writes_per_second", Type: "number", Range: "1 to 1000000", Default: "300", Doc: "Rate limit of creates, updates and deletes."}, scalar, number(&s.WritesPerSecond, 1, maxRate)},
		{Field{Name: "log_level", Type: "text", Range: "debug, info, warn, error", Default: "info", Doc: "Least level that is logged."}, text, level(&s.LogLevel)},
	}
}

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,127}$`)

func name[T ~string](out *T) func(strictyaml.Value) {
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

func nodeID(out *model.NodeID) func(strictyaml.Value) {
	return func(v strictyaml.Value) {
		s, ok := v.Text()
		if ok && (len(s) > maxNodeID || !validNodeID.MatchString(s)) {
			v.AddFinding("%q must be lower-case letters, digits, '.', '_' and '-', for an agent with a suffix after one '/', at most %d bytes", s, maxNodeID)
			return
		}
		*out = model.NodeID(s)
	}
}

func address(out *netip.AddrPort) func(strictyaml.Value) {
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

func count(out *int, low, high int) func(strictyaml.Value) {
	return func(v strictyaml.Value) { *out, _ = v.Int(low, high) }
}

func number(out *float64, low, high float64) func(strictyaml.Value) {
	return func(v strictyaml.Value) { *out, _ = v.Float(low, high) }
}

func duration(out *time.Duration, high time.Duration) func(strictyaml.Value) {
	return func(v strictyaml.Value) { *out, _ = v.Duration(0, high) }
}

func level(out *string) func(strictyaml.Value) {
	levels := []string{"debug", "info", "warn", "error"}
	return func(v strictyaml.Value) {
		s, ok := v.Text()
		if ok && !slices.Contains(levels, s) {
			v.AddFinding("log level %q is not one of %s", s, strings.Join(levels, ", "))
		}
		*out = s
	}
}

func httpURL(out *string, loopback bool) func(strictyaml.Value) {
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

func seeds(out *[]netip.AddrPort) func(strictyaml.Value) {
	return func(v strictyaml.Value) {
		items, _ := v.List(maxSeeds)
		*out = nil
		for _, item := range items {
			var a netip.AddrPort
			address(&a)(item)
			*out = append(*out, a)
		}
	}
}

func secrets(out *[]Secret) func(strictyaml.Value) {
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
