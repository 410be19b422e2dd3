package ctl

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/steer"
)

// Platform adapts the commands to a platform whose store has another API, and where decision
// files override a configuration that the operator keeps in the store.
type Platform struct {
	// Transport translates the calls of the store client; nil for the project's own API.
	Transport http.RoundTripper
	// BasePath is the store path of the operator's configuration; empty if there is none.
	BasePath string
	// EvacuationPrefix is the store path prefix of the operator's evacuations of data centres;
	// empty if there are none.
	EvacuationPrefix string
	// DecodeBase decodes that object.
	DecodeBase func(content []byte) (*steer.Config, error)
}

// RunOn is Run with the store of a platform.
func RunOn(ctx context.Context, p Platform, args []string, out, errOut io.Writer) int {
	return runApp(&app{ctx: ctx, out: out, errOut: errOut, platform: p}, args)
}

// baseAddress is an address that the operator's configuration assigns to a service.
type baseAddress struct {
	Address string `json:"address"`
	Weight  int    `json:"weight"`
	Total   int    `json:"total_weight"`
	Version int64  `json:"version"`
	// Service is the service to which a decision file assigns the address, and File is
	// that file. Both are empty while the operator's configuration is in force.
	Service string `json:"service,omitempty"`
	File    string `json:"file,omitempty"`
}

// loadBase reads the operator's configuration; it returns nil if the platform has none.
func (a *app) loadBase() (*steer.Config, error) {
	if a.platform.BasePath == "" {
		return nil, nil
	}
	c, err := a.storeClient()
	if err != nil {
		return nil, err
	}
	ctx, cancel := a.callContext()
	defer cancel()
	o, err := c.Get(ctx, a.platform.BasePath)
	if err != nil {
		return nil, storeErrorWithCode(err)
	}
	base, err := a.platform.DecodeBase(o.Content)
	if err != nil {
		return nil, withExitCode(ExitRefused, err)
	}
	return base, nil
}

// baseAddresses returns the addresses that the operator's configuration assigns to a service,
// sorted, with the decision files that override them.
func baseAddresses(base *steer.Config, s *config.Snapshot, service string) []baseAddress {
	if base == nil {
		return nil
	}
	var out []baseAddress
	addrs := make([]netip.AddrPort, 0, len(base.Routes))
	for addr := range base.Routes {
		addrs = append(addrs, addr)
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	for _, addr := range addrs {
		b := baseAddress{Address: addr.String(), Version: base.Version}
		for _, share := range base.Routes[addr].Shares {
			b.Total += share.Weight
			if string(share.Service) == service {
				b.Weight += share.Weight
			}
		}
		if b.Weight == 0 {
			continue
		}
		if claimant, claimed := s.Lookup(model.ServiceAddr{Proto: model.TCP, Addr: addr}); claimed {
			b.Service, b.File = string(claimant), addressesFile(s, string(claimant))
		}
		out = append(out, b)
	}
	return out
}

// addressesFile returns the file that sets the addresses of a service.
func addressesFile(s *config.Snapshot, service string) string {
	for _, f := range s.Explain(config.KindService, service) {
		if f.Field == config.FieldAddresses.String() {
			return f.File
		}
	}
	return ""
}
