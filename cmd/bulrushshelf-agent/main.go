// Command bulrushshelf-agent runs beside a target. It advertises the target to its
// peers, terminates callers' connections, admits requests and drains the target.
package main

import (
	"net/url"
	"os"

	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/daemon"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/node"
	"github.com/bulrushshelf/bulrushshelf/internal/settings"
)

func main() { os.Exit(daemon.Main(settings.LoadAgent, run)) }

func run(s *settings.Agent) error {
	p, err := daemon.Setup(settings.BinaryAgent, s.Common)
	if err != nil {
		return trace.Wrap(err)
	}
	target, err := url.Parse(s.TargetURL)
	if err != nil {
		return trace.Wrap(err)
	}
	a, err := node.NewAgent(node.AgentOptions{
		Self: model.Member{
			ID: s.NodeID, DC: s.DataCentre, Service: s.Service, Incarnation: p.Incarnation(),
			PeerAddr: s.PeerAddr, RequestAddr: s.RequestAddr, AdminAddr: p.Endpoints.AdminAddr(),
			Slots: s.Slots, MaxFlows: s.MaxFlows, Weight: s.Weight, Started: p.StartTime,
		},
		Seeds: s.Seeds, Keys: daemon.Keys(s.Keys), Seed: p.Seed(), ReturnAddr: s.ReturnAddr,
		Target: target, Metrics: p.Metrics, Logger: p.Logger, DrainTimeout: s.DrainTimeout,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	p.Logger.Info("started", "service", s.Service, "peer", a.Self().PeerAddr.String(), "admin", p.Endpoints.AdminAddr().String())
	return p.Supervise(node.AgentAdmin{Agent: a}, s.Keys, a.Run)
}
