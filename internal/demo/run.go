package demo

import (
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

const (
	entryBalancers = 2
	reversals      = 10
	maxChangeTime  = 3 * time.Second
	leaveTime      = 2 * time.Second
	warmTraffic    = 2 * time.Second // traffic before the first change
)

// Options of a run.
type Options struct {
	Deployment string
	Seed       uint64
	Logger     *log.Logger
	Progress   func(format string, args ...any)
}

// Run plays the demonstration and returns what happened. The error tells that
// it could not be played; broken promises are in the report.
func Run(o Options) (*Report, error) {
	spec, err := Deployment(o.Deployment)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	c, err := NewCluster(spec, o.Seed, o.Logger)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer c.Close()
	o.Progress("starting %d balancers and the targets of %s", entryBalancers, spec.Name)
	if err := c.StartAll(entryBalancers); err != nil {
		return nil, err
	}
	c.Fabric.SetFaults(spec.faults())
	time.Sleep(time.Until(c.opens))
	t, err := startTraffic(c)
	if err != nil {
		return nil, err
	}
	r := &Report{Deployment: spec.Name, Seed: o.Seed}
	err = r.play(c, t, o.Progress)
	r.loads(c)
	t.end()
	r.collect(c, t)
	r.Seconds = time.Since(start).Seconds()
	return r, err
}

// play changes everything that is planned to change, under traffic.
func (r *Report) play(c *Cluster, t *traffic, progress func(string, ...any)) error {
	time.Sleep(warmTraffic)
	progress("%d feeds open, %d requests so far", t.feedsOpen.Load(), t.requests.Load())
	if err := r.reverse(c, progress); err != nil {
		return err
	}
	if err := r.replaceBalancers(c, progress); err != nil {
		return err
	}
	if err := r.drainTarget(c, progress); err != nil {
		return err
	}
	progress("%d feeds open, %d broken, %d requests so far", t.feedsOpen.Load(), t.feedsBroken.Load(), t.requests.Load())
	return nil
}

// reverse decides and takes back the weight of one target, again and again.
func (r *Report) reverse(c *Cluster, progress func(string, ...any)) error {
	id, _ := c.Spec.target(c.Spec.Services[0], 0)
	const file = "50-weight.yaml"
	for i := range reversals {
		progress("reversal %d of %d", i+1, reversals)
		err := r.change(c, func() error {
			if i%2 == 1 {
				return c.Remove(file)
			}
			return c.Put(file, fmt.Sprintf("target: %s\nweight: 0.5\n", id))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// change makes one change and waits until it is in force on all balancers.
func (r *Report) change(c *Cluster, apply func() error) error {
	before := c.revisions()
	start := time.Now()
	if err := apply(); err != nil {
		return err
	}
	for c.oldest() <= before {
		if time.Since(start) > 2*maxChangeTime {
			return trace.LimitExceeded("a configuration change was not in force after %v", time.Since(start))
		}
		time.Sleep(readyPoll)
	}
	r.Changes++
	r.SlowestChange = max(r.SlowestChange, time.Since(start).Seconds())
	return nil
}

// replaceBalancers replaces each balancer by a new one.
func (r *Report) replaceBalancers(c *Cluster, progress func(string, ...any)) error {
	for i, old := range append([]*BalancerProc(nil), c.balancers...) {
		id := model.NodeID(fmt.Sprintf("%s-entry-%d", c.Spec.DCs[i], entryBalancers+1+i))
		progress("replacing balancer %s by %s", old.id, id)
		if _, err := c.StartBalancer(id, c.Spec.DCs[i]); err != nil {
			return err
		}
		if err := c.WaitReady(); err != nil {
			return err
		}
		c.StopBalancer(old, false)
	}
	return nil
}

// drainTarget drains a target by a decision file and checks that it gets no new
// flow, then starts a second agent process beside another target.
func (r *Report) drainTarget(c *Cluster, progress func(string, ...any)) error {
	var drained *AgentProc
	for _, a := range c.agents {
		if a.Service == c.Spec.Services[0].Name && drained == nil {
			drained = a
		}
	}
	progress("draining target %s", drained.ID)
	err := r.change(c, func() error { return c.Put("60-drain.yaml", fmt.Sprintf("target: %s\ndrain: true\n", drained.ID)) })
	if err != nil {
		return err
	}
	time.Sleep(leaveTime)
	before := drained.OpenedFlows()
	time.Sleep(leaveTime)
	r.NewAtDrained = int(drained.OpenedFlows() - before)
	return nil
}

// revisions returns the newest revision in force on any balancer.
func (c *Cluster) revisions() uint64 {
	var newest uint64
	c.eachBalancer(func(rev uint64) { newest = max(newest, rev) })
	return newest
}

// oldest returns the oldest revision in force on any balancer.
func (c *Cluster) oldest() uint64 {
	oldest := ^uint64(0)
	c.eachBalancer(func(rev uint64) { oldest = min(oldest, rev) })
	return oldest
}

func (c *Cluster) eachBalancer(visit func(rev uint64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.balancers {
		if state, ok := b.State(c.ctx); ok {
			visit(state.Rev)
		}
	}
}

// loads notes the spread of the open flows over the targets that take flows.
func (r *Report) loads(c *Cluster) {
	for _, svc := range c.Spec.Services {
		load := ServiceLoad{Service: svc.Name}
		sum, most := 0, 0
		for _, a := range c.agents {
			if a.Service == svc.Name && !a.Draining() {
				load.Flows = append(load.Flows, a.Flows())
				sum += a.Flows()
				most = max(most, a.Flows())
			}
		}
		if sum > 0 {
			load.MaxMean = float64(most) * float64(len(load.Flows)) / float64(sum)
		}
		r.ServiceLoads = append(r.ServiceLoads, load)
	}
}

// collect takes the callers' results and checks the promises.
func (r *Report) collect(c *Cluster, t *traffic) {
	r.FeedsOpened, r.FlowsBroken = t.feedsOpened.Load(), t.feedsBroken.Load()
	r.Requests, r.Uploads, r.Sends = t.requests.Load(), t.uploads.Load(), t.sends.Load()
	r.NotFinished, r.RefusedBy = t.unfinished.Load(), t.refused
	r.Counters = make(map[string]uint64)
	for key, n := range c.metrics.Totals() {
		r.Counters[key.Name+"/"+key.Reason] = n
	}
	r.check(c, t)
	r.BrokenPromises = append(r.BrokenPromises, t.broken...)
}
