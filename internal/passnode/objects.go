package passnode

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/steer"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
)

// AgentsPrefix is the path prefix of the agents' objects in the store.
const AgentsPrefix = "agents/"

// AgentObject is an agent's object in the store.
type AgentObject struct {
	Peer netip.AddrPort `json:"peer"`
	// Incarnation makes the object of each start differ, so that a delayed removal by a
	// previous incarnation fails on the version.
	Incarnation model.Incarnation `json:"incarnation"`
	// Node and DataCentre are empty in the objects of agents of an earlier release.
	Node       model.NodeID     `json:"node,omitempty"`
	DataCentre model.DataCentre `json:"datacentre,omitempty"`
}

// removal is the order to remove an agent's object. The version makes it fail if the
// agent has registered again since the core decided.
type removal struct {
	agent netip.AddrPort
	at    storeclient.Position
}

// listedAgent is an agent's object in a listing.
type listedAgent struct {
	at          storeclient.Position // version of the object in the epoch of the listing
	incarnation model.Incarnation
	since       time.Time // when a listing first had this version
}

// orphanedAfter is the time after which an object that has not changed is not of a process
// that has just started and not reported yet: all agents have reported by then.
const orphanedAfter = time.Minute

// setListed replaces the listed objects.
func (b *Balancer) setListed(now time.Time, listed map[netip.AddrPort]listedAgent) {
	for a, l := range listed {
		l.since = now
		if before, ok := b.listed[a]; ok && before.at == l.at {
			l.since = before.since
		}
		listed[a] = l
	}
	b.listed = listed
}

// removable reports whether an agent's object may be removed after its process with the
// incarnation has ended: the process itself wrote it, or an earlier one. Incarnations do
// not order processes, because the time of day may go back between two starts.
func (l listedAgent) removable(now time.Time, incarnation model.Incarnation) bool {
	return l.incarnation == incarnation || !l.since.IsZero() && now.Sub(l.since) >= orphanedAfter
}

// agentPath returns the path of an agent's object.
func agentPath(peer netip.AddrPort) string {
	return AgentsPrefix + strings.ReplaceAll(peer.String(), ":", "-")
}

// readAgents returns the listed agents and their objects. The listing may be stale
// unless fresh is set.
func (b *Balancer) readAgents(ctx context.Context, fresh bool) (steer.AgentListing, map[netip.AddrPort]listedAgent, error) {
	l, err := b.listStore(ctx, AgentsPrefix, fresh)
	if err != nil {
		return steer.AgentListing{}, nil, err
	}
	out := steer.AgentListing{Epoch: l.Position.Epoch}
	listed := make(map[netip.AddrPort]listedAgent, len(l.Objects))
	for _, o := range l.Objects {
		var a AgentObject
		if json.Unmarshal(o.Content, &a) != nil || !a.Peer.IsValid() {
			b.opts.Metrics.Count(CounterMalformed, "agent_object", 1) // skipped; the other objects are used
			continue
		}
		out.Agents = append(out.Agents, a.Peer)
		listed[a.Peer] = listedAgent{at: storeclient.Position{Epoch: l.Position.Epoch, Revision: o.Version}, incarnation: a.Incarnation}
	}
	return out, listed, nil
}
