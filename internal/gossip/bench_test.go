package gossip_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/confsync"
	"github.com/bulrushshelf/bulrushshelf/internal/membership"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/fxamacker/cbor/v2"
)

// envelopeBytes estimates the bytes that package wire adds to a message body.
const envelopeBytes = 40

// Planned size and churn: 8,600 restarts and 83 failures a day, each of which
// changes about three records (leaving or suspect, gone, joined).
const (
	plannedMembers = 12000 + 59000             // balancers and agents
	plannedChanges = 3 * (8600 + 83) / 86400.0 // records per second
)

// meter counts the bytes that each address sends and receives.
type meter struct{ sent, received map[string]int }

func (f *sim) startMeter(tb testing.TB) *meter {
	m := &meter{sent: map[string]int{}, received: map[string]int{}}
	f.onSend = func(p packet) {
		b, err := cbor.Marshal(p.msg)
		if err != nil {
			tb.Fatal(err)
		}
		m.sent[string(p.from)] += len(b) + envelopeBytes
		if to := f.byAddr[p.dst]; to != nil {
			m.received[string(to.id)] += len(b) + envelopeBytes
		}
	}
	return m
}

// perBalancer returns the mean bytes sent and received per balancer.
func (m *meter) perBalancer(f *fleet) (sent, received float64) {
	for _, b := range f.balancers {
		sent += float64(m.sent[string(b.id)])
		received += float64(m.received[string(b.id)])
	}
	n := float64(len(f.balancers))
	return sent / n, received / n
}

// BenchmarkControlBytes reports the control traffic in bytes per second and
// balancer, at a churn proportional to the number of members, for the cores and for
// the baseline. The slopes are the exponents of the growth of both with the number
// of members, relative to the smallest size.
func BenchmarkControlBytes(b *testing.B) {
	var first, firstSent, firstFull float64
	for _, n := range []int{12, 48, 192} {
		b.Run(fmt.Sprintf("balancers=%d", n), func(b *testing.B) {
			var sent, full float64
			members := float64(n + n*59/12)
			for b.Loop() {
				// At the planned size most services have one or two targets.
				pairs := func(agent int) model.ServiceName { return model.ServiceName(fmt.Sprint("service-", agent/2)) }
				f := newFleetWithServices(1, n, n*59/12, pairs)
				_ = f.run(20*time.Second, nil)
				const span = 20 // seconds of each measurement
				m := f.startMeter(b)
				_ = f.run(span*time.Second, nil)
				idleSent, idleReceived := m.perBalancer(f)
				m = f.startMeter(b)
				for k := range span { // one change per second
					a := f.agents[k%len(f.agents)]
					self := a.core.Self()
					self.Weight = 1 + float64(k)
					f.send(a.host, a.handle(a.core.Step(f.now, membership.SetMember{Member: self})))
					_ = f.run(time.Second, nil)
				}
				busySent, busyReceived := m.perBalancer(f)
				churn := plannedChanges * members / plannedMembers
				perChange := (busySent - idleSent) / span
				sent = idleSent/span + churn*perChange
				full = fullStateBytes(b, f)
				b.ReportMetric(idleSent/span, "idle-sent-B/s")
				b.ReportMetric(idleReceived/span, "idle-recv-B/s")
				b.ReportMetric(perChange, "sent-B/change")
				b.ReportMetric((busyReceived-idleReceived)/span, "recv-B/change")
				b.ReportMetric(full/sent, "baseline/ours")
				if first > 0 {
					b.ReportMetric(math.Log(sent/firstSent)/math.Log(members/first), "slope")
					b.ReportMetric(math.Log(full/firstFull)/math.Log(members/first), "baseline-slope")
				}
				b.ReportMetric(idleSent/span+plannedChanges*perChange, "sent-B/s-at-planned-churn")
			}
			if first == 0 {
				first, firstSent, firstFull = members, sent, full
			}
		})
	}
}

// fullStateBytes returns the bytes per second and balancer of the baseline with the
// members of a fleet.
func fullStateBytes(tb testing.TB, f *fleet) float64 {
	base := &fleet{sim: newSim(1)}
	members := f.balancers[0].core.Members()
	for i, old := range f.balancers {
		core := membership.NewFullState(membership.Options{Self: old.core.Self(), Seed: uint64(i)}, members)
		h := &host{id: old.id, dc: old.dc, addr: old.addr, step: func(now time.Time, in *packet) []packet {
			return packetsOf(core.Step(now, event(in)))
		}}
		base.addHost(h)
		base.balancers = append(base.balancers, &balancer{host: h})
	}
	m := base.startMeter(tb)
	_ = base.run(5*time.Second, nil)
	sent, _ := m.perBalancer(base)
	return sent / 5
}

// BenchmarkChangeToForce reports the virtual time until a change that ctl pushed
// to three nodes is in force on all nodes, with the store reachable and
// unreachable, and the store calls per change. It reports the same for the baseline
// in which every node watches the store.
func BenchmarkChangeToForce(b *testing.B) {
	for _, n := range []int{4, 16, 64, 256} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			for b.Loop() {
				up, calls := measurePropagation(b, newFileFleet(1, n), false)
				lost, _ := measurePropagation(b, newFileFleet(1, n), true)
				base := newFileFleet(1, n)
				base.everyNodeWatches()
				baseUp, baseCalls := measurePropagation(b, base, false)
				b.ReportMetric(float64(up.Milliseconds()), "max-ms")
				b.ReportMetric(float64(lost.Milliseconds()), "max-ms-store-lost")
				b.ReportMetric(float64(baseUp.Milliseconds()), "baseline-max-ms")
				b.ReportMetric(calls, "calls/change")
				b.ReportMetric(baseCalls, "baseline-calls/change")
			}
		})
	}
}

// measurePropagation makes ten changes and returns the longest time until one was
// in force on all nodes, and the store calls per change.
func measurePropagation(tb testing.TB, f *fileFleet, unreachable bool) (longest time.Duration, calls float64) {
	if _, err := f.runUntil(20*time.Second, f.inForce); err != nil {
		tb.Fatal(err)
	}
	_ = f.run(time.Second, nil)
	before := f.store.calls
	const changes = 10
	for k := range changes {
		file := f.store.put(fmt.Sprintf("%02d-start.yaml", k), "changed", false)
		f.store.unreachable = unreachable
		f.push(file, 0, 1, 2)
		took, err := f.runUntil(10*time.Second, f.inForce)
		if err != nil {
			tb.Fatal(err)
		}
		longest = max(longest, took)
		f.store.unreachable = false
		_ = f.run(time.Second, nil)
	}
	return longest, float64(f.store.calls-before) / changes
}

// everyNodeWatches replaces the cores with those of the baseline.
func (f *fileFleet) everyNodeWatches() {
	for _, h := range f.nodes {
		h.core = confsync.NewEveryNodeWatches()
	}
}
