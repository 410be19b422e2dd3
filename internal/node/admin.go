package node

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/admin"
	"github.com/bulrushshelf/bulrushshelf/internal/balancer"
	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/confsync"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/packet"
	"github.com/bulrushshelf/bulrushshelf/internal/route"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

var (
	errStopped   = trace.ConnectionProblem(nil, "the node is stopping")
	errWrongRole = trace.NotImplemented("a node of this role does not support the method")
)

// pushPollInterval is the interval at which PushFile checks whether the file is in
// force.
const pushPollInterval = 10 * time.Millisecond

// counters returns all counters of m, such as refusals, drops and retries.
func counters(m *telemetry.Metrics) []admin.Counter {
	var out []admin.Counter
	for _, c := range m.SortedTotals() {
		out = append(out, admin.Counter{Name: c.Name, Reason: c.Reason, Count: c.Count})
	}
	return out
}

// filterMembers returns the members that match the service and id of p, where
// empty fields match every member.
func filterMembers(members []model.Member, p admin.MembersParams) admin.MembersResult {
	var out admin.MembersResult
	for _, m := range members {
		if (p.Service == "" || m.Service == p.Service) && (p.ID == "" || m.ID == p.ID) {
			out.Members = append(out.Members, m)
		}
	}
	return out
}

// BalancerAdmin implements the admin methods of a balancer.
type BalancerAdmin struct{ Balancer *Balancer }

// Status implements admin.Node.
func (a BalancerAdmin) Status(ctx context.Context) (admin.Status, error) {
	state, ok := a.Balancer.State(ctx)
	if !ok {
		return admin.Status{}, errStopped
	}
	s := admin.Status{
		NodeID: state.Self.ID, Role: "balancer", DataCentre: state.Self.DC, State: state.Self.State.String(),
		Incarnation: state.Self.Incarnation, Uptime: time.Since(a.Balancer.started), Settled: state.Serving,
		FileVersion: state.Rev, Files: state.Snapshot.NumFiles(), Counters: counters(a.Balancer.opt.Metrics),
	}
	for _, f := range state.Snapshot.Findings() {
		s.Findings = append(s.Findings, f.String())
	}
	for _, m := range state.Members {
		switch {
		case m.State != model.StateActive:
		case m.Kind == model.KindBalancer:
			s.Balancers++
		default:
			s.Agents++
		}
	}
	return s, nil
}

// Drain implements admin.Node. A balancer refuses it: it drains when it is stopped.
func (a BalancerAdmin) Drain(context.Context, admin.DrainParams) (admin.DrainResult, error) {
	return admin.DrainResult{}, errWrongRole
}

// PushFile implements admin.Node. It returns once the configuration in force
// contains the file.
func (a BalancerAdmin) PushFile(ctx context.Context, p admin.PushFileParams) (admin.PushFileResult, error) {
	a.Balancer.Post(ctx, balancer.Pushed{Epoch: p.Epoch, File: message.File{Name: p.Name, Version: p.Version, Removed: p.Removed, Content: p.Content}})
	version := confsync.OrderedVersion(p.Epoch, p.Version)
	for {
		var rev uint64
		if !a.Balancer.calls.do(ctx, a.Balancer.stopped, func() { _, rev = a.Balancer.core.Snapshot() }) {
			return admin.PushFileResult{}, errStopped
		}
		if rev >= version {
			return admin.PushFileResult{Version: rev, Changed: rev == version}, nil
		}
		sleep(ctx, pushPollInterval)
	}
}

// Members implements admin.Node.
func (a BalancerAdmin) Members(ctx context.Context, p admin.MembersParams) (admin.MembersResult, error) {
	state, ok := a.Balancer.State(ctx)
	if !ok {
		return admin.MembersResult{}, errStopped
	}
	return filterMembers(state.Members, p), nil
}

// ExplainFlow implements admin.Node. It returns the decision for a TCP packet of
// the flow with ACK set and without SYN.
func (a BalancerAdmin) ExplainFlow(ctx context.Context, p admin.ExplainFlowParams) (admin.ExplainFlowResult, error) {
	flow, err := parseFlow(p)
	if err != nil {
		return admin.ExplainFlowResult{}, err
	}
	var out admin.ExplainFlowResult
	ok := a.Balancer.calls.do(ctx, a.Balancer.stopped, func() {
		snapshot, _ := a.Balancer.core.Snapshot()
		out.Service, _ = snapshot.Lookup(flow.ServiceAddr())
		d := a.Balancer.core.Route(time.Now(), &packet.Info{Flow: flow, ACK: true})
		out.To, out.ViewHash, out.Reason = d.To, d.ViewHash, string(d.Reason)
		if d.Verdict == route.LookupHolder {
			out.Reason = "former holders of the address are queried first"
		}
		out.Home, out.Settled = a.Balancer.core.Home(time.Now(), flow).To, a.Balancer.core.Serving()
	})
	if !ok {
		return admin.ExplainFlowResult{}, errStopped
	}
	return out, nil
}

