package docgen

import (
	"fmt"
	"strings"
)

// sweepRow is one quantity of a role at the sizes that the users' bench played: the
// median node, the busiest one, and the power of the number of VMs by which the busiest
// grows.
type sweepRow struct {
	quantity string
	sizes    [3]string // at sweepSizes: median / busiest
	power    string
	planned  string // the busiest carried on to the planned size, not played
}

// sweepSizes are the numbers of VMs in the sweep.
var sweepSizes = [3]int{30, 100, 300}

// sweepRows are from `fleetbench sweep` of varmevej-hq-large.
var sweepRows = []sweepRow{
	{"agent: processor, % of its share", [3]string{"1.7 / 3.4", "1.7 / 2.4", "2.0 / 2.5"}, "-0.14", "2.5"},
	{"agent: memory, MB", [3]string{"6.0 / 6.6", "5.8 / 6.1", "6.1 / 6.9"}, "0.02", "7.4"},
	{"agent: control and data, kB/s", [3]string{"31.2 / 171", "16.9 / 77.6", "12.7 / 48.8"}, "-0.55", "48.8"},
	{"balancer: processor, % of its share", [3]string{"3.7 / 4.4", "4.4 / 5.8", "7.5 / 9.9"}, "0.35", "35.5"},
	{"balancer: memory, MB", [3]string{"7.1 / 7.3", "7.3 / 7.5", "7.5 / 9.0"}, "0.09", "12.3"},
	{"balancer: control and data, kB/s", [3]string{"113 / 158", "75.5 / 104", "85.3 / 226"}, "0.15", "390"},
	{"balancer: connections", [3]string{"4.0 / 8.0", "4.0 / 26.0", "4.0 / 80.0"}, "1.00", "3126"},
	{"configuration in force, ms", [3]string{"58.0 / 69.0", "78.0 / 87.0", "151 / 158"}, "0.36", "585"},
}

// writeSweep writes the section on pass-through mode.
func writeSweep(b *strings.Builder) {
	b.WriteString(sweepIntro)
	header := []string{"median / busiest"}
	for _, n := range sweepSizes {
		header = append(header, fmt.Sprintf("%d VMs", n))
	}
	writeRow(b, append(header, "power", "at 11,737")...)
	b.WriteString("|---|---|---|---|---|---|\n")
	for _, r := range sweepRows {
		writeRow(b, r.quantity, r.sizes[0], r.sizes[1], r.sizes[2], r.power, r.planned)
	}
	b.WriteString(sweepNotes)
}

const sweepIntro = `
## Pass-through mode on the users' platform

The slopes are what ` + "`fleetbench sweep`" + ` of varmevej-hq-large shows; the last column carries the busiest node on by that power
and was not played. No rule was broken, and the three sizes served 0.995, 0.997 and 0.995 of the requests. Five other plays ran on
the machine, which raises the processor figures.

`

const sweepNotes = `
| what | figure at 12,000 nodes | carried by | what does not fit |
|---|---|---|---|
| watches of the store | 54 (3 in each of 18 data centres) | readers by rank | nothing |
| cheap listings of agents | 27 a second by readers, 600 a second by the others, each of 118 pages of 500 | stretched intervals | the pages: 74,000 reads a second, cheap but counted. An agent must be found through the services that it serves |
| reads at a balancer's start | 2, and 118 pages of agents | one listing at start | the pages, when many start at once |
| hellos of a balancer to agents | 120 a second in all, one to each of 59,000 agents in 8 minutes | interval grows with the agents | load and losses would be minutes old: a balancer must exchange hellos with the agents of a part of the services |
| hellos between balancers | 12,000 a second sent, 76 B each with UDP header | one a second to each | 912 kB/s against 3: only balancers of the data centre, and relays to others |
| reports of an agent | as many as hellos it gets | one for each hello | nothing once hellos are bounded |
| writes after the store is restored from a copy | one for each agent that the copy lacks: 8,600 starts a day are 1 in 10 s | only agents that a listing lacks write | a copy from before most agents: 59,000 writes, minutes at several hundred a second |
| lookups | every agent once for each flow that no balancer of the data centre knows | hints first, batches, answers kept | 59,000 queries a flow: the agents of the address's services first |
| probes | the first packet of such a flow at each agent that does not know all flows of its target, up to flow_idle after its start | one at a time, or an eighth of them at once | after a restart of all agents beside running targets a full packet at every target for a flow that has ended: the targets of the address's services only, which needs earlier configurations to be known at a balancer's start |
| return after a loss of power | one report of each agent at each balancer says that no earlier flow is left there; each ended flow is queried at each agent once or twice, 17 B, about 3 to a message | lookups wait for the reports, at most 1.5 s | the queries: still flows × agents, see lookups |
| service times in reports (setting ` + "`pace`" + `) | 43 B more on 85 for a service of two classes; 1.5 us a report with 50 targets, medians included (` + "`BenchmarkPacedReport`" + `) | medians every 250 ms | nothing: targets are compared within their service |
| memory of a balancer | 12.3 MB by the sweep; an agent's entry and report take about 0.5 kB, 30 MB for 59,000 | maps | fits 256 MB |

The first four rows are arithmetic on the intervals in internal/steer and internal/passnode; the entry of an agent is an
estimate. The mechanisms of the product's own mode above (member records, digests, relays between data centres) carry these
sizes; pass-through mode does not use them yet.

A loss of power of all VMs in the simulation (` + "`" + `go test ./internal/steersim -run AllVMsLosePower -v` + "`" + `, 50 agents, 16 balancers,
3,000 open flows, heartbeats every 0.77 s, three seeds):

| | 79b34ba | with certainty from first heartbeats |
|---|---|---|
| packets of ended flows sent to targets | 150,000, one for each flow and agent (seed 3) | 245 (seed 2) and 1,538 (seed 3) |
| query entries for each flow and agent | 1.6 (seed 3) | 1.7 (all) |
| last caller reset after its first packet and the last start | 1.27 s (seed 3), 3.07 s (seed 1) | 0.97, 0.91, 0.95 s |
`
