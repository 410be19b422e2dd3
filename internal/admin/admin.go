// Package admin is the jsonrpc2 service of balancers and agents for
// bulrushshelf-ctl, and its client. A connection starts with a handshake in
// which both sides prove that they know the shared key.
package admin

import (
	"context"
	"net/netip"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// The methods.
const (
	MethodStatus      = "status"
	MethodDrain       = "drain"
	MethodPushFile    = "pushFile"
	MethodMembers     = "members"
	MethodExplainFlow = "explainFlow"
)

// Node is what a runtime implements. Calls come from several goroutines. A
// method that the node's role does not have returns a trace.NotImplemented
// error; other trace errors keep their kind on the way to the client.
type Node interface {
	// Status returns the state of the node. It must not block on peers.
	Status(ctx context.Context) (Status, error)
	// Drain makes an agent leave: it takes no new work from now on. A repeated
	// call changes nothing and returns the current counts.
	Drain(ctx context.Context, p DrainParams) (DrainResult, error)
	// PushFile offers a decision file that the store accepted. The node keeps
	// the newer of it and what it has, and disseminates it.
	PushFile(ctx context.Context, p PushFileParams) (PushFileResult, error)
	// Members returns the members that the node knows, in order of their IDs.
	Members(ctx context.Context, p MembersParams) (MembersResult, error)
	// ExplainFlow tells where the node would send a packet of a flow, and why.
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
	Settled     bool              `json:"settled"`      // the view has not changed lately
	FileVersion uint64            `json:"file_version"` // newest store version of a decision file; of an agent, of one that changed its slice
	Files       int               `json:"files"`
	Findings    []string          `json:"findings,omitempty"` // faults of the decision files
	Balancers   int               `json:"balancers"`          // active members known
	Agents      int               `json:"agents"`
	Load        model.Load        `json:"load"` // of an agent
	Counters    []Counter         `json:"counters,omitempty"`
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

// DrainResult tells what is left to do before the agent may stop. State is
// "leaving" also while a decision file drains the target.
type DrainResult struct {
	State  string `json:"state"`
	Flows  int    `json:"flows"`
	Busy   int    `json:"busy"`
	Queued int    `json:"queued"`
}

// Done reports whether nothing is left.
func (r DrainResult) Done() bool {
	return r.State == model.StateLeaving.String() && r.Flows == 0 && r.Busy == 0 && r.Queued == 0
}

// PushFileParams are the parameters of pushFile: a file at its store version,
// or its removal.
type PushFileParams struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Removed bool   `json:"removed,omitempty"`
	Content []byte `json:"content,omitempty"`
}

// PushFileResult tells what the node holds after a push.
type PushFileResult struct {
	Version uint64 `json:"version"` // of the file now; above the pushed one if it was outdated
	Changed bool   `json:"changed"`
}

// MembersParams are the parameters of members. Empty fields select all.
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
	Holder     model.NodeID      `json:"holder,omitempty"` // if the node knows one
	Home       model.NodeID      `json:"home,omitempty"`
	Candidates []model.NodeID    `json:"candidates,omitempty"`
	ViewHash   uint64            `json:"view_hash"`
	Settled    bool              `json:"settled"`
	Reason     string            `json:"reason"`
}
