// Command bulrushshelf-balancer forwards packets from the fabric to the agents
// beside the targets. One runs on each entry VM.
package main

import (
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/daemon"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/node"
	"github.com/bulrushshelf/bulrushshelf/internal/route"
	"github.com/bulrushshelf/bulrushshelf/internal/settings"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

func main() { os.Exit(daemon.Main(settings.LoadBalancer, run)) }

func run(s *settings.Balancer) error {
	boot := time.Now()
	logger, err := telemetry.NewLogger(os.Stderr, s.LogLevel, string(settings.BinaryBalancer), string(s.NodeID))
	if err != nil {
		return trace.Wrap(err)
	}
	metrics, err := telemetry.NewMetrics(string(settings.BinaryBalancer))
	if err != nil {
		return trace.Wrap(err)
	}
	seed := model.Mix(uint64(boot.UnixNano()))
	store, err := storeclient.New(storeclient.Options{URL: s.StoreURL, Seed: seed, Counter: metrics})
	if err != nil {
		return trace.Wrap(err)
	}
	endpoints, err := daemon.Listen(s.AdminAddr, s.MetricsAddr)
	if err != nil {
		return trace.Wrap(err)
	}
	b, err := node.NewBalancer(node.BalancerOptions{
		Self: model.Member{
			ID: s.NodeID, DC: s.DataCentre, Incarnation: model.Incarnation(boot.UnixMilli()),
			PeerAddr: s.PeerAddr, AdminAddr: endpoints.AdminAddr(), Weight: 1,
		},
		Fabric: s.FabricAddr, Return: s.ReturnAddr, Seeds: s.Seeds, Keys: daemon.Keys(s.Keys), Seed: seed, Paths: s.Paths,
		Store: store, Router: route.Options{HintCapacity: s.HintSlots}, Metrics: metrics, Logger: logger,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	logger.Info("started", "fabric", b.FabricAddr().String(), "peer", b.PeerAddr().String(), "admin", endpoints.AdminAddr().String())
	return endpoints.Supervise(node.BalancerAdmin{B: b}, s.Keys, metrics, logger, b.Run)
}
