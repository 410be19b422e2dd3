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
	{"agent: processor, % of its share", [3]string{"1.4 / 3.0", "1.3 / 2.0", "1.4 / 1.8"}, "-0.24", "1.8"},
	{"agent: memory, MB", [3]string{"5.9 / 6.5", "5.9 / 6.1", "5.9 / 6.2"}, "-0.02", "6.2"},
	{"agent: control and data, kB/s", [3]string{"31.7 / 174", "16.8 / 82.5", "12.1 / 45.3"}, "-0.59", "45.3"},
	{"balancer: processor, % of its share", [3]string{"3.2 / 3.7", "3.7 / 4.9", "6.1 / 8.3"}, "0.35", "29.4"},
	{"balancer: memory, MB", [3]string{"6.8 / 7.2", "7.2 / 7.7", "7.5 / 9.1"}, "0.10", "13.2"},
	{"balancer: control and data, kB/s", [3]string{"116 / 158", "76.5 / 104", "83.9 / 281"}, "0.24", "676"},
	{"balancer: connections", [3]string{"4.0 / 8.0", "4.0 / 19.0", "4.0 / 83.0"}, "1.01", "3384"},
	{"configuration in force, ms", [3]string{"61.0 / 67.0", "81.0 / 85.0", "145 / 159"}, "0.37", "623"},
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
and was not played. No rule was broken, and the three sizes served 0.996, 0.997 and 0.996 of the requests.

`

const sweepNotes = `
| what | figure at 12,000 nodes | carried by | what does not fit |
|---|---|---|---|
| watches of the store | 54 (3 in each of 18 data centres) | readers by rank | nothing |
| cheap listings of agents | 27 a second by readers, 600 a second by the others, each of 118 pages of 500 | stretched intervals | the pages: 74,000 reads a second, cheap but counted. An agent must be found through the services that it serves |
| reads at a balancer's start | 2, and 118 pages of agents | one listing at start | the pages, when many start at once |
| hellos of a balancer to agents | 120 a second in all, one to each of 59,000 agents in 8 minutes | interval grows with the agents | load and losses would be minutes old: a balancer must exchange hellos with the agents of a part of the services |
| hellos between balancers | 12,000 a second sent, about 70 B each | one a second to each | 840 kB/s against 3: only balancers of the data centre, and relays to others |
| reports of an agent | as many as hellos it gets | one for each hello | nothing once hellos are bounded |
| lookups | every agent once for each flow that no balancer of the data centre knows | hints first, batches, answers kept | 59,000 queries a flow: the agents of the address's services first |
| memory of a balancer | 13.2 MB by the sweep; an agent's entry and report take about 0.5 kB, 30 MB for 59,000 | maps | fits 256 MB |

The first four rows are arithmetic on the intervals in internal/steer and internal/passnode; the entry of an agent is an
estimate. The mechanisms of the product's own mode above (member records, digests, relays between data centres) carry these
sizes; pass-through mode does not use them yet.
`
