// Package settings reads the settings of each binary from a YAML file and from flags,
// which override the file. All faults are reported together.
package settings

import (
	"net/netip"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Common holds the settings that balancers and agents share.
type Common struct {
	NodeID      model.NodeID
	DataCentre  model.DataCentre
	PeerAddr    netip.AddrPort // UDP
	AdminAddr   netip.AddrPort // TCP
	MetricsAddr netip.AddrPort // TCP; the zero value if no metrics are served
	Seeds       []netip.AddrPort
	Keys        []Secret // one or two; the first authenticates sent messages
	LogLevel    string
}

// Balancer holds the settings of bulrushshelf-balancer.
type Balancer struct {
	Common
	FabricAddr    netip.AddrPort // UDP
	ReturnAddr    netip.AddrPort // UDP; the zero value if the balancer sends no resets
	Paths         int            // sockets over which packets are forwarded
	StoreURL      string
	HintTableSize int // entries
}

// Agent holds the settings of bulrushshelf-agent.
type Agent struct {
	Common
	Service      model.ServiceName
	TargetURL    string
	Slots        int
	MaxFlows     int
	Weight       float64
	RequestAddr  netip.AddrPort // TCP
	ReturnAddr   netip.AddrPort // UDP
	DrainTimeout time.Duration  // 0 waits until the last flow ends
}

// Store holds the settings of bulrushshelf-store.
type Store struct {
	ListenAddr      netip.AddrPort
	ReadsPerSecond  float64
	WritesPerSecond float64
	LogLevel        string
}

// Field documents one setting.
type Field struct {
	Name     string // field in the file; the flag has dashes in place of underscores
	Type     string
	Range    string
	Default  string // empty if there is none
	Required bool
	NoFlag   bool // set for secrets, which must not appear on a command line
	Doc      string
}

// Binary names a binary that has settings.
type Binary string

// Binaries for deployments whose agents terminate flows.
const (
	BinaryBalancer Binary = "bulrushshelf-balancer"
	BinaryAgent    Binary = "bulrushshelf-agent"
	BinaryStore    Binary = "bulrushshelf-store"
)

// Fields returns the documentation of a binary's settings, in the order of the help.
func Fields(b Binary) []Field {
	var specs []spec
	switch b {
	case BinaryBalancer:
		specs = new(Balancer).specs()
	case BinaryAgent:
		specs = new(Agent).specs()
	case BinaryStore:
		specs = new(Store).specs()
	case BinarySteeringBalancer:
		specs = new(SteeringBalancer).specs()
	case BinaryPassthroughAgent:
		specs = new(PassthroughAgent).specs()
	}
	fields := make([]Field, len(specs))
	for i, s := range specs {
		fields[i] = s.Field
	}
	return fields
}

// LoadBalancer reads the settings of a balancer from the command line.
func LoadBalancer(args []string) (*Balancer, error) {
	b := new(Balancer)
	return b, load(BinaryBalancer, args, b.specs(), &b.Keys)
}

// LoadAgent reads the settings of an agent from the command line.
func LoadAgent(args []string) (*Agent, error) {
	a := new(Agent)
	return a, load(BinaryAgent, args, a.specs(), &a.Keys)
}

// LoadStore reads the settings of the store stand-in from the command line.
func LoadStore(args []string) (*Store, error) {
	s := new(Store)
	return s, load(BinaryStore, args, s.specs(), nil)
}
