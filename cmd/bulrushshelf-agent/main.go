// Command bulrushshelf-agent runs beside a target. It announces the target,
// terminates callers' connections, admits requests and drains.
package main

import (
	"net/url"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/daemon"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/node"
	"github.com/bulrushshelf/bulrushshelf/internal/settings"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

func main() { os.Exit(daemon.Main(settings.LoadAgent, run)) }

func run(s *settings.Agent) error {
	boot := time.Now()
	logger, err := telemetry.NewLogger(os.Stderr, s.LogLevel, string(settings.BinaryAgent), string(s.NodeID))
	if err != nil {
		return trace.Wrap(err)
	}
	metrics, err := telemetry.NewMetrics(string(settings.BinaryAgent))
	if err != nil {
		return trace.Wrap(err)
	}
	target, err := url.Parse(s.TargetURL)
	if err != nil {
		return trace.Wrap(err)
	}
	endpoints, err := daemon.Listen(s.AdminAddr, s.MetricsAddr)
	if err != nil {
		return trace.Wrap(err)
	}
	a, err := node.NewAgent(node.AgentOptions{
		Self: model.Member{
			ID: s.NodeID, DC: s.DataCentre, Service: s.Service, Incarnation: model.Incarnation(boot.UnixMilli()),
			PeerAddr: s.PeerAddr, RequestAddr: s.RequestAddr, AdminAddr: endpoints.AdminAddr(),
			Slots: s.Slots, MaxFlows: s.MaxFlows, Weight: s.Weight, Started: boot,
		},
		Seeds: s.Seeds, Keys: daemon.Keys(s.Keys), Seed: model.Mix(uint64(boot.UnixNano())), Return: s.ReturnAddr,
		Target: target, Metrics: metrics, Logger: logger, DrainTimeout: s.DrainTimeout,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	logger.Info("started", "service", s.Service, "peer", a.Self().PeerAddr.String(), "admin", endpoints.AdminAddr().String())
	return endpoints.Supervise(node.AgentAdmin{A: a}, s.Keys, metrics, logger, a.Run)
}
