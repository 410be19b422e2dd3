package node

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/admin"
	"github.com/bulrushshelf/bulrushshelf/internal/balancer"
	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/packet"
	"github.com/bulrushshelf/bulrushshelf/internal/route"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

var (
	errStopped = trace.ConnectionProblem(nil, "the node is stopping")
	errRole    = trace.NotImplemented("this node's role does not have the method")
)

// pushPoll is how often a push looks whether the file has arrived.
const pushPoll = 10 * time.Millisecond

// counters returns the counts of refusals, drops and retries.
func counters(m *telemetry.Metrics) []admin.Counter {
	var out []admin.Counter
	for _, c := range m.SortedTotals() {
		out = append(out, admin.Counter{Name: c.Name, Reason: c.Reason, Count: c.Count})
	}
	return out
}

// selected returns the members that a request names.
func selected(members []model.Member, p admin.MembersParams) admin.MembersResult {
	var out admin.MembersResult
	for _, m := range members {
		if (p.Service == "" || m.Service == p.Service) && (p.ID == "" || m.ID == p.ID) {
			out.Members = append(out.Members, m)
		}
	}
	return out
}

// BalancerAdmin answers ctl for a balancer.
type BalancerAdmin struct{ B *Balancer }

// Status implements admin.Node.
func (a BalancerAdmin) Status(ctx context.Context) (admin.Status, error) {
	state, ok := a.B.State(ctx)
	if !ok {
		return admin.Status{}, errStopped
	}
	s := admin.Status{
		NodeID: state.Self.ID, Role: "balancer", DataCentre: state.Self.DC, State: state.Self.State.String(),
		Incarnation: state.Self.Incarnation, Uptime: time.Since(a.B.started), Settled: state.Serving,
		FileVersion: state.Rev, Files: state.Snapshot.Files(), Counters: counters(a.B.opt.Metrics),
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

// Drain implements admin.Node; a balancer drains by its own stop.
func (a BalancerAdmin) Drain(context.Context, admin.DrainParams) (admin.DrainResult, error) {
	return admin.DrainResult{}, errRole
}

// PushFile implements admin.Node. It answers when the configuration in force
// contains the file.
func (a BalancerAdmin) PushFile(ctx context.Context, p admin.PushFileParams) (admin.PushFileResult, error) {
	a.B.Post(ctx, balancer.Pushed{File: message.File{Name: p.Name, Version: p.Version, Removed: p.Removed, Content: p.Content}})
	for {
		var rev uint64
		if !a.B.calls.do(ctx, a.B.stopped, func() { _, rev = a.B.core.Snapshot() }) {
			return admin.PushFileResult{}, errStopped
		}
		if rev >= p.Version {
			return admin.PushFileResult{Version: rev, Changed: rev == p.Version}, nil
		}
		pause(ctx, pushPoll)
	}
}

// Members implements admin.Node.
func (a BalancerAdmin) Members(ctx context.Context, p admin.MembersParams) (admin.MembersResult, error) {
	state, ok := a.B.State(ctx)
	if !ok {
		return admin.MembersResult{}, errStopped
	}
	return selected(state.Members, p), nil
}

// ExplainFlow implements admin.Node: it routes a later packet of the flow.
func (a BalancerAdmin) ExplainFlow(ctx context.Context, p admin.ExplainFlowParams) (admin.ExplainFlowResult, error) {
	flow, err := flowOf(p)
	if err != nil {
		return admin.ExplainFlowResult{}, err
	}
	var out admin.ExplainFlowResult
	ok := a.B.calls.do(ctx, a.B.stopped, func() {
		snapshot, _ := a.B.core.Snapshot()
		out.Service, _ = snapshot.Lookup(flow.ServiceAddr())
		d := a.B.core.Route(time.Now(), &packet.Info{Flow: flow, ACK: true})
		out.To, out.ViewHash, out.Reason = d.To, d.ViewHash, string(d.Reason)
		if d.Verdict == route.LookupHolder {
			out.Reason = "former holders of the address are asked first"
		}
		out.Home, out.Settled = a.B.core.Home(time.Now(), flow).To, a.B.core.Serving()
	})
	if !ok {
		return admin.ExplainFlowResult{}, errStopped
	}
	return out, nil
}

func flowOf(p admin.ExplainFlowParams) (model.Flow, error) {
	addr, err := config.ParseAddress(p.Dst.String() + "/" + p.Protocol)
	if err != nil {
		return model.Flow{}, trace.BadParameter("flow: %v", err)
	}
	return model.Flow{Src: p.Src, Dst: addr.Addr, Proto: addr.Proto}, nil
}

// AgentAdmin answers ctl for an agent.
type AgentAdmin struct{ A *Agent }

// Status implements admin.Node.
func (a AgentAdmin) Status(ctx context.Context) (admin.Status, error) {
	self := a.A.Self()
	s := admin.Status{
		NodeID: self.ID, Role: "agent", DataCentre: self.DC, Service: self.Service, State: a.state(),
		Incarnation: self.Incarnation, Uptime: time.Since(a.A.started), Load: a.A.Load(), Counters: counters(a.A.opt.Metrics),
	}
	ok := a.A.calls.do(ctx, nil, func() {
		slice := a.A.core.Slice()
		s.Settled, s.FileVersion = a.A.core.Settled(time.Now()), slice.FileRev
		s.Balancers, s.Agents = len(slice.Balancers), len(slice.View.Members)
	})
	if !ok {
		return admin.Status{}, errStopped
	}
	return s, nil
}

// state is leaving too when a decision file drains the target.
func (a AgentAdmin) state() string {
	if a.A.Draining() {
		return model.StateLeaving.String()
	}
	return a.A.Self().State.String()
}

// Drain implements admin.Node.
func (a AgentAdmin) Drain(_ context.Context, p admin.DrainParams) (admin.DrainResult, error) {
	if self := a.A.Self(); p.Target != self.ID && p.Target != self.Target() {
		return admin.DrainResult{}, trace.BadParameter("this is the agent of target %q, not of %q", self.ID, p.Target)
	}
	if !p.StatusOnly {
		a.A.Leave()
	}
	load := a.A.Load()
	return admin.DrainResult{State: a.state(), Flows: load.Flows, Busy: a.A.front.Running(), Queued: load.Queued}, nil
}

// PushFile implements admin.Node; files go to balancers.
func (a AgentAdmin) PushFile(context.Context, admin.PushFileParams) (admin.PushFileResult, error) {
	return admin.PushFileResult{}, errRole
}

// Members implements admin.Node.
func (a AgentAdmin) Members(ctx context.Context, p admin.MembersParams) (admin.MembersResult, error) {
	var out admin.MembersResult
	ok := a.A.calls.do(ctx, nil, func() {
		slice := a.A.core.Slice()
		out = selected(append(append([]model.Member(nil), slice.Balancers...), slice.View.Members...), p)
	})
	if !ok {
		return admin.MembersResult{}, errStopped
	}
	return out, nil
}

// ExplainFlow implements admin.Node.
func (a AgentAdmin) ExplainFlow(ctx context.Context, p admin.ExplainFlowParams) (admin.ExplainFlowResult, error) {
	flow, err := flowOf(p)
	if err != nil {
		return admin.ExplainFlowResult{}, err
	}
	self := a.A.Self()
	out := admin.ExplainFlowResult{Service: self.Service}
	ok := a.A.calls.do(ctx, nil, func() {
		now, table := time.Now(), a.A.core.Table()
		if homes := table.Homes(now, flow.Hash(), 1); len(homes) > 0 {
			out.Home = homes[0]
		}
		out.Candidates = table.Candidates(now, flow.Hash(), explainCandidates)
		out.ViewHash, out.Settled = table.Fingerprint(), table.Settled(now)
		if a.A.core.Holds(flow) {
			out.Holder, out.To = self.ID, self.ID
		}
	})
	if !ok {
		return admin.ExplainFlowResult{}, errStopped
	}
	return out, nil
}

const explainCandidates = 8
