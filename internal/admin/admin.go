// Package admin implements the JSON-RPC 2.0 admin API of balancers and agents, server and
// client; bulrushshelf-ctl uses it. A connection starts with a handshake in which both sides
// prove that they know the shared key.
package admin

import (
	"context"
	"net/netip"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Methods of the admin API.
const (
	MethodStatus      = "status"
	MethodDrain       = "drain"
	MethodPushFile    = "pushFile"
	MethodMembers     = "members"
	MethodExplainFlow = "explainFlow"
)

// Node is the admin API, as a balancer or agent implements it. Its methods may be called
// concurrently. A method that the role of the node does not support returns a
// trace.NotImplemented error. Bad parameter, not found and connection errors of package trace
// keep their kind on the way to the client.
type Node interface {
	// Status returns the state of the node. It must not block on peers.
	Status(ctx context.Context) (Status, error)
	// Drain makes an agent leave: it accepts no new flows or requests. A repeated
	// call only returns the current counts.
	Drain(ctx context.Context, p DrainParams) (DrainResult, error)
	// PushFile sends the node a decision file that the store accepted. The node
	// keeps the newer of this version and its own, and disseminates it.
	PushFile(ctx context.Context, p PushFileParams) (PushFileResult, error)
	// Members returns the members that the node knows, sorted by ID.
	Members(ctx context.Context, p MembersParams) (MembersResult, error)
	// ExplainFlow returns where the node would send a packet of a flow, and why.
	ExplainFlow(ctx context.Context, p ExplainFlowParams) (ExplainFlowResult, error)
}

// Status is the state of a node.
type Status struct {
	NodeID      model.NodeID      `json:"node_id"`
	Role        string            `json:"role"` // balancer or agent
	DataCentre  model.DataCentre  `json:"datacentre"`
	Service     model.ServiceName `json:"service,omitempty"`
	State       string            `json:"state"`
	Incarnation model.Incarnation `json:"incarnation"`
	Uptime      time.Duration     `json:"uptime_ns"`
	// Settled: a balancer is serving; the view of an agent has been stable for the settle time.
	Settled bool `json:"settled"`
	// FileVersion is the newest store version of a decision file; at an agent, of those that
	// changed its slice.
	FileVersion uint64     `json:"file_version"`
	Files       int        `json:"files"`
	Findings    []string   `json:"findings,omitempty"` // errors in the decision files
	Balancers   int        `json:"balancers"`          // active balancers in the view
	Agents      int        `json:"agents"`
	Load        model.Load `json:"load"` // set by agents
	Counters    []Counter  `json:"counters,omitempty"`
}

// Counter is one count of refusals, drops or retries.
type Counter struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
}

// DrainParams are the parameters of drain.
type DrainParams struct {
	// Target must be the NodeID of the agent called, so that a wrong address
	// does not drain another target.
	Target model.NodeID `json:"target"`
	// StatusOnly returns the counts and does not start the drain.
	StatusOnly bool `json:"status_only,omitempty"`
}

// DrainResult is the work that is left before the agent may stop. State is "leaving" also
// while a decision file drains the target.
type DrainResult struct {
	State  string `json:"state"`
	Flows  int    `json:"flows"`
	Busy   int    `json:"busy"`
	Queued int    `json:"queued"`
}

// Done reports whether the agent is leaving and has no work left.
func (r DrainResult) Done() bool {
	return r.State == model.StateLeaving.String() && r.Flows == 0 && r.Busy == 0 && r.Queued == 0
}

// PushFileParams are the parameters of pushFile: a file at its store version,
// or its removal.
type PushFileParams struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Epoch   uint64 `json:"epoch,omitempty"` // of the store
	Removed bool   `json:"removed,omitempty"`
	Content []byte `json:"content,omitempty"`
}

// PushFileResult is the state of the file at the node after a push.
type PushFileResult struct {
	Version uint64 `json:"version"` // newest at the node; above the pushed version if that is outdated
	Changed bool   `json:"changed"`
}

// MembersParams are the parameters of members. An empty field matches all members.
type MembersParams struct {
	Service model.ServiceName `json:"service,omitempty"`
	ID      model.NodeID      `json:"id,omitempty"`
}

// MembersResult is the result of members.
type MembersResult struct {
	Members []model.Member `json:"members"`
}

// ExplainFlowParams are the parameters of explainFlow.
type ExplainFlowParams struct {
	Src      netip.AddrPort `json:"src"`
	Dst      netip.AddrPort `json:"dst"`
	Protocol string         `json:"protocol"` // tcp or udp
}

// ExplainFlowResult is the result of explainFlow.
type ExplainFlowResult struct {
	Service    model.ServiceName `json:"service"`
	To         model.NodeID      `json:"to,omitempty"`     // empty when the packet would be dropped
	Holder     model.NodeID      `json:"holder,omitempty"` // if known
	Home       model.NodeID      `json:"home,omitempty"`
	Candidates []model.NodeID    `json:"candidates,omitempty"`
	ViewHash   uint64            `json:"view_hash"`
	Settled    bool              `json:"settled"`
	Reason     string            `json:"reason"`
}
