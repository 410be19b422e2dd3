package docgen

import (
	"fmt"
	"strings"

	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
)

// The planned size of a deployment (docs/design.md section 1.4) and the limits on the
// resources that a node uses for control.
const (
	balancers         = 12000.0
	targets           = 59000.0 // each with an agent
	services          = 38000.0
	openFlows         = 390e6
	newFlowsPerSecond = 710000.0
	regions           = 8.0
	dataCentres       = 18.0
	changesPerDay     = 8600.0
	restartsPerDay    = 8600.0
	failuresPerDay    = 83.0
	secondsPerDay     = 86400.0

	limitCPUPercent     = 1.6 // of one core
	limitMemoryMB       = 256.0
	limitBytesPerSecond = 3000.0
)

// slope is the cost of one unit and the benchmark that measures it.
type slope struct {
	name, command, points string // points are the sizes and results of the benchmark
	value                 float64
	unit                  string
}

// The values come from runs on 10 shared cores, see docs/MEASUREMENTS.md.
var (
	slopeKnownTarget = slope{"balancer, memory per known target", "go test ./internal/balancer -run '^$' -bench Memory -benchtime 20x",
		"6,000, 20,000 and 59,000 agents: 2,584, 2,051 and 2,038 B", 2038, "B, with 2/3 of a service and its decision file"}
	slopeIdleControl = slope{"balancer, idle control work", "go test ./internal/balancer -run '^$' -bench Control -benchtime 20x",
		"6,000 and 59,000 agents: 0.009 ms", 0.0093, "ms a second"}
	slopeConfigChange = slope{"balancer, one configuration change", "the same",
		"6,000 and 59,000 agents: 0.055 and 0.133 ms", 0.133, "ms"}
	slopeHint            = slope{"balancer, hint", "go test ./internal/route -run '^$' -bench Route -benchtime 300000x", "400,000 flows", 36, "B a flow"}
	slopeHeartbeatCrypto = slope{"opening and sealing a heartbeat", "go test ./internal/wire -run '^$' -bench 'Open|Seal' -benchtime 50000x", "one run, machine shared", 2.875, "µs"}
	slopeIdleSent        = slope{"balancer, idle control traffic sent", "go test ./internal/gossip -run '^$' -bench ControlBytes -benchtime 1x", "12, 48 and 192 balancers: 1,156, 1,100 and 1,085 B/s; slope -0.02", 1085, "B/s"}
	slopeIdleRecv        = slope{"balancer, idle control traffic received", "the same", "1,478, 1,419 and 1,405 B/s", 1405, "B/s"}
	slopeMemberChange    = slope{"balancer, traffic sent per member change", "the same", "1,585, 1,334 and 1,325 B", 1325, "B"}
	slopeReplay          = slope{"replay window per sender of control messages", "go test ./internal/wire -run '^$' -bench ReplayTable -benchtime 1x", "12,000 senders", 296.6, "B"}
	slopeReplayFwd       = slope{"replay window per forwarding sender", "the same", "12,000 senders", 872.6, "B"}
	slopeHeldFlow        = slope{"agent, held flow", "go test ./internal/flows -run '^$' -bench Memory -benchtime 1x", "one size", 215.9, "B"}
	slopeFlowException   = slope{"agent, flow held elsewhere", "the same", "one size", 179.8, "B"}
	slopeConnection      = slope{"agent, idle TCP connection", "go test ./internal/netstack -run '^$' -bench Memory -benchtime 2x", "1,000 connections", 5393, "B"}
	slopeFlowBytes       = slope{"agent, flow and load messages sent", "go test ./internal/flows -run '^$' -bench Imbalance -benchtime 1x", "7 and 3 targets at 9.6 and 22 openings a second: 1,794 and 2,767 B/s", 2767, "B/s at 22 openings a second"}
	slopeAgentControl    = slope{"agent, control work at 12 openings a second", "go test ./internal/agent -run '^$' -bench Control -benchtime 30x", "1,000 and 6,600 flows held: 0.294 and 0.585 ms", 0.585, "ms a second"}
	slopeStoreCalls      = slope{"store calls per change", "go test ./internal/gossip -run '^$' -bench ChangeToForce -benchtime 1x", "4, 16, 64 and 256 nodes: 4, 9, 9 and 9", 3, "calls a data centre"}
)

func allSlopes() []slope {
	return []slope{
		slopeKnownTarget, slopeIdleControl, slopeConfigChange, slopeHint, slopeHeartbeatCrypto, slopeIdleSent, slopeIdleRecv, slopeMemberChange, slopeReplay,
		slopeReplayFwd, slopeHeldFlow, slopeFlowException, slopeConnection, slopeFlowBytes, slopeAgentControl, slopeStoreCalls,
	}
}

