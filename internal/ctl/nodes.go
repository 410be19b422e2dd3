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
	Name    string        `long:"name" value-name:"NAME" description:"name of the decision file; by default one that sorts last"`
	Wait    bool          `long:"wait" description:"wait until all flows and requests of the target have ended"`
	Agent   string        `long:"agent" value-name:"IP:port" description:"admin address of the agent; by default looked up at a balancer"`
	Poll    time.Duration `long:"poll" default:"1s" description:"interval at which --wait queries the agent"`
	MaxWait time.Duration `long:"max-wait" default:"0s" description:"maximum time of --wait; 0s is unlimited"`
	Args    struct {
		Target string `positional-arg-name:"TARGET" description:"node id of the target's agent"`
	} `positional-args:"true" required:"true"`
}

// withNode connects to the admin address of a node and calls f.
func (a *app) withNode(addr string, f func(*admin.Client) error) error {
	if a.KeyFile == "" {
		return exitErrorf(ExitUsage, "the flag --key-file or BULRUSHSHELF_KEY_FILE is needed")
	}
	keys, err := settings.ReadKeyFile(a.KeyFile)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	ctx, cancel := a.callContext()
	defer cancel()
	n, err := admin.Dial(ctx, addr, keys[0])
	if err != nil {
		return nodeErrorWithCode(err)
	}
	defer n.Close()
	return nodeErrorWithCode(f(n))
}

// nodeErrorWithCode gives the error of a call to a node its exit code.
func nodeErrorWithCode(err error) error {
	switch {
	case err == nil:
		return nil
	case trace.IsConnectionProblem(err):
		return withExitCode(ExitUnavailable, err)
	}
	return withExitCode(ExitRefused, err)
}

// Execute runs status.
func (c *statusCommand) Execute([]string) error {
	nodes := c.Args.Nodes
	if len(nodes) == 0 {
		nodes = c.Balancers
	}
	if len(nodes) == 0 {
		return withExitCode(ExitUsage, errNoBalancer)
	}
	var all []admin.Status
	var lastErr error
	for _, addr := range nodes {
		err := c.withNode(addr, func(n *admin.Client) error {
			ctx, cancel := c.callContext()
			defer cancel()
			s, err := n.Status(ctx)
			if err == nil {
				all = append(all, s)
			}
			return err
		})
		if err != nil {
			c.warnf("%s: %v", addr, err)
			lastErr = err
		}
	}
	err := c.print(all, func() {
		for _, s := range all {
			c.printStatus(s)
		}
	})
	if lastErr != nil {
		return lastErr
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

// drainFileName returns a file name that sorts after all decisions for the target.
func drainFileName(decisions []*config.Decision, target string) string {
	lastFile := ""
	if len(decisions) > 0 {
		lastFile = decisions[len(decisions)-1].File
	}
	prefix := "90"
	for n := 1; ; n++ {
		if name := prefix + "-drain-" + target + ".yaml"; name >= lastFile {
			return name
		}
		prefix = strings.Repeat("z", n) // more z's sort later, because '-' is less than 'z'
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
			name = drainFileName(before.snapshot.Decisions(config.Subject{Kind: config.KindTarget, Name: target}), target)
		}
		report, err := c.putFile(name, fmt.Appendf(nil, "target: %q\ndrain: true\n", target))
		if err != nil {
			return err
		}
		if err := c.printChange(report, "accepted"); err != nil {
			return err
		}
		if len(report.OverriddenBy) > 0 {
			return exitErrorf(ExitRefused, "%s does not drain the target: later files override it", name)
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

// findAgent looks up the admin address of an agent at the balancers.
func (c *drainCommand) findAgent(id model.NodeID) (string, error) {
	if c.Agent != "" {
		return c.Agent, nil
	}
	err := withExitCode(ExitUsage, errNoBalancer)
	for _, b := range c.Balancers {
		addr := ""
		err = c.withNode(b, func(n *admin.Client) error {
			ctx, cancel := c.callContext()
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

// waitForAgent queries an agent until it has no work left. If the agent stops responding, it
// may have exited after its last flow or crashed before; ctl can't tell which.
func (c *drainCommand) waitForAgent(addr string, id model.NodeID) error {
	start, lastReport := time.Now(), ""
	var r admin.DrainResult
	for answered := false; ; answered = true {
		err := c.withNode(addr, func(n *admin.Client) (err error) {
			ctx, cancel := c.callContext()
			defer cancel()
			r, err = n.Drain(ctx, admin.DrainParams{Target: id, StatusOnly: true})
			return err
		})
		switch {
		case err != nil && answered:
			return exitErrorf(ExitUnknown, "the agent no longer responds; its last report was %s: %w", lastReport, err)
		case err != nil:
			return err
		}
		lastReport = fmt.Sprintf("%s, %d flows, %d busy, %d queued", r.State, r.Flows, r.Busy, r.Queued)
		if !c.JSON {
			c.printf("%s: %s\n", id, lastReport)
		}
		if r.Done() {
			return nil
		}
		if c.MaxWait > 0 && time.Since(start) > c.MaxWait {
			return exitErrorf(ExitRefused, "the target still has work: %s", lastReport)
		}
		select {
		case <-time.After(c.Poll):
		case <-c.ctx.Done():
			return exitErrorf(ExitRefused, "interrupted; the target stays drained: %s", lastReport)
		}
	}
}
