// Command bulrushshelf-balancer forwards packets from the fabric to the agents
// beside the targets. One runs on each entry VM.
package main

import (
	"os"

	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/daemon"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/node"
	"github.com/bulrushshelf/bulrushshelf/internal/route"
	"github.com/bulrushshelf/bulrushshelf/internal/settings"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
)

func main() { os.Exit(daemon.Main(settings.LoadBalancer, run)) }

func run(s *settings.Balancer) error {
	p, err := daemon.Setup(settings.BinaryBalancer, s.Common)
	if err != nil {
		return trace.Wrap(err)
	}
	store, err := storeclient.New(storeclient.Options{URL: s.StoreURL, Seed: p.Seed(), Counter: p.Metrics})
	if err != nil {
		return trace.Wrap(err)
	}
	b, err := node.NewBalancer(node.BalancerOptions{
		Self: model.Member{
			ID: s.NodeID, DC: s.DataCentre, Incarnation: p.Incarnation(),
			PeerAddr: s.PeerAddr, AdminAddr: p.Endpoints.AdminAddr(), Weight: 1,
		},
		FabricAddr: s.FabricAddr, ReturnAddr: s.ReturnAddr, Seeds: s.Seeds, Keys: daemon.Keys(s.Keys), Seed: p.Seed(), Paths: s.Paths,
		Store: store, Router: route.Options{HintCapacity: s.HintTableSize}, Metrics: p.Metrics, Logger: p.Logger,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	p.Logger.Info("started", "fabric", b.FabricAddr().String(), "peer", b.PeerAddr().String(), "admin", p.Endpoints.AdminAddr().String())
	return p.Supervise(node.BalancerAdmin{Balancer: b}, s.Keys, b.Run)
}