// figure is the amount of one resource that a balancer, an agent or the store uses at
// the planned size.
type figure struct {
	quantity, derivation, mechanism string // mechanism is the design that determines the amount
	value                           float64
	unit                            string
	limit                           float64 // 0 if none
}

// limitText returns the table cell that says whether the figure is within its limit.
func (f figure) limitText() string {
	switch {
	case f.limit == 0:
		return ""
	case f.value <= f.limit:
		return fmt.Sprintf("fits %s", formatNumber(f.limit))
	}
	return fmt.Sprintf("**over %s**", formatNumber(f.limit))
}

// formatNumber formats v with three significant digits, or as an integer from 100 on.
func formatNumber(v float64) string {
	if v >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

func balancerFigures() []figure {
	agentsPerDC, balancersPerDC := targets/dataCentres, balancers/dataCentres
	heartbeats := agentsPerDC*3/balancersPerDC + 3
	// Changed records a second: leaving, gone and joined of each restart, suspect and gone
	// of each failure.
	memberChanges := (restartsPerDay*3 + failuresPerDay*2) / secondsPerDay
	changes := changesPerDay / secondsPerDay
	memory := (slopeKnownTarget.value*(targets+balancers) + slopeReplay.value*(balancers+agentsPerDC*3/balancersPerDC)) / 1e6
	// Milliseconds a second; a tenth of it is the percentage of a core.
	controlMillis := slopeIdleControl.value + changes*slopeConfigChange.value + heartbeats*slopeHeartbeatCrypto.value/1e3
	fileBytes := 300.0
	sent := slopeIdleSent.value + (memberChanges+changes*fileBytes/224)*slopeMemberChange.value
	return []figure{
		{"members, views, files, replay windows", "2,038 B × (59,000 + 12,000) + 297 B × (12,000 + 15)", "one replicated record per member; interned names; shared immutable views", memory, "MB", limitMemoryMB},
		{"hints", "36 B × 65,536 entries", "fixed set-associative table, never needed for correctness", slopeHint.value * 65536 / 1e6, "MB", limitMemoryMB},
		{"heartbeats received", "3,278 agents × 3 observers / 667 balancers + 3 balancers", "three observers by rendezvous rank", heartbeats, "a second", 0},
		{"control time", "0.0093 ms + 0.1 changes/s × 0.133 ms + heartbeats × 2.9 µs, in percent of a core", "incremental views and merge", controlMillis / 10, "%", limitCPUPercent},
		{"control bytes sent", "1,085 B/s + (0.3 member changes/s + 0.13 for files of 300 B) × 1,325 B", "epidemic deltas, digests for repair, relays between data centres", sent, "B/s", limitBytesPerSecond},
		{"control bytes sent and received", "sent + 1,405 B/s + the same changes received", "the same", 2*sent - slopeIdleSent.value + slopeIdleRecv.value, "B/s", limitBytesPerSecond},
		{"flows forwarded", "390 million / 12,000", "no state per flow", openFlows / balancers, "flows", 0},
	}
}

func agentFigures() []figure {
	flows := openFlows / targets
	opens := newFlowsPerSecond / targets
	return []figure{
		{"flow table", "6,610 flows × 216 B + the same again held elsewhere × 180 B × 2 homes, at most", "holder keeps the flow; first two homes keep exceptions", flows * (slopeHeldFlow.value + 2*slopeFlowException.value) / 1e6, "MB", limitMemoryMB},
		{"TCP connections (data, not control)", "6,610 × 5,393 B", "user-space TCP stack", flows * slopeConnection.value / 1e6, "MB", 0},
		{"replay windows", "872.6 B × 12,000 balancers, if each has forwarded here", "one window per sender and stream", slopeReplayFwd.value * balancers / 1e6, "MB", limitMemoryMB},
		{"control time", "0.585 ms + 3 heartbeats × 2.9 µs, in percent of a core; packets and requests left out", "incremental rescans, bounded batches", (slopeAgentControl.value + 3*slopeHeartbeatCrypto.value/1e3) / 10, "%", limitCPUPercent},
		{"flow and load messages sent", "2,767 B/s × 12 / 22 openings a second", "batched registrations, at most 4 load reports a second", slopeFlowBytes.value * opens / 22, "B/s", limitBytesPerSecond},
		{"heartbeats sent", "3 observers × 112 B", "short heartbeat, full record only when it changed", 3 * 112, "B/s", limitBytesPerSecond},
		{"reservations and key records", "about 100 B × 117 to 325 a second for each agent at 60% to 95% load with 50 ms requests", "deferred reservations; two homes per key", 100 * 117, "B/s", limitBytesPerSecond},
	}
}

func storeFigures() []figure {
	changes := changesPerDay / secondsPerDay
	return []figure{
		{"waiting watches", "18 data centres × 3 watchers, one call each 1.2 s", "watchers by rank", dataCentres * 3, "watches", 0},
		{"watch calls without a change", "18 data centres × 3 watchers, 1.2 s of wait (the mean on the platform)", "bounds the age of what a watcher knows", dataCentres * 3 / storeclient.DefaultWatchWait.Seconds(), "a second", 2000},
		{"reads while nobody confirms a view", "4 a second for the configuration and for the decision files, in any fleet", "an interval that grows with the number of balancers", 8, "a second", 2000},
		{"watch calls for changes", "0.1 changes a second × 3 calls × 18 data centres", "the rest gets deltas from peers", changes * slopeStoreCalls.value * dataCentres, "a second", 2000},
		{"operators' writes", "8,600 a day", "conditional updates", changes, "a second", 300},
		{"listings by restarted balancers", "8,600 restarts a day × 12,000 / 71,000 × 76 pages of 1,000 files", "one listing at start", restartsPerDay / secondsPerDay * balancers / (balancers + targets) * 76, "a second", 2000},
	}
}

// Capacity returns the text of docs/CAPACITY.md.
func Capacity() string {
	var b strings.Builder
	fmt.Fprintf(&b, `# Capacity

This page is generated: %[1]sgo test ./internal/docgen -update%[1]s writes it from the slopes in internal/docgen/capacity.go, and
the test fails when it is out of date. Each slope was measured by a benchmark of this repository; every other figure here
is arithmetic on them and was not measured at the planned size.

Planned size: %[2]s balancers and %[3]s targets behind %[4]s addresses in %[5]s data centres of %[6]s regions; 390 million open
flows, %[7]s new a second; %[8]s configuration changes a day. Limits for control per node: %[9]s%% of a core, %[10]s MB,
3 KB a second; the store serves about 2,000 reads and several hundred writes a second.

## Slopes

| slope | value | points | command |
|---|---|---|---|
`, "`", formatThousands(balancers), formatThousands(targets), formatThousands(services), formatNumber(dataCentres), formatNumber(regions), formatThousands(newFlowsPerSecond), formatThousands(changesPerDay), formatNumber(limitCPUPercent), formatNumber(limitMemoryMB))
	for _, s := range allSlopes() {
		writeRow(&b, s.name, formatNumber(s.value)+" "+s.unit, s.points, "`"+s.command+"`")
	}
	for _, part := range []struct {
		title   string
		figures []figure
	}{{"Balancer", balancerFigures()}, {"Agent", agentFigures()}, {"Store", storeFigures()}} {
		fmt.Fprintf(&b, "\n## %s\n\n| what | figure | limit | worked out from | mechanism |\n|---|---|---|---|---|\n", part.title)
		for _, f := range part.figures {
			writeRow(&b, f.quantity, formatNumber(f.value)+" "+f.unit, f.limitText(), f.derivation, f.mechanism)
		}
	}
	b.WriteString(capacityNotes)
	writeSweep(&b)
	return b.String()
}

// formatThousands formats v as an integer with commas between groups of three digits.
func formatThousands(v float64) string {
	s := fmt.Sprintf("%.0f", v)
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	return s
}

const capacityNotes = `
bulrushshelf-ctl is not resident: a put costs the store one read, one write and one listing, and pushes to a few balancers.

## Losses

- **A rack or switch.** Its balancers and agents are suspected by their observers after 3.5 s and declared gone 10 s later; a
  rack of 40 VMs makes about 80 changed records, 0.1 MB sent per balancer over that time. Keys whose two homes were both
  there are answered ` + "`unknown`" + `.
- **A data centre.** Relays in other data centres mark it unreachable after 8 s without a message; no record changes, so
  nothing is sent for each member.
- **A partition between regions.** Each side marks the other unreachable and removes no member; digests repair differences
  after the partition.

## What today's mechanisms would not carry

| what | why | what will |
|---|---|---|
| control bytes in both directions | sent and received together slightly exceed 3 KB/s | digests every 4 s instead of 2 s; heartbeats to 2 observers |
| reservations and key records | they grow with requests, not with the number of nodes, and exceed 3 KB/s at a few requests a second for each agent | count them as data, or send them with the requests that they are for |
| a slice of a service with several hundred targets | it exceeds one datagram | split slices by buckets as member deltas are |
| a joining balancer | it fetches all records and files from its peers, about 150 MB in memory and an estimated 12 MB on the wire, at once | pace the transfer; serve its own region first |
| listing of all files by each restarted balancer | 76 pages at 76,000 files | fetch the files from peers and only later changes from the store |
`