func parseFlow(p admin.ExplainFlowParams) (model.Flow, error) {
	addr, err := config.ParseAddress(p.Dst.String() + "/" + p.Protocol)
	if err != nil {
		return model.Flow{}, trace.BadParameter("flow: %v", err)
	}
	return model.Flow{Src: p.Src, Dst: addr.Addr, Proto: addr.Proto}, nil
}

// AgentAdmin implements the admin methods of an agent.
type AgentAdmin struct{ Agent *Agent }

// Status implements admin.Node.
func (a AgentAdmin) Status(ctx context.Context) (admin.Status, error) {
	self := a.Agent.Self()
	s := admin.Status{
		NodeID: self.ID, Role: "agent", DataCentre: self.DC, Service: self.Service, State: a.stateName(),
		Incarnation: self.Incarnation, Uptime: time.Since(a.Agent.started), Load: a.Agent.Load(), Counters: counters(a.Agent.opt.Metrics),
	}
	ok := a.Agent.calls.do(ctx, nil, func() {
		slice := a.Agent.core.Slice()
		s.Settled, s.FileVersion = a.Agent.core.Settled(time.Now()), slice.FileRev
		s.Balancers, s.Agents = len(slice.Balancers), len(slice.View.Members)
	})
	if !ok {
		return admin.Status{}, errStopped
	}
	return s, nil
}

// stateName returns the name of the agent's state. It is leaving also while a
// decision file drains the target.
func (a AgentAdmin) stateName() string {
	if a.Agent.Draining() {
		return model.StateLeaving.String()
	}
	return a.Agent.Self().State.String()
}

// Drain implements admin.Node.
func (a AgentAdmin) Drain(_ context.Context, p admin.DrainParams) (admin.DrainResult, error) {
	if self := a.Agent.Self(); p.Target != self.ID && p.Target != self.Target() {
		return admin.DrainResult{}, trace.BadParameter("this is the agent of target %q, not of %q", self.ID, p.Target)
	}
	if !p.StatusOnly {
		a.Agent.Leave()
	}
	load := a.Agent.Load()
	return admin.DrainResult{State: a.stateName(), Flows: load.Flows, Busy: a.Agent.front.Running(), Queued: load.Queued}, nil
}

// PushFile implements admin.Node. An agent refuses it: only balancers accept files.
func (a AgentAdmin) PushFile(context.Context, admin.PushFileParams) (admin.PushFileResult, error) {
	return admin.PushFileResult{}, errWrongRole
}

// Members implements admin.Node.
func (a AgentAdmin) Members(ctx context.Context, p admin.MembersParams) (admin.MembersResult, error) {
	var out admin.MembersResult
	ok := a.Agent.calls.do(ctx, nil, func() {
		slice := a.Agent.core.Slice()
		out = filterMembers(append(append([]model.Member(nil), slice.Balancers...), slice.View.Members...), p)
	})
	if !ok {
		return admin.MembersResult{}, errStopped
	}
	return out, nil
}

// ExplainFlow implements admin.Node.
func (a AgentAdmin) ExplainFlow(ctx context.Context, p admin.ExplainFlowParams) (admin.ExplainFlowResult, error) {
	flow, err := parseFlow(p)
	if err != nil {
		return admin.ExplainFlowResult{}, err
	}
	self := a.Agent.Self()
	out := admin.ExplainFlowResult{Service: self.Service}
	ok := a.Agent.calls.do(ctx, nil, func() {
		now, table := time.Now(), a.Agent.core.Table()
		if homes := table.Homes(now, flow.Hash(), 1); len(homes) > 0 {
			out.Home = homes[0]
		}
		out.Candidates = table.Candidates(now, flow.Hash(), maxExplainCandidates)
		out.ViewHash, out.Settled = table.Fingerprint(), table.Settled(now)
		if a.Agent.core.Holds(flow) {
			out.Holder, out.To = self.ID, self.ID
		}
	})
	if !ok {
		return admin.ExplainFlowResult{}, errStopped
	}
	return out, nil
}

const maxExplainCandidates = 8
