package ctl

import (
	"fmt"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/admin"
	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/settings"
)

type statusCommand struct {
	*app `no-flag:"true"`
	Args struct {
		Nodes []string `positional-arg-name:"IP:port" description:"admin addresses"`
	} `positional-args:"true"`
}

type drainCommand struct {
	*app    `no-flag:"true"`
	Name    string        `long:"name" value-name:"NAME" description:"name of the decision file; derived so that it sorts last by default"`
	Wait    bool          `long:"wait" description:"wait until all flows and requests of the target have ended"`
	Agent   string        `long:"agent" value-name:"IP:port" description:"admin address of the agent; asked from a balancer by default"`
	Poll    time.Duration `long:"poll" default:"1s" description:"time between two questions of --wait"`
	MaxWait time.Duration `long:"max-wait" default:"0s" description:"longest --wait; 0s waits for the last flow"`
	Args    struct {
		Target string `positional-arg-name:"TARGET" description:"node id of the target's agent"`
	} `positional-args:"true" required:"true"`
}

// withNode calls f with a connection to a node.
func (a *app) withNode(addr string, f func(*admin.Client) error) error {
	if a.KeyFile == "" {
		return exitf(ExitUsage, "the flag --key-file or BULRUSHSHELF_KEY_FILE is needed")
	}
	keys, err := settings.ReadKeyFile(a.KeyFile)
	if err != nil {
		return exit(ExitUsage, err)
	}
	ctx, cancel := a.bounded()
	defer cancel()
	n, err := admin.Dial(ctx, addr, keys[0])
	if err != nil {
		return nodeError(err)
	}
	defer n.Close()
	return nodeError(f(n))
}

func nodeError(err error) error {
	switch {
	case err == nil:
		return nil
	case trace.IsConnectionProblem(err):
		return exit(ExitUnavailable, err)
	}
	return exit(ExitRefused, err)
}

// Execute runs status.
func (c *statusCommand) Execute([]string) error {
	nodes := c.Args.Nodes
	if len(nodes) == 0 {
		nodes = c.Balancers
	}
	if len(nodes) == 0 {
		return exit(ExitUsage, errNoBalancer)
	}
	var all []admin.Status
	var failed error
	for _, addr := range nodes {
		err := c.withNode(addr, func(n *admin.Client) error {
			ctx, cancel := c.bounded()
			defer cancel()
			s, err := n.Status(ctx)
			if err == nil {
				all = append(all, s)
			}
			return err
		})
		if err != nil {
			c.warnf("%s: %v", addr, err)
			failed = err
		}
	}
	err := c.print(all, func() {
		for _, s := range all {
			c.printStatus(s)
		}
	})
	if failed != nil {
		return failed
	}
	return err
}

func (a *app) printStatus(s admin.Status) {
	a.printf("%s %s in %s: %s, up %s, file version %d, %d balancers, %d agents\n",
		s.Role, s.NodeID, s.DataCentre, s.State, s.Uptime.Round(time.Second), s.FileVersion, s.Balancers, s.Agents)
	if s.Service != "" {
		a.printf("  service %s: %d flows, %d busy, %d queued\n", s.Service, s.Load.Flows, s.Load.Busy, s.Load.Queued)
	}
	for _, f := range s.Findings {
		a.printf("  finding %s\n", f)
	}
	for _, n := range s.Counters {
		a.printf("  %s{%s} %d\n", n.Name, n.Reason, n.Count)
	}
}

// drainName returns a file name that sorts after all decisions about a target.
func drainName(decisions []*config.Decision, target string) string {
	last := ""
	if len(decisions) > 0 {
		last = decisions[len(decisions)-1].File
	}
	prefix := "90"
	for n := 1; ; n++ {
		if name := prefix + "-drain-" + target + ".yaml"; name >= last {
			return name
		}
		prefix = strings.Repeat("z", n) // a longer run of z sorts later, because '-' is below 'z'
	}
}

// Execute runs drain.
func (c *drainCommand) Execute([]string) error {
	target := c.Args.Target
	before, err := c.loadFolder()
	if err != nil {
		return err
	}
	if before.snapshot.Target(model.NodeID(target)).Drain {
		err := c.print(changeReport{Outcome: "drained_already"}, func() { c.printf("target %s is drained already\n", target) })
		if err != nil {
			return err
		}
	} else {
		name := c.Name
		if name == "" {
			name = drainName(before.snapshot.Decisions(config.Subject{Kind: config.KindTarget, Name: target}), target)
		}
		report, err := c.put(name, fmt.Appendf(nil, "target: %q\ndrain: true\n", target))
		if err != nil {
			return err
		}
		if err := c.printChange(report, "accepted"); err != nil {
			return err
		}
		if len(report.OverriddenBy) > 0 {
			return exitf(ExitRefused, "%s does not drain the target: later files override it", name)
		}
	}
	if !c.Wait {
		return nil
	}
	addr, err := c.findAgent(model.NodeID(target))
	if err != nil {
		return err
	}
	return c.waitForAgent(addr, model.NodeID(target))
}

// findAgent asks the balancers for the admin address of an agent.
func (c *drainCommand) findAgent(id model.NodeID) (string, error) {
	if c.Agent != "" {
		return c.Agent, nil
	}
	err := exit(ExitUsage, errNoBalancer)
	for _, b := range c.Balancers {
		addr := ""
		err = c.withNode(b, func(n *admin.Client) error {
			ctx, cancel := c.bounded()
			defer cancel()
			r, err := n.Members(ctx, admin.MembersParams{ID: id})
			if err == nil && len(r.Members) == 0 {
				err = trace.NotFound("balancer %s knows no agent %s", b, id)
			}
			if err == nil {
				addr = r.Members[0].AdminAddr.String()
			}
			return err
		})
		if err == nil {
			return addr, nil
		}
	}
	return "", err
}

// waitForAgent asks an agent until nothing is left. An agent that stops
// answering may have ended after its last flow or died before; ctl cannot tell.
func (c *drainCommand) waitForAgent(addr string, id model.NodeID) error {
	start, last := time.Now(), ""
	var r admin.DrainResult
	for asked := false; ; asked = true {
		err := c.withNode(addr, func(n *admin.Client) (err error) {
			ctx, cancel := c.bounded()
			defer cancel()
			r, err = n.Drain(ctx, admin.DrainParams{Target: id, StatusOnly: true})
			return err
		})
		switch {
		case err != nil && asked:
			return exitf(ExitUnknown, "the agent no longer answers; its last report was %s: %w", last, err)
		case err != nil:
			return err
		}
		last = fmt.Sprintf("%s, %d flows, %d busy, %d queued", r.State, r.Flows, r.Busy, r.Queued)
		if !c.JSON {
			c.printf("%s: %s\n", id, last)
		}
		if r.Done() {
			return nil
		}
		if c.MaxWait > 0 && time.Since(start) > c.MaxWait {
			return exitf(ExitRefused, "the target still has work: %s", last)
		}
		select {
		case <-time.After(c.Poll):
		case <-c.ctx.Done():
			return exitf(ExitRefused, "interrupted; the target stays drained: %s", last)
		}
	}
}
